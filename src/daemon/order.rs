//! Orders (non-idempotent calls): the idempotency key is claimed before the call runs, and the
//! answer is recorded for resends.

use {
    super::{
        answer::{self, Answer},
        owner::{self, Slot},
        shared::Shared,
    },
    crate::{
        body::{self, Body, MonitoredBody, Progress, Start},
        call::{self, Call, MAX_REPLAY_BYTES},
        claim_client::{ClaimGroup, ClaimOutcome},
        claims::{Attempt, ClaimKey, MAX_STORED_BODY, Reply, StoredAnswer},
        events::Event as LogEvent,
        log_event,
        model::{Digest, PlanName, Region},
        refusal::{Outcome, Reason, Refusal},
    },
    http::{HeaderName, HeaderValue, Request, Response, StatusCode, request::Parts},
    hyper::body::Body as _,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

/// Time before the deadline at which the answer is sent to the caller, recorded or not. Waiting
/// until the deadline for an unreachable claims group would lose the answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// Runs an order, or replays its recorded answer.
pub(super) async fn run(
    shared: Arc<Shared>,
    call: Call,
    req: Request<Body>,
) -> Result<Response<Body>, Refusal> {
    let (request, req) = request_digest(&call, req).await?;
    // An order whose caller disconnects while it waits for a slot is cancelled.
    let slot = owner::acquire_slot(&shared, &call).await?;
    // From here on the outcome must be recorded, so the task continues if the caller disconnects.
    let order = tokio::spawn(async move { claim_and_run(&shared, slot, call, request, req).await });
    order
        .await
        .unwrap_or_else(|e| Err(Refusal::unknown(Reason::Failed, format!("order task: {e}"))))
}

async fn claim_and_run(
    shared: &Shared,
    slot: Slot,
    call: Call,
    request: Digest,
    req: Request<Body>,
) -> Result<Response<Body>, Refusal> {
    let group = claims_group(shared, &call.home_region)?;
    let idempotency_key = call.idempotency_key.as_deref().unwrap_or_default();
    let key = ClaimKey::new(&call.plan, idempotency_key);
    let claimed = group.claim(key, request, &shared.cfg.name, call.deadline);
    match claimed.await {
        ClaimOutcome::Granted(attempt) => {
            log_event!(
                LogEvent::ClaimGranted,
                plan = call.plan,
                key = idempotency_key
            );
            let claim = GrantedClaim {
                group,
                key,
                attempt,
            };
            claim.run(slot, &call, req).await
        }
        ClaimOutcome::Refused(reply) => answer_from_reply(&call.plan, idempotency_key, reply),
        ClaimOutcome::Unavailable(reason) => {
            log_event!(
                LogEvent::ClaimsUnreachable,
                plan = call.plan,
                reason = reason
            );
            Err(Refusal::not_run(Reason::ClaimsUnavailable, reason))
        }
        // This attempt did not run, but an earlier one may have, and the claims group can't tell.
        ClaimOutcome::MaybeClaimed(reason) => {
            log_event!(
                LogEvent::ClaimUnknown,
                plan = call.plan,
                key = idempotency_key,
                reason = reason
            );
            Err(Refusal::unknown(Reason::ClaimsUnavailable, reason))
        }
    }
}

fn claims_group<'a>(shared: &'a Shared, home_region: &str) -> Result<&'a ClaimGroup, Refusal> {
    shared.claims.get(home_region).ok_or_else(|| {
        let detail = format!("no claims group is configured for home region {home_region:?}");
        Refusal::not_run(Reason::ClaimsUnavailable, detail)
    })
}

/// Checks a `not-run` refusal of an order against the claims group, since an earlier send of the
/// same order may have run. Returns the answer of that send, a refusal with an unknown outcome, or
/// the refusal itself if no earlier send ran.
pub(super) async fn confirm_not_run(
    shared: &Shared,
    plan: &PlanName,
    home_region: &Region,
    key: &str,
    refusal: &Refusal,
) -> Result<Response<Body>, Refusal> {
    let unknown = |reason: String| {
        let detail = format!("{}; an earlier send may have run: {reason}", refusal.detail);
        Refusal {
            outcome: Outcome::Unknown,
            detail,
            ..refusal.clone()
        }
    };
    let group = claims_group(shared, home_region.as_str()).map_err(|e| unknown(e.detail))?;
    match group.peek(ClaimKey::new(plan, key)).await {
        Ok(None) => Err(refusal.clone()),
        Ok(Some(reply)) => answer_from_reply(plan, key, reply),
        Err(e) => Err(unknown(e.to_string())),
    }
}

/// Returns the digest of the request, which detects the reuse of a key for a different request.
/// The body is part of it if its length is known and at most [`MAX_REPLAY_BYTES`].
async fn request_digest(
    call: &Call,
    req: Request<Body>,
) -> Result<(Digest, Request<Body>), Refusal> {
    let (parts, incoming) = req.into_parts();
    let prefix = digest_prefix(call, &parts);
    let size = incoming.size_hint().exact();
    if size.is_none_or(|size| size > MAX_REPLAY_BYTES) {
        return Ok((
            Digest::of(prefix.as_bytes()),
            Request::from_parts(parts, incoming),
        ));
    }
    let watched = MonitoredBody::new(incoming, Progress::new(), |_| ());
    let bytes = body::collect(body::boxed(watched), MAX_REPLAY_BYTES as usize)
        .await
        .map_err(|e| {
            Refusal::not_run(Reason::BadRequest, format!("reading the body failed: {e}"))
        })?;
    let mut buf = prefix.into_bytes();
    buf.extend_from_slice(&bytes);
    let req = Request::from_parts(parts, body::full(bytes));
    Ok((Digest::of(&buf), req))
}

