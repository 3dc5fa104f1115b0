//! Retries: whether a failed call may be sent again, when, and how many the daemon may send.
//!
//! At most one level of a chain of nested calls retries. A failure that a level has dealt with
//! carries `RETRIED_HEADER` upward, and a resent call carries it downward. So a chain of any depth
//! calls its leaf at most `MAX_ATTEMPTS` times for one call at its top.

use {
    crate::model::ServerName,
    http::{HeaderName, Method},
    std::time::{Duration, Instant},
    strum::Display,
};

mod budget;
#[cfg(test)]
mod tests;

pub use budget::{Budget, MIN_RETRIES, RETRY_SHARE, WINDOW};

/// Marks a failure that some level has already retried or declined to retry, and a call that is
/// itself a retry; its value is `1`.
pub const RETRIED_HEADER: HeaderName = HeaderName::from_static("anvilbeam-retried");
/// Sends of one call by one level, the first one included.
pub const MAX_ATTEMPTS: u32 = 3;
/// First upper bound of a wait without a hint; doubles with each attempt.
const BASE_WAIT: Duration = Duration::from_millis(25);
/// Limit of a retry-after hint, which comes from another process.
const MAX_HINT: Duration = Duration::from_mins(1);
/// Time that a resent call needs at least; with less a retry is wasted.
const MIN_TIME_LEFT: Duration = Duration::from_millis(2);

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// No connection to the server was made.
    ConnectionRefused,
    /// The server's owner refused the call as not run; another server may run it.
    NotRun,
    /// The server's owner has no slot for the call; it has not run.
    Overloaded {
        /// Least wait that the owner asks for.
        retry_after: Option<Duration>,
    },
    /// The connection was lost after the call was sent.
    ConnectionLost,
    /// The backend server answered with a fault that may pass (502, 503 or 504).
    ServerFault,
    /// The plan has used up its capacity.
    CapacityExceeded,
    /// The plan may not use the service.
    NoGrant,
    /// No backend server that the plan may use is announced.
    NoServer,
    /// The request has crashed backend servers.
    CrashCondemned,
    /// The order is being run or its outcome is unknown.
    OrderPending,
    /// The caller is gone or its deadline has passed.
    Abandoned,
}

impl Cause {
    /// Whether a call that failed so has certainly not run.
    pub const fn is_not_run(self) -> bool {
        match self {
            Self::ConnectionRefused
            | Self::NotRun
            | Self::Overloaded { .. }
            | Self::CapacityExceeded
            | Self::NoGrant
            | Self::NoServer
            | Self::CrashCondemned => true,
            Self::ConnectionLost | Self::ServerFault | Self::OrderPending | Self::Abandoned => {
                false
            }
        }
    }

    /// Whether sending the call again can help at all.
    const fn may_pass(self) -> bool {
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
    /// Why it failed.
    pub cause: Cause,
    /// Whether the failure carries `RETRIED_HEADER`.
    pub retried_below: bool,
}

/// What can still be sent of a call's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// The whole body is at hand, or there is none.
    Replayable,
    /// Part of the body was passed on and is gone.
    Streamed,
}

/// The call as this level knows it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Whether a second run does no harm.
    pub repeatable: bool,
    /// When the caller gives up.
    pub deadline: Instant,
    /// What can still be sent of the body.
    pub body: Body,
    /// Servers that failed so far, the last one last; its length is the number of attempts.
    pub tried: Vec<ServerName>,
    /// Backend servers to which the call may be sent.
    pub attempts: u32,
    /// Whether a server that was not tried is expected to take the call at once.
    pub elsewhere: bool,
    /// Whether the request arrived with `RETRIED_HEADER`.
    pub is_retry: bool,
}

/// What to do with a failed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it again, with `RETRIED_HEADER`.
    Retry {
        /// When to send it.
        not_before: Instant,
        /// Servers not to choose.
        exclude: Vec<ServerName>,
    },
    /// Pass the failure on.
    GiveUp(GiveUp),
}

/// Why a call is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum GiveUp {
    /// A resend meets the same cause.
    Cause,
    /// Another level deals with the retries of this call.
    OtherLevel,
    /// The call may have run and must not run twice.
    NotIdempotent,
    /// The body cannot be sent again.
    BodyStreamed,
    /// All attempts are used.
    Attempts,
    /// The wait does not end before the deadline.
    Deadline,
    /// The daemon has sent too many retries lately.
    Budget,
}

