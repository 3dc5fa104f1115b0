//! Child side of a lease, and the rate limiter of a daemon.

use {
    super::{Allocation, Bucket, Demand, MIN_ANNOUNCED_WAIT, Quota, REPORT_INTERVAL, Share},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Number of recent reports whose answers are accepted; answers to older ones are ignored.
const MAX_RECENT_REPORTS: usize = 16;
/// Factor by which the demand or the waiting calls must change to be reported early.
const CHANGE_FACTOR: u64 = 2;
/// Minimum interval between two reports.
pub(super) const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time over which demand is measured.
const MIN_MEASUREMENT_SPAN: Duration = Duration::from_millis(125);
/// Averaging window of the demand, in milliseconds; older calls no longer count.
const DEMAND_WINDOW_MS: u64 = 500;

/// Share that a child holds from its parent, and the reports in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct Lease {
    allocation: Allocation,
    /// Number of the last applied share; 0 for none.
    number: u64,
    next_seq: u64,
    /// Sequence number and send time of recent reports, oldest first.
    recent_reports: VecDeque<(u64, Instant)>,
    /// Number of the newest share that reduced the allocation; `None` once a report confirms it.
    unconfirmed_reduction: Option<u64>,
    /// Sequence number of the confirming report; `None` once it is answered.
    confirming_report: Option<u64>,
}

impl Lease {
    pub(super) fn number(&self) -> u64 {
        self.number
    }

    /// Returns the current allocation; empty before the first share.
    pub(super) fn allocation(&self) -> Allocation {
        self.allocation
    }

    pub(super) fn last_report_at(&self) -> Option<Instant> {
        self.recent_reports.back().map(|(_, at)| *at)
    }

    /// Returns true if a report that confirms share `applied` frees quota at the parent.
    pub(super) fn must_confirm(&self, applied: u64) -> bool {
        self.unconfirmed_reduction
            .is_some_and(|number| number <= applied)
    }

    /// Returns true if a report that frees quota has not been answered.
    pub(super) fn is_confirmation_pending(&self) -> bool {
        self.confirming_report.is_some()
    }

    /// Returns the sequence number of a new report, sent at `now`, that confirms share `applied`.
    pub(super) fn start_report(&mut self, applied: u64, now: Instant) -> u64 {
        self.next_seq += 1;
        let seq = self.next_seq;
        if self.must_confirm(applied) {
            self.unconfirmed_reduction = None;
            self.confirming_report = Some(seq);
        }
        self.recent_reports.push_back((seq, now));
        if self.recent_reports.len() > MAX_RECENT_REPORTS {
            self.recent_reports.pop_front();
        }
        seq
    }

    /// Applies a share; returns the time at which the answered report was sent.
    ///
    /// Duplicates, outdated shares and answers to unknown reports are ignored.
    pub(super) fn apply(&mut self, share: &Share) -> Option<Instant> {
        if share.number <= self.number {
            return None;
        }
        let (_, sent) = *self
            .recent_reports
            .iter()
            .find(|(seq, _)| *seq == share.seq)?;
        self.number = share.number;
        if self.confirming_report.is_some_and(|seq| seq <= share.seq) {
            self.confirming_report = None;
        }
        let covers_previous = share.quota.covers(self.allocation.quota)
            && share.guaranteed.covers(self.allocation.guaranteed);
        if !covers_previous {
            self.unconfirmed_reduction = Some(share.number);
        }
        self.allocation = Allocation {
            quota: share.quota,
            until: Some(sent + Duration::from_millis(share.lease_ms)),
            guaranteed: share.guaranteed,
            guaranteed_until: Some(sent + Duration::from_millis(share.guaranteed_ms)),
        };
        Some(sent)
    }

    /// Detaches from the parent: ends the lease and ignores answers to earlier reports. The
    /// guaranteed quota stays valid, since the old parent or its parent keeps it reserved.
    pub(super) fn detach(&mut self, now: Instant) {
        self.recent_reports.clear();
        self.number = 0;
        self.unconfirmed_reduction = None;
        self.confirming_report = None;
        // Without an end, the empty allocation before the first share would count as a lease.
        let until = self.allocation.until.map_or(now, |until| until.min(now));
        self.allocation.until = Some(until);
    }
}

