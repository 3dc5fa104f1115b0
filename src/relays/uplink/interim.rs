//! Fallback to the peers of the data centre for the floor and the parent while control is
//! unreachable.
//!
//! A daemon without a parent subscribes at the member of its data centre with the lowest rendezvous
//! hash, or becomes the interim root if that is its own. A relay with children keeps them and
//! remains the root of its data centre. All keep sending attach requests, and switch to the parent
//! that control assigns as soon as it answers.

use {
    super::{
        super::{HEARTBEAT, Role},
        Effect, Uplink,
        link::Target,
    },
    crate::{
        endpoints::Epoch,
        model::{DaemonName, DataCentre, Version},
        versions::DeltaPart,
    },
    indexmap::IndexMap,
    sha2::{Digest as _, Sha256},
    std::time::{Duration, Instant},
};

/// Level of the child of an interim parent.
pub(super) const INTERIM_LEVEL: u8 = 4;

/// Maximum number of peers whose version is queried at once.
const MAX_QUERIED_PEERS: usize = 8;

/// Time for which answers of peers are collected before the highest version becomes the floor.
const COLLECTION_TIME: Duration = Duration::from_millis(500);

/// Time since a newer version was seen at a peer after which it is fetched from there; an edit
/// propagates through the tree in less time.
const FETCH_DELAY: Duration = Duration::from_secs(1);

/// Time for which a peer that failed as a parent is excluded from the choice of the interim parent.
const EXCLUSION_TIME: Duration = Duration::from_secs(5);

/// Versions seen at the peers of the data centre, and the state of the fallback to them.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    /// Highest version in force at a peer; `None` if no peer had one.
    highest: Option<Version>,
    /// Highest version newer than the one of this daemon, a peer that has it, and when a newer
    /// version was first seen.
    newer: Option<(Version, DaemonName, Instant)>,
    /// Earliest time for the next query of the peers; `None` before the first.
    next_query: Option<Instant>,
    /// When the highest version becomes the floor; `None` unless control is unreachable and no
    /// floor is known.
    floor_deadline: Option<Instant>,
    /// Earliest time for the next fetch; `None` before the first.
    next_fetch: Option<Instant>,
    /// Peers that failed as a parent, and until when they are excluded.
    excluded: IndexMap<DaemonName, Instant>,
    /// Whether this daemon is the interim root of its data centre.
    pub(super) interim_root: bool,
}

impl Peers {
    /// Returns the highest version in force at a peer; 0 for none.
    pub(super) fn highest(&self) -> Version {
        self.highest.unwrap_or_default()
    }

    /// Returns when a version newer than the one of this daemon was first seen; `None` if none was.
    pub(super) fn newer_since(&self) -> Option<Instant> {
        self.newer.as_ref().map(|(_, _, since)| *since)
    }

    pub(super) fn exclude(&mut self, peer: &DaemonName, now: Instant) {
        self.excluded.insert(peer.clone(), now + EXCLUSION_TIME);
    }
}

/// Returns the rendezvous hash of a member of a data centre; the lowest is the interim parent.
///
/// ```
/// use anvilbeam::relays::interim_hash;
/// let hash = |name: &str| interim_hash(&"dc-1".into(), &name.into());
/// assert_eq!(hash("daemon-1"), hash("daemon-1"));
/// assert_ne!(hash("daemon-1"), hash("daemon-2"));
/// ```
pub fn interim_hash(data_centre: &DataCentre, daemon: &DaemonName) -> u64 {
    let mut hash = Sha256::new();
    hash.update((data_centre.as_str().len() as u64).to_be_bytes());
    hash.update(data_centre.as_str());
    hash.update(daemon.as_str());
    let bytes = hash.finalize();
    bytes
        .iter()
        .take(8)
        .fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
}

impl Uplink {
    pub(super) fn on_peer_version(
        &mut self,
        now: Instant,
        peer: DaemonName,
        version: Option<Version>,
    ) {
        let Some(version) = version else { return };
        self.peers.highest = self.peers.highest.max(Some(version));
        if self.store.floor().is_some() {
            // Has no effect once a version is in force.
            self.store.raise_floor(version);
        }
        if version <= self.store.version() {
            return;
        }
        let since = self.peers.newer_since().unwrap_or(now);
        if self
            .peers
            .newer
            .as_ref()
            .is_none_or(|(known, _, _)| version >= *known)
        {
            self.peers.newer = Some((version, peer, since));
        }
    }

