//! Records of all daemons, with the changes since any earlier state.

use {
    super::{
        ENDPOINT_LEASE, EndpointKey, LAPSED_RETENTION, MAX_NAME_BYTES, MAX_RECORDS,
        MAX_REPORTED_ENDPOINTS, Record, RecordError, Stamp, TAKEOVER_LEASE,
    },
    crate::model::{DaemonName, DataCentre, Endpoint, ServiceName},
    indexmap::IndexMap,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Number of digests with which two processes find the records in which they differ.
pub const DIGEST_BUCKETS: usize = 64;

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Endpoints that an update has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointChanges {
    /// Endpoints that are new or have changed.
    pub upserts: Vec<EndpointKey>,
    /// Endpoints that no longer exist.
    pub removed: Vec<EndpointKey>,
}

impl EndpointChanges {
    /// Returns whether no endpoint has changed.
    pub const fn is_empty(&self) -> bool {
        self.upserts.is_empty() && self.removed.is_empty()
    }

    /// Adds later changes.
    pub fn extend(&mut self, later: Self) {
        self.upserts.extend(later.upserts);
        self.removed.extend(later.removed);
    }
}

/// Process from which a record comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin<'a> {
    /// This child, which is the daemon of the record or has it in its subtree.
    Child(&'a DaemonName),
    /// The source of this process, a child that repeats what it was told, or this process itself.
    Elsewhere,
}

/// Last change of one record.
#[derive(Clone, Copy, Debug)]
pub struct RecordChange<'a> {
    /// Number of the change.
    pub number: u64,
    /// The record.
    pub record: &'a Arc<Record>,
    /// Child whose subtree the daemon is in; `None` if it is in no subtree.
    pub child: Option<&'a DaemonName>,
    /// Whether the daemon has left the subtree of this process.
    pub lost: bool,
}

#[derive(Clone, Debug)]
struct Held {
    record: Arc<Record>,
    /// Number of the change of the directory that set the record.
    change: u64,
    /// Child whose subtree the daemon is in; `None` if it is in no subtree.
    child: Option<DaemonName>,
    /// Whether the daemon has left the subtree of this process, which the source has to learn.
    lost: bool,
    /// Since when no process confirms that the daemon runs; `None` while one does, or if this
    /// process is not the one to decide it.
    unconfirmed_since: Option<Instant>,
    /// When a lapsed record is dropped.
    drop_at: Option<Instant>,
}

/// Records of all daemons.
///
/// ```
/// use {anvilbeam::endpoints::*, std::time::Instant};
/// let mut directory = Directory::default();
/// let stamp = Stamp { incarnation: 1, number: 1, lapsed: false };
/// let record = Record { daemon: "daemon-1".into(), stamp, endpoints: vec![] };
/// directory.apply(record, Origin::Elsewhere, Instant::now()).unwrap();
/// assert_eq!(directory.changes_since(0).count(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct Directory {
    held: IndexMap<DaemonName, Held>,
    /// Daemons by the number of the last change of their record.
    by_change: BTreeMap<u64, DaemonName>,
    last_change: u64,
    /// Sums of the hashes of all stamps, by the hash of the daemon's name.
    digests: [u64; DIGEST_BUCKETS],
    /// Whether this process is the root, which decides on records in no subtree.
    root: bool,
}

impl Default for Directory {
    fn default() -> Self {
        Self {
            held: IndexMap::new(),
            by_change: BTreeMap::new(),
            last_change: 0,
            digests: [0; DIGEST_BUCKETS],
            root: false,
        }
    }
}

