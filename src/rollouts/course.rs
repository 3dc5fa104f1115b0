//! Progress of one running rollout at the leader: its stages, and the evidence that each of them needs.

use {
    super::{
        Rollout, ServiceReport, Verdict, VersionTag, View,
        judge::{COLD, WARM, is_leaning, judge, since},
        relay::WHOLE,
    },
    crate::{
        model::{Endpoint, ServerState},
        settings::RolloutLimits,
    },
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
    strum::Display,
};

/// Shares after the new version is judged, in millionths.
const RAMP: [u32; 3] = [250_000, 500_000, 800_000];
/// Part of the allowed exposure that is used, since shares reach daemons at different times.
const EXPOSURE_MARGIN: f64 = 0.8;
/// Shortest time at each share of the ramp.
const RAMP_STEP: Duration = Duration::from_millis(800);
/// Time after which evidence on a route with few calls is no longer awaited, as a part of the duration.
const PATIENCE: f64 = 0.4;
/// Time after the first call of a new version for which its servers may be cold. The platform's servers
/// are for 3 s after their start, and the calls that they had then have to end.
const COLD_TIME: Duration = Duration::from_millis(3_700);
/// Length of the window in which a version that turns bad later is judged.
const WINDOW: Duration = Duration::from_secs(2);
/// Time without a new server of the version after which no more are awaited. On deployment days one
/// starts each 3 s.
const SERVERS_SETTLED: Duration = Duration::from_millis(3_500);
/// Time before the deadline at which a judged version gets all calls whatever its servers, in
/// milliseconds: in-flight calls of the other version have to end.
const HURRY_MS: u64 = 5_000;
/// Time before the deadline at which an undecided rollout is rolled back, in milliseconds.
const UNDECIDED_MARGIN_MS: u64 = 2_500;
/// Time before the deadline at which any rollout is rolled back, in milliseconds: the end has to be
/// durable before the deadline.
const FINAL_MARGIN_MS: u64 = 700;
/// Part of the new servers' slots that the expected calls in flight may use.
const MAX_UTILIZATION: f64 = 0.8;
/// Part of the calls allowed in addition that is used; the rest covers calls that arrive faster than
/// before, and the daemons' first calls.
const SLACK_PART: f64 = 0.5;
/// Time in which a smaller share is in use at all daemons, also at those out of contact.
const SHARE_DELAY: Duration = Duration::from_secs(3);
/// Time after which the rate of the calls is known.
const MIN_RATE_TIME: Duration = Duration::from_secs(1);
/// Largest share of a version that isn't judged, for a service with few calls.
const MAX_CANARY_SHARE: f64 = 0.5;

/// Stage of a running rollout, which determines its exposure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Stage {
    /// No call uses the new version: leases of an earlier leader may run, or it has no server.
    Waiting,
    /// A small share of the calls that may run more than once.
    Canary,
    /// A small share of all calls.
    AllRoutes,
    /// A growing share; the index into the steps.
    Ramp(usize),
    /// No call may use another version.
    Only,
    /// No call may use the new version; the end is not durable yet.
    RollingBack,
}

/// State of the servers of a service, as the leader sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Servers {
    new: u32,
    new_slots: u32,
    old_slots: u32,
}

/// Progress of one running rollout.
#[derive(Clone, Debug)]
pub(super) struct Course {
    pub(super) rollout: Rollout,
    pub(super) stage: Stage,
    stage_since: Instant,
    /// Time at which the leader saw the order first.
    seen_at: Instant,
    /// Time before which no call may use the new version.
    not_before: Instant,
    /// Share of the calls in millionths.
    pub(super) share: u32,
    servers: Servers,
    servers_since: Instant,
    /// Earlier reports, at most as old as [`WINDOW`].
    earlier: VecDeque<(Instant, ServiceReport)>,
    /// When its first servers are no longer cold; `None` before the first call.
    warm_at: Option<Instant>,
    /// Report at that time.
    warm: Option<ServiceReport>,
    pub(super) reason: String,
    pub(super) propose_at: Instant,
}

impl Course {
    /// Creates the state of a rollout that the leader sees first at `now`. No call uses the new version
    /// before `not_before`.
    pub(super) fn new(rollout: &Rollout, not_before: Instant, now: Instant) -> Self {
        Self {
            rollout: rollout.clone(),
            stage: Stage::Waiting,
            stage_since: now,
            seen_at: now,
            not_before,
            share: 0,
            servers: Servers::default(),
            servers_since: now,
            earlier: VecDeque::new(),
            warm_at: None,
            warm: None,
            reason: "ordered".to_owned(),
            propose_at: now,
        }
    }

