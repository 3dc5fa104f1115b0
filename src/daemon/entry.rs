//! Entry daemon: accepts requests on the caller port, chooses a backend server and forwards them.

use {
    super::{
        accounts,
        attempt::Forwarder,
        event::{CallId, Effect, Event, RequestHead, Target},
        intake, order,
        pending::PendingAttempt,
        shared::Shared,
        tree::Tree,
    },
    crate::{
        balance::Choice,
        body::{self, Body, MonitoredBody, Progress, Start},
        call::{self, Call, MAX_TIMEOUT},
        dialect::CallerIdentity,
        events::Event as LogEvent,
        log_event,
        memory::{self, Lease, ReadError},
        metrics::Outcome as CallOutcome,
        model::{PlanName, Region},
        refusal::{Outcome, Reason, Refusal},
        retry::{self, is_idempotent},
        serve::STREAM_WINDOW,
    },
    bytes::Bytes,
    http::{Request, Response, request::Parts},
    hyper::body::{Body as _, Incoming},
    std::{
        net::IpAddr,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Longest time for which the body of a refused request is read and discarded.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Bytes that a call takes beside its head and its body: the tasks, and the first read buffer of its
/// connection.
const CALL_COST: u64 = 8 * 1024;

/// Longest time for which a body of unknown size is buffered before it is streamed.
const MAX_BUFFER_TIME: Duration = Duration::from_millis(500);

/// Longest time for which a call that no version in force allows waits for the confirmation that no
/// newer version does.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);

/// Part of the remaining time that such a call may wait.
const CONFIRM_DIVISOR: u32 = 4;

/// Time for which a daemon may lack a newer version and still refuse a call as not allowed.
const MAX_VERSION_AGE: Duration = Duration::from_secs(1);

/// Time for which a daemon may lack a newer version and still serve a key that it knows, with strict
/// revocation: less than the 5 s in which a revocation takes effect.
const MAX_REVOCATION_AGE: Duration = Duration::from_secs(3);

/// Body of a request: buffered for retries, or streamed once.
pub(super) enum RequestBody {
    Buffered(Bytes),
    /// `None` after the first attempt took it. The lock lets concurrent attempts share the request.
    Streamed(Mutex<Option<Body>>),
}

impl RequestBody {
    /// Reads a body of up to `limit` bytes. A larger one is streamed. So is a body of unknown size
    /// that does not end soon, or whose call has no limit on its duration: its caller may send it
    /// slowly, or wait for an answer before it sends the rest.
    async fn read(
        parts: &Parts,
        incoming: Incoming,
        limit: u64,
        call: &Call,
        lease: &Lease,
    ) -> Result<Self, Refusal> {
        let size = incoming.size_hint();
        let known = size.exact().is_some();
        if size.lower() > limit || (call.streamed && !known) {
            let reserved = lease.grow(memory::stream_cost(parts.version)).await;
            reserved.map_err(|e| e.refusal(Instant::now()))?;
            return Ok(Self::streamed(body::boxed(incoming)));
        }
        let mut watched = body::boxed(MonitoredBody::new(
            body::boxed(incoming),
            Progress::new(),
            |_| (),
        ));
        let until = if known {
            call.deadline
        } else {
            call.deadline.min(Instant::now() + MAX_BUFFER_TIME)
        };
        let read = memory::read_start(&mut watched, limit as usize, Some(until), lease).await;
        let start = match read {
            Ok(start) => start,
            Err(e @ (ReadError::Short(_) | ReadError::Evicted)) => {
                let now = Instant::now();
                body::discard(watched, now + DISCARD_TIME).await;
                return Err(e.refusal(now));
            }
            Err(e) => {
                let detail = format!(
                    "reading the body of the {} request failed: {e}",
                    parts.method
                );
                return Err(Refusal::not_run(Reason::BadRequest, detail));
            }
        };
        match start {
            Start::Whole(bytes) => Ok(Self::Buffered(bytes)),
            Start::Part(_) if call.deadline <= Instant::now() => Err(Refusal::not_run(
                Reason::Deadline,
                "the body was not complete before the deadline",
            )),
            Start::Part(bytes) => Ok(Self::streamed(body::preceded(bytes, watched))),
        }
    }

    fn streamed(whole: Body) -> Self {
        Self::Streamed(Mutex::new(Some(whole)))
    }

    /// Returns the body for the next attempt; a streamed body is empty after the first one.
    pub(super) fn next_body(&self) -> Body {
        match self {
            Self::Buffered(bytes) => body::full(bytes.clone()),
            Self::Streamed(stream) => {
                let mut stream = stream.lock().unwrap_or_else(PoisonError::into_inner);
                stream.take().unwrap_or_else(body::empty)
            }
        }
    }

    pub(super) const fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    pub(super) const fn kind(&self) -> retry::Body {
        match self {
            Self::Buffered(_) => retry::Body::Replayable,
            Self::Streamed(_) => retry::Body::Streamed,
        }
    }
}

fn fits_limit(incoming: &Incoming, limit: u64) -> bool {
    let size = incoming.size_hint().exact();
    size.is_some_and(|size| size <= limit)
}

/// Handles one request on the caller port, which came from the address `caller`.
pub async fn handle_request(
    shared: Arc<Shared>,
    tree: Arc<Tree>,
    req: Request<Incoming>,
    caller: IpAddr,
) -> Response<Body> {
    let now = Instant::now();
    let (parts, incoming) = req.into_parts();
    let lease = memory::lease_of(&parts.extensions);
    let response = match lease.grow(CALL_COST + memory::head_size(&parts)).await {
        Ok(()) => forward_request(&shared, &tree, &parts, incoming, caller, &lease).await,
        Err(e) => {
            body::discard(body::boxed(incoming), now + DISCARD_TIME).await;
            refuse(
                &shared,
                shared.next_call_id(),
                &parts,
                None,
                &e.refusal(now),
            )
        }
    };
    let response = held_until_sent(response, lease);
    if shared.dialect.requires_signature() {
        let deadline = call::deadline_of(&shared.dialect, &parts.headers, now, MAX_TIMEOUT);
        return shared
            .dialect
            .adapt_refusal(response, deadline.unwrap_or(now));
    }
    if is_idempotent(&parts.method) {
        return response;
    }
    confirm_not_run(&shared, &parts, response).await
}

/// Holds the lease of a call until its response has been sent, with what the connection to the owner
/// daemon buffers of the response for a slow reader.
fn held_until_sent(response: Response<Body>, lease: Lease) -> Response<Body> {
    let window = STREAM_WINDOW.into();
    let size = response.body().size_hint().exact().unwrap_or(window);
    lease.charge(size.min(window));
    response.map(|sent| body::kept(sent, lease))
}

/// Replaces a `not-run` refusal of an order if an earlier send of the same order ran or may have
/// run.
async fn confirm_not_run(
    shared: &Shared,
    parts: &Parts,
    response: Response<Body>,
) -> Response<Body> {
    let now = Instant::now();
    let refusal = Refusal::read(response.headers(), now);
    let Some(refusal) = refusal.filter(may_have_run_before) else {
        return response;
    };
    let Ok(Some(key)) = call::idempotency_key_of(&parts.method, &parts.headers) else {
        return response;
    };
    let confirmed = match plan_and_home(shared, parts) {
        Some((plan, region)) => {
            order::confirm_not_run(shared, &plan, &region, &key, &refusal).await
        }
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
    let is_invalid = matches!(
        refusal.reason,
        Reason::BadRequest | Reason::UnknownKey | Reason::KeyReused
    );
    matches!(refusal.outcome, Outcome::NotRun) && !is_invalid
}

/// Returns the plan of a request and its home region; `None` if the key belongs to no plan in
/// force.
fn plan_and_home(shared: &Shared, parts: &Parts) -> Option<(PlanName, Region)> {
    let key = call::bearer_token(&parts.headers).ok()?;
    let state = shared.state();
    let snapshot = state.snapshot()?;
    let plan = snapshot.authenticate(key)?;
    let home = snapshot.config().plans.get(plan)?.home_region.clone();
    Some((plan.clone(), home))
}

async fn forward_request(
    shared: &Arc<Shared>,
    tree: &Arc<Tree>,
    parts: &Parts,
    incoming: Incoming,
    caller: IpAddr,
    lease: &Lease,
) -> Response<Body> {
    let now = Instant::now();
    let id = shared.next_call_id();
    let mut routed = route_request(shared, id, parts, &incoming, caller, now);
    if routed.as_ref().is_err_and(denies) {
        routed = match confirm_version(shared, tree, parts, now).await {
            Ok(()) => route_request(shared, id, parts, &incoming, caller, now),
            Err(refusal) => Err(refusal),
        };
    }
    let (call, choice) = match routed {
        Ok(routed) => routed,
        Err(refusal) => {
            body::discard(body::boxed(incoming), now + DISCARD_TIME).await;
            return refuse(shared, id, parts, None, &refusal);
        }
    };
    if shared.cfg.strict_revocation
        && call.account.is_some()
        && let Err(refusal) = confirm_contact(shared, tree, parts, now).await
    {
        PendingAttempt::release(shared, choice);
        body::discard(body::boxed(incoming), Instant::now() + DISCARD_TIME).await;
        return refuse(shared, id, parts, Some(&call), &refusal);
    }
    // Reports the call as cancelled if the caller disconnects while it waits for capacity.
    let mut pending = PendingAttempt::new(shared, choice.clone());
    let admitted = accounts::admit(shared, id, &call).await;
    pending.disarm();
    let account = call.account.clone();
    let credit = match admitted {
        Ok(credit) => credit,
        Err(refusal) => {
            pending.report_neutral(&choice);
            body::discard(body::boxed(incoming), Instant::now() + DISCARD_TIME).await;
            let response = refuse(shared, id, parts, Some(&call), &refusal);
            accounts::settle(shared, account.as_ref(), None, &response);
            return response;
        }
    };
    let limit = shared.cfg.replay_limit;
    match RequestBody::read(parts, incoming, limit, &call, lease).await {
        Ok(request_body) => {
            let forwarder = Forwarder {
                shared,
                id,
                parts,
                request_body,
                tried: Vec::new(),
                unsent: 0,
            };
            let response = match accounts::recheck(shared, &call) {
                Ok(()) => forwarder.run(call, choice, now).await,
                Err(refusal) => {
                    PendingAttempt::release(shared, choice);
                    refuse(shared, id, parts, Some(&call), &refusal)
                }
            };
            accounts::settle(shared, account.as_ref(), credit.as_ref(), &response);
            response
        }
        Err(refusal) if refusal.reason == Reason::Overload => {
            let mut pending = PendingAttempt::new(shared, choice.clone());
            pending.disarm();
            pending.report_neutral(&choice);
            refuse(shared, id, parts, Some(&call), &refusal)
        }
        Err(refusal) => {
            // The caller aborted its body, which counts as a cancelled call.
            drop(PendingAttempt::new(shared, choice));
            let response = refusal.response(now);
            accounts::settle(shared, account.as_ref(), credit.as_ref(), &response);
            response
        }
    }
}

/// Returns whether the refusal says that the lists don't allow the call.
fn denies(refusal: &Refusal) -> bool {
    matches!(refusal.reason, Reason::NoGrant | Reason::UnknownKey)
}

/// Waits until it is known that the version in force is recent enough to deny a call by it.
async fn confirm_version(
    shared: &Shared,
    tree: &Arc<Tree>,
    parts: &Parts,
    now: Instant,
) -> Result<(), Refusal> {
    confirm(shared, tree, parts, now, MAX_VERSION_AGE).await
}

/// Waits until it is known that no newer version may have revoked the key of a call.
async fn confirm_contact(
    shared: &Shared,
    tree: &Arc<Tree>,
    parts: &Parts,
    now: Instant,
) -> Result<(), Refusal> {
    confirm(shared, tree, parts, now, MAX_REVOCATION_AGE).await
}

async fn confirm(
    shared: &Shared,
    tree: &Arc<Tree>,
    parts: &Parts,
    now: Instant,
    max_age: Duration,
) -> Result<(), Refusal> {
    let default_timeout = shared.cfg.default_timeout;
    let deadline = call::deadline_of(&shared.dialect, &parts.headers, now, default_timeout)?;
    let time_left = deadline.saturating_duration_since(now);
    let until = now + CONFIRM_TIMEOUT.min(time_left / CONFIRM_DIVISOR);
    let since = now.checked_sub(max_age).unwrap_or(now);
    if tree.confirm_current(since, until).await {
        return Ok(());
    }
    let detail = "the configuration may be out of date: no source has confirmed it in time";
    Err(Refusal::not_run(Reason::NotReady, detail))
}

fn route_request(
    shared: &Shared,
    id: CallId,
    parts: &Parts,
    incoming: &Incoming,
    caller: IpAddr,
    now: Instant,
) -> Result<(Box<Call>, Choice), Refusal> {
    let dialect = &shared.dialect;
    let host = call::host_of(&parts.uri, &parts.headers)?;
    let target = match dialect.caller_identity {
        CallerIdentity::Key => Target::Service {
            key: call::bearer_token(&parts.headers)?,
            service: host.into(),
        },
        CallerIdentity::Host => Target::Plan(host),
    };
    let default_timeout = shared.cfg.default_timeout;
    let streamed = !fits_limit(incoming, shared.cfg.replay_limit);
    let head = RequestHead {
        target,
        path: parts.uri.path(),
        deadline: call::deadline_of(dialect, &parts.headers, now, default_timeout)?,
        depth: call::depth_of(&parts.headers)?,
        method: &parts.method,
        idempotency_key: call::idempotency_key_of(&parts.method, &parts.headers),
        streamed: streamed && !parts.headers.contains_key(&dialect.timeout_ms),
        large_body: incoming.size_hint().lower() > intake::BODY_WINDOW.into(),
        credentials: accounts::credentials(dialect, &parts.headers),
        caller,
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
        request = shared.dialect.request_id_of(&parts.headers),
        call = id,
        plan = call.map_or("?", |call| call.plan.as_str()),
        service = call.map_or("?", |call| call.service.as_str()),
        reason = refusal.reason,
        outcome = refusal.outcome,
        detail = refusal.detail,
    );
    shared.metrics.early().record(refusal.early);
    if let Some(call) = call {
        shared.metrics.record_call(call.rank, call_outcome(refusal));
    }
    refusal.response(Instant::now())
}

pub(super) const fn call_outcome(refusal: &Refusal) -> CallOutcome {
    match (refusal.reason, refusal.outcome) {
        (Reason::Deadline, _) => CallOutcome::Deadline,
        (_, Outcome::NotRun) => CallOutcome::NotRun,
        (_, Outcome::Unknown) => CallOutcome::Unknown,
    }
}