impl Directory {
    /// Applies a record if it is newer than the one held, and returns the endpoints that change. An
    /// equal one from a child confirms that the daemon runs and is in the subtree of that child.
    ///
    /// # Errors
    /// [`RecordError`]; the directory is unchanged then.
    pub fn apply(
        &mut self,
        record: Record,
        origin: Origin<'_>,
        now: Instant,
    ) -> Result<EndpointChanges, RecordError> {
        self.check(&record)?;
        let child = match origin {
            Origin::Child(child) => Some(child.clone()),
            Origin::Elsewhere => None,
        };
        if let Some(held) = self.held.get(&record.daemon) {
            if held.record.stamp == record.stamp && child.is_some() {
                self.confirm(&record.daemon, child);
                return Ok(EndpointChanges::default());
            }
            if held.record.stamp >= record.stamp {
                return Ok(EndpointChanges::default());
            }
        }
        Ok(self.replace(record, child, now))
    }

    /// Records that a daemon is in the subtree of a child.
    fn confirm(&mut self, daemon: &DaemonName, child: Option<DaemonName>) {
        let Some(held) = self.held.get_mut(daemon) else {
            return;
        };
        held.unconfirmed_since = None;
        held.lost = false;
        if held.child != child {
            held.child = child;
            // The source has to learn it.
            self.renumber(daemon);
        }
    }

    /// Makes the record of a daemon the last change.
    fn renumber(&mut self, daemon: &DaemonName) {
        self.last_change += 1;
        if let Some(held) = self.held.get_mut(daemon) {
            self.by_change.remove(&held.change);
            held.change = self.last_change;
            self.by_change.insert(self.last_change, daemon.clone());
        }
    }

    fn replace(
        &mut self,
        record: Record,
        child: Option<DaemonName>,
        now: Instant,
    ) -> EndpointChanges {
        let daemon = record.daemon.clone();
        let bucket = bucket_of(&daemon);
        self.last_change += 1;
        let mut changed = EndpointChanges::default();
        let old = self.held.get(&daemon);
        let old_endpoints = old.map_or(&[][..], |old| &old.record.endpoints);
        for endpoint in &record.endpoints {
            if !old_endpoints.contains(endpoint) {
                changed.upserts.push(EndpointKey::of(endpoint));
            }
        }
        let kept: Vec<_> = record.endpoints.iter().map(EndpointKey::of).collect();
        let removed = old_endpoints.iter().map(EndpointKey::of);
        changed
            .removed
            .extend(removed.filter(|key| !kept.contains(key)));
        if let Some(old) = old {
            self.by_change.remove(&old.change);
            self.digests[bucket] = self.digests[bucket].wrapping_sub(hash_of(&old.record));
        }
        self.digests[bucket] = self.digests[bucket].wrapping_add(hash_of(&record));
        self.by_change.insert(self.last_change, daemon.clone());
        let lapsed = record.stamp.lapsed;
        let held = Held {
            change: self.last_change,
            lost: false,
            unconfirmed_since: (self.root && child.is_none()).then_some(now),
            drop_at: lapsed.then(|| now + LAPSED_RETENTION),
            record: Arc::new(record),
            child,
        };
        self.held.insert(daemon, held);
        changed
    }

    fn check(&self, record: &Record) -> Result<(), RecordError> {
        let daemon = &record.daemon;
        let endpoints = record.endpoints.len();
        let limit = if record.stamp.lapsed {
            0
        } else {
            MAX_REPORTED_ENDPOINTS
        };
        if endpoints > limit {
            let daemon = daemon.clone();
            return Err(RecordError::TooManyEndpoints { daemon, endpoints });
        }
        let length_ok = |name: &str| name.len() <= MAX_NAME_BYTES;
        let valid = |endpoint: &&Endpoint| {
            endpoint.daemon == *daemon
                && length_ok(endpoint.server.as_str())
                && length_ok(endpoint.service.as_str())
                && length_ok(endpoint.data_centre.as_str())
                && length_ok(endpoint.region.as_str())
        };
        if let Some(endpoint) = record.endpoints.iter().find(|endpoint| !valid(endpoint)) {
            return Err(RecordError::InvalidEndpoint {
                daemon: daemon.clone(),
                key: EndpointKey::of(endpoint),
            });
        }
        let known = self.held.contains_key(daemon);
        if !length_ok(daemon.as_str()) || (!known && self.held.len() >= MAX_RECORDS) {
            let daemon = daemon.clone();
            return Err(RecordError::TooManyRecords { daemon });
        }
        Ok(())
    }

