//! Order in which waiting calls start, and the forecast that refuses calls early.

use {
    super::{
        Admission, Call, Effect, End, Entry, FLOORS, LONG, LONG_SHARE, MAX_FLOOR_CREDIT_S,
        MIN_FORECAST_SLOTS, PROBE_INTERVAL, QUEUE_PER_SLOT, RankQueue, Reason, State,
    },
    crate::model::Rank,
    std::time::{Duration, Instant},
    strum::IntoEnumIterator as _,
};

impl Admission {
    /// Whether a call may wait or start; `Some` names the call that must leave the queue.
    pub(super) fn check(&self, call: &Call<'_>, now: Instant) -> Result<Option<u64>, Effect> {
        let refuse = |reason, retry_after| Effect::Refuse {
            id: call.id,
            reason,
            retry_after,
        };
        if self.draining {
            return Err(refuse(Reason::Draining, None));
        }
        if call.deadline <= now {
            return Err(refuse(Reason::Expired, None));
        }
        if self.has_slot_for(call, now) {
            if self.meets_deadline(call, None, now) {
                return Ok(None);
            }
            return Err(refuse(Reason::TooLate, None));
        }
        let wait = self.forecast_wait(call, now);
        if !self.meets_deadline(call, Some(wait), now) {
            return Err(refuse(Reason::TooLate, Some(now + wait)));
        }
        let queue = &self.ranks[call.rank.index()];
        if queue.waiting() < self.queue_bound() {
            return Ok(None);
        }
        queue
            .displaceable(call.plan.as_str())
            .map(Some)
            .ok_or_else(|| refuse(Reason::QueueFull, Some(now + wait)))
    }

    /// Brings everything that depends on time up to `now`.
    pub(super) fn advance(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.accrue_floors(now);
        self.mark_long(now);
        while let Some((deadline, id)) = self.expiry.first().copied() {
            if deadline > now {
                break;
            }
            self.refuse(id, Reason::Expired, now, effects);
        }
    }

    /// Starts waiting calls while slots are free.
    pub(super) fn dispatch(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let limit = self.limit.at(now);
        while self.running < limit {
            let Some(id) = self.next_call(limit, now) else {
                return;
            };
            if self.would_be_late(id, now) {
                self.refuse(id, Reason::TooLate, now, effects);
            } else if self.misses_wanted(id, now) {
                self.put_behind(id);
            } else {
                self.start(id, now);
                effects.push(Effect::Start(id));
            }
        }
    }

    /// Appends a call to the queue of its rank.
    pub(super) fn enqueue(&mut self, call: &Call<'_>) {
        let queue = &mut self.ranks[call.rank.index()];
        let cost_ns = queue.cost_ns(call.plan.as_str());
        let seq = self.next_seq;
        self.next_seq += 1;
        queue.push(call.plan, seq, call.id, cost_ns);
        self.expiry.insert((call.deadline, call.id));
        self.calls.insert(
            call.id,
            Entry {
                rank: call.rank,
                plan: call.plan.clone(),
                deadline: call.deadline,
                wanted: call.wanted,
                cost_ns,
                state: State::Waiting { seq },
            },
        );
    }

    /// Refuses a waiting call.
    pub(super) fn refuse(
        &mut self,
        id: u64,
        reason: Reason,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.take_waiting(id) else {
            return;
        };
        let wait = self.ranks[entry.rank.index()].work() / self.slots_for(entry.rank, now);
        let retry_after = (reason != Reason::Expired).then(|| now + seconds(wait));
        effects.push(Effect::Refuse {
            id,
            reason,
            retry_after,
        });
    }

    /// Takes a waiting call out of all queues.
    pub(super) fn take_waiting(&mut self, id: u64) -> Option<Entry> {
        let entry = self.calls.remove(&id)?;
        match entry.state {
            State::Waiting { seq } => {
                self.ranks[entry.rank.index()].remove(&entry.plan, seq, entry.cost_ns);
            }
            State::Overdue { seq } => drop(self.overdue.remove(&(entry.rank, seq, id))),
            State::Running { .. } => {
                self.calls.insert(id, entry);
                return None;
            }
        }
        self.expiry.remove(&(entry.deadline, id));
        Some(entry)
    }

