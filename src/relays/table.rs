//! Relay leases at the config leader.

use {
    super::{
        ADMITTED_PER_SECOND, Admission, Attach, AttachReply, Attached, MISSED_REPORT_AFTER, Member,
        NEW_LEADER_GRACE, Parent, RELAY_LEASE, RelayRef, Report, Role, Summary,
    },
    crate::{
        endpoints::Epoch,
        events::Event as LogEvent,
        log_event,
        model::{DaemonName, DataCentre, Region, Version},
    },
    indexmap::IndexMap,
    std::{hash::Hash, time::Instant},
};

/// Relay leases of all regions and data centres, in memory at the config leader.
///
/// The first daemon of a data centre that sends an attach request becomes its relay. A data centre
/// relay that sends one while its region has no relay becomes the region relay as well.
///
/// ```
/// use {anvilbeam::{model::Version, relays::*}, std::time::Instant};
/// let start = Instant::now();
/// let mut table = RelayTable::new(1, start);
/// let member = Member {
///     daemon: "daemon-1".into(),
///     address: ([10, 0, 0, 1], 7000).into(),
///     data_centre: "dc-1".into(),
///     region: "fukuoka".into(),
/// };
/// let attach = Attach { member, version: Version(0), role: Role::Leaf, newest_epoch: None, failed_parent: None };
/// let reply = table.attach(&attach, Some(Version(5)), start + NEW_LEADER_GRACE);
/// let AttachReply::Attached(attached) = reply else { panic!("{reply:?}") };
/// assert_eq!(attached.parent, Parent::Control);
/// assert_eq!(attached.floor, Some(Version(5)));
/// ```
#[derive(Clone, Debug)]
pub struct RelayTable {
    /// Term of this leader.
    term: u64,
    /// Number of epochs granted in this term.
    granted_epochs: u64,
    /// End of the grace time for the relays of the previous leader.
    grace_end: Instant,
    admission: Admission,
    regions: IndexMap<Region, Lease>,
    data_centres: IndexMap<DataCentre, Lease>,
    /// Last summary of each reporting child, with its arrival time.
    reports: IndexMap<DaemonName, (Summary, Instant)>,
}

#[derive(Clone, Debug)]
struct Lease {
    relay: RelayRef,
    region: Region,
    /// Last renewal.
    renewed: Instant,
}

impl Lease {
    fn new(member: &Member, epoch: Epoch, now: Instant) -> Self {
        Self {
            relay: RelayRef {
                daemon: member.daemon.clone(),
                address: member.address,
                epoch,
            },
            region: member.region.clone(),
            renewed: now,
        }
    }

    fn expired(&self, now: Instant) -> bool {
        now >= self.renewed + RELAY_LEASE
    }

    /// Returns whether the request says that this relay has failed, and a report of the relay is
    /// missing as well.
    fn failed(&self, attach: &Attach, now: Instant) -> bool {
        let failed = attach.failed_parent.as_ref();
        failed.is_some_and(|failed| failed.daemon == self.relay.daemon)
            && now >= self.renewed + MISSED_REPORT_AFTER
    }

    fn parent(&self) -> Parent {
        Parent::Daemon {
            name: self.relay.daemon.clone(),
            address: self.relay.address,
        }
    }
}

impl RelayTable {
    /// Creates the empty table of a leader that has just won the election of `term`.
    pub fn new(term: u64, now: Instant) -> Self {
        Self {
            term,
            granted_epochs: 0,
            grace_end: now + NEW_LEADER_GRACE,
            admission: Admission::new(ADMITTED_PER_SECOND, now),
            regions: IndexMap::new(),
            data_centres: IndexMap::new(),
            reports: IndexMap::new(),
        }
    }

    /// Assigns a parent and a role to a daemon. `floor` is the version of this leader; `None` if
    /// check-quorum doesn't confirm that it is still the leader.
    pub fn attach(&mut self, attach: &Attach, floor: Option<Version>, now: Instant) -> AttachReply {
        self.expire(now);
        let member = &attach.member;
        // Relays bypass the rate limit: there are few, and whole data centres depend on them.
        if attach.role == Role::Leaf
            && let Err(wait) = self.admission.admit(now)
        {
            return refused(wait.as_millis());
        }
        // A direct daemon, whose data centre has its own name, needs no grace time: no other daemon
        // can be its relay.
        let direct = member.data_centre.as_str() == member.daemon.as_str();
        let known = direct || self.data_centres.contains_key(&member.data_centre);
        if !known && attach.role == Role::Leaf && now < self.grace_end {
            return refused(self.grace_end.duration_since(now).as_millis() + 1);
        }
        let (parent, role) = self.assign(attach, now);
        AttachReply::Attached(Attached {
            parent,
            role,
            floor,
            term: self.term,
        })
    }

