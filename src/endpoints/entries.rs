//! Versioned set of endpoints with tombstones.

use {
    super::{EndpointDelta, EndpointKey, Epoch, MAX_ENDPOINTS, Position},
    crate::model::{DataCentre, Endpoint},
    indexmap::IndexMap,
    std::collections::BTreeMap,
};

/// Maximum number of tombstones of one set.
const MAX_TOMBSTONES: usize = MAX_ENDPOINTS;

#[derive(Clone, Debug)]
pub(super) struct VersionedSet {
    pub(super) data_centre: DataCentre,
    pub(super) epoch: Epoch,
    pub(super) seq: u64,
    /// Oldest update since which all removals have a tombstone.
    tombstones_since: u64,
    /// Endpoints, each with the sequence number of its last change.
    live: IndexMap<EndpointKey, (Endpoint, u64)>,
    /// Removed endpoints, each with the sequence number of its removal.
    tombstones: BTreeMap<EndpointKey, u64>,
}

impl VersionedSet {
    /// Creates an empty set. A process at an earlier epoch gets a full set from it.
    pub(super) fn new(data_centre: DataCentre, epoch: Epoch, seq: u64) -> Self {
        Self {
            data_centre,
            epoch,
            seq,
            tombstones_since: seq,
            live: IndexMap::new(),
            tombstones: BTreeMap::new(),
        }
    }

    pub(super) fn position(&self) -> Position {
        Position {
            data_centre: self.data_centre.clone(),
            epoch: self.epoch,
            seq: self.seq,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.live.len()
    }

    pub(super) fn get(&self, key: &EndpointKey) -> Option<&Endpoint> {
        self.live.get(key).map(|(endpoint, _)| endpoint)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.live.values().map(|(endpoint, _)| endpoint)
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = &EndpointKey> {
        self.live.keys()
    }

    /// Sets an endpoint in update `seq` if it differs, at the owner of the set; returns whether it
    /// differs.
    pub(super) fn upsert(&mut self, endpoint: &Endpoint, seq: u64) -> bool {
        self.get(&EndpointKey::of(endpoint)) != Some(endpoint) && self.apply_upsert(endpoint, seq)
    }

    /// Sets an endpoint from a delta that produces update `seq`; returns whether it differs.
    ///
    /// Records an equal endpoint as changed in `seq` as well: the owner may have removed it and set
    /// it again between the two updates, and a child may have applied the removal.
    pub(super) fn apply_upsert(&mut self, endpoint: &Endpoint, seq: u64) -> bool {
        let key = EndpointKey::of(endpoint);
        self.tombstones.remove(&key);
        let old = self.live.insert(key, (endpoint.clone(), seq));
        old.is_none_or(|(old, _)| old != *endpoint)
    }

    /// Removes an endpoint in update `seq`; returns whether it existed.
    pub(super) fn remove(&mut self, key: &EndpointKey, seq: u64) -> bool {
        // An unknown endpoint gets a tombstone as well, because a child may have it.
        self.tombstones.insert(key.clone(), seq);
        if self.tombstones.len() > MAX_TOMBSTONES {
            self.prune();
        }
        self.live.swap_remove(key).is_some()
    }

    /// Discards the older half of the tombstones.
    fn prune(&mut self) {
        let mut seqs: Vec<_> = self.tombstones.values().copied().collect();
        seqs.sort_unstable();
        let last = seqs[seqs.len() / 2];
        self.tombstones.retain(|_, seq| *seq > last);
        self.tombstones_since = self.tombstones_since.max(last);
    }

    /// Returns one delta from a position to the current state; `None` if the position is not older.
    /// It is a full set for another epoch, or if tombstones since the position were discarded.
    pub(super) fn delta_since(&self, epoch: Epoch, seq: u64) -> Option<EndpointDelta> {
        if (epoch, seq) >= (self.epoch, self.seq) {
            return None;
        }
        let full = epoch != self.epoch || seq < self.tombstones_since;
        let newer = |at: u64| full || at > seq;
        let live = self.live.values().filter(|(_, at)| newer(*at));
        let tombstones = self
            .tombstones
            .iter()
            .filter(|(_, at)| !full && newer(**at));
        Some(EndpointDelta {
            data_centre: self.data_centre.clone(),
            epoch: self.epoch,
            from: seq,
            seq: self.seq,
            full,
            upserts: live.map(|(endpoint, _)| endpoint.clone()).collect(),
            removed: tombstones.map(|(key, _)| key.clone()).collect(),
        })
    }
}
