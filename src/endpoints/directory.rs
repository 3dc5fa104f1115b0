//! Replicated endpoint sets of all data centres.

use {
    super::{
        DROP_AFTER, EndpointDelta, EndpointKey, Epoch, MAX_ENDPOINTS, Position, STALE_AFTER,
        SetError, entries::VersionedSet,
    },
    crate::model::{DataCentre, Endpoint, ServiceName},
    indexmap::IndexMap,
    std::time::Instant,
};

/// Maximum number of data centres; limits the positions in a message.
const MAX_DATA_CENTRES: usize = 4096;

/// Endpoints that an update has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointChanges {
    /// Endpoints that are new or have changed.
    pub upserts: Vec<EndpointKey>,
    /// Endpoints that no longer exist.
    pub removed: Vec<EndpointKey>,
}

/// Endpoint sets of all data centres.
///
/// ```
/// use {anvilbeam::endpoints::*, std::time::Instant};
/// let now = Instant::now();
/// let own = OwnedSet::new("dc-1".into(), Epoch::granted(1, 1), now);
/// let mut directory = Directory::default();
/// directory.apply(&own.delta_since(Epoch::default(), 0).unwrap(), now).unwrap();
/// assert_eq!(directory.positions(), [own.position()]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Directory {
    sets: IndexMap<DataCentre, Set>,
}

#[derive(Clone, Debug)]
struct Set {
    entries: VersionedSet,
    /// When the set is dropped, unless an update arrives first.
    drop_at: Instant,
}

impl Directory {
    /// Applies an update of one set.
    ///
    /// # Errors
    /// [`SetError::Stale`] if the update is not newer, [`SetError::Gap`] if updates before it are
    /// missing, [`SetError::TooMany`] or [`SetError::InvalidEndpoint`]; the directory is unchanged then.
    pub fn apply(
        &mut self,
        delta: &EndpointDelta,
        now: Instant,
    ) -> Result<EndpointChanges, SetError> {
        self.check(delta)?;
        let old = self
            .sets
            .swap_remove(&delta.data_centre)
            .map(|set| set.entries);
        let mut changed = EndpointChanges::default();
        let mut entries = match old {
            Some(entries) if !delta.full => entries,
            old => {
                let new = VersionedSet::new(delta.data_centre.clone(), delta.epoch, delta.seq);
                return Ok(self.replace(old.as_ref(), new, delta, now));
            }
        };
        for key in &delta.removed {
            if entries.remove(key, delta.seq) {
                changed.removed.push(key.clone());
            }
        }
        for endpoint in &delta.upserts {
            if entries.apply_upsert(endpoint, delta.seq) {
                changed.upserts.push(EndpointKey::of(endpoint));
            }
        }
        entries.seq = delta.seq;
        let drop_at = now + DROP_AFTER;
        self.sets
            .insert(delta.data_centre.clone(), Set { entries, drop_at });
        Ok(changed)
    }

    fn replace(
        &mut self,
        old: Option<&VersionedSet>,
        mut new: VersionedSet,
        delta: &EndpointDelta,
        now: Instant,
    ) -> EndpointChanges {
        let mut changed = EndpointChanges::default();
        for endpoint in &delta.upserts {
            new.apply_upsert(endpoint, delta.seq);
            let key = EndpointKey::of(endpoint);
            if old.and_then(|old| old.get(&key)) != Some(endpoint) {
                changed.upserts.push(key);
            }
        }
        let removed = old.into_iter().flat_map(VersionedSet::keys);
        let removed = removed.filter(|key| new.get(key).is_none());
        changed.removed.extend(removed.cloned());
        let drop_at = now + DROP_AFTER;
        let set = Set {
            entries: new,
            drop_at,
        };
        self.sets.insert(delta.data_centre.clone(), set);
        changed
    }

