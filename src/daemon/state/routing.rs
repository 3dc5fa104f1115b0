//! Routing at the entry daemon: selects the grant and the backend server, for retries too.

use {
    super::{
        super::{
            decision::{no_server_refusal, route_refusal, unknown_key_refusal},
            event::{CallId, Effect, RequestHead, Target},
        },
        State,
        versions::{allowed, candidates_of, with_route},
    },
    crate::{
        accounts::{CallAccount, Credentials, UnknownKey},
        balance::{CallProfile, Choice, Outcome},
        call::{Call, is_repeatable},
        model::{Grant, Rank, ServerName, ServiceName, Version, Work},
        refusal::{Reason, Refusal},
        retry::{self, Budget, Cause, Decision, Failure, GiveUp},
        routes::{Route, Snapshot},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Largest number of retry budgets, beyond which all are reset. Only services with a grant get
/// one, so callers can't add budgets by naming arbitrary services.
const MAX_BUDGETS: usize = 4096;

/// Longest timeout of a route for calls that runs make. Callers wait for 3 s or longer for a run, and for
/// several such calls in it.
const MAX_INNER_TIMEOUT: Duration = Duration::from_secs(1);

impl State {
    pub(super) fn choose_server(
        &mut self,
        head: &RequestHead<'_>,
        now: Instant,
        random: u64,
    ) -> Result<(Call, Choice), Refusal> {
        let Some(snapshot) = &self.snapshot else {
            let detail = "the daemon has no configuration that is recent enough";
            return Err(Refusal::not_run(Reason::NotReady, detail));
        };
        let snapshot = Arc::clone(snapshot);
        let mut route = self.find_route(&snapshot, head, random)?;
        let grant = route.grant;
        let plan = snapshot.config().plans.get(&grant.plan);
        let work = grant.terms.work;
        let timeout = grant.terms.timeout_ms.map(Duration::from_millis);
        let (account, rank) = self.identify(head.credentials, grant, snapshot.config().version)?;
        route.rank = rank;
        let choice = self.pick_version(&snapshot, &route, now, random);
        let choice = choice.ok_or_else(|| no_server_refusal(&grant.service))?;
        let inner = self.is_inner_call(head, grant);
        let used = if self.has_downloads && !inner {
            let left = head.deadline.saturating_duration_since(now);
            self.returning.time_used(&grant.key(), left, now)
        } else {
            // Inner calls have the time that is left to the runs which make them.
            Duration::ZERO
        };
        let call = Call {
            plan: grant.plan.clone(),
            service: grant.service.clone(),
            rank,
            capacity: grant.capacity,
            home_region: plan.map_or_else(String::new, |plan| plan.home_region.to_string()),
            deadline: [timeout.map(|timeout| now + timeout), self.answer_by]
                .into_iter()
                .flatten()
                .fold(head.deadline, Instant::min),
            depth: head.depth,
            path: grant.path.clone(),
            work,
            max_attempts: grant.terms.attempts.unwrap_or(retry::MAX_ATTEMPTS),
            soft_deadline: grant
                .terms
                .target_ms
                .map(|ms| now + Duration::from_millis(ms).saturating_sub(used)),
            server: Some(choice.endpoint.server.clone()),
            idempotent: is_repeatable(work, head.method),
            idempotency_key: match work {
                Some(_) => None,
                None => head.idempotency_key.clone()?,
            },
            streamed: head.streamed,
            large_body: head.large_body,
            account,
            inner,
            repeated: false,
        };
        Ok((call, choice))
    }

    /// Determines the account of a request and its rank; the rank of the account comes before that of
    /// the grant.
    fn identify(
        &self,
        credentials: Credentials,
        grant: &Grant,
        version: Version,
    ) -> Result<(Option<CallAccount>, Rank), Refusal> {
        let Some(accounts) = &self.accounts else {
            return Ok((None, grant.rank));
        };
        match accounts.identify(credentials, &grant.key(), version) {
            Ok(Some((account, rank))) => Ok((Some(account), rank.unwrap_or(grant.rank))),
            Ok(None) => Ok((None, grant.rank)),
            Err(UnknownKey) => Err(unknown_key_refusal()),
        }
    }

    /// Returns the refusal of a call with a large body that the owner daemon of the chosen server is
    /// not expected to receive and answer in time. Sending it would add a window of its body to the
    /// queue in front of that daemon's link.
    pub(super) fn refuse_late_body(
        &mut self,
        call: &Call,
        choice: &Choice,
        now: Instant,
    ) -> Option<Refusal> {
        if !call.large_body || call.streamed {
            return None;
        }
        let server = &choice.endpoint.server;
        let answer_at = self.balancer.bulk_answer_at(server, now)?;
        if answer_at <= call.deadline {
            return None;
        }
        self.balancer
            .record_outcome(choice, Outcome::Neutral, Duration::ZERO, now);
        let detail =
            format!("the link of server {server} is expected to be full until the deadline");
        let mut refusal = Refusal::not_run(Reason::Overload, detail);
        refusal.retry_at = Some(now + answer_at.saturating_duration_since(call.deadline));
        Some(refusal)
    }

    /// Returns whether a request comes from a run on the own backend server. No header marks such a
    /// request, but it arrives from this VM, only while the server runs a call, and its route has a
    /// timeout that fits into that of the run.
    ///
    /// It counts only under a configuration with routes of the kind download. Under others, inner
    /// calls are treated like all calls.
    fn is_inner_call(&self, head: &RequestHead<'_>, grant: &Grant) -> bool {
        let own = self.server.as_ref();
        let own_address = own.map(|own| own.announcement.address.ip());
        let from_this_vm = own_address == Some(head.caller) || head.caller.is_loopback();
        let timeout = grant.terms.timeout_ms.map(Duration::from_millis);
        self.has_downloads
            && from_this_vm
            && self.admission.running() > 0
            && timeout.is_some_and(|timeout| timeout <= MAX_INNER_TIMEOUT)
    }

    /// Chooses the own backend server for a download if it has a free slot: such an answer uses no
    /// link to another VM.
    pub(super) fn pick_own_server(&mut self, route: &Route<'_>, now: Instant) -> Option<Choice> {
        let server = &self.server.as_ref()?.announcement.server;
        if self.admission.running() >= self.admission.limit(now) {
            return None;
        }
        self.balancer.pick_server(route, server, now)
    }

    /// Returns the refusal of a download that the owner daemon of the chosen server is expected to
    /// refuse because of its link. The balancer chooses such a server only if it knows this of all
    /// servers.
    pub(super) fn refuse_late_download(
        &mut self,
        call: &Call,
        choice: &Choice,
        now: Instant,
    ) -> Option<Refusal> {
        let server = &choice.endpoint.server;
        let own = self.server.as_ref();
        let is_own = own.is_some_and(|own| own.announcement.server == *server);
        if call.work != Some(Work::Download) || is_own {
            return None;
        }
        let due = call.soft_deadline.unwrap_or(call.deadline);
        let target = due.saturating_duration_since(now);
        let room_in = self.balancer.link_room_in(server, call.rank, target, now)?;
        self.balancer
            .record_outcome(choice, Outcome::Neutral, Duration::ZERO, now);
        let detail = format!("the links of all servers of {} are full", call.service);
        let mut refusal = Refusal::not_run(Reason::Overload, detail);
        refusal.retry_at = Some(now + room_in);
        Some(refusal)
    }

    fn find_route<'a>(
        &mut self,
        snapshot: &'a Snapshot,
        head: &RequestHead<'_>,
        random: u64,
    ) -> Result<Route<'a>, Refusal> {
        match &head.target {
            Target::Service { key, service } => {
                let plan = snapshot.authenticate(key).ok_or_else(|| {
                    Refusal::not_run(Reason::UnknownKey, "no plan has the key of this request")
                })?;
                let route = snapshot.route_for_path(plan, service, head.path);
                route.map_err(|e| route_refusal(e, plan.as_str(), service))
            }
            Target::Plan(plan) => {
                let grants = snapshot.grants_for_path(plan, head.path);
                let Some(grant) = self.splits.choose(&grants, random) else {
                    let detail = format!("plan {plan} has no grant for path {}", head.path);
                    return Err(Refusal::not_run(Reason::NoGrant, detail));
                };
                let route = snapshot.route_for_grant(grant);
                route.map_err(|e| route_refusal(e, plan, &grant.service))
            }
        }
    }

    /// Returns the retry budget of a service. Each service has its own, so that a failing service
    /// can't use up the retries of the others.
    pub(super) fn budget_of(&mut self, service: &ServiceName, now: Instant) -> &mut Budget {
        if !self.budgets.contains_key(service) && self.budgets.len() >= MAX_BUDGETS {
            self.budgets.clear();
        }
        let limits = self.retry_limits();
        let budget = self.budgets.entry(service.clone());
        let budget = budget.or_insert_with(|| Budget::new(now));
        budget.set_limits(limits);
        budget
    }

    pub(super) fn retry(
        &mut self,
        id: CallId,
        call: &Call,
        retry: &retry::Call,
        failure: Failure,
        now: Instant,
        random: u64,
    ) -> Effect {
        let mut retry = retry.clone();
        retry.other_server_available = self.has_untried_server(call, &retry.tried, now);
        if let Some(refusal) = self.refuse_resend(call, &retry, failure, now, random) {
            return Effect::Refuse { id, refusal };
        }
        // A resend would meet the same queues; the refusal tells the caller when to return.
        let overloaded = matches!(failure.cause, Cause::Overloaded { .. });
        let hopeless = !retry.other_server_available || self.is_shedding(call, failure, now);
        if self.has_downloads && overloaded && hopeless {
            let reason = GiveUp::AllOverloaded;
            return Effect::GiveUp { id, reason };
        }
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
                // The grant may have been removed since the first attempt.
                let snapshot = self.snapshot.clone();
                let route = snapshot.as_ref().and_then(|snapshot| {
                    let (plan, path) = (&call.plan, call.path.as_str());
                    snapshot.route_for_path(plan, &call.service, path).ok()
                });
                // The connection rather than the server may have failed, so without another
                // server a server that was tried is used again.
                let choice = route.and_then(|route| {
                    let allowed = allowed(&self.exposure, snapshot.as_deref(), &route, now);
                    let versions = candidates_of(route.candidates, allowed);
                    let route = Route {
                        candidates: &versions,
                        rank: call.rank,
                        ..route
                    };
                    let other = self.balancer.pick(&route, now, random, &exclude);
                    other.or_else(|| self.balancer.pick(&route, now, random, &[]))
                });
                let choice = choice.map(|choice| with_route(choice, call));
                let choice = choice.filter(|choice| {
                    let late_body = self.refuse_late_body(call, choice, now);
                    let late = late_body.or_else(|| self.refuse_late_download(call, choice, now));
                    late.is_none()
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

    /// Returns whether a server that was not tried yet is expected to accept the call at once.
    fn has_untried_server(&self, call: &Call, tried: &[ServerName], now: Instant) -> bool {
        let route = self.snapshot.as_ref().and_then(|snapshot| {
            let (plan, path) = (&call.plan, call.path.as_str());
            snapshot.route_for_path(plan, &call.service, path).ok()
        });
        route.is_some_and(|route| {
            let snapshot = self.snapshot.as_deref();
            let versions = allowed(&self.exposure, snapshot, &route, now);
            let versions = candidates_of(route.candidates, versions);
            let profile = CallProfile::for_grant(route.grant, call.rank);
            self.balancer.has_usable(&versions, profile, tried, now)
        })
    }

    /// Chooses a second server for a call whose answer is late, within the retry budget.
    pub(super) fn hedge(
        &mut self,
        id: CallId,
        call: &Call,
        tried: &[ServerName],
        now: Instant,
        random: u64,
    ) -> Effect {
        let give_up = |reason| Effect::GiveUp { id, reason };
        if !self.budget_of(&call.service, now).try_spend_optional(now) {
            return give_up(GiveUp::Budget);
        }
        let snapshot = self.snapshot.clone();
        let route = snapshot.as_ref().and_then(|snapshot| {
            let (plan, path) = (&call.plan, call.path.as_str());
            snapshot.route_for_path(plan, &call.service, path).ok()
        });
        let choice = route.and_then(|route| {
            let allowed = allowed(&self.exposure, snapshot.as_deref(), &route, now);
            let versions = candidates_of(route.candidates, allowed);
            let route = Route {
                candidates: &versions,
                rank: call.rank,
                ..route
            };
            self.balancer.pick(&route, now, random, tried)
        });
        let Some(choice) = choice.map(|choice| with_route(choice, call)) else {
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
}
