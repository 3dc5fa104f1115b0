//! Choice of a backend server among the candidates of a route.
//!
//! Every pick must be followed by exactly one `outcome` with the returned choice. State is local to
//! the daemon and follows from the outcomes seen here; what servers report about themselves only
//! lowers its share by a bounded factor.

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
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    strum::Display,
};

mod draw;
mod health;
mod pick;
#[cfg(test)]
mod tests;

pub use pick::{PROBE_SHARE, Wanted};

/// Time after its first snapshot in which a daemon learns of the servers that were there before
/// it: the other daemons may have restarted with it and report one after the other.
const LEARNING: Duration = Duration::from_secs(3);

/// How a call ended, as far as it tells about the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered.
    Succeeded,
    /// The server answered with a fault, broke off or exceeded the deadline.
    Failed,
    /// No connection was made; the call has not run.
    Unreachable,
    /// The server's owner refused the call as it is full; the call has not run.
    Overloaded {
        /// How long calls of this rank should go elsewhere.
        retry_after: Duration,
    },
    /// The end tells nothing about the server, such as a cancelled call.
    Neutral,
}

/// The backend server chosen for one call.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The endpoint to call.
    pub endpoint: Arc<Endpoint>,
    /// How far away it is.
    pub distance: Distance,
    /// Rank of the call.
    pub rank: Rank,
    /// Whether the server was ejected and this call probes it.
    pub probe: bool,
}

/// A change of a server's standing, to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The server gets no calls until the deadline, then probes.
    Ejected {
        /// Start of probing.
        until: Instant,
        /// Why.
        cause: Cause,
    },
    /// Probes succeeded; the server gets traffic again, with slow start.
    Readmitted,
}

/// Why a server was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// Its calls fail and those of its peers do not.
    Failing,
    /// It is slower than its peers by far.
    Slow,
    /// A probe failed or was slow.
    ProbeFailed,
}

/// State of the choice among backend servers.
///
/// ```
/// use anvilbeam::{balance::{Balancer, Wanted}, model::{DataCentre, Region}, routes::{Candidates, Location}};
/// use anvilbeam::model::Rank;
/// let here = Location { data_centre: DataCentre::from("a1"), region: Region::from("a") };
/// let none = Candidates::new(&here, &[]);
/// let mut balancer = Balancer::default();
/// let choice = balancer.pick_from(&none, Wanted::small(Rank::Normal), std::time::Instant::now(), 7, &[]);
/// assert!(choice.is_none());
/// ```
#[derive(Debug, Default)]
pub struct Balancer {
    servers: IndexMap<ServerName, Health>,
    members: IndexMap<ServiceName, IndexSet<ServerName>>,
    /// Until when servers that appear were there before the daemon.
    learning_until: Option<Instant>,
    scored: Vec<Scored>,
    probing: Vec<usize>,
}

impl Balancer {
    /// Takes over the announced servers of all services of `snapshot`. After a change of one
    /// service's endpoints, `sync_service` is enough.
    ///
    /// Servers that appear soon after the first snapshot were there before the daemon and need no
    /// slow start.
    pub fn sync(&mut self, snapshot: &Snapshot, now: Instant) {
        let learning_until = *self.learning_until.get_or_insert(now + LEARNING);
        let ramp_start = (now >= learning_until).then_some(now);
        let gone = |name: &&ServiceName| snapshot.endpoints(name).is_empty();
        let gone: Vec<_> = self.members.keys().filter(gone).cloned().collect();
        for service in gone {
            self.take_over(&service, &[], ramp_start, now);
        }
        for (service, endpoints) in snapshot.services() {
            self.take_over(service, endpoints, ramp_start, now);
        }
    }

    /// Takes over the announced servers of one service.
    ///
    /// A server that is new or has a new incarnation starts slowly; one that is not announced any
    /// more is forgotten.
    pub fn sync_service(
        &mut self,
        service: &ServiceName,
        endpoints: &[Arc<Endpoint>],
        now: Instant,
    ) {
        self.take_over(service, endpoints, Some(now), now);
    }

    fn take_over(
        &mut self,
        service: &ServiceName,
        endpoints: &[Arc<Endpoint>],
        ramp_start: Option<Instant>,
        now: Instant,
    ) {
        let announced: IndexSet<_> = endpoints.iter().map(|e| e.server.clone()).collect();
        let previous = self.members.swap_remove(service).unwrap_or_default();
        for server in previous.difference(&announced) {
            self.servers.swap_remove(server);
        }
        for endpoint in endpoints {
            let entry = self.servers.entry(endpoint.server.clone());
            let health = entry.or_insert_with(|| Health::new(endpoint, ramp_start, now));
            health.refresh(endpoint, now);
        }
        if !announced.is_empty() {
            self.members.insert(service.clone(), announced);
            self.release_excess(service);
        }
    }

    /// Readmits servers while more than half of a service is ejected, the earliest deadline first.
    fn release_excess(&mut self, service: &ServiceName) {
        let members = &self.members[service];
        while self.ejected(service) * 2 > members.len() {
            let ejected = members.iter().filter_map(|server| {
                let until = self.servers.get(server)?.ejected_until()?;
                Some((until, server))
            });
            let Some((_, server)) = ejected.min() else {
                return;
            };
            if let Some(health) = self.servers.get_mut(server) {
                health.release();
            }
        }
    }

