//! Inner calls: calls that a run of another call waits for.
//!
//! Load addressed: callers whose requests hold a slot while their inner calls wait. If new work fills
//! the slots that inner calls need, the slots of the callers fill up too, and a service that calls
//! itself is locked up until deadlines pass.
//!
//! Inner calls have a queue of their own within their rank, with a weight that puts them ahead of all
//! others, and a service time estimate of their own. While there are inner calls, other calls leave a
//! part of the slots free.

use {
    super::{Admission, Call},
    crate::model::PlanName,
    std::{
        borrow::Cow,
        time::{Duration, Instant},
    },
};

/// Suffix of the queue of a plan's inner calls. No name of a plan contains a space.
const QUEUE_SUFFIX: &str = " inner";
/// Weight of the queue of inner calls. It exceeds that of any plan by far, so that their slot time
/// hardly counts in the order of the fair queue.
const WEIGHT: u32 = 1 << 24;
/// One of this many slots is reserved, at least one of two or more.
const SLOTS_PER_RESERVED: u32 = 6;
/// Time after the last inner call for which slots stay reserved.
const RESERVE_TIME: Duration = Duration::from_secs(1);

/// Returns the name of the queue that a call waits in.
pub(super) fn queue_name<'a>(call: &Call<'a>) -> Cow<'a, PlanName> {
    if call.inner {
        let name = format!("{}{QUEUE_SUFFIX}", call.plan);
        return Cow::Owned(PlanName::from(name.as_str()));
    }
    Cow::Borrowed(call.plan)
}

/// Returns the call as it is queued, with `plan` as returned by [`queue_name`].
pub(super) fn queued<'a>(call: &Call<'_>, plan: &'a PlanName) -> Call<'a> {
    Call {
        id: call.id,
        rank: call.rank,
        plan,
        weight: if call.inner { WEIGHT } else { call.weight },
        deadline: call.deadline,
        soft_deadline: call.soft_deadline,
        late_start: call.late_start,
        inner: call.inner,
    }
}

/// Returns whether `plan` is the queue of inner calls.
pub(super) fn is_inner(plan: &PlanName) -> bool {
    plan.as_str().ends_with(QUEUE_SUFFIX)
}

impl Admission {
    /// Returns the number of slots that only inner calls may use at `now`.
    pub fn reserved(&self, now: Instant) -> u32 {
        self.reserve.slots(self.limit.effective(now), now)
    }

    /// Returns whether the call `id` waits or runs as an inner call.
    pub fn is_inner(&self, id: u64) -> bool {
        self.calls.get(&id).is_some_and(|entry| entry.inner)
    }

    /// Returns the deprioritized call that may start first.
    pub(super) fn deprioritized_head(&self, limit: u32, now: Instant) -> Option<u64> {
        let outer = self.allows_outer(limit, now);
        let is_inner = |id: &u64| self.calls.get(id).is_some_and(|entry| entry.inner);
        let mut calls = self.deprioritized.iter().map(|(.., id)| *id);
        calls.find(|id| outer || is_inner(id))
    }

    /// Whether one more call that is no inner call may start.
    pub(super) fn allows_outer(&self, limit: u32, now: Instant) -> bool {
        self.reserve.allows_outer(self.running, limit, now)
    }
}

/// Slots reserved for inner calls.
#[derive(Debug, Default)]
pub(super) struct InnerReserve {
    running: u32,
    last_arrival: Option<Instant>,
}

impl InnerReserve {
    pub(super) fn arrived(&mut self, call: &Call<'_>, now: Instant) {
        if call.inner {
            self.last_arrival = Some(now);
        }
    }

    pub(super) fn started(&mut self, inner: bool) {
        self.running += u32::from(inner);
    }

    pub(super) fn ended(&mut self, inner: bool) {
        self.running -= u32::from(inner);
    }

    /// Returns the time at which the reservation ends; `None` if there is none at `now`.
    pub(super) fn ends_at(&self, now: Instant) -> Option<Instant> {
        let ends_at = self.last_arrival? + RESERVE_TIME;
        (now < ends_at).then_some(ends_at)
    }

    /// Whether a call that is no inner call may start while `running` calls hold slots.
    pub(super) fn allows_outer(&self, running: u32, limit: u32, now: Instant) -> bool {
        running - self.running < limit - self.slots(limit, now)
    }

    fn slots(&self, limit: u32, now: Instant) -> u32 {
        match self.ends_at(now) {
            Some(_) if limit >= 2 => (limit / SLOTS_PER_RESERVED).max(1),
            _ => 0,
        }
    }
}
