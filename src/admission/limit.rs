//! Limit on the slots in use, reduced after a cold start and after the backend server sheds load.
//! With the setting `pace: answers`, [`Pace`] sets it instead.

use {
    crate::pace::Pace,
    std::time::{Duration, Instant},
};

/// Time in which the limit grows from 0 to all slots after a reduction, and from
/// [`COLD_START_SHARE`] to all slots after a cold start.
const RAMP_TIME: Duration = Duration::from_secs(10);
/// Share of the slots at a cold start.
const COLD_START_SHARE: f64 = 0.1;
/// Factor by which the limit is reduced when the backend server sheds load.
const SHED_FACTOR: f64 = 0.7;
/// Minimum share of the slots after reductions.
const MIN_SHED_SHARE: f64 = 0.1;
/// Minimum time between reductions: calls in flight that are shed together count as one signal.
const SHED_INTERVAL: Duration = Duration::from_millis(200);
/// Time after a reduction before the limit grows again.
const SHED_HOLD: Duration = Duration::from_secs(1);
/// Interval at which a growing limit is checked.
const GROWTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Limit on the slots in use as a function of time.
#[derive(Debug)]
pub(super) struct SlotLimit {
    slots: u32,
    /// Time of the last cold start; `None` if the server was warm when it was added.
    cold_since: Option<Instant>,
    reduction: Option<Reduction>,
    /// Pace by answers; `None` with the setting `pace: ramp`.
    pub(super) pace: Option<Pace>,
    /// Whether the pace replaces the ramp. Otherwise it just follows the answers.
    pub(super) paced: bool,
}

/// The last reduction: the limit as a share of the slots, and its time.
#[derive(Clone, Copy, Debug)]
struct Reduction {
    share: f64,
    at: Instant,
}

impl SlotLimit {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            slots,
            cold_since: None,
            reduction: None,
            pace: None,
            paced: false,
        }
    }

    /// Returns the total number of slots, regardless of the limit.
    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    /// Changes the total number of slots.
    pub(super) fn resize(&mut self, slots: u32) {
        self.slots = slots;
        if let Some(pace) = &mut self.pace {
            pace.resize(slots);
        }
    }

    /// Begins the slow start of a server that has just started.
    pub(super) fn cold_start(&mut self, now: Instant) {
        self.cold_since = Some(now);
        self.reduction = None;
    }

    /// Reduces the limit because the backend server shed load, at most once in [`SHED_INTERVAL`].
    pub(super) fn reduce(&mut self, now: Instant) {
        if self
            .reduction
            .is_some_and(|reduction| now.saturating_duration_since(reduction.at) < SHED_INTERVAL)
        {
            return;
        }
        let share = (self.shed_share(now) * SHED_FACTOR).max(MIN_SHED_SHARE);
        self.reduction = Some(Reduction { share, at: now });
    }

    /// Returns the limit at `now`, at least 1 if the server has any slots.
    pub(super) fn effective(&self, now: Instant) -> u32 {
        if let Some(pace) = self.pace.as_ref().filter(|_| self.paced) {
            return pace.limit();
        }
        let share = self.shed_share(now).min(self.cold_share(now));
        ((f64::from(self.slots) * share + 1e-9) as u32)
            .max(1)
            .min(self.slots)
    }

    /// Returns the time of the next check for a growing limit; `None` once it includes all slots.
    pub(super) fn next_growth(&self, now: Instant) -> Option<Instant> {
        if self.paced {
            // It grows with answers only.
            return None;
        }
        let share = self.shed_share(now).min(self.cold_share(now));
        (share < 1.0).then(|| now + GROWTH_CHECK_INTERVAL)
    }

    /// Share of the slots that the last reduction allows at `now`.
    fn shed_share(&self, now: Instant) -> f64 {
        self.reduction.map_or(1.0, |reduction| {
            let growing_for = now.saturating_duration_since(reduction.at + SHED_HOLD);
            (reduction.share + growing_for.as_secs_f64() / RAMP_TIME.as_secs_f64()).min(1.0)
        })
    }

    /// Share of the slots that slow start allows at `now`.
    fn cold_share(&self, now: Instant) -> f64 {
        self.cold_since.map_or(1.0, |since| {
            let age = now.saturating_duration_since(since).as_secs_f64();
            (COLD_START_SHARE + (1.0 - COLD_START_SHARE) * age / RAMP_TIME.as_secs_f64()).min(1.0)
        })
    }
}
