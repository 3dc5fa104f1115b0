//! The set of one data centre at its relay.

use {
    super::{
        Directory, EndpointDelta, EndpointKey, Epoch, LEASE, MAX_ENDPOINTS, MAX_NAME, MAX_REPORTED,
        Position, REFRESH, SetError, Stamp, TAKEOVER_LEASE, entries::Entries,
    },
    crate::model::{DaemonName, DataCentre, Endpoint},
    indexmap::IndexMap,
    std::time::Instant,
};

/// Endpoint set of one data centre, as its owner holds it.
///
/// ```
/// use {anvilbeam::endpoints::*, std::time::Instant};
/// let now = Instant::now();
/// let mut own = OwnSet::new("dc-1".into(), Epoch::granted(1, 1), now);
/// own.report(&"daemon-1".into(), Stamp { incarnation: 1, number: 1 }, &[], now).unwrap();
/// assert!(own.delta_since(Epoch::default(), 0).unwrap().full);
/// ```
#[derive(Clone, Debug)]
pub struct OwnSet {
    entries: Entries,
    leases: IndexMap<DaemonName, Lease>,
    refresh: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    deadline: Instant,
    stamp: Stamp,
}

impl OwnSet {
    /// Empty set of the owner with `epoch`.
    pub fn new(data_centre: DataCentre, epoch: Epoch, now: Instant) -> Self {
        Self {
            entries: Entries::new(data_centre, epoch, 1),
            leases: IndexMap::new(),
            refresh: now + REFRESH,
        }
    }

    /// Set of a new owner, which starts from the last known one with fresh leases, so that a
    /// change of the relay doesn't empty the routes.
    pub fn take_over(
        known: &Directory,
        data_centre: &DataCentre,
        epoch: Epoch,
        now: Instant,
    ) -> Self {
        // An owner that restarts within its tenure goes on after the last update known.
        let seq = match known.position(data_centre) {
            Some(held) if held.epoch == epoch => held.seq + 1,
            _ => 1,
        };
        let mut entries = Entries::new(data_centre.clone(), epoch, seq);
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
            refresh: now + REFRESH,
        }
    }

    /// Tenure of the owner.
    pub const fn epoch(&self) -> Epoch {
        self.entries.epoch
    }

    /// The newest update.
    pub fn position(&self) -> Position {
        self.entries.position()
    }

    /// The endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.entries.iter()
    }

    /// Takes over the complete list of a daemon's endpoints and renews its lease; returns
    /// whether the set has changed. A report that is older than the last one changes nothing.
    ///
    /// # Errors
    /// [`SetError::Foreign`] or [`SetError::TooMany`]; the set is unchanged.
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
        let gone: Vec<_> = self
            .of_daemon(daemon)
            .filter(|key| !keys.contains(key))
            .cloned()
            .collect();
        let next = self.entries.seq + 1;
        let mut changed = false;
        for key in &gone {
            changed |= self.entries.remove(key, next);
        }
        for endpoint in endpoints {
            changed |= self.entries.upsert(endpoint, next);
        }
        if changed {
            self.entries.seq = next;
            self.refresh = now + REFRESH;
        }
        let lease = Lease {
            deadline: now + LEASE,
            stamp,
        };
        self.leases.insert(daemon.clone(), lease);
        Ok(changed)
    }

    /// Removes the endpoints of daemons whose lease has ended; returns whether the set has
    /// changed. A set that has not changed for [`REFRESH`] gets an empty update.
    pub fn expire(&mut self, now: Instant) -> bool {
        let ended = |lease: &Lease| lease.deadline <= now;
        let daemons: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, lease)| ended(lease))
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
            self.refresh = now + REFRESH;
        }
        changed
    }

    /// One delta from a position to the newest update; `None` when the position is current.
    /// It is a full set for another epoch and when tombstones no longer reach back.
    pub fn delta_since(&self, epoch: Epoch, seq: u64) -> Option<EndpointDelta> {
        self.entries.delta_since(epoch, seq)
    }

    fn of_daemon<'a>(&'a self, daemon: &'a DaemonName) -> impl Iterator<Item = &'a EndpointKey> {
        self.entries.keys().filter(move |key| key.daemon == *daemon)
    }

    fn check(&self, daemon: &DaemonName, endpoints: &[Endpoint]) -> Result<(), SetError> {
        let data_centre = &self.entries.data_centre;
        let short = |name: &str| name.len() <= MAX_NAME;
        let fits = |endpoint: &Endpoint| {
            endpoint.daemon == *daemon
                && endpoint.belongs_to(data_centre)
                && short(endpoint.server.as_str())
                && short(endpoint.service.as_str())
                && short(endpoint.region.as_str())
        };
        if let Some(endpoint) = endpoints.iter().find(|endpoint| !fits(endpoint)) {
            return Err(SetError::Foreign {
                key: EndpointKey::of(endpoint),
                data_centre: endpoint.data_centre.clone(),
            });
        }
        let total = self.entries.len() + endpoints.len();
        if endpoints.len() > MAX_REPORTED || total > MAX_ENDPOINTS {
            return Err(SetError::TooMany {
                data_centre: data_centre.clone(),
                endpoints: total,
            });
        }
        Ok(())
    }
}
