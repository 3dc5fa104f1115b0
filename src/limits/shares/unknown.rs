//! Parts that children may hold from an earlier run of their parent.

use {
    super::Shares,
    crate::limits::{Child, RELAY_HOLD},
    std::time::Instant,
};

impl Shares {
    /// Gives up what is kept for the children of this name from before a restart.
    pub fn release(&mut self, name: &str, now: Instant) {
        self.settle(now);
        self.drop_unknown(name);
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
