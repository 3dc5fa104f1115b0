//! Requests suspected of crashing backend servers.
//!
//! When a backend server crashes, each request in flight on it becomes a suspect. While a suspect
//! runs, no other suspect may run on the same server; other requests are not affected. A suspect
//! that is answered is cleared. If the server crashes again, the suspect is condemned: all daemons
//! refuse it without running it for `SUSPECT_TTL`. Records are replicated to other daemons by
//! reports that may be lost, repeated or reordered.
//!
//! A request crashes at most two servers, provided that its caller gets the failure only after the
//! report of the crash has reached every daemon to which the caller may retry. Copies of one
//! request sent to several daemons at the same time can crash one server each before any report
//! exists.

use {
    crate::model::ServerName,
    indexmap::{IndexMap, IndexSet},
    record::Status,
    std::time::{Duration, Instant},
    strum::Display,
};

mod fingerprint;
mod record;
#[cfg(test)]
mod tests;

pub use {
    fingerprint::{BODY_PREFIX, Fingerprint, Identity, Request},
    record::{Entry, Record, Report},
};

/// Time for which a request stays a suspect or condemned.
pub const SUSPECT_TTL: Duration = Duration::from_mins(10);
/// Time for which a clearing is kept; longer than `SUSPECT_TTL`, so that it outlives every copy of
/// the suspicion.
const CLEARED_TTL: Duration = Duration::from_mins(11);
/// Time for which an expired record is kept, so that a late report does not revive it.
const EXPIRED_TTL: Duration = Duration::from_mins(1);
/// Maximum number of records in memory; about 75 bytes each, 300 KB in total.
pub const MAX_RECORDS: usize = 4096;
/// Maximum number of records in one report; about 40 bytes each.
pub const MAX_REPORT_ENTRIES: usize = 256;

/// Whether a request may run on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// It may run without restriction.
    Free,
    /// It may run now, and no other suspect may start on the server until it has ended.
    RunAsOnlySuspect,
    /// It must wait: a suspect is running on the server, or this request runs on another server.
    Busy,
    /// It must not run on any server; refuse it as not run.
    Condemned,
}

/// How a run ended when the server did not crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The server sent a complete response of any status.
    Answered,
    /// The call was cancelled or interrupted.
    Aborted,
}

/// Identifies a run between `start_run` and `end_run`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunId(u64);

/// New status of a request that was in flight when its server crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether the request is now condemned; otherwise it is a suspect.
    pub is_condemned: bool,
}

#[derive(Debug)]
struct Run {
    fingerprint: Fingerprint,
    server: ServerName,
    /// Whether the run was started with the verdict `RunAsOnlySuspect`.
    as_only_suspect: bool,
}

#[derive(Debug)]
struct StoredRecord {
    record: Record,
    expires: Instant,
    /// Number of the last change of this record; see `Suspects::last_change`.
    change: u64,
}

/// Suspect and condemned requests known to this daemon, and the runs in flight.
///
/// When `MAX_RECORDS` are stored, a new record evicts a cleared or expired one, otherwise a
/// suspect, otherwise a condemned one; among equals the one that expires first.
///
/// ```
/// use anvilbeam::suspects::{Fingerprint, Identity, Request, Suspects, Verdict};
/// let now = std::time::Instant::now();
/// let request = Request {
///     plan: "p",
///     service: "s",
///     method: "GET",
///     path: "/chart?id=7",
///     identity: Identity::Unknown,
/// };
/// let fingerprint = Fingerprint::of(&request);
/// let server = "v1".into();
/// let mut suspects = Suspects::default();
/// suspects.start_run(fingerprint, &server);
/// suspects.record_crash(&server, now);
/// assert_eq!(suspects.check(fingerprint, &server), Verdict::RunAsOnlySuspect);
/// ```
#[derive(Debug, Default)]
pub struct Suspects {
    records: IndexMap<Fingerprint, StoredRecord>,
    runs: IndexMap<u64, Run>,
    next_run: u64,
    /// Number of the last change; records changed by the same event share it.
    last_change: u64,
}

