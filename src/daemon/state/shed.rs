//! Decisions of the reducer while backend servers shed load, under a configuration with routes of the
//! kind download. Under others, all of this is inactive.

use {
    super::{State, versions::route_number},
    crate::{
        balance::{Choice, Outcome, Shedding, return_at},
        call::Call,
        daemon::event::{CallId, Effect},
        events::Event as LogEvent,
        log_event,
        model::ServiceName,
        refusal::{Early, Refusal},
        retry::{self, Failure, Limits},
        runs::Run,
    },
    std::time::{Duration, Instant},
};

/// Largest number of services of which refused calls are counted, beyond which all are reset.
const MAX_SERVICES: usize = 4096;

/// Time that a refusal takes to reach an entry daemon in another region, with a busy processor.
const REFUSAL_MARGIN: Duration = Duration::from_millis(50);
/// The margin takes at most this part of the time left, so that calls with little time can run at all.
const MARGIN_DIVISOR: u32 = 10;

impl State {
    /// Returns the limits of the retry budgets.
    pub(super) const fn retry_limits(&self) -> Limits {
        if self.has_downloads {
            Limits::OVER_ALL_DAEMONS
        } else {
            Limits::USUAL
        }
    }

    /// Counts a call that a caller or a run has sent to this daemon.
    pub(super) fn count_arrival(&mut self, call: &Call, refused: bool, now: Instant) {
        if !self.has_downloads {
            if !refused {
                self.budget_of(&call.service, now).count_call(now);
            }
            return;
        }
        if call.inner {
            self.runs.called(now);
            if refused {
                self.runs.call_failed(now);
            }
        }
    }

    /// Counts a call for the retry budget when it is sent: calls that are refused for the limit of
    /// their account never reach a server. Calls of runs that are repeats count as retries.
    pub(super) fn count_sent(&mut self, call: &Call, now: Instant) {
        if !self.has_downloads {
            return;
        }
        let repeated = if call.inner {
            self.runs.repeated_share()
        } else {
            0.0
        };
        let budget = self.budget_of(&call.service, now);
        budget.count_inner_call(now, repeated);
    }

    /// Returns the refusal of a call while the backend servers of its service refuse too many. Calls
    /// of runs pass, since a slot is in use for them.
    pub(super) fn refuse_shed(
        &mut self,
        call: &Call,
        choice: &Choice,
        now: Instant,
        random: u64,
    ) -> Option<Refusal> {
        if !self.has_downloads {
            return None;
        }
        let shedding = self.shedding_of(&call.service, now);
        shedding.arrived(1.0, now);
        if call.inner || shedding.allows(now) {
            return None;
        }
        self.balancer
            .record_outcome(choice, Outcome::Neutral, Duration::ZERO, now);
        Some(shed_refusal(call, now, random))
    }

    /// Decides on another attempt, and counts what the failed one shows.
    pub(super) fn next_attempt(
        &mut self,
        id: CallId,
        call: &Call,
        retry: &retry::Call,
        failure: Failure,
        now: Instant,
        random: u64,
    ) -> Effect {
        if self.has_downloads && failure.cause.is_refused_by_server() {
            self.shedding_of(&call.service, now).refused(1.0, now);
        }
        let effect = self.retry(id, call, retry, failure, now, random);
        if call.inner && !matches!(effect, Effect::Forward { .. }) {
            self.runs.call_failed(now);
        }
        effect
    }

    /// Returns whether a backend server refused the call and others are expected to do so as well.
    pub(super) fn is_shedding(&mut self, call: &Call, failure: Failure, now: Instant) -> bool {
        self.has_downloads
            && failure.cause.is_refused_by_server()
            && !self.shedding_of(&call.service, now).allows_resend(now)
    }

    /// Returns the refusal, with the time to return, of a call that a server refused and that is not
    /// sent again. `None` if an earlier attempt may have run.
    pub(super) fn refuse_resend(
        &mut self,
        call: &Call,
        retry: &retry::Call,
        failure: Failure,
        now: Instant,
        random: u64,
    ) -> Option<Refusal> {
        let is_first = retry.tried.len() == retry.unsent + 1;
        (is_first && self.is_shedding(call, failure, now)).then(|| shed_refusal(call, now, random))
    }

    /// Returns the time until which a call may wait for a slot. The refusal of one that waited must reach
    /// the entry daemon before the deadline, or that has to report the outcome as unknown.
    pub fn slot_deadline(&self, call: &Call, now: Instant) -> Instant {
        if !self.has_downloads {
            return call.deadline;
        }
        let left = call.deadline.saturating_duration_since(now);
        now + left.saturating_sub(REFUSAL_MARGIN.min(left / MARGIN_DIVISOR))
    }

    /// Returns the refusal of a request whose calls are being rejected.
    pub(super) fn refuse_for_inner_calls(
        &mut self,
        call: &Call,
        now: Instant,
        random: u64,
    ) -> Option<Refusal> {
        let route = route_number(&call.plan, &call.path);
        if !self.rejects_early() || call.inner || !self.runs.rejects(route, now) {
            return None;
        }
        log_event!(
            LogEvent::InnerCallsRejected,
            service = call.service,
            path = call.path
        );
        let detail = "calls that the request would make are being rejected";
        let retry_at = return_at(call.deadline, now, random);
        Some(Refusal::early(Early::InnerCalls, detail, retry_at))
    }

    /// Returns whether calls that runs for the route of `call` make are being rejected.
    pub fn inner_calls_fail(&mut self, call: &Call, now: Instant) -> bool {
        self.rejects_early()
            && self
                .runs
                .is_failing(route_number(&call.plan, &call.path), now)
    }

    /// Returns whether requests are rejected early because of the calls that they would make.
    const fn rejects_early(&self) -> bool {
        self.has_downloads && self.max_refused_percent < 100
    }

    /// Adds a call that asks for a slot to the runs.
    pub(super) fn add_run(&mut self, id: CallId, call: &Call) {
        if !self.has_downloads {
            return;
        }
        let run = Run {
            route: route_number(&call.plan, &call.path),
            inner: call.inner,
            repeated: call.repeated,
        };
        self.runs.queued(id, run);
    }

    /// Tracks which calls run, by the decisions on them.
    pub(super) fn track_runs(&mut self, effects: &[Effect], now: Instant) {
        for effect in effects {
            match effect {
                Effect::Start { id } => self.runs.started(*id, now),
                Effect::Refuse { id, .. } => self.runs.ended(*id),
                _ => {}
            }
        }
    }

    fn shedding_of(&mut self, service: &ServiceName, now: Instant) -> &mut Shedding {
        if !self.shedding.contains_key(service) && self.shedding.len() >= MAX_SERVICES {
            self.shedding.clear();
        }
        let shedding = self.shedding.entry(service.clone());
        let percent = self.max_refused_percent;
        shedding.or_insert_with(|| Shedding::with_percent(percent, now))
    }
}

fn shed_refusal(call: &Call, now: Instant, random: u64) -> Refusal {
    log_event!(LogEvent::ServersShed, service = call.service);
    let detail = format!("the backend servers of {} shed load", call.service);
    let retry_at = return_at(call.deadline, now, random);
    Refusal::early(Early::ServersShed, detail, retry_at)
}
