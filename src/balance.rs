//! Load balancing: choice of a backend server among the candidates of a route.
//!
//! Every pick must be followed by exactly one `record_outcome` with the returned choice. The state
//! is local to the daemon and derived from the outcomes of its own calls; a load that a server
//! reports about itself only lowers that server's share, by a bounded factor.

use {
    crate::{
        load::Load,
        model::{Endpoint, Rank, ServerName, ServiceName},
        routes::{Candidates, Distance, Snapshot},
    },
    draw::Scored,
    health::Health,
    indexmap::{IndexMap, IndexSet},
    pick::Tier,
    speed::UsualTimes,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    strum::Display,
};

mod draw;
mod health;
mod link;
mod paced;
mod pick;
mod shedding;
mod speed;
#[cfg(test)]
mod tests;

pub use {
    pick::{CallProfile, PROBE_SHARE},
    shedding::{MAX_REFUSED_PERCENT, Shedding, return_at},
};

/// Time after the first snapshot in which new servers are assumed to have started before the
/// daemon. Other daemons may have restarted at the same time and then announce their servers one by
/// one.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);

/// Result of a call, as evidence about the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered.
    Succeeded,
    /// The server answered with a fault, closed the connection or exceeded the deadline.
    Failed,
    /// The connection could not be established; the call has not run.
    Unreachable,
    /// The owner daemon refused the call because the server is full; the call has not run.
    Overloaded {
        /// Time for which calls of this rank should go to other servers.
        retry_after: Duration,
    },
    /// The result says nothing about the server, such as a cancelled call.
    Neutral,
}

/// The backend server chosen for one call.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The endpoint to call.
    pub endpoint: Arc<Endpoint>,
    /// Distance of the endpoint from this daemon.
    pub distance: Distance,
    /// Rank of the call.
    pub rank: Rank,
    /// Whether the server is ejected and this call is a probe.
    pub probe: bool,
    /// Hash of the route of the call, under which the responses of a rollout are counted.
    pub route: u32,
}

/// Ejection or readmission of a server, to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The server gets no calls until a deadline, then only probes.
    Ejected {
        /// Time at which probing starts.
        until: Instant,
        /// Reason for the ejection.
        cause: Cause,
    },
    /// Probes succeeded; the server gets calls again, with slow start.
    Readmitted,
}

/// Why a server was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// Its failure rate is much higher than that of its peers, or it is unreachable.
    Failing,
    /// Its latency is much higher than that of its peers.
    Slow,
    /// A probe failed or was slow.
    ProbeFailed,
}

/// Load balancer of a daemon, with outlier detection and slow start.
///
/// ```
/// use anvilbeam::{balance::{Balancer, CallProfile}, model::{DataCentre, Region}, routes::{Candidates, Location}};
/// use anvilbeam::model::Rank;
/// let here = Location { data_centre: DataCentre::from("a1"), region: Region::from("a") };
/// let none = Candidates::new(&here, &[]);
/// let mut balancer = Balancer::default();
/// let choice = balancer.pick_from(&none, CallProfile::small(Rank::Normal), std::time::Instant::now(), 7, &[]);
/// assert!(choice.is_none());
/// ```
#[derive(Debug, Default)]
pub struct Balancer {
    servers: IndexMap<ServerName, Health>,
    servers_by_service: IndexMap<ServiceName, IndexSet<ServerName>>,
    /// End of [`DISCOVERY_TIME`]; `None` before the first snapshot.
    discovery_until: Option<Instant>,
    /// Whether the reported pace of a server replaces the slow start by time.
    paced: bool,
    /// Whether servers are chosen by measured speed.
    measured: bool,
    usual_times: UsualTimes,
    /// Buffers reused by each pick: candidates of the draw, and indices of servers to probe.
    scored: Vec<Scored>,
    probing: Vec<usize>,
}

impl Balancer {
    /// Weighs servers that started or were readmitted by the pace that they report, instead of by
    /// the time since then. Must be called before servers are added.
    #[must_use]
    pub const fn with_pace(mut self, paced: bool) -> Self {
        self.paced = paced;
        self
    }

    /// Changes that for servers that are known, too.
    pub fn set_paced(&mut self, paced: bool, now: Instant) {
        self.paced = paced;
        for health in self.servers.values_mut() {
            health.set_paced(paced, now);
        }
    }