    /// Starts the lease of the record of a child that is lost; `since` is the time of its last sign of
    /// life. The other daemons of its subtree are in none until they subscribe elsewhere.
    pub fn child_lost(&mut self, child: &DaemonName, since: Instant) {
        let in_subtree = |held: &&Held| held.child.as_ref() == Some(child);
        let subtree: Vec<_> = self.held.values().filter(in_subtree).cloned().collect();
        for Held { record, .. } in subtree {
            if record.daemon == *child {
                if let Some(held) = self.held.get_mut(child) {
                    held.unconfirmed_since.get_or_insert(since);
                }
            } else {
                self.leave_subtree(&record.daemon, since);
            }
        }
    }

    /// Records that a daemon is no longer in the subtree of a child, as that child reports. Ignored if
    /// the record has another stamp or is in another subtree.
    pub fn lost_by(&mut self, child: &DaemonName, daemon: &DaemonName, stamp: Stamp, now: Instant) {
        let held = self.held.get(daemon);
        if held.is_some_and(|held| held.child.as_ref() == Some(child) && held.record.stamp == stamp)
        {
            self.leave_subtree(daemon, now);
        }
    }

    fn leave_subtree(&mut self, daemon: &DaemonName, since: Instant) {
        let root = self.root;
        if let Some(held) = self.held.get_mut(daemon) {
            held.child = None;
            held.lost = !root;
            held.unconfirmed_since = root.then_some(since);
        }
        self.renumber(daemon);
    }

    /// Treats the records in the subtree of a child as records of no subtree.
    pub fn release_child(&mut self, child: &DaemonName) {
        let in_subtree = |held: &&mut Held| held.child.as_ref() == Some(child);
        for held in self.held.values_mut().filter(in_subtree) {
            held.child = None;
            held.lost = false;
            held.unconfirmed_since = None;
        }
    }

    /// Starts the leases of all records that no child confirms, at a process that becomes the root.
    pub fn start_leases(&mut self, now: Instant) {
        self.root = true;
        for held in self.held.values_mut().filter(|held| held.child.is_none()) {
            held.unconfirmed_since.get_or_insert(now);
            held.lost = false;
        }
    }

    /// Ends the leases of records in no subtree, at a process that is no longer the root.
    pub fn end_leases(&mut self) {
        self.root = false;
        for held in self.held.values_mut().filter(|held| held.child.is_none()) {
            held.unconfirmed_since = None;
        }
    }

    /// Extends all leases by a time in which this process did not run.
    pub fn extend_leases(&mut self, pause: Duration) {
        let running = self.held.values_mut();
        for since in running.filter_map(|held| held.unconfirmed_since.as_mut()) {
            *since += pause;
        }
    }

    /// Lets the records lapse whose lease has ended, and drops those that lapsed long ago; returns
    /// the endpoints that are removed.
    pub fn expire(&mut self, now: Instant) -> EndpointChanges {
        self.drop_lapsed(now);
        let lapses = |held: &&Held| {
            let direct = held.child.as_ref() == Some(&held.record.daemon);
            let lease = if direct {
                ENDPOINT_LEASE
            } else {
                TAKEOVER_LEASE
            };
            let ended = |since: Instant| now >= since + lease;
            !held.record.stamp.lapsed && held.unconfirmed_since.is_some_and(ended)
        };
        let due: Vec<_> = self.held.values().filter(lapses).cloned().collect();
        let mut changed = EndpointChanges::default();
        for held in due {
            let record = Record {
                daemon: held.record.daemon.clone(),
                stamp: held.record.stamp.lapsed(),
                endpoints: Vec::new(),
            };
            changed.extend(self.replace(record, held.child, now));
        }
        changed
    }

