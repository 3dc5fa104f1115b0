//! Number of slots in use: fewer after a cold start and after the backend server shed load.

use std::time::{Duration, Instant};

/// Time from a cold start, or from the end of a reduction to nothing, to all slots.
const RAMP: Duration = Duration::from_secs(10);
/// Share of the slots that a cold server starts with.
const COLD_SHARE: f64 = 0.1;
/// Factor on the slots when the backend server sheds load.
const SHED_FACTOR: f64 = 0.7;
/// Smallest share of the slots that shedding leaves.
const MIN_SHED_SHARE: f64 = 0.1;
/// One reduction within this time: the calls in flight that are shed together are one signal.
const SHED_INTERVAL: Duration = Duration::from_millis(200);
/// Time after a reduction before the slots grow again.
const SHED_HOLD: Duration = Duration::from_secs(1);
/// Interval at which a growing limit is looked at again.
const GROWTH_STEP: Duration = Duration::from_millis(100);

/// Effective number of slots as a function of time.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotLimit {
    slots: u32,
    cold_since: Option<Instant>,
    shed: Option<Shed>,
}

#[derive(Clone, Copy, Debug)]
struct Shed {
    share: f64,
    at: Instant,
}

impl SlotLimit {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            slots,
            cold_since: None,
            shed: None,
        }
    }

    /// Slots of the server, whatever the limit is now.
    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    /// Changes the number of slots.
    pub(super) fn resize(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Begins the slow start of a server that has just started.
    pub(super) fn cold_start(&mut self, now: Instant) {
        self.cold_since = Some(now);
        self.shed = None;
    }

    /// Notes that the backend server shed load.
    pub(super) fn shed(&mut self, now: Instant) {
        if self
            .shed
            .is_some_and(|shed| now.saturating_duration_since(shed.at) < SHED_INTERVAL)
        {
            return;
        }
        let share = (self.shed_share(now) * SHED_FACTOR).max(MIN_SHED_SHARE);
        self.shed = Some(Shed { share, at: now });
    }

    /// Slots that may be in use at `now`; at least one if there are any.
    pub(super) fn at(&self, now: Instant) -> u32 {
        let share = self.shed_share(now).min(self.cold_share(now));
        ((f64::from(self.slots) * share + 1e-9) as u32)
            .max(1)
            .min(self.slots)
    }

    /// When the limit is worth another look, if it is still growing.
    pub(super) fn next_growth(&self, now: Instant) -> Option<Instant> {
        let share = self.shed_share(now).min(self.cold_share(now));
        (share < 1.0).then(|| now + GROWTH_STEP)
    }

    fn shed_share(&self, now: Instant) -> f64 {
        self.shed.map_or(1.0, |shed| {
            let grown = now.saturating_duration_since(shed.at + SHED_HOLD);
            (shed.share + grown.as_secs_f64() / RAMP.as_secs_f64()).min(1.0)
        })
    }

    fn cold_share(&self, now: Instant) -> f64 {
        self.cold_since.map_or(1.0, |since| {
            let age = now.saturating_duration_since(since).as_secs_f64();
            (COLD_SHARE + (1.0 - COLD_SHARE) * age / RAMP.as_secs_f64()).min(1.0)
        })
    }
}
