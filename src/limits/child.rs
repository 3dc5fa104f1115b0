//! What a parent knows of one child.

use {
    super::{Amount, Demand, LEASE, Share, Supply},
    std::{collections::VecDeque, sync::Arc, time::Instant},
};

/// Offers that are kept one by one; older ones are joined.
const MAX_OFFERS: usize = 8;

/// One run of a child process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Child {
    /// Name of the daemon, data centre or region.
    pub name: Arc<str>,
    /// Changes with each start of the process that speaks for it.
    pub incarnation: u64,
}

impl Child {
    /// The run `incarnation` of the child `name`.
    pub fn new(name: &str, incarnation: u64) -> Self {
        Self {
            name: Arc::from(name),
            incarnation,
        }
    }
}

/// A share that the child may keep to.
#[derive(Clone, Copy, Debug)]
struct Offer {
    number: u64,
    supply: Supply,
}

/// Last report of a child, and the shares it may keep to.
#[derive(Debug, Default)]
pub(super) struct Record {
    pub(super) seq: u64,
    pub(super) demand: u64,
    pub(super) wants: u32,
    /// Most that the child may hold, as of the last update.
    pub(super) committed: Amount,
    /// Most that the child may hold as its guaranteed part.
    pub(super) guaranteed: Amount,
    /// When the above, or the age of the report, changes.
    pub(super) next_change: Option<Instant>,
    reported_at: Option<Instant>,
    offers: VecDeque<Offer>,
}

impl Record {
    /// Notes a report. The child never goes back before the share that it confirms.
    pub(super) fn note(&mut self, demand: &Demand, now: Instant) {
        self.seq = demand.seq;
        self.demand = demand.rate;
        self.wants = demand.wants;
        self.reported_at = Some(now);
        self.offers.retain(|offer| offer.number >= demand.applied);
    }

    /// Adds an offer.
    pub(super) fn push(&mut self, number: u64, supply: Supply) {
        self.offers.push_back(Offer { number, supply });
        if self.offers.len() <= MAX_OFFERS {
            return;
        }
        if let Some(oldest) = self.offers.pop_front()
            && let Some(next) = self.offers.front_mut()
        {
            next.supply = join(&oldest.supply, &next.supply);
        }
    }

    /// The last offer as a message. Sending it again under a new number is the same offer.
    pub(super) fn share(&mut self, number: u64, credits: u32, credits_end: Instant) -> Share {
        let sent = self.reported_at.unwrap_or(credits_end);
        let ms = |end: Option<Instant>| {
            end.map_or(0, |end| {
                end.saturating_duration_since(sent).as_millis() as u64
            })
        };
        let supply = self.offers.back_mut().map(|offer| {
            offer.number = number;
            offer.supply
        });
        let supply = supply.unwrap_or_default();
        Share {
            seq: self.seq,
            number,
            amount: supply.amount,
            lease_ms: ms(supply.until),
            guaranteed: supply.guaranteed,
            guaranteed_ms: ms(supply.guaranteed_until),
            credits,
            credit_ms: ms(Some(credits_end)),
        }
    }

    /// Recomputes what the child may hold; returns whether its report is out of date.
    pub(super) fn update(&mut self, now: Instant) -> bool {
        self.offers
            .retain(|offer| offer.supply.guaranteed_until.is_some_and(|at| now < at));
        let report_end = self.reported_at.map(|at| at + LEASE);
        let mut committed = Amount::default();
        let mut guaranteed = Amount::default();
        let mut next = report_end.filter(|at| now < *at);
        for Offer { supply, .. } in &self.offers {
            committed = committed.max(supply.at(now));
            guaranteed = guaranteed.max(supply.guaranteed);
            let change = supply.valid_until(now);
            next = match (next, change) {
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

/// An offer that covers both.
fn join(a: &Supply, b: &Supply) -> Supply {
    Supply {
        amount: a.amount.max(b.amount),
        until: a.until.max(b.until),
        guaranteed: a.guaranteed.max(b.guaranteed),
        guaranteed_until: a.guaranteed_until.max(b.guaranteed_until),
    }
}
