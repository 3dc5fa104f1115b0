//! Children of one process: what has been sent to each of them, and its last report.

use {
    super::{
        ADMITTED_PER_SECOND, Admission, Contents, HEARTBEAT, MAX_MESSAGE_RECORDS, MAX_PAUSE,
        Member, RECORD_INTERVAL, RELAY_LEASE, ReplicaRef, Report, SourceRef, Subscribe,
        SubscribeReply, Summary, Update,
    },
    crate::{
        endpoints::{Directory, Record},
        error::Result,
        model::{DaemonName, Version},
        versions::{ConfigStore, split_delta},
        wire,
    },
    bytes::Bytes,
    indexmap::IndexMap,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Maximum number of endpoints in one frame; keeps a frame within one message.
pub(super) const MAX_FRAME_ENDPOINTS: usize = 4_096;
/// Maximum number of other processes that are named to a daemon for which there is no room.
const MAX_REDIRECTS: usize = 4;

/// State of a process that its children get.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Configuration.
    pub store: &'a ConfigStore,
    /// Endpoints.
    pub directory: &'a Directory,
    /// Control replicas.
    pub replicas: &'a [ReplicaRef],
    /// Number of changes of the control replicas so far.
    pub replica_changes: u64,
    /// Milliseconds since the path to a majority of the config group was lost; 0 if it is intact.
    pub detached_ms: u32,
}

/// Children of a control replica or of a daemon.
#[derive(Clone, Debug)]
pub struct Children {
    by_name: IndexMap<DaemonName, Child>,
    /// Maximum number of daemons among the children.
    limit: usize,
    admission: Admission,
    /// Limit of subscriptions that need a full copy of the configuration.
    full_copies: Admission,
    /// Bytes of such copies that may be sent per second.
    copy_rate: u32,
    /// Earliest time for the next batch of changed records.
    next_records: Instant,
    /// State that has been sent to all children; `None` if [`Children::frames`] has to check each
    /// child.
    all_sent: Option<AllSent>,
    /// Last call of [`Children::expire`].
    last_check: Instant,
    /// Whether the last frames told that the path to the config group is interrupted.
    detached: bool,
}

/// State that has been sent to all children. With it, the cost of [`Children::frames`] is
/// independent of the number of children if nothing is due.
#[derive(Clone, Copy, Debug)]
struct AllSent {
    version: Version,
    last_change: u64,
    replica_changes: u64,
    /// Earliest heartbeat that is due.
    next_heartbeat: Instant,
}

#[derive(Clone, Debug)]
struct Child {
    member: Member,
    replica: bool,
    stream: u64,
    /// Sequence number of the last frame sent.
    number: u64,
    /// Version at the child, provided that all frames sent arrive.
    version: Version,
    /// Last change of the directory that the child has, provided that all frames sent arrive.
    change: u64,
    /// Records that it lacked when it subscribed, to be sent first.
    missing: Vec<Arc<Record>>,
    /// Last change of the control replicas that it was sent.
    replica_changes: u64,
    room: u16,
    summary: Summary,
    last_report: Instant,
    last_report_number: u64,
    next_heartbeat: Instant,
}

/// What the contents of the next frames to a child depend on, for a child without specific records.
#[derive(Clone, Copy, PartialEq, Eq)]
struct ContentsKey {
    version: Version,
    change: u64,
    replica_changes: u64,
    heartbeat: bool,
}

impl Children {
    /// Creates the state without children, for a process that can feed `limit` daemons and send
    /// `copy_rate` bytes per second of full copies.
    pub fn new(limit: usize, copy_rate: u32, now: Instant) -> Self {
        Self {
            by_name: IndexMap::new(),
            limit,
            admission: Admission::new(ADMITTED_PER_SECOND, now),
            full_copies: Admission::new(ADMITTED_PER_SECOND, now),
            copy_rate,
            next_records: now,
            all_sent: None,
            last_check: now,
            detached: true,
        }
    }

    /// Sets the number of daemons that this process can feed; children beyond it are kept.
    pub(super) const fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Returns the number of children.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether there are no children.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the number of daemons that this process can feed in addition to its children.
    pub fn room(&self) -> u16 {
        let daemons = self.by_name.values().filter(|child| !child.replica).count();
        u16::try_from(self.limit.saturating_sub(daemons)).unwrap_or(u16::MAX)
    }

    /// Returns the stream number of a child; `None` if it is not a child.
    pub fn stream(&self, child: &DaemonName) -> Option<u64> {
        self.by_name.get(child).map(|child| child.stream)
    }