impl Suspects {
    /// Returns whether a request may run on `server` now.
    pub fn check(&self, fingerprint: Fingerprint, server: &ServerName) -> Verdict {
        match self.status(fingerprint) {
            Status::Free => Verdict::Free,
            Status::Condemned => Verdict::Condemned,
            Status::Suspect => {
                let conflicts = |run: &Run| {
                    let same_server = run.server == *server;
                    let suspect = self.status(run.fingerprint) == Status::Suspect;
                    (same_server && suspect)
                        || (run.as_only_suspect && run.fingerprint == fingerprint)
                };
                if self.runs.values().any(conflicts) {
                    Verdict::Busy
                } else {
                    Verdict::RunAsOnlySuspect
                }
            }
        }
    }

    fn status(&self, fingerprint: Fingerprint) -> Status {
        let stored = self.records.get(&fingerprint);
        stored.map_or(Status::Free, |stored| stored.record.status())
    }

    /// Records the start of a request on `server`.
    ///
    /// Must directly follow the `check` whose verdict allowed the run, with no event in between.
    pub fn start_run(&mut self, fingerprint: Fingerprint, server: &ServerName) -> RunId {
        let as_only_suspect = self.check(fingerprint, server) == Verdict::RunAsOnlySuspect;
        let id = self.next_run;
        self.next_run += 1;
        let run = Run {
            fingerprint,
            server: server.clone(),
            as_only_suspect,
        };
        self.runs.insert(id, run);
        RunId(id)
    }

    /// Ends a run; returns true if this clears its request of a suspicion. A run that a crash has
    /// already ended is ignored.
    pub fn end_run(&mut self, run: RunId, outcome: RunOutcome, now: Instant) -> bool {
        let Some(run) = self.runs.swap_remove(&run.0) else {
            return false;
        };
        let is_suspect = self.status(run.fingerprint) == Status::Suspect;
        if outcome == RunOutcome::Aborted || !is_suspect {
            return false;
        }
        self.last_change += 1;
        if let Some(stored) = self.records.get_mut(&run.fingerprint) {
            stored.record.clear();
            stored.expires = now + CLEARED_TTL;
            stored.change = self.last_change;
        }
        true
    }

    /// Records a crash of `server` and ends all runs on it; returns the requests in flight.
    ///
    /// Only the owner daemon may call this, and only for a crash of the backend server process
    /// itself: the loss of a VM or a planned restart is no evidence against the requests.
    pub fn record_crash(&mut self, server: &ServerName, now: Instant) -> Vec<Crash> {
        let ended: Vec<_> = self
            .runs
            .extract_if(.., |_, run| run.server == *server)
            .map(|(_, run)| run)
            .collect();
        let in_flight: IndexSet<_> = ended.iter().map(|run| run.fingerprint).collect();
        let is_suspect = |fp: &&Fingerprint| self.status(**fp) == Status::Suspect;
        let suspects: Vec<_> = in_flight.iter().filter(is_suspect).copied().collect();
        let ran_as_only_suspect = |fp: &Fingerprint| {
            let mut runs = ended.iter();
            runs.any(|run| run.as_only_suspect && run.fingerprint == *fp)
        };
        let condemned = match suspects[..] {
            [only] => Some(only).filter(ran_as_only_suspect),
            _ => None,
        };
        let mut crashes = Vec::with_capacity(in_flight.len());
        for (index, fingerprint) in in_flight.into_iter().enumerate() {
            // All records of one change go into the same report, so a change must fit into one.
            if index % MAX_REPORT_ENTRIES == 0 {
                self.last_change += 1;
            }
            let is_condemned = condemned == Some(fingerprint);
            self.apply_crash(fingerprint, is_condemned, now);
            crashes.push(Crash {
                fingerprint,
                is_condemned,
            });
        }
        crashes
    }

    fn apply_crash(&mut self, fingerprint: Fingerprint, is_condemned: bool, now: Instant) {
        let known = self.records.get(&fingerprint).map(|stored| stored.record);
        let mut record = known.unwrap_or_default();
        if is_condemned {
            record.condemn();
        } else if record.status() == Status::Free {
            record.suspect();
        } else {
            return;
        }
        self.store(fingerprint, record, now + SUSPECT_TTL);
    }

    /// Stores a record under the current change number; evicts another if the table is full.
    fn store(&mut self, fingerprint: Fingerprint, record: Record, expires: Instant) {
        if !self.records.contains_key(&fingerprint) && self.records.len() >= MAX_RECORDS {
            let eviction_order = |stored: &StoredRecord| (stored.record.status(), stored.expires);
            let all = self.records.iter().enumerate();
            let evicted = all.min_by_key(|(_, (_, stored))| eviction_order(stored));
            if let Some(index) = evicted.map(|(index, _)| index) {
                self.records.swap_remove_index(index);
            }
        }
        let stored = StoredRecord {
            record,
            expires,
            change: self.last_change,
        };
        self.records.insert(fingerprint, stored);
    }

