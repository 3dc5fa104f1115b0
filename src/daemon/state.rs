//! Reducer over the calls of one daemon: as entry daemon it chooses a backend server, as owner
//! daemon it gives out the slots of its own backend server.

use {
    super::{
        decision::{no_server, route_refusal, slot_effects},
        event::{Attempt, CallId, Effect, Event, Head},
    },
    crate::{
        admission::{self, Admission},
        announce::Announcement,
        balance::{Balancer, Choice},
        call::Call,
        events::Event as LogEvent,
        log_event,
        model::{ServerName, ServerState},
        refusal::{Reason, Refusal},
        retry::{self, Budget, Decision, Failure, GiveUp},
        routes::Snapshot,
        suspects::{Fingerprint, Suspects, Verdict},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time for which an announcement is valid.
pub const ANNOUNCE_LEASE: Duration = Duration::from_secs(3);

/// Wait after which a suspect may find its server without another suspect.
const SUSPECT_PAUSE: Duration = Duration::from_millis(200);

/// The announced backend server beside the daemon.
#[derive(Clone, Debug)]
pub struct OwnServer {
    /// What it announced last.
    pub announcement: Announcement,
    /// When the announcement lapses.
    pub lease_until: Instant,
}

/// State of one daemon's calls.
#[derive(Debug)]
pub struct State {
    snapshot: Option<Arc<Snapshot>>,
    balancer: Balancer,
    budget: Budget,
    server: Option<OwnServer>,
    admission: Admission,
    suspects: Suspects,
    draining: bool,
}

impl State {
    /// A daemon without configuration and backend server.
    pub fn new(now: Instant) -> Self {
        Self {
            snapshot: None,
            balancer: Balancer::default(),
            budget: Budget::new(now),
            server: None,
            admission: Admission::new(0),
            suspects: Suspects::default(),
            draining: false,
        }
    }

    /// The routes in force.
    pub const fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// The announced backend server.
    pub const fn server(&self) -> Option<&OwnServer> {
        self.server.as_ref()
    }

    /// Slots, queue and limits of the own backend server.
    pub const fn admission(&self) -> &Admission {
        &self.admission
    }

    /// What is known of the backend servers of others.
    pub const fn balancer(&self) -> &Balancer {
        &self.balancer
    }

    /// Requests that crashed backend servers.
    pub const fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Whether the daemon is shutting down.
    pub const fn is_draining(&self) -> bool {
        self.draining
    }

    /// Handles one event; `random` is a fresh random number.
    pub fn handle(&mut self, event: Event<'_>, now: Instant, random: u64) -> Vec<Effect> {
        match event {
            Event::Arrived { id, head } => vec![self.route(id, head, now, random)],
            Event::Answered(attempt) => self.record(&attempt, now),
            Event::Failed {
                id,
                call,
                retry,
                attempt,
                failure,
            } => {
                let mut effects = self.record(&attempt, now);
                effects.push(self.retry(id, call, retry, failure, now, random));
                effects
            }
            Event::SlotWanted { id, call } => self.want_slot(id, call, now),
            Event::SlotDone { id, outcome } => {
                slot_effects(self.admission.finish(id, outcome, now))
            }
            Event::SlotCancelled { id } => slot_effects(self.admission.cancel(id, now)),
            Event::RunWanted { id, fingerprint } => vec![self.start_run(id, fingerprint, now)],
            Event::RunEnded { run, ending } => {
                let cleared = self.suspects.finished(run, ending, now);
                cleared.then_some(Effect::Cleared).into_iter().collect()
            }
            Event::ServerCrashed { incarnation } => self.server_crashed(incarnation, now),
            Event::Suspected(report) => {
                self.suspects.merge(report, now);
                Vec::new()
            }
            Event::Announced(announcement) => self.announced(announcement, now),
            Event::ServerGone { incarnation } => self.server_gone(incarnation, now),
            Event::Routed(snapshot) => {
                self.swap(snapshot, now);
                Vec::new()
            }
            Event::Drain => {
                self.draining = true;
                let mut effects = slot_effects(self.admission.drain(now));
                effects.push(Effect::Report);
                effects
            }
            Event::Tick => self.tick(now),
        }
    }

    fn swap(&mut self, snapshot: Arc<Snapshot>, now: Instant) {
        let held = self.snapshot.as_ref().map(|held| held.config().version);
        if held > Some(snapshot.config().version) {
            return;
        }
        self.balancer.sync(&snapshot, now);
        self.snapshot = Some(snapshot);
    }

    fn route(&mut self, id: CallId, head: &Head<'_>, now: Instant, random: u64) -> Effect {
        match self.choose(head, now, random) {
            Ok((call, choice)) => {
                self.budget.count_call(now);
                Effect::Forward {
                    id,
                    call: Box::new(call),
                    choice,
                    not_before: now,
                }
            }
            Err(refusal) => Effect::Refuse { id, refusal },
        }
    }

    fn choose(
        &mut self,
        head: &Head<'_>,
        now: Instant,
        random: u64,
    ) -> Result<(Call, Choice), Refusal> {
        let Some(snapshot) = &self.snapshot else {
            let detail = "the daemon has no configuration that is recent enough";
            return Err(Refusal::not_run(Reason::NotReady, detail));
        };
        let plan = snapshot.authenticate(head.key).ok_or_else(|| {
            Refusal::not_run(Reason::UnknownKey, "no plan has the key of this request")
        })?;
        let route = snapshot
            .route(plan, &head.service)
            .map_err(|e| route_refusal(e, plan.as_str(), &head.service))?;
        let home_region = snapshot.config().plans.get(plan).map(|p| &p.home_region);
        let call = Call {
            plan: plan.clone(),
            service: head.service.clone(),
            rank: route.grant.rank,
            capacity: route.grant.capacity,
            home_region: home_region.map_or_else(String::new, ToString::to_string),
            deadline: head.deadline,
            depth: head.depth,
            idempotent: head.idempotent,
            idempotency_key: head.idempotency_key.clone(),
            streamed: head.streamed,
        };
        let choice = self.balancer.pick(&route, now, random, &[]);
        let choice = choice.ok_or_else(|| no_server(&head.service))?;
        Ok((call, choice))
    }

    fn retry(
        &mut self,
        id: CallId,
        call: &Call,
        retry: &retry::Call,
        failure: Failure,
        now: Instant,
        random: u64,
    ) -> Effect {
        match retry::decide(&failure, retry, &mut self.budget, now, random) {
            Decision::GiveUp(reason) => Effect::GiveUp { id, reason },
            Decision::Retry {
                not_before,
                exclude,
            } => {
                // The grant may have gone since the first attempt.
                let route = self
                    .snapshot
                    .as_ref()
                    .and_then(|snapshot| snapshot.route(&call.plan, &call.service).ok());
                // A lost connection may have been at fault, so the only server is tried again.
                let choice = route.and_then(|route| {
                    let other = self.balancer.pick(&route, now, random, &exclude);
                    other.or_else(|| self.balancer.pick(&route, now, random, &[]))
                });
                match choice {
                    Some(choice) => Effect::Forward {
                        id,
                        call: Box::new(call.clone()),
                        choice,
                        not_before,
                    },
                    None => Effect::GiveUp {
                        id,
                        reason: GiveUp::Cause,
                    },
                }
            }
        }
    }

    fn record(&mut self, attempt: &Attempt<'_>, now: Instant) -> Vec<Effect> {
        let latency = now.saturating_duration_since(attempt.since);
        let change = self
            .balancer
            .outcome(attempt.choice, attempt.outcome, latency, now);
        change
            .map(|change| Effect::Standing {
                endpoint: Arc::clone(&attempt.choice.endpoint),
                change,
            })
            .into_iter()
            .collect()
    }

    fn want_slot(&mut self, id: CallId, call: &Call, now: Instant) -> Vec<Effect> {
        let served = self
            .server
            .as_ref()
            .is_some_and(|server| server.announcement.service == call.service);
        if !served {
            let refusal = no_server(&call.service);
            return vec![Effect::Refuse { id, refusal }];
        }
        let arriving = admission::Call {
            id,
            rank: call.rank,
            plan: &call.plan,
            weight: call.capacity,
            deadline: call.deadline,
        };
        slot_effects(self.admission.arrive(&arriving, now))
    }

    fn start_run(&mut self, id: CallId, fingerprint: Fingerprint, now: Instant) -> Effect {
        let Some(server) = &self.server else {
            let detail = "the backend server is no longer announced";
            let refusal = Refusal::not_run(Reason::NoServer, detail);
            return Effect::Refuse { id, refusal };
        };
        let name = &server.announcement.server;
        let refusal = match self.suspects.check(fingerprint, name) {
            Verdict::Free | Verdict::RunAsOnlySuspect => {
                let run = self.suspects.started(fingerprint, name);
                return Effect::Run { id, run };
            }
            Verdict::Busy => {
                let detail = "a request that may have crashed a backend server runs alone";
                let mut refusal = Refusal::not_run(Reason::SuspectBusy, detail);
                refusal.retry_at = Some(now + SUSPECT_PAUSE);
                refusal
            }
            Verdict::Condemned => Refusal::not_run(
                Reason::Condemned,
                format!(
                    "the request crashed two backend servers of {}",
                    server.announcement.service
                ),
            ),
        };
        Effect::Refuse { id, refusal }
    }

    fn server_crashed(&mut self, incarnation: u64, now: Instant) -> Vec<Effect> {
        let same = |server: &&OwnServer| server.announcement.incarnation == incarnation;
        let Some(server) = self.server.as_ref().filter(same) else {
            return Vec::new();
        };
        let name = server.announcement.server.clone();
        let mut effects = self.count_crash(&name, now);
        effects.extend(self.server_gone(incarnation, now));
        effects
    }

    fn count_crash(&mut self, server: &ServerName, now: Instant) -> Vec<Effect> {
        let crashes = self.suspects.crashed(server, now);
        let some = Some(crashes).filter(|crashes| !crashes.is_empty());
        some.map(Effect::Crashed).into_iter().collect()
    }

    fn announced(&mut self, announcement: &Announcement, now: Instant) -> Vec<Effect> {
        let lease_until = now + ANNOUNCE_LEASE;
        let before = self.server.replace(OwnServer {
            announcement: announcement.clone(),
            lease_until,
        });
        if before.as_ref().map(|server| &server.announcement) == Some(announcement) {
            return Vec::new();
        }
        let restarted = before
            .as_ref()
            .is_none_or(|server| server.announcement.incarnation != announcement.incarnation);
        let mut effects = slot_effects(self.admission.resize(announcement.slots, now));
        if restarted && before.is_some() {
            // It restarted before anybody saw it gone; runs of its last start are still kept.
            effects.extend(self.count_crash(&announcement.server, now));
        }
        if restarted && !self.draining {
            self.admission.cold_start(now);
        }
        if announcement.state == ServerState::Draining || self.draining {
            effects.extend(slot_effects(self.admission.drain(now)));
        }
        effects.push(Effect::Report);
        effects
    }

    fn server_gone(&mut self, incarnation: u64, now: Instant) -> Vec<Effect> {
        let same = |server: &OwnServer| server.announcement.incarnation == incarnation;
        if !self.server.as_ref().is_some_and(same) {
            return Vec::new();
        }
        self.server = None;
        let mut effects = slot_effects(self.admission.drain(now));
        effects.push(Effect::Report);
        effects
    }

    fn tick(&mut self, now: Instant) -> Vec<Effect> {
        let lapsed = |server: &OwnServer| server.lease_until <= now;
        if let Some(server) = self.server.as_ref().filter(|server| lapsed(server)) {
            let Announcement {
                server: name,
                service,
                incarnation,
                ..
            } = &server.announcement;
            log_event!(LogEvent::EndpointLapsed, server = name, service = service);
            let incarnation = *incarnation;
            return self.server_gone(incarnation, now);
        }
        self.suspects.expire(now);
        slot_effects(self.admission.tick(now))
    }
}
