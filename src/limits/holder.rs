//! Child's side: the share that it holds, and the calls that a daemon lets through.

use {
    super::{Amount, Bucket, Demand, REPORT_INTERVAL, Share, Supply},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Reports whose answers are still accepted.
const MAX_OPEN_REPORTS: usize = 16;
/// A change of the demand or of the waiting calls by this factor is reported early.
const STEP: u64 = 2;
/// Shortest time between two reports.
pub(super) const MIN_REPORT_GAP: Duration = Duration::from_millis(20);
/// Shortest span over which demand is measured.
const MIN_SPAN: Duration = Duration::from_millis(125);
/// Time after which a measured demand no longer counts, in milliseconds.
const MEMORY_MS: u64 = 500;

/// What a child holds of its parent.
#[derive(Clone, Debug, Default)]
pub(super) struct Lease {
    supply: Supply,
    number: u64,
    next_seq: u64,
    open: VecDeque<(u64, Instant)>,
    /// Newest share that holds less than the one before, until a report confirms it.
    lowered: Option<u64>,
    /// The report that confirms it, until it is answered.
    confirming: Option<u64>,
}

impl Lease {
    pub(super) fn number(&self) -> u64 {
        self.number
    }

    /// What is held; nothing before the first share.
    pub(super) fn supply(&self) -> Supply {
        self.supply
    }

    pub(super) fn sent_at(&self) -> Option<Instant> {
        self.open.back().map(|(_, at)| *at)
    }

    /// Whether a report that confirms the share `applied` lets the parent give something away.
    pub(super) fn has_to_confirm(&self, applied: u64) -> bool {
        self.lowered.is_some_and(|number| number <= applied)
    }

    /// Whether such a report has not been answered yet.
    pub(super) fn is_confirming(&self) -> bool {
        self.confirming.is_some()
    }

    /// Numbers a report that is sent at `now` and confirms the share `applied`.
    pub(super) fn open_report(&mut self, applied: u64, now: Instant) -> u64 {
        self.next_seq += 1;
        let seq = self.next_seq;
        if self.has_to_confirm(applied) {
            self.lowered = None;
            self.confirming = Some(seq);
        }
        self.open.push_back((seq, now));
        if self.open.len() > MAX_OPEN_REPORTS {
            self.open.pop_front();
        }
        seq
    }

    /// Takes over a share; returns when its report was sent. A duplicate, an out-of-date share
    /// and an answer to an unknown report change nothing.
    pub(super) fn apply(&mut self, share: &Share) -> Option<Instant> {
        if share.number <= self.number {
            return None;
        }
        let (_, sent) = *self.open.iter().find(|(seq, _)| *seq == share.seq)?;
        self.number = share.number;
        if self.confirming.is_some_and(|seq| seq <= share.seq) {
            self.confirming = None;
        }
        let keeps = share.amount.covers(self.supply.amount)
            && share.guaranteed.covers(self.supply.guaranteed);
        if !keeps {
            self.lowered = Some(share.number);
        }
        self.supply = Supply {
            amount: share.amount,
            until: Some(sent + Duration::from_millis(share.lease_ms)),
            guaranteed: share.guaranteed,
            guaranteed_until: Some(sent + Duration::from_millis(share.guaranteed_ms)),
        };
        Some(sent)
    }

    /// Forgets the parent: answers to earlier reports no longer count. The guaranteed part
    /// stays, since the old parent or its parent keeps it reserved.
    pub(super) fn detach(&mut self, now: Instant) {
        self.open.clear();
        self.number = 0;
        self.lowered = None;
        self.confirming = None;
        self.supply.until = self.supply.until.map(|until| until.min(now));
    }
}

/// A daemon's part of one grant.
///
/// ```
/// use anvilbeam::limits::{Child, Holder, Level, Shares, Supply};
/// use std::time::{Duration, Instant};
///
/// let start = Instant::now();
/// let mut parent = Shares::new(Level::relay(), Supply::root(100), start);
/// let mut holder = Holder::new(start);
/// assert!(!holder.try_take(start), "nothing is held before the first share");
/// let demand = holder.report(1, start);
/// for (_, share) in parent.report(&Child::new("daemon-1", 1), &demand, start) {
///     holder.apply(&share, start);
/// }
/// assert!(holder.try_take(start + Duration::from_millis(50)));
/// ```
#[derive(Debug)]
pub struct Holder {
    lease: Lease,
    bucket: Bucket,
    credits: VecDeque<(Instant, u32)>,
    asked: u64,
    measured_at: Instant,
    demand: u64,
    reported: u64,
    /// Calls that wait for a credit, as far as the parent knows.
    told_wants: u32,
}

impl Holder {
    /// A daemon that holds nothing yet.
    pub fn new(now: Instant) -> Self {
        Self {
            lease: Lease::default(),
            bucket: Bucket::new(Amount::default(), now),
            credits: VecDeque::new(),
            asked: 0,
            measured_at: now,
            demand: 0,
            reported: 0,
            told_wants: 0,
        }
    }

    /// Counts a call and lets it through if the share allows it. A call that is not let
    /// through may wait for the next share and then use [`Holder::retry_take`].
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.asked += 1;
        self.retry_take(now)
    }

    /// Lets a call through that was counted before.
    pub fn retry_take(&mut self, now: Instant) -> bool {
        self.settle(now);
        if self.bucket.try_take(now) {
            return true;
        }
        let Some((_, count)) = self.credits.front_mut() else {
            return false;
        };
        *count -= 1;
        if *count == 0 {
            self.credits.pop_front();
        }
        true
    }

    /// What is valid at `now`, without credits.
    pub fn valid(&self, now: Instant) -> Amount {
        self.lease.supply().at(now)
    }

    /// When a call that waits can go through without a new share.
    pub fn next_call(&self, now: Instant) -> Option<Instant> {
        self.bucket.next_call(now)
    }

    /// Whether a report is due, given the calls that wait for a credit. Nothing is due for a
    /// grant without demand that holds nothing.
    ///
    /// `wants` leaves out calls that give up before a credit can arrive, about 150 ms: a credit
    /// for a call that has gone is lost.
    pub fn report_due(&self, wants: u32, now: Instant) -> bool {
        let Some(sent) = self.lease.sent_at() else {
            return self.asked > 0 || wants > 0;
        };
        let age = now.saturating_duration_since(sent);
        if age < MIN_REPORT_GAP {
            return false;
        }
        let demand = self.measure(now);
        let idle = demand == 0 && self.reported == 0 && wants == 0 && self.told_wants == 0;
        let measured = now.saturating_duration_since(self.measured_at) >= MIN_SPAN;
        let changed = (measured && is_step(demand, self.reported))
            || is_step(u64::from(wants), u64::from(self.told_wants));
        let credits_only = self.lease.supply().at(now).rate == 0;
        self.lease.has_to_confirm(self.lease.number())
            || (changed && (credits_only || age >= MIN_SPAN))
            || (age >= REPORT_INTERVAL && (!idle || self.lease.is_confirming()))
    }

    /// The report to send at `now`, with the number of calls that wait for a credit.
    pub fn report(&mut self, wants: u32, now: Instant) -> Demand {
        let elapsed = now.saturating_duration_since(self.measured_at);
        if elapsed >= MIN_SPAN || self.demand == 0 {
            self.demand = self.measure(now);
            self.asked = 0;
            self.measured_at = now;
        }
        self.reported = self.demand;
        self.told_wants = wants;
        let applied = self.lease.number();
        Demand {
            seq: self.lease.open_report(applied, now),
            applied,
            rate: self.demand,
            wants,
            settled: true,
        }
    }

    /// Takes over a share of the parent.
    pub fn apply(&mut self, share: &Share, now: Instant) {
        self.settle(now);
        let Some(sent) = self.lease.apply(share) else {
            return;
        };
        self.bucket.set(self.lease.supply().at(now), now);
        self.told_wants = self.told_wants.saturating_sub(share.credits);
        let until = sent + Duration::from_millis(share.credit_ms);
        if share.credits > 0 && until > now {
            self.credits.push_back((until, share.credits));
        }
    }

    /// The parent was replaced. The share ends, the guaranteed part stays.
    pub fn detach(&mut self, now: Instant) {
        self.settle(now);
        self.lease.detach(now);
        self.settle(now);
    }

    /// Demand in thousandths of a call per second: mean of the last value and of the time since.
    fn measure(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.measured_at);
        let span = elapsed.max(MIN_SPAN).as_millis() as u64;
        let current = self.asked * 1_000_000 / span;
        if self.demand == 0 {
            return current;
        }
        // Rounds down to zero, so that the demand of an idle grant ends.
        let kept = span.min(MEMORY_MS);
        (self.demand * (MEMORY_MS - kept) + current * kept) / MEMORY_MS
    }

    /// Follows the ends of the lease, the guarantee and the credits.
    fn settle(&mut self, now: Instant) {
        let supply = self.lease.supply();
        for end in [supply.until, supply.guaranteed_until]
            .into_iter()
            .flatten()
        {
            if end <= now {
                self.bucket.set(supply.at(end), end);
            }
        }
        while self.credits.front().is_some_and(|(until, _)| *until <= now) {
            self.credits.pop_front();
        }
    }
}

/// Whether a value has changed enough to be reported early.
pub(super) fn is_step(value: u64, told: u64) -> bool {
    value > told * STEP || value * STEP < told
}
