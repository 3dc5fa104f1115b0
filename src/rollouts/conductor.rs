//! Reducer of the leader: derives the rules of the daemons from the orders in the log and from the
//! evidence, and ends rollouts.

use {
    super::{
        Report, Revision, RolloutCommand, Rollouts, Rule, Rules, Running, VersionTag,
        course::{Course, Stage},
        oldest_version,
    },
    crate::{
        model::{Endpoint, ServiceName},
        settings::RolloutLimits,
    },
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Longest validity of the rules, from the leader on. Shorter than the limit of a roll-back by the time
/// in which calls in flight end.
const MAX_LEASE: Duration = Duration::from_secs(2);
/// Part of the time for a roll-back for which the rules are valid.
const LEASE_DIVISOR: u32 = 2;
/// Time between two proposals of the same command.
const PROPOSE_INTERVAL: Duration = Duration::from_millis(500);

/// Change of a rollout's stage, to be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Service.
    pub service: ServiceName,
    /// Name of the new version.
    pub version: String,
    /// The stage.
    pub stage: Stage,
    /// Share of the calls in millionths.
    pub share: u32,
    /// Why it changed.
    pub reason: String,
}

/// Input of one tick.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The log.
    pub rollouts: &'a Rollouts,
    /// Sum of the reports of all daemons.
    pub report: &'a Report,
    /// Number of daemons in contact with the tree.
    pub daemons: u32,
    /// Time.
    pub now: Instant,
    /// Time of day in milliseconds since the Unix epoch, which only deadlines are compared with.
    pub unix_ms: u64,
}

/// State machine of the leader in one term.
#[derive(Clone, Debug)]
pub struct Conductor {
    limits: RolloutLimits,
    started: Instant,
    rules: Rules,
    courses: IndexMap<ServiceName, Course>,
    recorded: IndexMap<ServiceName, Instant>,
}

impl Conductor {
    /// Creates the state of a replica that leads since `now`.
    pub fn new(limits: RolloutLimits, term: u64, now: Instant) -> Self {
        let revision = Revision { term, number: 1 };
        Self {
            limits,
            started: now,
            rules: Rules {
                revision,
                rules: Vec::new(),
            },
            courses: IndexMap::new(),
            recorded: IndexMap::new(),
        }
    }

    /// Returns the validity of the rules.
    pub fn lease(&self) -> Duration {
        MAX_LEASE.min(self.limits.rollback / LEASE_DIVISOR)
    }

    /// Returns the rules for the daemons.
    pub const fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Returns the share of the calls in millionths and what the running rollout of a service waits for.
    pub fn progress(&self, service: &ServiceName) -> Option<(u32, String)> {
        let course = self.courses.get(service)?;
        let text = format!("{}: {}", course.stage, course.reason);
        Some((course.share, text))
    }

    /// Derives the rules from the view; returns the commands to propose and the steps to log.
    /// `endpoints` returns the servers of a service.
    pub fn tick<'a>(
        &mut self,
        view: View<'_>,
        services: impl Iterator<Item = &'a ServiceName>,
        endpoints: impl Fn(&ServiceName) -> Vec<&'a Endpoint>,
    ) -> (Vec<RolloutCommand>, Vec<Step>) {
        let mut commands = self.record_versions(view, services, &endpoints);
        let mut steps = Vec::new();
        let running: Vec<_> = view
            .rollouts
            .services()
            .filter_map(|(service, allowed, rollout)| Some((service, allowed, rollout?)))
            .collect();
        self.courses.retain(|service, course| {
            let mut running = running.iter();
            running.any(|(s, _, rollout)| *s == service && rollout.number == course.rollout.number)
        });
        // An earlier leader's leases may run until then, and its evidence has to arrive.
        let not_before = self.started + self.lease();
        for (service, allowed, rollout) in running {
            let course = self
                .courses
                .entry(service.clone())
                .or_insert_with(|| Course::new(rollout, not_before, view.now));
            course.count_servers(allowed, endpoints(service).into_iter(), view.now);
            let report = view.report.service(service, rollout.number);
            let settled = report.is_some_and(|report| {
                let daemons = view.daemons.max(view.report.daemons);
                report.settled >= daemons && daemons > 0
            });
            let before = course.stage;
            let end = course.step(report, allowed.is_some(), settled, view);
            course.set_share(&self.limits, report, view.now);
            let due = end.filter(|_| view.now >= course.propose_at);
            if let Some(succeeded) = due {
                course.propose_at = view.now + PROPOSE_INTERVAL;
                commands.push(RolloutCommand::End {
                    service: service.clone(),
                    number: rollout.number,
                    succeeded,
                });
            }
            if course.stage != before {
                steps.push(Step {
                    service: service.clone(),
                    version: rollout.target.clone(),
                    stage: course.stage,
                    share: course.share,
                    reason: course.reason.clone(),
                });
            }
        }
        self.update_rules(view.rollouts);
        (commands, steps)
    }

    /// Records the versions of services that have servers and no recorded version.
    fn record_versions<'a>(
        &mut self,
        view: View<'_>,
        services: impl Iterator<Item = &'a ServiceName>,
        endpoints: &impl Fn(&ServiceName) -> Vec<&'a Endpoint>,
    ) -> Vec<RolloutCommand> {
        let mut commands = Vec::new();
        for service in services {
            if view.rollouts.allowed(service).is_some() {
                self.recorded.swap_remove(service);
                continue;
            }
            let Some(version) = oldest_version(endpoints(service).into_iter()) else {
                continue;
            };
            let again_at = self.recorded.entry(service.clone()).or_insert(view.now);
            if view.now >= *again_at {
                *again_at = view.now + PROPOSE_INTERVAL;
                commands.push(RolloutCommand::Allow {
                    service: service.clone(),
                    version,
                });
            }
        }
        commands
    }

    fn update_rules(&mut self, rollouts: &Rollouts) {
        let rules = rollouts.services().map(|(service, allowed, _)| Rule {
            service: service.clone(),
            allowed,
            running: self.courses.get(service).map(|course| Running {
                number: course.rollout.number,
                target: VersionTag::of(&course.rollout.target),
                share: course.share,
                at_most_once: course.stage > Stage::Canary && course.stage < Stage::RollingBack,
                only: course.stage == Stage::Only,
            }),
        });
        let rules: Vec<_> = rules.collect();
        if rules != self.rules.rules || self.rules.revision.number == 1 {
            self.rules.rules = rules;
            self.rules.revision.number += 1;
        }
    }
}
