//! Admission control for the slots of one backend server: decides which call starts, which is
//! queued and which is refused.
//!
//! Each rank below urgent has a floor, a guaranteed share of the slots. A free slot goes first to
//! a rank with waiting calls that is below its floor, then to the most urgent rank with waiting
//! calls. Within a rank, slot time is shared between plans in proportion to the weights of their
//! grants. Service times are estimated for each rank and plan. A call that is not expected to end
//! by its deadline is refused on arrival, when it reaches the head of the queue, or when it could
//! no longer end in time if it started, so that its caller has time left to use another server.
//!
//! A call that reaches the head of the queue when it can no longer meet its soft deadline is
//! deprioritized: it starts once no call waits that can still meet its own. Under overload, a queue
//! in order of arrival would answer nearly every call late.
//!
//! No slot is idle while a call waits, with two exceptions: calls below the urgent rank with an
//! expected service time of a second or more (long calls) together hold at most three quarters of
//! the slots, but at least one. Otherwise long uploads could hold every slot for minutes, since a
//! running call is never preempted. A second exception are slots reserved for inner calls, see
//! [`Call::inner`]. The cost: long calls alone cannot use the last quarter, and a
//! plan whose service time is unknown counts as long until one has been recorded.

pub use late::late_start;

use {
    crate::{
        model::{PlanName, Rank},
        pace::Reply,
    },
    inner::InnerReserve,
    limit::SlotLimit,
    queue::{FinishedCall, LONG_CALL, RankQueue},
    std::{
        collections::{BTreeSet, HashMap},
        time::{Duration, Instant},
    },
    strum::{Display, EnumCount as _, IntoEnumIterator as _},
};

mod estimate;
mod inner;
mod late;
mod limit;
mod paced;
mod queue;
mod schedule;
pub mod speed;
#[cfg(test)]
mod tests;

/// Guaranteed share of the slots for each rank while it has calls, by [`Rank::index`].
pub const FLOORS: [f64; Rank::COUNT] = [0.0, 0.15, 0.10, 0.05];
/// Maximum share of the slots held by all long calls below the urgent rank together; one long call
/// may always run.
pub const MAX_LONG_SHARE: f64 = 0.75;
/// Maximum queue length of one rank for each slot; a longer queue would mean waits of over about
/// a second.
pub const MAX_QUEUED_PER_SLOT: usize = 32;
/// Maximum credit or debt of a rank for the fractional slot of its floor, in seconds of slot time.
const MAX_FLOOR_CREDIT_S: f64 = 1.0;
/// Interval at which one call of a plan is let through although its estimated service time exceeds
/// its deadline, so that the estimate is updated when the server becomes faster.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between removals of idle plans.
const SWEEP_INTERVAL: Duration = Duration::from_mins(1);
/// Minimum number of slots assumed in a forecast of the wait.
const MIN_FORECAST_SLOTS: f64 = 0.05;

/// A call that requests a slot.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Call ID, unique for the lifetime of the [`Admission`].
    pub id: u64,
    /// Rank of the grant.
    pub rank: Rank,
    /// Plan that makes the call.
    pub plan: &'a PlanName,
    /// Weight of the plan within its rank: the capacity of its grant. 0 counts as 1.
    pub weight: u32,
    /// Time by which the call must end.
    pub deadline: Instant,
    /// Soft deadline: an answer after this time is worth less. `None` if only `deadline` counts.
    pub soft_deadline: Option<Instant>,
    /// Time by which the call must have started if it can no longer meet its soft deadline; it is
    /// refused then. `None` if it may wait as long as its deadline allows.
    pub late_start: Option<Instant>,
    /// Whether a run of another call waits for the answer. Such an inner call goes ahead of other
    /// calls of its rank, and some slots are reserved for inner calls.
    pub inner: bool,
}

/// Result of a call that was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server answered; the time the slot was held is a service time sample.
    Done,
    /// The call failed; the time the slot was held is not a service time sample.
    Failed,
    /// The backend server refused the call to shed load.
    Busy,
}

/// Why a call was refused. A refused call was never started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The queue of the rank is full.
    QueueFull,
    /// The queue was full and the call was removed for a plan with a shorter queue for its weight.
    Displaced,
    /// The call is not expected to end by its deadline.
    TooLate,
    /// The deadline passed before the call started.
    Expired,
    /// The backend server is draining.
    Draining,
}

/// Action that the owner of the [`Admission`] must perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send the call to the backend server now.
    Start(u64),
    /// Refuse the call with the outcome `not-run`.
    Refuse {
        /// Call ID.
        id: u64,
        /// Reason for the refusal.
        reason: Reason,
        /// Earliest time at which a retry on this server may succeed; `None` if unknown.
        retry_after: Option<Instant>,
    },
}

