//! Peers of the data centre: the floor and the parent while control is out.
//!
//! A leaf without a parent subscribes at the member of its data centre with the lowest rendezvous
//! hash. A relay keeps its children and stays the root of its data centre. Both go on asking
//! control and take the parent that it names as soon as it answers.

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

/// Most peers that are asked for their version at once.
const MAX_ASKED: usize = 8;

/// Time that peers have to answer before the highest version among them becomes the floor.
const COLLECT: Duration = Duration::from_millis(500);

/// Time for which a newer version must be seen at a peer before it is fetched there; an edit
/// takes less on its way through the tree.
const FETCH_AFTER: Duration = Duration::from_secs(1);

/// Time for which a peer that could not serve as the interim parent is passed over.
const AVOID: Duration = Duration::from_secs(5);

/// What is known about the peers of the data centre.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    best: Option<Version>,
    newer: Option<(Version, DaemonName, Instant)>,
    next_ask: Option<Instant>,
    decide: Option<Instant>,
    next_fetch: Option<Instant>,
    avoided: IndexMap<DaemonName, Instant>,
    pub(super) interim_root: bool,
}

impl Peers {
    /// Highest version that a peer had in force; 0 for none.
    pub(super) fn best(&self) -> Version {
        self.best.unwrap_or_default()
    }

    /// Since when a version has been seen that is newer than the one held.
    pub(super) fn newer_since(&self) -> Option<Instant> {
        self.newer.as_ref().map(|(_, _, since)| *since)
    }

    pub(super) fn avoid(&mut self, peer: &DaemonName, now: Instant) {
        self.avoided.insert(peer.clone(), now + AVOID);
    }
}

/// Rendezvous hash of a member of a data centre; the lowest is the interim parent.
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
    pub(super) fn peer_version(
        &mut self,
        now: Instant,
        peer: DaemonName,
        version: Option<Version>,
    ) {
        let Some(version) = version else { return };
        self.peers.best = self.peers.best.max(Some(version));
        if self.store.floor().is_some() {
            // Has no effect once a version is in force.
            self.store.require(version);
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

    /// Asks peers while no floor is known, decides on one while control can't, and fetches a
    /// newer version that a peer has.
    pub(super) fn check_peers(&mut self, now: Instant, out: &mut Vec<Effect>) {
        self.peers.avoided.retain(|_, until| now < *until);
        let held = self.store.version();
        self.peers.newer.take_if(|(version, _, _)| *version <= held);
        if self.store.in_force().is_none() {
            self.ask_peers(now, out);
            self.decide_floor(now);
        }
        let due = self.peers.next_fetch.is_none_or(|at| now >= at);
        let Some((_, peer, since)) = &self.peers.newer else {
            return;
        };
        let waited = now >= *since + FETCH_AFTER || self.link.is_none();
        if let Some(address) = self.members.get(peer).filter(|_| due && waited) {
            out.push(Effect::Fetch {
                name: peer.clone(),
                address: *address,
                version: held,
            });
            self.peers.next_fetch = Some(now + HEARTBEAT);
        }
    }

    fn ask_peers(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if self.members.is_empty() || self.peers.next_ask.is_some_and(|at| now < at) {
            return;
        }
        self.peers.next_ask = Some(now + HEARTBEAT);
        // A random run of members, so that many starting daemons spread over all peers.
        let first = (self.draw() % self.members.len() as u64) as usize;
        let others = self
            .members
            .iter()
            .cycle()
            .skip(first)
            .take(self.members.len());
        let others = others
            .filter(|(name, _)| **name != self.me.daemon)
            .take(MAX_ASKED);
        out.push(Effect::AskPeers(
            others
                .map(|(name, address)| (name.clone(), *address))
                .collect(),
        ));
    }

    fn decide_floor(&mut self, now: Instant) {
        if !self.control_out() || self.store.floor().is_some() {
            self.peers.decide = None;
            return;
        }
        let decide = *self.peers.decide.get_or_insert(now + COLLECT);
        if let Some(best) = self.peers.best.filter(|_| now >= decide) {
            self.store.require(best);
        }
    }

    pub(super) fn fetched(&mut self, parts: Vec<DeltaPart>) {
        let mut collected = crate::versions::Parts::default();
        for part in parts {
            match collected.push(part) {
                // A failure is kept as the reason why this daemon is behind.
                Ok(Some(delta)) => drop(self.apply_config(&delta)),
                Ok(None) => {}
                Err(e) => self.reason = Some(e.to_string()),
            }
        }
    }

    /// Finds an interim parent while there is no parent and no control replica can be asked.
    pub(super) fn check_interim(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let serves = self.role.epoch().is_some() && !self.children.is_empty();
        if self.link.is_some() || !self.control_out() || serves {
            return;
        }
        let hash = |name: &DaemonName| interim_hash(&self.me.data_centre, name);
        let mine = hash(&self.me.daemon);
        let others = self.members.iter().filter(|(name, _)| {
            **name != self.me.daemon && !self.peers.avoided.contains_key(*name)
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
        let known = self.directory.position(&self.me.data_centre);
        let base = known.map_or_else(Epoch::default, |held| held.epoch);
        self.start_set(now, base.interim(hash));
    }
}
