//! A reducer with the state of its parent, and the fraction that it uses without a parent.

use {
    super::{DemandReport, FALLBACK_DELAY, Tier, Topology},
    crate::{
        limits::{Demand, LEASE, LeasePolicy, MILLI, Quota, Share},
        model::GrantKey,
    },
    std::time::Instant,
};

/// Parent id of a reducer that uses the process's own fraction of the capacity.
pub(super) const OWN_FRACTION: u64 = 1;

/// A reducer together with the state of its parent.
#[derive(Debug)]
pub(super) struct ParentLink<T> {
    pub(super) reducer: T,
    /// Id of this reducer.
    pub(super) id: u64,
    /// Id of the parent's reducer whose share is in use; 0 for none.
    pub(super) parent: u64,
    /// Time of the first report since the parent's last answer; `None` if all are answered.
    pub(super) unanswered_since: Option<Instant>,
    /// Sequence number of the last share from the process's own fraction.
    pub(super) own_share_number: u64,
}

impl<T> ParentLink<T> {
    pub(super) const fn new(reducer: T, id: u64) -> Self {
        Self {
            reducer,
            id,
            parent: 0,
            unanswered_since: None,
            own_share_number: 0,
        }
    }

    pub(super) fn demand_report(
        &self,
        grant: &GrantKey,
        tier: Tier,
        demand: Demand,
    ) -> DemandReport {
        DemandReport {
            grant: grant.clone(),
            tier,
            child: self.id,
            parent: self.parent,
            demand,
        }
    }

    /// Returns whether the own fraction must be used: the parent has not answered for
    /// [`FALLBACK_DELAY`], and no share of it is valid.
    pub(super) fn lacks_share(&self, valid: Quota, now: Instant) -> bool {
        let silent = self
            .unanswered_since
            .is_some_and(|at| now >= at + FALLBACK_DELAY);
        silent && (self.parent == OWN_FRACTION || valid.rate == 0)
    }

    pub(super) fn own_fraction_share(&mut self, demand: &Demand, quota: Quota) -> Share {
        self.own_share_number += 1;
        let lease_ms = LEASE.as_millis() as u64;
        Share {
            seq: demand.seq,
            number: self.own_share_number,
            quota,
            lease_ms,
            guaranteed: quota,
            guaranteed_ms: lease_ms,
            credits: 0,
            credit_ms: 0,
        }
    }
}

/// Replaces the parent. If there was one before, `detach` ends its share; answers to reports that
/// were sent to it are then ignored.
pub(super) fn set_parent(current: &mut u64, parent: u64, detach: impl FnOnce()) {
    if *current != 0 {
        detach();
    }
    *current = parent;
}

impl Topology {
    /// Returns the fraction of a grant's capacity that a process without a parent uses.
    pub(super) fn fraction(&self, tier: Tier, capacity: u32) -> Quota {
        let whole = Quota::of_grant(capacity);
        if whole.rate == 0 {
            return whole;
        }
        let (own, total) = match tier {
            Tier::Region => (1, 1),
            Tier::DataCentre => (self.data_centre_daemons.max(1), self.region_daemons.max(1)),
            Tier::Daemon => (1, self.region_daemons.max(1)),
        };
        let policy = LeasePolicy::regions(self.regions);
        let scale =
            |value: u64| value * policy.max_guarantee_milli / 1_000 * own.min(total) / total;
        Quota {
            rate: scale(whole.rate),
            burst: scale(whole.burst).max(MILLI),
        }
    }
}
