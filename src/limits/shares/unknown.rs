//! Parts that children may hold from an earlier run of their parent.

use {
    super::Shares,
    crate::limits::{Amount, Child, RELAY_HOLD},
    std::{sync::Arc, time::Instant},
};

impl Shares {
    /// Gives up what is kept for the children of this name from before a restart.
    pub fn release(&mut self, name: &str, now: Instant) {
        self.settle(now);
        self.drop_unknown(name);
        self.refill(now);
    }

    /// Keeps the largest guaranteed part for the children of this name, which cannot be reached
    /// and may use it without having got it.
    pub fn reserve(&mut self, name: &str, now: Instant) {
        self.settle(now);
        self.drop_unknown(name);
        let children = self.children.iter();
        let held = children
            .filter(|(child, _)| *child.name == *name)
            .fold(Amount::default(), |sum, (_, record)| {
                sum.add(record.guaranteed)
            });
        let part = self.largest_part().minus(held);
        self.unknown
            .insert(Arc::from(name), (part, now + self.level.hold));
        self.committed = self.committed.add(part);
        self.committed_guaranteed = self.committed_guaranteed.add(part);
        self.refill(now);
    }

    /// The child keeps to a share of this parent now. What an earlier run of it handed out may
    /// still be valid for a while.
    pub(super) fn shorten_unknown(&mut self, child: &Child, settled: bool, now: Instant) {
        if settled {
            self.drop_unknown(&child.name);
        } else if let Some((_, until)) = self.unknown.get_mut(&child.name) {
            *until = (*until).min(now + RELAY_HOLD);
        }
    }

    pub(super) fn drop_unknown(&mut self, name: &str) {
        if let Some((part, _)) = self.unknown.swap_remove(name) {
            self.committed = self.committed.minus(part);
            self.committed_guaranteed = self.committed_guaranteed.minus(part);
        }
    }
}
