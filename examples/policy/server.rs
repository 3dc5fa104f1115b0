//! Slot scheduling of one backend server under each policy.

use {
    anvilbeam::{
        admission::{Admission, Call, Effect, MAX_QUEUED_PER_SLOT, Outcome, Reason},
        model::Rank,
    },
    std::{collections::VecDeque, time::Instant},
    strum::EnumCount as _,
};

/// Policy by which waiting calls get a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Policy {
    /// One FIFO queue for all ranks.
    Fifo,
    /// One FIFO queue per rank; the most urgent rank first, without guaranteed shares.
    Strict,
    /// The admission reducer of the daemon.
    Admission,
}

/// All policies, each with its name in the table.
pub const POLICIES: [(Policy, &str); 3] = [
    (Policy::Fifo, "fifo"),
    (Policy::Strict, "strict"),
    (Policy::Admission, "ours"),
];

/// Slots and waiting calls of one backend server.
#[derive(Debug)]
pub enum Server {
    /// Bounded FIFO queues. A free slot goes to the first queue that is not empty; an expired
    /// call is refused only when it is dequeued.
    Queues {
        /// Call ids and deadlines: one queue for all ranks, or one per rank in order of urgency.
        queues: Vec<VecDeque<(u64, Instant)>>,
        /// Maximum length of each queue, in calls.
        max_len: usize,
        /// Calls in progress.
        running: u32,
        /// Maximum number of calls in progress.
        slots: u32,
    },
    /// The admission reducer of the daemon.
    Admission(Box<Admission>),
}

impl Server {
    /// Creates a server whose slots are all free.
    pub fn new(policy: Policy, slots: u32) -> Self {
        let queues = match policy {
            Policy::Fifo => 1,
            Policy::Strict => Rank::COUNT,
            Policy::Admission => return Self::Admission(Box::new(Admission::new(slots))),
        };
        Self::Queues {
            queues: vec![VecDeque::new(); queues],
            max_len: slots as usize * MAX_QUEUED_PER_SLOT * Rank::COUNT / queues,
            running: 0,
            slots,
        }
    }

    /// Starts, queues or refuses a call.
    pub fn arrive(&mut self, call: &Call<'_>, now: Instant) -> Vec<Effect> {
        match self {
            Self::Admission(admission) => return admission.arrive(call, now),
            Self::Queues {
                queues, max_len, ..
            } => {
                let queue = call.rank.index().min(queues.len() - 1);
                if queues[queue].len() >= *max_len {
                    return vec![refusal(call.id, Reason::QueueFull)];
                }
                queues[queue].push_back((call.id, call.deadline));
            }
        }
        self.start_waiting(now)
    }

    /// Frees the slot of a call that has ended, and starts waiting calls.
    pub fn finish(&mut self, id: u64, outcome: Outcome, now: Instant) -> Vec<Effect> {
        match self {
            Self::Admission(admission) => return admission.finish(id, outcome, now),
            Self::Queues { running, .. } => *running -= 1,
        }
        self.start_waiting(now)
    }

    /// Runs the timer of the admission reducer; queues have none.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        match self {
            Self::Admission(admission) => admission.tick(now),
            Self::Queues { .. } => Vec::new(),
        }
    }

    fn start_waiting(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Self::Queues {
            queues,
            running,
            slots,
            ..
        } = self
        else {
            return effects;
        };
        while *running < *slots {
            let Some((id, deadline)) = queues.iter_mut().find_map(VecDeque::pop_front) else {
                break;
            };
            if deadline <= now {
                effects.push(refusal(id, Reason::Expired));
            } else {
                *running += 1;
                effects.push(Effect::Start(id));
            }
        }
        effects
    }
}

fn refusal(id: u64, reason: Reason) -> Effect {
    Effect::Refuse {
        id,
        reason,
        retry_after: None,
    }
}
