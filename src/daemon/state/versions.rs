//! Versions of backend servers that a call may use during and after a rollout.

use {
    super::{super::event::Attempt, State},
    crate::{
        balance::{Choice, Outcome},
        call::Call,
        model::{Endpoint, PathPrefix, PlanName, Work},
        rollouts::{Allowed, Exposure, Report, VersionTag, hash_of},
        routes::{Candidates, Route, Snapshot},
    },
    std::{
        borrow::Cow,
        time::{Duration, Instant},
    },
};

impl State {
    /// Chooses a server of a version that a new call may use. Without a server of the new version, one of
    /// the other version is chosen.
    pub(super) fn pick_version(
        &mut self,
        snapshot: &Snapshot,
        route: &Route<'_>,
        now: Instant,
        random: u64,
    ) -> Option<Choice> {
        let grant = route.grant;
        let number = route_number(&grant.plan, &grant.path);
        let endpoints = snapshot.endpoints(&grant.service);
        let key = (&grant.service, number);
        let allowed = self
            .exposure
            .assign(key, grant.terms.work, endpoints, (now, random));
        let candidates = candidates_of(route.candidates, allowed);
        let route = Route {
            candidates: &candidates,
            ..*route
        };
        let own = (grant.terms.work == Some(Work::Download))
            .then(|| self.pick_own_server(&route, now))
            .flatten();
        let mut choice = own.or_else(|| self.balancer.pick(&route, now, random, &[]))?;
        choice.route = number;
        self.exposure.chosen(&choice.endpoint);
        Some(choice)
    }

    /// Counts the response of an attempt as evidence on the version of its server.
    pub(super) fn count_response(&mut self, attempt: &Attempt<'_>, latency: Duration) {
        let time = match attempt.outcome {
            Outcome::Succeeded => Some(latency),
            Outcome::Failed | Outcome::Unreachable => None,
            // A full server or a caller that went away say nothing about the version.
            Outcome::Overloaded { .. } | Outcome::Neutral => return,
        };
        let choice = attempt.choice;
        self.exposure.record(&choice.endpoint, choice.route, time);
    }

    /// Returns the report of this daemon on running rollouts.
    pub fn rollout_report(&self, now: Instant) -> Report {
        self.exposure.report(now, |service, target| {
            let (mut other, mut all) = (0, 0);
            let endpoints = self.snapshot.as_ref().map(|s| s.endpoints(service));
            for endpoint in endpoints.into_iter().flatten() {
                let calls = self.balancer.outstanding(&endpoint.server);
                all += calls;
                if !is_of(endpoint, target) {
                    other += calls;
                }
            }
            let own = self.server.as_ref();
            let own = own.filter(|own| own.announcement.service == *service);
            if own.is_some_and(|own| own.version.is_some_and(|version| version != target)) {
                // Calls whose entry daemon is gone run on.
                other += self.admission.running();
            }
            (other, all)
        })
    }
}

fn is_of(endpoint: &Endpoint, version: VersionTag) -> bool {
    VersionTag::of_incarnation(endpoint.incarnation) == Some(version)
}

/// Returns a hash of a route that is the same at all daemons.
pub(in crate::daemon) fn route_number(plan: &PlanName, path: &PathPrefix) -> u32 {
    // Zero is the number of all further routes.
    (hash_of(plan.as_str()) ^ hash_of(path.as_str()).rotate_left(1)).max(1)
}

/// Sets the route of a call in the choice of another attempt.
pub(super) fn with_route(choice: Choice, call: &Call) -> Choice {
    Choice {
        route: route_number(&call.plan, &call.path),
        ..choice
    }
}

/// Returns the versions that another attempt may use.
pub(super) fn allowed(
    exposure: &Exposure,
    snapshot: Option<&Snapshot>,
    route: &Route<'_>,
    now: Instant,
) -> Allowed {
    let service = &route.grant.service;
    let endpoints = snapshot.map_or(&[][..], |snapshot| snapshot.endpoints(service));
    exposure.assign_again(service, endpoints, now)
}

/// Returns the candidates of the allowed versions.
pub(super) fn candidates_of(candidates: &Candidates, allowed: Allowed) -> Cow<'_, Candidates> {
    let only = |version| {
        let matches = |endpoint: &Endpoint| is_of(endpoint, version);
        if candidates.all().iter().all(|endpoint| matches(endpoint)) {
            return Cow::Borrowed(candidates);
        }
        Cow::Owned(candidates.filtered(matches))
    };
    match allowed {
        Allowed::Any => Cow::Borrowed(candidates),
        Allowed::Only(version) => only(version),
        Allowed::Prefer(version, other) => {
            let preferred = only(version);
            if preferred.is_empty() {
                only(other)
            } else {
                preferred
            }
        }
    }
}