    fn check(&self, delta: &EndpointDelta) -> Result<(), SetError> {
        let update = (delta.epoch, delta.seq);
        let base = (delta.epoch, delta.from);
        let held = self.sets.get(&delta.data_centre).map(|set| &set.entries);
        if let Some(held) = held.filter(|held| update <= (held.epoch, held.seq)) {
            let held = held.position();
            return Err(SetError::Stale { held, update });
        }
        if !delta.full && held.is_none_or(|held| base != (held.epoch, held.seq)) {
            let held = held.map(VersionedSet::position);
            return Err(SetError::Gap { held, update: base });
        }
        let foreign = |endpoint: &&Endpoint| !endpoint.belongs_to(&delta.data_centre);
        if let Some(endpoint) = delta.upserts.iter().find(foreign) {
            return Err(SetError::InvalidEndpoint {
                key: EndpointKey::of(endpoint),
                data_centre: endpoint.data_centre.clone(),
            });
        }
        let existing = if delta.full {
            0
        } else {
            held.map_or(0, VersionedSet::len)
        };
        let endpoints = (existing + delta.upserts.len()).saturating_sub(delta.removed.len());
        if endpoints > MAX_ENDPOINTS || (held.is_none() && self.sets.len() >= MAX_DATA_CENTRES) {
            return Err(SetError::TooMany {
                data_centre: delta.data_centre.clone(),
                endpoints,
            });
        }
        Ok(())
    }

    /// Drops the sets without an update for [`DROP_AFTER`]; returns their data centres.
    pub fn expire(&mut self, now: Instant) -> Vec<DataCentre> {
        let expired = self.sets.iter().filter(|(_, set)| set.drop_at <= now);
        let dropped: Vec<_> = expired
            .map(|(data_centre, _)| data_centre.clone())
            .collect();
        for data_centre in &dropped {
            self.sets.swap_remove(data_centre);
        }
        dropped
    }

    /// Returns the names of the non-empty sets of direct daemons, each of which is the only member
    /// of the data centre that has its name.
    pub fn single_daemon_sets(&self) -> impl Iterator<Item = &DataCentre> {
        let single_daemon = |(name, _): &(&DataCentre, &Set)| {
            let mut endpoints = self.of_data_centre(name).peekable();
            endpoints.peek().is_some()
                && endpoints.all(|endpoint| endpoint.daemon.as_str() == name.as_str())
        };
        self.sets.iter().filter(single_daemon).map(|(name, _)| name)
    }

    /// Returns the data centres whose set had no update for [`STALE_AFTER`]: their relay or the whole
    /// data centre is unreachable. Their endpoints stay, but should be tried last.
    pub fn stale(&self, now: Instant) -> Vec<DataCentre> {
        let stale = |set: &Set| now + DROP_AFTER >= set.drop_at + STALE_AFTER;
        let sets = self.sets.iter().filter(|(_, set)| stale(set));
        sets.map(|(data_centre, _)| data_centre.clone()).collect()
    }

    /// Returns the positions of all sets, for a subscription.
    pub fn positions(&self) -> Vec<Position> {
        self.sets
            .values()
            .map(|set| set.entries.position())
            .collect()
    }

    /// Returns the position of one set; `None` if the set is unknown.
    pub fn position(&self, data_centre: &DataCentre) -> Option<Position> {
        self.sets.get(data_centre).map(|set| set.entries.position())
    }

    /// Returns the deltas from `positions` to the current sets.
    pub fn deltas_since(&self, positions: &[Position]) -> Vec<EndpointDelta> {
        let since = |data_centre: &DataCentre| {
            let held = positions
                .iter()
                .find(|held| held.data_centre == *data_centre);
            held.map_or((Epoch::default(), 0), |held| (held.epoch, held.seq))
        };
        let deltas = self.sets.iter().filter_map(|(data_centre, set)| {
            let (epoch, seq) = since(data_centre);
            set.entries.delta_since(epoch, seq)
        });
        deltas.collect()
    }

    /// Returns all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.sets.values().flat_map(|set| set.entries.iter())
    }

    /// Returns the endpoints of one service.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &Endpoint> {
        self.iter()
            .filter(move |endpoint| endpoint.service == *service)
    }

    /// Returns the endpoints of one data centre.
    pub fn of_data_centre(&self, data_centre: &DataCentre) -> impl Iterator<Item = &Endpoint> {
        self.sets
            .get(data_centre)
            .into_iter()
            .flat_map(|set| set.entries.iter())
    }
}
