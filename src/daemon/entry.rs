//! Entry daemon: accepts requests on the caller port, chooses a backend server and forwards them.

use {
    super::{
        attempt::Forwarding,
        event::{CallId, Effect, Event, Head, Target},
        order,
        pending::Pending,
        shared::Shared,
    },
    crate::{
        balance::Choice,
        body::{self, Body, Progress, Watched},
        call::{self, Call, MAX_TIMEOUT},
        dialect::Callers,
        events::Event as LogEvent,
        log_event,
        metrics::Outcome as CallOutcome,
        model::{PlanName, Region},
        refusal::{Outcome, Reason, Refusal},
        retry::{self, is_idempotent},
    },
    bytes::Bytes,
    http::{Request, Response, request::Parts},
    hyper::body::{Body as _, Incoming},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Longest time for which the body of a refused request is read and discarded.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Body of a request: buffered for retries, or streamed once.
pub(super) enum Replay {
    Whole(Bytes),
    /// `None` after the first attempt took it. The lock lets concurrent attempts share the request.
    Stream(Mutex<Option<Body>>),
}

impl Replay {
    async fn read(parts: &Parts, incoming: Incoming, limit: u64) -> Result<Self, Refusal> {
        if !is_small(&incoming, limit) {
            return Ok(Self::Stream(Mutex::new(Some(body::boxed(incoming)))));
        }
        let watched = body::boxed(Watched::new(body::boxed(incoming), Progress::new(), |_| ()));
        let bytes = body::collect(watched, limit as usize).await.map_err(|e| {
            Refusal::not_run(
                Reason::BadRequest,
                format!("reading the body of the {} failed: {e}", parts.method),
            )
        })?;
        Ok(Self::Whole(bytes))
    }

    /// Returns the body for the next attempt; a streamed body is empty after the first one.
    pub(super) fn next(&self) -> Body {
        match self {
            Self::Whole(bytes) => body::full(bytes.clone()),
            Self::Stream(stream) => {
                let mut stream = stream.lock().unwrap_or_else(PoisonError::into_inner);
                stream.take().unwrap_or_else(body::empty)
            }
        }
    }

    pub(super) const fn is_whole(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    pub(super) const fn kind(&self) -> retry::Body {
        match self {
            Self::Whole(_) => retry::Body::Replayable,
            Self::Stream(_) => retry::Body::Streamed,
        }
    }
}

fn is_small(incoming: &Incoming, limit: u64) -> bool {
    let size = incoming.size_hint().exact();
    size.is_some_and(|size| size <= limit)
}

/// Handles one request on the caller port.
pub async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let now = Instant::now();
    let (parts, incoming) = req.into_parts();
    let response = route(&shared, &parts, incoming).await;
    if shared.dialect.is_strict() {
        let asked = call::deadline_of(&shared.dialect, &parts.headers, now, MAX_TIMEOUT);
        return shared.dialect.present(response, asked.unwrap_or(now));
    }
    if is_idempotent(&parts.method) {
        return response;
    }
    confirm(&shared, &parts, response).await
}

/// Replaces a `not-run` refusal of an order if an earlier send of the same order ran or may have
/// run.
async fn confirm(shared: &Shared, parts: &Parts, response: Response<Body>) -> Response<Body> {
    let now = Instant::now();
    let refusal = Refusal::read(response.headers(), now);
    let Some(refusal) = refusal.filter(may_have_run_before) else {
        return response;
    };
    let Ok(Some(key)) = call::idempotency_key_of(&parts.method, &parts.headers) else {
        return response;
    };
    let confirmed = match home_of(shared, parts) {
        Some((plan, region)) => order::confirm(shared, &plan, &region, &key, &refusal).await,
        None => Err(Refusal {
            outcome: Outcome::Unknown,
            ..refusal.clone()
        }),
    };
    match confirmed {
        Ok(answer) => answer,
        // The original response explains the refusal in more detail.
        Err(confirmed) if confirmed.outcome == Outcome::NotRun => response,
        Err(confirmed) => confirmed.response(now),
    }
}

/// Returns whether an earlier send of the refused order may have run although this one did not.
/// A request that is invalid in itself is refused at every send.
const fn may_have_run_before(refusal: &Refusal) -> bool {
    let own_fault = matches!(
        refusal.reason,
        Reason::BadRequest | Reason::UnknownKey | Reason::KeyReused
    );
    matches!(refusal.outcome, Outcome::NotRun) && !own_fault
}

/// Returns the plan of a request and its home region; `None` if the key belongs to no plan in
/// force.
fn home_of(shared: &Shared, parts: &Parts) -> Option<(PlanName, Region)> {
    let key = call::bearer(&parts.headers).ok()?;
    let state = shared.state();
    let snapshot = state.snapshot()?;
    let plan = snapshot.authenticate(key)?;
    let home = snapshot.config().plans.get(plan)?.home_region.clone();
    Some((plan.clone(), home))
}

async fn route(shared: &Arc<Shared>, parts: &Parts, incoming: Incoming) -> Response<Body> {
    let now = Instant::now();
    let id = shared.call_id();
    let streamed = !is_small(&incoming, shared.cfg.replay_limit);
    let (call, choice) = match admit(shared, id, parts, streamed, now) {
        Ok(admitted) => admitted,
        Err(refusal) => {
            body::discard(body::boxed(incoming), now + DISCARD_TIME).await;
            return refuse(shared, id, parts, None, &refusal);
        }
    };
    // Reports the call as cancelled if the caller disconnects while it waits for capacity.
    let mut pending = Pending::new(shared, choice.clone());
    let taken = shared.capacity.take(&shared.metrics, id, &call).await;
    pending.end();
    if let Err(refusal) = taken {
        pending.release(&choice);
        body::discard(body::boxed(incoming), Instant::now() + DISCARD_TIME).await;
        return refuse(shared, id, parts, Some(&call), &refusal);
    }
    match Replay::read(parts, incoming, shared.cfg.replay_limit).await {
        Ok(replay) => {
            let forwarding = Forwarding {
                shared,
                id,
                parts,
                replay,
                tried: Vec::new(),
            };
            forwarding.run(call, choice, now).await
        }
        Err(refusal) => {
            // The caller aborted its body, which counts as a cancelled call.
            drop(Pending::new(shared, choice));
            refusal.response(now)
        }
    }
}

fn admit(
    shared: &Shared,
    id: CallId,
    parts: &Parts,
    streamed: bool,
    now: Instant,
) -> Result<(Box<Call>, Choice), Refusal> {
    let dialect = &shared.dialect;
    let named = call::service_of(&parts.uri, &parts.headers)?;
    let target = match dialect.callers {
        Callers::Key => Target::Service {
            key: call::bearer(&parts.headers)?,
            service: named.into(),
        },
        Callers::Host => Target::Plan(named),
    };
    let default = shared.cfg.default_timeout;
    let head = Head {
        target,
        path: parts.uri.path(),
        deadline: call::deadline_of(dialect, &parts.headers, now, default)?,
        depth: call::depth_of(&parts.headers)?,
        method: &parts.method,
        idempotency_key: call::idempotency_key_of(&parts.method, &parts.headers),
        streamed: streamed && !parts.headers.contains_key(&dialect.timeout_ms),
    };
    match shared.dispatch(Some(id), Event::Arrived { id, head: &head }) {
        Some(Effect::Forward { call, choice, .. }) => Ok((call, choice)),
        Some(Effect::Refuse { refusal, .. }) => Err(refusal),
        _ => Err(Refusal::not_run(Reason::Overload, "no routing decision")),
    }
}

fn refuse(
    shared: &Shared,
    id: CallId,
    parts: &Parts,
    call: Option<&Call>,
    refusal: &Refusal,
) -> Response<Body> {
    log_event!(
        LogEvent::CallRefused,
        request = shared.dialect.id_of(&parts.headers),
        call = id,
        plan = call.map_or("?", |call| call.plan.as_str()),
        service = call.map_or("?", |call| call.service.as_str()),
        reason = refusal.reason,
        outcome = refusal.outcome,
        detail = refusal.detail,
    );
    if let Some(call) = call {
        shared.metrics.call(call.rank, outcome_of(refusal));
    }
    refusal.response(Instant::now())
}

pub(super) const fn outcome_of(refusal: &Refusal) -> CallOutcome {
    match (refusal.reason, refusal.outcome) {
        (Reason::Deadline, _) => CallOutcome::Deadline,
        (_, Outcome::NotRun) => CallOutcome::NotRun,
        (_, Outcome::Unknown) => CallOutcome::Unknown,
    }
}