    /// Returns the lowest version in force in the subtree of a child, from its last report; `None`
    /// if it is not a child or has not reported.
    pub fn lowest_in_force(&self, child: &DaemonName) -> Option<Version> {
        self.by_name.get(child)?.summary.lowest()
    }

    /// Returns the control replicas among the children.
    pub fn replicas(&self) -> impl Iterator<Item = &Member> {
        let replicas = self.by_name.values().filter(|child| child.replica);
        replicas.map(|child| &child.member)
    }

    /// Answers a subscription at a process of `level` with these records, whose path to the config
    /// group is intact.
    pub fn subscribe(
        &mut self,
        req: &Subscribe,
        level: u8,
        directory: &Directory,
        now: Instant,
    ) -> SubscribeReply {
        let name = &req.member.daemon;
        if !req.replica && req.level <= level {
            return SubscribeReply::WrongLevel { level };
        }
        let digests = if req.compares {
            directory.digests().to_vec()
        } else {
            Vec::new()
        };
        let accepted = SubscribeReply::Accepted {
            detached_ms: 0,
            digests,
        };
        let held = self.stream(name);
        if held.is_some_and(|held| is_repeated(held, req.stream)) {
            // Duplicate or delayed: a new state would reuse sequence numbers of frames that the
            // child has already processed.
            return accepted;
        }
        if held.is_none() && !req.replica && self.room() == 0 {
            let next = self.redirects(&req.member);
            return SubscribeReply::Full { next };
        }
        if let Err(wait) = self.admit(req, now) {
            // A child with room answers sooner.
            let next = self.redirects(&req.member);
            if !next.is_empty() && held.is_none() {
                return SubscribeReply::Full { next };
            }
            let retry_after_ms = wait.as_millis() as u32 + 1;
            return SubscribeReply::Refused { retry_after_ms };
        }
        let child = Child {
            member: req.member.clone(),
            replica: req.replica,
            stream: req.stream,
            number: 0,
            version: req.version,
            change: directory.last_change(),
            missing: directory.differing(&req.digests).cloned().collect(),
            replica_changes: 0,
            room: req.room,
            summary: Summary::default(),
            last_report: now,
            last_report_number: 0,
            next_heartbeat: now,
        };
        self.by_name.insert(name.clone(), child);
        self.all_sent = None;
        accepted
    }

    fn admit(&mut self, req: &Subscribe, now: Instant) -> std::result::Result<(), Duration> {
        let needs_copy = req.version == Version(0) && !req.replica;
        if needs_copy {
            self.full_copies.admit(now)
        } else {
            self.admission.admit(now)
        }
    }

    /// Returns children with room for a daemon, those near it first, and reserves its place at the
    /// first one until that reports again.
    fn redirects(&mut self, member: &Member) -> Vec<SourceRef> {
        let distance = |other: &Member| {
            u8::from(other.data_centre != member.data_centre)
                + u8::from(other.region != member.region)
        };
        let with_room = self.by_name.values_mut();
        let mut with_room: Vec<_> = with_room
            .filter(|child| !child.replica && child.room > 0)
            .collect();
        with_room.sort_by_key(|child| (distance(&child.member), std::cmp::Reverse(child.room)));
        if let Some(first) = with_room.first_mut() {
            first.room -= 1;
        }
        let next = with_room.iter().take(MAX_REDIRECTS);
        next.map(|child| SourceRef {
            daemon: child.member.daemon.clone(),
            address: child.member.address,
        })
        .collect()
    }

    /// Records a report; returns whether it belongs to the current stream of a child.
    pub fn report(&mut self, report: &Report, now: Instant) -> bool {
        let child = self.by_name.get_mut(&report.daemon);
        let Some(child) = child.filter(|child| child.stream == report.stream) else {
            return false;
        };
        if report.number <= child.last_report_number {
            // Delayed; a later report has been processed.
            return true;
        }
        child.last_report_number = report.number;
        if report.last_frame > child.number {
            // The child has processed frames that this process has no record of.
            self.by_name.swap_remove(&report.daemon);
            return false;
        }
        if report.last_frame == child.number {
            child.version = report.version;
        }
        child.last_report = now;
        child.room = report.room;
        child.summary.clone_from(&report.summary);
        true
    }

    /// Removes a child whose stream has ended and returns whether it was one; does nothing if it has
    /// opened another stream.
    pub fn stream_ended(&mut self, child: &DaemonName, stream: u64) -> bool {
        let ended = self.stream(child) == Some(stream);
        if ended {
            self.by_name.swap_remove(child);
        }
        ended
    }

