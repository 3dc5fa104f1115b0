//! Relay leases at the config leader.

use {
    super::{
        ADMITTED_PER_SECOND, Admission, Attach, AttachReply, Attached, GRACE, Member, Parent,
        RELAY_LEASE, RelayRef, Report, Role, SUSPECT_AFTER, Summary,
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

/// Relay leases of all regions and data centres, in the memory of the config leader.
///
/// The first daemon that asks in a data centre becomes its relay. A data centre relay that asks
/// while its region has no relay becomes the region relay as well.
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
/// let attach = Attach { member, version: Version(0), held: Role::Leaf, seen: None, previous_parent_failed: None };
/// let reply = table.attach(&attach, Some(Version(5)), start + GRACE);
/// let AttachReply::Attached(attached) = reply else { panic!("{reply:?}") };
/// assert_eq!(attached.parent, Parent::Control);
/// assert_eq!(attached.floor, Some(Version(5)));
/// ```
#[derive(Clone, Debug)]
pub struct RelayTable {
    term: u64,
    grants: u64,
    settled: Instant,
    admission: Admission,
    regions: IndexMap<Region, Lease>,
    data_centres: IndexMap<DataCentre, Lease>,
    reports: IndexMap<DaemonName, (Summary, Instant)>,
}

#[derive(Clone, Debug)]
struct Lease {
    relay: RelayRef,
    region: Region,
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

    fn ended(&self, now: Instant) -> bool {
        now >= self.renewed + RELAY_LEASE
    }

    /// Whether a child's word that this relay has failed is believed.
    fn failed(&self, attach: &Attach, now: Instant) -> bool {
        let failed = attach.previous_parent_failed.as_ref();
        failed.is_some_and(|failed| failed.daemon == self.relay.daemon)
            && now >= self.renewed + SUSPECT_AFTER
    }

    fn parent(&self) -> Parent {
        Parent::Daemon {
            name: self.relay.daemon.clone(),
            address: self.relay.address,
        }
    }
}

impl RelayTable {
    /// Table of a leader that has just won the election of `term`.
    pub fn new(term: u64, now: Instant) -> Self {
        Self {
            term,
            grants: 0,
            settled: now + GRACE,
            admission: Admission::new(ADMITTED_PER_SECOND, now),
            regions: IndexMap::new(),
            data_centres: IndexMap::new(),
            reports: IndexMap::new(),
        }
    }

    /// Gives a daemon its parent and role. `floor` is the version that this leader has confirmed
    /// by check-quorum; `None` when it can't.
    pub fn attach(&mut self, attach: &Attach, floor: Option<Version>, now: Instant) -> AttachReply {
        self.expire(now);
        let member = &attach.member;
        // Relays are few, and whole data centres wait for them.
        if attach.held == Role::Leaf
            && let Err(wait) = self.admission.admit(now)
        {
            return refused(wait.as_millis());
        }
        // Nobody else could relay for a daemon that is alone in its part of the tree.
        let alone = member.data_centre.as_str() == member.daemon.as_str();
        let known = alone || self.data_centres.contains_key(&member.data_centre);
        if !known && attach.held == Role::Leaf && now < self.settled {
            return refused(self.settled.duration_since(now).as_millis() + 1);
        }
        let (parent, role) = self.place(attach, now);
        AttachReply::Attached(Attached {
            parent,
            role,
            floor,
            term: self.term,
        })
    }

    fn place(&mut self, attach: &Attach, now: Instant) -> (Parent, Role) {
        let member = &attach.member;
        if let Some(lease) = self.data_centres.get(&member.data_centre)
            && lease.relay.daemon != member.daemon
            && !lease.failed(attach, now)
        {
            return (lease.parent(), Role::Leaf);
        }
        let held = self.keep(attach);
        let region = self.regions.get(&member.region);
        let above = region
            .filter(|lease| lease.relay.daemon != member.daemon && !lease.failed(attach, now));
        if let Some(parent) = above.map(Lease::parent) {
            let epoch = held.unwrap_or_else(|| self.next_epoch());
            let lease = Lease::new(member, epoch, now);
            self.data_centres.insert(member.data_centre.clone(), lease);
            return (parent, Role::DataCentreRelay { epoch });
        }
        let leads = match region {
            Some(lease) => Some(lease.relay.epoch) == held,
            None => matches!(attach.held, Role::RegionRelay { .. }),
        };
        let epoch = held.filter(|_| leads).unwrap_or_else(|| self.next_epoch());
        let lease = Lease::new(member, epoch, now);
        self.regions.insert(member.region.clone(), lease.clone());
        self.data_centres.insert(member.data_centre.clone(), lease);
        (Parent::Control, Role::RegionRelay { epoch })
    }

    /// The tenure that a relay may keep: it is the one on record, or nothing is on record, and
    /// nobody knows of a newer one.
    fn keep(&self, attach: &Attach) -> Option<Epoch> {
        let held = attach.held.epoch().filter(|epoch| epoch.is_granted())?;
        if attach.seen.is_some_and(|seen| seen > held) {
            return None;
        }
        match self.data_centres.get(&attach.member.data_centre) {
            Some(lease) => (lease.relay.epoch == held).then_some(held),
            None => Some(held),
        }
    }

    /// An epoch that is newer than all that were granted before.
    pub fn next_epoch(&mut self) -> Epoch {
        self.grants += 1;
        Epoch::granted(self.term, self.grants)
    }

    /// Renews the leases of the relays that a report names, and keeps its summary.
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
        self.regions.retain(|_, lease| !lease.ended(now));
        self.data_centres.retain(|data_centre, lease| {
            let ended = lease.ended(now);
            if ended {
                log_event!(
                    LogEvent::RelayLeaseEnded,
                    daemon = lease.relay.daemon,
                    data_centre = data_centre,
                );
            }
            !ended
        });
        self.reports.retain(|_, (_, at)| now < *at + RELAY_LEASE);
    }

    /// Versions in force, from the reports of the last [`RELAY_LEASE`].
    pub fn summary(&self) -> Summary {
        let mut summary = Summary::default();
        self.reports
            .values()
            .for_each(|(part, _)| summary.merge(part));
        summary
    }

    /// Relays of the data centres.
    pub fn relays(&self) -> impl Iterator<Item = (&DataCentre, &Region, &RelayRef)> {
        let leases = self.data_centres.iter();
        leases.map(|(data_centre, lease)| (data_centre, &lease.region, &lease.relay))
    }
}

/// Renews a lease of the same tenure, or adopts that of an earlier leader.
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
