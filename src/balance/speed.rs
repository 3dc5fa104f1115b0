//! Choice of a server by its measured speed, with the setting `server_speed: measured`.
//!
//! Load addressed: servers of uneven speed, of which a daemon sees one or two calls a second, so
//! that its own outstanding calls and latencies say little. The owner daemon of each server reports
//! with each answer the time that the server needs for a call of that kind. The ratio to the usual
//! time of the kind is the speed, and a server gets calls in proportion to it.
//!
//! Calls are not drawn at random: each server has a turn after a distance in virtual time that is
//! the inverse of its weight, and the next turn is taken (stride scheduling). The calls of many
//! daemons then vary less than those of a random draw, and a daemon that learns of free capacity
//! only changes the distance, so that daemons don't send there together.

use {
    super::{
        Balancer, CallProfile, Choice,
        draw::{Scored, SplitMix64},
        health::Health,
        pick::{PickContext, Tier},
    },
    crate::{
        load::SpeedReport,
        model::{Endpoint, ServerName},
        routes::Distance,
    },
    indexmap::IndexMap,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    strum::IntoEnumIterator as _,
};

/// Age up to which a report counts in full.
const FULL_TRUST: Duration = Duration::from_secs(1);
/// Time in which an older report loses half of its effect.
const TRUST_HALF_LIFE: Duration = Duration::from_secs(1);
/// Age up to which a report counts at all.
const MAX_AGE: Duration = Duration::from_secs(5);
/// Logarithms of the smallest and the largest speed. A false report of a high speed attracts one
/// more share of calls than the server's own.
const SPEEDS: [f64; 2] = [-std::f64::consts::LN_10, std::f64::consts::LN_2];
/// Weight of one report in the usual time of a kind.
const USUAL_WEIGHT: f64 = 1.0 / 64.0;
/// Maximum number of kinds of calls, beyond which the one known for longest is forgotten.
const MAX_KINDS: usize = 1024;
/// Wait that halves the weight of a server, as a multiple of its usual time.
const WAIT_FACTOR: f64 = 4.0;
/// Speed below which a server may be ejected for its latency.
const SLOW_SPEED: f64 = 0.15;
/// Smallest weight in the order of turns.
const MIN_WEIGHT: f64 = 1e-3;
/// Expected time until the answer in the own data centre, as a multiple of that elsewhere, from
/// which on calls are late here and leave; bytes between data centres are billed, and bytes between
/// regions cost four times as much.
const LATE_IN_REGION: f64 = 1.5;
/// The same multiple for another region.
const LATE_IN_OTHER_REGION: f64 = 2.5;
/// Largest share of the calls that leave: the rest shows when the own data centre has recovered.
const MAX_LEAVING: f64 = 0.9;
/// Network round trip to another data centre of the region, and to another region, in seconds.
const ROUND_TRIPS: [f64; 2] = [0.003, 0.06];

/// Latest knowledge of a server's speed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MeasuredSpeed {
    /// Logarithm of the speed, its expected wait in seconds, and the time of the report.
    report: Option<(f64, f64, Instant)>,
    /// Virtual time of the last turn.
    last_turn: Option<f64>,
}

impl MeasuredSpeed {
    /// Returns the factor on the weight; 1 without a recent report.
    pub(super) fn factor(&self, now: Instant) -> f64 {
        let Some((speed, _, at)) = self.report else {
            return 1.0;
        };
        let old = now.saturating_duration_since(at + FULL_TRUST);
        (speed * (-old.div_duration_f64(TRUST_HALF_LIFE)).exp2()).exp()
    }

    /// Returns the factor on the weight of a server whose calls usually take `usual` seconds. A wait
    /// for a slot lowers it little: it is known late, and the speed balances the load already. It
    /// counts for a server that runs fewer calls at once than its speed would allow.
    fn factor_with_wait(&self, usual: f64, now: Instant) -> f64 {
        self.factor(now) / (1.0 + self.wait(now) / (usual * WAIT_FACTOR))
    }

