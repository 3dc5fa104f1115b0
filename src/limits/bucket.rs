//! Token bucket.

use {
    super::{MILLI, Quota},
    std::time::Instant,
};

/// Billionths of a call per thousandth of a call.
const NANO_PER_MILLI: u64 = 1_000_000;
/// Billionths of a call per call.
const NANO_PER_CALL: u64 = NANO_PER_MILLI * MILLI;

/// Token bucket for one share. It starts empty, so that moving a share does not create tokens.
///
/// ```
/// use anvilbeam::limits::{Bucket, Quota};
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut bucket = Bucket::new(Quota { rate: 10_000, burst: 1_000 }, now);
/// assert!(!bucket.try_take(now));
/// assert!(bucket.try_take(now + Duration::from_millis(100)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    quota: Quota,
    /// Tokens in billionths of a call.
    tokens_nano: u64,
    /// Tokens earned while the bucket was full since the last [`Bucket::take_spill`].
    spill_nano: u64,
    updated_at: Instant,
}

impl Bucket {
    /// Creates an empty bucket.
    pub fn new(quota: Quota, now: Instant) -> Self {
        Self {
            quota,
            tokens_nano: 0,
            spill_nano: 0,
            updated_at: now,
        }
    }

    /// Takes the token for one call; returns false if there is less than one.
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.tokens_nano < NANO_PER_CALL {
            return false;
        }
        self.tokens_nano -= NANO_PER_CALL;
        true
    }

    /// Creates a bucket that has been filling since `since`.
    pub fn filled_since(quota: Quota, since: Instant, now: Instant) -> Self {
        let mut bucket = Self::new(quota, since);
        bucket.refill(now);
        bucket
    }

    /// Puts the token of a call back that did not run; returns false if the bucket is full.
    pub fn give_back(&mut self, now: Instant) -> bool {
        self.refill(now);
        let burst_nano = self.quota.burst * NANO_PER_MILLI;
        let has_room = self.tokens_nano + NANO_PER_CALL <= burst_nano;
        self.tokens_nano = (self.tokens_nano + NANO_PER_CALL).min(burst_nano);
        has_room
    }

    /// Returns the number of calls for which there are tokens, as of the latest change.
    pub const fn tokens(&self) -> u32 {
        (self.tokens_nano / NANO_PER_CALL) as u32
    }

    /// Returns the tokens earned while the bucket was full, in billionths of a call, and forgets them.
    pub fn take_spill(&mut self, now: Instant) -> u64 {
        self.refill(now);
        std::mem::take(&mut self.spill_nano)
    }

    /// Adds the tokens of `calls`; those above the burst are discarded.
    pub fn add_calls(&mut self, calls: u32, now: Instant) {
        self.add(u64::from(calls) * NANO_PER_CALL, now);
    }

    /// Adds tokens, in billionths of a call; those above the burst are discarded.
    pub fn add(&mut self, tokens_nano: u64, now: Instant) {
        self.refill(now);
        let burst_nano = self.quota.burst * NANO_PER_MILLI;
        self.tokens_nano = self.tokens_nano.saturating_add(tokens_nano).min(burst_nano);
    }

    /// Changes rate and burst from `now` on; tokens above the new burst are discarded.
    pub fn reconfigure(&mut self, quota: Quota, now: Instant) {
        self.refill(now);
        self.quota = quota;
        self.tokens_nano = self.tokens_nano.min(quota.burst * NANO_PER_MILLI);
    }

    /// Returns the time at which the next call can be taken; `None` if never with these parameters.
    pub fn next_call(&self, now: Instant) -> Option<Instant> {
        let missing_nano = NANO_PER_CALL.saturating_sub(self.tokens_nano);
        if missing_nano == 0 {
            return Some(now);
        }
        if self.quota.rate == 0 || self.quota.burst < MILLI {
            return None;
        }
        let ns = (u128::from(missing_nano) * 1_000).div_ceil(u128::from(self.quota.rate));
        Some(self.updated_at + std::time::Duration::from_nanos(u64::try_from(ns).ok()?))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_nanos();
        let earned_nano = elapsed * u128::from(self.quota.rate) / 1_000;
        let burst_nano = self.quota.burst * NANO_PER_MILLI;
        let total = u128::from(self.tokens_nano) + earned_nano;
        let total = u64::try_from(total).unwrap_or(u64::MAX);
        self.tokens_nano = total.min(burst_nano);
        let spill_nano = total - self.tokens_nano;
        self.spill_nano = self.spill_nano.saturating_add(spill_nano);
        self.updated_at = self.updated_at.max(now);
    }
}
