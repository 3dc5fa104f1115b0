//! Distribution of the capacity of all grants by the config leader.

use {
    super::{DemandReport, DemandReports, MAX_GRANTS, MAX_REPORTS, ShareUpdate, Tier},
    crate::{
        accounts::account_of,
        limits::{
            Allocation, Answer, Child, LEASE, LeasePolicy, Quota, RELAY_GUARANTEE, ShareAllocator,
        },
        model::{Config, DaemonName, Grant, GrantKey, NO_HOME_REGION, Region},
    },
    indexmap::IndexMap,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time for which a new leader issues no shares. Its predecessor may still act as leader for an
/// election timeout of 1 s, and the leases that it issues expire [`LEASE`] later.
const START_DELAY: Duration = LEASE.saturating_mul(2);
/// Time within which a reachable region has replaced all shares of an earlier leader.
const SHARE_RENEWAL: Duration = Duration::from_secs(2);
/// Time without a report after which the leader reserves the part of a region; region relays send a
/// report each second. The other regions' leases on that part expire before the region may use it,
/// [`super::FALLBACK_DELAY`] after its last answer.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which the shares of a region relay's earlier incarnation are released. Its children
/// have found another parent by then, and the guarantees that it issued to them have expired.
const RELAY_EXPIRY: Duration = RELAY_GUARANTEE.saturating_add(LEASE);
/// Maximum number of regions.
const MAX_REGIONS: usize = 64;

/// State of a region at the leader.
#[derive(Debug)]
struct RegionState {
    /// Relay that sent the latest report; `None` if the region has not reported.
    relay: Option<DaemonName>,
    /// Time from which the region holds no shares of an earlier leader; `None` until it has
    /// reported.
    clear_at: Option<Instant>,
    /// Whether `clear_at` has passed or the group has had no earlier leader.
    cleared: bool,
    /// Time of the latest report; `None` before the first one and after [`SILENCE_TIMEOUT`].
    last_report_at: Option<Instant>,
}

impl RegionState {
    const fn new(cleared: bool) -> Self {
        Self {
            relay: None,
            clear_at: None,
            cleared,
            last_report_at: None,
        }
    }
}

/// Incarnations of a region's relay: the ids of its reducers.
#[derive(Debug)]
struct RelayIncarnations {
    current: u64,
    /// Time of the first report of `current`.
    since: Instant,
    earlier: Vec<u64>,
}

#[derive(Debug)]
struct GrantState {
    shares: ShareAllocator,
    quota: Quota,
    /// Time of the latest report about the grant.
    last_used: Instant,
    incarnations: IndexMap<Region, RelayIncarnations>,
}

/// Distributes the capacity of each grant among the regions.
///
/// The shares of a region relay's earlier incarnation are released [`RELAY_GUARANTEE`] plus [`LEASE`]
/// after the first report of its successor. If it still runs then, cut off from the leader and from
/// its region, it may use its guaranteed part for up to two hours in addition to the capacity.
#[derive(Debug)]
pub struct Root {
    id: u64,
    /// Whether the group had no other leader before.
    first: bool,
    /// Time before which no shares are issued.
    opens_at: Instant,
    config: Arc<Config>,
    /// Returns the burst of the account whose quota a grant stores.
    burst_of: fn(&Grant) -> u32,
    regions: IndexMap<Region, RegionState>,
    grants: IndexMap<GrantKey, GrantState>,
}

impl Root {
    /// Creates the root of a leader that was elected at `started`; `id` must differ from that of
    /// each other leader. Regions that may hold shares of an earlier leader are those in `regions`
    /// and the home regions of all plans; there are none if this is the group's `first` leader.
    pub fn new(
        id: u64,
        config: Arc<Config>,
        regions: &[Region],
        first: bool,
        started: Instant,
    ) -> Self {
        let home_regions = config.plans.values().map(|plan| &plan.home_region);
        let home_regions = home_regions.filter(|region| region.as_str() != NO_HOME_REGION);
        let regions = regions.iter().chain(home_regions).cloned();
        Self {
            id,
            first,
            opens_at: if first {
                started
            } else {
                started + START_DELAY
            },
            regions: regions
                .map(|region| (region, RegionState::new(first)))
                .take(MAX_REGIONS)
                .collect(),
            config,
            burst_of: |_| 0,
            grants: IndexMap::new(),
        }
    }

    /// Sets the function that reads the burst of an account from the grant that stores its quota.
    #[must_use]
    pub fn reading_bursts(mut self, burst_of: fn(&Grant) -> u32) -> Self {
        self.burst_of = burst_of;
        self
    }

    /// Returns whether a grant has had demand lately.
    pub fn in_use(&self) -> bool {
        !self.grants.is_empty()
    }

    /// Returns the configuration that the capacities are taken from.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Applies the capacities of a new version of the configuration.
    pub fn set_config(&mut self, config: Arc<Config>, now: Instant) {
        for (key, entry) in &mut self.grants {
            let grant = config.grants.get(key);
            let quota = grant.map_or_else(Quota::default, |grant| quota_of(grant, self.burst_of));
            if quota != entry.quota {
                entry.quota = quota;
                entry.shares.set_allocation(Allocation::whole(quota), now);
            }
        }
        self.config = config;
    }

    /// Processes the reports of a region relay and returns the shares to send.
    pub fn handle_reports(
        &mut self,
        reports: DemandReports,
        now: Instant,
    ) -> Vec<(DaemonName, ShareUpdate)> {
        if !self.regions.contains_key(&reports.region) && self.regions.len() >= MAX_REGIONS {
            return Vec::new();
        }
        let first = self.first;
        let state = self.regions.entry(reports.region.clone());
        let state = state.or_insert_with(|| RegionState::new(first));
        state.relay = Some(reports.daemon);
        state.last_report_at = Some(now);
        let in_role = Duration::from_millis(reports.in_role_ms);
        let clear_at = now + SHARE_RENEWAL.max(RELAY_EXPIRY.saturating_sub(in_role));
        state.clear_at.get_or_insert(clear_at);
        let cleared = state.cleared;
        // An answer without a share would end the guaranteed part from an earlier leader.
        if now < self.opens_at {
            return Vec::new();
        }
        let mut updates = Vec::new();
        for report in reports.reports.into_iter().take(MAX_REPORTS) {
            if report.tier == Tier::Region {
                let answers = self.handle_report(&reports.region, &report, cleared, now);
                self.push_updates(&report.grant, answers, &mut updates);
            }
        }
        updates
    }

    fn handle_report(
        &mut self,
        region: &Region,
        report: &DemandReport,
        cleared: bool,
        now: Instant,
    ) -> Vec<Answer> {
        if !self.grants.contains_key(&report.grant) && !self.create_grant(&report.grant, now) {
            return Vec::new();
        }
        let Some(entry) = self.grants.get_mut(&report.grant) else {
            return Vec::new();
        };
        entry.last_used = now;
        entry.record_incarnation(region, report.child, now);
        let mut demand = report.demand;
        if report.parent != self.id {
            demand.applied = 0;
        }
        // A single delayed report does not prove that the region is reachable again.
        demand.earlier_shares_expired &= cleared;
        let child = Child::new(region.as_str(), report.child);
        entry.shares.report(&child, &demand, now)
    }

    fn create_grant(&mut self, grant: &GrantKey, now: Instant) -> bool {
        let Some(entry) = self.config.grants.get(grant) else {
            return false;
        };
        let quota = quota_of(entry, self.burst_of);
        if self.grants.len() >= MAX_GRANTS {
            return false;
        }
        let regions = self.regions.len() as u64;
        let policy = match account_of(grant.plan.as_str()) {
            Some(_) => LeasePolicy::account_regions(regions),
            None => LeasePolicy::regions(regions),
        };
        let allocation = Allocation::whole(quota);
        let uncleared = self.regions.iter().filter(|(_, state)| !state.cleared);
        let uncleared: Vec<&str> = uncleared.map(|(region, _)| region.as_str()).collect();
        // No share of the grant was issued since `opens_at`, so its burst has accumulated since
        // then. Otherwise the first call of a grant of 5 calls/s would wait for 200 ms.
        let shares = if uncleared.is_empty() {
            ShareAllocator::new(policy, allocation, self.opens_at)
        } else {
            // `ShareAllocator::restarted` issues nothing for one lease, which ends at `opens_at`.
            let from = self.opens_at.checked_sub(LEASE).unwrap_or(self.opens_at);
            ShareAllocator::restarted(policy, allocation, &uncleared, from)
        };
        let entry = GrantState {
            shares,
            quota,
            last_used: now,
            incarnations: IndexMap::new(),
        };
        self.grants.insert(grant.clone(), entry);
        true
    }

    /// Processes the passage of time and returns the shares to send; due every 10 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<(DaemonName, ShareUpdate)> {
        let (mut clear, mut silent) = (Vec::new(), Vec::new());
        for (region, state) in &mut self.regions {
            if state
                .last_report_at
                .is_some_and(|at| now >= at + SILENCE_TIMEOUT)
            {
                (state.last_report_at, state.clear_at, state.cleared) = (None, None, false);
                silent.push(region.clone());
            }
            if !state.cleared && state.clear_at.is_some_and(|at| at <= now) {
                state.cleared = true;
                clear.push(region.clone());
            }
        }
        let retention = LeasePolicy::regions(1).guarantee_ttl + LEASE;
        self.grants
            .retain(|_, entry| now < entry.last_used + retention);
        let mut due = Vec::new();
        for (grant, entry) in &mut self.grants {
            for region in &clear {
                entry.shares.release(region.as_str(), now);
            }
            for region in &silent {
                entry.shares.reserve(region.as_str(), now);
            }
            entry.release_earlier(now);
            if entry.shares.next_tick(now).is_some_and(|at| at <= now) {
                due.push((grant.clone(), entry.shares.tick(now)));
            }
        }
        let mut updates = Vec::new();
        for (grant, answers) in due {
            self.push_updates(&grant, answers, &mut updates);
        }
        updates
    }

    fn push_updates(
        &self,
        grant: &GrantKey,
        answers: Vec<Answer>,
        updates: &mut Vec<(DaemonName, ShareUpdate)>,
    ) {
        for (child, share) in answers {
            let state = self.regions.get(&*child.name);
            let Some(relay) = state.and_then(|state| state.relay.clone()) else {
                continue;
            };
            let update = ShareUpdate {
                grant: grant.clone(),
                tier: Tier::Region,
                child: child.incarnation,
                parent: self.id,
                share,
            };
            updates.push((relay, update));
        }
    }
}