    /// Sets the share for the stage.
    pub(super) fn set_share(
        &mut self,
        limits: &RolloutLimits,
        report: Option<&ServiceReport>,
        now: Instant,
    ) {
        let share = match self.stage {
            Stage::Waiting | Stage::RollingBack => 0.0,
            Stage::Canary | Stage::AllRoutes => {
                canary_share(limits, report, now.saturating_duration_since(self.seen_at))
            }
            Stage::Ramp(index) => f64::from(RAMP[index.min(RAMP.len() - 1)]) / f64::from(WHOLE),
            Stage::Only => 1.0,
        };
        self.share = (share * f64::from(WHOLE)) as u32;
    }

    pub(super) fn count_servers<'a>(
        &mut self,
        allowed: Option<VersionTag>,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        now: Instant,
    ) {
        let target = VersionTag::of(&self.rollout.target);
        let mut servers = Servers::default();
        for endpoint in endpoints.filter(|endpoint| endpoint.state == ServerState::Serving) {
            let version = VersionTag::of_incarnation(endpoint.incarnation);
            if version == Some(target) {
                servers.new += 1;
                servers.new_slots += endpoint.slots;
            } else if version == allowed {
                servers.old_slots += endpoint.slots;
            }
        }
        if servers.new != self.servers.new {
            self.servers_since = now;
        }
        self.servers = servers;
    }

    /// Moves to the next stage if the evidence allows it; returns whether the rollout has succeeded, or
    /// is rolled back.
    pub(super) fn step(
        &mut self,
        report: Option<&ServiceReport>,
        has_version: bool,
        settled: bool,
        view: View<'_>,
    ) -> Option<bool> {
        let left_ms = self.rollout.deadline_ms.saturating_sub(view.unix_ms);
        let verdicts = report.map(|report| self.judge(report, view.now));
        let (safe, all) = verdicts.unwrap_or((Verdict::Open, Verdict::Open));
        let now = view.now;
        if self.stage == Stage::RollingBack {
            return Some(false);
        }
        if all.is_bad() {
            self.enter(
                Stage::RollingBack,
                format!("the new version is {all:?}"),
                now,
            );
            return Some(false);
        }
        if self.stage == Stage::Only {
            if left_ms <= FINAL_MARGIN_MS {
                let reason = "calls of the old version are in flight at the deadline";
                self.enter(Stage::RollingBack, reason.to_owned(), now);
                return Some(false);
            }
            return settled.then_some(true);
        }
        if left_ms <= UNDECIDED_MARGIN_MS {
            let reason = format!("undecided shortly before the deadline, at {}", self.stage);
            self.enter(Stage::RollingBack, reason, now);
            return Some(false);
        }
        let elapsed_ms = self.rollout.duration_ms.saturating_sub(left_ms);
        let patient = (elapsed_ms as f64) < PATIENCE * self.rollout.duration_ms as f64;
        let hurry = left_ms <= HURRY_MS;
        match self.stage {
            Stage::Waiting if now >= self.not_before && has_version && self.servers.new > 0 => {
                self.enter(Stage::Canary, "servers of it are in use".to_owned(), now);
            }
            Stage::Canary if safe == Verdict::Good || !patient => {
                self.enter(
                    Stage::AllRoutes,
                    format!("repeatable calls are {safe:?}"),
                    now,
                );
            }
            Stage::AllRoutes
                if all == Verdict::Good || !patient && report.is_some_and(is_leaning) =>
            {
                self.enter(Stage::Ramp(0), format!("all routes are {all:?}"), now);
            }
            Stage::Ramp(index) if hurry || now >= self.stage_since + RAMP_STEP => {
                self.ramp(index, report, hurry, now);
            }
            _ => {}
        }
        None
    }

    fn ramp(&mut self, index: usize, report: Option<&ServiceReport>, hurry: bool, now: Instant) {
        let next = index + 1;
        let share = RAMP.get(next).copied().unwrap_or(WHOLE);
        let in_flight = report.map_or(0, |report| report.in_flight);
        let demand = f64::from(in_flight) * f64::from(share) / f64::from(WHOLE);
        let Servers {
            new_slots,
            old_slots,
            ..
        } = self.servers;
        let fits = demand <= f64::from(new_slots) * MAX_UTILIZATION;
        if !fits && !hurry {
            self.reason = format!("{new_slots} slots are too few for the calls in flight");
            return;
        }
        if next < RAMP.len() && !hurry {
            self.enter(Stage::Ramp(next), "no fault".to_owned(), now);
            return;
        }
        let complete = new_slots >= old_slots || now >= self.servers_since + SERVERS_SETTLED;
        if complete || hurry {
            self.enter(Stage::Only, "no fault".to_owned(), now);
        } else {
            "more servers of it are starting".clone_into(&mut self.reason);
        }
    }

    /// Judges the whole time and the last seconds: repeatable calls, and all.
    fn judge(&mut self, report: &ServiceReport, now: Instant) -> (Verdict, Verdict) {
        self.remember(report, now);
        let all = judge(report, WARM, |_| true);
        let safe = judge(report, WARM, |at_most_once| !at_most_once);
        let Some(warm) = &self.warm else {
            let cold = judge(report, COLD, |_| true);
            // Slower than a warm version may be, but perhaps only cold.
            let open = |verdict| match verdict {
                Verdict::Slow => Verdict::Open,
                verdict => verdict,
            };
            return (open(safe), if cold.is_bad() { cold } else { open(all) });
        };
        let warm = since(report, warm);
        let recent = self.earlier.front();
        let recent = recent.map(|(_, before)| judge(&since(report, before), WARM, |_| true));
        let since_warm = judge(&warm, WARM, |_| true);
        // The answers of cold servers are in the sum of all, which is not slow by them.
        let mut later = [Some(since_warm), recent].into_iter().flatten();
        let bad = later.find(|verdict| verdict.is_bad());
        let good = since_warm == Verdict::Good || all == Verdict::Good;
        let safe_warm = judge(&warm, WARM, |at_most_once| !at_most_once);
        let all = match (bad, all) {
            (Some(bad), _) => bad,
            (None, Verdict::Failing) => all,
            (None, _) if good => Verdict::Good,
            _ => Verdict::Open,
        };
        (
            if safe == Verdict::Good {
                safe
            } else {
                safe_warm
            },
            all,
        )
    }

    /// Keeps the reports with which later ones are compared.
    fn remember(&mut self, report: &ServiceReport, now: Instant) {
        if report.exposed > 0 {
            let warm_at = *self.warm_at.get_or_insert(now + COLD_TIME);
            if now >= warm_at && self.warm.is_none() {
                self.warm = Some(report.clone());
                // The window must not reach back to cold servers.
                self.earlier.clear();
            }
        }
        let newest = self.earlier.back();
        if newest.is_none_or(|(at, _)| *at + WINDOW / 8 <= now) {
            self.earlier.push_back((now, report.clone()));
        }
        let old_enough = |(at, _): &(Instant, ServiceReport)| *at + WINDOW <= now;
        while self.earlier.len() > 1 && self.earlier.get(1).is_some_and(old_enough) {
            self.earlier.pop_front();
        }
    }

    fn enter(&mut self, stage: Stage, reason: String, now: Instant) {
        self.stage = stage;
        self.stage_since = now;
        self.reason = reason;
    }
}

/// Returns the share for a version that isn't judged. A service with few calls uses a part of the number
/// of calls that are allowed in addition: as many as arrive until a smaller share is in use everywhere.
fn canary_share(limits: &RolloutLimits, report: Option<&ServiceReport>, elapsed: Duration) -> f64 {
    let share = limits.exposure_share.get() * EXPOSURE_MARGIN;
    let (requests, exposed) = report.map_or((0, 0), |report| (report.requests, report.exposed));
    let slack = f64::from(limits.exposure_slack) * SLACK_PART;
    let left = share * requests as f64 + slack - exposed as f64;
    let rate = requests as f64 / elapsed.as_secs_f64().max(MIN_RATE_TIME.as_secs_f64());
    if elapsed < MIN_RATE_TIME || rate <= 0.0 {
        return share;
    }
    let until_replaced = rate * SHARE_DELAY.as_secs_f64();
    let share_of_few = (left / until_replaced).min(MAX_CANARY_SHARE);
    // Steps of an eighth, so that the share doesn't change with each report.
    ((share_of_few * 8.0).floor() / 8.0).max(share)
}
