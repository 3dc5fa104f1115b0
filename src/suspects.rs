//! Requests suspected of crashing backend servers.
//!
//! When a backend server crashes, each request in flight on it becomes a suspect. A suspect runs
//! as the only suspect on its server; other requests go on beside it. If it is answered it is
//! cleared; if the server crashes again, it is condemned: refused everywhere as not run for
//! `LIFE`. Records spread to other daemons by reports that may be lost, repeated or reordered.
//!
//! A request crashes at most two servers if its caller learns of a crash only after the report of
//! it has reached the daemons that it may ask next. Copies of one request that are sent at the
//! same time to several daemons can crash one server each before any report exists.

use {
    crate::model::ServerName,
    indexmap::{IndexMap, IndexSet},
    record::Standing,
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
pub const LIFE: Duration = Duration::from_mins(10);
/// Time for which a clearing is remembered: longer than any copy of the suspicion lives.
const CLEARED_LIFE: Duration = Duration::from_mins(11);
/// Time for which the end of a record is remembered, so that a late report does not revive it.
const EXPIRED_LIFE: Duration = Duration::from_mins(1);
/// Records kept; about 75 bytes each, 300 KB in all.
pub const MAX_RECORDS: usize = 4096;
/// Records in one report; about 40 bytes each.
pub const MAX_REPORT: usize = 256;

/// How a request may run on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// Like any other.
    Free,
    /// Now, and no other suspect may start on the server until it has ended.
    RunAsOnlySuspect,
    /// Not now: a suspect is running on the server, or this one is running elsewhere.
    Busy,
    /// Nowhere; refuse it as not run.
    Condemned,
}

/// How a run ended without a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The server gave a complete answer, whatever its status.
    Answered,
    /// The call was cancelled or broken off.
    Aborted,
}

/// Identifies a run between `started` and `finished`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunId(u64);

/// What a crash made of a request that was in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether it is condemned; otherwise it is a suspect.
    pub is_condemned: bool,
}

#[derive(Debug)]
struct Run {
    fingerprint: Fingerprint,
    server: ServerName,
    /// Whether it was started as the only suspect.
    alone: bool,
}

#[derive(Debug)]
struct Kept {
    record: Record,
    expires: Instant,
    /// Value of `Suspects::changes` at the last change.
    changed: u64,
}

/// The suspects that this daemon knows and the runs in flight.
///
/// If `MAX_RECORDS` are kept, a new record replaces one that is cleared or expired, else a
/// suspect, else a condemned one; among equals the one that would expire first.
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
/// suspects.started(fingerprint, &server);
/// suspects.crashed(&server, now);
/// assert_eq!(suspects.check(fingerprint, &server), Verdict::RunAsOnlySuspect);
/// ```
#[derive(Debug, Default)]
pub struct Suspects {
    records: IndexMap<Fingerprint, Kept>,
    runs: IndexMap<u64, Run>,
    next_run: u64,
    /// Number of the last change; records changed together share it.
    changes: u64,
}

impl Suspects {
    /// How a request may run on `server`.
    pub fn check(&self, fingerprint: Fingerprint, server: &ServerName) -> Verdict {
        match self.standing(fingerprint) {
            Standing::Free => Verdict::Free,
            Standing::Condemned => Verdict::Condemned,
            Standing::Suspect => {
                let is_rival = |run: &Run| {
                    let here = run.server == *server;
                    let suspect = self.standing(run.fingerprint) == Standing::Suspect;
                    (here && suspect) || (run.alone && run.fingerprint == fingerprint)
                };
                if self.runs.values().any(is_rival) {
                    Verdict::Busy
                } else {
                    Verdict::RunAsOnlySuspect
                }
            }
        }
    }

    fn standing(&self, fingerprint: Fingerprint) -> Standing {
        let kept = self.records.get(&fingerprint);
        kept.map_or(Standing::Free, |kept| kept.record.standing())
    }

    /// Counts a request as running on `server`; the caller has acted on the verdict of `check`
    /// without an event between.
    pub fn started(&mut self, fingerprint: Fingerprint, server: &ServerName) -> RunId {
        let alone = self.check(fingerprint, server) == Verdict::RunAsOnlySuspect;
        let id = self.next_run;
        self.next_run += 1;
        let run = Run {
            fingerprint,
            server: server.clone(),
            alone,
        };
        self.runs.insert(id, run);
        RunId(id)
    }

    /// Ends a run; true if its request was a suspect and is cleared by this. A run that a crash
    /// has ended before is ignored.
    pub fn finished(&mut self, run: RunId, ending: Ending, now: Instant) -> bool {
        let Some(run) = self.runs.swap_remove(&run.0) else {
            return false;
        };
        let is_suspect = self.standing(run.fingerprint) == Standing::Suspect;
        if ending == Ending::Aborted || !is_suspect {
            return false;
        }
        self.changes += 1;
        if let Some(kept) = self.records.get_mut(&run.fingerprint) {
            kept.record.clear();
            kept.expires = now + CLEARED_LIFE;
            kept.changed = self.changes;
        }
        true
    }

