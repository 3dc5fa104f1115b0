//! The capacity of all grants at the config leader.

use {
    super::{Ask, Asks, Give, MAX_ASKS, MAX_GRANTS, Tier},
    crate::{
        limits::{Answer, Child, LEASE, Level, RELAY_HOLD, Shares, Supply},
        model::{Config, DaemonName, GrantKey, Region},
    },
    indexmap::IndexMap,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time for which a new leader hands out nothing. The old one may still lead for an election
/// timeout of 1 s, and its leases end [`LEASE`] later.
const START_BLOCK: Duration = LEASE.saturating_mul(2);
/// Time in which a region that can be reached replaces all shares of an earlier leader.
const REPLACED: Duration = Duration::from_secs(2);
/// Time without a report, which a region relay sends each second, after which the leader keeps a
/// part for the region. The leases of the others end before [`super::UNANSWERED`], from which on
/// the region may use it.
const SILENT: Duration = Duration::from_secs(2);
/// Time after which an earlier run of a region's relay is given up. Its children have found
/// another parent by then, and the guarantees that it gave them have ended.
const RELAY_GONE: Duration = RELAY_HOLD.saturating_add(LEASE);
/// Most regions.
const MAX_REGIONS: usize = 64;

/// What the leader knows of a region.
#[derive(Debug)]
struct Seen {
    /// Relay that reported last.
    relay: Option<DaemonName>,
    /// When the region holds nothing of an earlier leader; `None` until it has reported.
    clear_at: Option<Instant>,
    cleared: bool,
    /// When a report last came.
    heard: Option<Instant>,
}

impl Seen {
    const fn new(cleared: bool) -> Self {
        Self {
            relay: None,
            clear_at: None,
            cleared,
            heard: None,
        }
    }
}

/// Relays that speak for a region.
#[derive(Debug)]
struct Runs {
    current: u64,
    since: Instant,
    earlier: Vec<u64>,
}

#[derive(Debug)]
struct Entry {
    shares: Shares,
    capacity: u32,
    used: Instant,
    runs: IndexMap<Region, Runs>,
}

/// Splits the capacity of each grant among the regions.
///
/// An earlier run of a region's relay is given up [`RELAY_HOLD`] and [`LEASE`] after the first
/// report of its successor. If it still runs then, cut off from the leader and from its region,
/// it may use its guaranteed part for up to two hours in addition to the capacity.
#[derive(Debug)]
pub struct Root {
    id: u64,
    /// Whether no other leader came before.
    first: bool,
    /// Nothing is handed out before.
    opens: Instant,
    config: Arc<Config>,
    regions: IndexMap<Region, Seen>,
    grants: IndexMap<GrantKey, Entry>,
}

impl Root {
    /// A leader that took over at `started`; `id` differs from that of each other leader.
    /// Regions that may hold shares of an earlier one are those of `regions` and the home regions
    /// of all plans; there are none if it is the `first` leader of the group.
    pub fn new(
        id: u64,
        config: Arc<Config>,
        regions: &[Region],
        first: bool,
        started: Instant,
    ) -> Self {
        let homes = config.plans.values().map(|plan| &plan.home_region);
        let regions = regions.iter().chain(homes).cloned();
        Self {
            id,
            first,
            opens: if first {
                started
            } else {
                started + START_BLOCK
            },
            regions: regions
                .map(|region| (region, Seen::new(first)))
                .take(MAX_REGIONS)
                .collect(),
            config,
            grants: IndexMap::new(),
        }
    }

    /// Version of the configuration that capacities are taken from.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Takes over the capacities of a new version.
    pub fn set_config(&mut self, config: Arc<Config>, now: Instant) {
        for (grant, entry) in &mut self.grants {
            let capacity = config.grants.get(grant).map_or(0, |grant| grant.capacity);
            if capacity != entry.capacity {
                entry.capacity = capacity;
                entry.shares.set_supply(Supply::root(capacity), now);
            }
        }
        self.config = config;
    }

    /// A region relay reports.
    pub fn take_asks(&mut self, asks: Asks, now: Instant) -> Vec<(DaemonName, Give)> {
        if !self.regions.contains_key(&asks.region) && self.regions.len() >= MAX_REGIONS {
            return Vec::new();
        }
        let first = self.first;
        let seen = self.regions.entry(asks.region.clone());
        let seen = seen.or_insert_with(|| Seen::new(first));
        seen.relay = Some(asks.daemon);
        seen.heard = Some(now);
        let in_role = Duration::from_millis(asks.in_role_ms);
        let clear_at = now + REPLACED.max(RELAY_GONE.saturating_sub(in_role));
        seen.clear_at.get_or_insert(clear_at);
        let cleared = seen.cleared;
        // An answer without a share would end the guaranteed part that an earlier leader gave.
        if now < self.opens {
            return Vec::new();
        }
        let mut gives = Vec::new();
        for ask in asks.asks.into_iter().take(MAX_ASKS) {
            if ask.tier == Tier::Region {
                let answers = self.answer(&asks.region, &ask, cleared, now);
                self.give(&ask.grant, answers, &mut gives);
            }
        }
        gives
    }

    fn answer(&mut self, region: &Region, ask: &Ask, cleared: bool, now: Instant) -> Vec<Answer> {
        if !self.grants.contains_key(&ask.grant) && !self.create(&ask.grant, now) {
            return Vec::new();
        }
        let Some(entry) = self.grants.get_mut(&ask.grant) else {
            return Vec::new();
        };
        entry.used = now;
        entry.note_run(region, ask.child, now);
        let mut demand = ask.demand;
        if ask.parent != self.id {
            demand.applied = 0;
        }
        // One late report does not show that the region can be reached again.
        demand.settled &= cleared;
        let child = Child::new(region.as_str(), ask.child);
        entry.shares.report(&child, &demand, now)
    }

    fn create(&mut self, grant: &GrantKey, now: Instant) -> bool {
        let Some(capacity) = self.config.grants.get(grant).map(|g| g.capacity) else {
            return false;
        };
        if self.grants.len() >= MAX_GRANTS {
            return false;
        }
        let level = Level::regions(self.regions.len() as u64);
        let supply = Supply::root(capacity);
        let unclear = self.regions.iter().filter(|(_, seen)| !seen.cleared);
        let unclear: Vec<&str> = unclear.map(|(region, _)| region.as_str()).collect();
        // Nothing of the grant was handed out since the leader opened, so its burst has been earned:
        // else the first call of a grant of 5 calls/s would wait for 200 ms.
        let shares = if unclear.is_empty() {
            Shares::new(level, supply, self.opens)
        } else {
            // It blocks for a lease from the time given, which is over when it opens.
            let from = self.opens.checked_sub(LEASE).unwrap_or(self.opens);
            Shares::restarted(level, supply, &unclear, from)
        };
        let entry = Entry {
            shares,
            capacity,
            used: now,
            runs: IndexMap::new(),
        };
        self.grants.insert(grant.clone(), entry);
        true
    }

    /// Time has passed; due each 10 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<(DaemonName, Give)> {
        let (mut clear, mut silent) = (Vec::new(), Vec::new());
        for (region, seen) in &mut self.regions {
            if seen.heard.is_some_and(|at| now >= at + SILENT) {
                (seen.heard, seen.clear_at, seen.cleared) = (None, None, false);
                silent.push(region.clone());
            }
            if !seen.cleared && seen.clear_at.is_some_and(|at| at <= now) {
                seen.cleared = true;
                clear.push(region.clone());
            }
        }
        let keep = Level::regions(1).hold + LEASE;
        self.grants.retain(|_, entry| now < entry.used + keep);
        let mut due = Vec::new();
        for (grant, entry) in &mut self.grants {
            for region in &clear {
                entry.shares.release(region.as_str(), now);
            }
            for region in &silent {
                entry.shares.reserve(region.as_str(), now);
            }
            entry.forget_runs(now);
            if entry.shares.next_tick(now).is_some_and(|at| at <= now) {
                due.push((grant.clone(), entry.shares.tick(now)));
            }
        }
        let mut gives = Vec::new();
        for (grant, answers) in due {
            self.give(&grant, answers, &mut gives);
        }
        gives
    }

    fn give(&self, grant: &GrantKey, answers: Vec<Answer>, gives: &mut Vec<(DaemonName, Give)>) {
        for (child, share) in answers {
            let seen = self.regions.get(&*child.name);
            let Some(relay) = seen.and_then(|seen| seen.relay.clone()) else {
                continue;
            };
            let give = Give {
                grant: grant.clone(),
                tier: Tier::Region,
                child: child.incarnation,
                parent: self.id,
                share,
            };
            gives.push((relay, give));
        }
    }
}

impl Entry {
    fn note_run(&mut self, region: &Region, child: u64, now: Instant) {
        let runs = self.runs.entry(region.clone()).or_insert_with(|| Runs {
            current: child,
            since: now,
            earlier: Vec::new(),
        });
        if runs.current == child {
            return;
        }
        // One that still reports is alive and keeps its record.
        let known = runs.earlier.iter().position(|run| *run == child);
        if known.is_none() {
            runs.earlier.push(runs.current);
            (runs.current, runs.since) = (child, now);
        }
    }

    fn forget_runs(&mut self, now: Instant) {
        for (region, runs) in &mut self.runs {
            if runs.earlier.is_empty() || now < runs.since + RELAY_GONE {
                continue;
            }
            for run in runs.earlier.drain(..) {
                self.shares.forget(&Child::new(region.as_str(), run), now);
            }
        }
    }
}