    /// Frees the slot of a started call. `measured` decides from the time held and the mean
    /// service time, in seconds, whether the time held counts as a service time.
    pub(super) fn release(
        &mut self,
        id: u64,
        now: Instant,
        measured: impl Fn(Duration, f64) -> bool,
    ) {
        let Some(State::Running { since, long, aged }) = self.calls.get(&id).map(|c| c.state)
        else {
            return;
        };
        let Some(entry) = self.calls.remove(&id) else {
            return;
        };
        self.aging.remove(&(since + LONG, id));
        self.running -= 1;
        self.long -= u32::from(long);
        let queue = &mut self.ranks[entry.rank.index()];
        let held = now.saturating_duration_since(since);
        let mean = queue.estimate(entry.plan.as_str()).mean();
        let end = End {
            cost_ns: entry.cost_ns,
            held,
            aged,
            measured: measured(held, mean),
        };
        queue.finish(&entry.plan, &end, now);
    }

    /// Whether one more call that may be long may start in `rank`.
    pub(super) fn allows_long(&self, rank: Rank, now: Instant) -> bool {
        let cap = (f64::from(self.limit.at(now)) * LONG_SHARE) as u32;
        rank == Rank::Urgent || self.long < cap.max(1)
    }

    fn start(&mut self, id: u64, now: Instant) {
        let Some(mut entry) = self.take_waiting(id) else {
            return;
        };
        let queue = &mut self.ranks[entry.rank.index()];
        let lower = entry.rank != Rank::Urgent;
        let long = lower && queue.is_long(entry.plan.as_str());
        queue.start(&entry.plan, entry.cost_ns, now);
        entry.state = State::Running {
            since: now,
            long,
            aged: false,
        };
        self.calls.insert(id, entry);
        self.running += 1;
        self.long += u32::from(long);
        if lower {
            self.aging.insert((now + LONG, id));
        }
    }

    /// The waiting call that gets the next free slot: whole slots of all floors first, then
    /// their fractions, then the order of ranks.
    fn next_call(&self, limit: u32, now: Instant) -> Option<u64> {
        let first = |wanted: fn(&RankQueue, f64) -> bool| {
            Rank::iter().find_map(|rank| {
                let floor = floor_slots(rank, limit);
                wanted(&self.ranks[rank.index()], floor)
                    .then(|| self.head(rank, now))
                    .flatten()
            })
        };
        first(|queue, floor| f64::from(queue.running) + 1.0 <= floor)
            .or_else(|| first(has_floor_fraction))
            .or_else(|| first(|_, _| true))
            .or_else(|| self.overdue.first().map(|(.., id)| *id))
    }

    fn head(&self, rank: Rank, now: Instant) -> Option<u64> {
        self.ranks[rank.index()].head(self.allows_long(rank, now))
    }