/// Rate limiter of a daemon for one grant.
///
/// ```
/// use anvilbeam::limits::{Allocation, Child, LeasePolicy, Limiter, ShareAllocator};
/// use std::time::{Duration, Instant};
///
/// let start = Instant::now();
/// let mut parent = ShareAllocator::new(LeasePolicy::relay(), Allocation::root(100), start);
/// let mut limiter = Limiter::new(start);
/// assert!(!limiter.try_take(start), "no call is admitted before the first share");
/// let demand = limiter.report(1, start);
/// for (_, share) in parent.report(&Child::new("daemon-1", 1), &demand, start) {
///     limiter.apply(&share, start);
/// }
/// assert!(limiter.try_take(start + Duration::from_millis(50)));
/// ```
#[derive(Debug)]
pub struct Limiter {
    lease: Lease,
    bucket: Bucket,
    /// Start of the unbroken series of leases; `None` before the first one.
    leased_since: Option<Instant>,
    /// Expiry and number of the credits.
    credits: VecDeque<(Instant, u32)>,
    /// Calls counted since `measured_at`.
    requested_calls: u64,
    measured_at: Instant,
    /// Demand in thousandths of a call per second at `measured_at`.
    demand: u64,
    reported_demand: u64,
    /// Averaging window of the demand, in milliseconds.
    window_ms: u64,
    /// Time over which the first calls after a time without calls are averaged, in milliseconds.
    first_span_ms: u64,
    /// Whether waiting calls are reported at once although there is a share.
    reports_waits_at_once: bool,
    /// Time at which the parent expects to have a credit; `None` if it announced none.
    next_credit: Option<Instant>,
    /// Number of waiting calls known to the parent: as reported, less the credits received since.
    reported_waiting_calls: u32,
}

impl Limiter {
    /// Creates a limiter without a share.
    pub fn new(now: Instant) -> Self {
        Self {
            lease: Lease::default(),
            bucket: Bucket::new(Quota::default(), now),
            leased_since: None,
            credits: VecDeque::new(),
            requested_calls: 0,
            measured_at: now,
            demand: 0,
            reported_demand: 0,
            window_ms: DEMAND_WINDOW_MS,
            first_span_ms: 0,
            reports_waits_at_once: false,
            next_credit: None,
            reported_waiting_calls: 0,
        }
    }

    /// Averages the demand over `window` instead of half a second, and reports waiting calls at once. A
    /// longer window keeps the share of a daemon that gets a few calls a second.
    #[must_use]
    pub const fn for_account(mut self, window: Duration) -> Self {
        self.window_ms = window.as_millis() as u64;
        self.first_span_ms = self.window_ms;
        self.reports_waits_at_once = true;
        self
    }

