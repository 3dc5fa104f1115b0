//! Guaranteed quota of children, and reservations for that which children may hold from an earlier run of their parent.

use {
    super::{ChildState, ShareAllocator},
    crate::limits::{Child, MILLI, Quota, RELAY_GUARANTEE},
    std::{sync::Arc, time::Instant},
};

impl ShareAllocator {
    /// Drops the reservation for the children of this name.
    pub fn release(&mut self, name: &str, now: Instant) {
        self.advance(now);
        self.drop_reserved(name);
        self.update_credit_rate(now);
    }

    /// Reserves the maximum guaranteed quota for the children of this name, which are unreachable
    /// and may use that quota without having received it.
    pub fn reserve(&mut self, name: &str, now: Instant) {
        self.advance(now);
        self.drop_reserved(name);
        let guarantee = self.max_guarantee().minus(self.guaranteed_to(name));
        self.reserved.insert(
            Arc::from(name),
            (guarantee, now + self.policy.guarantee_ttl),
        );
        self.committed = self.committed.add(guarantee);
        self.committed_guaranteed = self.committed_guaranteed.add(guarantee);
        self.update_credit_rate(now);
    }

    /// Returns what is guaranteed to all incarnations of the children of this name.
    fn guaranteed_to(&self, name: &str) -> Quota {
        let children = self.children.iter();
        children
            .filter(|(child, _)| *child.name == *name)
            .fold(Quota::default(), |sum, (_, state)| {
                sum.add(state.guaranteed)
            })
    }

    /// Ends the reservation for a child that has applied a share of this parent: at once if the
    /// shares issued by earlier runs of the child have expired, else when they have.
    pub(super) fn shorten_reserved(
        &mut self,
        child: &Child,
        earlier_shares_expired: bool,
        now: Instant,
    ) {
        if earlier_shares_expired {
            self.drop_reserved(&child.name);
        } else if let Some((_, until)) = self.reserved.get_mut(&child.name) {
            *until = (*until).min(now + RELAY_GUARANTEE);
        }
    }

    /// Returns whether no child can have received a share or a credit for lack of an allocation.
    pub(super) fn issues_nothing(&self, now: Instant) -> bool {
        let ended = self.allocation.until.is_some_and(|until| until <= now);
        self.is_starting || ended && self.allocation.quota_at(now).rate == 0
    }

    pub(super) fn max_guarantee(&self) -> Quota {
        let own = self.allocation.guaranteed;
        Quota {
            rate: own.rate * self.policy.max_guarantee_milli / 1_000,
            burst: (own.burst * self.policy.max_guarantee_milli / 1_000).max(MILLI),
        }
    }

    pub(super) fn drop_reserved(&mut self, name: &str) {
        if let Some((guarantee, _)) = self.reserved.swap_remove(name) {
            self.committed = self.committed.minus(guarantee);
            self.committed_guaranteed = self.committed_guaranteed.minus(guarantee);
        }
    }

    /// Returns half of the share, limited by the policy and by what is not guaranteed to others.
    ///
    /// Where shares are steady, the incarnations of a child have one guarantee together: each relay of a
    /// region that is killed would otherwise leave a guarantee behind, until nothing is left to lease.
    pub(super) fn guarantee_for(
        &self,
        child: &Child,
        state: &ChildState,
        quota: Quota,
        now: Instant,
    ) -> Quota {
        let mut bound = self.max_guarantee();
        if self.policy.steady_shares {
            let held = self.guaranteed_to(&child.name).minus(state.guaranteed);
            bound = bound.minus(held);
        }
        let free = self
            .allocation
            .guaranteed_at(now)
            .minus(self.committed_guaranteed.minus(state.guaranteed));
        let guarantee = Quota {
            rate: (quota.rate / 2).min(bound.rate).min(free.rate),
            burst: (quota.burst / 2)
                .max(MILLI)
                .min(quota.burst)
                .min(bound.burst)
                .min(free.burst),
        };
        if guarantee.rate == 0 || guarantee.burst < MILLI {
            Quota::default()
        } else {
            guarantee
        }
    }
}