    fn is_known(&self, now: Instant) -> bool {
        self.report.is_some_and(|(.., at)| now < at + MAX_AGE)
    }

    /// Returns the part of the reported wait that has not passed, in seconds.
    fn wait(&self, now: Instant) -> f64 {
        self.report.map_or(0.0, |(_, wait, at)| {
            (wait - now.saturating_duration_since(at).as_secs_f64()).max(0.0)
        })
    }
}

/// Usual times of the kinds of calls, from which speeds are derived.
#[derive(Debug, Default)]
pub(super) struct UsualTimes {
    /// Average logarithm of the reported times of each kind.
    kinds: IndexMap<u32, f64>,
}

impl UsualTimes {
    /// Records a reported time in seconds; returns the logarithm of the speed.
    fn record(&mut self, kind: u32, time: f64) -> f64 {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            self.kinds.shift_remove_index(0);
        }
        let time = time.max(1e-6).ln();
        let usual = self.kinds.entry(kind).or_insert(time);
        let [min, max] = SPEEDS;
        let speed = (*usual - time).clamp(min, max);
        *usual -= speed * USUAL_WEIGHT;
        speed
    }
}

impl CallProfile {
    /// Whether the call has a large body or a large answer, and links decide on its server.
    pub(super) const fn is_large(&self) -> bool {
        self.bulk_target.is_some() || self.download_target.is_some()
    }
}

impl Balancer {
    /// Sets whether servers are chosen by measured speed.
    pub const fn set_measured(&mut self, measured: bool) {
        self.measured = measured;
    }

    /// Records the speed that the owner daemon reported with the answer to the call of `choice`.
    pub fn record_speed(&mut self, choice: &Choice, report: &SpeedReport, now: Instant) {
        let endpoint = &choice.endpoint;
        let Some(health) = self.servers.get_mut(&endpoint.server) else {
            return;
        };
        if health.is_incarnation(endpoint.incarnation) {
            let speed = self
                .usual_times
                .record(choice.route, report.time.as_secs_f64());
            health.speed.report = Some((speed, report.wait.as_secs_f64(), now));
        }
    }

    /// Returns the measured speed of `server`, 1 being usual; `None` without a recent report.
    pub fn speed_of(&self, server: &ServerName, now: Instant) -> Option<f64> {
        let health = self.servers.get(server)?;
        let known = health.speed.is_known(now);
        known.then(|| health.speed.factor(now))
    }

    /// Returns the candidate that has the next turn, and moves its turn. Returns `None` unless the
    /// speeds of at least half of the candidates are known, and if one has to wait for its link.
    pub(super) fn next_turn(
        &mut self,
        group: &[Arc<Endpoint>],
        cx: &PickContext<'_>,
        rng: &mut SplitMix64,
    ) -> Option<usize> {
        if !self.measured {
            return None;
        }
        let now = cx.now;
        let health_of = |scored: &Scored| &self.servers[&group[scored.index].server];
        let speed_of = |scored: &Scored| &health_of(scored).speed;
        let known = self.scored.iter().filter(|s| speed_of(s).is_known(now));
        let waits = |scored: &Scored| cx.body_wait(health_of(scored)) > 0.0;
        if known.count() * 2 < self.scored.len() || self.scored.iter().any(waits) {
            return None;
        }
        let usual = self.usual_answer(cx).unwrap_or(1.0);
        let turns = self.scored.iter().filter_map(|s| speed_of(s).last_turn);
        let virtual_time = turns.fold(0.0, f64::max);
        let mut next = None;
        for scored in &self.scored {
            let speed = &mut self.servers[&group[scored.index].server].speed;
            let weight = scored.weight * speed.factor_with_wait(usual, now);
            let distance = 1.0 / weight.max(MIN_WEIGHT);
            let on_time = |last: &f64| *last + distance >= virtual_time;
            // A server that could not be chosen for some time begins anywhere in its distance, or
            // all daemons would send it a call as soon as it can be.
            let last = match speed.last_turn.filter(on_time) {
                Some(last) => last,
                None => *speed
                    .last_turn
                    .insert(virtual_time - distance * rng.next_unit()),
            };
            let due = last + distance;
            if next.is_none_or(|(earliest, _)| due < earliest) {
                next = Some((due, scored.index));
            }
        }
        let (due, index) = next?;
        self.servers[&group[index].server].speed.last_turn = Some(due);
        Some(index)
    }

