//! Suspicion record of one request, and the reports that replicate it between daemons.
//!
//! Each new suspicion of a request starts a round. A record holds the highest round in which each
//! kind of event happened. Rounds only grow, and two records are joined by the maximum of each
//! kind, so order and repetition of reports do not matter.

use {
    super::Fingerprint,
    serde::{Deserialize, Serialize},
};

/// Status of a request, derived from its record; the first to be evicted comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Status {
    Free,
    Suspect,
    Condemned,
}

/// Last round of each kind of event of one request; 0 means never.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    suspected: u32,
    cleared: u32,
    condemned: u32,
    expired: u32,
}

impl Record {
    pub(super) fn status(&self) -> Status {
        if self.condemned > self.expired {
            Status::Condemned
        } else if self.suspected > self.cleared.max(self.expired) {
            Status::Suspect
        } else {
            Status::Free
        }
    }

    /// Starts a new round, higher than all earlier ones.
    pub(super) fn suspect(&mut self) {
        let latest = self.suspected.max(self.cleared).max(self.expired);
        self.suspected = latest.max(self.condemned).saturating_add(1);
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

    /// Returns the maximum of both records, field by field.
    pub(super) fn join(self, other: Self) -> Self {
        Self {
            suspected: self.suspected.max(other.suspected),
            cleared: self.cleared.max(other.cleared),
            condemned: self.condemned.max(other.condemned),
            expired: self.expired.max(other.expired),
        }
    }
}

/// Record in a report to another daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Rounds of the request.
    pub record: Record,
    /// Milliseconds until the record expires.
    pub remaining_ms: u32,
}

/// Changed records, sent to another daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Highest change number of the sender that the report covers.
    pub up_to: u64,
    /// Changed records, at most `MAX_REPORT_ENTRIES`.
    pub entries: Vec<Entry>,
}
