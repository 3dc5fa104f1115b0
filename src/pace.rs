//! Pace of a backend server that started or recovered: how many calls its owner daemon lets run at
//! once, between 1 and all of its slots.
//!
//! Load addressed: a server that is cold, that comes back after failures, that goes down and up by
//! turns, or whose machine was frozen, while callers have more calls for it than it can run well.
//! The number follows from what was sent and how the server answered, not from the time since its
//! start:
//!
//! - After a start, it grows by one for each answer, which doubles it in each round of calls.
//! - Refusals, resets and silence cut it, once for the calls that were in flight together, if more
//!   calls were inside the server than it has been seen to hold. A connection that is reset after the
//!   time of the work is no such evidence: a full server resets it at once.
//! - Service times cut it only if they show that the last growth was of no use: if twice the calls
//!   take twice as long, the additional ones wait inside the server. A server that is just slow for
//!   a time keeps its slots, since fewer calls at once would not make it faster.
//! - After a cut, it is raised again in steps, each tried for a round of calls. Steps that succeed
//!   get larger, and the pause after steps that fail gets longer.
//! - Calls that were in flight while the daemon got no processor time are no evidence.
//!
//! See docs/design/pace.md for the alternatives.

use {
    crate::model::{PlanName, Rank},
    held::Held,
    rounds::Rounds,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    strum::{Display, EnumCount, EnumIter},
    times::Times,
};

mod decide;
mod held;
mod rounds;
#[cfg(test)]
mod tests;
mod times;

/// Share of the slots at a start when the server gives no hint about its warm-up.
const START_SHARE: f64 = 1.0 / 3.0;
/// Share of the slots at the start of a server that says it is warm. Steps would hold back the first
/// burst of calls; if the hint is wrong, what the server does not hold cuts the limit.
const WARM_START_SHARE: f64 = 1.0;
/// Share of the slots at the start of a server that says it is cold.
const COLD_START_SHARE: f64 = 1.0 / 4.0;
/// Maximum number of times that the start value is halved for starts that were not completed.
const MAX_FLAPS: u32 = 4;
/// Time without any event after which calls in flight are no evidence. The daemon checks its state
/// each 100 ms, so a longer gap means that it got no processor time.
const PAUSE: Duration = Duration::from_millis(500);

/// How the backend server reacted to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It answered after this time.
    Answered(Duration),
    /// It answered, but neither the time nor the answer shows how loaded it is.
    Neutral,
    /// It refused the call because it is full.
    Refused,
    /// It closed the connection without an answer.
    Reset,
    /// It gave no answer in the time that the caller had.
    Silent,
}

/// Why a pace was cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumCount, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// The server refused calls.
    Refused,
    /// Connections were reset.
    Reset,
    /// Calls were not answered.
    Silent,
    /// More calls at once took longer in proportion.
    Queueing,
}

/// Change of the pace, to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A server started.
    Began,
    /// The number of calls was reduced.
    Cut(Cause),
    /// All slots may be used, this time after the start.
    Complete(Duration),
}

/// A call that the server has not answered.
#[derive(Clone, Copy, Debug)]
struct Sent {
    seq: u64,
    at: Instant,
    /// Calls that held a slot, with this one, when it was sent.
    inside: u32,
    /// Whether that was more than the server had been seen to hold.
    exceeded: bool,
    /// Most calls that held a slot, with this one, when it was sent or answered.
    running: u32,
    /// Limit when it was sent.
    limit: f64,
}

impl Sent {
    /// Whether half of the slots allowed were in use.
    fn is_used(&self) -> bool {
        f64::from(self.running) * 2.0 >= self.limit
    }

