//! Retry policy: whether and when a failed call is sent again, within a retry budget.
//!
//! In a chain of nested calls, at most one level retries. `RETRIED_HEADER` on a failure tells the
//! levels above that this level has already handled its retries; on a request, it tells the levels
//! below that the request is a retry. One call at the top of a chain of any depth therefore causes
//! at most `MAX_ATTEMPTS` calls at its leaf.

use {
    crate::model::ServerName,
    http::{HeaderName, Method},
    std::time::{Duration, Instant},
    strum::Display,
};

mod budget;
mod returning;
#[cfg(test)]
mod tests;

pub use {
    budget::{BUDGET_WINDOW, Budget, CALLS_PER_RETRY, Limits, MIN_RETRIES},
    returning::ReturningCallers,
};

/// Header with the value `1` on a failure that a level has already retried or declined to retry,
/// and on a request that is itself a retry.
pub const RETRIED_HEADER: HeaderName = HeaderName::from_static("anvilbeam-retried");
/// Maximum number of attempts of one call at one level, including the first.
pub const MAX_ATTEMPTS: u32 = 3;
/// Maximum number of attempts beyond these that certainly did not reach a backend server.
const MAX_UNSENT: usize = 3;
/// Upper bound of the first backoff when there is no retry-after hint; doubles with each attempt.
const BASE_BACKOFF: Duration = Duration::from_millis(25);
/// Upper bound of a retry-after hint, whose value another process controls.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);
/// Minimum time between a retry and the deadline; a retry with less time left would be wasted.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(2);

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// The connection to the server could not be established.
    ConnectionRefused,
    /// The owner daemon refused the call without running it; another server may run it.
    NotRun,
    /// The owner daemon has no free slot; the call has not run.
    Overloaded {
        /// Minimum delay requested by the owner daemon; `None` if it sent no hint.
        retry_after: Option<Duration>,
    },
    /// The owner daemon refused the call because the calls that it would make are being rejected.
    InnerCallsRejected,
    /// The connection was lost after the call was sent.
    ConnectionLost,
    /// The backend server answered with a possibly transient error (502, 503 or 504).
    ServerFault,
    /// The plan has exceeded its capacity.
    CapacityExceeded,
    /// The plan has no grant for the service.
    NoGrant,
    /// No backend server that the plan may use is available.
    NoServer,
    /// The request is condemned because it crashed backend servers.
    CrashCondemned,
    /// The order is still running or its outcome is unknown.
    OrderPending,
    /// The caller has disconnected or its deadline has passed.
    Abandoned,
}

impl Cause {
    /// Returns true if a call that failed for this cause has certainly not run.
    pub const fn is_not_run(self) -> bool {
        match self {
            Self::ConnectionRefused
            | Self::NotRun
            | Self::Overloaded { .. }
            | Self::InnerCallsRejected
            | Self::CapacityExceeded
            | Self::NoGrant
            | Self::NoServer
            | Self::CrashCondemned => true,
            Self::ConnectionLost | Self::ServerFault | Self::OrderPending | Self::Abandoned => {
                false
            }
        }
    }

    /// Returns true if the attempt certainly did not reach a backend server, and another one may accept
    /// the call at once.
    pub const fn is_unsent(self) -> bool {
        matches!(self, Self::ConnectionRefused | Self::NotRun)
    }

    /// Returns true if the backend server itself refused the call. Owner daemons say when to return.
    pub const fn is_refused_by_server(self) -> bool {
        matches!(self, Self::Overloaded { retry_after: None })
    }

    /// Returns true if the cause may be transient, so that a retry may succeed.
    const fn is_retryable(self) -> bool {
        matches!(
            self,
            Self::ConnectionRefused
                | Self::NotRun
                | Self::Overloaded { .. }
                | Self::ConnectionLost
                | Self::ServerFault
        )
    }
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Why the attempt failed.
    pub cause: Cause,
    /// Whether the failure carries `RETRIED_HEADER`, so a level below has handled the retries.
    pub retried_downstream: bool,
}

/// Whether a request body can be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// The whole body is buffered, or there is none.
    Replayable,
    /// Part of the body was streamed to a server without being buffered.
    Streamed,
}

/// State of a call at this level.
#[derive(Clone, Debug)]
pub struct Call {
    /// Whether running the call twice has the same effect as running it once.
    pub idempotent: bool,
    /// Deadline by which the caller needs the answer.
    pub deadline: Instant,
    /// Whether the body can be sent again.
    pub body: Body,
    /// Servers of the failed attempts, in order; the length is the number of attempts so far.
    pub tried: Vec<ServerName>,
    /// Number of these attempts that certainly did not reach a backend server, with the last one.
    pub unsent: usize,
    /// Maximum number of attempts, including the first.
    pub max_attempts: u32,
    /// Whether a server that has not been tried is expected to accept the call immediately.
    pub other_server_available: bool,
    /// Whether the request arrived with `RETRIED_HEADER`.
    pub is_retry: bool,
}

/// What to do after a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the call again, with `RETRIED_HEADER`.
    Retry {
        /// Earliest time of the next attempt.
        not_before: Instant,
        /// Servers that the next attempt must not use.
        exclude: Vec<ServerName>,
    },
    /// Return the failure to the caller.
    GiveUp(GiveUp),
}

