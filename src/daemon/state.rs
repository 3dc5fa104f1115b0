//! Reducer over the calls of one daemon: as entry daemon it chooses backend servers, as owner
//! daemon it admits calls to the slots of its own backend server.

mod incarnations;
mod own_server;
mod paced;
mod routing;
mod shed;
mod speed;
#[cfg(test)]
mod tests;
mod versions;

pub use speed::route_of;

use {
    super::{
        decision::{no_server_refusal, slot_effects},
        event::{Attempt, CallId, Effect, Event, RequestHead},
        intake,
    },
    crate::{
        accounts::Accounts,
        admission::{self, Admission, speed::ServerSpeed},
        announce::Announcement,
        balance::{Balancer, MAX_REFUSED_PERCENT, Shedding},
        call::Call,
        events::Event as LogEvent,
        log_event,
        model::{Config, ServiceName, UNLIMITED, Work},
        retry::{Budget, ReturningCallers},
        rollouts::{Exposure, VersionTag},
        routes::Snapshot,
        runs::Runs,
        settings::{PaceMode, ServerSpeedMode},
        split::TrafficSplits,
        suspects::Suspects,
    },
    incarnations::Incarnations,
    own_server::Recovery,
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// The backend server beside the daemon, as announced.
#[derive(Clone, Debug)]
pub struct OwnServer {
    /// Latest announcement.
    pub announcement: Announcement,
    /// Time at which the lease of the announcement ends.
    pub lease_until: Instant,
    /// Version of its software; `None` if it does not report it.
    pub version: Option<VersionTag>,
}

/// State of the reducer of one daemon.
#[derive(Debug)]
pub struct State {
    snapshot: Option<Arc<Snapshot>>,
    balancer: Balancer,
    budgets: HashMap<ServiceName, Budget>,
    returning: ReturningCallers,
    /// Calls that the backend servers of each service refuse.
    shedding: HashMap<ServiceName, Shedding>,
    /// Percentage of the arrivals for a service that its servers may refuse before calls are rejected.
    max_refused_percent: u32,
    /// Runs on the own backend server, under a version with grants of the kind download.
    runs: Runs,
    server: Option<OwnServer>,
    admission: Admission,
    /// Admission of the transfers of large bodies from other daemons.
    intake: Admission,
    /// Speed of the own backend server, as far as `speed_mode` asks for it.
    speed: ServerSpeed,
    speed_mode: ServerSpeedMode,
    logged_speed_changes: u64,
    suspects: Suspects,
    splits: TrafficSplits,
    exposure: Exposure,
    /// Whether the version in force has grants of the kind download.
    has_downloads: bool,
    pace_mode: PaceMode,
    draining: bool,
    /// Time by which calls must be answered, before a shutdown closes their connections.
    answer_by: Option<Instant>,
    announce_lease: Duration,
    /// Latest starts of backend servers, whose delayed announcements are ignored.
    incarnations: Incarnations,
    /// What a daemon that has just started waits for; `None` afterwards.
    recovery: Option<Recovery>,
    /// Accounts of the version in force; `None` if it has none.
    accounts: Option<Arc<Accounts>>,
    /// Reads the accounts of a configuration.
    read_accounts: fn(&Config) -> Option<Accounts>,
}

impl State {
    /// Creates the state of a daemon without configuration and backend server; an announcement is
    /// valid for `announce_lease`.
    pub fn new(announce_lease: Duration) -> Self {
        Self {
            snapshot: None,
            balancer: Balancer::default(),
            budgets: HashMap::new(),
            returning: ReturningCallers::default(),
            shedding: HashMap::new(),
            max_refused_percent: MAX_REFUSED_PERCENT,
            runs: Runs::default(),
            server: None,
            admission: Admission::new(0),
            intake: Admission::new(intake::MAX_TRANSFERS),
            speed: ServerSpeed::default(),
            speed_mode: ServerSpeedMode::default(),
            logged_speed_changes: 0,
            suspects: Suspects::default(),
            splits: TrafficSplits::default(),
            exposure: Exposure::default(),
            has_downloads: false,
            pace_mode: PaceMode::Ramp,
            draining: false,
            answer_by: None,
            announce_lease,
            incarnations: Incarnations::default(),
            recovery: None,
            accounts: None,
            read_accounts: |_| None,
        }
    }

    /// Sets the function that reads the accounts of a configuration.
    #[must_use]
    pub fn reading_accounts(mut self, read: fn(&Config) -> Option<Accounts>) -> Self {
        self.read_accounts = read;
        self
    }

    /// Returns the accounts of the version in force; `None` if it has none.
    pub const fn accounts(&self) -> Option<&Arc<Accounts>> {
        self.accounts.as_ref()
    }

    /// Lets the daemon wait for the record that it wrote in its run before, until `until` at most,
    /// before a backend server is used.
    #[must_use]
    pub fn recovering_until(mut self, until: Instant) -> Self {
        self.recovery = Some(Recovery {
            until,
            synchronized: false,
            held: None,
        });
        self
    }

    /// Lets the daemon tell the versions of backend servers apart if `enabled`.
    #[must_use]
    pub fn with_versions(mut self, enabled: bool) -> Self {
        self.exposure = Exposure::new(enabled);
        self
    }

    /// Sets the percentage of the arrivals for a service that its backend servers may refuse before calls
    /// are rejected.
    #[must_use]
    pub const fn with_max_refused_percent(mut self, percent: u32) -> Self {
        self.max_refused_percent = percent;
        self
    }

    /// Returns the routes in force; `None` until the first version is applied.
    pub const fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// Returns the own backend server; `None` while it is not announced.
    pub const fn server(&self) -> Option<&OwnServer> {
        self.server.as_ref()
    }

    /// Returns the admission control of the own backend server: its slots, queue and limits.
    pub const fn admission(&self) -> &Admission {
        &self.admission
    }

    /// Returns the admission control of the transfers of large bodies.
    pub const fn intake(&self) -> &Admission {
        &self.intake
    }

    /// Returns whether the version in force has grants of the kind download.
    pub const fn has_downloads(&self) -> bool {
        self.has_downloads
    }

    /// Returns the load balancer over the backend servers.
    pub const fn balancer(&self) -> &Balancer {
        &self.balancer
    }

    /// Returns the requests that are suspected of crashing backend servers.
    pub const fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Returns whether the daemon is shutting down.
    pub const fn is_draining(&self) -> bool {
        self.draining
    }

    /// Handles one event and returns the effects to execute; `random` is a fresh random number.
    pub fn handle(&mut self, event: Event<'_>, now: Instant, random: u64) -> Vec<Effect> {
        let effects = self.reduce(event, now, random);
        self.track_runs(&effects, now);
        effects
    }

    fn reduce(&mut self, event: Event<'_>, now: Instant, random: u64) -> Vec<Effect> {
        match event {
            Event::Arrived { id, head } => vec![self.route_call(id, head, now, random)],
            Event::CallSent { call } => {
                self.count_sent(call, now);
                Vec::new()
            }
            Event::AttemptEnded(attempt) => self.record_attempt(&attempt, now),
            Event::Failed {
                id,
                call,
                retry,
                attempt,
                failure,
            } => {
                let mut effects = self.record_attempt(&attempt, now);
                effects.push(self.next_attempt(id, call, retry, failure, now, random));
                effects
            }
            Event::HedgeDue { id, call, tried } => vec![self.hedge(id, call, tried, now, random)],
            Event::SlotRequested { id, call } => self.request_slot(id, call, now, random),
            Event::ServerReplied { id, route, reply } => {
                self.record_reply(id, route, reply, now);
                slot_effects(self.admission.replied(id, reply, now))
            }
            Event::InnerCallStarted => {
                self.speed.inner_started(now);
                Vec::new()
            }
            Event::InnerCallEnded => {
                self.speed.inner_ended(now);
                Vec::new()
            }
            Event::SlotDone { id, outcome } => {
                self.speed.ended(id, now);
                self.runs.ended(id);
                slot_effects(self.admission.finish(id, outcome, now))
            }
            Event::SlotCancelled { id } => {
                self.speed.ended(id, now);
                self.runs.ended(id);
                slot_effects(self.admission.cancel(id, now))
            }
            Event::TransferRequested { id, call } => self.request_transfer(id, call, now),
            Event::TransferEnded { id, outcome } => {
                slot_effects(self.intake.finish(id, outcome, now))
            }
            Event::TransferCancelled { id } => slot_effects(self.intake.cancel(id, now)),
            Event::RunRequested { id, fingerprint } => vec![self.start_run(id, fingerprint, now)],
            Event::RunEnded { run, outcome } => {
                let cleared = self.suspects.end_run(run, outcome, now);
                cleared
                    .then_some(Effect::SuspectCleared)
                    .into_iter()
                    .collect()
            }
            Event::ServerCrashed { incarnation } => self.server_crashed(incarnation, now),
            Event::SuspectsReported(report) => {
                self.suspects.merge(report, now);
                Vec::new()
            }
            Event::Announced(announcement, heartbeat) => {
                self.announced(announcement, heartbeat, now)
            }
            Event::Synchronized(former) => self.synchronized(former, now),
            Event::ServerLeaving {
                server,
                incarnation,
                unix_ms,
            } => self.server_leaving(server, incarnation, unix_ms, now),
            Event::ServerUnreachable { incarnation } => self.remove_server(incarnation, now),
            Event::RoutesChanged(snapshot) => {
                self.set_snapshot(snapshot, now);
                Vec::new()
            }
            Event::RulesReceived { rules, lease_until } => {
                match rules {
                    Some(rules) => self.exposure.set_rules(rules.clone(), lease_until),
                    None => self.exposure.renew(lease_until),
                }
                Vec::new()
            }
            Event::Drain { answer_by } => {
                self.draining = true;
                self.answer_by = Some(answer_by);
                let mut effects = self.refuse_waiting(now);
                effects.push(Effect::ReportEndpoint);
                effects
            }
            Event::Tick => self.tick(now),
        }
    }

    fn set_snapshot(&mut self, snapshot: Arc<Snapshot>, now: Instant) {
        let current = self
            .snapshot
            .as_ref()
            .map(|current| current.config().version);
        if current > Some(snapshot.config().version) {
            return;
        }
        if current != Some(snapshot.config().version) {
            self.accounts = (self.read_accounts)(snapshot.config()).map(Arc::new);
            let mut grants = snapshot.config().grants.values();
            self.has_downloads = grants.any(|grant| grant.terms.work == Some(Work::Download));
            self.follow_pace_mode(now);
        }
        self.balancer.set_measured(self.measures_speed());
        self.balancer.sync(&snapshot, now);
        self.snapshot = Some(snapshot);
    }

    fn route_call(
        &mut self,
        id: CallId,
        head: &RequestHead<'_>,
        now: Instant,
        random: u64,
    ) -> Effect {
        match self.choose_server(head, now, random) {
            Ok((call, choice)) => {
                let late_body = self.refuse_late_body(&call, &choice, now);
                let late = late_body.or_else(|| self.refuse_late_download(&call, &choice, now));
                let refused = late.or_else(|| self.refuse_shed(&call, &choice, now, random));
                self.count_arrival(&call, refused.is_some(), now);
                if let Some(refusal) = refused {
                    return Effect::Refuse { id, refusal };
                }
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

    fn record_attempt(&mut self, attempt: &Attempt<'_>, now: Instant) -> Vec<Effect> {
        let latency = now.saturating_duration_since(attempt.start);
        if let Some(load) = &attempt.load {
            let endpoint = &attempt.choice.endpoint;
            self.balancer.record_load(endpoint, load, now);
            if let Some(report) = &load.speed {
                self.balancer.record_speed(attempt.choice, report, now);
            }
        }
        self.count_response(attempt, latency);
        let change = self
            .balancer
            .record_outcome(attempt.choice, attempt.outcome, latency, now);
        change
            .map(|change| Effect::ServerHealthChanged {
                endpoint: Arc::clone(&attempt.choice.endpoint),
                change,
            })
            .into_iter()
            .collect()
    }

    fn request_slot(&mut self, id: CallId, call: &Call, now: Instant, random: u64) -> Vec<Effect> {
        if !self.serves(call) {
            let refusal = no_server_refusal(&call.service);
            return vec![Effect::Refuse { id, refusal }];
        }
        if let Some(refusal) = self.refuse_for_inner_calls(call, now, random) {
            return vec![Effect::Refuse { id, refusal }];
        }
        self.add_run(id, call);
        slot_effects(self.admission.arrive(&self.arrival(id, call, now), now))
    }

    /// Decides when the large body of a call is received. The call is refused first if the own backend
    /// server cannot run it, or not in the time that is left after the transfer.
    fn request_transfer(&mut self, id: CallId, call: &Call, now: Instant) -> Vec<Effect> {
        if !self.serves(call) {
            let refusal = no_server_refusal(&call.service);
            return vec![Effect::Refuse { id, refusal }];
        }
        let queued = self.arrival(id, call, now);
        let run_time = self.run_time(call);
        let before_run = |at: Instant| at.checked_sub(run_time).unwrap_or(at);
        let arriving = admission::Call {
            deadline: before_run(intake::transfer_deadline(call)),
            soft_deadline: call.soft_deadline.map(before_run),
            ..queued
        };
        slot_effects(self.intake.arrive(&arriving, now))
    }

    /// Returns the expected service time of a call; zero before the first one of its kind.
    pub fn run_time(&self, call: &Call) -> Duration {
        let account = call.account.as_ref();
        let plan = account.map_or(&call.plan, |account| &account.plan);
        self.admission.service_time(call.rank, plan)
    }

    /// Returns the call as the queue of the slots sees it. Slot time is shared between accounts in
    /// proportion to their limits, and else between plans. The calls without an account, which backend
    /// servers make for the accounts, weigh as much as all accounts.
    fn arrival<'a>(&self, id: CallId, call: &'a Call, now: Instant) -> admission::Call<'a> {
        let account = call.account.as_ref();
        let accounts = self
            .accounts
            .as_ref()
            .filter(|_| call.capacity == UNLIMITED);
        let weight = accounts.map_or(call.capacity, |accounts| accounts.total_weight());
        admission::Call {
            id,
            rank: call.rank,
            plan: account.map_or(&call.plan, |account| &account.plan),
            weight: account.map_or(weight, |account| account.weight),
            deadline: self.slot_deadline(call, now),
            soft_deadline: call.soft_deadline,
            late_start: self.late_start(call),
            inner: call.inner,
        }
    }

    /// Returns the time by which a call must have started if it is late; `None` under a configuration
    /// without routes of the kind download, where it may wait as long as its deadline allows, and for
    /// inner calls, whose callers fail without an answer.
    fn late_start(&self, call: &Call) -> Option<Instant> {
        let soft_deadline = call
            .soft_deadline
            .filter(|_| self.has_downloads && !call.inner)?;
        Some(admission::late_start(soft_deadline, call.deadline))
    }

    /// Returns whether the own backend server is the one that the call is meant for.
    fn serves(&self, call: &Call) -> bool {
        self.server.as_ref().is_some_and(|server| {
            let announced = &server.announcement;
            let expected = call.server.as_ref();
            announced.service == call.service
                && expected.is_none_or(|expected| *expected == announced.server)
        })
    }

    /// Refuses all calls that wait for a slot or a transfer, and all later ones.
    fn refuse_waiting(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = slot_effects(self.admission.drain(now));
        effects.extend(slot_effects(self.intake.drain(now)));
        effects
    }

    fn tick(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = self.end_recovery(now);
        effects.extend(self.expire(now));
        self.log_pace(now);
        self.log_speed();
        effects
    }

    fn expire(&mut self, now: Instant) -> Vec<Effect> {
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
            return self.remove_server(incarnation, now);
        }
        self.suspects.expire(now);
        let mut effects = slot_effects(self.admission.tick(now));
        effects.extend(slot_effects(self.intake.tick(now)));
        effects
    }
}
