//! Lifecycle of the backend server beside the daemon: announcements, crashes and termination.

use {
    super::{
        super::{
            decision::slot_effects,
            event::{CallId, Effect},
        },
        OwnServer, State,
    },
    crate::{
        announce::{Announcement, HeartbeatInfo},
        events::Event as LogEvent,
        log_event,
        model::{Endpoint, ServerName, ServerState},
        refusal::{Reason, Refusal},
        rollouts::VersionTag,
        suspects::{Fingerprint, Verdict},
    },
    std::time::{Duration, Instant},
};

/// Retry delay of a suspect that was refused because a suspect is in flight.
const SUSPECT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// What a daemon waits for that has just started.
///
/// It does not know what its backend server has said before; other daemons have its record of that time.
/// Without it, a delayed heartbeat could bring back a server that is draining or has left.
#[derive(Debug)]
pub(super) struct Recovery {
    /// Time at which the record has lapsed at the other daemons.
    pub(super) until: Instant,
    /// Whether the records of all daemons have arrived.
    pub(super) synchronized: bool,
    /// Last heartbeat of a server that accepts calls, to be applied after that.
    pub(super) held: Option<(Announcement, HeartbeatInfo)>,
}

impl State {
    pub(super) fn start_run(
        &mut self,
        id: CallId,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> Effect {
        let Some(server) = &self.server else {
            let detail = "the backend server is no longer announced";
            let refusal = Refusal::not_run(Reason::NoServer, detail);
            return Effect::Refuse { id, refusal };
        };
        let name = &server.announcement.server;
        let refusal = match self.suspects.check(fingerprint, name) {
            Verdict::Free | Verdict::RunAsOnlySuspect => {
                let run = self.suspects.start_run(fingerprint, name);
                self.record_start(id, now);
                return Effect::Run { id, run };
            }
            Verdict::Busy => {
                let detail =
                    "the request is suspected of a crash and has to run as the only suspect";
                let mut refusal = Refusal::not_run(Reason::SuspectBusy, detail);
                refusal.retry_at = Some(now + SUSPECT_RETRY_DELAY);
                refusal
            }
            Verdict::Condemned => Refusal::not_run(
                Reason::Condemned,
                format!(
                    "the request is condemned: it crashed two backend servers of {}",
                    server.announcement.service
                ),
            ),
        };
        Effect::Refuse { id, refusal }
    }

    pub(super) fn server_crashed(&mut self, incarnation: u64, now: Instant) -> Vec<Effect> {
        let same = |server: &&OwnServer| server.announcement.incarnation == incarnation;
        let Some(server) = self.server.as_ref().filter(same) else {
            return Vec::new();
        };
        let name = server.announcement.server.clone();
        let mut effects = self.record_crash(&name, now);
        effects.extend(self.remove_server(incarnation, now));
        effects
    }

    fn record_crash(&mut self, server: &ServerName, now: Instant) -> Vec<Effect> {
        let crashes = self.suspects.record_crash(server, now);
        let recorded = Some(crashes).filter(|crashes| !crashes.is_empty());
        recorded.map(Effect::CrashRecorded).into_iter().collect()
    }

    /// Returns whether a newer announcement was applied, or the incarnation has ended. An
    /// announcement without a sequence number is never stale.
    fn is_stale(
        &self,
        announcement: &Announcement,
        heartbeat: HeartbeatInfo,
        now: Instant,
    ) -> bool {
        let Some(sequence) = heartbeat.sequence else {
            return false;
        };
        if self.incarnations.is_stale(announcement, sequence, now) {
            return true;
        }
        let current = self.server.as_ref().map(|server| &server.announcement);
        current.is_some_and(|current| announcement.incarnation < current.incarnation)
    }

    /// Records the end of a server, also of one that is not announced: after a restart of the daemon a
    /// heartbeat that was sent before may still arrive.
    pub(super) fn server_leaving(
        &mut self,
        name: &str,
        incarnation: Option<u64>,
        unix_ms: u64,
        now: Instant,
    ) -> Vec<Effect> {
        let name = ServerName::from(name);
        let announced = self
            .server
            .as_mut()
            .map(|server| &mut server.announcement)
            .filter(|announced| announced.server == name)
            .filter(|announced| incarnation.is_none_or(|leaving| leaving == announced.incarnation));
        let Some(announcement) = announced else {
            match incarnation {
                Some(incarnation) => self.incarnations.record_departure(&name, incarnation),
                None => self
                    .incarnations
                    .record_unnamed_departure(name, unix_ms, now),
            }
            return Vec::new();
        };
        announcement.state = ServerState::Draining;
        self.incarnations
            .record_departure(&name, announcement.incarnation);
        let mut effects = self.refuse_waiting(now);
        effects.push(Effect::ReportEndpoint);
        effects
    }

    pub(super) fn announced(
        &mut self,
        announcement: &Announcement,
        heartbeat: HeartbeatInfo,
        now: Instant,
    ) -> Vec<Effect> {
        if self.is_stale(announcement, heartbeat, now) || self.is_held(announcement, heartbeat) {
            return Vec::new();
        }
        let mut announcement = announcement.clone();
        if let Some(sequence) = heartbeat.sequence {
            self.incarnations.record(&announcement, sequence, now);
            let (server, incarnation) = (&announcement.server, announcement.incarnation);
            if self.incarnations.is_draining(server, incarnation) {
                // Other daemons have acted on the drain, so an incarnation never leaves it.
                announcement.state = ServerState::Draining;
            }
        }
        let lease_until = now + self.announce_lease;
        let before = self.server.replace(OwnServer {
            announcement: announcement.clone(),
            lease_until,
            version: heartbeat.version,
        });
        if before.as_ref().map(|server| &server.announcement) == Some(&announcement) {
            return slot_effects(self.admission.server_hinted(heartbeat.warm_up, now));
        }
        log_announcement(&announcement);
        if let Some(before) = &before
            && (&before.announcement.server, before.announcement.incarnation)
                != (&announcement.server, announcement.incarnation)
        {
            let ended = &before.announcement;
            self.incarnations
                .record_replaced(&ended.server, ended.incarnation, now);
        }
        let restarted = before
            .as_ref()
            .is_none_or(|server| server.announcement.incarnation != announcement.incarnation);
        let mut effects = slot_effects(self.admission.resize(announcement.slots, now));
        if restarted && before.is_some() {
            // The restart went unnoticed until now, so the runs in flight on the previous
            // incarnation are counted as crashed.
            effects.extend(self.record_crash(&announcement.server, now));
        }
        if restarted && !self.draining {
            self.intake.end_drain();
            self.admission.server_started(heartbeat.warm_up, now);
            self.speed.server_started();
        }
        if announcement.state == ServerState::Draining || self.draining {
            effects.extend(self.refuse_waiting(now));
        }
        effects.push(Effect::ReportEndpoint);
        effects
    }

    /// Keeps a heartbeat that cannot be judged before the records of all daemons have arrived.
    fn is_held(&mut self, announcement: &Announcement, heartbeat: HeartbeatInfo) -> bool {
        let recovery = self
            .recovery
            .as_mut()
            .filter(|recovery| !recovery.synchronized);
        let Some(recovery) = recovery else {
            return false;
        };
        if heartbeat.sequence.is_none() || announcement.state == ServerState::Draining {
            return false;
        }
        let is_newer = recovery.held.as_ref().is_none_or(|(held, info)| {
            (announcement.incarnation, heartbeat.sequence) > (held.incarnation, info.sequence)
        });
        if is_newer {
            recovery.held = Some((announcement.clone(), heartbeat));
        }
        true
    }

    /// Takes over what the servers had said before the daemon was started again.
    pub(super) fn synchronized(&mut self, former: &[Endpoint], now: Instant) -> Vec<Effect> {
        let draining = former
            .iter()
            .filter(|endpoint| endpoint.state == ServerState::Draining && endpoint.slots == 0);
        for endpoint in draining {
            self.incarnations
                .record_draining(&endpoint.server, VersionTag::start_of(endpoint.incarnation));
        }
        let Some(recovery) = &mut self.recovery else {
            return Vec::new();
        };
        recovery.synchronized = true;
        self.apply_held(now)
    }

    fn apply_held(&mut self, now: Instant) -> Vec<Effect> {
        let held = self
            .recovery
            .as_mut()
            .and_then(|recovery| recovery.held.take());
        held.map_or_else(Vec::new, |(announcement, heartbeat)| {
            self.announced(&announcement, heartbeat, now)
        })
    }

    /// Ends the wait after the start of the daemon. A server that has not announced itself by then is
    /// taken out of the record of the run before.
    pub(super) fn end_recovery(&mut self, now: Instant) -> Vec<Effect> {
        let Some(recovery) = self
            .recovery
            .as_mut()
            .filter(|recovery| recovery.until <= now)
        else {
            return Vec::new();
        };
        recovery.synchronized = true;
        let mut effects = self.apply_held(now);
        self.recovery = None;
        if self.server.is_none() {
            effects.push(Effect::ReportEndpoint);
        }
        effects
    }

    pub(super) fn remove_server(&mut self, incarnation: u64, now: Instant) -> Vec<Effect> {
        let same = |server: &OwnServer| server.announcement.incarnation == incarnation;
        let Some(removed) = self.server.take_if(|server| same(server)) else {
            return Vec::new();
        };
        self.incarnations
            .forget_unnamed(&removed.announcement.server);
        let mut effects = self.refuse_waiting(now);
        effects.push(Effect::ReportEndpoint);
        effects
    }
}

fn log_announcement(announcement: &Announcement) {
    let event = match announcement.state {
        ServerState::Serving => LogEvent::EndpointAnnounced,
        ServerState::Draining => LogEvent::EndpointDraining,
    };
    log_event!(
        event,
        server = announcement.server,
        service = announcement.service,
        address = announcement.address,
        slots = announcement.slots,
        incarnation = announcement.incarnation,
    );
}
