//! Token bucket.

use {
    super::{Amount, MILLI},
    std::time::Instant,
};

/// Billionths of a call in a thousandth of a call.
const NANO_PER_MILLI: u64 = 1_000_000;
/// Billionths of a call in a call.
const NANO_PER_CALL: u64 = NANO_PER_MILLI * MILLI;

/// Token bucket for one share. It starts empty, so that moving a share creates no calls.
///
/// ```
/// use anvilbeam::limits::{Amount, Bucket};
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut bucket = Bucket::new(Amount { rate: 10_000, burst: 1_000 }, now);
/// assert!(!bucket.try_take(now));
/// assert!(bucket.try_take(now + Duration::from_millis(100)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    amount: Amount,
    nano: u64,
    at: Instant,
}

impl Bucket {
    /// An empty bucket.
    pub fn new(amount: Amount, now: Instant) -> Self {
        Self {
            amount,
            nano: 0,
            at: now,
        }
    }

    /// Takes one call, if there is one.
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.settle(now);
        if self.nano < NANO_PER_CALL {
            return false;
        }
        self.nano -= NANO_PER_CALL;
        true
    }

    /// Changes rate and burst from `now` on. What exceeds the new burst is lost.
    pub fn set(&mut self, amount: Amount, now: Instant) {
        self.settle(now);
        self.amount = amount;
        self.nano = self.nano.min(amount.burst * NANO_PER_MILLI);
    }

    /// When the next call can be taken; `None` if never at this rate.
    pub fn next_call(&self, now: Instant) -> Option<Instant> {
        let missing = NANO_PER_CALL.saturating_sub(self.nano);
        if missing == 0 {
            return Some(now);
        }
        if self.amount.rate == 0 || self.amount.burst < MILLI {
            return None;
        }
        let ns = (u128::from(missing) * 1_000).div_ceil(u128::from(self.amount.rate));
        Some(self.at + std::time::Duration::from_nanos(u64::try_from(ns).ok()?))
    }

    fn settle(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_nanos();
        let earned = elapsed * u128::from(self.amount.rate) / 1_000;
        let cap = self.amount.burst * NANO_PER_MILLI;
        let total = u128::from(self.nano) + earned;
        self.nano = u64::try_from(total).unwrap_or(u64::MAX).min(cap);
        self.at = self.at.max(now);
    }
}
