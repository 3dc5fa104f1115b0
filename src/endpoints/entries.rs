//! A versioned set of endpoints with tombstones.

use {
    super::{EndpointDelta, EndpointKey, Epoch, MAX_ENDPOINTS, Position},
    crate::model::{DataCentre, Endpoint},
    indexmap::IndexMap,
    std::collections::BTreeMap,
};

/// Most removed endpoints that are remembered.
const MAX_TOMBSTONES: usize = MAX_ENDPOINTS;

#[derive(Clone, Debug)]
pub(super) struct Entries {
    pub(super) data_centre: DataCentre,
    pub(super) epoch: Epoch,
    pub(super) seq: u64,
    /// Oldest update from which a delta knows all removals.
    reach: u64,
    live: IndexMap<EndpointKey, (Endpoint, u64)>,
    gone: BTreeMap<EndpointKey, u64>,
}

impl Entries {
    /// Empty set; whoever knows an earlier tenure gets a full set.
    pub(super) fn new(data_centre: DataCentre, epoch: Epoch, seq: u64) -> Self {
        Self {
            data_centre,
            epoch,
            seq,
            reach: seq,
            live: IndexMap::new(),
            gone: BTreeMap::new(),
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

    /// Sets an endpoint at its owner, as of update `seq` if it has changed; returns whether it has.
    pub(super) fn upsert(&mut self, endpoint: &Endpoint, seq: u64) -> bool {
        self.get(&EndpointKey::of(endpoint)) != Some(endpoint) && self.take(endpoint, seq)
    }

    /// Sets an endpoint from a delta that leads to update `seq`; returns whether it has changed.
    ///
    /// Also one that has not changed here counts as changed at `seq`: the owner may have removed
    /// it meanwhile and set it again, and a child may know it as removed.
    pub(super) fn take(&mut self, endpoint: &Endpoint, seq: u64) -> bool {
        let key = EndpointKey::of(endpoint);
        self.gone.remove(&key);
        let old = self.live.insert(key, (endpoint.clone(), seq));
        old.is_none_or(|(old, _)| old != *endpoint)
    }

    /// Removes an endpoint as of update `seq`; returns whether it was there.
    pub(super) fn remove(&mut self, key: &EndpointKey, seq: u64) -> bool {
        // Also an endpoint that isn't here is remembered: a child may have it.
        self.gone.insert(key.clone(), seq);
        if self.gone.len() > MAX_TOMBSTONES {
            self.prune();
        }
        self.live.swap_remove(key).is_some()
    }

    fn prune(&mut self) {
        let mut seqs: Vec<_> = self.gone.values().copied().collect();
        seqs.sort_unstable();
        let last = seqs[seqs.len() / 2];
        self.gone.retain(|_, seq| *seq > last);
        self.reach = self.reach.max(last);
    }

    /// One delta from a position to the state held; `None` when it is current or newer.
    pub(super) fn delta_since(&self, epoch: Epoch, seq: u64) -> Option<EndpointDelta> {
        if (epoch, seq) >= (self.epoch, self.seq) {
            return None;
        }
        let full = epoch != self.epoch || seq < self.reach;
        let newer = |at: u64| full || at > seq;
        let live = self.live.values().filter(|(_, at)| newer(*at));
        let gone = self.gone.iter().filter(|(_, at)| !full && newer(**at));
        Some(EndpointDelta {
            data_centre: self.data_centre.clone(),
            epoch: self.epoch,
            from: seq,
            seq: self.seq,
            full,
            upserts: live.map(|(endpoint, _)| endpoint.clone()).collect(),
            removed: gone.map(|(key, _)| key.clone()).collect(),
        })
    }
}
