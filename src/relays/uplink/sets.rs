//! Endpoint sets at a daemon: its own data centre's set if it is the relay, and what it passes on.

use {
    super::{
        super::{
            DataCentreSummary, MAX_MEMBERS, MemberReport, RelayRef, Report, Summary, children::note,
        },
        Effect, Uplink,
    },
    crate::{
        endpoints::{Changed, EndpointDelta, Epoch, MAX_ENDPOINTS, OwnSet, TAKEOVER_LEASE},
        model::Version,
    },
    std::time::{Duration, Instant},
};

/// Time for which a new owner collects reports when not even its parent knows a set of its data
/// centre to start from.
const SETTLE: Duration = Duration::from_secs(2);

impl Uplink {
    /// Starts a tenure as the owner of the data centre's set. The set is not shown before there
    /// is a known state to start from, so that a daemon that has just started as the relay
    /// doesn't empty the routes.
    pub(super) fn start_set(&mut self, now: Instant, epoch: Epoch) {
        self.own = None;
        self.starting = Some((epoch, now));
    }

    fn try_start(&mut self, now: Instant) {
        let Some((epoch, since)) = self.starting else {
            return;
        };
        let data_centre = &self.me.data_centre;
        let known = self.directory.position(data_centre).is_some();
        let positions = self.link.as_ref().and_then(|link| link.positions.as_ref());
        let unknown_above =
            positions.is_some_and(|held| held.iter().all(|held| held.data_centre != *data_centre));
        // Nobody else has written the set of a daemon that is alone in it.
        let settled =
            self.direct || unknown_above && now >= since + SETTLE || now >= since + TAKEOVER_LEASE;
        if !known && !settled {
            return;
        }
        self.starting = None;
        self.own = Some(OwnSet::take_over(&self.directory, data_centre, epoch, now));
        let waiting = std::mem::take(&mut self.forwarded);
        for member in waiting.into_values() {
            self.take_member(now, member);
        }
        self.report_own(now);
    }

    /// Brings the directory up to the own set, and notices a newer owner.
    pub(super) fn sync_own(&mut self, now: Instant, out: &mut Vec<Effect>) {
        self.try_start(now);
        let Some(own) = &self.own else { return };
        let held = self.directory.position(&self.me.data_centre);
        let (epoch, seq) = held.map_or((Epoch::default(), 0), |held| (held.epoch, held.seq));
        if epoch > own.epoch() {
            self.superseded = self.superseded.max(Some(epoch));
            return;
        }
        let Some(delta) = own.delta_since(epoch, seq) else {
            return;
        };
        if let Ok(changed) = self.directory.apply(&delta, now) {
            self.next_report = now;
            if changed != Changed::default() {
                out.push(Effect::PublishEndpoints(changed));
            }
        }
    }

    /// Renews the lease of this daemon's own endpoints, if it owns the set.
    pub(super) fn report_own(&mut self, now: Instant) {
        if self.own.is_none() {
            return;
        }
        let stamp = self.stamp();
        let member = MemberReport {
            daemon: self.me.daemon.clone(),
            stamp,
            endpoints: self.endpoints.clone(),
        };
        self.take_member(now, member);
    }

    pub(super) fn child_reports(&mut self, now: Instant, report: Report, out: &mut Vec<Effect>) {
        let before = self.children.in_force(&report.member.daemon);
        if !self.children.report(&report, now) {
            return;
        }
        if before != report.summary.lowest() {
            self.next_report = now;
        }
        let mut changed = Changed::default();
        for delta in &report.sets {
            // The heartbeat tells the child what is held, so that it sends again what is missing.
            if let Ok(part) = self.directory.apply(delta, now) {
                self.next_report = now;
                changed.upserts.extend(part.upserts);
                changed.removed.extend(part.removed);
            }
        }
        if changed != Changed::default() {
            out.push(Effect::PublishEndpoints(changed));
        }
        for member in report.members.into_iter().take(MAX_MEMBERS) {
            self.take_member(now, member);
        }
    }

    /// Takes a report into the own set, or keeps it for the parent.
    fn take_member(&mut self, now: Instant, member: MemberReport) {
        if let Some(own) = &mut self.own {
            match own.report(&member.daemon, member.stamp, &member.endpoints, now) {
                Ok(true) => self.next_report = now,
                Ok(false) => {}
                Err(e) => self.reason = Some(e.to_string()),
            }
            return;
        }
        let room = self.forwarded.len() < MAX_MEMBERS - 1;
        if room || self.forwarded.contains_key(&member.daemon) {
            self.forwarded.insert(member.daemon.clone(), member);
        }
    }

    /// Reports about endpoints for the parent: of this daemon, and of children that have come
    /// since the last report.
    pub(super) fn member_reports(&mut self, now: Instant) -> Vec<MemberReport> {
        if self.own.is_some() {
            self.report_own(now);
            return Vec::new();
        }
        if self.starting.is_some() {
            return Vec::new();
        }
        let stamp = self.stamp();
        let mine = MemberReport {
            daemon: self.me.daemon.clone(),
            stamp,
            endpoints: self.endpoints.clone(),
        };
        // Bounds the report to one message; the rest follows with the next one.
        let mut endpoints = mine.endpoints.len();
        let mut out = vec![mine];
        while let Some((_, member)) = self.forwarded.last() {
            endpoints += member.endpoints.len();
            if endpoints > MAX_ENDPOINTS {
                break;
            }
            out.extend(self.forwarded.pop().map(|(_, member)| member));
        }
        out
    }

    /// The sets that the parent lacks. Only relays send them: a leaf knows no set first.
    pub(super) fn sets_for_parent(&mut self) -> Vec<EndpointDelta> {
        let relay = self.role.epoch().is_some();
        let positions = self.link.as_mut().and_then(|link| link.positions.as_mut());
        let Some(positions) = positions.filter(|_| relay) else {
            return Vec::new();
        };
        let mut sets = self.directory.deltas_since(positions);
        // Bounds the report to one message; the rest follows with the next one.
        let mut endpoints = 0;
        sets.retain(|set| {
            endpoints += set.upserts.len() + set.removed.len();
            endpoints <= MAX_ENDPOINTS
        });
        for set in &sets {
            note(positions, set);
        }
        sets
    }

    /// Versions in force here and below.
    pub(super) fn summary(&self, now: Instant) -> Summary {
        let version = self.store.in_force().map_or(Version(0), |cfg| cfg.version);
        let reason = match (&self.reason, self.store.in_force()) {
            (Some(reason), _) => Some(reason.as_str()),
            (None, None) => Some("nothing is in force"),
            (None, Some(_)) => None,
        };
        let mut mine =
            DataCentreSummary::of_daemon(&self.me.daemon, &self.me.data_centre, version, reason);
        mine.relay = self.role.epoch().map(|epoch| RelayRef {
            daemon: self.me.daemon.clone(),
            address: self.me.address,
            epoch,
        });
        let mut summary = self.children.summary(now);
        summary.add(&mine);
        summary
    }
}
