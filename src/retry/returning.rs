//! Time that a caller has used before a request: a caller that was refused returns with less time than
//! it had at first.
//!
//! Load addressed: overload in which refused callers return. Their answers are late from the caller's
//! point of view, but a daemon that measures lateness from the arrival of a request takes them for new
//! callers, and serves them in place of callers that can still be answered in time.

use {
    crate::model::GrantKey,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Time after which the longest timeout that callers of a route sent is forgotten, so that a single
/// long one does not mark all later callers as returning ones.
const PERIOD: Duration = Duration::from_secs(30);
/// Shorter differences are rounding, or time that the caller spent on connecting.
const MIN_USED: Duration = Duration::from_millis(20);
/// Maximum number of routes that are tracked, beyond which all are forgotten.
const MAX_ROUTES: usize = 4_096;

/// Longest timeouts that callers sent, by route.
///
/// A caller that always gives less time than others of its route counts as returning. That costs it its
/// precedence only while calls have to be refused or answered late.
///
/// ```
/// use anvilbeam::{model::GrantKey, retry::ReturningCallers};
/// use std::time::{Duration, Instant};
///
/// let route = GrantKey { plan: "clerks".into(), service: "roll".into(), path: "/".into() };
/// let now = Instant::now();
/// let mut callers = ReturningCallers::default();
/// let mut used = |seconds| callers.time_used(&route, Duration::from_secs(seconds), now);
/// assert_eq!(used(4), Duration::ZERO);
/// assert_eq!(used(3), Duration::from_secs(1));
/// ```
#[derive(Debug, Default)]
pub struct ReturningCallers {
    routes: HashMap<GrantKey, Longest>,
}

/// Longest timeout in the current and in the previous period.
#[derive(Debug)]
struct Longest {
    current: Duration,
    previous: Duration,
    period_end: Instant,
}

impl ReturningCallers {
    /// Returns the time that the caller of a request with the timeout `left` is expected to have used
    /// before it.
    pub fn time_used(&mut self, route: &GrantKey, left: Duration, now: Instant) -> Duration {
        if !self.routes.contains_key(route) {
            if self.routes.len() >= MAX_ROUTES {
                self.routes.clear();
            }
            let first = Longest {
                current: left,
                previous: Duration::ZERO,
                period_end: now + PERIOD,
            };
            self.routes.insert(route.clone(), first);
            return Duration::ZERO;
        }
        let Some(longest) = self.routes.get_mut(route) else {
            return Duration::ZERO;
        };
        if now >= longest.period_end {
            longest.previous = longest.current;
            longest.current = Duration::ZERO;
            longest.period_end = now + PERIOD;
        }
        longest.current = longest.current.max(left);
        let used = longest.current.max(longest.previous).saturating_sub(left);
        if used < MIN_USED {
            return Duration::ZERO;
        }
        used
    }
}
