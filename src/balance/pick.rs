//! Choice of a server for one call.

use {
    super::{
        Balancer, Choice,
        draw::{Draws, Scored, draw},
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

/// Share of the calls that one server under probing may get.
pub const PROBE_SHARE: f64 = 0.05;
/// Share of the calls that all servers under probing of one group may get.
const ALL_PROBES_SHARE: f64 = 0.15;

/// Share of the calls that go to another data centre of the region though the own one has usable
/// servers: else a slow server that is alone in its data centre has no known peers. Below one call
/// in 100, so that the longer way does not show in the 99th percentile.
const EXPLORE_SHARE: f64 = 0.005;
/// The same while no latency of the region is known.
const FIRST_EXPLORE_SHARE: f64 = 0.1;

/// How willing a server is, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Tier {
    Usable,
    /// Own outstanding calls fill its slots.
    Full,
    /// It refused a call of this rank a moment ago.
    Refusing,
    /// Ejected or under probing.
    Ejected,
}

/// Part of the own data centre's expected time that a server of the own region must undercut:
/// bytes between data centres are billed, and estimates are noisy.
const REGION_RELIEF_SHARE: f64 = 0.75;
/// Part that a server of another region must undercut; bytes between regions cost four times as
/// much.
const FAR_RELIEF_SHARE: f64 = 0.5;
/// Share of the calls that stay in the own data centre all the same, to notice when it is better
/// again.
const RETURN_SHARE: f64 = 0.03;

/// Time within which the answer to a large body is wanted where its grant names none: uploads are
/// rarely waited for.
const BULK_TARGET: Duration = Duration::from_secs(1);

/// Distances of the own region.
const REGION: [Distance; 2] = [Distance::OwnDataCentre, Distance::OwnRegion];

const TIERS: [Tier; 4] = [Tier::Usable, Tier::Full, Tier::Refusing, Tier::Ejected];

/// What a pick is made for.
struct Call<'a> {
    candidates: &'a Candidates,
    wanted: Wanted,
    now: Instant,
    exclude: &'a [ServerName],
}

/// What the choice depends on apart from the servers.
#[derive(Clone, Copy, Debug)]
pub struct Wanted {
    /// Rank of the call.
    pub rank: Rank,
    /// For a call with a large body, the time within which its answer is wanted. Its bytes cost
    /// more on their way than an early answer is worth, so it leaves its data centre only when it
    /// would be later than this, and its region only when no server is left there.
    pub bulk: Option<Duration>,
}

impl Wanted {
    /// A call of `rank` with a small body.
    ///
    /// ```
    /// use anvilbeam::{balance::Wanted, model::Rank};
    /// assert!(Wanted::small(Rank::Low).bulk.is_none());
    /// ```
    pub const fn small(rank: Rank) -> Self {
        Self { rank, bulk: None }
    }

    fn of(grant: &Grant) -> Self {
        let bulk = (grant.terms.work == Some(Work::Upload)).then(|| {
            let target = grant.terms.target_ms.map(Duration::from_millis);
            target.unwrap_or(BULK_TARGET)
        });
        Self {
            rank: grant.rank,
            bulk,
        }
    }
}

impl Call<'_> {
    /// Whether a call that is expected to be answered after `expected` seconds nearby may go to
    /// another group.
    fn may_leave(&self, expected: f64, distance: Distance) -> bool {
        self.wanted.bulk.is_none_or(|target| {
            expected > target.as_secs_f64() && distance != Distance::OtherRegion
        })
    }
}

/// Expected answer of the best server of a group, in seconds.
struct Best<'a> {
    endpoint: &'a Arc<Endpoint>,
    completion: f64,
    service_time: f64,
}

/// Time of the way to a group and back beyond that inside the data centre, in seconds: twice the
/// delays of the planned network, 1 ms between data centres and 12 ms between regions.
const fn travel(distance: Distance) -> f64 {
    match distance {
        Distance::OwnDataCentre => 0.0,
        Distance::OwnRegion => 0.002,
        Distance::OtherRegion => 0.025,
    }
}

