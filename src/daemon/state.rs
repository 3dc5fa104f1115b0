//! Reducer over the calls of one daemon: as entry daemon it chooses a backend server, as owner
//! daemon it gives out the slots of its own backend server.

use {
    super::{
        decision::{no_server, route_refusal, slot_effects},
        event::{Attempt, CallId, Effect, Event, Head, Target},
    },
    crate::{
        admission::{self, Admission},
        announce::{Announcement, Beat},
        balance::{Balancer, Choice},
        call::{Call, is_repeatable},
        events::Event as LogEvent,
        log_event,
        model::{ServerName, ServerState, ServiceName},
        refusal::{Reason, Refusal},
        retry::{self, Budget, Decision, Failure, GiveUp},
        routes::{Route, Snapshot},
        split::Splits,
        suspects::{Fingerprint, Suspects, Verdict},
    },
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Wait after which a suspect may find its server without another suspect.
const SUSPECT_PAUSE: Duration = Duration::from_millis(200);

/// The announced backend server beside the daemon.
#[derive(Clone, Debug)]
pub struct OwnServer {
    /// What it announced last.
    pub announcement: Announcement,
    /// When the announcement lapses.
    pub lease_until: Instant,
    /// Sequence number of the announcement, if it has one.
    sequence: Option<u64>,
}

/// Services whose retries are counted; callers can only name granted ones.
const MAX_BUDGETS: usize = 4096;

/// One start of a backend server.
type Start = (ServerName, u64);

/// Starts of the own backend server that are remembered as over; announcements are late by seconds.
const MAX_RETIRED: usize = 32;

/// State of one daemon's calls.
#[derive(Debug)]
pub struct State {
    snapshot: Option<Arc<Snapshot>>,
    balancer: Balancer,
    budgets: HashMap<ServiceName, Budget>,
    server: Option<OwnServer>,
    admission: Admission,
    suspects: Suspects,
    splits: Splits,
    draining: bool,
    announce_lease: Duration,
    /// Starts that are over, whose late announcements are ignored.
    retired: VecDeque<Start>,
}

impl State {
    /// A daemon without configuration and backend server; `announce_lease` is the time for which
    /// an announcement is valid.
    pub fn new(announce_lease: Duration) -> Self {
        Self {
            snapshot: None,
            balancer: Balancer::default(),
            budgets: HashMap::new(),
            server: None,
            admission: Admission::new(0),
            suspects: Suspects::default(),
            splits: Splits::default(),
            draining: false,
            announce_lease,
            retired: VecDeque::new(),
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
            Event::Late { id, call, tried } => vec![self.hedge(id, call, tried, now, random)],
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
            Event::Announced(announcement, beat) => self.announced(announcement, beat, now),
            Event::Left {
                server,
                incarnation,
            } => self.left(server, incarnation, now),
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
                self.budget_of(&call.service, now).count_call(now);
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
        let snapshot = Arc::clone(snapshot);
        let route = self.find_route(&snapshot, head, random)?;
        let grant = route.grant;
        let home_region = snapshot.config().plans.get(&grant.plan);
        let work = grant.terms.work;
        let timeout = grant.terms.timeout_ms.map(Duration::from_millis);
        let choice = self.balancer.pick(&route, now, random, &[]);
        let choice = choice.ok_or_else(|| no_server(&grant.service))?;
        let call = Call {
            plan: grant.plan.clone(),
            service: grant.service.clone(),
            rank: grant.rank,
            capacity: grant.capacity,
            home_region: home_region.map_or_else(String::new, |plan| plan.home_region.to_string()),
            deadline: timeout.map_or(head.deadline, |timeout| head.deadline.min(now + timeout)),
            depth: head.depth,
            path: grant.path.clone(),
            work,
            attempts: grant.terms.attempts.unwrap_or(retry::MAX_ATTEMPTS),
            target_ms: grant.terms.target_ms,
            server: Some(choice.endpoint.server.clone()),
            idempotent: is_repeatable(work, head.method),
            idempotency_key: match work {
                Some(_) => None,
                None => head.idempotency_key.clone()?,
            },
            streamed: head.streamed,
        };
        Ok((call, choice))
    }

    fn find_route<'a>(
        &mut self,
        snapshot: &'a Snapshot,
        head: &Head<'_>,
        random: u64,
    ) -> Result<Route<'a>, Refusal> {
        match &head.target {
            Target::Service { key, service } => {
                let plan = snapshot.authenticate(key).ok_or_else(|| {
                    Refusal::not_run(Reason::UnknownKey, "no plan has the key of this request")
                })?;
                let route = snapshot.route_to(plan, service, head.path);
                route.map_err(|e| route_refusal(e, plan.as_str(), service))
            }
            Target::Plan(plan) => {
                let grants = snapshot.grants_at(plan, head.path);
                let Some(grant) = self.splits.choose(&grants, random) else {
                    let detail = format!("plan {plan} has no grant for path {}", head.path);
                    return Err(Refusal::not_run(Reason::NoGrant, detail));
                };
                let route = snapshot.route_of(grant);
                route.map_err(|e| route_refusal(e, plan, &grant.service))
            }
        }
    }

    /// Budget of the retries to one service: a service that fails must not use up the others'.
    fn budget_of(&mut self, service: &ServiceName, now: Instant) -> &mut Budget {
        if !self.budgets.contains_key(service) && self.budgets.len() >= MAX_BUDGETS {
            self.budgets.clear();
        }
        let budget = self.budgets.entry(service.clone());
        budget.or_insert_with(|| Budget::new(now))
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
        let mut retry = retry.clone();
        retry.elsewhere = self.takes_elsewhere(call, &retry.tried, now);
        match retry::decide(
            &failure,
            &retry,
            self.budget_of(&call.service, now),
            now,
            random,
        ) {
            Decision::GiveUp(reason) => Effect::GiveUp { id, reason },
            Decision::Retry {
                not_before,
                exclude,
            } => {
                // The grant may have gone since the first attempt.
                let route = self.snapshot.as_ref().and_then(|snapshot| {
                    let (plan, path) = (&call.plan, call.path.as_str());
                    snapshot.route_to(plan, &call.service, path).ok()
                });
                // A lost connection may have been at fault, so the only server is tried again.
                let choice = route.and_then(|route| {
                    let other = self.balancer.pick(&route, now, random, &exclude);
                    other.or_else(|| self.balancer.pick(&route, now, random, &[]))
                });
                match choice {
                    Some(choice) => Effect::Forward {
                        id,
                        call: Box::new(Call {
                            server: Some(choice.endpoint.server.clone()),
                            ..call.clone()
                        }),
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

    /// Whether a server that was not tried is expected to take the call at once.
    fn takes_elsewhere(&self, call: &Call, tried: &[ServerName], now: Instant) -> bool {
        let route = self.snapshot.as_ref().and_then(|snapshot| {
            let (plan, path) = (&call.plan, call.path.as_str());
            snapshot.route_to(plan, &call.service, path).ok()
        });
        route.is_some_and(|route| {
            self.balancer
                .has_usable(route.candidates, call.rank, tried, now)
        })
    }

    /// Chooses a second server for a call whose answer is late.
    fn hedge(
        &mut self,
        id: CallId,
        call: &Call,
        tried: &[ServerName],
        now: Instant,
        random: u64,
    ) -> Effect {
        let give_up = |reason| Effect::GiveUp { id, reason };
        if !self.budget_of(&call.service, now).take_spare(now) {
            return give_up(GiveUp::Budget);
        }
        let route = self.snapshot.as_ref().and_then(|snapshot| {
            let (plan, path) = (&call.plan, call.path.as_str());
            snapshot.route_to(plan, &call.service, path).ok()
        });
        let choice = route.and_then(|route| self.balancer.pick(&route, now, random, tried));
        let Some(choice) = choice else {
            return give_up(GiveUp::Cause);
        };
        let server = Some(choice.endpoint.server.clone());
        Effect::Forward {
            id,
            call: Box::new(Call {
                server,
                ..call.clone()
            }),
            choice,
            not_before: now,
        }
    }

    fn record(&mut self, attempt: &Attempt<'_>, now: Instant) -> Vec<Effect> {
        let latency = now.saturating_duration_since(attempt.since);
        if let Some(load) = &attempt.load {
            let endpoint = &attempt.choice.endpoint;
            self.balancer.report(endpoint, load, now);
        }
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
        let served = self.server.as_ref().is_some_and(|server| {
            let announced = &server.announcement;
            let expected = call.server.as_ref();
            announced.service == call.service
                && expected.is_none_or(|expected| *expected == announced.server)
        });
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

    /// Whether a newer announcement was heard, or the start of the server is over.
    fn is_late(&self, announcement: &Announcement, beat: Beat) -> bool {
        let Some(sequence) = beat.sequence else {
            return false;
        };
        let start = (announcement.server.clone(), announcement.incarnation);
        if self.retired.contains(&start) {
            return true;
        }
        self.server.as_ref().is_some_and(|held| {
            let known = &held.announcement;
            let same = known.server == announcement.server;
            if same && known.incarnation == announcement.incarnation {
                return Some(sequence) <= held.sequence;
            }
            announcement.incarnation < known.incarnation
        })
    }

    fn retire(&mut self, announcement: &Announcement) {
        if self.retired.len() >= MAX_RETIRED {
            self.retired.pop_front();
        }
        let start = (announcement.server.clone(), announcement.incarnation);
        self.retired.push_back(start);
    }

    fn left(&mut self, name: &str, incarnation: Option<u64>, now: Instant) -> Vec<Effect> {
        let Some(server) = &mut self.server else {
            return Vec::new();
        };
        let announcement = &mut server.announcement;
        let same = incarnation.is_none_or(|start| start == announcement.incarnation);
        if announcement.server.as_str() != name || !same {
            return Vec::new();
        }
        announcement.state = ServerState::Draining;
        let left = announcement.clone();
        self.retire(&left);
        let mut effects = slot_effects(self.admission.drain(now));
        effects.push(Effect::Report);
        effects
    }

    fn announced(&mut self, announcement: &Announcement, beat: Beat, now: Instant) -> Vec<Effect> {
        if self.is_late(announcement, beat) {
            return Vec::new();
        }
        let mut announcement = announcement.clone();
        if let Some(held) = &self.server {
            let known = &held.announcement;
            let same = known.server == announcement.server
                && known.incarnation == announcement.incarnation;
            if same && known.state == ServerState::Draining && beat.sequence.is_some() {
                // Daemons have acted on it, so one start never takes it back.
                announcement.state = ServerState::Draining;
            }
        }
        let lease_until = now + self.announce_lease;
        let before = self.server.replace(OwnServer {
            announcement: announcement.clone(),
            lease_until,
            sequence: beat.sequence,
        });
        if before.as_ref().map(|server| &server.announcement) == Some(&announcement) {
            return Vec::new();
        }
        if let Some(before) = &before
            && (&before.announcement.server, before.announcement.incarnation)
                != (&announcement.server, announcement.incarnation)
        {
            self.retire(&before.announcement);
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
            match beat.cold {
                // It takes all of its slots when it says that it is slow.
                Some(_) => self.admission.reopen(),
                None => self.admission.cold_start(now),
            }
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
