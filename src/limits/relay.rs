//! Relay in the tree: child of its parent and parent of its own children.

use {
    super::{
        Allocation, Child, Demand, LeasePolicy, MILLI, Quota, RELAY_GUARANTEE, REPORT_INTERVAL,
        Share, ShareAllocator,
        limiter::{Lease, MIN_REPORT_INTERVAL, is_large_change},
        shares::Answer,
    },
    std::time::{Duration, Instant},
};

/// Time over which the reported demand of a relay with a steady share is averaged.
const SMOOTHING: Duration = Duration::from_secs(8);

/// Reducer of a relay for one grant.
///
/// It confirms a share to its parent only when its own children hold no more than that share;
/// until then the parent accounts for the earlier one.
#[derive(Debug)]
pub struct Relay {
    lease: Lease,
    shares: ShareAllocator,
    /// Number of the newest share that covers what the children hold; 0 for none.
    confirmed_share: u64,
    /// Last report to the parent, with `waiting_calls` reduced by the credits received since.
    last_report: Demand,
    started_at: Instant,
}

impl Relay {
    /// Creates a relay without a share.
    pub fn new(policy: LeasePolicy, now: Instant) -> Self {
        let empty = Allocation {
            until: Some(now),
            guaranteed_until: Some(now),
            ..Allocation::default()
        };
        Self {
            lease: Lease::default(),
            shares: ShareAllocator::new(policy, empty, now),
            confirmed_share: 0,
            last_report: Demand {
                seq: 0,
                applied: 0,
                rate: 0,
                waiting_calls: 0,
                earlier_shares_expired: false,
            },
            started_at: now,
        }
    }

    /// Handles a report of a child and returns the answers.
    pub fn child_report(&mut self, child: &Child, demand: &Demand, now: Instant) -> Vec<Answer> {
        let answers = self.shares.report(child, demand, now);
        self.confirm();
        answers
    }

    /// Applies a share from the parent; the returned answers carry its credits to the children.
    pub fn apply(&mut self, share: &Share, now: Instant) -> Vec<Answer> {
        let Some(sent) = self.lease.apply(share) else {
            return Vec::new();
        };
        self.last_report.waiting_calls =
            self.last_report.waiting_calls.saturating_sub(share.credits);
        self.shares.set_allocation(self.lease.allocation(), now);
        self.confirm();
        let until = sent + Duration::from_millis(share.credit_ms);
        self.shares.add_credits(share.credits, until, now)
    }

    /// Advances the time to `now` and returns the answers that carry credits to the children.
    pub fn tick(&mut self, now: Instant) -> Vec<Answer> {
        let answers = self.shares.tick(now);
        self.confirm();
        answers
    }

    /// Returns the time of the next [`Relay::tick`]; `None` if no child waits for a credit.
    pub fn next_tick(&self, now: Instant) -> Option<Instant> {
        self.shares.next_tick(now)
    }

    /// Returns the quota valid at `now`, without credits.
    pub fn valid(&self, now: Instant) -> Quota {
        self.lease.allocation().quota_at(now)
    }

    /// Returns true if a report to the parent is due.
    pub fn report_due(&self, now: Instant) -> bool {
        let rate = self.reported_rate(now);
        let waiting_calls = self.shares.waiting_calls();
        let Some(sent) = self.lease.last_report_at() else {
            return rate > 0 || waiting_calls > 0;
        };
        let age = now.saturating_duration_since(sent);
        if age < MIN_REPORT_INTERVAL {
            return false;
        }
        let keeps_idle = self.shares.policy().keeps_idle;
        let idle = !keeps_idle
            && rate == 0
            && waiting_calls == 0
            && self.last_report.rate == 0
            && self.last_report.waiting_calls == 0;
        let changed = is_large_change(rate, self.last_report.rate)
            || keeps_idle && is_jump(rate, self.last_report.rate)
            || is_large_change(
                u64::from(waiting_calls),
                u64::from(self.last_report.waiting_calls),
            );
        changed
            || self.lease.must_confirm(self.confirmed_share)
            || (age >= REPORT_INTERVAL && (!idle || self.lease.is_confirmation_pending()))
    }

    /// Returns the report to send to the parent at `now`.
    pub fn report(&mut self, now: Instant) -> Demand {
        let rate = self.reported_rate(now);
        self.last_report = Demand {
            seq: self.lease.start_report(self.confirmed_share, now),
            applied: self.confirmed_share,
            rate,
            waiting_calls: self.shares.waiting_calls(),
            earlier_shares_expired: now.saturating_duration_since(self.started_at)
                >= RELAY_GUARANTEE,
        };
        self.last_report
    }

    /// Returns the demand to report. Where the children need a steady share, random changes are averaged
    /// over [`SMOOTHING`]: each decrease of a share has to be confirmed before another child gets it.
    fn reported_rate(&self, now: Instant) -> u64 {
        let (rate, last) = (self.shares.demand(), self.last_report.rate);
        let Some(last_at) = self.lease.last_report_at() else {
            return rate;
        };
        if !self.shares.policy().keeps_idle || is_jump(rate, last) {
            return rate;
        }
        let elapsed = now.saturating_duration_since(last_at).min(SMOOTHING);
        let weight = elapsed.as_millis() as u64;
        let total = SMOOTHING.as_millis() as u64;
        (last * (total - weight) + rate * weight) / total
    }

    /// Handles a change of parent: the lease ends, the guaranteed quota stays valid.
    pub fn detach(&mut self, now: Instant) {
        self.lease.detach(now);
        self.shares.set_allocation(self.lease.allocation(), now);
        self.confirmed_share = 0;
    }

    fn confirm(&mut self) {
        if self.shares.committed_fits(&self.lease.allocation()) {
            self.confirmed_share = self.lease.number();
        }
    }
}

/// Returns whether random arrivals do not explain the difference of two demands: it is more than two
/// standard deviations of the number of calls in two seconds.
pub(super) const fn is_jump(rate: u64, last: u64) -> bool {
    let higher = if rate > last { rate } else { last };
    rate.abs_diff(last) > 2 * (higher * MILLI / 2).isqrt()
}