const fn relief_share(distance: Distance) -> f64 {
    match distance {
        Distance::OwnDataCentre => 1.0,
        Distance::OwnRegion => REGION_RELIEF_SHARE,
        Distance::OtherRegion => FAR_RELIEF_SHARE,
    }
}

impl Balancer {
    /// Chooses a backend server for a call on `route` and counts the call as outstanding.
    ///
    /// `random` is a fresh random number; servers in `exclude` are not chosen. `None` means that
    /// all candidates are excluded.
    pub fn pick(
        &mut self,
        route: &Route<'_>,
        now: Instant,
        random: u64,
        exclude: &[ServerName],
    ) -> Option<Choice> {
        self.pick_from(
            route.candidates,
            Wanted::of(route.grant),
            now,
            random,
            exclude,
        )
    }

    /// As `pick`, with the parts of the route.
    pub fn pick_from(
        &mut self,
        candidates: &Candidates,
        wanted: Wanted,
        now: Instant,
        random: u64,
        exclude: &[ServerName],
    ) -> Option<Choice> {
        let call = Call {
            candidates,
            wanted,
            now,
            exclude,
        };
        let mut draws = Draws(random);
        if draws.unit() >= RETURN_SHARE
            && let Some((distance, endpoint)) = self.relief(&call)
        {
            self.servers[&endpoint.server].started(now);
            return Some(Choice {
                endpoint,
                distance,
                rank: wanted.rank,
                probe: false,
            });
        }
        if wanted.bulk.is_some() {
            let region = self.pick_among(&call, &REGION, &mut draws);
            if region.is_some() {
                return region;
            }
        } else if self.leaves_data_centre(&call, &mut draws) {
            let region = self.pick_at(&call, Tier::Usable, Distance::OwnRegion, &mut draws);
            if region.is_some() {
                return region;
            }
        }
        let distances: Vec<_> = Distance::iter().collect();
        self.pick_among(&call, &distances, &mut draws)
    }

    /// Chooses among the groups at `distances`, the most willing servers first.
    fn pick_among(
        &mut self,
        call: &Call<'_>,
        distances: &[Distance],
        draws: &mut Draws,
    ) -> Option<Choice> {
        // Most calls end in the first round: the nearest group with a usable server.
        TIERS.into_iter().find_map(|tier| {
            let mut groups = distances.iter();
            groups.find_map(|distance| self.pick_at(call, tier, *distance, draws))
        })
    }

    /// A server that is expected to answer much earlier than the best one of the nearest group that
    /// has any, by the loads that owner daemons reported.
    fn relief(&self, call: &Call<'_>) -> Option<(Distance, Arc<Endpoint>)> {
        let (nearest, near) = Distance::iter()
            .find_map(|distance| Some((distance, self.best(call, distance, None)?)))?;
        let expected = near.completion + travel(nearest);
        let others = Distance::iter().filter(|distance| *distance > nearest);
        let others = others.filter_map(|distance| {
            let best = self.best(call, distance, Some(near.service_time))?;
            let answer = best.completion + travel(distance);
            let worth = answer < expected * relief_share(distance);
            (worth && call.may_leave(expected, distance)).then_some((
                answer,
                distance,
                best.endpoint,
            ))
        });
        let (_, distance, endpoint) = others.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some((distance, Arc::clone(endpoint)))
    }

