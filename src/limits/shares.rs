//! Parent's side: splits a supply among children by their demand, under leases.

use {
    super::{
        Amount, Bucket, CREDIT_LIFE, Demand, LEASE, Level, MILLI, Share, Supply,
        child::{Child, Record},
    },
    indexmap::IndexMap,
    std::{
        collections::{BTreeSet, VecDeque},
        sync::Arc,
        time::Instant,
    },
};

mod lend;
mod unknown;

/// Part of the supply that is never leased out, so that a new child gets credits at once.
const POOL_DIVISOR: u64 = 100;
/// Part of the burst that stays with the parent.
const POOL_BURST_DIVISOR: u64 = 8;
/// Most that a child is leased, as a multiple of its demand. What is left earns credits, so that
/// the first call through another child does not wait until this one reports again.
const HEADROOM: u64 = 20;

/// Answer for one child.
pub type Answer = (Child, Share);

/// Splits the supply of one grant among children. A parent without I/O: answers are returned.
///
/// The sum of all shares that may be valid never exceeds the supply: a share counts until the
/// child has confirmed a later one or until its lease has ended, and the guaranteed part of
/// an unreachable child counts until its own end.
///
/// ```
/// use anvilbeam::limits::{Child, Demand, Level, Shares, Supply};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut shares = Shares::new(Level::relay(), Supply::root(1000), now);
/// let demand = Demand { seq: 1, applied: 0, rate: 50_000, wants: 0, settled: true };
/// let answers = shares.report(&Child::new("daemon-1", 1), &demand, now);
/// assert!(answers[0].1.amount.rate >= 980_000, "the only child gets nearly all");
/// ```
#[derive(Debug)]
pub struct Shares {
    level: Level,
    supply: Supply,
    children: IndexMap<Child, Record>,
    /// Children by the time at which what they may hold changes.
    expiries: BTreeSet<(Instant, Child)>,
    committed: Amount,
    committed_guaranteed: Amount,
    demand: u64,
    wants: u64,
    asking: VecDeque<Child>,
    /// Number of the last share. Children compare numbers, so that it outlives their records.
    number: u64,
    pool: Bucket,
    /// Credits of the parent, valid until then.
    lent: (u32, Option<Instant>),
    blocked_until: Option<Instant>,
    /// Parts that children may hold from an earlier run of this parent.
    unknown: IndexMap<Arc<str>, (Amount, Instant)>,
}

impl Shares {
    /// A parent whose children hold nothing of this supply.
    pub fn new(level: Level, supply: Supply, now: Instant) -> Self {
        let mut shares = Self {
            level,
            supply,
            children: IndexMap::new(),
            expiries: BTreeSet::new(),
            committed: Amount::default(),
            committed_guaranteed: Amount::default(),
            demand: 0,
            wants: 0,
            asking: VecDeque::new(),
            number: 0,
            pool: Bucket::new(Amount::default(), now),
            lent: (0, None),
            blocked_until: None,
            unknown: IndexMap::new(),
        };
        shares.refill(now);
        shares
    }

    /// A parent that takes over from another, for example a new leader. It hands out nothing
    /// until all leases of the other have ended, and keeps the largest guaranteed part for
    /// each of `children` until that child has confirmed a share.
    pub fn restarted(level: Level, supply: Supply, children: &[&str], now: Instant) -> Self {
        let mut shares = Self::new(level, supply, now);
        shares.blocked_until = Some(now + LEASE);
        let part = shares.largest_part();
        for name in children {
            shares
                .unknown
                .insert(Arc::from(*name), (part, now + level.hold));
            shares.committed = shares.committed.add(part);
            shares.committed_guaranteed = shares.committed_guaranteed.add(part);
        }
        shares.refill(now);
        shares
    }

    /// Replaces the supply; what children hold of the old one ends with its leases.
    pub fn set_supply(&mut self, supply: Supply, now: Instant) {
        self.settle(now);
        self.supply = supply;
        self.refill(now);
    }

    /// All that children may hold now.
    pub fn committed(&self) -> Amount {
        self.committed
    }

    /// Whether the children hold no more than `supply`.
    pub(super) fn fits(&self, supply: &Supply) -> bool {
        supply.amount.covers(self.committed) && supply.guaranteed.covers(self.committed_guaranteed)
    }

