//! State that a parent keeps about one child.

use {
    super::{Allocation, Demand, LEASE, Quota, Share},
    std::{collections::VecDeque, sync::Arc, time::Instant},
};

/// Maximum number of issued shares tracked separately; the oldest ones are merged.
const MAX_ISSUED_SHARES: usize = 8;

/// One run of a child process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Child {
    /// Name of the daemon, data centre or region.
    pub name: Arc<str>,
    /// Identifies the run of the process that reports for it; changes with each start.
    pub incarnation: u64,
}

impl Child {
    /// Creates the identity of run `incarnation` of the child `name`.
    pub fn new(name: &str, incarnation: u64) -> Self {
        Self {
            name: Arc::from(name),
            incarnation,
        }
    }
}

/// Share that was sent to the child and that the child may still use.
#[derive(Clone, Copy, Debug)]
struct IssuedShare {
    number: u64,
    allocation: Allocation,
}

/// Last report of a child, and the shares that it may still use.
#[derive(Debug, Default)]
pub(super) struct ChildState {
    /// Sequence number of the last report; 0 for none.
    pub(super) seq: u64,
    /// Reported demand in thousandths of a call per second.
    pub(super) demand: u64,
    /// Number of calls that wait for a credit: as reported, less the credits issued since.
    pub(super) waiting_calls: u32,
    /// Maximum quota that the child may be using, as of the last update.
    pub(super) committed: Quota,
    /// Maximum guaranteed quota that the child may hold.
    pub(super) guaranteed: Quota,
    /// Next time at which `committed` changes or the report becomes outdated; `None` if never.
    pub(super) next_change: Option<Instant>,
    reported_at: Option<Instant>,
    issued_shares: VecDeque<IssuedShare>,
}

impl ChildState {
    /// Records a report and drops the shares before the confirmed one, which the child no longer
    /// uses.
    pub(super) fn record_report(&mut self, demand: &Demand, now: Instant) {
        self.seq = demand.seq;
        self.demand = demand.rate;
        self.waiting_calls = demand.waiting_calls;
        self.reported_at = Some(now);
        self.issued_shares
            .retain(|issued| issued.number >= demand.applied);
    }

    /// Records a share that is sent to the child.
    pub(super) fn add_issued(&mut self, number: u64, allocation: Allocation) {
        self.issued_shares
            .push_back(IssuedShare { number, allocation });
        if self.issued_shares.len() <= MAX_ISSUED_SHARES {
            return;
        }
        if let Some(oldest) = self.issued_shares.pop_front()
            && let Some(next) = self.issued_shares.front_mut()
        {
            next.allocation = union(&oldest.allocation, &next.allocation);
        }
    }

    /// Returns the last issued share as a message under a new number.
    ///
    /// A repeated share counts once, under its newest number.
    pub(super) fn message(&mut self, number: u64, credits: u32, credits_end: Instant) -> Share {
        let sent = self.reported_at.unwrap_or(credits_end);
        let ms = |end: Option<Instant>| {
            end.map_or(0, |end| {
                end.saturating_duration_since(sent).as_millis() as u64
            })
        };
        let allocation = self.issued_shares.back_mut().map(|issued| {
            issued.number = number;
            issued.allocation
        });
        let allocation = allocation.unwrap_or_default();
        Share {
            seq: self.seq,
            number,
            quota: allocation.quota,
            lease_ms: ms(allocation.until),
            guaranteed: allocation.guaranteed,
            guaranteed_ms: ms(allocation.guaranteed_until),
            credits,
            credit_ms: ms(Some(credits_end)),
        }
    }

    /// Recomputes what the child may hold at `now`; returns true if its report is outdated.
    pub(super) fn update(&mut self, now: Instant) -> bool {
        self.issued_shares.retain(|issued| {
            issued
                .allocation
                .guaranteed_until
                .is_some_and(|at| now < at)
        });
        let report_end = self.reported_at.map(|at| at + LEASE);
        let mut committed = Quota::default();
        let mut guaranteed = Quota::default();
        let mut next = report_end.filter(|at| now < *at);
        for IssuedShare { allocation, .. } in &self.issued_shares {
            committed = committed.max(allocation.quota_at(now));
            guaranteed = guaranteed.max(allocation.guaranteed);
            let next_end = allocation.valid_until(now);
            next = match (next, next_end) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            };
        }
        self.committed = committed;
        self.guaranteed = guaranteed;
        self.next_change = next;
        report_end.is_none_or(|at| at <= now)
    }
}

/// Returns an allocation that covers both in quota and in time.
fn union(a: &Allocation, b: &Allocation) -> Allocation {
    Allocation {
        quota: a.quota.max(b.quota),
        until: a.until.max(b.until),
        guaranteed: a.guaranteed.max(b.guaranteed),
        guaranteed_until: a.guaranteed_until.max(b.guaranteed_until),
    }
}
