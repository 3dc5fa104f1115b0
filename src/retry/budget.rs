//! Budget of retries: a share of the calls of a sliding window.

use std::time::{Duration, Instant};

/// Window over which calls and retries are compared.
pub const WINDOW: Duration = Duration::from_secs(10);
/// Retries per call that the window may hold, as one in so many: 10%.
pub const RETRY_SHARE: u64 = 10;
/// Retries that any window may hold, so that a quiet daemon can retry at all.
pub const MIN_RETRIES: u64 = 3;

const STEP: Duration = Duration::from_secs(1);
/// Steps that lie in the window at least in part: one more than the window has.
const STEPS: usize = 11;

/// Counts the calls and the retries of this daemon.
///
/// Calls are counted over the window at most and retries over the window at least, so no window of
/// `WINDOW` that ends with a retry exceeds the share.
///
/// ```
/// use anvilbeam::retry::{Budget, MIN_RETRIES};
/// let now = std::time::Instant::now();
/// let mut budget = Budget::new(now);
/// assert!((0..MIN_RETRIES).all(|_| budget.take(now)));
/// assert!(!budget.take(now));
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    origin: Instant,
    /// Number of the newest step since `origin`.
    newest: u64,
    calls: [u64; STEPS],
    retries: [u64; STEPS],
}

impl Budget {
    /// An empty budget.
    pub const fn new(now: Instant) -> Self {
        Self {
            origin: now,
            newest: 0,
            calls: [0; STEPS],
            retries: [0; STEPS],
        }
    }

    /// Counts a first attempt.
    pub fn count_call(&mut self, now: Instant) {
        self.advance(now);
        self.calls[self.slot()] += 1;
    }

    /// Takes one retry; false if the window holds too many.
    pub fn take(&mut self, now: Instant) -> bool {
        self.advance(now);
        // The oldest step may lie partly before the window: its retries count, its calls do not.
        let oldest = (self.slot() + 1) % STEPS;
        let calls = self.calls.iter().sum::<u64>() - self.calls[oldest];
        let retries = self.retries.iter().sum::<u64>();
        if retries >= MIN_RETRIES.max(calls / RETRY_SHARE) {
            return false;
        }
        self.retries[self.slot()] += 1;
        true
    }

    /// Takes one retry if less than half of the budget is used, for sends that are useful but not
    /// needed. Returns whether it was granted.
    pub fn take_spare(&mut self, now: Instant) -> bool {
        self.advance(now);
        let oldest = (self.slot() + 1) % STEPS;
        let calls = self.calls.iter().sum::<u64>() - self.calls[oldest];
        let retries = self.retries.iter().sum::<u64>();
        if 2 * retries >= MIN_RETRIES.max(calls / RETRY_SHARE) {
            return false;
        }
        self.take(now)
    }

    fn slot(&self) -> usize {
        (self.newest % STEPS as u64) as usize
    }

    fn advance(&mut self, now: Instant) {
        let since = now.saturating_duration_since(self.origin);
        let step = since.as_secs() / STEP.as_secs();
        let skipped = step.saturating_sub(self.newest).min(STEPS as u64);
        if step <= self.newest {
            return;
        }
        self.newest = step - skipped;
        for _ in 0..skipped {
            self.newest += 1;
            let slot = self.slot();
            self.calls[slot] = 0;
            self.retries[slot] = 0;
        }
    }
}