    /// Demand of all children together, in thousandths of a call per second.
    pub fn demand(&self) -> u64 {
        self.demand
    }

    /// Calls that wait for a credit at all children.
    pub fn wants(&self) -> u32 {
        u32::try_from(self.wants).unwrap_or(u32::MAX)
    }

    /// A child reports. The answer to it comes first; further ones carry credits.
    pub fn report(&mut self, child: &Child, demand: &Demand, now: Instant) -> Vec<Answer> {
        self.settle(now);
        let record = self.children.entry(child.clone()).or_default();
        if demand.seq <= record.seq {
            return Vec::new();
        }
        let asked_before = record.wants > 0;
        self.demand = self.demand - record.demand + demand.rate;
        self.wants = self.wants - u64::from(record.wants) + u64::from(demand.wants);
        record.note(demand, now);
        if demand.wants > 0 && !asked_before {
            self.asking.push_back(child.clone());
        }
        if demand.applied > 0 {
            self.shorten_unknown(child, demand.settled, now);
        }
        self.recount(child, now);
        self.offer(child, now);
        self.recount(child, now);
        self.refill(now);
        let mut answers = vec![self.answer(child, 0, now)];
        self.lend(now, &mut answers);
        answers
    }

    /// Credits that the parent of this process lent, valid until `until`.
    pub fn add_credits(&mut self, credits: u32, until: Instant, now: Instant) -> Vec<Answer> {
        self.settle(now);
        let mut answers = Vec::new();
        if until > now {
            self.lent = (credits, Some(until));
            self.lend(now, &mut answers);
        }
        answers
    }

    /// Time has passed: lends credits as they are earned.
    pub fn tick(&mut self, now: Instant) -> Vec<Answer> {
        self.settle(now);
        let mut answers = Vec::new();
        self.lend(now, &mut answers);
        answers
    }

