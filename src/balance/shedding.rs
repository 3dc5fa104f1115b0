//! Limit on the calls that backend servers refuse, while all servers of a service shed load.
//!
//! A refusal says little about the next server, so calls that are sent again meet the next refusal,
//! and callers that return at once do too. [`Shedding`] keeps the refused calls below a share of the
//! arrivals: beyond it, calls are rejected before they are sent, and their callers are told to return
//! at different times. Rejected calls are arrivals too, so the calls that pass in proportion to them
//! show at once when servers accept calls again.

use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// Refused calls, in percent of the arrivals, beyond which calls are rejected.
pub const MAX_REFUSED_PERCENT: u32 = 10;
/// Refused calls as a share of the arrivals beyond which refused calls are not sent again.
const MAX_RESEND_SHARE: f64 = 0.05;
/// Refused calls that are always allowed, so that a daemon with few calls sends some.
const MIN_REFUSED: f64 = 1.0;
/// Mean age of the counted calls: the window of the retry budget.
const WINDOW: Duration = crate::retry::BUDGET_WINDOW;
/// Part of a caller's remaining time that it waits at most: callers come back up to three times.
const RETURN_DIVISOR: u32 = 3;
/// Longest time after which a rejected caller is told to return. The end of the shedding is unknown,
/// and callers that return later than this miss most target latencies.
const MAX_RETURN: Duration = Duration::from_secs(2);
/// Part of the time to return that passes for all callers; their returns are spread over the rest.
const MIN_RETURN_PART: f64 = 0.25;

/// Arrivals for one service, or of one route, and the calls among them that were refused. The counts
/// decay over [`WINDOW`].
///
/// ```
/// use anvilbeam::balance::Shedding;
/// let now = std::time::Instant::now();
/// let mut shedding = Shedding::new(now);
/// assert!(shedding.allows(now));
/// for _ in 0..5 {
///     shedding.arrived(1.0, now);
///     shedding.refused(1.0, now);
/// }
/// assert!(!shedding.allows(now));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Shedding {
    /// Largest share of the arrivals that may be refused.
    max_share: f64,
    arrivals: f64,
    refused: f64,
    at: Instant,
}

impl Shedding {
    /// Creates the state of a service without calls, with [`MAX_REFUSED_PERCENT`].
    pub fn new(now: Instant) -> Self {
        Self::with_percent(MAX_REFUSED_PERCENT, now)
    }

    /// Creates the state of a service without calls; with 100 `percent`, no call is rejected.
    pub fn with_percent(percent: u32, now: Instant) -> Self {
        Self {
            max_share: f64::from(percent) / 100.0,
            arrivals: 0.0,
            refused: 0.0,
            at: now,
        }
    }

    /// Counts `calls` that arrived, whether or not they are sent.
    pub fn arrived(&mut self, calls: f64, now: Instant) {
        self.decay(now);
        self.arrivals += calls;
    }

    /// Counts `calls` that were refused.
    pub fn refused(&mut self, calls: f64, now: Instant) {
        self.decay(now);
        self.refused += calls;
    }

    /// Returns whether a call may be sent.
    pub fn allows(&mut self, now: Instant) -> bool {
        self.decay(now);
        self.max_share >= 1.0 || self.refused <= MIN_REFUSED.max(self.arrivals * self.max_share)
    }

    /// Returns whether a refused call may be sent again.
    pub fn allows_resend(&mut self, now: Instant) -> bool {
        self.decay(now);
        self.refused <= MIN_REFUSED.max(self.arrivals * MAX_RESEND_SHARE)
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.at);
        if age.is_zero() {
            return;
        }
        let factor = (-age.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        self.arrivals *= factor;
        self.refused *= factor;
        self.at = now;
    }
}

/// Returns when the caller of a rejected call should return: at a random time within a third of what
/// is left until its deadline, so that callers that are rejected together don't return together.
pub fn return_at(deadline: Instant, now: Instant, random: u64) -> Instant {
    let left = deadline.saturating_duration_since(now);
    let latest = (left / RETURN_DIVISOR).min(MAX_RETURN);
    let fraction = (random >> 11) as f64 / (1u64 << 53) as f64;
    now + latest.mul_f64(MIN_RETURN_PART + (1.0 - MIN_RETURN_PART) * fraction)
}
