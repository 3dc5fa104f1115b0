//! Capacity of each grant: calls per second over all daemons, without a message per call.
//!
//! A tree of processes shares the capacity: the control leader between regions, a region
//! relay between data centres, a data centre relay between daemons. Each child reports its
//! demand ([`Demand`]) and the parent answers with a [`Share`]: a rate and a burst under a
//! lease, a guaranteed part of both that outlives the lease, and whole credits. One set of
//! reducers serves one grant: [`Shares`] at the leader, [`Relay`] at relays, [`Holder`] at
//! daemons.
//!
//! Bounds. The rates that are valid at one time never exceed the capacity C, and the bursts
//! never exceed [`BURST`] times C (at least one call). Credits were earned at the rate that is
//! not leased out, and end [`CREDIT_LIFE`] after they were lent. So any window of 10 s has at
//! most 10 C + 0.4 C + 0.1 C calls: 5% more than C, plus one call where 0.4 C is below one.
//!
//! Small grants. A burst below one call would never let a call through, so a share has a
//! burst of at least one. Where the bursts do not suffice for all children (10 calls/s over
//! 300 daemons), the parent lends single credits in the order in which children asked.
//!
//! Times on the wire count from the moment at which the child sent the report that is being
//! answered. A late answer therefore ends no later at the child than at the parent.

use {
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

mod bucket;
mod child;
mod holder;
mod relay;
mod shares;
#[cfg(test)]
mod tests;

pub use {
    bucket::Bucket,
    child::Child,
    holder::Holder,
    relay::Relay,
    shares::{Answer, Shares},
};

/// Time for which a share is valid, from the report that it answers.
pub const LEASE: Duration = Duration::from_secs(1);
/// Time between two reports of a grant with demand.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Time over which unused capacity may be saved, over the whole tree.
pub const BURST: Duration = Duration::from_millis(400);
/// Time for which a credit may be spent after it was lent.
pub const CREDIT_LIFE: Duration = Duration::from_millis(100);
/// Time for which a relay keeps the guaranteed part of a child that it cannot reach.
pub const RELAY_HOLD: Duration = Duration::from_secs(10);
/// Thousandths of a call in one call.
pub const MILLI: u64 = 1_000;

/// A rate with the burst that belongs to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount {
    /// Thousandths of a call per second.
    pub rate: u64,
    /// Thousandths of a call that may be saved.
    pub burst: u64,
}

impl Amount {
    /// The amount of a whole grant with `capacity` calls per second.
    ///
    /// ```
    /// use anvilbeam::limits::Amount;
    /// assert_eq!(Amount::of_grant(100), Amount { rate: 100_000, burst: 40_000 });
    /// assert_eq!(Amount::of_grant(1).burst, 1_000);
    /// ```
    pub fn of_grant(capacity: u32) -> Self {
        let rate = u64::from(capacity) * MILLI;
        let burst = rate * BURST.as_millis() as u64 / 1_000;
        Self {
            rate,
            burst: if rate == 0 { 0 } else { burst.max(MILLI) },
        }
    }

    fn max(self, other: Self) -> Self {
        Self {
            rate: self.rate.max(other.rate),
            burst: self.burst.max(other.burst),
        }
    }

    fn add(self, other: Self) -> Self {
        Self {
            rate: self.rate + other.rate,
            burst: self.burst + other.burst,
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_sub(other.rate),
            burst: self.burst.saturating_sub(other.burst),
        }
    }

    fn covers(self, other: Self) -> bool {
        self.rate >= other.rate && self.burst >= other.burst
    }
}

/// Report of a child about one grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Number of the report; higher than that of each earlier report of the child.
    pub seq: u64,
    /// Number of the newest share that the child keeps to; 0 for none.
    pub applied: u64,
    /// Calls that asked, in thousandths per second, whether they were let through or not.
    pub rate: u64,
    /// Calls that wait for a credit now.
    pub wants: u32,
    /// Whether nothing handed out by an earlier run of this child can still be valid.
    pub settled: bool,
}

/// Answer of a parent about one grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The report that is answered; all times count from the moment at which it was sent.
    pub seq: u64,
    /// Number of the share; a lower one than the last is out of date.
    pub number: u64,
    /// Valid for `lease_ms`.
    pub amount: Amount,
    /// Milliseconds for which `amount` is valid.
    pub lease_ms: u64,
    /// Valid for `guaranteed_ms`, once `amount` no longer is.
    pub guaranteed: Amount,
    /// Milliseconds for which `guaranteed` is valid.
    pub guaranteed_ms: u64,
    /// Calls that may be let through in addition to `amount`.
    pub credits: u32,
    /// Milliseconds for which the credits are valid.
    pub credit_ms: u64,
}

/// What a process may hand out or use, and until when.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Supply {
    /// Valid until `until`.
    pub amount: Amount,
    /// End of the lease; `None` for the capacity itself, which has no end.
    pub until: Option<Instant>,
    /// Valid after the lease, until `guaranteed_until`.
    pub guaranteed: Amount,
    /// End of the guarantee; `None` for no end.
    pub guaranteed_until: Option<Instant>,
}

impl Supply {
    /// The whole capacity of a grant in calls per second, at the root of the tree.
    pub fn root(capacity: u32) -> Self {
        let amount = Amount::of_grant(capacity);
        Self {
            amount,
            until: None,
            guaranteed: amount,
            guaranteed_until: None,
        }
    }

    /// What is valid at `now`.
    pub fn at(&self, now: Instant) -> Amount {
        if self.until.is_none_or(|until| now < until) {
            return self.amount;
        }
        if self.guaranteed_until.is_none_or(|until| now < until) {
            return self.guaranteed;
        }
        Amount::default()
    }

    /// When that which is valid at `now` ends.
    fn valid_until(&self, now: Instant) -> Option<Instant> {
        self.until.filter(|at| now < *at).or_else(|| {
            let leased = self.until.is_none();
            self.guaranteed_until.filter(|at| now < *at && !leased)
        })
    }

    /// The guaranteed part, if it is still valid.
    fn guaranteed_at(&self, now: Instant) -> Amount {
        if self.guaranteed_until.is_none_or(|until| now < until) {
            self.guaranteed
        } else {
            Amount::default()
        }
    }
}

/// How a parent treats children that it cannot reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Level {
    /// Time for which the guaranteed part of a child is kept for it.
    pub hold: Duration,
    /// Largest guaranteed part of one child, in thousandths of the parent's own.
    pub part_milli: u64,
    /// Smallest rate that is leased out, in thousandths of a call per second. A child below it
    /// gets credits: its bucket would lose what it earned with each change of the share.
    pub min_rate: u64,
}

impl Level {
    /// The control leader above `regions` regions. A region keeps its part for two hours, since
    /// regions lose contact for an hour. Half of the capacity stays free to move.
    pub fn regions(regions: u64) -> Self {
        Self {
            hold: Duration::from_hours(2),
            part_milli: 500 / regions.max(1),
            min_rate: 1,
        }
    }

    /// A relay above data centres or daemons. These find a new parent within seconds, and one
    /// that died must not keep its part.
    pub fn relay() -> Self {
        Self {
            hold: RELAY_HOLD,
            part_milli: 500,
            min_rate: 2 * MILLI,
        }
    }
}
