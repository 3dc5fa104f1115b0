//! Distributed rate limit of each grant: calls per second over all daemons, without a message per
//! call.
//!
//! The capacity is leased down a tree: the control leader divides it among regions, a region
//! relay among data centres, a data centre relay among daemons. Each child reports its demand
//! ([`Demand`]) and the parent answers with a [`Share`]: a quota (rate and burst) under a lease, a
//! guaranteed quota that outlives the lease, and credits for single calls. The reducers of one
//! grant are [`ShareAllocator`] at the leader, [`Relay`] at relays and [`Limiter`] at daemons.
//!
//! Bounds: the sum of the rates valid at any time never exceeds the capacity C, and the sum of the
//! bursts never exceeds [`BURST`] times C (or one call, if that is more). Credits accrue at the
//! rate that is not leased, and expire [`CREDIT_TTL`] after they were issued. Any window of 10 s
//! therefore has at most 10 C + 0.4 C + 0.1 C calls: 5% more than 10 C, plus one call where 0.4 C
//! is below one.
//!
//! Small grants: a token bucket with a burst below one call would never admit a call, so a share
//! has a burst of at least one. Where the total burst is too small for all children (10 calls/s
//! over 300 daemons), the parent issues credits for single calls, in the order of the requests.
//!
//! Durations on the wire count from the time at which the child sent the report that is being
//! answered. A delayed answer therefore expires no later at the child than at the parent.

use {
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

mod bucket;
mod child;
mod limiter;
mod relay;
mod shares;
#[cfg(test)]
mod tests;

pub use {
    bucket::Bucket,
    child::Child,
    limiter::Limiter,
    relay::Relay,
    shares::{Answer, ShareAllocator},
};

/// Lease duration of a share, counted from the sending of the report that it answers.
pub const LEASE: Duration = Duration::from_secs(1);
/// Interval between two reports of a grant with demand.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Unused capacity that may accumulate as burst over the whole tree, as a time at the full rate.
pub const BURST: Duration = Duration::from_millis(400);
/// Time for which a credit is valid after it was issued.
pub const CREDIT_TTL: Duration = Duration::from_millis(100);
/// Time for which credits are short before calls are refused at once. A share that moves to another child
/// takes one lease.
pub const SHORTAGE_DELAY: Duration = LEASE.saturating_add(Duration::from_millis(250));
/// Time without a shortage after which the next one counts as new.
pub const SHORTAGE_GAP: Duration = LEASE;
/// Expected wait for a credit from which on it is announced. Below it, calls wait. It exceeds
/// [`CREDIT_TTL`], which earlier builds send with each answer without credits.
const MIN_ANNOUNCED_WAIT: Duration = Duration::from_millis(250);
/// Time for which a relay reserves the guaranteed quota of an unreachable child.
pub const RELAY_GUARANTEE: Duration = Duration::from_secs(10);
/// Burst of the quota of an account beyond [`BURST`], in thousandths of a request. Each data centre needs
/// a burst of some requests, also where the rate is a few requests a second.
const ACCOUNT_BURST: u64 = 13 * MILLI;
/// Part of the burst of an account that is leased with its rate, in thousandths.
const LEASED_BURST_MILLI: u64 = 600;
/// Rate of the quota of an account beyond its limit, in thousandths of a request per second. Together
/// with [`ACCOUNT_BURST`] it uses 18 of the 20 requests by which a quota may be exceeded in 5 s.
const ACCOUNT_RATE: u64 = MILLI;
/// Usual fractions of the rate and the burst that are never leased, as divisors.
const WITHHELD: (u64, u64) = (100, 8);
/// Thousandths of a call in one call.
pub const MILLI: u64 = 1_000;

/// Token bucket parameters: a rate and its burst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Thousandths of a call per second.
    pub rate: u64,
    /// Thousandths of a call that may accumulate.
    pub burst: u64,
}

impl Quota {
    /// Returns the quota of a whole grant with `capacity` calls per second.
    ///
    /// ```
    /// use anvilbeam::limits::Quota;
    /// assert_eq!(Quota::of_grant(100), Quota { rate: 100_000, burst: 40_000 });
    /// assert_eq!(Quota::of_grant(1).burst, 1_000);
    /// ```
    pub fn of_grant(capacity: u32) -> Self {
        let rate = u64::from(capacity) * MILLI;
        let burst = rate * BURST.as_millis() as u64 / 1_000;
        Self {
            rate,
            burst: if rate == 0 { 0 } else { burst.max(MILLI) },
        }
    }