    fn assign(&mut self, attach: &Attach, now: Instant) -> (Parent, Role) {
        let member = &attach.member;
        if let Some(lease) = self.data_centres.get(&member.data_centre)
            && lease.relay.daemon != member.daemon
            && !lease.failed(attach, now)
        {
            return (lease.parent(), Role::Leaf);
        }
        let held = self.retained_epoch(attach);
        let region = self.regions.get(&member.region);
        let region_relay = region
            .filter(|lease| lease.relay.daemon != member.daemon && !lease.failed(attach, now));
        if let Some(parent) = region_relay.map(Lease::parent) {
            let epoch = held.unwrap_or_else(|| self.next_epoch());
            let lease = Lease::new(member, epoch, now);
            self.data_centres.insert(member.data_centre.clone(), lease);
            return (parent, Role::DataCentreRelay { epoch });
        }
        let holds_region = match region {
            Some(lease) => Some(lease.relay.epoch) == held,
            None => matches!(attach.role, Role::RegionRelay { .. }),
        };
        let epoch = held
            .filter(|_| holds_region)
            .unwrap_or_else(|| self.next_epoch());
        let lease = Lease::new(member, epoch, now);
        self.regions.insert(member.region.clone(), lease.clone());
        self.data_centres.insert(member.data_centre.clone(), lease);
        (Parent::Control, Role::RegionRelay { epoch })
    }

    /// Returns the epoch of a relay that may keep it: its data centre has no lease or one with this
    /// epoch, and the request contains no newer epoch. `None` if a new epoch has to be granted.
    fn retained_epoch(&self, attach: &Attach) -> Option<Epoch> {
        let held = attach.role.epoch().filter(|epoch| epoch.is_granted())?;
        if attach.newest_epoch.is_some_and(|newest| newest > held) {
            return None;
        }
        match self.data_centres.get(&attach.member.data_centre) {
            Some(lease) => (lease.relay.epoch == held).then_some(held),
            None => Some(held),
        }
    }

    /// Returns an epoch that is newer than all epochs granted before.
    pub fn next_epoch(&mut self) -> Epoch {
        self.granted_epochs += 1;
        Epoch::granted(self.term, self.granted_epochs)
    }

    /// Renews the leases of the relays in a report, and stores its summary.
    pub fn report(&mut self, report: &Report, now: Instant) {
        self.expire(now);
        let member = &report.member;
        if let Role::RegionRelay { epoch } = report.role {
            let lease = Lease::new(member, epoch, now);
            renew(&mut self.regions, &member.region, lease);
        }
        for part in &report.summary.data_centres {
            if let Some(relay) = &part.relay {
                let lease = Lease {
                    relay: relay.clone(),
                    region: member.region.clone(),
                    renewed: now,
                };
                renew(&mut self.data_centres, &part.data_centre, lease);
            }
        }
        let entry = (report.summary.clone(), now);
        self.reports.insert(member.daemon.clone(), entry);
    }

    fn expire(&mut self, now: Instant) {
        self.regions.retain(|_, lease| !lease.expired(now));
        self.data_centres.retain(|data_centre, lease| {
            let expired = lease.expired(now);
            if expired {
                log_event!(
                    LogEvent::RelayLeaseEnded,
                    daemon = lease.relay.daemon,
                    data_centre = data_centre,
                );
            }
            !expired
        });
        self.reports.retain(|_, (_, at)| now < *at + RELAY_LEASE);
    }

    /// Returns the versions in force from all reports that are younger than [`RELAY_LEASE`].
    pub fn summary(&self) -> Summary {
        let mut summary = Summary::default();
        self.reports
            .values()
            .for_each(|(part, _)| summary.merge(part));
        summary
    }

    /// Returns the relays of all data centres.
    pub fn relays(&self) -> impl Iterator<Item = (&DataCentre, &Region, &RelayRef)> {
        let leases = self.data_centres.iter();
        leases.map(|(data_centre, lease)| (data_centre, &lease.region, &lease.relay))
    }
}

/// Renews a lease, or adds one that an earlier leader granted. Ignores a lease whose epoch is older
/// than the known one or was not granted by a leader.
fn renew<K: Clone + Eq + Hash>(leases: &mut IndexMap<K, Lease>, key: &K, lease: Lease) {
    let known = leases.get(key).map(|held| held.relay.epoch);
    if known.is_none_or(|epoch| epoch <= lease.relay.epoch) && lease.relay.epoch.is_granted() {
        leases.insert(key.clone(), lease);
    }
}

fn refused(ms: u128) -> AttachReply {
    let retry_after_ms = u32::try_from(ms).unwrap_or(u32::MAX).max(1);
    AttachReply::Refused { retry_after_ms }
}
