//! Counts of responses by service, version and route, which are summed up the tree.
//!
//! All counts are totals since the begin of a rollout, so that a report that is lost or sent twice does
//! not matter, and a new leader has them as soon as the daemons report to it.

use {
    crate::model::ServiceName,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Number of classes of response times. Their bounds are half an octave apart, from 1 ms to 4 s.
pub const TIME_CLASSES: usize = 25;
/// Maximum number of routes of a service that are counted apart; the others are counted as one.
pub const MAX_ROUTES: usize = 16;
/// Maximum number of servers of the new version that are counted apart.
pub const MAX_SERVERS: usize = 64;
/// Maximum number of running rollouts in a report.
pub const MAX_REPORTED: usize = 32;
/// Number of the route under which the calls of all further routes are counted.
pub const OTHER_ROUTES: u32 = 0;

/// Returns the class of a response time.
pub(super) fn time_class(time: Duration) -> usize {
    let ms = time.as_secs_f64() * 1e3;
    if ms < 1.0 {
        return 0;
    }
    ((ms.log2() * 2.0) as usize + 1).min(TIME_CLASSES - 1)
}

/// Responses of one version on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of failures: faults, resets, unreachable servers and missed deadlines.
    pub failed: u32,
    /// Number of answers by class of their time, without trailing zeros.
    pub times: Vec<u32>,
}

impl Counts {
    /// Counts an answer, or a failure if `time` is `None`.
    ///
    /// ```
    /// use {anvilbeam::rollouts::Counts, std::time::Duration};
    /// let mut counts = Counts::default();
    /// counts.record(Some(Duration::from_millis(20)));
    /// counts.record(None);
    /// assert_eq!((counts.answered(), counts.failed), (1, 1));
    /// ```
    pub fn record(&mut self, time: Option<Duration>) {
        let Some(time) = time else {
            self.failed = self.failed.saturating_add(1);
            return;
        };
        let class = time_class(time);
        if self.times.len() <= class {
            self.times.resize(class + 1, 0);
        }
        self.times[class] = self.times[class].saturating_add(1);
    }

    /// Returns the number of answers.
    pub fn answered(&self) -> u32 {
        self.times.iter().fold(0, |sum, n| sum.saturating_add(*n))
    }

    /// Returns the number of answers and failures.
    pub fn total(&self) -> u32 {
        self.answered().saturating_add(self.failed)
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.failed = self.failed.saturating_add(other.failed);
        let len = self.times.len().max(other.times.len()).min(TIME_CLASSES);
        self.times.resize(len, 0);
        for (sum, n) in self.times.iter_mut().zip(&other.times) {
            *sum = sum.saturating_add(*n);
        }
    }

    /// Returns what was counted since `before`.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        let earlier = before.times.iter().chain(std::iter::repeat(&0));
        let times = self.times.iter().zip(earlier);
        Self {
            failed: self.failed.saturating_sub(before.failed),
            times: times.map(|(n, before)| n.saturating_sub(*before)).collect(),
        }
    }
}

/// Responses on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Hash of plan and path; [`OTHER_ROUTES`] for all further routes.
    pub route: u32,
    /// Whether its requests run at most once.
    pub at_most_once: bool,
    /// Responses of the version in use before.
    pub old: Counts,
    /// Responses of the new version.
    pub new: Counts,
}

/// What the daemons of a subtree report on one running rollout.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Number of the rollout.
    pub number: u64,
    /// Calls for the service that were routed.
    pub requests: u64,
    /// Those that were sent to the new version.
    pub exposed: u64,
    /// Calls in flight on any version.
    pub in_flight: u32,
    /// Daemons that send calls to the new version only and have none in flight on another one.
    pub settled: u32,
    /// Counts by route, at most [`MAX_ROUTES`] and one for the others.
    pub routes: Vec<RouteCounts>,
    /// Counts of the new version by server, at most [`MAX_SERVERS`].
    pub servers: Vec<ServerCounts>,
}

/// Responses of one server of the new version on all routes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerCounts {
    /// Hash of the server's name.
    pub server: u32,
    /// Number of failures.
    pub failed: u32,
    /// Number of answers and failures.
    pub total: u32,
}

impl ServiceReport {
    /// Returns the counts of a route; those of [`OTHER_ROUTES`] if there are too many.
    pub fn route_mut(&mut self, route: u32, at_most_once: bool) -> &mut RouteCounts {
        let found = self.routes.iter().position(|known| known.route == route);
        let index = match found {
            Some(index) => index,
            None if self.routes.len() >= MAX_ROUTES && route != OTHER_ROUTES => {
                return self.route_mut(OTHER_ROUTES, at_most_once);
            }
            None => {
                self.routes.push(RouteCounts {
                    route,
                    at_most_once,
                    ..RouteCounts::default()
                });
                self.routes.len() - 1
            }
        };
        &mut self.routes[index]
    }

    /// Adds responses of a server of the new version; ignores those of more than [`MAX_SERVERS`].
    pub fn count_server(&mut self, server: u32, failed: u32, total: u32) {
        let has_room = self.servers.len() < MAX_SERVERS;
        match self.servers.iter_mut().find(|known| known.server == server) {
            Some(known) => {
                known.failed = known.failed.saturating_add(failed);
                known.total = known.total.saturating_add(total);
            }
            None if has_room => self.servers.push(ServerCounts {
                server,
                failed,
                total,
            }),
            None => {}
        }
    }

    fn add(&mut self, other: &Self) {
        if other.number != self.number {
            return;
        }
        self.requests = self.requests.saturating_add(other.requests);
        self.exposed = self.exposed.saturating_add(other.exposed);
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
        self.settled = self.settled.saturating_add(other.settled);
        for counts in other.routes.iter().take(MAX_ROUTES + 1) {
            let sum = self.route_mut(counts.route, counts.at_most_once);
            sum.old.add(&counts.old);
            sum.new.add(&counts.new);
        }
        for counts in other.servers.iter().take(MAX_SERVERS) {
            self.count_server(counts.server, counts.failed, counts.total);
        }
    }
}

/// Report of a process on its subtree.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of daemons that report.
    pub daemons: u32,
    /// Running rollouts by service, at most [`MAX_REPORTED`].
    pub services: Vec<(ServiceName, ServiceReport)>,
}

impl Report {
    /// Adds the report of another subtree. Of two rollouts of one service, the later one counts.
    pub fn add(&mut self, other: &Self) {
        self.daemons = self.daemons.saturating_add(other.daemons);
        for (service, counts) in other.services.iter().take(MAX_REPORTED) {
            let has_room = self.services.len() < MAX_REPORTED;
            match self.services.iter_mut().find(|(known, _)| known == service) {
                Some((_, sum)) if counts.number > sum.number => *sum = counts.clone(),
                Some((_, sum)) => sum.add(counts),
                None if has_room => self.services.push((service.clone(), counts.clone())),
                None => {}
            }
        }
    }

    /// Returns the report on a rollout of a service.
    pub fn service(&self, service: &ServiceName, number: u64) -> Option<&ServiceReport> {
        let mut services = self.services.iter();
        let (_, counts) = services.find(|(known, _)| known == service)?;
        (counts.number == number).then_some(counts)
    }
}
