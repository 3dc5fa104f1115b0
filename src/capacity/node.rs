//! The capacity of all grants at one daemon.

use {
    super::{
        Ask, Asks, Give, IDLE, MAX_ASKS, MAX_GRANTS, REPORT_GRID, Tier,
        part::{Context, Part},
    },
    crate::{
        limits::{LEASE, RELAY_HOLD},
        model::{Config, DaemonName, GrantKey, Region},
    },
    indexmap::IndexMap,
    std::{sync::Arc, time::Instant},
};

/// What a daemon knows of the processes around it, for the time without a parent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Surroundings {
    /// Regions.
    pub regions: u64,
    /// Daemons of the own region.
    pub region_daemons: u64,
    /// Daemons of the own data centre.
    pub centre_daemons: u64,
}

impl Default for Surroundings {
    fn default() -> Self {
        Self {
            regions: 1,
            region_daemons: 1,
            centre_daemons: 1,
        }
    }
}

/// What the shell has to do.
#[derive(Debug, Default)]
pub struct Output {
    /// Reports to the parent.
    pub asks: Vec<Ask>,
    /// Shares for children.
    pub gives: Vec<(DaemonName, Give)>,
    /// Calls that waited and are let through.
    pub released: Vec<u64>,
    /// Rates of this daemon that have changed, in thousandths of a call per second.
    pub changed: Vec<(GrantKey, u64)>,
}

/// The reducers of one daemon for all grants that have demand.
///
/// ```
/// use anvilbeam::{capacity::Node, model::GrantKey};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut node = Node::new("daemon-1".into(), "fukuoka".into(), 1, now);
/// let grant = GrantKey { plan: "clerks".into(), service: "roll".into(), path: "/".into() };
/// assert!(!node.try_take(&grant, now), "nothing is held before the first share");
/// assert!(node.wait(&grant, 7, now + std::time::Duration::from_secs(1), now));
/// assert_eq!(node.poll(now).asks.len(), 1);
/// ```
#[derive(Debug)]
pub struct Node {
    me: DaemonName,
    region: Region,
    tier: Tier,
    since: Instant,
    config: Arc<Config>,
    surroundings: Surroundings,
    grants: IndexMap<GrantKey, Part>,
    next_id: u64,
    next_grid: Instant,
}

impl Node {
    /// A daemon that starts. Numbers from `first_id` on name its reducers; they must differ from
    /// those of its earlier runs.
    pub fn new(me: DaemonName, region: Region, first_id: u64, now: Instant) -> Self {
        Self {
            me,
            region,
            tier: Tier::Holder,
            since: now,
            config: Arc::default(),
            surroundings: Surroundings::default(),
            grants: IndexMap::new(),
            // 0 and 1 have a meaning of their own.
            next_id: first_id.max(2),
            next_grid: now,
        }
    }

    /// The configuration in force.
    pub fn set_config(&mut self, config: Arc<Config>) {
        self.config = config;
    }

    /// What is known of the processes around.
    pub const fn set_surroundings(&mut self, surroundings: Surroundings) {
        self.surroundings = surroundings;
    }

    /// Highest tier of this daemon.
    pub const fn tier(&self) -> Tier {
        self.tier
    }

    /// Number of grants with reducers.
    pub fn len(&self) -> usize {
        self.grants.len()
    }

    /// Whether no grant has reducers.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }

    /// The role of the daemon in the tree.
    pub fn set_tier(&mut self, tier: Tier, now: Instant) {
        if tier == self.tier {
            return;
        }
        for part in self.grants.values_mut() {
            part.change_tier(self.tier, tier, self.next_id, now);
            self.next_id += 2;
        }
        self.tier = tier;
        self.since = now;
    }

    /// The parent was replaced. Shares end, guaranteed parts stay.
    pub fn detach(&mut self, now: Instant) {
        for part in self.grants.values_mut() {
            part.detach(self.tier, now);
        }
    }

    /// Counts a call and lets it through if the share of the grant allows it.
    pub fn try_take(&mut self, grant: &GrantKey, now: Instant) -> bool {
        let part = match self.grants.get_mut(grant) {
            Some(part) => Some(part),
            None => self.create(grant, now),
        };
        part.is_some_and(|part| part.try_take(now))
    }

