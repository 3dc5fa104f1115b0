//! Slots of one backend server: which call starts, which waits and which is refused.
//!
//! A free slot goes to the most urgent rank that waits, after each lower rank that waits has
//! its floor. Inside a rank, slot time is shared between plans by the weight of their grants.
//! Service times are measured for each rank and plan. A call that is not expected to end by
//! its deadline is refused on arrival or when its turn comes.
//!
//! A call whose turn comes when its answer would be later than wanted gives way to all that can
//! still be in time, and starts when none of them waits. In overload a queue in plain order
//! answers nearly every call late.
//!
//! No slot is idle while a call waits, with one exception: calls below the urgent rank that
//! are expected to hold their slot for a second or more hold at most three quarters of the
//! slots together. Otherwise long uploads could hold every slot for minutes, since a started
//! call is never interrupted. The cost: long calls alone cannot use the last quarter, and a
//! plan whose service time is unknown counts as long until its first call has ended.

use {
    crate::model::{PlanName, Rank},
    limit::SlotLimit,
    queue::{End, LONG, RankQueue},
    std::{
        collections::{BTreeSet, HashMap},
        time::{Duration, Instant},
    },
    strum::{Display, EnumCount as _, IntoEnumIterator as _},
};

mod estimate;
mod limit;
mod queue;
mod schedule;
#[cfg(test)]
mod tests;

/// Guaranteed share of the slots for each rank while it has work, by [`Rank::index`].
pub const FLOORS: [f64; Rank::COUNT] = [0.0, 0.15, 0.10, 0.05];
/// Largest share of the slots that long calls below the urgent rank hold together.
pub const LONG_SHARE: f64 = 0.75;
/// Waiting calls of one rank for each slot; more would mean a wait of about a second.
pub const QUEUE_PER_SLOT: usize = 32;
/// Bound of the credit and debt of a fractional floor, in seconds of one slot.
const MAX_FLOOR_CREDIT_S: f64 = 1.0;
/// A plan whose calls would all be refused for their service time gets one call through in
/// this time, so that the measurement follows a server that became faster.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// How often plans without calls are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_mins(1);
/// Smallest number of slots that a forecast assumes.
const MIN_FORECAST_SLOTS: f64 = 0.05;

/// A call that asks for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Number of the call, unique for the life of the reducer.
    pub id: u64,
    /// Rank of the grant.
    pub rank: Rank,
    /// The calling plan.
    pub plan: &'a PlanName,
    /// Weight between the plans of a rank: the capacity of the grant. 0 counts as 1.
    pub weight: u32,
    /// When the answer is due.
    pub deadline: Instant,
    /// When the answer is wanted, if that is before the deadline.
    pub wanted: Option<Instant>,
}

/// How a started call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server answered; the time it took counts as service time.
    Done,
    /// The call failed; the time it took is not a service time.
    Failed,
    /// The backend server refused the call because it sheds load.
    Busy,
}

/// Why a call was refused. A refused call was never started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The queue of the rank is full.
    QueueFull,
    /// The call gave its place in a full queue to a plan that used less of its share.
    Displaced,
    /// The call is not expected to end by its deadline.
    TooLate,
    /// The deadline passed before the call could start.
    Expired,
    /// The backend server drains.
    Draining,
}

/// What the caller of the reducer must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send the call to the backend server now.
    Start(u64),
    /// Refuse the call as "not run".
    Refuse {
        /// Number of the call.
        id: u64,
        /// Why.
        reason: Reason,
        /// When a further attempt at this server may succeed, if that can be said.
        retry_after: Option<Instant>,
    },
}

#[derive(Debug)]
struct Entry {
    rank: Rank,
    plan: PlanName,
    deadline: Instant,
    wanted: Option<Instant>,
    cost_ns: u64,
    state: State,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Waiting {
        seq: u64,
    },
    /// Waits for a slot that no call wants that can still be in time.
    Overdue {
        seq: u64,
    },
    Running {
        since: Instant,
        long: bool,
        aged: bool,
    },
}

/// Owner of the slots of one backend server.
///
/// A call gets exactly one [`Effect::Start`] or [`Effect::Refuse`], at once or later; until
/// then it waits. Time enters with each event and must not run backwards.
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
///     wanted: None,
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
    /// Waiting calls by deadline.
    expiry: BTreeSet<(Instant, u64)>,
    /// Calls whose answer would be later than wanted, in the order in which they start.
    overdue: BTreeSet<(Rank, u64, u64)>,
    /// Running calls below the urgent rank by the time at which they count as long.
    aging: BTreeSet<(Instant, u64)>,
    running: u32,
    /// Calls below the urgent rank that hold a slot and count as long.
    long: u32,
    next_seq: u64,
    last: Option<Instant>,
    next_sweep: Option<Instant>,
    draining: bool,
}