    /// Updates the servers of all services to those announced in `snapshot`. After a change of one
    /// service's endpoints, `sync_service` is enough.
    ///
    /// Servers that appear soon after the first snapshot are assumed to have started before the
    /// daemon and get no slow start.
    pub fn sync(&mut self, snapshot: &Snapshot, now: Instant) {
        let discovery_until = *self.discovery_until.get_or_insert(now + DISCOVERY_TIME);
        let ramp_start = (now >= discovery_until).then_some(now);
        let gone = |name: &&ServiceName| snapshot.endpoints(name).is_empty();
        let gone: Vec<_> = self
            .servers_by_service
            .keys()
            .filter(gone)
            .cloned()
            .collect();
        for service in gone {
            self.update_service(&service, &[], ramp_start, now);
        }
        for (service, endpoints) in snapshot.services() {
            self.update_service(service, endpoints, ramp_start, now);
        }
    }

    /// Updates the servers of one service to those announced.
    ///
    /// A server that is new or has a new incarnation begins a slow start; one that is no longer
    /// announced is removed.
    pub fn sync_service(
        &mut self,
        service: &ServiceName,
        endpoints: &[Arc<Endpoint>],
        now: Instant,
    ) {
        self.update_service(service, endpoints, Some(now), now);
    }

    fn update_service(
        &mut self,
        service: &ServiceName,
        endpoints: &[Arc<Endpoint>],
        ramp_start: Option<Instant>,
        now: Instant,
    ) {
        let announced: IndexSet<_> = endpoints.iter().map(|e| e.server.clone()).collect();
        let previous = self
            .servers_by_service
            .swap_remove(service)
            .unwrap_or_default();
        for server in previous.difference(&announced) {
            self.servers.swap_remove(server);
        }
        let paced = self.paced;
        for endpoint in endpoints {
            let entry = self.servers.entry(endpoint.server.clone());
            let health = entry.or_insert_with(|| Health::new(endpoint, ramp_start, paced, now));
            health.apply_announcement(endpoint, now);
        }
        if !announced.is_empty() {
            self.servers_by_service.insert(service.clone(), announced);
            self.enforce_ejection_limit(service);
        }
    }

    /// Readmits servers while more than half of a service is ejected, those with the earliest
    /// deadline first.
    fn enforce_ejection_limit(&mut self, service: &ServiceName) {
        let members = &self.servers_by_service[service];
        while self.ejected_count(service) * 2 > members.len() {
            let ejected = members.iter().filter_map(|server| {
                let until = self.servers.get(server)?.ejected_until()?;
                Some((until, server))
            });
            let Some((_, server)) = ejected.min() else {
                return;
            };
            if let Some(health) = self.servers.get_mut(server) {
                health.end_ejection();
            }
        }
    }

    /// Records the outcome and latency of the call made with `choice`.
    ///
    /// An outcome of an earlier incarnation is ignored. Returns an ejection or readmission that
    /// follows.
    pub fn record_outcome(
        &mut self,
        choice: &Choice,
        outcome: Outcome,
        latency: Duration,
        now: Instant,
    ) -> Option<Change> {
        let endpoint = &choice.endpoint;
        let health = self.servers.get_mut(&endpoint.server)?;
        if !health.call_finished(endpoint.incarnation) {
            return None;
        }
        match outcome {
            Outcome::Neutral => return None,
            Outcome::Overloaded { retry_after } => {
                health.record_refusal(choice.rank, retry_after, now);
                return None;
            }
            Outcome::Succeeded => health.record(true, latency, now),
            Outcome::Failed | Outcome::Unreachable => health.record(false, latency, now),
        }
        let failed = outcome != Outcome::Succeeded;
        if choice.probe {
            return self.evaluate_probe(endpoint, failed, latency, now);
        }
        let unreachable = outcome == Outcome::Unreachable;
        self.check_outlier(endpoint, failed, unreachable, now)
    }

    /// Ejects a server whose failure rate or latency is an outlier among its peers, unless more
    /// than half of the service would be ejected.
    fn check_outlier(
        &mut self,
        endpoint: &Endpoint,
        failed: bool,
        unreachable: bool,
        now: Instant,
    ) -> Option<Change> {
        let health = self.servers.get(&endpoint.server)?;
        if health.ejected_until().is_some() || !health.needs_peer_comparison(failed) {
            return None;
        }
        let peer_stats = self.peer_stats(endpoint);
        // An unreachable server needs no comparison: its peers don't share the cause.
        let unreachable_streak = unreachable && health.has_failure_streak();
        let cause = if unreachable_streak || failed && health.is_failure_outlier(&peer_stats) {
            Cause::Failing
        } else if peer_stats.is_latency_outlier(health.latency())
            && !self.is_known_as_fast(&endpoint.server, now)
        {
            Cause::Slow
        } else {
            return None;
        };
        let service = &endpoint.service;
        if (self.ejected_count(service) + 1) * 2 > self.servers_by_service.get(service)?.len() {
            return None;
        }
        let until = self.servers.get_mut(&endpoint.server)?.eject(now);
        Some(Change::Ejected { until, cause })
    }

