//! Parent side of leases: divides an allocation among children in proportion to their demand.

use {
    super::{
        Allocation, Bucket, CREDIT_TTL, Demand, LEASE, LeasePolicy, MILLI, Quota, Share,
        child::{Child, ChildState},
    },
    indexmap::IndexMap,
    std::{
        collections::{BTreeSet, VecDeque},
        sync::Arc,
        time::Instant,
    },
};

mod credits;
mod reservations;

/// Share and the child to which it is sent.
pub type Answer = (Child, Share);

/// Divides the allocation of one grant among children. Does no I/O: answers are returned.
///
/// The sum of all shares that may be valid never exceeds the allocation: a share counts until the
/// child has confirmed a later one or its lease has expired, and the guaranteed quota of an
/// unreachable child counts until its own expiry.
///
/// ```
/// use anvilbeam::limits::{Allocation, Child, Demand, LeasePolicy, ShareAllocator};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut shares = ShareAllocator::new(LeasePolicy::relay(), Allocation::root(1000), now);
/// let demand =
///     Demand { seq: 1, applied: 0, rate: 50_000, waiting_calls: 0, earlier_shares_expired: true };
/// let answers = shares.report(&Child::new("daemon-1", 1), &demand, now);
/// assert!(answers[0].1.quota.rate >= 980_000, "the only child gets nearly the whole rate");
/// ```
#[derive(Debug)]
pub struct ShareAllocator {
    policy: LeasePolicy,
    allocation: Allocation,
    children: IndexMap<Child, ChildState>,
    /// Children by the time of the next change of what they may hold.
    expiries: BTreeSet<(Instant, Child)>,
    /// Sum of what the children may hold, including reservations.
    committed: Quota,
    committed_guaranteed: Quota,
    /// Total demand of the children, in thousandths of a call per second.
    demand: u64,
    waiting_calls: u64,
    /// Children that wait for credits, in the order of service.
    credit_queue: VecDeque<Child>,
    /// Number of the last share. Children compare numbers, so it is kept when they are removed.
    number: u64,
    credit_bucket: Bucket,
    /// Credits received from the parent and their expiry; `None` if there are none.
    parent_credits: (u32, Option<Instant>),
    /// First and latest report that found no credit in the current series.
    shortage: Option<(Instant, Instant)>,
    /// Time before which nothing is leased; `None` if not blocked.
    blocked_until: Option<Instant>,
    /// Whether this parent took over from another and has leased nothing and issued no credit since.
    is_starting: bool,
    /// Reservations and their expiry, by name of the children that may hold quota without a record.
    reserved: IndexMap<Arc<str>, (Quota, Instant)>,
}

impl ShareAllocator {
    /// Creates a parent whose children hold nothing of this allocation.
    pub fn new(policy: LeasePolicy, allocation: Allocation, now: Instant) -> Self {
        let mut shares = Self {
            policy,
            allocation,
            children: IndexMap::new(),
            expiries: BTreeSet::new(),
            committed: Quota::default(),
            committed_guaranteed: Quota::default(),
            demand: 0,
            waiting_calls: 0,
            credit_queue: VecDeque::new(),
            number: 0,
            credit_bucket: Bucket::new(Quota::default(), now),
            parent_credits: (0, None),
            shortage: None,
            blocked_until: None,
            is_starting: false,
            reserved: IndexMap::new(),
        };
        shares.update_credit_rate(now);
        shares
    }

    /// Creates a parent that takes over from another, such as a new leader. It leases nothing until
    /// all leases of the predecessor have expired, and reserves the maximum guaranteed quota for
    /// each of `children` until that child has confirmed a share.
    pub fn restarted(
        policy: LeasePolicy,
        allocation: Allocation,
        children: &[&str],
        now: Instant,
    ) -> Self {
        let mut shares = Self::new(policy, allocation, now);
        shares.blocked_until = Some(now + LEASE);
        shares.is_starting = true;
        let guarantee = shares.max_guarantee();
        for name in children {
            shares
                .reserved
                .insert(Arc::from(*name), (guarantee, now + policy.guarantee_ttl));
            shares.committed = shares.committed.add(guarantee);
            shares.committed_guaranteed = shares.committed_guaranteed.add(guarantee);
        }
        shares.update_credit_rate(now);
        shares
    }

    /// Replaces the allocation; what children hold of the old one expires with their leases.
    pub fn set_allocation(&mut self, allocation: Allocation, now: Instant) {
        self.advance(now);
        self.allocation = allocation;
        self.update_credit_rate(now);
    }

    pub(super) const fn policy(&self) -> &LeasePolicy {
        &self.policy
    }