impl Admission {
    /// Takes over a warm server with `slots` slots.
    pub fn new(slots: u32) -> Self {
        Self {
            limit: SlotLimit::new(slots),
            ranks: Default::default(),
            calls: HashMap::new(),
            expiry: BTreeSet::new(),
            overdue: BTreeSet::new(),
            aging: BTreeSet::new(),
            running: 0,
            long: 0,
            next_seq: 0,
            last: None,
            next_sweep: None,
            draining: false,
        }
    }

    /// Ends a drain, with all slots at once.
    pub const fn reopen(&mut self) {
        self.draining = false;
    }

    /// Begins the slow start of a server that has just started: a tenth of the slots at
    /// first, all after 10 s. Also ends a drain.
    pub fn cold_start(&mut self, now: Instant) {
        self.limit.cold_start(now);
        self.draining = false;
    }

    /// Slots that may be in use at `now`.
    pub fn limit(&self, now: Instant) -> u32 {
        self.limit.at(now)
    }

    /// Calls that hold a slot.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Calls of `rank` that hold a slot.
    pub fn running_of(&self, rank: Rank) -> u32 {
        self.ranks[rank.index()].running
    }

    /// Calls of `rank` that wait.
    pub fn waiting_of(&self, rank: Rank) -> usize {
        let overdue = self.overdue.iter().filter(|(of, ..)| *of == rank);
        self.ranks[rank.index()].waiting() + overdue.count()
    }

    /// Whether a waiting call could start now if a slot were free.
    pub fn has_startable(&self, now: Instant) -> bool {
        let mut ranks = Rank::iter();
        ranks.any(|rank| self.ranks[rank.index()].has_ready(self.allows_long(rank, now)))
            || !self.overdue.is_empty()
    }

    /// When [`Admission::tick`] is due, if anything waits or ages.
    pub fn next_tick(&self, now: Instant) -> Option<Instant> {
        let expiry = self.expiry.first().map(|(at, _)| *at);
        let aging = self.aging.first().map(|(at, _)| *at);
        let growth = expiry.and_then(|_| self.limit.next_growth(now));
        [expiry, aging, growth].into_iter().flatten().min()
    }

    /// A call asks for a slot.
    pub fn arrive(&mut self, call: &Call<'_>, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.calls.contains_key(&call.id) {
            return effects;
        }
        self.advance(now, &mut effects);
        let queue = &mut self.ranks[call.rank.index()];
        queue.touch(call.plan, call.weight, now);
        match self.check(call, now) {
            Ok(None) => self.enqueue(call),
            Ok(Some(victim)) => {
                self.refuse(victim, Reason::Displaced, now, &mut effects);
                self.enqueue(call);
            }
            Err(refusal) => effects.push(refusal),
        }
        self.dispatch(now, &mut effects);
        effects
    }

    /// A started call has ended and its slot is free.
    pub fn finish(&mut self, id: u64, outcome: Outcome, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        if outcome == Outcome::Busy {
            self.limit.shed(now);
        }
        self.advance(now, &mut effects);
        self.release(id, now, |_, _| outcome == Outcome::Done);
        self.dispatch(now, &mut effects);
        effects
    }

    /// The caller has gone. A waiting call is dropped without an effect; of a started call,
    /// the slot is free, so call this once the backend server has let go of it.
    pub fn cancel(&mut self, id: u64, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.advance(now, &mut effects);
        if let Some(entry) = self.calls.get(&id) {
            match entry.state {
                State::Waiting { .. } | State::Overdue { .. } => drop(self.take_waiting(id)),
                // A call that was given up after more than the mean shows a slow server.
                State::Running { .. } => {
                    self.release(id, now, |held, mean| held.as_secs_f64() > mean);
                }
            }
        }
        self.dispatch(now, &mut effects);
        effects
    }

    /// Time has passed: refuses calls whose deadline has come, starts calls as the slots grow.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.advance(now, &mut effects);
        if self.next_sweep.is_none_or(|at| at <= now) {
            self.next_sweep = Some(now + SWEEP_INTERVAL);
            self.ranks.iter_mut().for_each(|queue| queue.sweep(now));
        }
        self.dispatch(now, &mut effects);
        effects
    }

    /// The server leaves: waiting calls and all that arrive from now on are refused; running
    /// calls end as usual.
    pub fn drain(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.advance(now, &mut effects);
        self.draining = true;
        let waiting: Vec<u64> = self.ranks.iter_mut().flat_map(RankQueue::drain).collect();
        let overdue = std::mem::take(&mut self.overdue);
        let overdue = overdue.into_iter().map(|(.., id)| id);
        for id in waiting.into_iter().chain(overdue) {
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

    /// The server announces another number of slots. Running calls go on.
    pub fn resize(&mut self, slots: u32, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.advance(now, &mut effects);
        self.limit.resize(slots);
        self.dispatch(now, &mut effects);
        effects
    }
}