    /// Makes a call wait that was not let through; `false` when too many wait already.
    pub fn wait(&mut self, grant: &GrantKey, call: u64, until: Instant, now: Instant) -> bool {
        let part = self.grants.get_mut(grant);
        part.is_some_and(|part| part.wait(call, until, now))
    }

    /// Removes a call that gives up; returns whether it still waited.
    pub fn leave(&mut self, grant: &GrantKey, call: u64) -> bool {
        let part = self.grants.get_mut(grant);
        part.is_some_and(|part| part.leave(call))
    }

    /// Whether this daemon holds a share of the grant at `now`.
    pub fn holds_share(&self, grant: &GrantKey, now: Instant) -> bool {
        let part = self.grants.get(grant);
        part.is_some_and(|part| part.holds_share(now))
    }

    /// When a call of the grant makes sense again, if the share tells.
    pub fn retry_at(&self, grant: &GrantKey, now: Instant) -> Option<Instant> {
        self.grants.get(grant)?.retry_at(now)
    }

    /// A child reports.
    pub fn take_asks(&mut self, asks: &Asks, now: Instant) -> Output {
        let mut out = Output::default();
        for ask in asks.asks.iter().take(MAX_ASKS) {
            if !self.grants.contains_key(&ask.grant) {
                self.create(&ask.grant, now);
            }
            self.with(&ask.grant, now, |part, cx| {
                part.take_ask(&asks.daemon, ask, cx, &mut out);
            });
        }
        out
    }

    /// The parent answers.
    pub fn take_gives(&mut self, gives: Vec<Give>, now: Instant) -> Output {
        let mut out = Output::default();
        for give in gives {
            self.with(&give.grant.clone(), now, |part, cx| {
                part.take_give(give, cx, &mut out);
            });
        }
        out
    }

    /// Time has passed.
    pub fn poll(&mut self, now: Instant) -> Output {
        let mut out = Output::default();
        let grid = now >= self.next_grid;
        if grid {
            self.next_grid = now + REPORT_GRID;
            self.grants.retain(|_, part| now < part.used + IDLE);
        }
        let settled =
            self.tier == Tier::Holder || now >= self.since + RELAY_HOLD.saturating_add(LEASE);
        for (grant, part) in &mut self.grants {
            if !grid && part.due.is_none_or(|at| now < at) {
                continue;
            }
            let cx = Context {
                me: &self.me,
                tier: self.tier,
                surroundings: self.surroundings,
                capacity: self.config.grants.get(grant).map_or(0, |g| g.capacity),
                now,
                settled,
            };
            part.run(&cx, &mut out);
        }
        out
    }

    /// When [`Node::poll`] is due.
    pub fn next_poll(&self) -> Instant {
        let due = self.grants.values().filter_map(|part| part.due).min();
        due.map_or(self.next_grid, |at| at.min(self.next_grid))
    }

    /// The message that carries `asks`.
    pub fn message(&self, mut asks: Vec<Ask>, now: Instant) -> Asks {
        // What is left out is reported again, since the reducers get no answer.
        asks.truncate(MAX_ASKS);
        Asks {
            daemon: self.me.clone(),
            region: self.region.clone(),
            in_role_ms: now.saturating_duration_since(self.since).as_millis() as u64,
            asks,
        }
    }

    fn create(&mut self, grant: &GrantKey, now: Instant) -> Option<&mut Part> {
        if self.grants.len() >= MAX_GRANTS {
            return None;
        }
        let part = Part::new(grant.clone(), self.next_id, now);
        self.next_id += 3;
        Some(self.grants.entry(grant.clone()).or_insert(part))
    }

    fn with(&mut self, grant: &GrantKey, now: Instant, run: impl FnOnce(&mut Part, &Context<'_>)) {
        let capacity = self.config.grants.get(grant).map_or(0, |g| g.capacity);
        let cx = Context {
            me: &self.me,
            tier: self.tier,
            surroundings: self.surroundings,
            capacity,
            now,
            settled: false,
        };
        if let Some(part) = self.grants.get_mut(grant) {
            run(part, &cx);
        }
    }
}