    /// Returns the sum of what the children may hold.
    pub fn committed(&self) -> Quota {
        self.committed
    }

    /// Returns true if what the children may hold fits into `allocation`.
    pub(super) fn committed_fits(&self, allocation: &Allocation) -> bool {
        allocation.quota.covers(self.committed)
            && allocation.guaranteed.covers(self.committed_guaranteed)
    }

    /// Returns the total demand of the children, in thousandths of a call per second.
    pub fn demand(&self) -> u64 {
        self.demand
    }

    /// Returns the number of calls that wait for a credit at all children.
    pub fn waiting_calls(&self) -> u32 {
        u32::try_from(self.waiting_calls).unwrap_or(u32::MAX)
    }

    /// Handles a report of a child. The first answer is for this child; further ones carry credits
    /// for others. A duplicate or outdated report gets no answer.
    pub fn report(&mut self, child: &Child, demand: &Demand, now: Instant) -> Vec<Answer> {
        self.advance(now);
        let state = self.children.entry(child.clone()).or_default();
        if demand.seq <= state.seq {
            return Vec::new();
        }
        let was_waiting = state.waiting_calls > 0;
        self.demand = self.demand - state.demand + demand.rate;
        self.waiting_calls =
            self.waiting_calls - u64::from(state.waiting_calls) + u64::from(demand.waiting_calls);
        state.record_report(demand, now);
        if demand.waiting_calls > 0 && !was_waiting {
            self.credit_queue.push_back(child.clone());
        }
        if demand.applied > 0 {
            self.shorten_reserved(child, demand.earlier_shares_expired, now);
        }
        self.update_child(child, now);
        self.issue_share(child, now);
        self.update_child(child, now);
        let collected = self.credit_bucket.tokens();
        self.update_credit_rate(now);
        let lost = collected.saturating_sub(self.credit_bucket.tokens());
        let passed_on = if self.policy.steady_shares { lost } else { 0 };
        let mut answers = vec![self.answer(child, passed_on, now)];
        self.issue_credits(now, &mut answers);
        self.announce_wait(now, &mut answers);
        answers
    }

    /// Issues the credits received from the parent of this process, which expire at `until`.
    pub fn add_credits(&mut self, credits: u32, until: Instant, now: Instant) -> Vec<Answer> {
        self.advance(now);
        let mut answers = Vec::new();
        if until > now {
            self.parent_credits = (credits, Some(until));
            self.issue_credits(now, &mut answers);
        }
        answers
    }

    /// Advances the time to `now` and issues the credits that have accrued.
    pub fn tick(&mut self, now: Instant) -> Vec<Answer> {
        self.advance(now);
        let mut answers = Vec::new();
        self.issue_credits(now, &mut answers);
        answers
    }