    /// Ejects a server again after a failed or slow probe; readmits it after enough good ones.
    fn evaluate_probe(
        &mut self,
        endpoint: &Endpoint,
        failed: bool,
        latency: Duration,
        now: Instant,
    ) -> Option<Change> {
        let peer_stats = self.peer_stats(endpoint);
        let health = self.servers.get_mut(&endpoint.server)?;
        health.ejected_until()?;
        if failed || peer_stats.is_latency_outlier(Some(latency.as_secs_f64())) {
            let until = health.eject(now);
            let cause = Cause::ProbeFailed;
            return Some(Change::Ejected { until, cause });
        }
        health.probe_succeeded(now).then_some(Change::Readmitted)
    }

    /// Returns the failure rate and latency of the other servers of the service.
    fn peer_stats(&self, endpoint: &Endpoint) -> health::PeerStats {
        let members = self
            .servers_by_service
            .get(&endpoint.service)
            .into_iter()
            .flatten();
        let others = members.filter(|server| **server != endpoint.server);
        health::PeerStats::new(others.filter_map(|server| self.servers.get(server)))
    }

    /// Returns whether a candidate not in `exclude` is neither ejected nor full nor refusing calls
    /// of this profile.
    pub fn has_usable(
        &self,
        candidates: &Candidates,
        profile: CallProfile,
        exclude: &[ServerName],
        now: Instant,
    ) -> bool {
        candidates.all().iter().any(|endpoint| {
            let health = self.servers.get(&endpoint.server);
            !exclude.contains(&endpoint.server)
                && health.is_some_and(|health| profile.tier(health, now) == Tier::Usable)
        })
    }

    /// Returns the lower quartile of the servers' latencies to this daemon; `None` without samples.
    pub fn typical_latency(&self, service: &ServiceName) -> Option<Duration> {
        let members = self.servers_by_service.get(service).into_iter().flatten();
        let members = members.filter_map(|server| self.servers.get(server));
        health::PeerStats::new(members).latency()
    }

    /// Records the load that the owner daemon of a server reported with an answer.
    pub fn record_load(&mut self, endpoint: &Endpoint, load: &Load, now: Instant) {
        if let Some(health) = self.servers.get_mut(&endpoint.server) {
            health.record_load(endpoint.incarnation, load, now);
        }
    }

    /// Records a server's own report of its load, from 0 to 1, as a hint that is valid for 3 s.
    pub fn record_load_hint(&mut self, server: &ServerName, load: f64, now: Instant) {
        if let Some(health) = self.servers.get_mut(server) {
            health.record_hint(load, now);
        }
    }

    /// Returns the number of servers of `service` that are ejected, including those being probed.
    pub fn ejected_count(&self, service: &ServiceName) -> usize {
        let members = self.servers_by_service.get(service).into_iter().flatten();
        let ejected = |server: &&ServerName| {
            let health = self.servers.get(*server);
            health.is_some_and(|health| health.ejected_until().is_some())
        };
        members.filter(ejected).count()
    }

    /// Returns the deadline after which `server` is probed; `None` if it is not ejected.
    pub fn ejected_until(&self, server: &ServerName) -> Option<Instant> {
        self.servers.get(server)?.ejected_until()
    }

    /// Returns when a large body sent to `server` is expected to be answered, according to the
    /// reports of its owner daemon; `None` if its link is not known to be in use.
    pub fn bulk_answer_at(&self, server: &ServerName, now: Instant) -> Option<Instant> {
        let health = self.servers.get(server)?;
        let wait = health.body_wait(now);
        let expected = wait + health.service_time(now).unwrap_or_default();
        (wait > 0.0).then(|| now + Duration::from_secs_f64(expected))
    }

    /// Returns the number of this daemon's outstanding calls on `server`.
    pub fn outstanding(&self, server: &ServerName) -> u32 {
        self.servers.get(server).map_or(0, Health::outstanding)
    }
}