    /// Ends all runs on `server`, whose process has crashed, and counts the crash.
    ///
    /// Only the daemon that owns the server may report this, and only for a crash of the backend
    /// server itself: the loss of a VM or a planned restart says nothing about the requests.
    pub fn crashed(&mut self, server: &ServerName, now: Instant) -> Vec<Crash> {
        let ended: Vec<_> = self
            .runs
            .extract_if(.., |_, run| run.server == *server)
            .map(|(_, run)| run)
            .collect();
        let in_flight: IndexSet<_> = ended.iter().map(|run| run.fingerprint).collect();
        let is_suspect = |fp: &&Fingerprint| self.standing(**fp) == Standing::Suspect;
        let suspects: Vec<_> = in_flight.iter().filter(is_suspect).copied().collect();
        let is_alone = |fp: &Fingerprint| {
            let mut runs = ended.iter();
            runs.any(|run| run.alone && run.fingerprint == *fp)
        };
        let condemned = match suspects[..] {
            [only] => Some(only).filter(is_alone),
            _ => None,
        };
        let mut crashes = Vec::with_capacity(in_flight.len());
        for (position, fingerprint) in in_flight.into_iter().enumerate() {
            // A report never splits records of one change; so one change must fit into a report.
            if position % MAX_REPORT == 0 {
                self.changes += 1;
            }
            let is_condemned = condemned == Some(fingerprint);
            self.count_crash(fingerprint, is_condemned, now);
            crashes.push(Crash {
                fingerprint,
                is_condemned,
            });
        }
        crashes
    }

    fn count_crash(&mut self, fingerprint: Fingerprint, is_condemned: bool, now: Instant) {
        let known = self.records.get(&fingerprint).map(|kept| kept.record);
        let mut record = known.unwrap_or_default();
        if is_condemned {
            record.condemn();
        } else if record.standing() == Standing::Free {
            record.suspect();
        } else {
            return;
        }
        self.keep(fingerprint, record, now + LIFE);
    }

    /// Stores a record as changed now, and makes room for it.
    fn keep(&mut self, fingerprint: Fingerprint, record: Record, expires: Instant) {
        if !self.records.contains_key(&fingerprint) && self.records.len() >= MAX_RECORDS {
            let rank = |kept: &Kept| (kept.record.standing(), kept.expires);
            let all = self.records.iter().enumerate();
            let victim = all.min_by_key(|(_, (_, kept))| rank(kept));
            if let Some(at) = victim.map(|(at, _)| at) {
                self.records.swap_remove_index(at);
            }
        }
        let kept = Kept {
            record,
            expires,
            changed: self.changes,
        };
        self.records.insert(fingerprint, kept);
    }

    /// What has changed after the change number `since`; 0 asks for everything.
    ///
    /// Pass `up_to` of the last report that has arrived. Records of one crash are in one report.
    pub fn report(&self, since: u64, now: Instant) -> Report {
        let recent = self.records.iter();
        let recent = recent.filter(|(_, kept)| kept.changed > since);
        let mut changed: Vec<_> = recent.collect();
        changed.sort_by_key(|(_, kept)| kept.changed);
        if let Some(next) = changed.get(MAX_REPORT).map(|(_, kept)| kept.changed) {
            let whole = changed.partition_point(|(_, kept)| kept.changed < next);
            // Records of one change never exceed a report, so something is left.
            changed.truncate(whole);
        }
        let up_to = changed.last().map_or(since, |(_, kept)| kept.changed);
        let entries = changed.into_iter().map(|(fingerprint, kept)| {
            let left = kept.expires.saturating_duration_since(now);
            Entry {
                fingerprint: *fingerprint,
                record: kept.record,
                left_ms: left.as_millis() as u32,
            }
        });
        Report {
            up_to,
            entries: entries.collect(),
        }
    }

    /// Takes over a report of another daemon; true if it told anything new.
    ///
    /// The result does not depend on the order of reports or on repetitions.
    ///
    /// ```
    /// use anvilbeam::suspects::{Ending, Fingerprint, Suspects, Verdict};
    /// let now = std::time::Instant::now();
    /// let (fingerprint, server) = (Fingerprint([7; 16]), "v1".into());
    /// let [mut first, mut second] = [Suspects::default(), Suspects::default()];
    /// first.started(fingerprint, &server);
    /// first.crashed(&server, now);
    /// let crash = first.report(0, now);
    /// let run = first.started(fingerprint, &server);
    /// first.finished(run, Ending::Answered, now);
    /// second.merge(&first.report(crash.up_to, now), now);
    /// second.merge(&crash, now);
    /// assert_eq!(second.check(fingerprint, &server), Verdict::Free);
    /// ```
    pub fn merge(&mut self, report: &Report, now: Instant) -> bool {
        let before = self.changes;
        self.changes += 1;
        let mut is_new = false;
        for entry in report.entries.iter().take(MAX_REPORT) {
            is_new |= self.merge_entry(entry, now);
        }
        if !is_new {
            self.changes = before;
        }
        is_new
    }

    fn merge_entry(&mut self, entry: &Entry, now: Instant) -> bool {
        let left = Duration::from_millis(u64::from(entry.left_ms)).min(CLEARED_LIFE);
        let theirs = now + left;
        let Some(kept) = self.records.get_mut(&entry.fingerprint) else {
            if left.is_zero() || entry.record == Record::default() {
                return false;
            }
            self.keep(entry.fingerprint, entry.record, theirs);
            return true;
        };
        let joined = kept.record.join(entry.record);
        if joined == kept.record {
            let is_active = joined.standing() != Standing::Free;
            if is_active && joined == entry.record {
                kept.expires = kept.expires.min(theirs);
            }
            return false;
        }
        // The deadline belongs to the side whose standing holds; a clearing keeps the longer one.
        kept.expires = if joined.standing() == Standing::Free {
            kept.expires.max(theirs)
        } else if joined.standing() == entry.record.standing() {
            theirs
        } else {
            kept.expires
        };
        kept.record = joined;
        kept.changed = self.changes;
        true
    }

    /// Ends suspicions and condemnations whose deadline has passed; call it each second.
    pub fn expire(&mut self, now: Instant) {
        self.records.retain(|_, kept| {
            if kept.expires > now {
                return true;
            }
            if kept.record.standing() == Standing::Free {
                return false;
            }
            kept.record.expire();
            kept.expires = now + EXPIRED_LIFE;
            true
        });
    }

    /// Number of records kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