    /// Counts a call and admits it if the share allows it. A call that is not admitted may wait
    /// for the next share and then use [`Limiter::retry_take`].
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.requested_calls += 1;
        self.retry_take(now)
    }

    /// Admits a call that was counted before, if the share allows it.
    pub fn retry_take(&mut self, now: Instant) -> bool {
        self.advance(now);
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

    /// Returns the token of a call that was admitted and did not run; returns false if the share has no
    /// room for it.
    pub fn give_back(&mut self, now: Instant) -> bool {
        self.advance(now);
        self.bucket.give_back(now)
    }

    /// Returns what the share has earned beyond its burst, in billionths of a call, and forgets it.
    pub fn take_spill(&mut self, now: Instant) -> u64 {
        self.advance(now);
        self.bucket.take_spill(now)
    }

    /// Returns the demand of the last report, in thousandths of a call per second.
    pub const fn reported_demand(&self) -> u64 {
        self.reported_demand
    }

    /// Returns the quota valid at `now`, without credits.
    pub fn valid(&self, now: Instant) -> Quota {
        self.lease.allocation().quota_at(now)
    }

    /// Returns whether a share has been valid for long enough that a call that still waits exceeds the
    /// capacity. One without a rate counts while its lease is valid, since the parent then issues
    /// credits; it does not in the first [`REPORT_INTERVAL`], in which the first credit may be on its
    /// way.
    pub fn holds_share(&self, now: Instant) -> bool {
        if self.valid(now).rate > 0 {
            return true;
        }
        let since = self.leased_since.filter(|_| self.is_leased(now));
        since.is_some_and(|since| since + REPORT_INTERVAL <= now)
    }

    fn is_leased(&self, now: Instant) -> bool {
        let until = self.lease.allocation().until;
        until.is_some_and(|until| now < until)
    }

    /// Returns the time at which the parent expects to have a credit, if that is after `now`.
    pub fn next_credit(&self, now: Instant) -> Option<Instant> {
        self.next_credit
            .filter(|at| self.reports_waits_at_once && *at > now)
    }

    /// Returns the time at which a waiting call can be admitted without a new share; `None` if the
    /// current share never admits it.
    pub fn next_call(&self, now: Instant) -> Option<Instant> {
        self.bucket.next_call(now)
    }

    /// Returns true if a report is due; never for a grant without demand and without a share.
    ///
    /// `waiting_calls` is the number of calls that wait for a credit. It must not include calls that
    /// are abandoned before a credit can arrive, which takes about 150 ms: their credits would be
    /// lost.
    pub fn report_due(&self, waiting_calls: u32, now: Instant) -> bool {
        let Some(sent) = self.lease.last_report_at() else {
            return self.requested_calls > 0 || waiting_calls > 0;
        };
        let age = now.saturating_duration_since(sent);
        if age < MIN_REPORT_INTERVAL {
            return false;
        }
        let demand = self.demand_at(now);
        let idle = demand == 0
            && self.reported_demand == 0
            && waiting_calls == 0
            && self.reported_waiting_calls == 0;
        let long_enough = now.saturating_duration_since(self.measured_at) >= MIN_MEASUREMENT_SPAN;
        let changed = (long_enough && is_large_change(demand, self.reported_demand))
            || is_large_change(
                u64::from(waiting_calls),
                u64::from(self.reported_waiting_calls),
            );
        let credits_only = self.reports_waits_at_once
            && waiting_calls > self.reported_waiting_calls
            || self.lease.allocation().quota_at(now).rate == 0;
        self.lease.must_confirm(self.lease.number())
            || (changed && (credits_only || age >= MIN_MEASUREMENT_SPAN))
            || (age >= REPORT_INTERVAL && (!idle || self.lease.is_confirmation_pending()))
    }

    /// Returns the report to send at `now`; `waiting_calls` calls wait for a credit.
    pub fn report(&mut self, waiting_calls: u32, now: Instant) -> Demand {
        let elapsed = now.saturating_duration_since(self.measured_at);
        if elapsed >= MIN_MEASUREMENT_SPAN || self.demand == 0 {
            self.demand = self.demand_at(now);
            self.requested_calls = 0;
            self.measured_at = now;
        }
        self.reported_demand = self.demand;
        self.reported_waiting_calls = waiting_calls;
        let applied = self.lease.number();
        Demand {
            seq: self.lease.start_report(applied, now),
            applied,
            rate: self.demand,
            waiting_calls,
            earlier_shares_expired: true,
        }
    }

    /// Applies a share from the parent.
    pub fn apply(&mut self, share: &Share, now: Instant) {
        self.advance(now);
        let was_leased = self.is_leased(now);
        let Some(sent) = self.lease.apply(share) else {
            return;
        };
        if !was_leased {
            self.leased_since = Some(now);
        }
        self.bucket
            .reconfigure(self.lease.allocation().quota_at(now), now);
        self.reported_waiting_calls = self.reported_waiting_calls.saturating_sub(share.credits);
        let until = sent + Duration::from_millis(share.credit_ms);
        let is_announced = share.credit_ms >= MIN_ANNOUNCED_WAIT.as_millis() as u64;
        self.next_credit = (share.credits == 0 && is_announced).then_some(until);
        if share.credits > 0 && until > now {
            self.credits.push_back((until, share.credits));
        }
    }

    /// Handles a change of parent: the lease ends, the guaranteed quota stays valid.
    pub fn detach(&mut self, now: Instant) {
        self.advance(now);
        self.lease.detach(now);
        self.advance(now);
    }

    /// Returns the demand in thousandths of a call per second: a moving average of the last value
    /// and the rate since.
    fn demand_at(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.measured_at);
        let elapsed_ms = elapsed.max(MIN_MEASUREMENT_SPAN).as_millis() as u64;
        if self.demand == 0 {
            let span = elapsed_ms.max(self.first_span_ms);
            return self.requested_calls * 1_000_000 / span;
        }
        let span = elapsed_ms;
        let current = self.requested_calls * 1_000_000 / span;
        // The division rounds down, so that the demand of an idle grant decays to zero.
        let weight = span.min(self.window_ms);
        (self.demand * (self.window_ms - weight) + current * weight) / self.window_ms
    }

    /// Applies the expiry of the lease, the guarantee and the credits up to `now`.
    fn advance(&mut self, now: Instant) {
        let allocation = self.lease.allocation();
        for end in [allocation.until, allocation.guaranteed_until]
            .into_iter()
            .flatten()
        {
            if end <= now {
                self.bucket.reconfigure(allocation.quota_at(end), end);
            }
        }
        while self.credits.front().is_some_and(|(until, _)| *until <= now) {
            self.credits.pop_front();
        }
    }
}

/// Returns true if `value` differs enough from the reported one to be reported early.
pub(super) fn is_large_change(value: u64, reported: u64) -> bool {
    value > reported * CHANGE_FACTOR || value * CHANGE_FACTOR < reported
}
