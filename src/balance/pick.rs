//! Selection of a server for one call.

use {
    super::{
        Balancer, Choice,
        draw::{Scored, SplitMix64, draw},
        health::Health,
    },
    crate::{
        model::{Endpoint, Grant, Rank, ServerName, Work},
        routes::{Candidates, Distance, Route},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    strum::IntoEnumIterator,
};

/// Maximum share of the calls that probe one ejected server.
pub const PROBE_SHARE: f64 = 0.05;
/// Maximum share of the calls that probe ejected servers of one group together.
const ALL_PROBES_SHARE: f64 = 0.15;

/// Share of the calls that go to another data centre of the region although the own one has usable
/// servers; otherwise the peers of a slow server that is alone in its data centre would have no
/// latency samples. Below 1% so that the longer round trips do not raise the 99th percentile.
const EXPLORE_SHARE: f64 = 0.005;
/// The same share while no latency in the other data centres is known.
const INITIAL_EXPLORE_SHARE: f64 = 0.1;

/// Preference class of a server, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Tier {
    Usable,
    /// This daemon's outstanding calls fill its slots, or it is unresponsive.
    Full,
    /// It refused a call of this rank and the retry-after time has not passed.
    Refusing,
    /// Ejected, possibly being probed.
    Ejected,
}

/// A call spills over to another data centre of the region if its expected completion time there is
/// below this share of that in the nearest group: bytes between data centres are billed, and
/// estimates are noisy.
const REGION_SPILLOVER_RATIO: f64 = 0.75;
/// The same share for another region; bytes between regions cost four times as much.
const OTHER_REGION_SPILLOVER_RATIO: f64 = 0.5;
/// Share of the calls that do not spill over, to detect when the own data centre has recovered.
const OWN_DATA_CENTRE_PROBE_SHARE: f64 = 0.03;

/// Default target latency of calls with a large body whose grant sets none; callers rarely wait for
/// uploads.
const DEFAULT_BULK_TARGET: Duration = Duration::from_secs(1);

/// Distances of the groups in the own region.
const OWN_REGION: [Distance; 2] = [Distance::OwnDataCentre, Distance::OwnRegion];

const TIERS: [Tier; 4] = [Tier::Usable, Tier::Full, Tier::Refusing, Tier::Ejected];

/// Inputs of one pick.
pub(super) struct PickContext<'a> {
    pub(super) candidates: &'a Candidates,
    pub(super) profile: CallProfile,
    pub(super) now: Instant,
    pub(super) exclude: &'a [ServerName],
}

/// Properties of a call that affect the choice of its server.
#[derive(Clone, Copy, Debug)]
pub struct CallProfile {
    /// Rank of the call.
    pub rank: Rank,
    /// Target latency of a call with a large body; `None` for a small body. Transferring a large
    /// body costs more than an early answer is worth, so the call leaves its data centre only if it
    /// would miss this target, and its region only if no server there can be chosen.
    pub bulk_target: Option<Duration>,
    /// Target latency of a call with a large answer; `None` for other calls. Such a call leaves its
    /// data centre only if the links of the servers there are known to be full, or if it would miss
    /// this target there.
    pub download_target: Option<Duration>,
}

impl CallProfile {
    /// Returns the profile of a call of `rank` with a small body.
    ///
    /// ```
    /// use anvilbeam::{balance::CallProfile, model::Rank};
    /// assert!(CallProfile::small(Rank::Low).bulk_target.is_none());
    /// ```
    pub const fn small(rank: Rank) -> Self {
        Self {
            rank,
            bulk_target: None,
            download_target: None,
        }
    }

    /// Returns the profile of a call of `rank` under `grant`.
    pub fn for_grant(grant: &Grant, rank: Rank) -> Self {
        let target = grant.terms.target_ms.map(Duration::from_millis);
        let target = target.unwrap_or(DEFAULT_BULK_TARGET);
        let target_of = |work| (grant.terms.work == Some(work)).then_some(target);
        Self {
            rank,
            bulk_target: target_of(Work::Upload),
            download_target: target_of(Work::Download),
        }
    }
}

impl PickContext<'_> {
    /// Expected wait until the owner daemon receives the large body of the call, or sends its large
    /// answer, in seconds.
    pub(super) fn body_wait(&self, health: &Health) -> f64 {
        if self.profile.download_target.is_some() {
            health.answer_wait(self.profile.rank, self.now)
        } else if self.profile.bulk_target.is_some() {
            health.body_wait(self.now)
        } else {
            0.0
        }
    }

    /// Whether a call with an expected completion time of `expected` seconds in the nearest group
    /// may go to the group at `distance`.
    fn may_spill_over(&self, expected: f64, distance: Distance) -> bool {
        let target = self.profile.bulk_target.or(self.profile.download_target);
        target.is_none_or(|target| {
            expected > target.as_secs_f64() && distance != Distance::OtherRegion
        })
    }
}

