//! Choice of a server for calls with a large answer, by the links of the owner daemons.

use {
    super::{Balancer, CallProfile, Choice, health::Health, pick::Tier},
    crate::{
        egress::max_wait,
        model::{Rank, ServerName},
        routes::{Distance, Route},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

impl CallProfile {
    /// Returns the preference class of a server for the call. A server whose owner daemon would
    /// refuse it because of its link counts as full.
    pub(super) fn tier(&self, health: &Health, now: Instant) -> Tier {
        let tier = health.tier(self.rank, now);
        let link_full = || {
            let target = self.download_target?;
            room_in(health, self.rank, target, now)
        };
        if tier == Tier::Usable && link_full().is_some() {
            return Tier::Full;
        }
        tier
    }
}

impl Balancer {
    /// Chooses `server` for a call on `route` and counts the call as outstanding. Returns `None` if
    /// it is no candidate, or ejected, full or refusing calls of this rank.
    pub fn pick_server(
        &mut self,
        route: &Route<'_>,
        server: &ServerName,
        now: Instant,
    ) -> Option<Choice> {
        let rank = route.rank;
        let mut group = route.candidates.group(Distance::OwnDataCentre).iter();
        let endpoint = group.find(|endpoint| endpoint.server == *server)?;
        let health = self.servers.get_mut(server)?;
        if health.tier(rank, now) != Tier::Usable {
            return None;
        }
        health.call_started(now);
        Some(Choice {
            endpoint: Arc::clone(endpoint),
            distance: Distance::OwnDataCentre,
            rank,
            probe: false,
            route: 0,
        })
    }

    /// Returns the time after which the owner daemon of `server` is expected to admit a download of
    /// `rank` with a target latency of `target` to its link; `None` if it is expected to do so now.
    pub fn link_room_in(
        &self,
        server: &ServerName,
        rank: Rank,
        target: Duration,
        now: Instant,
    ) -> Option<Duration> {
        room_in(self.servers.get(server)?, rank, target, now)
    }
}

/// Returns the time after which the owner daemon is expected to admit a download of `rank` with a
/// target latency of `target`; `None` if it is expected to do so now.
fn room_in(health: &Health, rank: Rank, target: Duration, now: Instant) -> Option<Duration> {
    let wait = Duration::from_secs_f64(health.answer_wait(rank, now));
    let run_time = Duration::from_secs_f64(health.service_time(now).unwrap_or_default());
    let bound = max_wait(now + run_time, now + target, now);
    let room_in = wait.saturating_sub(bound);
    (!room_in.is_zero()).then_some(room_in)
}
