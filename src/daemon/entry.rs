//! The caller port: takes requests, chooses a backend server and passes bodies through.

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

/// Longest time for which the body of a refused request is read.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Body of a request, as far as it can be sent again.
pub(super) enum Replay {
    Whole(Bytes),
    /// Taken by the first send. The lock lets several sends share the request.
    Stream(Mutex<Option<Body>>),
}

impl Replay {
    async fn read(parts: &Parts, incoming: Incoming, limit: u64) -> Result<Self, Refusal> {
        if !is_small(&incoming, limit) {
            return Ok(Self::Stream(Mutex::new(Some(body::boxed(incoming)))));
        }
        let watched = body::boxed(Watched::new(body::boxed(incoming), Progress::new(), |_| ()));
        let bytes = body::collect(watched, limit as usize).await.map_err(|e| {
            Refusal::not_run(Reason::BadRequest, format!("body of {}: {e}", parts.method))
        })?;
        Ok(Self::Whole(bytes))
    }

    /// The body; one that is passed on as it comes can be had once.
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

/// Handles one request of a caller.
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

/// Makes sure that an order that is refused as not run was not run by an earlier send either.
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
        // The original explains the reason better.
        Err(confirmed) if confirmed.outcome == Outcome::NotRun => response,
        Err(confirmed) => confirmed.response(now),
    }
}

/// Whether the refusal says nothing about earlier sends of the same order.
const fn may_have_run_before(refusal: &Refusal) -> bool {
    let own_fault = matches!(
        refusal.reason,
        Reason::BadRequest | Reason::UnknownKey | Reason::KeyReused
    );
    matches!(refusal.outcome, Outcome::NotRun) && !own_fault
}

/// Plan of a request and its home region, if they are known.
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
    // Counts as cancelled when the caller goes away while the call waits for a share.
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
            // The caller broke its body off, which counts as a cancelled call.
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
        _ => Err(Refusal::not_run(Reason::Overload, "no decision")),
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
