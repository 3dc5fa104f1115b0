//! What a backend server has been seen to hold: the number of calls that were inside it when it took
//! another one and ran it.
//!
//! A call that is refused, reset or not answered shows that the server is full only if more calls were
//! inside it than it has held before. With fewer, the reason lies elsewhere (lost answers, a fault, all
//! servers of a service that refuse a share of the calls), unless it drops many calls in series.

use std::time::{Duration, Instant};

/// Calls that are dropped in series, with as many inside the server as it has held, after which its past
/// counts no longer. With fewer inside, each counts for their share: of the calls that a server which
/// refuses 55% of them takes, few are sent with as many inside as one that it refuses.
const MAX_SERIES: f64 = 12.0;

/// Time in which such calls are counted.
const UNEXPLAINED_TIME: Duration = Duration::from_secs(1);
/// Number of them from which on no dropped call says anything, whatever the number of calls. One or two
/// may be resets after very short work.
const MANY_UNEXPLAINED: f64 = 3.0;
/// The same number for refusals, which have no such other reason: one in the last second.
const ANY_UNEXPLAINED: f64 = 0.37;

/// Number of calls that the server has been seen to hold.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Held {
    most: u32,
    /// Dropped calls since one ran with as many inside, each as a share of `most`.
    series: f64,
    /// Fewest calls inside at a call of the series.
    series_min: u32,
    /// Number of the first call of the series.
    series_start: u64,
    /// Calls inside at one that got lost with more than it has held, since which none ran with more.
    suspected: Option<u32>,
    /// Calls that it dropped for other reasons than their number, each of which counts less with its
    /// age, and the time of the last one.
    unexplained: Option<(f64, Instant)>,
}

impl Held {
    /// Returns the state of a server that is known to hold `calls`.
    pub(super) const fn known(calls: u32) -> Self {
        Self {
            most: calls,
            series: 0.0,
            series_min: 0,
            series_start: 0,
            suspected: None,
            unexplained: None,
        }
    }

    /// Whether it resets connections at `now` for other reasons than the number of calls.
    pub(super) fn is_dropping(&self, now: Instant) -> bool {
        self.unexplained_at(now) >= MANY_UNEXPLAINED
    }

    /// Whether it refuses calls at `now` for other reasons than their number.
    pub(super) fn is_shedding(&self, now: Instant) -> bool {
        self.unexplained_at(now) >= ANY_UNEXPLAINED
    }

    /// Whether `inside` calls are more than it has held.
    pub(super) const fn is_exceeded_by(&self, inside: u32) -> bool {
        inside > self.most
    }

    /// Records that it ran the call `seq`, which was sent as one of `inside` calls.
    pub(super) fn ran(&mut self, seq: u64, inside: u32) {
        self.most = self.most.max(inside);
        if seq > self.series_start && inside >= self.series_min {
            self.series = 0.0;
        }
        self.suspected = self.suspected.filter(|lost| inside <= *lost);
    }

    /// Records that it dropped a call at `now` for another reason than the number of calls.
    pub(super) fn unexplained(&mut self, now: Instant) {
        self.unexplained = Some((self.unexplained_at(now) + 1.0, now));
    }

    fn unexplained_at(&self, now: Instant) -> f64 {
        self.unexplained.map_or(0.0, |(count, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            count * (-age / UNEXPLAINED_TIME.as_secs_f64()).exp()
        })
    }

    /// Records a call that it dropped with no more inside than it has held; returns whether the series
    /// shows that it holds less than before.
    pub(super) fn dropped(&mut self, seq: u64, inside: u32) -> bool {
        if self.series <= 0.0 {
            self.series_min = inside;
            self.series_start = seq;
        }
        self.series += f64::from(inside) / f64::from(self.most.max(1));
        self.series_min = self.series_min.min(inside);
        self.series >= MAX_SERIES
    }

    /// Records that it was full with `inside` calls, and with the fewest of a series that it dropped.
    pub(super) fn lower(&mut self, inside: u32) {
        let full = if self.series > 0.0 {
            inside.min(self.series_min)
        } else {
            inside
        };
        self.most = self.most.min(full.saturating_sub(1));
        self.series = 0.0;
        self.suspected = None;
        self.unexplained = None;
    }

    /// Records a call that got lost with more inside than it has held; returns whether it is the second
    /// one, since a single one may have been long, or short and then reset.
    pub(super) fn lost(&mut self, inside: u32) -> bool {
        self.most = self.most.min(inside.saturating_sub(1));
        self.suspected.replace(inside).is_some()
    }
}
