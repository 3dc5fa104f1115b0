//! Classification of an owner daemon's refusal for the retry policy and the load balancer, and of a
//! backend server's reaction for its pace.

#[cfg(test)]
mod tests;

use {
    crate::{
        backend::CallError,
        balance,
        pace::Reply,
        refusal::{Early, Outcome, Reason, Refusal},
        retry::Cause,
    },
    http::{Response, StatusCode},
    std::time::{Duration, Instant},
};

/// Returns what the result of a call that took `took` shows about the load of the own backend server.
/// `shed` says whether the server declared that it did not run the call.
pub(super) fn reply_of<B, C>(
    sent: &Result<(Response<B>, C), CallError>,
    shed: bool,
    took: Duration,
) -> Reply {
    match sent {
        Ok((response, _)) if shed => match response.status() {
            StatusCode::MISDIRECTED_REQUEST | StatusCode::BAD_REQUEST => Reply::Neutral,
            _ => Reply::Refused,
        },
        // Errors may come fast, or late from a service that the server calls.
        Ok((response, _)) if response.status().is_server_error() => Reply::Neutral,
        Ok(_) => Reply::Answered(took),
        // The server is no longer announced then, so its pace begins anew.
        Err(CallError::NotRun(_)) => Reply::Neutral,
        Err(CallError::ConnectionLost(_)) => Reply::Reset,
        Err(CallError::TimedOut) => Reply::Silent,
    }
}

/// Returns the retry cause of a refusal.
pub(super) fn retry_cause(refusal: &Refusal, now: Instant) -> Cause {
    if refusal.early == Some(Early::InnerCalls) {
        return Cause::InnerCallsRejected;
    }
    match refusal.reason {
        Reason::Overload | Reason::SuspectBusy => Cause::Overloaded {
            retry_after: refusal.retry_at.map(|at| at.saturating_duration_since(now)),
        },
        Reason::Draining | Reason::NotReady | Reason::NoServer => Cause::NotRun,
        Reason::ServerUnreachable => Cause::ConnectionRefused,
        Reason::Capacity => Cause::CapacityExceeded,
        Reason::Condemned => Cause::CrashCondemned,
        Reason::Failed => Cause::ConnectionLost,
        Reason::Deadline => Cause::Abandoned,
        Reason::Duplicate | Reason::AnswerGone | Reason::KeyReused | Reason::ClaimsUnavailable => {
            Cause::OrderPending
        }
        Reason::BadRequest | Reason::UnknownKey | Reason::NoGrant => Cause::NoGrant,
    }
}

/// Time for which other servers are preferred after an overload refusal without a `retry_after`.
const DEFAULT_OVERLOAD_DELAY: Duration = Duration::from_millis(100);

/// Returns the outcome that a failed attempt counts as in the load balancer.
pub(super) fn balance_outcome(cause: Cause, refusal: &Refusal) -> balance::Outcome {
    match cause {
        Cause::ConnectionRefused | Cause::NotRun => balance::Outcome::Unreachable,
        Cause::Overloaded { retry_after } => balance::Outcome::Overloaded {
            retry_after: retry_after.unwrap_or(DEFAULT_OVERLOAD_DELAY),
        },
        Cause::ConnectionLost | Cause::ServerFault => balance::Outcome::Failed,
        // A call that may have run until its deadline indicates a slow server; a call that was
        // still queued indicates an overloaded one.
        Cause::Abandoned if refusal.outcome == Outcome::Unknown => balance::Outcome::Failed,
        Cause::Abandoned => balance::Outcome::Overloaded {
            retry_after: DEFAULT_OVERLOAD_DELAY,
        },
        Cause::InnerCallsRejected
        | Cause::CapacityExceeded
        | Cause::NoGrant
        | Cause::NoServer
        | Cause::CrashCondemned
        | Cause::OrderPending => balance::Outcome::Neutral,
    }
}