    /// Removes the children that have not reported for [`RELAY_LEASE`] and returns each with its
    /// stream and the time of its last report. If this process did not run for a while, reports may
    /// still wait to be read: all leases are extended by that time, which `pause` returns.
    pub fn expire(&mut self, now: Instant) -> Expired {
        let pause = now.saturating_duration_since(self.last_check);
        let pause = (pause > MAX_PAUSE).then_some(pause);
        self.last_check = now;
        for child in self.by_name.values_mut() {
            child.last_report += pause.unwrap_or_default();
        }
        let expired = |child: &Child| now >= child.last_report + RELAY_LEASE;
        let children = self.by_name.iter().filter(|(_, child)| expired(child));
        let children: Vec<_> = children
            .map(|(name, child)| (name.clone(), child.stream, child.last_report))
            .collect();
        self.by_name.retain(|_, child| !expired(child));
        Expired { pause, children }
    }

    /// Removes all children and returns their names and stream numbers.
    pub fn clear(&mut self) -> Vec<(DaemonName, u64)> {
        let children = self.by_name.drain(..);
        children.map(|(name, child)| (name, child.stream)).collect()
    }

    /// Removes the control replicas among the children and returns their names and stream numbers.
    pub fn clear_replicas(&mut self) -> Vec<(DaemonName, u64)> {
        let replicas = self.by_name.iter().filter(|(_, child)| child.replica);
        let replicas: Vec<_> = replicas
            .map(|(name, child)| (name.clone(), child.stream))
            .collect();
        self.by_name.retain(|_, child| !child.replica);
        replicas
    }

    /// Returns the versions in force in the subtrees of the children.
    pub fn summary(&self) -> Summary {
        let mut summary = Summary::default();
        for child in self.by_name.values() {
            summary.merge(&child.summary);
        }
        summary
    }

    /// Returns the frames that are due: a new version at once, changed records in batches that are
    /// [`RECORD_INTERVAL`] apart, and a heartbeat each [`HEARTBEAT`].
    ///
    /// # Errors
    /// [`crate::error::Error::TooLarge`] if a delta needs too many parts.
    pub fn frames(&mut self, view: View<'_>, now: Instant) -> Result<Vec<(DaemonName, Update)>> {
        let mut out = Vec::new();
        if self.detached != (view.detached_ms > 0) {
            // The children learn it at once.
            self.detached = !self.detached;
            self.all_sent = None;
            for child in self.by_name.values_mut() {
                child.next_heartbeat = now;
            }
        }
        let records_due = now >= self.next_records;
        let last_change = view.directory.last_change();
        let idle = |sent: AllSent| {
            sent.version == view.store.version()
                && (sent.last_change == last_change || !records_due)
                && sent.replica_changes == view.replica_changes
                && now < sent.next_heartbeat
        };
        if self.all_sent.is_some_and(idle) {
            return Ok(out);
        }
        let mut shared = SharedContents::default();
        let mut records_sent = false;
        let mut sent_change = last_change;
        for (name, child) in &mut self.by_name {
            let heartbeat = now >= child.next_heartbeat;
            let send_records = records_due || heartbeat || !child.missing.is_empty();
            let key = child.contents_key(view, heartbeat, send_records);
            let missing = std::mem::take(&mut child.missing);
            let contents = shared.encode(view, key, name, &missing)?;
            if key.version == Version(0) && view.store.version() > Version(0) {
                let bytes: usize = contents.iter().map(Bytes::len).sum();
                let rate = self.copy_rate / (bytes as u32).max(1);
                self.full_copies
                    .set_rate(rate.clamp(1, ADMITTED_PER_SECOND));
            }
            if send_records {
                records_sent |= child.change != last_change;
                child.change = last_change;
            }
            sent_change = sent_change.min(child.change);
            child.version = child.version.max(view.store.version());
            child.replica_changes = view.replica_changes;
            if heartbeat {
                child.next_heartbeat = now + HEARTBEAT;
            }
            out.extend(
                child
                    .updates(&contents, view.detached_ms)
                    .map(|update| (name.clone(), update)),
            );
        }
        if records_sent {
            self.next_records = now + RECORD_INTERVAL;
        }
        let heartbeats = self.by_name.values().map(|child| child.next_heartbeat);
        self.all_sent = Some(AllSent {
            version: view.store.version(),
            last_change: sent_change,
            replica_changes: view.replica_changes,
            next_heartbeat: heartbeats.min().unwrap_or(now + HEARTBEAT),
        });
        Ok(out)
    }
}

impl Child {
    /// Returns what the next frames depend on.
    fn contents_key(&self, view: View<'_>, heartbeat: bool, send_records: bool) -> ContentsKey {
        ContentsKey {
            version: if self.replica {
                view.store.version()
            } else {
                self.version
            },
            change: if send_records {
                self.change
            } else {
                view.directory.last_change()
            },
            replica_changes: self.replica_changes,
            heartbeat,
        }
    }