impl GiveUp {
    /// Whether the failure passed on must carry `RETRIED_HEADER`.
    ///
    /// A level above may still retry what this level could not send again itself.
    pub const fn is_marked(self) -> bool {
        match self {
            Self::OtherLevel | Self::Attempts | Self::Deadline | Self::Budget => true,
            Self::Cause | Self::NotIdempotent | Self::BodyStreamed => false,
        }
    }
}

/// Whether running a request of this method twice equals running it once.
///
/// ```
/// use anvilbeam::retry::is_idempotent;
/// assert!(is_idempotent(&http::Method::PUT));
/// assert!(!is_idempotent(&http::Method::PATCH));
/// ```
pub fn is_idempotent(method: &Method) -> bool {
    // TRACE is idempotent too, but is not proxied.
    [
        Method::GET,
        Method::HEAD,
        Method::OPTIONS,
        Method::PUT,
        Method::DELETE,
    ]
    .contains(method)
}

/// Decides on a failed call; a retry is taken from `budget`.
///
/// `random` is a fresh random number for the wait.
///
/// ```
/// use anvilbeam::retry::{Body, Budget, Call, Cause, Decision, Failure, GiveUp, decide};
/// use std::time::{Duration, Instant};
/// let now = Instant::now();
/// let call = Call {
///     repeatable: false,
///     attempts: 3,
///     elsewhere: false,
///     deadline: now + Duration::from_secs(1),
///     body: Body::Replayable,
///     tried: vec!["v1".into()],
///     is_retry: false,
/// };
/// let lost = Failure { cause: Cause::ConnectionLost, retried_below: false };
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
    if let Some(reason) = obstacle(failure, call) {
        return Decision::GiveUp(reason);
    }
    let refused = matches!(failure.cause, Cause::Overloaded { .. });
    let elsewhere = refused && call.elsewhere;
    let not_before = if elsewhere {
        now
    } else {
        now + wait(failure.cause, call.tried.len(), random)
    };
    if not_before + MIN_TIME_LEFT > call.deadline {
        return Decision::GiveUp(GiveUp::Deadline);
    }
    if !budget.take(now) {
        return Decision::GiveUp(GiveUp::Budget);
    }
    // The hint has passed by then, and the balancer prefers others by itself.
    let exclude = match failure.cause {
        Cause::Overloaded { .. } if !elsewhere => Vec::new(),
        _ => call.tried.clone(),
    };
    Decision::Retry {
        not_before,
        exclude,
    }
}

/// What forbids a retry, apart from time and budget.
fn obstacle(failure: &Failure, call: &Call) -> Option<GiveUp> {
    if !failure.cause.may_pass() {
        return Some(GiveUp::Cause);
    }
    if failure.retried_below || call.is_retry {
        return Some(GiveUp::OtherLevel);
    }
    if !failure.cause.is_not_run() && !call.repeatable {
        return Some(GiveUp::NotIdempotent);
    }
    if call.body == Body::Streamed {
        return Some(GiveUp::BodyStreamed);
    }
    let attempts = call.tried.len();
    (attempts >= call.attempts as usize).then_some(GiveUp::Attempts)
}

/// Wait before the next attempt.
fn wait(cause: Cause, attempts: usize, random: u64) -> Duration {
    let doublings = attempts.saturating_sub(1).min(MAX_ATTEMPTS as usize) as u32;
    let bound = BASE_WAIT * 2u32.pow(doublings);
    match cause {
        // Another server may take the call at once.
        Cause::ConnectionRefused | Cause::NotRun => Duration::ZERO,
        // Full jitter after the hint, so that refused calls do not come back together.
        Cause::Overloaded { retry_after } => {
            let hint = retry_after.unwrap_or_default().min(MAX_HINT);
            hint + jitter(bound.max(hint), random)
        }
        _ => jitter(bound, random),
    }
}

/// Uniform in `0..bound`.
fn jitter(bound: Duration, random: u64) -> Duration {
    let share = (random >> 11) as f64 / (1u64 << 53) as f64;
    bound.mul_f64(share)
}
