//! What daemons know of one request, and the reports that spread it.
//!
//! A record holds the highest round of each kind of event. Rounds only grow, and two records join
//! by the higher round of each kind, so order and repetition of reports do not matter.

use {
    super::Fingerprint,
    serde::{Deserialize, Serialize},
};

/// What follows from a record, the least to be kept first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Standing {
    Free,
    Suspect,
    Condemned,
}

/// Rounds of one request; 0 means never.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    suspected: u32,
    cleared: u32,
    condemned: u32,
    expired: u32,
}

impl Record {
    pub(super) fn standing(&self) -> Standing {
        if self.condemned > self.expired {
            Standing::Condemned
        } else if self.suspected > self.cleared.max(self.expired) {
            Standing::Suspect
        } else {
            Standing::Free
        }
    }

    /// Opens a new round, above all that has ended.
    pub(super) fn suspect(&mut self) {
        let ended = self.suspected.max(self.cleared).max(self.expired);
        self.suspected = ended.max(self.condemned).saturating_add(1);
    }

    pub(super) fn clear(&mut self) {
        self.cleared = self.suspected;
    }

    pub(super) fn condemn(&mut self) {
        self.condemned = self.suspected;
    }

    pub(super) fn expire(&mut self) {
        self.expired = self.suspected.max(self.condemned);
    }

    /// The least record that covers both.
    pub(super) fn join(self, other: Self) -> Self {
        Self {
            suspected: self.suspected.max(other.suspected),
            cleared: self.cleared.max(other.cleared),
            condemned: self.condemned.max(other.condemned),
            expired: self.expired.max(other.expired),
        }
    }
}

/// A record on its way to another daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What is known of it.
    pub record: Record,
    /// Milliseconds until the record expires.
    pub left_ms: u32,
}

/// Records that changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Change number of the sender up to which the report is complete.
    pub up_to: u64,
    /// The records, at most `MAX_REPORT`.
    pub entries: Vec<Entry>,
}