    /// Returns the records that changed after change number `since`; 0 returns all records.
    ///
    /// Pass `up_to` of the last report that was delivered. A change is never split between reports.
    pub fn report(&self, since: u64, now: Instant) -> Report {
        let recent = self.records.iter();
        let recent = recent.filter(|(_, stored)| stored.change > since);
        let mut changed: Vec<_> = recent.collect();
        changed.sort_by_key(|(_, stored)| stored.change);
        if let Some(next) = changed
            .get(MAX_REPORT_ENTRIES)
            .map(|(_, stored)| stored.change)
        {
            let complete = changed.partition_point(|(_, stored)| stored.change < next);
            // One change never exceeds a report, so the result is not empty.
            changed.truncate(complete);
        }
        let up_to = changed.last().map_or(since, |(_, stored)| stored.change);
        let entries = changed.into_iter().map(|(fingerprint, stored)| {
            let remaining = stored.expires.saturating_duration_since(now);
            Entry {
                fingerprint: *fingerprint,
                record: stored.record,
                remaining_ms: remaining.as_millis() as u32,
            }
        });
        Report {
            up_to,
            entries: entries.collect(),
        }
    }

    /// Merges a report of another daemon; returns true if it advanced the rounds of any record.
    ///
    /// Merging is commutative and idempotent: order and repetition of reports do not matter.
    ///
    /// ```
    /// use anvilbeam::suspects::{Fingerprint, RunOutcome, Suspects, Verdict};
    /// let now = std::time::Instant::now();
    /// let (fingerprint, server) = (Fingerprint([7; 16]), "v1".into());
    /// let [mut first, mut second] = [Suspects::default(), Suspects::default()];
    /// first.start_run(fingerprint, &server);
    /// first.record_crash(&server, now);
    /// let crash = first.report(0, now);
    /// let run = first.start_run(fingerprint, &server);
    /// first.end_run(run, RunOutcome::Answered, now);
    /// second.merge(&first.report(crash.up_to, now), now);
    /// second.merge(&crash, now);
    /// assert_eq!(second.check(fingerprint, &server), Verdict::Free);
    /// ```
    pub fn merge(&mut self, report: &Report, now: Instant) -> bool {
        let previous = self.last_change;
        self.last_change += 1;
        let mut any_new = false;
        for entry in report.entries.iter().take(MAX_REPORT_ENTRIES) {
            any_new |= self.merge_entry(entry, now);
        }
        if !any_new {
            self.last_change = previous;
        }
        any_new
    }

    fn merge_entry(&mut self, entry: &Entry, now: Instant) -> bool {
        let remaining = Duration::from_millis(u64::from(entry.remaining_ms)).min(CLEARED_TTL);
        let reported_expiry = now + remaining;
        let Some(stored) = self.records.get_mut(&entry.fingerprint) else {
            if remaining.is_zero() || entry.record == Record::default() {
                return false;
            }
            self.store(entry.fingerprint, entry.record, reported_expiry);
            return true;
        };
        let joined = stored.record.join(entry.record);
        if joined == stored.record {
            let is_active = joined.status() != Status::Free;
            if is_active && joined == entry.record {
                stored.expires = stored.expires.min(reported_expiry);
            }
            return false;
        }
        // The expiry comes from the side whose status prevails; a clearing keeps the later expiry.
        stored.expires = if joined.status() == Status::Free {
            stored.expires.max(reported_expiry)
        } else if joined.status() == entry.record.status() {
            reported_expiry
        } else {
            stored.expires
        };
        stored.record = joined;
        stored.change = self.last_change;
        true
    }

    /// Expires suspicions and condemnations, and removes old cleared and expired records; call it
    /// once per second.
    pub fn expire(&mut self, now: Instant) {
        self.records.retain(|_, stored| {
            if stored.expires > now {
                return true;
            }
            if stored.record.status() == Status::Free {
                return false;
            }
            stored.record.expire();
            stored.expires = now + EXPIRED_TTL;
            true
        });
    }

    /// Returns the number of stored records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true if no record is stored.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
