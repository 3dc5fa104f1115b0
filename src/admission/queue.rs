//! Calls of one rank: fair queue between plans, service times and use of slots.

use {
    super::estimate::Estimate,
    crate::model::PlanName,
    indexmap::IndexMap,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Scale of virtual time: nanoseconds of slot time for a weight of one, times this.
const VIRTUAL_SCALE: i128 = 1 << 10;
/// Largest credit or debt of a plan, as slot time for its weight: a plan that once held slots
/// for minutes is not starved for minutes.
const MAX_LAG_NS: i128 = 1_000_000_000;
/// Service time from which a call counts as long.
pub(super) const LONG: Duration = Duration::from_secs(1);
/// A plan without calls is forgotten after this time.
const PLAN_IDLE: Duration = Duration::from_mins(10);
/// Time constant of the measured load.
const LOAD_WINDOW_S: f64 = 1.0;
/// Cost of a call when nothing was measured yet.
const DEFAULT_COST_NS: u64 = 1_000_000;
/// Scale of the ratio of queue length to weight.
const EXCESS_SCALE: u64 = 1 << 20;

/// Calls and measurements of one plan in one rank.
#[derive(Debug)]
pub(super) struct PlanQueue {
    /// Waiting calls in order of arrival.
    waiting: BTreeMap<u64, u64>,
    work_ns: u64,
    weight: u32,
    /// Virtual time up to which the plan has used its share.
    pass: i128,
    pub(super) estimate: Estimate,
    running: u32,
    aged: u32,
    pub(super) last_start: Option<Instant>,
    last_used: Instant,
}

impl PlanQueue {
    /// Whether a further call may hold its slot for long: nothing is known of the plan, its
    /// calls are long on average, or one of them has been running for long.
    fn is_long(&self) -> bool {
        !self.estimate.is_known() || self.aged > 0 || self.estimate.mean() >= LONG.as_secs_f64()
    }

    fn excess(&self, extra: u64) -> u64 {
        (self.waiting.len() as u64 + extra) * EXCESS_SCALE / u64::from(self.weight)
    }
}

/// Start-time fair queue of one rank. The cost of a call is its slot time.
#[derive(Debug, Default)]
pub(super) struct RankQueue {
    plans: IndexMap<PlanName, PlanQueue>,
    /// Plans with waiting calls by virtual time: short ones, long ones.
    ready: [BTreeSet<(i128, PlanName)>; 2],
    /// Plans with waiting calls by queue length for their weight.
    by_excess: BTreeSet<(u64, PlanName)>,
    virtual_now: i128,
    ready_weight: u64,
    waiting: usize,
    work_ns: u64,
    pub(super) running: u32,
    pub(super) floor_credit: f64,
    overall: Estimate,
    load: f64,
    load_at: Option<Instant>,
}

impl RankQueue {
    pub(super) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Expected slot time of the waiting calls, in seconds.
    pub(super) fn work(&self) -> f64 {
        self.work_ns as f64 / 1e9
    }

    pub(super) fn plan(&self, plan: &str) -> Option<&PlanQueue> {
        self.plans.get(plan)
    }

    /// Whether a call can start, given whether long ones may.
    pub(super) fn has_ready(&self, allow_long: bool) -> bool {
        !self.ready[0].is_empty() || (allow_long && !self.ready[1].is_empty())
    }

    pub(super) fn is_long(&self, plan: &str) -> bool {
        self.plans.get(plan).is_none_or(PlanQueue::is_long)
    }

    /// Makes sure that the plan is known, with the weight of its grant.
    pub(super) fn touch(&mut self, plan: &PlanName, weight: u32, now: Instant) {
        let weight = weight.max(1);
        if self.plans.get(plan).is_some_and(|p| p.weight == weight) {
            return;
        }
        self.detach(plan);
        let pass = self.virtual_now;
        let entry = self.plans.entry(plan.clone()).or_insert_with(|| PlanQueue {
            waiting: BTreeMap::new(),
            work_ns: 0,
            weight,
            pass,
            estimate: Estimate::default(),
            running: 0,
            aged: 0,
            last_start: None,
            last_used: now,
        });
        entry.weight = weight;
        self.attach(plan);
    }

    /// Estimate for a plan, or of the rank while the plan has none.
    pub(super) fn estimate(&self, plan: &str) -> Estimate {
        self.plans
            .get(plan)
            .map(|p| p.estimate)
            .filter(Estimate::is_known)
            .unwrap_or(self.overall)
    }

    /// Expected slot time of a call, in nanoseconds.
    pub(super) fn cost_ns(&self, plan: &str) -> u64 {
        let estimate = self.estimate(plan);
        if estimate.is_known() {
            ((estimate.mean() * 1e9) as u64).max(1)
        } else {
            DEFAULT_COST_NS
        }
    }

    /// Expected slot time of the waiting calls that start before a new call of `plan`, in
    /// seconds.
    pub(super) fn work_ahead(&self, plan: &str) -> f64 {
        let Some(entry) = self.plans.get(plan) else {
            return self.work();
        };
        let lag = (entry.pass - self.virtual_now).max(0) as f64 / VIRTUAL_SCALE as f64;
        let cost = self.cost_ns(plan) as f64;
        let own = entry.work_ns as f64 + cost;
        let mut weights = self.ready_weight;
        if entry.waiting.is_empty() {
            weights += u64::from(entry.weight);
        }
        // Until the call has had its share, each other plan gets as much for its weight.
        let fair = (lag + own / f64::from(entry.weight)) * weights as f64 - cost;
        fair.min(self.work_ns as f64) / 1e9
    }

    /// Adds a waiting call.
    pub(super) fn push(&mut self, plan: &PlanName, seq: u64, id: u64, cost_ns: u64) {
        let virtual_now = self.virtual_now;
        self.detach(plan);
        if let Some(entry) = self.plans.get_mut(plan) {
            if entry.waiting.is_empty() {
                entry.pass = entry.pass.max(virtual_now);
            }
            entry.waiting.insert(seq, id);
            entry.work_ns += cost_ns;
            self.waiting += 1;
            self.work_ns += cost_ns;
        }
        self.attach(plan);
    }

    /// Removes a waiting call.
    pub(super) fn remove(&mut self, plan: &PlanName, seq: u64, cost_ns: u64) {
        self.detach(plan);
        if let Some(entry) = self.plans.get_mut(plan)
            && entry.waiting.remove(&seq).is_some()
        {
            entry.work_ns -= cost_ns;
            self.waiting -= 1;
            self.work_ns -= cost_ns;
        }
        self.attach(plan);
    }

    /// The call that starts next.
    pub(super) fn head(&self, allow_long: bool) -> Option<u64> {
        let short = self.ready[0].first();
        let long = self.ready[1].first().filter(|_| allow_long);
        let (_, plan) = match (short, long) {
            (Some(a), Some(b)) => a.min(b),
            (a, b) => a.or(b)?,
        };
        self.plans.get(plan)?.waiting.values().next().copied()
    }

    /// The newest waiting call of the plan with the longest queue for its weight, if that
    /// queue is longer than the queue of `plan` would be with one call more.
    pub(super) fn displaceable(&self, plan: &str) -> Option<u64> {
        let (excess, victim) = self.by_excess.last()?;
        if victim.as_str() == plan || *excess <= self.plans.get(plan)?.excess(1) {
            return None;
        }
        self.plans
            .get(victim)?
            .waiting
            .values()
            .next_back()
            .copied()
    }

    /// Charges a plan for a call that starts.
    pub(super) fn start(&mut self, plan: &PlanName, cost_ns: u64, now: Instant) {
        self.detach(plan);
        if let Some(entry) = self.plans.get_mut(plan) {
            self.virtual_now = self.virtual_now.max(entry.pass);
            entry.pass += virtual_cost(cost_ns, entry.weight);
            entry.running += 1;
            entry.last_start = Some(now);
            entry.last_used = now;
        }
        self.attach(plan);
        self.running += 1;
        self.decay_load(now);
        self.load += cost_ns as f64 / 1e9 / LOAD_WINDOW_S;
    }

    /// Notes that a running call has become long.
    pub(super) fn mark_aged(&mut self, plan: &PlanName) {
        self.detach(plan);
        if let Some(entry) = self.plans.get_mut(plan) {
            entry.aged += 1;
        }
        self.attach(plan);
    }

    /// Ends a call that held its slot for `held`, and corrects what the plan was charged.
    pub(super) fn finish(&mut self, plan: &PlanName, end: &End, now: Instant) {
        self.detach(plan);
        let virtual_now = self.virtual_now;
        if let Some(entry) = self.plans.get_mut(plan) {
            entry.running -= 1;
            entry.aged -= u32::from(end.aged);
            entry.last_used = now;
            let held_ns = u64::try_from(end.held.as_nanos()).unwrap_or(u64::MAX);
            let bound = MAX_LAG_NS * VIRTUAL_SCALE / i128::from(entry.weight);
            entry.pass += virtual_cost(held_ns, entry.weight);
            entry.pass -= virtual_cost(end.cost_ns, entry.weight);
            entry.pass = entry.pass.clamp(virtual_now - bound, virtual_now + bound);
            if end.measured {
                entry.estimate.record(end.held);
                self.overall.record(end.held);
            }
        }
        self.attach(plan);
        self.running -= 1;
    }

    /// Slots that the rank used lately, on average.
    pub(super) fn load(&self, now: Instant) -> f64 {
        self.load_at.map_or(0.0, |at| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            self.load * (-age / LOAD_WINDOW_S).exp()
        })
    }

    /// Removes and returns all waiting calls.
    pub(super) fn drain(&mut self) -> Vec<u64> {
        let mut calls = Vec::with_capacity(self.waiting);
        for entry in self.plans.values_mut() {
            calls.extend(std::mem::take(&mut entry.waiting).into_values());
            entry.work_ns = 0;
        }
        self.ready = Default::default();
        self.by_excess.clear();
        self.ready_weight = 0;
        self.waiting = 0;
        self.work_ns = 0;
        calls
    }

    /// Forgets plans that have not called for a long time.
    pub(super) fn sweep(&mut self, now: Instant) {
        self.plans.retain(|_, entry| {
            entry.running > 0
                || !entry.waiting.is_empty()
                || now.saturating_duration_since(entry.last_used) < PLAN_IDLE
        });
    }

    fn decay_load(&mut self, now: Instant) {
        self.load = self.load(now);
        self.load_at = Some(now);
    }

    /// Takes the plan out of the sorted sets before its keys change.
    fn detach(&mut self, plan: &PlanName) {
        let Some(entry) = self.plans.get(plan).filter(|p| !p.waiting.is_empty()) else {
            return;
        };
        self.ready[usize::from(entry.is_long())].remove(&(entry.pass, plan.clone()));
        self.by_excess.remove(&(entry.excess(0), plan.clone()));
        self.ready_weight -= u64::from(entry.weight);
    }

    fn attach(&mut self, plan: &PlanName) {
        let Some(entry) = self.plans.get(plan).filter(|p| !p.waiting.is_empty()) else {
            return;
        };
        self.ready[usize::from(entry.is_long())].insert((entry.pass, plan.clone()));
        self.by_excess.insert((entry.excess(0), plan.clone()));
        self.ready_weight += u64::from(entry.weight);
    }
}

/// How a running call ended.
#[derive(Debug)]
pub(super) struct End {
    pub(super) cost_ns: u64,
    pub(super) held: Duration,
    pub(super) aged: bool,
    /// Whether the time held is a service time.
    pub(super) measured: bool,
}

fn virtual_cost(cost_ns: u64, weight: u32) -> i128 {
    i128::from(cost_ns) * VIRTUAL_SCALE / i128::from(weight)
}
