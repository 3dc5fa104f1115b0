//! Retry budget: limits retries to a fraction of the calls in a sliding window.

use std::time::{Duration, Instant};

/// Length of the sliding window over which calls and retries are counted.
pub const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Number of calls in the window for each allowed retry: retries are at most 10% of calls.
pub const CALLS_PER_RETRY: u64 = 10;
/// Retries allowed in any window, so that a daemon with few calls can retry at all.
pub const MIN_RETRIES: u64 = 3;

const BUCKET_LENGTH: Duration = Duration::from_secs(1);
/// Buckets that overlap the window: a window that is not aligned to buckets touches 11 of them.
const BUCKETS: usize = 11;

/// Sliding-window counts of first attempts and retries.
///
/// The counted calls never cover more than the window and the counted retries never less, so no
/// window of length `BUDGET_WINDOW` that ends with a retry exceeds the allowed fraction.
///
/// ```
/// use anvilbeam::retry::{Budget, MIN_RETRIES};
/// let now = std::time::Instant::now();
/// let mut budget = Budget::new(now);
/// assert!((0..MIN_RETRIES).all(|_| budget.try_spend(now)));
/// assert!(!budget.try_spend(now));
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    origin: Instant,
    /// Number of the newest bucket, counted from `origin`.
    newest_bucket: u64,
    calls: [u64; BUCKETS],
    retries: [u64; BUCKETS],
}

impl Budget {
    /// Creates a budget without any recorded calls.
    pub const fn new(now: Instant) -> Self {
        Self {
            origin: now,
            newest_bucket: 0,
            calls: [0; BUCKETS],
            retries: [0; BUCKETS],
        }
    }

    /// Records the first attempt of a call.
    pub fn count_call(&mut self, now: Instant) {
        self.advance(now);
        self.calls[self.newest_index()] += 1;
    }

    /// Spends one retry; returns false if the budget of the window is exhausted.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.advance(now);
        // The oldest bucket may start before the window: its retries are counted, its calls not.
        let oldest = (self.newest_index() + 1) % BUCKETS;
        let calls = self.calls.iter().sum::<u64>() - self.calls[oldest];
        let retries = self.retries.iter().sum::<u64>();
        if retries >= MIN_RETRIES.max(calls / CALLS_PER_RETRY) {
            return false;
        }
        self.retries[self.newest_index()] += 1;
        true
    }

    /// Spends one retry if less than half of the budget is used; returns whether it did.
    ///
    /// For optional attempts such as hedged requests, which must leave budget for retries.
    pub fn try_spend_optional(&mut self, now: Instant) -> bool {
        self.advance(now);
        let oldest = (self.newest_index() + 1) % BUCKETS;
        let calls = self.calls.iter().sum::<u64>() - self.calls[oldest];
        let retries = self.retries.iter().sum::<u64>();
        if 2 * retries >= MIN_RETRIES.max(calls / CALLS_PER_RETRY) {
            return false;
        }
        self.try_spend(now)
    }

    fn newest_index(&self) -> usize {
        (self.newest_bucket % BUCKETS as u64) as usize
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.origin);
        let bucket = elapsed.as_secs() / BUCKET_LENGTH.as_secs();
        let skipped = bucket
            .saturating_sub(self.newest_bucket)
            .min(BUCKETS as u64);
        if bucket <= self.newest_bucket {
            return;
        }
        self.newest_bucket = bucket - skipped;
        for _ in 0..skipped {
            self.newest_bucket += 1;
            let index = self.newest_index();
            self.calls[index] = 0;
            self.retries[index] = 0;
        }
    }
}
