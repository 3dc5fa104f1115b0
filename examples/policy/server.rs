//! The slots of one backend server under each policy.

use {
    anvilbeam::{
        admission::{Admission, Call, Effect, MAX_QUEUED_PER_SLOT, Outcome, Reason},
        model::Rank,
    },
    std::{collections::VecDeque, time::Instant},
    strum::EnumCount as _,
};

/// Order in which waiting calls start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Policy {
    /// One queue for all ranks.
    Fifo,
    /// The most urgent rank first, without floors.
    Strict,
    /// The reducer of the daemon.
    Admission,
}

/// All policies with their names in the table.
pub const POLICIES: [(Policy, &str); 3] = [
    (Policy::Fifo, "fifo"),
    (Policy::Strict, "strict"),
    (Policy::Admission, "ours"),
];

/// Slots of one backend server.
#[derive(Debug)]
pub enum Server {
    /// Bounded queues that are served in order. A call whose deadline has passed is refused
    /// when its turn comes.
    Queues {
        /// One queue, or one for each rank.
        queues: Vec<VecDeque<(u64, Instant)>>,
        /// Longest queue.
        bound: usize,
        /// Calls that run.
        running: u32,
        /// Calls that may run.
        slots: u32,
    },
    /// The reducer of the daemon.
    Admission(Box<Admission>),
}

impl Server {
    /// A server with free slots.
    pub fn new(policy: Policy, slots: u32) -> Self {
        let queues = match policy {
            Policy::Fifo => 1,
            Policy::Strict => Rank::COUNT,
            Policy::Admission => return Self::Admission(Box::new(Admission::new(slots))),
        };
        Self::Queues {
            queues: vec![VecDeque::new(); queues],
            bound: slots as usize * MAX_QUEUED_PER_SLOT * Rank::COUNT / queues,
            running: 0,
            slots,
        }
    }

    /// A call asks for a slot.
    pub fn arrive(&mut self, call: &Call<'_>, now: Instant) -> Vec<Effect> {
        match self {
            Self::Admission(admission) => return admission.arrive(call, now),
            Self::Queues { queues, bound, .. } => {
                let queue = call.rank.index().min(queues.len() - 1);
                if queues[queue].len() >= *bound {
                    return vec![refusal(call.id, Reason::QueueFull)];
                }
                queues[queue].push_back((call.id, call.deadline));
            }
        }
        self.start(now)
    }

    /// A call has ended.
    pub fn finish(&mut self, id: u64, outcome: Outcome, now: Instant) -> Vec<Effect> {
        match self {
            Self::Admission(admission) => return admission.finish(id, outcome, now),
            Self::Queues { running, .. } => *running -= 1,
        }
        self.start(now)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        match self {
            Self::Admission(admission) => admission.tick(now),
            Self::Queues { .. } => Vec::new(),
        }
    }

    fn start(&mut self, now: Instant) -> Vec<Effect> {
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
