//! Fair queue of one rank: shares slot time between plans, estimates service times and measures the
//! slots in use.

use {
    super::estimate::Estimate,
    crate::model::PlanName,
    indexmap::IndexMap,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Units of virtual time for one nanosecond of slot time at a weight of 1.
const VIRTUAL_SCALE: i128 = 1 << 10;
/// Maximum credit or debt of a plan in nanoseconds of slot time, so that a plan that once held
/// slots for minutes is not starved for minutes.
const MAX_LAG_NS: i128 = 1_000_000_000;
/// Service time at and above which a call counts as long.
pub(super) const LONG_CALL: Duration = Duration::from_secs(1);
/// Time without calls after which a plan is removed.
const PLAN_IDLE: Duration = Duration::from_mins(10);
/// Time constant of the smoothed load, in seconds.
const LOAD_WINDOW_S: f64 = 1.0;
/// Expected slot time of a call before any service time is recorded: 1 ms.
const DEFAULT_COST_NS: u64 = 1_000_000;
/// Fixed-point scale of the ratio of queue length to weight.
const WEIGHTED_LEN_SCALE: u64 = 1 << 20;

/// Waiting calls and service time estimate of one plan in one rank.
#[derive(Debug)]
pub(super) struct PlanQueue {
    /// Waiting calls in order of arrival: sequence number to call ID.
    waiting: BTreeMap<u64, u64>,
    /// Expected slot time of the waiting calls, in nanoseconds.
    backlog_ns: u64,
    weight: u32,
    /// Start tag of the next call: virtual time up to which the plan has used its share.
    start_tag: i128,
    pub(super) estimate: Estimate,
    running: u32,
    /// Running calls that have held their slot for [`LONG_CALL`].
    long_running: u32,
    pub(super) last_start: Option<Instant>,
    last_used: Instant,
}

impl PlanQueue {
    /// Whether the next call counts as long: the plan has no service time samples, their mean is
    /// long, or one of its running calls is.
    fn is_long(&self) -> bool {
        !self.estimate.has_samples()
            || self.long_running > 0
            || self.estimate.mean() >= LONG_CALL.as_secs_f64()
    }

    /// Queue length with `extra` more calls, divided by the weight.
    fn weighted_len(&self, extra: u64) -> u64 {
        (self.waiting.len() as u64 + extra) * WEIGHTED_LEN_SCALE / u64::from(self.weight)
    }
}

/// Start-time fair queue (SFQ) of one rank. The cost of a call is its slot time.
#[derive(Debug, Default)]
pub(super) struct RankQueue {
    plans: IndexMap<PlanName, PlanQueue>,
    /// Plans with waiting calls by start tag: those with short calls, those with long calls.
    ready: [BTreeSet<(i128, PlanName)>; 2],
    /// Plans with waiting calls by queue length divided by weight.
    by_weighted_len: BTreeSet<(u64, PlanName)>,
    virtual_time: i128,
    /// Total weight of the plans with waiting calls.
    ready_weight: u64,
    waiting: usize,
    /// Expected slot time of the waiting calls, in nanoseconds.
    backlog_ns: u64,
    pub(super) running: u32,
    /// Credit or debt for the fractional slot of the floor, in seconds of slot time.
    pub(super) floor_credit: f64,
    /// Service times of all plans.
    overall: Estimate,
    /// Smoothed number of slots in use at `load_at`.
    load: f64,
    load_at: Option<Instant>,
}

impl RankQueue {
    pub(super) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the expected slot time of the waiting calls, in seconds.
    pub(super) fn backlog(&self) -> f64 {
        self.backlog_ns as f64 / 1e9
    }

    pub(super) fn plan(&self, plan: &str) -> Option<&PlanQueue> {
        self.plans.get(plan)
    }

    /// Returns whether a waiting call can start; long calls count only with `allow_long`.
    pub(super) fn has_ready(&self, allow_long: bool) -> bool {
        !self.ready[0].is_empty() || (allow_long && !self.ready[1].is_empty())
    }

    /// Returns whether the next call of `plan` counts as long.
    pub(super) fn is_long(&self, plan: &str) -> bool {
        self.plans.get(plan).is_none_or(PlanQueue::is_long)
    }

    /// Adds the plan if it is missing, and updates its weight.
    pub(super) fn ensure_plan(&mut self, plan: &PlanName, weight: u32, now: Instant) {
        let weight = weight.max(1);
        if self.plans.get(plan).is_some_and(|p| p.weight == weight) {
            return;
        }
        self.unindex_plan(plan);
        let start_tag = self.virtual_time;
        let entry = self.plans.entry(plan.clone()).or_insert_with(|| PlanQueue {
            waiting: BTreeMap::new(),
            backlog_ns: 0,
            weight,
            start_tag,
            estimate: Estimate::default(),
            running: 0,
            long_running: 0,
            last_start: None,
            last_used: now,
        });
        entry.weight = weight;
        self.index_plan(plan);
    }

    /// Returns the service times of a plan, or of the whole rank while the plan has no samples.
    pub(super) fn estimate(&self, plan: &str) -> Estimate {
        self.plans
            .get(plan)
            .map(|p| p.estimate)
            .filter(Estimate::has_samples)
            .unwrap_or(self.overall)
    }

    /// Returns the expected slot time of a call, in nanoseconds.
    pub(super) fn cost_ns(&self, plan: &str) -> u64 {
        let estimate = self.estimate(plan);
        if estimate.has_samples() {
            ((estimate.mean() * 1e9) as u64).max(1)
        } else {
            DEFAULT_COST_NS
        }
    }

    /// Returns the expected slot time of the waiting calls that start before a new call of `plan`,
    /// in seconds.
    pub(super) fn backlog_ahead(&self, plan: &str) -> f64 {
        let Some(entry) = self.plans.get(plan) else {
            return self.backlog();
        };
        let lag = (entry.start_tag - self.virtual_time).max(0) as f64 / VIRTUAL_SCALE as f64;
        let cost = self.cost_ns(plan) as f64;
        let own = entry.backlog_ns as f64 + cost;
        let mut weights = self.ready_weight;
        if entry.waiting.is_empty() {
            weights += u64::from(entry.weight);
        }
        // Until the new call starts, each other plan gets slot time in proportion to its weight.
        let fair = (lag + own / f64::from(entry.weight)) * weights as f64 - cost;
        fair.min(self.backlog_ns as f64) / 1e9
    }

    /// Adds a waiting call.
    pub(super) fn push(&mut self, plan: &PlanName, seq: u64, id: u64, cost_ns: u64) {
        let virtual_time = self.virtual_time;
        self.unindex_plan(plan);
        if let Some(entry) = self.plans.get_mut(plan) {
            if entry.waiting.is_empty() {
                entry.start_tag = entry.start_tag.max(virtual_time);
            }
            entry.waiting.insert(seq, id);
            entry.backlog_ns += cost_ns;
            self.waiting += 1;
            self.backlog_ns += cost_ns;
        }
        self.index_plan(plan);
    }

    /// Removes a waiting call.
    pub(super) fn remove(&mut self, plan: &PlanName, seq: u64, cost_ns: u64) {
        self.unindex_plan(plan);
        if let Some(entry) = self.plans.get_mut(plan)
            && entry.waiting.remove(&seq).is_some()
        {
            entry.backlog_ns -= cost_ns;
            self.waiting -= 1;
            self.backlog_ns -= cost_ns;
        }
        self.index_plan(plan);
    }

    /// Returns the call that starts next, among those of the plans that `allowed` accepts.
    pub(super) fn head(
        &self,
        allow_long: bool,
        allowed: impl Fn(&PlanName) -> bool,
    ) -> Option<u64> {
        let short = self.ready[0].iter().find(|(_, plan)| allowed(plan));
        let long = self.ready[1].iter().find(|(_, plan)| allowed(plan));
        let long = long.filter(|_| allow_long);
        let (_, plan) = match (short, long) {
            (Some(a), Some(b)) => a.min(b),
            (a, b) => a.or(b)?,
        };
        self.plans.get(plan)?.waiting.values().next().copied()
    }

    /// Returns the newest waiting call of the plan with the longest queue for its weight, if that
    /// queue is longer than the queue of `plan` would be with one more call.
    pub(super) fn displaceable(&self, plan: &str) -> Option<u64> {
        let (weighted_len, victim) = self.by_weighted_len.last()?;
        if victim.as_str() == plan || *weighted_len <= self.plans.get(plan)?.weighted_len(1) {
            return None;
        }
        self.plans
            .get(victim)?
            .waiting
            .values()
            .next_back()
            .copied()
    }

    /// Records the start of a call and charges its expected slot time to the plan.
    pub(super) fn start(&mut self, plan: &PlanName, cost_ns: u64, now: Instant) {
        self.unindex_plan(plan);
        if let Some(entry) = self.plans.get_mut(plan) {
            self.virtual_time = self.virtual_time.max(entry.start_tag);
            entry.start_tag += virtual_cost(cost_ns, entry.weight);
            entry.running += 1;
            entry.last_start = Some(now);
            entry.last_used = now;
        }
        self.index_plan(plan);
        self.running += 1;
        self.decay_load(now);
        self.load += cost_ns as f64 / 1e9 / LOAD_WINDOW_S;
    }

    /// Records that a running call has held its slot for [`LONG_CALL`].
    pub(super) fn mark_long_running(&mut self, plan: &PlanName) {
        self.unindex_plan(plan);
        if let Some(entry) = self.plans.get_mut(plan) {
            entry.long_running += 1;
        }
        self.index_plan(plan);
    }

    /// Records the end of a call and replaces its charge by the actual slot time.
    pub(super) fn finish(&mut self, plan: &PlanName, end: &FinishedCall, now: Instant) {
        self.unindex_plan(plan);
        let virtual_time = self.virtual_time;
        if let Some(entry) = self.plans.get_mut(plan) {
            entry.running -= 1;
            entry.long_running -= u32::from(end.long_running);
            entry.last_used = now;
            let slot_time_ns = u64::try_from(end.slot_time.as_nanos()).unwrap_or(u64::MAX);
            let bound = MAX_LAG_NS * VIRTUAL_SCALE / i128::from(entry.weight);
            entry.start_tag += virtual_cost(slot_time_ns, entry.weight);
            entry.start_tag -= virtual_cost(end.cost_ns, entry.weight);
            entry.start_tag = entry
                .start_tag
                .clamp(virtual_time - bound, virtual_time + bound);
            if end.is_sample {
                entry.estimate.record(end.slot_time);
                self.overall.record(end.slot_time);
            }
        }
        self.index_plan(plan);
        self.running -= 1;
    }

    /// Returns the smoothed number of slots that the rank uses.
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
            entry.backlog_ns = 0;
        }
        self.ready = Default::default();
        self.by_weighted_len.clear();
        self.ready_weight = 0;
        self.waiting = 0;
        self.backlog_ns = 0;
        calls
    }

    /// Removes plans that have had no calls for [`PLAN_IDLE`].
    pub(super) fn sweep(&mut self, now: Instant) {
        self.plans.retain(|_, entry| {
            entry.running > 0
                || !entry.waiting.is_empty()
                || now.saturating_duration_since(entry.last_used) < PLAN_IDLE
        });
    }

    /// Decays the smoothed load to `now`.
    fn decay_load(&mut self, now: Instant) {
        self.load = self.load(now);
        self.load_at = Some(now);
    }

    /// Removes the plan from the sorted sets; required before its sort keys change.
    fn unindex_plan(&mut self, plan: &PlanName) {
        let Some(entry) = self.plans.get(plan).filter(|p| !p.waiting.is_empty()) else {
            return;
        };
        self.ready[usize::from(entry.is_long())].remove(&(entry.start_tag, plan.clone()));
        self.by_weighted_len
            .remove(&(entry.weighted_len(0), plan.clone()));
        self.ready_weight -= u64::from(entry.weight);
    }

    /// Adds the plan to the sorted sets if it has waiting calls.
    fn index_plan(&mut self, plan: &PlanName) {
        let Some(entry) = self.plans.get(plan).filter(|p| !p.waiting.is_empty()) else {
            return;
        };
        self.ready[usize::from(entry.is_long())].insert((entry.start_tag, plan.clone()));
        self.by_weighted_len
            .insert((entry.weighted_len(0), plan.clone()));
        self.ready_weight += u64::from(entry.weight);
    }
}

/// A running call that has ended.
#[derive(Debug)]
pub(super) struct FinishedCall {
    /// Slot time charged at the start, in nanoseconds.
    pub(super) cost_ns: u64,
    /// Time for which the call held its slot.
    pub(super) slot_time: Duration,
    /// Whether the call was counted as long-running.
    pub(super) long_running: bool,
    /// Whether the slot time is a service time sample.
    pub(super) is_sample: bool,
}

/// Returns the virtual time for `cost_ns` of slot time at `weight`.
fn virtual_cost(cost_ns: u64, weight: u32) -> i128 {
    i128::from(cost_ns) * VIRTUAL_SCALE / i128::from(weight)
}
