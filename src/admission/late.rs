//! Calls that can no longer meet their soft deadline.
//!
//! Load addressed: more calls than the server can run, for longer than a burst. Late calls start only
//! when no other call waits, so under lasting overload they would wait until their deadline and be
//! refused then, although this was known long before. A bound on their wait, and a refusal on arrival
//! while late calls wait already, let their callers try another time while it is still of use.

use {
    super::{Admission, Call, State},
    std::time::{Duration, Instant},
};

/// Part of the time between the soft deadline and the deadline of a call in which it may still start.
const LATE_DIVISOR: u32 = 8;

/// Returns the time by which a call must have started if it can no longer meet its soft deadline.
///
/// ```
/// use anvilbeam::admission::late_start;
/// use std::time::{Duration, Instant};
///
/// let soft_deadline = Instant::now();
/// let deadline = soft_deadline + Duration::from_secs(4);
/// let latest = late_start(soft_deadline, deadline);
/// assert_eq!(latest, soft_deadline + Duration::from_millis(500));
/// ```
pub fn late_start(soft_deadline: Instant, deadline: Instant) -> Instant {
    soft_deadline + deadline.saturating_duration_since(soft_deadline) / LATE_DIVISOR
}

impl Admission {
    /// Whether a call that has to wait for `wait` is expected to miss its soft deadline while other late
    /// calls wait, and has a bound on its wait.
    pub(super) fn has_late_backlog(&self, call: &Call<'_>, wait: Duration, now: Instant) -> bool {
        let (Some(soft_deadline), Some(_)) = (call.soft_deadline, call.late_start) else {
            return false;
        };
        let estimate = self.ranks[call.rank.index()].estimate(call.plan.as_str());
        let answer_at = now + wait + Duration::from_secs_f64(estimate.median());
        answer_at > soft_deadline && !self.deprioritized.is_empty()
    }

    /// Moves a waiting call behind all calls that can still meet their soft deadline. It starts at once if
    /// a slot is free and no other call waits, however late it is.
    pub(super) fn deprioritize(&mut self, id: u64) {
        let Some(mut entry) = self.dequeue(id) else {
            return;
        };
        if let State::Waiting { seq } = entry.state {
            entry.state = State::Deprioritized { seq };
            let latest_start = entry.late_start.unwrap_or(entry.latest_start);
            entry.latest_start = entry.latest_start.min(latest_start);
            self.deprioritized.insert((entry.rank, seq, id));
            self.expiry.insert((entry.latest_start, id));
        }
        self.calls.insert(id, entry);
    }
}