fn quota_of(grant: &Grant, burst_of: fn(&Grant) -> u32) -> Quota {
    match account_of(grant.plan.as_str()) {
        Some(_) => Quota::of_account(grant.capacity, burst_of(grant)),
        None => Quota::of_grant(grant.capacity),
    }
}

impl GrantState {
    fn record_incarnation(&mut self, region: &Region, child: u64, now: Instant) {
        let incarnations =
            self.incarnations
                .entry(region.clone())
                .or_insert_with(|| RelayIncarnations {
                    current: child,
                    since: now,
                    earlier: Vec::new(),
                });
        if incarnations.current == child {
            return;
        }
        // An earlier incarnation that still reports is alive and keeps its shares.
        let known = incarnations
            .earlier
            .iter()
            .position(|incarnation| *incarnation == child);
        if known.is_none() {
            incarnations.earlier.push(incarnations.current);
            (incarnations.current, incarnations.since) = (child, now);
        }
    }

    fn release_earlier(&mut self, now: Instant) {
        for (region, incarnations) in &mut self.incarnations {
            if incarnations.earlier.is_empty() || now < incarnations.since + RELAY_EXPIRY {
                continue;
            }
            for incarnation in incarnations.earlier.drain(..) {
                self.shares
                    .forget(&Child::new(region.as_str(), incarnation), now);
            }
        }
    }
}