/// The server of a group with the earliest expected completion; times are in seconds.
struct BestServer<'a> {
    endpoint: &'a Arc<Endpoint>,
    expected_completion: f64,
    service_time: f64,
}

/// Returns the additional network round trip to a group compared with the own data centre, in
/// seconds: about twice the one-way delays of the planned network, 1 ms between data centres and
/// 12 ms between regions.
const fn extra_round_trip(distance: Distance) -> f64 {
    match distance {
        Distance::OwnDataCentre => 0.0,
        Distance::OwnRegion => 0.002,
        Distance::OtherRegion => 0.025,
    }
}

/// Returns the share of the nearest group's completion time below which a call spills over to a
/// group at `distance`.
const fn max_spillover_ratio(distance: Distance) -> f64 {
    match distance {
        Distance::OwnDataCentre => 1.0,
        Distance::OwnRegion => REGION_SPILLOVER_RATIO,
        Distance::OtherRegion => OTHER_REGION_SPILLOVER_RATIO,
    }
}

impl Balancer {
    /// Chooses a backend server for a call on `route` and counts the call as outstanding.
    ///
    /// `random` is a new random number; servers in `exclude` are not chosen. Returns `None` if all
    /// candidates are excluded.
    pub fn pick(
        &mut self,
        route: &Route<'_>,
        now: Instant,
        random: u64,
        exclude: &[ServerName],
    ) -> Option<Choice> {
        self.pick_from(
            route.candidates,
            CallProfile::for_grant(route.grant, route.rank),
            now,
            random,
            exclude,
        )
    }

    /// Same as `pick`, from the parts of a route.
    pub fn pick_from(
        &mut self,
        candidates: &Candidates,
        profile: CallProfile,
        now: Instant,
        random: u64,
        exclude: &[ServerName],
    ) -> Option<Choice> {
        let cx = PickContext {
            candidates,
            profile,
            now,
            exclude,
        };
        let mut rng = SplitMix64(random);
        if self.measured && !profile.is_large() {
            let choice = self.pick_leaving(&cx, &mut rng);
            if choice.is_some() {
                return choice;
            }
        } else if rng.next_unit() >= OWN_DATA_CENTRE_PROBE_SHARE
            && let Some((distance, endpoint)) = self.spillover(&cx)
        {
            self.servers[&endpoint.server].call_started(now);
            return Some(Choice {
                endpoint,
                distance,
                rank: profile.rank,
                probe: false,
                route: 0,
            });
        }
        if profile.bulk_target.is_some() {
            let choice = self.pick_among(&cx, &OWN_REGION, &mut rng);
            if choice.is_some() {
                return choice;
            }
        } else if profile.download_target.is_none() && self.explores_region(&cx, &mut rng) {
            let choice = self.pick_in_group(&cx, Tier::Usable, Distance::OwnRegion, &mut rng);
            if choice.is_some() {
                return choice;
            }
        }
        let distances: Vec<_> = Distance::iter().collect();
        self.pick_among(&cx, &distances, &mut rng)
    }

    /// Chooses among the groups at `distances`, servers of the best tier first.
    fn pick_among(
        &mut self,
        cx: &PickContext<'_>,
        distances: &[Distance],
        rng: &mut SplitMix64,
    ) -> Option<Choice> {
        // Most calls find a usable server in the first iteration, in the nearest group.
        TIERS.into_iter().find_map(|tier| {
            let mut groups = distances.iter();
            groups.find_map(|distance| self.pick_in_group(cx, tier, *distance, rng))
        })
    }

    /// Returns a server that is expected to answer much earlier than the best one of the nearest
    /// group, according to the loads that owner daemons reported.
    fn spillover(&self, cx: &PickContext<'_>) -> Option<(Distance, Arc<Endpoint>)> {
        let (nearest, near) = Distance::iter()
            .find_map(|distance| Some((distance, self.best(cx, distance, None)?)))?;
        let expected = near.expected_completion + extra_round_trip(nearest);
        let others = Distance::iter().filter(|distance| *distance > nearest);
        let others = others.filter_map(|distance| {
            let best = self.best(cx, distance, Some(near.service_time))?;
            let completion = best.expected_completion + extra_round_trip(distance);
            let much_sooner = completion < expected * max_spillover_ratio(distance);
            (much_sooner && cx.may_spill_over(expected, distance)).then_some((
                completion,
                distance,
                best.endpoint,
            ))
        });
        let (_, distance, endpoint) = others.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some((distance, Arc::clone(endpoint)))
    }