    /// Whether the server has taken the call: a full one refuses it or resets its connection at once.
    fn is_accepted(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) > times::IMMEDIATE
    }

    /// Whether all slots allowed were in use, so that the limit set the number of calls.
    fn is_bound(&self) -> bool {
        f64::from(self.running) >= self.limit
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Grows with each answer.
    Growing,
    /// Raised by a step after a number of answers; a step is kept if a round of calls succeeds.
    Stepping {
        /// Answers until the next step, or until the current step is kept.
        answers: f64,
        /// Limit before the step that is being tried.
        before: Option<f64>,
    },
    /// All slots may be used.
    Complete,
}

/// Controller of the pace of one backend server.
///
/// Each call that starts is passed to [`Pace::sent`] and later to [`Pace::replied`], once. The time
/// must not go backwards.
///
/// ```
/// use anvilbeam::{model::{PlanName, Rank}, pace::{Pace, Reply}};
/// use std::time::{Duration, Instant};
/// let now = Instant::now();
/// let plan = PlanName::from("registry");
/// let mut pace = Pace::new(12);
/// pace.start(None, now);
/// assert_eq!(pace.limit(), 4);
/// for id in 0..4 {
///     pace.sent(id, 4, now);
/// }
/// let later = now + Duration::from_millis(40);
/// for id in 0..4 {
///     pace.replied(id, (Rank::Normal, &plan), Reply::Answered(later - now), later);
/// }
/// assert_eq!(pace.limit(), 8);
/// ```
#[derive(Debug)]
pub struct Pace {
    slots: u32,
    limit: f64,
    phase: Phase,
    /// Size of the next step, in slots.
    step: f64,
    /// Rounds of calls before the next step.
    hold_rounds: u32,
    held: Held,
    /// Answers since the last start.
    answers: u32,
    sent: HashMap<u64, Sent>,
    next_seq: u64,
    /// Calls sent earlier than this are no evidence: they belong to an earlier limit, start or a
    /// time before a pause.
    first_valid: u64,
    last_event: Option<Instant>,
    rounds: Rounds,
    /// Whether calls took about as long as in the past with all slots in use. Times are not
    /// compared from then on, until the next start or cut.
    proved: bool,
    /// Limit before the last cut, if service times caused it and have not been compared since.
    cut_from: Option<f64>,
    times: Times,
    /// Starts since the last completed one.
    flaps: u32,
    cuts: [u64; Cause::COUNT],
    /// Time of the last start.
    started: Option<Instant>,
    /// Time from then to all slots.
    opening: Option<Duration>,
    changes: Vec<Change>,
}