/// Why a call is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum GiveUp {
    /// A retry would fail for the same cause.
    Cause,
    /// Another level of the chain handles the retries of this call.
    OtherLevel,
    /// The call may have run and is not idempotent.
    NotIdempotent,
    /// The body cannot be sent again.
    BodyStreamed,
    /// The maximum number of attempts is reached.
    Attempts,
    /// The next attempt would come too close to the deadline or after it.
    Deadline,
    /// The retry budget is exhausted.
    Budget,
    /// All servers shed load, so the caller is told when to return.
    AllOverloaded,
}

impl GiveUp {
    /// Returns true if the failure returned to the caller must carry `RETRIED_HEADER`.
    ///
    /// A failure that this level was unable to retry does not carry it: a level above may still
    /// retry the call.
    pub const fn sets_retried_header(self) -> bool {
        match self {
            Self::OtherLevel | Self::Attempts | Self::Deadline | Self::Budget => true,
            Self::Cause | Self::NotIdempotent | Self::BodyStreamed | Self::AllOverloaded => false,
        }
    }
}

/// Returns true if the HTTP method is idempotent and can be proxied.
///
/// ```
/// use anvilbeam::retry::is_idempotent;
/// assert!(is_idempotent(&http::Method::PUT));
/// assert!(!is_idempotent(&http::Method::PATCH));
/// ```
pub fn is_idempotent(method: &Method) -> bool {
    // TRACE is idempotent too, but the daemon does not proxy it.
    [
        Method::GET,
        Method::HEAD,
        Method::OPTIONS,
        Method::PUT,
        Method::DELETE,
    ]
    .contains(method)
}

/// Decides whether a failed call is retried, and charges a retry to `budget`.
///
/// `random` is a fresh random number for the jitter of the backoff.
///
/// ```
/// use anvilbeam::retry::{Body, Budget, Call, Cause, Decision, Failure, GiveUp, decide};
/// use std::time::{Duration, Instant};
/// let now = Instant::now();
/// let call = Call {
///     idempotent: false,
///     unsent: 0,
///     max_attempts: 3,
///     other_server_available: false,
///     deadline: now + Duration::from_secs(1),
///     body: Body::Replayable,
///     tried: vec!["v1".into()],
///     is_retry: false,
/// };
/// let lost = Failure { cause: Cause::ConnectionLost, retried_downstream: false };
/// let decision = decide(&lost, &call, &mut Budget::new(now), now, 7);
/// assert_eq!(decision, Decision::GiveUp(GiveUp::NotIdempotent));
/// ```
pub fn decide(
    failure: &Failure,
    call: &Call,
    budget: &mut Budget,
    now: Instant,
    random: u64,
) -> Decision {
    let by_arrivals = budget.limits().by_arrivals;
    if let Some(reason) = give_up_reason(failure, call, by_arrivals) {
        return Decision::GiveUp(reason);
    }
    let overloaded = matches!(failure.cause, Cause::Overloaded { .. });
    let use_other_server = overloaded && call.other_server_available;
    let not_before = if use_other_server {
        now
    } else {
        now + backoff(failure.cause, call.tried.len(), random)
    };
    if not_before + MIN_REMAINING_TIME > call.deadline {
        return Decision::GiveUp(GiveUp::Deadline);
    }
    let reached_none = call.unsent >= call.tried.len();
    let paid = match failure.cause {
        _ if by_arrivals && reached_none => true,
        Cause::Overloaded { .. } if by_arrivals => budget.try_spend_optional(now),
        _ => budget.try_spend(now),
    };
    if !paid {
        return Decision::GiveUp(GiveUp::Budget);
    }
    // After a backoff that covers the hint, the overloaded server may be used again, and the
    // balancer prefers less loaded ones anyway.
    let exclude = match failure.cause {
        Cause::Overloaded { .. } if !use_other_server => Vec::new(),
        _ => call.tried.clone(),
    };
    Decision::Retry {
        not_before,
        exclude,
    }
}

/// Returns the reason that forbids a retry, apart from the deadline and the budget.
fn give_up_reason(failure: &Failure, call: &Call, by_arrivals: bool) -> Option<GiveUp> {
    if !failure.cause.is_retryable() {
        return Some(GiveUp::Cause);
    }
    if failure.retried_downstream || call.is_retry {
        return Some(GiveUp::OtherLevel);
    }
    if !failure.cause.is_not_run() && !call.idempotent {
        return Some(GiveUp::NotIdempotent);
    }
    if call.body == Body::Streamed {
        return Some(GiveUp::BodyStreamed);
    }
    let unsent = if by_arrivals { call.unsent } else { 0 };
    let attempts = call.tried.len().saturating_sub(unsent.min(MAX_UNSENT));
    (attempts >= call.max_attempts as usize).then_some(GiveUp::Attempts)
}

/// Returns the delay before the next attempt.
fn backoff(cause: Cause, attempts: usize, random: u64) -> Duration {
    let doublings = attempts.saturating_sub(1).min(MAX_ATTEMPTS as usize) as u32;
    let bound = BASE_BACKOFF * 2u32.pow(doublings);
    match cause {
        // Another server may accept the call immediately.
        Cause::ConnectionRefused | Cause::NotRun => Duration::ZERO,
        // Full jitter on top of the hint, so that refused calls are not retried in a burst.
        Cause::Overloaded { retry_after } => {
            let hint = retry_after.unwrap_or_default().min(MAX_RETRY_AFTER);
            hint + jitter(bound.max(hint), random)
        }
        _ => jitter(bound, random),
    }
}

/// Returns a delay distributed uniformly in `0..bound`.
fn jitter(bound: Duration, random: u64) -> Duration {
    let fraction = (random >> 11) as f64 / (1u64 << 53) as f64;
    bound.mul_f64(fraction)
}