    /// The server of a group with the earliest expected answer; `None` when there is nothing to
    /// compare. A server that has not reported counts with `service_time`.
    fn best<'a>(
        &self,
        call: &Call<'a>,
        distance: Distance,
        service_time: Option<f64>,
    ) -> Option<Best<'a>> {
        let group = call.candidates.group(distance).iter();
        let usable = group.filter_map(|endpoint| {
            let health = self.servers.get(&endpoint.server)?;
            let usable = health.tier(call.wanted.rank, call.now) == Tier::Usable;
            let excluded = call.exclude.contains(&endpoint.server);
            (usable && !excluded).then_some((endpoint, health))
        });
        let best = usable.filter_map(|(endpoint, health)| {
            let service_time = health.service_time(call.now).or(service_time)?;
            Some(Best {
                endpoint,
                completion: health.completion(service_time, call.now),
                service_time,
            })
        });
        best.min_by(|a, b| a.completion.total_cmp(&b.completion))
    }

    /// Whether a call tries the other data centres of the region first: a small share always does,
    /// and more while the servers of the own data centre are cold, or slow start would not hold
    /// where a server is alone in its data centre.
    fn leaves_data_centre(&self, call: &Call<'_>, draws: &mut Draws) -> bool {
        let known = |distance| {
            let group = call.candidates.group(distance).iter();
            group.filter_map(|endpoint| self.servers.get(&endpoint.server))
        };
        let own = known(Distance::OwnDataCentre).map(|health| health.ramp(call.now));
        let warmest = own.fold(0.0, f64::max);
        let position = draws.unit();
        // Most calls stay, whatever is known of the region.
        if position < warmest * (1.0 - FIRST_EXPLORE_SHARE) {
            return false;
        }
        let mut region = known(Distance::OwnRegion);
        let share = if region.any(|health| health.latency().is_some()) {
            EXPLORE_SHARE
        } else {
            FIRST_EXPLORE_SHARE
        };
        position >= warmest * (1.0 - share)
    }

    /// Chooses among the servers of one group in one tier.
    fn pick_at(
        &mut self,
        call: &Call<'_>,
        tier: Tier,
        distance: Distance,
        draws: &mut Draws,
    ) -> Option<Choice> {
        let group = call.candidates.group(distance);
        self.gather(group, tier, call);
        let (at, probe) = self.choose(tier, draws)?;
        let endpoint = Arc::clone(&group[at]);
        self.servers[&endpoint.server].started(call.now);
        Some(Choice {
            endpoint,
            distance,
            rank: call.wanted.rank,
            probe,
        })
    }

    /// Collects the servers of `group` in `tier`, and in the first tier those to be probed.
    fn gather(&mut self, group: &[Arc<Endpoint>], tier: Tier, call: &Call<'_>) {
        let now = call.now;
        self.scored.clear();
        self.probing.clear();
        for (at, endpoint) in group.iter().enumerate() {
            if call.exclude.contains(&endpoint.server) {
                continue;
            }
            if !self.servers.contains_key(&endpoint.server) {
                self.adopt(endpoint, now);
            }
            let health = &self.servers[&endpoint.server];
            if tier == Tier::Usable && health.wants_probe(now) {
                self.probing.push(at);
            }
            if health.tier(call.wanted.rank, now) == tier {
                self.scored.push(Scored {
                    at,
                    weight: health.weight(now),
                    queue: health.queue(),
                    latency: health.expected_latency(now),
                });
            }
        }
    }

    /// Starts the state of a server that was picked before `sync` named it.
    fn adopt(&mut self, endpoint: &Endpoint, now: Instant) {
        let members = self.members.entry(endpoint.service.clone()).or_default();
        members.insert(endpoint.server.clone());
        let health = Health::new(endpoint, Some(now), now);
        self.servers.insert(endpoint.server.clone(), health);
    }

    /// Position in the group of the chosen server, and whether the call is a probe.
    fn choose(&self, tier: Tier, draws: &mut Draws) -> Option<(usize, bool)> {
        if !self.probing.is_empty() {
            let share = PROBE_SHARE.min(ALL_PROBES_SHARE / self.probing.len() as f64);
            let slot = (draws.unit() / share) as usize;
            if let Some(at) = self.probing.get(slot) {
                return Some((*at, true));
            }
        }
        let first = draw(&self.scored, None, draws)?;
        let better = draw(&self.scored, Some(first.at), draws)
            .filter(|second| second.beats(&first))
            .unwrap_or(first);
        Some((better.at, tier == Tier::Ejected))
    }
}