    /// Returns the time of the next [`Self::tick`]; `None` if no child waits for a credit.
    pub fn next_tick(&self, now: Instant) -> Option<Instant> {
        if self.credit_queue.is_empty() {
            return None;
        }
        let expiry = self.expiries.first().map(|(at, _)| *at);
        let earned = self.credit_bucket.next_call(now);
        [
            earned,
            expiry,
            self.allocation.valid_until(now),
            self.blocked_until,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Removes a child that is known to have ended and whose own children hold no valid share of it.
    pub fn forget(&mut self, child: &Child, now: Instant) {
        self.advance(now);
        self.remove(child);
        self.update_credit_rate(now);
    }

    /// Returns the quota that may be leased at `now`.
    fn available(&self, now: Instant) -> Quota {
        if self.blocked_until.is_some_and(|until| now < until) {
            return Quota::default();
        }
        self.allocation.quota_at(now)
    }

    /// Issues a child its proportional share, as far as other children do not hold it.
    fn issue_share(&mut self, child: &Child, now: Instant) {
        let available = self.available(now);
        let Some(state) = self.children.get(child) else {
            return;
        };
        let others = self.committed.minus(state.committed);
        let (rate_divisor, burst_divisor) = self.policy.withheld;
        let withheld_burst = available.burst.checked_div(burst_divisor);
        let withheld = Quota {
            rate: available.rate.checked_div(rate_divisor).unwrap_or(0),
            burst: withheld_burst.map_or(0, |burst| burst.max(MILLI)),
        };
        let free = available.minus(others).minus(withheld);
        let count = self.children.len() as u64;
        let proportional = |total: u64, base: u64| {
            let product = u128::from(total) * u128::from(state.demand + base);
            let total_weight = u128::from((self.demand + base * count).max(1));
            u64::try_from(product / total_weight).unwrap_or(u64::MAX)
        };
        let base = self.policy.base_demand;
        let burst_base = if self.policy.steady_shares {
            available.rate / count.max(1)
        } else {
            base
        };
        let leasable = available.minus(withheld);
        let burst_of_others = (count - 1) * MILLI;
        let mut quota = Quota {
            rate: proportional(leasable.rate, base)
                .min(free.rate)
                .min((state.demand + base) * self.policy.headroom_milli / 1_000),
            burst: proportional(leasable.burst, burst_base)
                .min(leasable.burst.saturating_sub(burst_of_others))
                .max(MILLI)
                .min(free.burst),
        };
        if quota.rate < self.policy.min_rate.max(1) || quota.burst < MILLI {
            quota = Quota::default();
        }
        let guaranteed = self.guarantee_for(child, state, quota, now);
        let lease_end = now + LEASE;
        self.is_starting &= quota.rate == 0;
        let end = if self.issues_nothing(now) {
            // A lease that has ended tells the child that its calls had no chance of a credit yet.
            now
        } else {
            self.allocation
                .valid_until(now)
                .map_or(lease_end, |until| until.min(lease_end))
        };
        let max_guarantee_end = now + self.policy.guarantee_ttl;
        let guaranteed_end = self
            .allocation
            .guaranteed_until
            .map_or(max_guarantee_end, |until| until.min(max_guarantee_end));
        let allocation = Allocation {
            quota,
            until: Some(end),
            guaranteed,
            guaranteed_until: Some(guaranteed_end.max(end)),
        };
        if let Some(state) = self.children.get_mut(child) {
            self.number += 1;
            state.add_issued(self.number, allocation);
        }
    }

    fn answer(&mut self, child: &Child, credits: u32, now: Instant) -> Answer {
        let end = match self.parent_credits {
            (count, Some(until)) if count > 0 => until.min(now + CREDIT_TTL),
            _ => now + CREDIT_TTL,
        };
        let state = self.children.entry(child.clone()).or_default();
        self.number += 1;
        (child.clone(), state.message(self.number, credits, end))
    }

    /// Applies the expiry of leases and reservations up to `now`.
    fn advance(&mut self, now: Instant) {
        if let Some(until) = self.allocation.until.filter(|until| *until <= now) {
            self.credit_bucket.reconfigure(self.unleased(until), until);
        }
        if let Some(until) = self.allocation.guaranteed_until.filter(|end| *end <= now)
            && self.allocation.until.is_some()
        {
            self.credit_bucket.reconfigure(self.unleased(until), until);
        }
        if self.blocked_until.is_some_and(|until| until <= now) {
            self.blocked_until = None;
        }
        while let Some((at, child)) = self.expiries.first().cloned() {
            if at > now {
                break;
            }
            self.update_child(&child, now);
        }
        let ended: Vec<Arc<str>> = self
            .reserved
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(name, _)| Arc::clone(name))
            .collect();
        for name in ended {
            self.drop_reserved(&name);
        }
        self.update_credit_rate(now);
    }

    fn unleased(&self, now: Instant) -> Quota {
        self.available(now).minus(self.committed)
    }

    /// Sets the rate at which credits accrue to the quota that no child holds.
    fn update_credit_rate(&mut self, now: Instant) {
        self.credit_bucket.reconfigure(self.unleased(now), now);
    }

    /// Updates the sums for what `child` may hold at `now`; removes it if nothing can change.
    fn update_child(&mut self, child: &Child, now: Instant) {
        let Some(state) = self.children.get_mut(child) else {
            return;
        };
        if let Some(at) = state.next_change {
            self.expiries.remove(&(at, child.clone()));
        }
        let (committed, guaranteed) = (state.committed, state.guaranteed);
        let outdated = state.update(now);
        self.committed = self.committed.minus(committed).add(state.committed);
        self.committed_guaranteed = self
            .committed_guaranteed
            .minus(guaranteed)
            .add(state.guaranteed);
        if outdated {
            self.demand -= std::mem::take(&mut state.demand);
            self.waiting_calls -= u64::from(std::mem::take(&mut state.waiting_calls));
        }
        match state.next_change {
            Some(at) => {
                self.expiries.insert((at, child.clone()));
            }
            None => self.remove(child),
        }
    }

    fn remove(&mut self, child: &Child) {
        let Some(state) = self.children.swap_remove(child) else {
            return;
        };
        self.committed = self.committed.minus(state.committed);
        self.committed_guaranteed = self.committed_guaranteed.minus(state.guaranteed);
        self.demand -= state.demand;
        self.waiting_calls -= u64::from(state.waiting_calls);
        if let Some(at) = state.next_change {
            self.expiries.remove(&(at, child.clone()));
        }
    }
}