    /// Returns the quota that is leased for an account with a limit of `rate` requests per second and
    /// `burst` requests.
    ///
    /// ```
    /// use anvilbeam::limits::Quota;
    /// assert_eq!(Quota::of_account(10, 20), Quota { rate: 11_000, burst: 29_000 });
    /// assert_eq!(Quota::of_account(0, 20), Quota::default());
    /// ```
    pub fn of_account(rate: u32, burst: u32) -> Self {
        let quota = Self::of_grant(rate);
        if rate == 0 {
            return quota;
        }
        quota.add(Self {
            rate: ACCOUNT_RATE,
            burst: ACCOUNT_BURST + u64::from(burst) * LEASED_BURST_MILLI,
        })
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

/// Report of a child to its parent about one grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Sequence number of the report; increases with each report of the child.
    pub seq: u64,
    /// Number of the newest share that the child complies with; 0 for none.
    pub applied: u64,
    /// Arrival rate of calls, admitted or not, in thousandths of a call per second.
    pub rate: u64,
    /// Number of calls that are waiting for a credit.
    pub waiting_calls: u32,
    /// Whether every share issued by an earlier run of this child has expired.
    pub earlier_shares_expired: bool,
}

/// Answer of a parent to a child about one grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Sequence number of the answered report; all durations count from when it was sent.
    pub seq: u64,
    /// Number of the share; a share with a lower number than the last one is outdated.
    pub number: u64,
    /// Quota valid for `lease_ms`.
    pub quota: Quota,
    /// Validity of `quota` in milliseconds.
    pub lease_ms: u64,
    /// Quota valid after the lease has expired, until `guaranteed_ms`.
    pub guaranteed: Quota,
    /// Validity of `guaranteed` in milliseconds.
    pub guaranteed_ms: u64,
    /// Number of calls that may be admitted in addition to `quota`.
    pub credits: u32,
    /// Validity of the credits in milliseconds.
    pub credit_ms: u64,
}

/// Quota that a process may use or lease to its children, with expiry times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allocation {
    /// Quota valid until `until`.
    pub quota: Quota,
    /// Expiry of the lease; `None` at the root, whose capacity never expires.
    pub until: Option<Instant>,
    /// Quota valid after the lease, until `guaranteed_until`.
    pub guaranteed: Quota,
    /// Expiry of the guaranteed quota; `None` if it never expires.
    pub guaranteed_until: Option<Instant>,
}

impl Allocation {
    /// Returns the allocation of the root of the tree: `capacity` calls per second, without expiry.
    pub fn root(capacity: u32) -> Self {
        Self::whole(Quota::of_grant(capacity))
    }

    /// Returns the allocation of the root of the tree: all of `quota`, without expiry.
    pub const fn whole(quota: Quota) -> Self {
        Self {
            quota,
            until: None,
            guaranteed: quota,
            guaranteed_until: None,
        }
    }

    /// Returns the quota valid at `now`.
    pub fn quota_at(&self, now: Instant) -> Quota {
        if self.until.is_none_or(|until| now < until) {
            return self.quota;
        }
        if self.guaranteed_until.is_none_or(|until| now < until) {
            return self.guaranteed;
        }
        Quota::default()
    }

    /// Returns the expiry of the quota valid at `now`; `None` if it never expires or none is valid.
    fn valid_until(&self, now: Instant) -> Option<Instant> {
        self.until.filter(|at| now < *at).or_else(|| {
            let is_root = self.until.is_none();
            self.guaranteed_until.filter(|at| now < *at && !is_root)
        })
    }

    /// Returns the guaranteed quota if it has not expired, else zero.
    fn guaranteed_at(&self, now: Instant) -> Quota {
        if self.guaranteed_until.is_none_or(|until| now < until) {
            self.guaranteed
        } else {
            Quota::default()
        }
    }
}