    /// Queries peers until a version is in force, sets the floor from their answers while control
    /// is unreachable, and fetches a newer version from a peer.
    pub(super) fn check_peers(&mut self, now: Instant, out: &mut Vec<Effect>) {
        self.peers.excluded.retain(|_, until| now < *until);
        let held = self.store.version();
        self.peers.newer.take_if(|(version, _, _)| *version <= held);
        if self.store.in_force().is_none() {
            self.query_peers(now, out);
            self.decide_floor(now);
        }
        let due = self.peers.next_fetch.is_none_or(|at| now >= at);
        let Some((_, peer, since)) = &self.peers.newer else {
            return;
        };
        let waited = now >= *since + FETCH_DELAY || self.link.is_none();
        if let Some(address) = self.members.get(peer).filter(|_| due && waited) {
            out.push(Effect::Fetch {
                name: peer.clone(),
                address: *address,
                version: held,
            });
            self.peers.next_fetch = Some(now + HEARTBEAT);
        }
    }

    fn query_peers(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if self.members.is_empty() || self.peers.next_query.is_some_and(|at| now < at) {
            return;
        }
        self.peers.next_query = Some(now + HEARTBEAT);
        // Queries consecutive members from a random start, which spreads the load of many starting
        // daemons over all peers.
        let first = (self.next_random() % self.members.len() as u64) as usize;
        let others = self
            .members
            .iter()
            .cycle()
            .skip(first)
            .take(self.members.len());
        let others = others
            .filter(|(name, _)| **name != self.member.daemon)
            .take(MAX_QUERIED_PEERS);
        out.push(Effect::AskPeers(
            others
                .map(|(name, address)| (name.clone(), *address))
                .collect(),
        ));
    }

    fn decide_floor(&mut self, now: Instant) {
        if !self.control_unreachable() || self.store.floor().is_some() {
            self.peers.floor_deadline = None;
            return;
        }
        let deadline = *self
            .peers
            .floor_deadline
            .get_or_insert(now + COLLECTION_TIME);
        if let Some(highest) = self.peers.highest.filter(|_| now >= deadline) {
            self.store.raise_floor(highest);
        }
    }

    pub(super) fn on_fetched(&mut self, parts: Vec<DeltaPart>) {
        let mut assembler = crate::versions::DeltaAssembler::default();
        for part in parts {
            match assembler.push(part) {
                // `apply_config` records an error as the reason of the lag.
                Ok(Some(delta)) => drop(self.apply_config(&delta)),
                Ok(None) => {}
                Err(e) => self.lag_reason = Some(e.to_string()),
            }
        }
    }

    /// Chooses an interim parent if there is no parent and control is unreachable.
    pub(super) fn check_interim(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let serves = self.role.epoch().is_some() && !self.children.is_empty();
        if self.link.is_some() || !self.control_unreachable() || serves {
            return;
        }
        let hash = |name: &DaemonName| interim_hash(&self.member.data_centre, name);
        let mine = hash(&self.member.daemon);
        let others = self.members.iter().filter(|(name, _)| {
            **name != self.member.daemon && !self.peers.excluded.contains_key(*name)
        });
        let lowest = others.min_by_key(|(name, _)| hash(name));
        match lowest.filter(|(name, _)| hash(name) < mine) {
            Some((name, address)) => {
                let target = Target::Daemon {
                    name: name.clone(),
                    address: *address,
                };
                self.set_role(now, Role::Leaf);
                self.connect(now, target, INTERIM_LEVEL, true, out);
            }
            None => self.become_interim_root(now, mine, out),
        }
    }

    fn become_interim_root(&mut self, now: Instant, hash: u64, out: &mut Vec<Effect>) {
        if self.peers.interim_root || self.role.epoch().is_some() {
            return;
        }
        self.set_level(Role::Leaf.level(), out);
        self.peers.interim_root = true;
        let known = self.directory.position(&self.member.data_centre);
        let base = known.map_or_else(Epoch::default, |held| held.epoch);
        self.start_set(now, base.interim(hash));
    }
}