fn digest_prefix(call: &Call, parts: &Parts) -> String {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    format!("{}\0{}\0{path}\0", call.service, parts.method)
}

/// A granted claim of an idempotency key.
struct GrantedClaim<'a> {
    group: &'a ClaimGroup,
    key: ClaimKey,
    attempt: Attempt,
}

impl GrantedClaim<'_> {
    async fn run(
        &self,
        mut slot: Slot,
        call: &Call,
        req: Request<Body>,
    ) -> Result<Response<Body>, Refusal> {
        if let Err(refusal) = slot.start_run(owner::fingerprint(call, &req)) {
            return Err(self.release(refusal).await);
        }
        match owner::send(&slot, call, req).await {
            Ok(answer) => self.record(slot, call, answer).await,
            Err(refusal) if refusal.outcome == Outcome::NotRun => Err(self.release(refusal).await),
            Err(refusal) => {
                log_event!(
                    LogEvent::ClaimUnknown,
                    plan = call.plan,
                    reason = refusal.detail
                );
                Err(refusal)
            }
        }
    }

    /// Releases the claim of a request that did not run. The key may stay claimed if the release is
    /// not confirmed, so the outcome is then unknown.
    async fn release(&self, refusal: Refusal) -> Refusal {
        match self.group.release(self.key, self.attempt).await {
            Ok(()) => {
                log_event!(LogEvent::ClaimReleased, reason = refusal.detail);
                refusal
            }
            Err(e) => {
                log_event!(LogEvent::ClaimUnknown, reason = e);
                Refusal::unknown(refusal.reason, format!("{}; {e}", refusal.detail))
            }
        }
    }

    async fn record(
        &self,
        slot: Slot,
        call: &Call,
        answer: Answer,
    ) -> Result<Response<Body>, Refusal> {
        let size = answer.response.body().size_hint().exact();
        if size.is_none_or(|size| size > MAX_STORED_BODY as u64) {
            let stored_answer = stored_answer(&answer.response, None);
            self.finish(call, stored_answer).await;
            return Ok(answer::stream(slot, answer));
        }
        let by = answer.buffer_by;
        let (parts, mut incoming) = answer::stream(slot, answer).into_parts();
        // The length is known, so that the body does not exceed the limit.
        let (Start::Whole(bytes) | Start::Part(bytes)) =
            answer::read_start(&mut incoming, MAX_STORED_BODY, by).await?;
        let response = Response::from_parts(parts, ());
        self.finish(call, stored_answer(&response, Some(bytes.to_vec())))
            .await;
        Ok(response.map(|()| body::full(bytes)))
    }

    /// Records the answer. Waits for the record only as long as the caller can still receive its
    /// answer in time; a resend without a record is refused with an unknown outcome.
    async fn finish(&self, call: &Call, answer: StoredAnswer) {
        let (group, key, attempt) = (self.group.clone(), self.key, self.attempt);
        let plan = call.plan.clone();
        let recording = tokio::spawn(async move {
            if let Err(e) = group.finish(key, attempt, answer).await {
                log_event!(LogEvent::ClaimUnknown, plan = plan, reason = e);
            }
        });
        let left = call.deadline.saturating_duration_since(Instant::now());
        let wait = if call.streamed {
            call::MAX_TIMEOUT
        } else {
            left.saturating_sub(ANSWER_MARGIN)
        };
        // The spawned task continues after the timeout.
        let _timed_out = timeout(wait, recording).await;
    }
}

fn stored_answer<B>(response: &Response<B>, bytes: Option<Vec<u8>>) -> StoredAnswer {
    let headers = response.headers().iter();
    StoredAnswer {
        status: response.status().as_u16(),
        headers: headers
            .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
            .collect(),
        body: bytes,
    }
}

fn answer_from_reply(plan: &PlanName, key: &str, reply: Reply) -> Result<Response<Body>, Refusal> {
    match reply {
        Reply::Done(answer) => {
            log_event!(LogEvent::ClaimRepeated, plan = plan, key = key);
            replay_answer(answer)
        }
        Reply::Pending { owner } => {
            log_event!(
                LogEvent::ClaimUnknown,
                plan = plan,
                key = key,
                owner = owner
            );
            Err(Refusal::unknown(
                Reason::Duplicate,
                format!(
                    "a request with this key was sent to daemon {owner}; its outcome is unknown"
                ),
            ))
        }
        Reply::Mismatch => Err(Refusal::not_run(
            Reason::KeyReused,
            "the idempotency key was already used for a different request",
        )),
        reply => Err(Refusal::unknown(
            Reason::ClaimsUnavailable,
            format!("unexpected reply of the claims group: {reply:?}"),
        )),
    }
}

fn replay_answer(answer: StoredAnswer) -> Result<Response<Body>, Refusal> {
    let Some(bytes) = answer.body else {
        return Err(Refusal::unknown(
            Reason::AnswerGone,
            format!(
                "the request ran and was answered with status {}; the answer is not stored",
                answer.status
            ),
        ));
    };
    let mut response = Response::new(body::full(bytes));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    for (name, value) in &answer.headers {
        let pair = HeaderName::from_bytes(name.as_bytes())
            .ok()
            .zip(HeaderValue::from_bytes(value).ok());
        if let Some((name, value)) = pair {
            response.headers_mut().append(name, value);
        }
    }
    call::strip_hop_by_hop(response.headers_mut());
    call::strip_mesh_headers(response.headers_mut());
    Ok(response)
}
