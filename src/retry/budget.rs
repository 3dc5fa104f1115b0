//! Retry budget: limits retries to a fraction of the calls in a sliding window.

use std::time::{Duration, Instant};

/// Length of the sliding window over which calls and retries are counted.
pub const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Number of calls in the window for each allowed retry: retries are at most 10% of calls.
pub const CALLS_PER_RETRY: u64 = 10;
/// Retries allowed in any window, so that a daemon with few calls can retry at all.
pub const MIN_RETRIES: u64 = 3;

/// Limits of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Number of calls in the window for each allowed retry.
    pub calls_per_retry: u64,
    /// Retries allowed in any window.
    pub min_retries: u64,
    /// Whether an attempt that certainly reached no backend server costs nothing, and calls that were
    /// refused for overload leave half of the budget to those that may have run.
    pub by_arrivals: bool,
}

impl Limits {
    /// Limits for deployments without routes of the kind download.
    pub const USUAL: Self = Self {
        calls_per_retry: CALLS_PER_RETRY,
        min_retries: MIN_RETRIES,
        by_arrivals: false,
    };

    /// Limits that hold over all daemons where repeated sends are at most 0.2 of the requests of
    /// callers in 10 s, and 194 more. A caller sends a request up to three times, and each counts here
    /// as a call: 3/20, and the rest for repeats that are spread unevenly. Two retries for each of 79 daemons are less than 194.
    pub const OVER_ALL_DAEMONS: Self = Self {
        calls_per_retry: 20,
        min_retries: 2,
        by_arrivals: true,
    };
}

/// Resolution of the counts: a call that is a repeat with some probability counts in part.
const ONE: u64 = 1000;

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
    limits: Limits,
    origin: Instant,
    /// Number of the newest bucket, counted from `origin`.
    newest_bucket: u64,
    /// Calls and retries in each bucket, in units of 1/[`ONE`].
    calls: [u64; BUCKETS],
    retries: [u64; BUCKETS],
}

impl Budget {
    /// Creates a budget without any recorded calls.
    pub const fn new(now: Instant) -> Self {
        Self {
            limits: Limits::USUAL,
            origin: now,
            newest_bucket: 0,
            calls: [0; BUCKETS],
            retries: [0; BUCKETS],
        }
    }

    /// Sets the limits, which depend on the configuration in force.
    pub const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns the limits.
    pub const fn limits(&self) -> Limits {
        self.limits
    }

    /// Records the first attempt of a call.
    pub fn count_call(&mut self, now: Instant) {
        self.count_inner_call(now, 0.0);
    }

    /// Records the first attempt of a call that a run makes. `repeated` is the probability that the run
    /// is itself a retry; in that case the call counts as a retry.
    pub fn count_inner_call(&mut self, now: Instant, repeated: f64) {
        self.advance(now);
        let index = self.newest_index();
        let retry = (repeated.clamp(0.0, 1.0) * ONE as f64).ceil() as u64;
        self.retries[index] += retry;
        self.calls[index] += ONE - retry;
    }

    /// Spends one retry; returns false if the budget of the window is exhausted.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.advance(now);
        if self.spent() + ONE > self.allowed() {
            return false;
        }
        let index = self.newest_index();
        self.retries[index] += ONE;
        true
    }

    /// Spends one retry if less than half of the budget is used; returns whether it did.
    ///
    /// For optional attempts such as hedged requests, which must leave budget for retries.
    pub fn try_spend_optional(&mut self, now: Instant) -> bool {
        self.advance(now);
        2 * self.spent() < self.allowed() && self.try_spend(now)
    }

    fn spent(&self) -> u64 {
        self.retries.iter().sum()
    }

    fn allowed(&self) -> u64 {
        // The oldest bucket may start before the window: its retries are counted, its calls not.
        let oldest = (self.newest_index() + 1) % BUCKETS;
        let calls = self.calls.iter().sum::<u64>() - self.calls[oldest];
        let share = calls / ONE / self.limits.calls_per_retry;
        self.limits.min_retries.max(share) * ONE
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