/// Limits on what a parent leases and guarantees to its children.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeasePolicy {
    /// Time for which the guaranteed quota of an unreachable child is reserved.
    pub guarantee_ttl: Duration,
    /// Maximum guaranteed quota of one child, in thousandths of the parent's guaranteed quota.
    pub max_guarantee_milli: u64,
    /// Minimum rate that is leased, in thousandths of a call per second. A child with less gets
    /// credits instead, since a small bucket would lose its tokens with each change of the share.
    pub min_rate: u64,
    /// Fractions of the rate and the burst that are never leased, so that there are credits for a child
    /// without a share, as divisors; 0 withholds nothing.
    pub withheld: (u64, u64),
    /// Demand that is added to that of each child when the quota is divided, in thousandths of a call
    /// per second. Without it, shares of a few calls a second follow each random arrival.
    pub base_demand: u64,
    /// Whether the shares change little with random arrivals: at least half of the burst is divided
    /// evenly, and a child that is a relay gets the burst collected so far with its share. What a
    /// share has collected is lost with each decrease.
    pub steady_shares: bool,
    /// Maximum rate leased to a child, as a multiple of its demand in thousandths. The rest accrues
    /// credits, so that the first call through another child need not wait until this child reports
    /// again.
    pub headroom_milli: u64,
    /// Whether a relay renews its own share while it has no demand, and reports its demand smoothed. It
    /// collects the burst then, which the first requests need.
    pub keeps_idle: bool,
    /// Whether an answer without credits says when the next one is expected, once credits have been
    /// short for [`SHORTAGE_DELAY`], so that a call is refused at once instead of after its wait.
    pub announces_waits: bool,
}

impl LeasePolicy {
    /// Returns the policy of the control leader for `regions` regions.
    ///
    /// A guarantee lasts two hours, since regions lose contact for up to an hour. At most half of
    /// the capacity is guaranteed, so that the rest can move between regions.
    pub fn regions(regions: u64) -> Self {
        Self {
            guarantee_ttl: Duration::from_hours(2),
            max_guarantee_milli: 500 / regions.max(1),
            min_rate: 1,
            withheld: WITHHELD,
            base_demand: 0,
            steady_shares: false,
            headroom_milli: 20_000,
            keeps_idle: false,
            announces_waits: false,
        }
    }

    /// Returns the policy of a relay for data centres or daemons.
    ///
    /// These find a new parent within seconds, and a dead one must not block its guaranteed quota
    /// for long.
    pub fn relay() -> Self {
        Self {
            guarantee_ttl: RELAY_GUARANTEE,
            max_guarantee_milli: 500,
            min_rate: 2 * MILLI,
            withheld: WITHHELD,
            base_demand: 0,
            steady_shares: false,
            headroom_milli: 20_000,
            keeps_idle: false,
            announces_waits: false,
        }
    }

    /// Returns the policy of the control leader for the quota of an account.
    ///
    /// A quarter of the rate is guaranteed. The guarantees of relays that are killed cannot be leased to
    /// their successors for [`RELAY_GUARANTEE`], and accounts usually need 62% of their rate.
    pub fn account_regions(regions: u64) -> Self {
        Self {
            max_guarantee_milli: 250 / regions.max(1),
            withheld: (50, 8),
            base_demand: 2 * MILLI,
            steady_shares: true,
            ..Self::regions(regions)
        }
    }

    /// Returns the policy of a region relay for the quota of an account.
    ///
    /// A data centre gets a share however small its demand is: its relay collects the burst of the
    /// share and issues credits from it without asking the region. Nothing is guaranteed beyond the
    /// lease: the successor of a relay gets the share of a dead one after the lease instead of half of
    /// it after ten seconds, and the guarantee of the region bridges the loss of the leader.
    pub fn account_data_centres() -> Self {
        Self {
            min_rate: 1,
            withheld: (200, 0),
            max_guarantee_milli: 0,
            base_demand: MILLI,
            steady_shares: true,
            keeps_idle: true,
            ..Self::relay()
        }
    }

    /// Returns the policy of a data centre relay for the quota of an account.
    ///
    /// Daemons with few requests get credits, one exchange for each request, from the burst of the
    /// whole data centre; divided among daemons, it would be less than one request for each. A daemon
    /// with more requests gets a share, since the exchanges cost the relay processor time.
    pub fn account_daemons() -> Self {
        Self {
            max_guarantee_milli: 500,
            min_rate: 8 * MILLI,
            withheld: (5, 3),
            headroom_milli: 1_500,
            keeps_idle: true,
            announces_waits: true,
            ..Self::relay()
        }
    }
}