    /// Records how the call of `choice` ended and how long it took.
    ///
    /// An outcome of an earlier incarnation is ignored. Returns a change of the server's standing.
    pub fn outcome(
        &mut self,
        choice: &Choice,
        outcome: Outcome,
        latency: Duration,
        now: Instant,
    ) -> Option<Change> {
        let endpoint = &choice.endpoint;
        let health = self.servers.get_mut(&endpoint.server)?;
        if !health.finished(endpoint.incarnation) {
            return None;
        }
        match outcome {
            Outcome::Neutral => return None,
            Outcome::Overloaded { retry_after } => {
                health.refused(choice.rank, retry_after, now);
                return None;
            }
            Outcome::Succeeded => health.record(true, latency, now),
            Outcome::Failed | Outcome::Unreachable => health.record(false, latency, now),
        }
        let failed = outcome != Outcome::Succeeded;
        if choice.probe {
            return self.judge_probe(endpoint, failed, latency, now);
        }
        let unreachable = outcome == Outcome::Unreachable;
        self.judge(endpoint, failed, unreachable, now)
    }

    /// Ejects a server whose calls fail or are slow while those of its peers are not.
    fn judge(
        &mut self,
        endpoint: &Endpoint,
        failed: bool,
        unreachable: bool,
        now: Instant,
    ) -> Option<Change> {
        let health = self.servers.get(&endpoint.server)?;
        if health.ejected_until().is_some() || !health.is_suspicious(failed) {
            return None;
        }
        let peers = self.peers(endpoint);
        // A server that can't be reached needs no comparison: its peers don't share the cause.
        let lost = unreachable && health.has_streak();
        let cause = if lost || failed && health.fails_against(&peers) {
            Cause::Failing
        } else if peers.are_faster_than(health.latency()) {
            Cause::Slow
        } else {
            return None;
        };
        let service = &endpoint.service;
        if (self.ejected(service) + 1) * 2 > self.members.get(service)?.len() {
            return None;
        }
        let until = self.servers.get_mut(&endpoint.server)?.eject(now);
        Some(Change::Ejected { until, cause })
    }

    fn judge_probe(
        &mut self,
        endpoint: &Endpoint,
        failed: bool,
        latency: Duration,
        now: Instant,
    ) -> Option<Change> {
        let peers = self.peers(endpoint);
        let health = self.servers.get_mut(&endpoint.server)?;
        health.ejected_until()?;
        if failed || peers.are_faster_than(Some(latency.as_secs_f64())) {
            let until = health.eject(now);
            let cause = Cause::ProbeFailed;
            return Some(Change::Ejected { until, cause });
        }
        health.probe_succeeded(now).then_some(Change::Readmitted)
    }

    /// Failure shares and latencies of the other servers of the service.
    fn peers(&self, endpoint: &Endpoint) -> health::Peers {
        let members = self.members.get(&endpoint.service).into_iter().flatten();
        let others = members.filter(|server| **server != endpoint.server);
        health::Peers::new(others.filter_map(|server| self.servers.get(server)))
    }

    /// Whether a candidate outside of `exclude` is neither ejected nor full nor refusing calls.
    pub fn has_usable(
        &self,
        candidates: &Candidates,
        rank: Rank,
        exclude: &[ServerName],
        now: Instant,
    ) -> bool {
        candidates.all().iter().any(|endpoint| {
            let health = self.servers.get(&endpoint.server);
            !exclude.contains(&endpoint.server)
                && health.is_some_and(|health| health.tier(rank, now) == Tier::Usable)
        })
    }

    /// Latency of the quicker servers of a service, as seen here.
    pub fn usual_latency(&self, service: &ServiceName) -> Option<Duration> {
        let members = self.members.get(service).into_iter().flatten();
        let members = members.filter_map(|server| self.servers.get(server));
        health::Peers::new(members).latency()
    }

    /// Takes the load that the daemon beside a server reported with an answer.
    pub fn report(&mut self, endpoint: &Endpoint, load: &Load, now: Instant) {
        if let Some(health) = self.servers.get_mut(&endpoint.server) {
            health.report(endpoint.incarnation, load, now);
        }
    }

    /// Takes a server's report of its own load, from 0 to 1, as a hint for 3 s.
    pub fn hint_load(&mut self, server: &ServerName, load: f64, now: Instant) {
        if let Some(health) = self.servers.get_mut(server) {
            health.hint(load, now);
        }
    }

    /// Number of servers of `service` that are ejected or under probing.
    pub fn ejected(&self, service: &ServiceName) -> usize {
        let members = self.members.get(service).into_iter().flatten();
        let ejected = |server: &&ServerName| {
            let health = self.servers.get(*server);
            health.is_some_and(|health| health.ejected_until().is_some())
        };
        members.filter(ejected).count()
    }

    /// End of the ejection of `server`; after it the server is under probing.
    pub fn ejected_until(&self, server: &ServerName) -> Option<Instant> {
        self.servers.get(server)?.ejected_until()
    }

    /// Own outstanding calls on `server`.
    pub fn outstanding(&self, server: &ServerName) -> u32 {
        self.servers.get(server).map_or(0, Health::outstanding)
    }
}