    /// When [`Shares::tick`] is due for a child that waits for a credit.
    pub fn next_tick(&self, now: Instant) -> Option<Instant> {
        if self.asking.is_empty() {
            return None;
        }
        let expiry = self.expiries.first().map(|(at, _)| *at);
        let earned = self.pool.next_call(now);
        [
            earned,
            expiry,
            self.supply.valid_until(now),
            self.blocked_until,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Gives up what is kept for a child that is known to be gone for good, with all that it
    /// handed out.
    pub fn forget(&mut self, child: &Child, now: Instant) {
        self.settle(now);
        self.remove(child);
        self.refill(now);
    }

    /// The supply that may be handed out at `now`.
    fn available(&self, now: Instant) -> Amount {
        if self.blocked_until.is_some_and(|until| now < until) {
            return Amount::default();
        }
        self.supply.at(now)
    }

    fn largest_part(&self) -> Amount {
        let own = self.supply.guaranteed;
        Amount {
            rate: own.rate * self.level.part_milli / 1_000,
            burst: (own.burst * self.level.part_milli / 1_000).max(MILLI),
        }
    }

    /// Offers a child its part by demand, as far as others do not hold it yet.
    fn offer(&mut self, child: &Child, now: Instant) {
        let available = self.available(now);
        let Some(record) = self.children.get(child) else {
            return;
        };
        let others = self.committed.minus(record.committed);
        let pool = Amount {
            rate: available.rate / POOL_DIVISOR,
            burst: MILLI.max(available.burst / POOL_BURST_DIVISOR),
        };
        let free = available.minus(others).minus(pool);
        let fair = |total: u64| {
            let part = u128::from(total) * u128::from(record.demand);
            u64::try_from(part / u128::from(self.demand.max(1))).unwrap_or(u64::MAX)
        };
        let leasable = available.minus(pool);
        let one_for_each_other = (self.children.len() as u64 - 1) * MILLI;
        let mut amount = Amount {
            rate: fair(leasable.rate)
                .min(free.rate)
                .min(record.demand * HEADROOM),
            burst: fair(leasable.burst)
                .min(leasable.burst.saturating_sub(one_for_each_other))
                .max(MILLI)
                .min(free.burst),
        };
        if amount.rate < self.level.min_rate.max(1) || amount.burst < MILLI {
            amount = Amount::default();
        }
        let guaranteed = self.guaranteed_part(record, amount, now);
        let lease_end = now + LEASE;
        let end = self
            .supply
            .valid_until(now)
            .map_or(lease_end, |until| until.min(lease_end));
        let hold = now + self.level.hold;
        let guaranteed_end = self
            .supply
            .guaranteed_until
            .map_or(hold, |until| until.min(hold));
        let supply = Supply {
            amount,
            until: Some(end),
            guaranteed,
            guaranteed_until: Some(guaranteed_end.max(end)),
        };
        if let Some(record) = self.children.get_mut(child) {
            self.number += 1;
            record.push(self.number, supply);
        }
    }

    /// Half of the share, within the bound of the level and what is not guaranteed to others.
    fn guaranteed_part(&self, record: &Record, amount: Amount, now: Instant) -> Amount {
        let bound = self.largest_part();
        let free = self
            .supply
            .guaranteed_at(now)
            .minus(self.committed_guaranteed.minus(record.guaranteed));
        let part = Amount {
            rate: (amount.rate / 2).min(bound.rate).min(free.rate),
            burst: (amount.burst / 2)
                .max(MILLI)
                .min(amount.burst)
                .min(bound.burst)
                .min(free.burst),
        };
        if part.rate == 0 || part.burst < MILLI {
            Amount::default()
        } else {
            part
        }
    }

    fn answer(&mut self, child: &Child, credits: u32, now: Instant) -> Answer {
        let end = match self.lent {
            (count, Some(until)) if count > 0 => until.min(now + CREDIT_LIFE),
            _ => now + CREDIT_LIFE,
        };
        let record = self.children.entry(child.clone()).or_default();
        self.number += 1;
        (child.clone(), record.share(self.number, credits, end))
    }

    /// Follows the ends of leases up to `now`.
    fn settle(&mut self, now: Instant) {
        if let Some(until) = self.supply.until.filter(|until| *until <= now) {
            self.pool.set(self.pool_amount(until), until);
        }
        if let Some(until) = self.supply.guaranteed_until.filter(|until| *until <= now)
            && self.supply.until.is_some()
        {
            self.pool.set(self.pool_amount(until), until);
        }
        if self.blocked_until.is_some_and(|until| until <= now) {
            self.blocked_until = None;
        }
        while let Some((at, child)) = self.expiries.first().cloned() {
            if at > now {
                break;
            }
            self.recount(&child, now);
        }
        let ended: Vec<Arc<str>> = self
            .unknown
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(name, _)| Arc::clone(name))
            .collect();
        for name in ended {
            self.drop_unknown(&name);
        }
        self.refill(now);
    }

    fn pool_amount(&self, now: Instant) -> Amount {
        self.available(now).minus(self.committed)
    }

    /// Earns at the rate that no child holds.
    fn refill(&mut self, now: Instant) {
        self.pool.set(self.pool_amount(now), now);
    }

    /// Brings the sums up to what `child` may hold at `now`.
    fn recount(&mut self, child: &Child, now: Instant) {
        let Some(record) = self.children.get_mut(child) else {
            return;
        };
        if let Some(at) = record.next_change {
            self.expiries.remove(&(at, child.clone()));
        }
        let (held, part) = (record.committed, record.guaranteed);
        let stale = record.update(now);
        self.committed = self.committed.minus(held).add(record.committed);
        self.committed_guaranteed = self.committed_guaranteed.minus(part).add(record.guaranteed);
        if stale {
            self.demand -= std::mem::take(&mut record.demand);
            self.wants -= u64::from(std::mem::take(&mut record.wants));
        }
        match record.next_change {
            Some(at) => {
                self.expiries.insert((at, child.clone()));
            }
            None => self.remove(child),
        }
    }

    fn remove(&mut self, child: &Child) {
        let Some(record) = self.children.swap_remove(child) else {
            return;
        };
        self.committed = self.committed.minus(record.committed);
        self.committed_guaranteed = self.committed_guaranteed.minus(record.guaranteed);
        self.demand -= record.demand;
        self.wants -= u64::from(record.wants);
        if let Some(at) = record.next_change {
            self.expiries.remove(&(at, child.clone()));
        }
    }
}
