//! A reducer as the child of another, and what it uses without a parent.

use {
    super::{Ask, Surroundings, Tier, UNANSWERED},
    crate::{
        limits::{Amount, Demand, LEASE, Level, MILLI, Share},
        model::GrantKey,
    },
    std::time::Instant,
};

/// Number of the process itself as the parent of its own fraction.
pub(super) const OWN_FRACTION: u64 = 1;

/// A reducer as the child of another.
#[derive(Debug)]
pub(super) struct Link<T> {
    pub(super) reducer: T,
    /// Number of this reducer.
    pub(super) id: u64,
    /// Number of the reducer whose share it keeps to; 0 for none.
    pub(super) parent: u64,
    /// Since when the process above has not answered.
    pub(super) unanswered: Option<Instant>,
    /// Number of the last share of the process's own fraction.
    pub(super) own_shares: u64,
}

impl<T> Link<T> {
    pub(super) const fn new(reducer: T, id: u64) -> Self {
        Self {
            reducer,
            id,
            parent: 0,
            unanswered: None,
            own_shares: 0,
        }
    }

    pub(super) fn ask(&self, grant: &GrantKey, tier: Tier, demand: Demand) -> Ask {
        Ask {
            grant: grant.clone(),
            tier,
            child: self.id,
            parent: self.parent,
            demand,
        }
    }

    /// Whether nothing but the process's own fraction is left.
    pub(super) fn is_alone(&self, valid: Amount, now: Instant) -> bool {
        let silent = self.unanswered.is_some_and(|at| now >= at + UNANSWERED);
        silent && (self.parent == OWN_FRACTION || valid.rate == 0)
    }

    pub(super) fn own_share(&mut self, demand: &Demand, amount: Amount) -> Share {
        self.own_shares += 1;
        let lease_ms = LEASE.as_millis() as u64;
        Share {
            seq: demand.seq,
            number: self.own_shares,
            amount,
            lease_ms,
            guaranteed: amount,
            guaranteed_ms: lease_ms,
            credits: 0,
            credit_ms: 0,
        }
    }
}

/// Takes over a parent. The answers to reports that were meant for another are out of date.
pub(super) fn adopt(held: &mut u64, parent: u64, detach: impl FnOnce()) {
    if *held != 0 {
        detach();
    }
    *held = parent;
}

impl Surroundings {
    /// Part of a grant that a process without a parent uses.
    pub(super) fn fraction(&self, tier: Tier, capacity: u32) -> Amount {
        let whole = Amount::of_grant(capacity);
        if whole.rate == 0 {
            return whole;
        }
        let (of, all) = match tier {
            Tier::Region => (1, 1),
            Tier::Centre => (self.centre_daemons.max(1), self.region_daemons.max(1)),
            Tier::Holder => (1, self.region_daemons.max(1)),
        };
        let level = Level::regions(self.regions);
        let part = |value: u64| value * level.part_milli / 1_000 * of.min(all) / all;
        Amount {
            rate: part(whole.rate),
            burst: part(whole.burst).max(MILLI),
        }
    }
}