    /// Returns the mean service time in the nearest group with one, in seconds.
    fn usual_answer(&self, cx: &PickContext<'_>) -> Option<f64> {
        Distance::iter().find_map(|distance| {
            let group = cx.candidates.group(distance).iter();
            let health = group.filter_map(|endpoint| self.servers.get(&endpoint.server));
            let times = health.filter_map(|health| health.service_time(cx.now));
            let (count, sum) =
                times.fold((0.0, 0.0), |(count, sum), time| (count + 1.0, sum + time));
            (count > 0.0).then_some(sum / count)
        })
    }

    /// Whether the owner daemon of a server reports that it is not much slower than usual. A daemon
    /// that sends it few calls of several kinds may take a few long ones for slowness.
    pub(super) fn is_known_as_fast(&self, server: &ServerName, now: Instant) -> bool {
        self.measured
            && self
                .speed_of(server, now)
                .is_some_and(|speed| speed > SLOW_SPEED)
    }

    /// Chooses a server outside the nearest group if the call leaves it.
    pub(super) fn pick_leaving(
        &mut self,
        cx: &PickContext<'_>,
        rng: &mut SplitMix64,
    ) -> Option<Choice> {
        let distance = self.leaving_for(cx, rng)?;
        self.pick_in_group(cx, Tier::Usable, distance, rng)
    }

    /// Returns the group in which a call is tried first because the servers of the nearest one
    /// would answer late. The share of the calls that leaves grows with the difference.
    fn leaving_for(&self, cx: &PickContext<'_>, rng: &mut SplitMix64) -> Option<Distance> {
        let now = cx.now;
        let usual = self.usual_answer(cx)?;
        let expected = |distance| {
            let usable = cx.candidates.group(distance).iter().filter_map(|endpoint| {
                let health = self.servers.get(&endpoint.server)?;
                let usable = cx.profile.tier(health, now) == Tier::Usable;
                (usable && !cx.exclude.contains(&endpoint.server)).then_some(health)
            });
            expected_answer(usable, usual, now)
        };
        let (nearest, near) =
            Distance::iter().find_map(|distance| Some((distance, expected(distance)?)))?;
        let others = Distance::iter().filter(|distance| *distance > nearest);
        let mut leaving = others.filter_map(|distance| {
            let (late, round_trip) = match distance {
                Distance::OtherRegion => (LATE_IN_OTHER_REGION, ROUND_TRIPS[1]),
                _ => (LATE_IN_REGION, ROUND_TRIPS[0]),
            };
            let excess = near / (expected(distance)? + round_trip) - late;
            (excess > 0.0).then_some((distance, excess.min(MAX_LEAVING)))
        });
        let (distance, share) = leaving.next()?;
        (rng.next_unit() < share).then_some(distance)
    }
}

/// Returns the expected time until the answer of a call that goes to one of `servers` in proportion
/// to their speeds, in seconds; a usual one needs `usual`. `None` without servers.
fn expected_answer<'a>(
    servers: impl Iterator<Item = &'a Health>,
    usual: f64,
    now: Instant,
) -> Option<f64> {
    let (mut weights, mut sum) = (0.0, 0.0);
    for health in servers {
        let speed = health.speed.factor(now);
        let weight = health.weight(now) * health.speed.factor_with_wait(usual, now);
        weights += weight;
        sum += weight * (usual / speed + health.speed.wait(now));
    }
    (weights > 0.0).then(|| sum / weights)
}
