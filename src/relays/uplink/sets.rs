//! Endpoint sets at a daemon: the set that it owns as a relay, and the reports that it forwards.

use {
    super::{
        super::{
            DataCentreSummary, MAX_MEMBERS, MemberReport, RelayRef, Report, Summary,
            children::advance_position,
        },
        Effect, Uplink,
    },
    crate::{
        endpoints::{
            EndpointChanges, EndpointDelta, Epoch, MAX_ENDPOINTS, OwnedSet, TAKEOVER_LEASE,
        },
        model::Version,
    },
    std::time::{Duration, Instant},
};

/// Time for which a new owner collects reports before it starts with an empty set, if neither it
/// nor its parent has an earlier state of the set.
const COLLECTION_TIME: Duration = Duration::from_secs(2);

impl Uplink {
    /// Starts an epoch as the owner of the set of the data centre. The set is not published before
    /// there is a known state to start from; otherwise a relay that has just started would empty
    /// the routes.
    pub(super) fn start_set(&mut self, now: Instant, epoch: Epoch) {
        self.own_set = None;
        self.pending_epoch = Some((epoch, now));
    }

    fn try_start_set(&mut self, now: Instant) {
        let Some((epoch, since)) = self.pending_epoch else {
            return;
        };
        let data_centre = &self.member.data_centre;
        let known = self.directory.position(data_centre).is_some();
        let positions = self.link.as_ref().and_then(|link| link.positions.as_ref());
        let unknown_to_parent =
            positions.is_some_and(|held| held.iter().all(|held| held.data_centre != *data_centre));
        // A direct daemon is the only one that writes its set, so there is no earlier state.
        let may_start_empty = self.direct
            || unknown_to_parent && now >= since + COLLECTION_TIME
            || now >= since + TAKEOVER_LEASE;
        if !known && !may_start_empty {
            return;
        }
        self.pending_epoch = None;
        self.own_set = Some(OwnedSet::take_over(
            &self.directory,
            data_centre,
            epoch,
            now,
        ));
        let pending_reports = std::mem::take(&mut self.reports_to_forward);
        for member in pending_reports.into_values() {
            self.record_member_report(now, member);
        }
        self.report_own_endpoints(now);
    }

    /// Updates the directory from the owned set. Records the epoch of a newer owner instead, if the
    /// directory contains one.
    pub(super) fn sync_own_set(&mut self, now: Instant, out: &mut Vec<Effect>) {
        self.try_start_set(now);
        let Some(own_set) = &self.own_set else { return };
        let held = self.directory.position(&self.member.data_centre);
        let (epoch, seq) = held.map_or((Epoch::default(), 0), |held| (held.epoch, held.seq));
        if epoch > own_set.epoch() {
            self.newer_epoch = self.newer_epoch.max(Some(epoch));
            return;
        }
        let Some(delta) = own_set.delta_since(epoch, seq) else {
            return;
        };
        if let Ok(changed) = self.directory.apply(&delta, now) {
            self.next_report = now;
            if changed != EndpointChanges::default() {
                out.push(Effect::PublishEndpoints(changed));
            }
        }
    }

    /// Renews the lease of the endpoints of this daemon, if it owns the set.
    pub(super) fn report_own_endpoints(&mut self, now: Instant) {
        if self.own_set.is_none() {
            return;
        }
        let stamp = self.next_stamp();
        let member = MemberReport {
            daemon: self.member.daemon.clone(),
            stamp,
            endpoints: self.endpoints.clone(),
        };
        self.record_member_report(now, member);
    }

    pub(super) fn on_report(&mut self, now: Instant, report: Report, out: &mut Vec<Effect>) {
        let before = self.children.lowest_in_force(&report.member.daemon);
        if !self.children.report(&report, now) {
            return;
        }
        if before != report.summary.lowest() {
            self.next_report = now;
        }
        let mut changed = EndpointChanges::default();
        for delta in &report.sets {
            // After an error, the next heartbeat contains the positions here, and the child sends
            // what is missing.
            if let Ok(part) = self.directory.apply(delta, now) {
                self.next_report = now;
                changed.upserts.extend(part.upserts);
                changed.removed.extend(part.removed);
            }
        }
        if changed != EndpointChanges::default() {
            out.push(Effect::PublishEndpoints(changed));
        }
        for member in report.members.into_iter().take(MAX_MEMBERS) {
            self.record_member_report(now, member);
        }
    }

    /// Records a report in the owned set, or keeps it to forward to the parent.
    fn record_member_report(&mut self, now: Instant, member: MemberReport) {
        if let Some(own_set) = &mut self.own_set {
            match own_set.report(&member.daemon, member.stamp, &member.endpoints, now) {
                Ok(true) => self.next_report = now,
                Ok(false) => {}
                Err(e) => self.lag_reason = Some(e.to_string()),
            }
            return;
        }
        let has_room = self.reports_to_forward.len() < MAX_MEMBERS - 1;
        if has_room || self.reports_to_forward.contains_key(&member.daemon) {
            self.reports_to_forward
                .insert(member.daemon.clone(), member);
        }
    }

    /// Returns the endpoint reports to send to the parent: the one of this daemon, and those
    /// received from children since the last report.
    pub(super) fn member_reports(&mut self, now: Instant) -> Vec<MemberReport> {
        if self.own_set.is_some() {
            self.report_own_endpoints(now);
            return Vec::new();
        }
        if self.pending_epoch.is_some() {
            return Vec::new();
        }
        let stamp = self.next_stamp();
        let mine = MemberReport {
            daemon: self.member.daemon.clone(),
            stamp,
            endpoints: self.endpoints.clone(),
        };
        // Keeps the report within one message; the rest follows in the next report.
        let mut endpoints = mine.endpoints.len();
        let mut out = vec![mine];
        while let Some((_, member)) = self.reports_to_forward.last() {
            endpoints += member.endpoints.len();
            if endpoints > MAX_ENDPOINTS {
                break;
            }
            out.extend(self.reports_to_forward.pop().map(|(_, member)| member));
        }
        out
    }

    /// Returns the set deltas that are missing at the parent. Only relays send them, because a leaf
    /// gets all sets from its parent.
    pub(super) fn sets_for_parent(&mut self) -> Vec<EndpointDelta> {
        let relay = self.role.epoch().is_some();
        let positions = self.link.as_mut().and_then(|link| link.positions.as_mut());
        let Some(positions) = positions.filter(|_| relay) else {
            return Vec::new();
        };
        let mut sets = self.directory.deltas_since(positions);
        // Keeps the report within one message; the rest follows in the next report.
        let mut endpoints = 0;
        sets.retain(|set| {
            endpoints += set.upserts.len() + set.removed.len();
            endpoints <= MAX_ENDPOINTS
        });
        for set in &sets {
            advance_position(positions, set);
        }
        sets
    }

    /// Returns the versions in force in the subtree of this daemon.
    pub(super) fn summary(&self, now: Instant) -> Summary {
        let version = self.store.in_force().map_or(Version(0), |cfg| cfg.version);
        let reason = match (&self.lag_reason, self.store.in_force()) {
            (Some(reason), _) => Some(reason.as_str()),
            (None, None) => Some("no version is in force"),
            (None, Some(_)) => None,
        };
        let mut mine = DataCentreSummary::of_daemon(
            &self.member.daemon,
            &self.member.data_centre,
            version,
            reason,
        );
        mine.relay = self.role.epoch().map(|epoch| RelayRef {
            daemon: self.member.daemon.clone(),
            address: self.member.address,
            epoch,
        });
        let mut summary = self.children.summary(now);
        summary.add(&mine);
        summary
    }
}