    /// Credits each rank with work for the fraction of its floor, and charges what it uses.
    fn accrue_floors(&mut self, now: Instant) {
        let elapsed = self
            .last
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last))
            .as_secs_f64();
        self.last = Some(self.last.map_or(now, |last| last.max(now)));
        let limit = self.limit.at(now);
        for rank in Rank::iter() {
            let queue = &mut self.ranks[rank.index()];
            if queue.waiting() == 0 && queue.running == 0 {
                queue.floor_credit = 0.0;
                continue;
            }
            let floor = floor_slots(rank, limit);
            // Slots above the floor were idle or came from the order of ranks: not charged.
            let used = f64::from(queue.running).min(floor.ceil());
            queue.floor_credit = (queue.floor_credit + elapsed * (floor - used))
                .clamp(-MAX_FLOOR_CREDIT_S, MAX_FLOOR_CREDIT_S);
        }
    }

    /// Counts running calls as long once they have held their slot for [`LONG`].
    fn mark_long(&mut self, now: Instant) {
        while let Some((at, id)) = self.aging.first().copied() {
            if at > now {
                return;
            }
            self.aging.pop_first();
            let Some(entry) = self.calls.get_mut(&id) else {
                continue;
            };
            let State::Running { long, aged, .. } = &mut entry.state else {
                continue;
            };
            self.long += u32::from(!*long);
            *long = true;
            *aged = true;
            self.ranks[entry.rank.index()].mark_aged(&entry.plan);
        }
    }

    fn queue_bound(&self) -> usize {
        self.limit.slots() as usize * QUEUE_PER_SLOT
    }

    /// Slots that `rank` can count on: all but what more urgent ranks used lately and what
    /// lower ranks used of their floors, and at least its own floor.
    fn slots_for(&self, rank: Rank, now: Instant) -> f64 {
        let limit = self.limit.at(now);
        let used_by_others: f64 = Rank::iter()
            .filter(|other| *other != rank)
            .map(|other| {
                let load = self.ranks[other.index()].load(now);
                if other < rank {
                    load
                } else {
                    load.min(floor_slots(other, limit))
                }
            })
            .sum();
        (f64::from(limit) - used_by_others)
            .max(floor_slots(rank, limit))
            .max(MIN_FORECAST_SLOTS)
    }

    /// Whether a call that arrives now starts at once.
    fn has_slot_for(&self, call: &Call<'_>, now: Instant) -> bool {
        let long = self.ranks[call.rank.index()].is_long(call.plan.as_str());
        self.running < self.limit.at(now) && (!long || self.allows_long(call.rank, now))
    }

    /// Time until a call that arrives now and has to wait is expected to start.
    fn forecast_wait(&self, call: &Call<'_>, now: Instant) -> Duration {
        let queue = &self.ranks[call.rank.index()];
        let ahead = queue.work_ahead(call.plan.as_str());
        let urgent: f64 = self.ranks[..call.rank.index()]
            .iter()
            .map(RankQueue::work)
            .sum();
        let in_order = (urgent + ahead) / self.slots_for(call.rank, now);
        let floor = floor_slots(call.rank, self.limit.at(now));
        let by_floor = ahead / floor.max(MIN_FORECAST_SLOTS);
        // The floor bounds the wait behind more urgent ranks.
        seconds(if floor > 0.0 {
            in_order.min(by_floor)
        } else {
            in_order
        })
    }

    /// Whether a call that starts at once or after `wait` is expected to end by its deadline.
    fn meets_deadline(&self, call: &Call<'_>, wait: Option<Duration>, now: Instant) -> bool {
        let queue = &self.ranks[call.rank.index()];
        let left = call.deadline.saturating_duration_since(now).as_secs_f64();
        let estimate = queue.estimate(call.plan.as_str());
        let Some(wait) = wait else {
            return estimate.median() <= left || self.may_probe(call.rank, call.plan.as_str(), now);
        };
        // The margin for the tail may not exceed half of the time, or a plan with a long tail
        // would be refused whenever all slots are busy.
        let margin = estimate.high().min(left / 2.0).max(estimate.median());
        wait.as_secs_f64() + margin <= left
    }

    /// Whether a call in the queue of its rank is expected to end later than wanted if it started
    /// now.
    fn misses_wanted(&self, id: u64, now: Instant) -> bool {
        let Some(entry) = self.calls.get(&id) else {
            return false;
        };
        let (Some(wanted), State::Waiting { .. }) = (entry.wanted, entry.state) else {
            return false;
        };
        let left = wanted.saturating_duration_since(now).as_secs_f64();
        let estimate = self.ranks[entry.rank.index()].estimate(entry.plan.as_str());
        left == 0.0 || estimate.median() > left
    }

    /// Moves a waiting call behind all that can still be in time.
    fn put_behind(&mut self, id: u64) {
        let Some(mut entry) = self.take_waiting(id) else {
            return;
        };
        if let State::Waiting { seq } = entry.state {
            entry.state = State::Overdue { seq };
            self.overdue.insert((entry.rank, seq, id));
            self.expiry.insert((entry.deadline, id));
        }
        self.calls.insert(id, entry);
    }

    /// Whether a waiting call would end after its deadline if it started now.
    fn would_be_late(&self, id: u64, now: Instant) -> bool {
        let Some(entry) = self.calls.get(&id) else {
            return false;
        };
        let left = entry.deadline.saturating_duration_since(now).as_secs_f64();
        let plan = entry.plan.as_str();
        self.ranks[entry.rank.index()].estimate(plan).median() > left
            && !self.may_probe(entry.rank, plan, now)
    }

    fn may_probe(&self, rank: Rank, plan: &str, now: Instant) -> bool {
        self.ranks[rank.index()]
            .plan(plan)
            .and_then(|p| p.last_start)
            .is_none_or(|at| now.saturating_duration_since(at) >= PROBE_INTERVAL)
    }
}

/// Slots of the floor of `rank`.
fn floor_slots(rank: Rank, limit: u32) -> f64 {
    FLOORS[rank.index()] * f64::from(limit)
}

/// Whether the rank may use one slot for the fraction of its floor: a slot for that fraction of
/// the time.
fn has_floor_fraction(queue: &RankQueue, floor: f64) -> bool {
    f64::from(queue.running) < floor && queue.floor_credit >= 0.0
}

fn seconds(value: f64) -> Duration {
    // A day is longer than any deadline and cannot overflow an instant.
    Duration::from_secs_f64(value.clamp(0.0, 86_400.0))
}