/// A waiting or running call.
#[derive(Debug)]
struct Entry {
    rank: Rank,
    plan: PlanName,
    deadline: Instant,
    /// Latest start by which the call is expected to end by its deadline, as estimated when it was
    /// queued.
    latest_start: Instant,
    soft_deadline: Option<Instant>,
    late_start: Option<Instant>,
    /// Expected slot time when the call was queued, in nanoseconds.
    cost_ns: u64,
    inner: bool,
    state: State,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Waiting {
        seq: u64,
    },
    /// Cannot meet its soft deadline; starts when no call in [`State::Waiting`] can start.
    Deprioritized {
        seq: u64,
    },
    Running {
        since: Instant,
        /// Counted in [`Admission::long_calls`].
        long: bool,
        /// Has held its slot for [`LONG_CALL`].
        long_running: bool,
    },
}

/// Admission controller for the slots of one backend server.
///
/// Each call that is not cancelled gets exactly one [`Effect::Start`] or [`Effect::Refuse`], at
/// once or later; until then it waits. Each event passes the current time, which must not go
/// backwards.
///
/// ```
/// use anvilbeam::admission::{Admission, Call, Effect, Outcome};
/// use anvilbeam::model::{PlanName, Rank};
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let plan = PlanName::from("registry");
/// let call = |id| Call {
///     id,
///     rank: Rank::Urgent,
///     plan: &plan,
///     weight: 100,
///     deadline: now + Duration::from_secs(1),
///     soft_deadline: None,
///     late_start: None,
///     inner: false,
/// };
/// let mut admission = Admission::new(1);
/// assert_eq!(admission.arrive(&call(1), now), [Effect::Start(1)]);
/// assert_eq!(admission.arrive(&call(2), now), []);
/// let later = now + Duration::from_millis(20);
/// assert_eq!(admission.finish(1, Outcome::Done, later), [Effect::Start(2)]);
/// ```
#[derive(Debug)]
pub struct Admission {
    limit: SlotLimit,
    ranks: [RankQueue; Rank::COUNT],
    calls: HashMap<u64, Entry>,
    /// Latest starts of the waiting calls, with call IDs.
    expiry: BTreeSet<(Instant, u64)>,
    /// Calls that cannot meet their soft deadline, in the order in which they start: rank, sequence
    /// number, call ID.
    deprioritized: BTreeSet<(Rank, u64, u64)>,
    /// Times at which running calls below the urgent rank become long, with call IDs.
    long_timers: BTreeSet<(Instant, u64)>,
    running: u32,
    /// Number of running calls below the urgent rank that count as long.
    long_calls: u32,
    next_seq: u64,
    /// Time up to which floor credits are accrued; `None` before the first event.
    last_accrual: Option<Instant>,
    next_sweep: Option<Instant>,
    draining: bool,
    reserve: InnerReserve,
}

impl Admission {
    /// Returns a controller for a warm server with `slots` slots.
    pub fn new(slots: u32) -> Self {
        Self {
            limit: SlotLimit::new(slots),
            ranks: Default::default(),
            calls: HashMap::new(),
            expiry: BTreeSet::new(),
            deprioritized: BTreeSet::new(),
            long_timers: BTreeSet::new(),
            running: 0,
            long_calls: 0,
            next_seq: 0,
            last_accrual: None,
            next_sweep: None,
            draining: false,
            reserve: InnerReserve::default(),
        }
    }

    /// Ends a drain, without a slow start.
    pub const fn end_drain(&mut self) {
        self.draining = false;
    }

    /// Begins the slow start of a server that has just started: the slot limit grows from a tenth
    /// of the slots to all of them within 10 s. Also ends a drain.
    pub fn cold_start(&mut self, now: Instant) {
        self.limit.cold_start(now);
        self.draining = false;
    }

    /// Returns the number of slots that calls may hold at `now`.
    pub fn limit(&self, now: Instant) -> u32 {
        self.limit.effective(now)
    }

    /// Returns the number of calls that hold a slot.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of calls of `rank` that hold a slot.
    pub fn running_of(&self, rank: Rank) -> u32 {
        self.ranks[rank.index()].running
    }

    /// Returns the number of waiting calls of `rank`.
    pub fn waiting_of(&self, rank: Rank) -> usize {
        let deprioritized = self.deprioritized.iter().filter(|(of, ..)| *of == rank);
        self.ranks[rank.index()].waiting() + deprioritized.count()
    }

    /// Returns the median service time of the calls of a plan in a rank; zero before the first one.
    pub fn service_time(&self, rank: Rank, plan: &PlanName) -> Duration {
        let estimate = self.ranks[rank.index()].estimate(plan.as_str());
        Duration::from_secs_f64(estimate.median())
    }