    fn drop_lapsed(&mut self, now: Instant) {
        let due = |held: &&Held| held.drop_at.is_some_and(|at| now >= at);
        let due: Vec<_> = self.held.values().filter(due).cloned().collect();
        for held in due {
            let daemon = &held.record.daemon;
            let bucket = bucket_of(daemon);
            self.digests[bucket] = self.digests[bucket].wrapping_sub(hash_of(&held.record));
            self.by_change.remove(&held.change);
            self.held.swap_remove(daemon);
        }
    }

    /// Returns the number of the last change; it increases with each record that is applied.
    pub const fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the records that were set after change `since`, in the order of their changes.
    pub fn changes_since(&self, since: u64) -> impl Iterator<Item = RecordChange<'_>> {
        let daemons = self.by_change.range(since + 1..).map(|(_, daemon)| daemon);
        let held = daemons.filter_map(|daemon| self.held.get(daemon));
        held.map(|held| RecordChange {
            number: held.change,
            record: &held.record,
            child: held.child.as_ref(),
            lost: held.lost,
        })
    }

    /// Returns digests of the stamps of all records.
    pub const fn digests(&self) -> &[u64; DIGEST_BUCKETS] {
        &self.digests
    }

    /// Returns one digest of the stamps of all records.
    pub fn digest(&self) -> u64 {
        self.digests
            .iter()
            .fold(FNV_BASIS, |sum, part| (sum ^ part).wrapping_mul(FNV_PRIME))
    }

    /// Returns the records that a process with these digests may lack; all if their number differs
    /// from [`DIGEST_BUCKETS`].
    pub fn differing(&self, digests: &[u64]) -> impl Iterator<Item = &Arc<Record>> {
        let all = digests.len() != DIGEST_BUCKETS;
        let own = self.digests;
        let digests: Vec<u64> = digests.to_vec();
        self.held
            .iter()
            .filter(move |(daemon, _)| {
                let bucket = bucket_of(daemon);
                all || digests[bucket] != own[bucket]
            })
            .map(|(_, held)| &held.record)
    }

    /// Returns the record of a daemon; `None` if it is unknown.
    pub fn get(&self, daemon: &DaemonName) -> Option<&Record> {
        self.held.get(daemon).map(|held| &*held.record)
    }

    /// Returns the number of the last change of a daemon's record; `None` if it is unknown.
    pub fn last_change_of(&self, daemon: &DaemonName) -> Option<u64> {
        self.held.get(daemon).map(|held| held.change)
    }

    /// Returns the number of records, with lapsed ones.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.held.values().flat_map(|held| &held.record.endpoints)
    }

    /// Returns the endpoints of one service.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &Endpoint> {
        self.iter()
            .filter(move |endpoint| endpoint.service == *service)
    }

    /// Returns the endpoints of one data centre.
    pub fn of_data_centre(&self, data_centre: &DataCentre) -> impl Iterator<Item = &Endpoint> {
        self.iter()
            .filter(move |endpoint| endpoint.data_centre == *data_centre)
    }
}

fn bucket_of(daemon: &DaemonName) -> usize {
    (mix(fnv(FNV_BASIS, daemon.as_str().as_bytes())) % DIGEST_BUCKETS as u64) as usize
}

fn hash_of(record: &Record) -> u64 {
    let stamp = record.stamp;
    let hash = fnv(FNV_BASIS, record.daemon.as_str().as_bytes());
    let hash = fnv(hash, &stamp.incarnation.to_be_bytes());
    let hash = fnv(hash, &stamp.number.to_be_bytes());
    mix(fnv(hash, &[u8::from(stamp.lapsed)]))
}

fn fnv(hash: u64, bytes: &[u8]) -> u64 {
    let add = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    bytes.iter().fold(hash, add)
}

/// Spreads the bits of a hash, so that sums of hashes rarely collide.
const fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