    /// Returns the frames with these contents.
    fn updates(&mut self, contents: &[Bytes], detached_ms: u32) -> impl Iterator<Item = Update> {
        let (stream, first) = (self.stream, self.number + 1);
        self.number += contents.len() as u64;
        (first..)
            .zip(contents)
            .map(move |(number, contents)| Update {
                stream,
                number,
                detached_ms,
                contents: contents.clone(),
            })
    }
}

/// Encoded contents of the frames of one round. Most children are in the same state and share them.
#[derive(Default)]
struct SharedContents {
    known: Vec<(ContentsKey, Arc<[Bytes]>)>,
}

impl SharedContents {
    /// Returns the contents of the frames that are due to a child: first the records in `missing`,
    /// then what has changed since `key`.
    fn encode(
        &mut self,
        view: View<'_>,
        key: ContentsKey,
        child: &DaemonName,
        missing: &[Arc<Record>],
    ) -> Result<Arc<[Bytes]>> {
        if !missing.is_empty() || has_records_of(view, key.change, child) {
            return Ok(encode_contents(view, key, child, missing)?.into());
        }
        if let Some((_, contents)) = self.known.iter().find(|(known, _)| *known == key) {
            return Ok(Arc::clone(contents));
        }
        let contents: Arc<[Bytes]> = encode_contents(view, key, child, missing)?.into();
        self.known.push((key, Arc::clone(&contents)));
        Ok(contents)
    }
}

/// Children whose lease has ended.
#[derive(Clone, Debug)]
pub struct Expired {
    /// Time for which this process did not run before this check; `None` if it ran.
    pub pause: Option<Duration>,
    /// Names, stream numbers and times of the last reports.
    pub children: Vec<(DaemonName, u64, Instant)>,
}

/// Returns whether a subscription with stream `new` is not newer than the one with stream `held`.
/// Those of another incarnation are newer, whatever its clock says.
const fn is_repeated(held: u64, new: u64) -> bool {
    held >> super::STREAM_BITS == new >> super::STREAM_BITS && held >= new
}

/// Returns whether records in the subtree of `child` have changed since `change`.
fn has_records_of(view: View<'_>, change: u64, child: &DaemonName) -> bool {
    let mut changes = view.directory.changes_since(change);
    changes.any(|change| change.child == Some(child))
}

/// Returns the encoded contents of the frames that bring a child up to date: first `missing`, then
/// what has changed since `key`. Records in the subtree of the child are left out.
fn encode_contents(
    view: View<'_>,
    key: ContentsKey,
    child: &DaemonName,
    missing: &[Arc<Record>],
) -> Result<Vec<Bytes>> {
    let mut frames = Vec::new();
    if let Some(delta) = view.store.delta_since(key.version) {
        for part in split_delta(delta)? {
            frames.push(Contents {
                config: Some(part),
                ..Contents::default()
            });
        }
    }
    let changed = view.directory.changes_since(key.change);
    let changed = changed.filter(|change| change.child != Some(child));
    let records = missing.iter().chain(changed.map(|change| change.record));
    frames.extend(pack_records(records).into_iter().map(|records| Contents {
        records,
        ..Contents::default()
    }));
    let replicas = (key.replica_changes != view.replica_changes).then(|| view.replicas.to_vec());
    let digest = key.heartbeat.then(|| view.directory.digest());
    if frames.is_empty() && (replicas.is_some() || digest.is_some()) {
        frames.push(Contents::default());
    }
    if let Some(last) = frames.last_mut() {
        last.replicas = replicas;
        last.digest = digest;
    }
    let encoded = frames.iter().map(wire::encode);
    encoded.map(|buf| buf.map(Bytes::from)).collect()
}

/// Groups records into frames.
pub(super) fn pack_records<'a>(records: impl Iterator<Item = &'a Arc<Record>>) -> Vec<Vec<Record>> {
    let mut frames: Vec<Vec<Record>> = Vec::new();
    let mut endpoints = 0;
    for record in records {
        endpoints += record.endpoints.len();
        let last = frames.last_mut();
        let fits = |frame: &&mut Vec<Record>| {
            frame.len() < MAX_MESSAGE_RECORDS && endpoints <= MAX_FRAME_ENDPOINTS
        };
        if let Some(frame) = last.filter(fits) {
            frame.push(Record::clone(record));
        } else {
            frames.push(vec![Record::clone(record)]);
            endpoints = record.endpoints.len();
        }
    }
    frames
}
