//! Fallback to the peers of the data centre for the floor, a newer version and the source while
//! control is unreachable.
//!
//! A daemon without a source subscribes at the member of its data centre with the lowest rendezvous
//! hash, or serves the others if that is its own. All keep sending attach requests, and return to a
//! control replica as soon as one answers.

use {
    super::{
        super::{
            HEARTBEAT,
            node::{Effect, Source},
            sources::rendezvous_hash,
        },
        Uplink,
    },
    crate::{
        model::{DaemonName, Version},
        versions::{DeltaAssembler, DeltaPart},
    },
    indexmap::IndexMap,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Level of a daemon below a peer, unless the level of that one requires another.
const PEER_LEVEL: u8 = 2;

/// Maximum number of peers whose version is queried at once.
const MAX_QUERIED_PEERS: usize = 8;

/// Interval between two queries of the peers, and between two fetches from one.
const QUERY_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which answers of peers are collected before the highest version becomes the floor.
const COLLECTION_TIME: Duration = HEARTBEAT;

/// Time since a newer version was seen at a peer after which it is fetched from there; an edit
/// propagates through the tree in less time.
const FETCH_DELAY: Duration = Duration::from_secs(1);

/// Time for which a peer that failed as a source is excluded from the choice.
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
    /// Peers that failed as a source, and until when they are excluded.
    excluded: IndexMap<DaemonName, Instant>,
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

impl Uplink {
    pub(super) fn on_peer_version(
        &mut self,
        now: Instant,
        peer: DaemonName,
        version: Option<Version>,
    ) {
        let Some(version) = version else { return };
        self.peers.highest = self.peers.highest.max(Some(version));
        let store = &mut self.node.store;
        if store.floor().is_some() {
            // Has no effect once a version is in force.
            store.raise_floor(version);
        }
        if version <= store.version() {
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

    /// Returns the peers in the data centre, with their addresses.
    fn peers_of_data_centre(&self) -> IndexMap<DaemonName, SocketAddr> {
        let member = &self.node.member;
        let endpoints = self.node.directory.of_data_centre(&member.data_centre);
        endpoints
            .filter(|endpoint| endpoint.daemon != member.daemon)
            .map(|endpoint| (endpoint.daemon.clone(), endpoint.address))
            .collect()
    }

    /// Queries peers until a version is in force, sets the floor from their answers while control
    /// is unreachable, and fetches a newer version from a peer.
    pub(super) fn check_peers(&mut self, now: Instant, out: &mut Vec<Effect>) {
        self.peers.excluded.retain(|_, until| now < *until);
        let held = self.node.store.version();
        self.peers.newer.take_if(|(version, _, _)| *version <= held);
        if self.in_force().is_none() {
            self.query_peers(now, out);
            self.decide_floor(now);
        }
        let due = self.peers.next_fetch.is_none_or(|at| now >= at);
        let waited = |since: Instant| now >= since + FETCH_DELAY || self.node.link.is_none();
        let Some((_, peer, _)) = self
            .peers
            .newer
            .as_ref()
            .filter(|(_, _, since)| due && waited(*since))
        else {
            return;
        };
        if let Some(address) = self.peers_of_data_centre().get(peer) {
            out.push(Effect::Fetch {
                name: peer.clone(),
                address: *address,
                version: held,
            });
            self.peers.next_fetch = Some(now + QUERY_INTERVAL);
        }
    }

    fn query_peers(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if self.peers.next_query.is_some_and(|at| now < at) {
            return;
        }
        let members = self.peers_of_data_centre();
        if members.is_empty() {
            return;
        }
        self.peers.next_query = Some(now + QUERY_INTERVAL);
        // Queries consecutive members from a random start, which spreads the load of many starting
        // daemons over all peers.
        let first = (self.next_random() % members.len() as u64) as usize;
        let others = members.iter().cycle().skip(first).take(members.len());
        let others = others.take(MAX_QUERIED_PEERS);
        out.push(Effect::AskPeers(
            others
                .map(|(name, address)| (name.clone(), *address))
                .collect(),
        ));
    }

    fn decide_floor(&mut self, now: Instant) {
        if !self.control_unreachable() || self.node.store.floor().is_some() {
            self.peers.floor_deadline = None;
            return;
        }
        let deadline = *self
            .peers
            .floor_deadline
            .get_or_insert(now + COLLECTION_TIME);
        if let Some(highest) = self.peers.highest.filter(|_| now >= deadline) {
            self.node.store.raise_floor(highest);
        }
    }

    pub(super) fn on_fetched(&mut self, parts: Vec<DeltaPart>) {
        let mut assembler = DeltaAssembler::default();
        for part in parts {
            match assembler.push(part) {
                // `apply_config` records an error as the reason of the lag.
                Ok(Some(delta)) => drop(self.node.apply_config(&delta)),
                Ok(None) => {}
                Err(e) => self.node.lag_reason = Some(e.to_string()),
            }
        }
    }

    /// Subscribes at a peer if there is no source and control is unreachable, unless this daemon is
    /// the one that serves the others.
    pub(super) fn subscribe_at_peer(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if !self.control_unreachable() {
            return;
        }
        let member = &self.node.member;
        let hash = |name: &DaemonName| rendezvous_hash(member.data_centre.as_str(), name.as_str());
        let mine = hash(&member.daemon);
        let peers = self.peers_of_data_centre();
        let usable = peers
            .iter()
            .filter(|(name, _)| !self.peers.excluded.contains_key(*name));
        let lowest = usable.min_by_key(|(name, _)| hash(name));
        let Some((name, address)) = lowest.filter(|(name, _)| hash(name) < mine) else {
            return;
        };
        let source = Source {
            daemon: Some(name.clone()),
            address: *address,
        };
        self.at_peer = true;
        self.connect(now, source, PEER_LEVEL, "control is unreachable", out);
    }
}
