//! Endpoint set of one data centre at its owner, the relay.

use {
    super::{
        Directory, ENDPOINT_LEASE, EndpointDelta, EndpointKey, Epoch, MAX_ENDPOINTS,
        MAX_NAME_BYTES, MAX_REPORTED_ENDPOINTS, Position, REFRESH_INTERVAL, SetError, Stamp,
        TAKEOVER_LEASE, entries::VersionedSet,
    },
    crate::model::{DaemonName, DataCentre, Endpoint},
    indexmap::IndexMap,
    std::time::Instant,
};

/// Endpoint set of one data centre at its owner, with a lease for each daemon.
///
/// ```
/// use {anvilbeam::endpoints::*, std::time::Instant};
/// let now = Instant::now();
/// let mut own = OwnedSet::new("dc-1".into(), Epoch::granted(1, 1), now);
/// own.report(&"daemon-1".into(), Stamp { incarnation: 1, number: 1 }, &[], now).unwrap();
/// assert!(own.delta_since(Epoch::default(), 0).unwrap().full);
/// ```
#[derive(Clone, Debug)]
pub struct OwnedSet {
    entries: VersionedSet,
    leases: IndexMap<DaemonName, Lease>,
    /// When the next empty update is due, unless the set changes first.
    refresh: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    deadline: Instant,
    /// Stamp of the last report.
    stamp: Stamp,
}

impl OwnedSet {
    /// Creates the empty set of the owner with `epoch`.
    pub fn new(data_centre: DataCentre, epoch: Epoch, now: Instant) -> Self {
        Self {
            entries: VersionedSet::new(data_centre, epoch, 1),
            leases: IndexMap::new(),
            refresh: now + REFRESH_INTERVAL,
        }
    }

    /// Creates the set of a new owner from the last known set with new leases, so that a change of
    /// the relay doesn't empty the routes.
    pub fn take_over(
        known: &Directory,
        data_centre: &DataCentre,
        epoch: Epoch,
        now: Instant,
    ) -> Self {
        // An owner that starts again with the same epoch continues after the last known update.
        let seq = match known.position(data_centre) {
            Some(held) if held.epoch == epoch => held.seq + 1,
            _ => 1,
        };
        let mut entries = VersionedSet::new(data_centre.clone(), epoch, seq);
        let mut leases = IndexMap::new();
        for endpoint in known.of_data_centre(data_centre) {
            entries.upsert(endpoint, seq);
            let lease = Lease {
                deadline: now + TAKEOVER_LEASE,
                stamp: Stamp::default(),
            };
            leases.insert(endpoint.daemon.clone(), lease);
        }
        Self {
            entries,
            leases,
            refresh: now + REFRESH_INTERVAL,
        }
    }

    /// Returns the epoch of the owner.
    pub const fn epoch(&self) -> Epoch {
        self.entries.epoch
    }

    /// Returns the position of the newest update.
    pub fn position(&self) -> Position {
        self.entries.position()
    }

    /// Returns the endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.entries.iter()
    }

    /// Replaces the endpoints of a daemon by the complete list in a report and renews the lease of
    /// the daemon; returns whether the set has changed. Ignores a report that is not newer than the
    /// last one.
    ///
    /// # Errors
    /// [`SetError::InvalidEndpoint`] or [`SetError::TooMany`]; the set is unchanged.
    pub fn report(
        &mut self,
        daemon: &DaemonName,
        stamp: Stamp,
        endpoints: &[Endpoint],
        now: Instant,
    ) -> Result<bool, SetError> {
        let held = self.leases.get(daemon);
        if held.is_some_and(|lease| lease.stamp >= stamp) {
            return Ok(false);
        }
        self.check(daemon, endpoints)?;
        let keys: Vec<_> = endpoints.iter().map(EndpointKey::of).collect();
        let removed: Vec<_> = self
            .of_daemon(daemon)
            .filter(|key| !keys.contains(key))
            .cloned()
            .collect();
        let next = self.entries.seq + 1;
        let mut changed = false;
        for key in &removed {
            changed |= self.entries.remove(key, next);
        }
        for endpoint in endpoints {
            changed |= self.entries.upsert(endpoint, next);
        }
        if changed {
            self.entries.seq = next;
            self.refresh = now + REFRESH_INTERVAL;
        }
        let lease = Lease {
            deadline: now + ENDPOINT_LEASE,
            stamp,
        };
        self.leases.insert(daemon.clone(), lease);
        Ok(changed)
    }

    /// Removes the endpoints of daemons whose lease has expired; returns whether there is a new
    /// update. A set that has not changed for [`REFRESH_INTERVAL`] gets an empty update.
    pub fn expire(&mut self, now: Instant) -> bool {
        let expired = |lease: &Lease| lease.deadline <= now;
        let daemons: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, lease)| expired(lease))
            .map(|(daemon, _)| daemon.clone())
            .collect();
        let next = self.entries.seq + 1;
        let mut changed = now >= self.refresh;
        for daemon in daemons {
            self.leases.swap_remove(&daemon);
            let keys: Vec<_> = self.of_daemon(&daemon).cloned().collect();
            for key in keys {
                changed |= self.entries.remove(&key, next);
            }
        }
        if changed {
            self.entries.seq = next;
            self.refresh = now + REFRESH_INTERVAL;
        }
        changed
    }

    /// Returns one delta from a position to the newest update; `None` if the position is current.
    /// It is a full set for another epoch, or if tombstones since the position were discarded.
    pub fn delta_since(&self, epoch: Epoch, seq: u64) -> Option<EndpointDelta> {
        self.entries.delta_since(epoch, seq)
    }

    fn of_daemon<'a>(&'a self, daemon: &'a DaemonName) -> impl Iterator<Item = &'a EndpointKey> {
        self.entries.keys().filter(move |key| key.daemon == *daemon)
    }

    fn check(&self, daemon: &DaemonName, endpoints: &[Endpoint]) -> Result<(), SetError> {
        let data_centre = &self.entries.data_centre;
        let length_ok = |name: &str| name.len() <= MAX_NAME_BYTES;
        let valid = |endpoint: &Endpoint| {
            endpoint.daemon == *daemon
                && endpoint.belongs_to(data_centre)
                && length_ok(endpoint.server.as_str())
                && length_ok(endpoint.service.as_str())
                && length_ok(endpoint.region.as_str())
        };
        if let Some(endpoint) = endpoints.iter().find(|endpoint| !valid(endpoint)) {
            return Err(SetError::InvalidEndpoint {
                key: EndpointKey::of(endpoint),
                data_centre: endpoint.data_centre.clone(),
            });
        }
        // Also counts the endpoints that the report replaces.
        let total = self.entries.len() + endpoints.len();
        if endpoints.len() > MAX_REPORTED_ENDPOINTS || total > MAX_ENDPOINTS {
            return Err(SetError::TooMany {
                data_centre: data_centre.clone(),
                endpoints: total,
            });
        }
        Ok(())
    }
}
