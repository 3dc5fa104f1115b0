//! Distribution of the capacity of all grants at one daemon.

use {
    super::{
        DemandReport, DemandReports, MAX_GRANTS, MAX_REPORTS, POLL_INTERVAL, ShareUpdate, Tier,
        reducers::{Context, GrantReducers},
    },
    crate::{
        accounts::quota::ShareView,
        limits::{LEASE, RELAY_GUARANTEE},
        model::{Config, DaemonName, GrantKey, Region},
    },
    indexmap::IndexMap,
    std::{sync::Arc, time::Instant},
};

/// Number of regions and daemons, from which a daemon without a parent computes its own fraction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Topology {
    /// Number of regions.
    pub regions: u64,
    /// Number of daemons in the region of this daemon.
    pub region_daemons: u64,
    /// Number of daemons in the data centre of this daemon.
    pub data_centre_daemons: u64,
}

impl Default for Topology {
    fn default() -> Self {
        Self {
            regions: 1,
            region_daemons: 1,
            data_centre_daemons: 1,
        }
    }
}

/// Effects that the caller has to execute.
#[derive(Debug, Default)]
pub struct Output {
    /// Reports to send to the parent.
    pub reports: Vec<DemandReport>,
    /// Shares to send to children.
    pub updates: Vec<(DaemonName, ShareUpdate)>,
    /// Ids of waiting calls that are let through.
    pub released: Vec<u64>,
    /// Ids of waiting calls that are beyond the quota of their account.
    pub rejected: Vec<u64>,
    /// Changed rates of this daemon by grant, in thousandths of a call per second.
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
/// assert!(!node.try_take(&grant, now), "there is no capacity before the first share");
/// assert!(node.enqueue(&grant, 7, now + std::time::Duration::from_secs(1), now));
/// assert_eq!(node.poll(now).reports.len(), 1);
/// ```
#[derive(Debug)]
pub struct Node {
    me: DaemonName,
    region: Region,
    tier: Tier,
    /// Time since which the daemon has had its role.
    role_since: Instant,
    config: Arc<Config>,
    topology: Topology,
    grants: IndexMap<GrantKey, GrantReducers>,
    next_id: u64,
    /// Time at which the reducers of all grants run next.
    next_full_poll: Instant,
}

impl Node {
    /// Creates the state of a daemon that starts. Its reducers get ids from `first_id` on; these
    /// must differ from the ids of its earlier runs.
    pub fn new(me: DaemonName, region: Region, first_id: u64, now: Instant) -> Self {
        Self {
            me,
            region,
            tier: Tier::Daemon,
            role_since: now,
            config: Arc::default(),
            topology: Topology::default(),
            grants: IndexMap::new(),
            // 0 stands for no parent, and 1 is `OWN_FRACTION`.
            next_id: first_id.max(2),
            next_full_poll: now,
        }
    }

    /// Replaces the configuration.
    pub fn set_config(&mut self, config: Arc<Config>) {
        self.config = config;
    }

    /// Replaces the numbers of regions and daemons.
    pub const fn set_topology(&mut self, topology: Topology) {
        self.topology = topology;
    }

    /// Returns the highest tier at which this daemon runs a reducer.
    pub const fn tier(&self) -> Tier {
        self.tier
    }

    /// Returns the number of grants with reducers.
    pub fn len(&self) -> usize {
        self.grants.len()
    }

    /// Returns whether no grant has reducers.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }

    /// Changes the role of the daemon in the tree.
    pub fn set_tier(&mut self, tier: Tier, now: Instant) {
        if tier == self.tier {
            return;
        }
        for reducers in self.grants.values_mut() {
            reducers.change_tier(self.tier, tier, self.next_id, now);
            self.next_id += 2;
        }
        self.tier = tier;
        self.role_since = now;
    }

    /// Ends the shares of all grants because the parent was replaced. Guaranteed parts stay valid.
    pub fn detach(&mut self, now: Instant) {
        for reducers in self.grants.values_mut() {
            reducers.detach(self.tier, now);
        }
    }

    /// Counts a call and lets it through if the share of the grant allows it.
    pub fn try_take(&mut self, grant: &GrantKey, now: Instant) -> bool {
        let reducers = match self.grants.get_mut(grant) {
            Some(reducers) => Some(reducers),
            None => self.create_reducers(grant, now),
        };
        reducers.is_some_and(|reducers| reducers.try_take(now))
    }

    /// Queues a call that was not let through; returns `false` if too many calls wait.
    pub fn enqueue(&mut self, grant: &GrantKey, call: u64, until: Instant, now: Instant) -> bool {
        let reducers = self.grants.get_mut(grant);
        reducers.is_some_and(|reducers| reducers.enqueue(call, until, now))
    }

