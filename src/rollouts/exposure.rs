//! Choice of the version at an entry daemon, and its counts.
//!
//! A daemon sends at most its share of its own calls to a new version, counted since the begin of the
//! rollout. The bound on all daemons together follows without messages, and holds while daemons are
//! out of contact.

use {
    super::{
        Report, Rule, Rules, Running, ServiceReport, VersionTag, evidence::MAX_REPORTED,
        relay::WHOLE,
    },
    crate::model::{Endpoint, ServiceName, Work},
    indexmap::IndexMap,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Versions that one call may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowed {
    /// Any version: versions are not told apart here.
    Any,
    /// This version.
    Only(VersionTag),
    /// The new version if a server of it can be chosen, else the other one.
    Prefer(VersionTag, VersionTag),
}

/// State of one daemon.
#[derive(Debug, Default)]
pub struct Exposure {
    enabled: bool,
    rules: IndexMap<ServiceName, Rule>,
    lease_until: Option<Instant>,
    counts: IndexMap<ServiceName, Counted>,
}

#[derive(Debug)]
struct Counted {
    report: ServiceReport,
    /// Calls that may be exposed: each call adds the share. It begins with a random part of a call, so
    /// that the first exposures of all daemons are spread evenly.
    credit: f64,
}

impl Exposure {
    /// Creates the state; versions are told apart only if `enabled`.
    pub fn new(enabled: bool) -> Self {
        Self {
            enabled,
            ..Self::default()
        }
    }

    /// Replaces the rules and the end of their lease.
    pub fn set_rules(&mut self, rules: Rules, lease_until: Option<Instant>) {
        let rules = rules.rules.into_iter();
        self.rules = rules.map(|rule| (rule.service.clone(), rule)).collect();
        let running = |service: &ServiceName, number| {
            let rule = self.rules.get(service).and_then(|rule| rule.running);
            rule.is_some_and(|running| running.number == number)
        };
        self.counts
            .retain(|service, counted| running(service, counted.report.number));
        self.lease_until = lease_until;
    }

    /// Replaces the end of the lease.
    pub const fn renew(&mut self, lease_until: Option<Instant>) {
        self.lease_until = lease_until;
    }

    fn is_leased(&self, now: Instant) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    fn running(&self, service: &ServiceName) -> Option<Running> {
        self.rules.get(service)?.running
    }

    /// Returns the version that is used without a rollout. If the leader hasn't named it yet, it is the
    /// version of the server that has run for the longest time.
    fn allowed(&self, service: &ServiceName, endpoints: &[Arc<Endpoint>]) -> Option<VersionTag> {
        let rule = self.rules.get(service);
        let known = rule.and_then(|rule| rule.allowed);
        known.or_else(|| oldest_version(endpoints.iter().map(AsRef::as_ref)))
    }

    /// Counts a new call and returns the versions that it may use; `random` is a new random number.
    pub fn assign(
        &mut self,
        (service, route): (&ServiceName, u32),
        work: Option<Work>,
        endpoints: &[Arc<Endpoint>],
        (now, random): (Instant, u64),
    ) -> Allowed {
        if !self.enabled {
            return Allowed::Any;
        }
        let Some(allowed) = self.allowed(service, endpoints) else {
            return Allowed::Any;
        };
        let Some(running) = self.running(service) else {
            return Allowed::Only(allowed);
        };
        let leased = self.is_leased(now);
        let at_most_once = work.is_some_and(|work| !work.is_repeatable());
        let Some(counted) = self.counted(service, running.number, random) else {
            return Allowed::Only(allowed);
        };
        counted.report.route_mut(route, at_most_once);
        counted.report.requests += 1;
        if !leased || at_most_once && !running.at_most_once {
            return Allowed::Only(allowed);
        }
        if running.only {
            return Allowed::Prefer(running.target, allowed);
        }
        counted.credit += f64::from(running.share) / f64::from(WHOLE);
        if counted.credit >= 1.0 {
            counted.credit -= 1.0;
            return Allowed::Prefer(running.target, allowed);
        }
        Allowed::Only(allowed)
    }

    fn counted(&mut self, service: &ServiceName, number: u64, random: u64) -> Option<&mut Counted> {
        if self.counts.len() >= MAX_REPORTED && !self.counts.contains_key(service) {
            return None;
        }
        let counted = self.counts.entry(service.clone());
        Some(counted.or_insert_with(|| Counted {
            report: ServiceReport {
                number,
                ..ServiceReport::default()
            },
            credit: (random >> 11) as f64 / (1_u64 << 53) as f64,
        }))
    }

    /// Returns the versions that a retry or a hedged request may use: only the new one once no call may
    /// use another, and otherwise the one before, so that they add no exposure.
    pub fn assign_again(
        &self,
        service: &ServiceName,
        endpoints: &[Arc<Endpoint>],
        now: Instant,
    ) -> Allowed {
        if !self.enabled {
            return Allowed::Any;
        }
        let Some(allowed) = self.allowed(service, endpoints) else {
            return Allowed::Any;
        };
        match self.running(service) {
            Some(running) if running.only && self.is_leased(now) => {
                Allowed::Prefer(running.target, allowed)
            }
            _ => Allowed::Only(allowed),
        }
    }

    /// Records that a server was chosen for a call that [`Self::assign`] has counted.
    pub fn chosen(&mut self, endpoint: &Endpoint) {
        let Some(running) = self.running(&endpoint.service) else {
            return;
        };
        if VersionTag::of_incarnation(endpoint.incarnation) == Some(running.target)
            && let Some(counted) = self.counts.get_mut(&endpoint.service)
        {
            counted.report.exposed += 1;
        }
    }

    /// Counts a response on a route, or a failure if `time` is `None`.
    pub fn record(&mut self, endpoint: &Endpoint, route: u32, time: Option<Duration>) {
        let Some(running) = self.running(&endpoint.service) else {
            return;
        };
        let version = VersionTag::of_incarnation(endpoint.incarnation);
        let rule = self.rules.get(&endpoint.service);
        let allowed = rule.and_then(|rule| rule.allowed);
        let Some(counted) = self.counts.get_mut(&endpoint.service) else {
            return;
        };
        let counts = counted.report.route_mut(route, false);
        if version == Some(running.target) {
            counts.new.record(time);
            let server = hash_of(endpoint.server.as_str());
            let failed = u32::from(time.is_none());
            counted.report.count_server(server, failed, 1);
        } else if version == allowed {
            counts.old.record(time);
        }
    }

    /// Returns the report of this daemon. `calls` returns the calls in flight on the versions of a
    /// service other than the one given, and on all of them.
    pub fn report(
        &self,
        now: Instant,
        calls: impl Fn(&ServiceName, VersionTag) -> (u32, u32),
    ) -> Report {
        let running = self.rules.values().filter_map(|rule| {
            let running = rule.running?;
            let mut report = match self.counts.get(&rule.service) {
                Some(counted) => counted.report.clone(),
                None => ServiceReport {
                    number: running.number,
                    ..ServiceReport::default()
                },
            };
            let (other, all) = calls(&rule.service, running.target);
            report.in_flight = all;
            report.settled = u32::from(running.only && self.is_leased(now) && other == 0);
            Some((rule.service.clone(), report))
        });
        Report {
            daemons: 1,
            services: running.take(MAX_REPORTED).collect(),
        }
    }
}

/// Returns a hash of a name that is the same at all processes.
pub fn hash_of(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

/// Returns the version of the server that started first.
pub fn oldest_version<'a>(endpoints: impl Iterator<Item = &'a Endpoint>) -> Option<VersionTag> {
    let tagged = endpoints.filter_map(|endpoint| {
        let version = VersionTag::of_incarnation(endpoint.incarnation)?;
        Some((VersionTag::start_of(endpoint.incarnation), version))
    });
    tagged.min().map(|(_, version)| version)
}
