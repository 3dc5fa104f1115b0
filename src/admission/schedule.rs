//! Scheduling of waiting calls, and the wait forecast that refuses calls on arrival.

use {
    super::{
        Admission, Call, Effect, Entry, FLOORS, FinishedCall, LONG_CALL, MAX_FLOOR_CREDIT_S,
        MAX_LONG_SHARE, MAX_QUEUED_PER_SLOT, MIN_FORECAST_SLOTS, PROBE_INTERVAL, RankQueue, Reason,
        State, inner,
    },
    crate::model::Rank,
    std::time::{Duration, Instant},
    strum::IntoEnumIterator as _,
};

impl Admission {
    /// Decides whether a call may wait or start; `Some` is a waiting call that must be displaced
    /// first. The error is the refusal.
    pub(super) fn admit(&self, call: &Call<'_>, now: Instant) -> Result<Option<u64>, Effect> {
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
        if self.has_late_backlog(call, wait, now) {
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

    /// Updates floor credits and long calls to `now`, and refuses calls that can no longer end by
    /// their deadline.
    pub(super) fn advance(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.accrue_floors(now);
        self.mark_long_calls(now);
        while let Some((latest_start, id)) = self.expiry.first().copied() {
            if latest_start > now {
                break;
            }
            let expired = self.calls.get(&id).is_some_and(|c| c.deadline <= now);
            let reason = if expired {
                Reason::Expired
            } else {
                Reason::TooLate
            };
            self.refuse(id, reason, now, effects);
        }
    }

    /// Starts waiting calls while slots are free.
    pub(super) fn dispatch(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let limit = self.limit.effective(now);
        while self.running < limit {
            let Some(id) = self.next_call(limit, now) else {
                return;
            };
            if self.misses_deadline(id, now) {
                self.refuse(id, Reason::TooLate, now, effects);
            } else if self.misses_soft_deadline(id, now) {
                self.deprioritize(id);
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
        let service = queue.estimate(call.plan.as_str()).median();
        let latest_start = call.deadline.checked_sub(seconds(service));
        let latest_start = latest_start.unwrap_or(call.deadline);
        queue.push(call.plan, seq, call.id, cost_ns);
        self.expiry.insert((latest_start, call.id));
        self.calls.insert(
            call.id,
            Entry {
                rank: call.rank,
                plan: call.plan.clone(),
                deadline: call.deadline,
                latest_start,
                soft_deadline: call.soft_deadline,
                late_start: call.late_start,
                cost_ns,
                inner: call.inner,
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
        let Some(entry) = self.dequeue(id) else {
            return;
        };
        let wait = self.ranks[entry.rank.index()].backlog() / self.slots_for(entry.rank, now);
        let retry_after = (reason != Reason::Expired).then(|| now + seconds(wait));
        effects.push(Effect::Refuse {
            id,
            reason,
            retry_after,
        });
    }

    /// Removes a waiting call from all queues.
    pub(super) fn dequeue(&mut self, id: u64) -> Option<Entry> {
        let entry = self.calls.remove(&id)?;
        match entry.state {
            State::Waiting { seq } => {
                self.ranks[entry.rank.index()].remove(&entry.plan, seq, entry.cost_ns);
            }
            State::Deprioritized { seq } => drop(self.deprioritized.remove(&(entry.rank, seq, id))),
            State::Running { .. } => {
                self.calls.insert(id, entry);
                return None;
            }
        }
        self.expiry.remove(&(entry.latest_start, id));
        Some(entry)
    }

    /// Frees the slot of a running call. `is_sample` decides from the slot time and the mean
    /// service time in seconds whether the slot time is a service time sample.
    pub(super) fn release(
        &mut self,
        id: u64,
        now: Instant,
        is_sample: impl Fn(Duration, f64) -> bool,
    ) {
        let Some(State::Running {
            since,
            long,
            long_running,
        }) = self.calls.get(&id).map(|c| c.state)
        else {
            return;
        };
        let Some(entry) = self.calls.remove(&id) else {
            return;
        };
        self.long_timers.remove(&(since + LONG_CALL, id));
        self.running -= 1;
        self.reserve.ended(entry.inner);
        self.long_calls -= u32::from(long);
        let queue = &mut self.ranks[entry.rank.index()];
        let slot_time = now.saturating_duration_since(since);
        let mean = queue.estimate(entry.plan.as_str()).mean();
        let end = FinishedCall {
            cost_ns: entry.cost_ns,
            slot_time,
            long_running,
            is_sample: is_sample(slot_time, mean),
        };
        queue.finish(&entry.plan, &end, now);
    }

    /// Whether one more long call may start in `rank`.
    pub(super) fn allows_long(&self, rank: Rank, now: Instant) -> bool {
        let cap = (f64::from(self.limit.effective(now)) * MAX_LONG_SHARE) as u32;
        rank == Rank::Urgent || self.long_calls < cap.max(1)
    }

    fn start(&mut self, id: u64, now: Instant) {
        let Some(mut entry) = self.dequeue(id) else {
            return;
        };
        let queue = &mut self.ranks[entry.rank.index()];
        let below_urgent = entry.rank != Rank::Urgent;
        let long = below_urgent && queue.is_long(entry.plan.as_str());
        queue.start(&entry.plan, entry.cost_ns, now);
        entry.state = State::Running {
            since: now,
            long,
            long_running: false,
        };
        let inner = entry.inner;
        self.calls.insert(id, entry);
        self.running += 1;
        self.reserve.started(inner);
        if let Some(pace) = &mut self.limit.pace {
            pace.sent(id, self.running, now);
        }
        self.long_calls += u32::from(long);
        if below_urgent {
            self.long_timers.insert((now + LONG_CALL, id));
        }
    }

    /// Returns the waiting call that gets the next free slot. Ranks that stay within the whole slots
    /// of their floor come first, then ranks that may use its fractional slot, then all in order of
    /// rank, then deprioritized calls.
    fn next_call(&self, limit: u32, now: Instant) -> Option<u64> {
        let first_rank = |is_eligible: fn(&RankQueue, f64) -> bool| {
            Rank::iter().find_map(|rank| {
                let floor = floor_slots(rank, limit);
                is_eligible(&self.ranks[rank.index()], floor)
                    .then(|| self.head(rank, now))
                    .flatten()
            })
        };
        first_rank(|queue, floor| f64::from(queue.running) + 1.0 <= floor)
            .or_else(|| first_rank(may_use_floor_fraction))
            .or_else(|| first_rank(|_, _| true))
            .or_else(|| self.deprioritized_head(limit, now))
    }

    /// Returns the next call of `rank` that may start.
    fn head(&self, rank: Rank, now: Instant) -> Option<u64> {
        let outer = self.allows_outer(self.limit.effective(now), now);
        self.ranks[rank.index()].head(self.allows_long(rank, now), |plan| {
            outer || inner::is_inner(plan)
        })
    }

    /// Credits each rank that has calls for its floor since the last update, and charges the slots
    /// it used.
    fn accrue_floors(&mut self, now: Instant) {
        let elapsed = self
            .last_accrual
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last))
            .as_secs_f64();
        self.last_accrual = Some(self.last_accrual.map_or(now, |last| last.max(now)));
        let limit = self.limit.effective(now);
        for rank in Rank::iter() {
            let queue = &mut self.ranks[rank.index()];
            if queue.waiting() == 0 && queue.running == 0 {
                queue.floor_credit = 0.0;
                continue;
            }
            let floor = floor_slots(rank, limit);
            // Slots above the floor were idle or assigned in order of rank, and are not charged.
            let used = f64::from(queue.running).min(floor.ceil());
            queue.floor_credit = (queue.floor_credit + elapsed * (floor - used))
                .clamp(-MAX_FLOOR_CREDIT_S, MAX_FLOOR_CREDIT_S);
        }
    }

    /// Marks running calls as long once they have held their slot for [`LONG_CALL`].
    fn mark_long_calls(&mut self, now: Instant) {
        while let Some((at, id)) = self.long_timers.first().copied() {
            if at > now {
                return;
            }
            self.long_timers.pop_first();
            let Some(entry) = self.calls.get_mut(&id) else {
                continue;
            };
            let State::Running {
                long, long_running, ..
            } = &mut entry.state
            else {
                continue;
            };
            self.long_calls += u32::from(!*long);
            *long = true;
            *long_running = true;
            self.ranks[entry.rank.index()].mark_long_running(&entry.plan);
        }
    }

    /// Returns the maximum queue length of a rank.
    fn queue_bound(&self) -> usize {
        self.limit.slots() as usize * MAX_QUEUED_PER_SLOT
    }

    /// Returns the number of slots expected to be available to `rank`: all except the recent load
    /// of more urgent ranks and of lower ranks up to their floors, but at least its own floor.
    fn slots_for(&self, rank: Rank, now: Instant) -> f64 {
        let limit = self.limit.effective(now);
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

    /// Whether a call that arrives at `now` can start at once.
    fn has_slot_for(&self, call: &Call<'_>, now: Instant) -> bool {
        let long = self.ranks[call.rank.index()].is_long(call.plan.as_str());
        let limit = self.limit.effective(now);
        self.running < limit
            && (!long || self.allows_long(call.rank, now))
            && (call.inner || self.allows_outer(limit, now))
    }

    /// Returns the expected wait of a call that arrives at `now` and cannot start at once.
    fn forecast_wait(&self, call: &Call<'_>, now: Instant) -> Duration {
        let queue = &self.ranks[call.rank.index()];
        let ahead = queue.backlog_ahead(call.plan.as_str());
        let more_urgent: f64 = self.ranks[..call.rank.index()]
            .iter()
            .map(RankQueue::backlog)
            .sum();
        let in_order = (more_urgent + ahead) / self.slots_for(call.rank, now);
        let floor = floor_slots(call.rank, self.limit.effective(now));
        let by_floor = ahead / floor.max(MIN_FORECAST_SLOTS);
        // A floor limits the time that more urgent ranks can delay the call.
        seconds(if floor > 0.0 {
            in_order.min(by_floor)
        } else {
            in_order
        })
    }

    /// Whether a call that starts at once or after `wait` is expected to end by its deadline.
    fn meets_deadline(&self, call: &Call<'_>, wait: Option<Duration>, now: Instant) -> bool {
        let queue = &self.ranks[call.rank.index()];
        let remaining = call.deadline.saturating_duration_since(now).as_secs_f64();
        let estimate = queue.estimate(call.plan.as_str());
        let Some(wait) = wait else {
            return estimate.median() <= remaining
                || self.may_probe(call.rank, call.plan.as_str(), now);
        };
        // The allowance for the tail is at most half of the remaining time, or a plan with a long
        // tail would be refused whenever all slots are busy.
        let margin = estimate.p90().min(remaining / 2.0).max(estimate.median());
        wait.as_secs_f64() + margin <= remaining
    }

    /// Whether a call in [`State::Waiting`] is expected to miss its soft deadline if it starts at
    /// `now`.
    fn misses_soft_deadline(&self, id: u64, now: Instant) -> bool {
        let Some(entry) = self.calls.get(&id) else {
            return false;
        };
        let (Some(soft_deadline), State::Waiting { .. }) = (entry.soft_deadline, entry.state)
        else {
            return false;
        };
        let remaining = soft_deadline.saturating_duration_since(now).as_secs_f64();
        let estimate = self.ranks[entry.rank.index()].estimate(entry.plan.as_str());
        remaining == 0.0 || estimate.median() > remaining
    }

    /// Whether a waiting call is expected to miss its deadline if it starts at `now`.
    fn misses_deadline(&self, id: u64, now: Instant) -> bool {
        let Some(entry) = self.calls.get(&id) else {
            return false;
        };
        let remaining = entry.deadline.saturating_duration_since(now).as_secs_f64();
        let plan = entry.plan.as_str();
        self.ranks[entry.rank.index()].estimate(plan).median() > remaining
            && !self.may_probe(entry.rank, plan, now)
    }

    /// Whether a call may start regardless of its estimate, since the plan has started no call for
    /// [`PROBE_INTERVAL`].
    fn may_probe(&self, rank: Rank, plan: &str, now: Instant) -> bool {
        self.ranks[rank.index()]
            .plan(plan)
            .and_then(|p| p.last_start)
            .is_none_or(|at| now.saturating_duration_since(at) >= PROBE_INTERVAL)
    }
}

/// Returns the floor of `rank` in slots.
fn floor_slots(rank: Rank, limit: u32) -> f64 {
    FLOORS[rank.index()] * f64::from(limit)
}

/// Whether the rank may use one more slot for the fractional slot of its floor. The credit limits
/// this to that fraction of the time.
fn may_use_floor_fraction(queue: &RankQueue, floor: f64) -> bool {
    f64::from(queue.running) < floor && queue.floor_credit >= 0.0
}

fn seconds(value: f64) -> Duration {
    // At most one day, which exceeds any deadline and cannot overflow an `Instant`.
    Duration::from_secs_f64(value.clamp(0.0, 86_400.0))
}