    /// Removes a call from the queue; returns whether it still waited.
    pub fn cancel(&mut self, grant: &GrantKey, call: u64) -> bool {
        let reducers = self.grants.get_mut(grant);
        reducers.is_some_and(|reducers| reducers.cancel(call))
    }

    /// Returns whether this daemon holds a valid share of the grant.
    pub fn holds_share(&self, grant: &GrantKey, now: Instant) -> bool {
        let reducers = self.grants.get(grant);
        reducers.is_some_and(|reducers| reducers.holds_share(now))
    }

    /// Returns the time at which the current share allows the next call; `None` if that is now or
    /// unknown.
    pub fn retry_at(&self, grant: &GrantKey, now: Instant) -> Option<Instant> {
        self.grants.get(grant)?.retry_at(now)
    }

    /// Returns this daemon's share of the quota of an account. What the share has earned beyond its burst
    /// is returned once.
    pub fn share(&mut self, grant: &GrantKey, now: Instant) -> ShareView {
        let reducers = self.grants.get_mut(grant);
        reducers.map_or_else(ShareView::default, |reducers| reducers.share(now))
    }

    /// Returns the token of a call that was let through and did not run; returns `false` if the share
    /// has no room for it.
    pub fn give_back(&mut self, grant: &GrantKey, now: Instant) -> bool {
        let reducers = self.grants.get_mut(grant);
        reducers.is_some_and(|reducers| reducers.give_back(now))
    }

    /// Processes the reports of a child.
    pub fn handle_reports(&mut self, reports: &DemandReports, now: Instant) -> Output {
        let mut out = Output::default();
        for report in reports.reports.iter().take(MAX_REPORTS) {
            if !self.grants.contains_key(&report.grant) {
                self.create_reducers(&report.grant, now);
            }
            self.with_reducers(&report.grant, now, |reducers, cx| {
                reducers.handle_report(&reports.daemon, report, cx, &mut out);
            });
        }
        out
    }

    /// Processes shares from the parent.
    pub fn handle_updates(&mut self, updates: Vec<ShareUpdate>, now: Instant) -> Output {
        let mut out = Output::default();
        for update in updates {
            self.with_reducers(&update.grant.clone(), now, |reducers, cx| {
                reducers.handle_share(update, cx, &mut out);
            });
        }
        out
    }

    /// Processes the passage of time.
    pub fn poll(&mut self, now: Instant) -> Output {
        let mut out = Output::default();
        let full_poll = now >= self.next_full_poll;
        if full_poll {
            self.next_full_poll = now + POLL_INTERVAL;
            self.grants
                .retain(|_, reducers| now < reducers.last_used + reducers.idle_timeout());
        }
        let predecessor_expired = self.tier == Tier::Daemon
            || now >= self.role_since + RELAY_GUARANTEE.saturating_add(LEASE);
        for (grant, reducers) in &mut self.grants {
            if !full_poll && reducers.next_run.is_none_or(|at| now < at) {
                continue;
            }
            let cx = Context {
                me: &self.me,
                tier: self.tier,
                topology: self.topology,
                capacity: self.config.grants.get(grant).map_or(0, |g| g.capacity),
                now,
                predecessor_expired,
            };
            reducers.run(&cx, &mut out);
        }
        out
    }

    /// Returns the time at which [`Node::poll`] is due.
    pub fn next_poll(&self) -> Instant {
        let due = self
            .grants
            .values()
            .filter_map(|reducers| reducers.next_run)
            .min();
        due.map_or(self.next_full_poll, |at| at.min(self.next_full_poll))
    }

    /// Returns the message to the parent that contains `reports`.
    pub fn message(&self, mut reports: Vec<DemandReport>, now: Instant) -> DemandReports {
        // Reports beyond the limit get no answer, so the reducers send them again.
        reports.truncate(MAX_REPORTS);
        DemandReports {
            daemon: self.me.clone(),
            region: self.region.clone(),
            in_role_ms: now.saturating_duration_since(self.role_since).as_millis() as u64,
            reports,
        }
    }

    fn create_reducers(&mut self, grant: &GrantKey, now: Instant) -> Option<&mut GrantReducers> {
        if self.grants.len() >= MAX_GRANTS {
            return None;
        }
        let reducers = GrantReducers::new(grant.clone(), self.next_id, now);
        self.next_id += 3;
        Some(self.grants.entry(grant.clone()).or_insert(reducers))
    }

    fn with_reducers(
        &mut self,
        grant: &GrantKey,
        now: Instant,
        run: impl FnOnce(&mut GrantReducers, &Context<'_>),
    ) {
        let capacity = self.config.grants.get(grant).map_or(0, |g| g.capacity);
        let cx = Context {
            me: &self.me,
            tier: self.tier,
            topology: self.topology,
            capacity,
            now,
            predecessor_expired: false,
        };
        if let Some(reducers) = self.grants.get_mut(grant) {
            run(reducers, &cx);
        }
    }
}