impl Pace {
    /// Returns the pace of a server that is known to be warm, with all of its `slots`.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            phase: Phase::Complete,
            step: 1.0,
            hold_rounds: 1,
            held: Held::known(slots),
            answers: 0,
            sent: HashMap::new(),
            next_seq: 0,
            first_valid: 0,
            last_event: None,
            rounds: Rounds::default(),
            proved: true,
            cut_from: None,
            times: Times::default(),
            flaps: 0,
            cuts: [0; Cause::COUNT],
            started: None,
            opening: None,
            changes: Vec::new(),
        }
    }

    /// Begins the pace of a server that has just started, or that a daemon has just found.
    ///
    /// `warm_up` is the server's own hint about its remaining warm-up. It shapes only the start
    /// value, since it may be wrong. A server whose earlier starts were not completed begins lower.
    pub fn start(&mut self, warm_up: Option<Duration>, now: Instant) {
        self.limit = self.start_value(
            match warm_up {
                None => START_SHARE,
                Some(Duration::ZERO) => WARM_START_SHARE,
                Some(_) => COLD_START_SHARE,
            },
            self.flaps,
        );
        self.flaps += 1;
        self.phase = Phase::Growing;
        self.step = self.min_step();
        self.hold_rounds = 1;
        self.last_event = Some(now);
        self.proved = false;
        self.held = Held::default();
        self.answers = 0;
        self.started = Some(now);
        self.opening = None;
        // Calls to an earlier incarnation say nothing about this one.
        self.sent.clear();
        self.times.restart();
        self.invalidate();
        self.changes.push(Change::Began);
        self.complete_if_full(now);
    }

    /// Applies a later hint of a server that it is warm, if nothing but the hint at its start has set
    /// the limit: without calls there are no answers that could open it.
    pub fn warmed(&mut self, now: Instant) {
        self.observe(now);
        if self.phase != Phase::Growing || self.answers >= self.slots {
            return;
        }
        let flaps = self.flaps.saturating_sub(1);
        self.limit = self.limit.max(self.start_value(WARM_START_SHARE, flaps));
        self.complete_if_full(now);
    }

    /// Returns the start value for a share of the slots after `flaps` starts that were not completed.
    fn start_value(&self, share: f64, flaps: u32) -> f64 {
        let divisor = f64::from(2u32.pow(flaps.min(MAX_FLAPS)));
        (f64::from(self.slots) * share / divisor).ceil().max(1.0)
    }

    /// Changes the number of slots. Slots that are added are opened by answers.
    pub fn resize(&mut self, slots: u32) {
        let grown = slots > self.slots;
        self.slots = slots;
        self.limit = self.limit.min(f64::from(slots)).max(1.0);
        if grown && self.phase == Phase::Complete {
            self.phase = Phase::Growing;
        }
    }

    /// Returns the number of calls that may run at once: between 1 and all slots.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).max(1).min(self.slots)
    }

    /// Returns the number of cuts so far.
    pub fn cuts(&self) -> u64 {
        self.cuts.iter().sum()
    }

    /// Returns the number of cuts for `cause` so far.
    pub const fn cuts_by(&self, cause: Cause) -> u64 {
        self.cuts[cause as usize]
    }

    /// Returns the time from the last start to all slots; `None` before they were allowed.
    pub const fn opening(&self) -> Option<Duration> {
        self.opening
    }

    /// Returns the changes since the last time, in order.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Notes that the daemon runs at `now`; must be called several times in [`PAUSE`].
    pub fn observe(&mut self, now: Instant) {
        let paused = self
            .last_event
            .is_some_and(|last| now.saturating_duration_since(last) >= PAUSE);
        self.last_event = Some(now);
        if paused {
            self.invalidate();
        }
    }

    /// Records a call that is sent to the server; `running` calls hold a slot, with this one.
    pub fn sent(&mut self, id: u64, running: u32, now: Instant) {
        self.observe(now);
        let call = Sent {
            seq: self.next_seq,
            at: now,
            inside: running,
            exceeded: self.held.is_exceeded_by(running),
            running,
            limit: self.limit.floor(),
        };
        self.next_seq += 1;
        self.sent.insert(id, call);
    }

    /// Records how the server reacted to a call of `plan` in a rank. Later replies to the same call
    /// are ignored.
    pub fn replied(&mut self, id: u64, kind: (Rank, &PlanName), reply: Reply, now: Instant) {
        self.observe(now);
        let in_flight = u32::try_from(self.sent.len()).unwrap_or(u32::MAX);
        let Some(mut call) = self.sent.remove(&id) else {
            return;
        };
        // Of calls that start together, the first ones start with few others.
        call.running = call.running.max(in_flight);
        if call.seq < self.first_valid {
            return;
        }
        match reply {
            Reply::Answered(time) => {
                self.held.ran(call.seq, call.inside);
                let level = self.times.record(kind, time, now);
                self.answered(&call, level, now);
            }
            Reply::Neutral => {}
            Reply::Refused => self.dropped(&call, Cause::Refused, now),
            Reply::Reset => {
                let elapsed = now.saturating_duration_since(call.at);
                if self.times.is_immediate(kind, elapsed) {
                    self.dropped(&call, Cause::Reset, now);
                } else {
                    self.held.ran(call.seq, call.inside);
                }
            }
            Reply::Silent => {
                let elapsed = now.saturating_duration_since(call.at);
                if self.times.is_silence(kind, elapsed) {
                    self.dropped(&call, Cause::Silent, now);
                }
            }
        }
    }
}