    /// Returns the usable server of a group with the earliest expected completion; `None` if none
    /// has a service time. `service_time` is the default for servers that have not reported one.
    fn best<'a>(
        &self,
        cx: &PickContext<'a>,
        distance: Distance,
        service_time: Option<f64>,
    ) -> Option<BestServer<'a>> {
        let group = cx.candidates.group(distance).iter();
        let usable = group.filter_map(|endpoint| {
            let health = self.servers.get(&endpoint.server)?;
            let usable = cx.profile.tier(health, cx.now) == Tier::Usable;
            let excluded = cx.exclude.contains(&endpoint.server);
            (usable && !excluded).then_some((endpoint, health))
        });
        let best = usable.filter_map(|(endpoint, health)| {
            let service_time = health.service_time(cx.now).or(service_time)?;
            Some(BestServer {
                endpoint,
                expected_completion: health.expected_completion(service_time, cx.now)
                    + cx.body_wait(health),
                service_time,
            })
        });
        best.min_by(|a, b| a.expected_completion.total_cmp(&b.expected_completion))
    }

    /// Whether a call tries the other data centres of the region first. A small share always does,
    /// and more while the servers of the own data centre are in slow start; otherwise a server
    /// alone in its data centre would get its full share at once.
    fn explores_region(&self, cx: &PickContext<'_>, rng: &mut SplitMix64) -> bool {
        let health_in = |distance| {
            let group = cx.candidates.group(distance).iter();
            group.filter_map(|endpoint| self.servers.get(&endpoint.server))
        };
        let own = health_in(Distance::OwnDataCentre).map(|health| health.ramp(cx.now));
        let warmest = own.fold(0.0, f64::max);
        let sample = rng.next_unit();
        // Most calls stay, whether or not latencies in the region are known.
        if sample < warmest * (1.0 - INITIAL_EXPLORE_SHARE) {
            return false;
        }
        let mut region = health_in(Distance::OwnRegion);
        let share = if region.any(|health| health.latency().is_some()) {
            EXPLORE_SHARE
        } else {
            INITIAL_EXPLORE_SHARE
        };
        sample >= warmest * (1.0 - share)
    }

    /// Chooses among the servers of one group in one tier.
    pub(super) fn pick_in_group(
        &mut self,
        cx: &PickContext<'_>,
        tier: Tier,
        distance: Distance,
        rng: &mut SplitMix64,
    ) -> Option<Choice> {
        let group = cx.candidates.group(distance);
        self.collect_candidates(group, tier, cx);
        let (index, probe) = self.choose(group, tier, cx, rng)?;
        let endpoint = Arc::clone(&group[index]);
        self.servers[&endpoint.server].call_started(cx.now);
        Some(Choice {
            endpoint,
            distance,
            rank: cx.profile.rank,
            probe,
            route: 0,
        })
    }

    /// Collects the servers of `group` that are in `tier`, and for [`Tier::Usable`] also the ejected
    /// ones that need a probe.
    fn collect_candidates(&mut self, group: &[Arc<Endpoint>], tier: Tier, cx: &PickContext<'_>) {
        let now = cx.now;
        self.scored.clear();
        self.probing.clear();
        for (index, endpoint) in group.iter().enumerate() {
            if cx.exclude.contains(&endpoint.server) {
                continue;
            }
            if !self.servers.contains_key(&endpoint.server) {
                self.add_server(endpoint, now);
            }
            let health = &self.servers[&endpoint.server];
            if tier == Tier::Usable && health.needs_probe(now) {
                self.probing.push(index);
            }
            if cx.profile.tier(health, now) == tier {
                self.scored.push(Scored {
                    index,
                    weight: health.weight(now),
                    queue_length: health.queue_length(),
                    latency: health
                        .expected_latency(now)
                        .map(|latency| latency + cx.body_wait(health)),
                });
            }
        }
    }

    /// Adds a server that is a candidate before `sync` has added it.
    fn add_server(&mut self, endpoint: &Endpoint, now: Instant) {
        let members = self
            .servers_by_service
            .entry(endpoint.service.clone())
            .or_default();
        members.insert(endpoint.server.clone());
        let health = Health::new(endpoint, Some(now), self.paced, now);
        self.servers.insert(endpoint.server.clone(), health);
    }

    /// Returns the index of the chosen server in its group, and whether the call is a probe. Of two
    /// weighted draws, the server that is expected to answer sooner is chosen.
    fn choose(
        &mut self,
        group: &[Arc<Endpoint>],
        tier: Tier,
        cx: &PickContext<'_>,
        rng: &mut SplitMix64,
    ) -> Option<(usize, bool)> {
        if !self.probing.is_empty() {
            let share = PROBE_SHARE.min(ALL_PROBES_SHARE / self.probing.len() as f64);
            let probe = (rng.next_unit() / share) as usize;
            if let Some(index) = self.probing.get(probe) {
                return Some((*index, true));
            }
        }
        if let Some(index) = self.next_turn(group, cx, rng) {
            return Some((index, tier == Tier::Ejected));
        }
        let first = draw(&self.scored, None, rng)?;
        let better = draw(&self.scored, Some(first.index), rng)
            .filter(|second| second.is_faster_than(&first))
            .unwrap_or(first);
        Some((better.index, tier == Tier::Ejected))
    }
}