    /// Returns the expected wait of a call that arrives at `now` behind all waiting calls.
    pub fn expected_wait(&self, now: Instant) -> Duration {
        let queued: f64 = self.ranks.iter().map(RankQueue::backlog).sum();
        let calls = self.deprioritized.iter().map(|(.., id)| id);
        let deprioritized = calls.filter_map(|id| self.calls.get(id));
        let deprioritized: u64 = deprioritized.map(|entry| entry.cost_ns).sum();
        let slots = f64::from(self.limit.effective(now)).max(MIN_FORECAST_SLOTS);
        Duration::from_secs_f64((queued + deprioritized as f64 / 1e9) / slots)
    }

    /// Returns whether a waiting call could start at `now` if a slot were free.
    pub fn has_startable(&self, now: Instant) -> bool {
        let mut ranks = Rank::iter();
        ranks.any(|rank| self.ranks[rank.index()].has_ready(self.allows_long(rank, now)))
            || !self.deprioritized.is_empty()
    }

    /// Returns the time at which [`Admission::tick`] must be called next; `None` if no call is
    /// waiting or about to become long.
    pub fn next_tick(&self, now: Instant) -> Option<Instant> {
        let expiry = self.expiry.first().map(|(at, _)| *at);
        let long_timer = self.long_timers.first().map(|(at, _)| *at);
        let growth = expiry.and_then(|_| self.limit.next_growth(now));
        let reserve_end = expiry.and_then(|_| self.reserve.ends_at(now));
        [expiry, long_timer, growth, reserve_end]
            .into_iter()
            .flatten()
            .min()
    }

    /// Handles a call that requests a slot: starts, queues or refuses it.
    pub fn arrive(&mut self, call: &Call<'_>, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.calls.contains_key(&call.id) {
            return effects;
        }
        self.advance(now, &mut effects);
        let inner_plan = inner::queue_name(call);
        let call = inner::queued(call, &inner_plan);
        self.reserve.arrived(&call, now);
        let queue = &mut self.ranks[call.rank.index()];
        queue.ensure_plan(call.plan, call.weight, now);
        match self.admit(&call, now) {
            Ok(None) => self.enqueue(&call),
            Ok(Some(victim)) => {
                self.refuse(victim, Reason::Displaced, now, &mut effects);
                self.enqueue(&call);
            }
            Err(refusal) => effects.push(refusal),
        }
        self.dispatch(now, &mut effects);
        effects
    }

    /// Handles the end of a running call, which frees its slot.
    pub fn finish(&mut self, id: u64, outcome: Outcome, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        if outcome == Outcome::Busy {
            self.limit.reduce(now);
            self.note_reply(id, Reply::Refused, now);
        }
        self.note_reply(id, Reply::Neutral, now);
        self.advance(now, &mut effects);
        self.release(id, now, |_, _| outcome == Outcome::Done);
        self.dispatch(now, &mut effects);
        effects
    }

    /// Cancels a call whose caller has disconnected. A waiting call is dropped without an effect.
    /// For a running call the slot becomes free, so call this only after the backend server has
    /// stopped working on it.
    pub fn cancel(&mut self, id: u64, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        // A caller that waited long shows that the server is silent.
        self.note_reply(id, Reply::Silent, now);
        self.advance(now, &mut effects);
        if let Some(entry) = self.calls.get(&id) {
            match entry.state {
                State::Waiting { .. } | State::Deprioritized { .. } => drop(self.dequeue(id)),
                // A call cancelled after more than the mean service time shows that the server is
                // slow, so its slot time is a sample.
                State::Running { .. } => {
                    self.release(id, now, |slot_time, mean| slot_time.as_secs_f64() > mean);
                }
            }
        }
        self.dispatch(now, &mut effects);
        effects
    }

    /// Refuses calls that can no longer end by their deadline, removes idle plans and starts waiting calls as the
    /// slot limit grows.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let Some(pace) = &mut self.limit.pace {
            pace.observe(now);
        }
        self.advance(now, &mut effects);
        if self.next_sweep.is_none_or(|at| at <= now) {
            self.next_sweep = Some(now + SWEEP_INTERVAL);
            self.ranks.iter_mut().for_each(|queue| queue.sweep(now));
        }
        self.dispatch(now, &mut effects);
        effects
    }

    /// Begins a drain: waiting calls and all later arrivals are refused; running calls continue.
    pub fn drain(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.advance(now, &mut effects);
        self.draining = true;
        let waiting: Vec<u64> = self.ranks.iter_mut().flat_map(RankQueue::drain).collect();
        let deprioritized = std::mem::take(&mut self.deprioritized);
        let deprioritized = deprioritized.into_iter().map(|(.., id)| id);
        for id in waiting.into_iter().chain(deprioritized) {
            self.calls.remove(&id);
            effects.push(Effect::Refuse {
                id,
                reason: Reason::Draining,
                retry_after: None,
            });
        }
        self.expiry.clear();
        effects
    }

    /// Changes the number of slots that the server announces. Running calls continue.
    pub fn resize(&mut self, slots: u32, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.advance(now, &mut effects);
        self.limit.resize(slots);
        self.dispatch(now, &mut effects);
        effects
    }
}
