//! Speed of the own backend server, measured by the times of all of its answers.
//!
//! Load addressed: servers of uneven speed, of which an entry daemon sees one or two calls a second.
//! The owner daemon sees all of them, and reports with each answer the time that the server now
//! needs for a call of that kind. Entry daemons compare it with the times of other servers for the
//! same kind, so that the mix of calls does not matter.
//!
//! Times are averaged as logarithms, in which the tail of long calls counts little. The average
//! covers some hundred calls. Recent calls that deviate from it by more than chance shift the speed
//! at once, and the average if that lasts. The time in which calls wait for their own inner calls is
//! left out: no header tells which run made an inner call, so it is spread over the calls that run
//! meanwhile.

use {
    indexmap::IndexMap,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Maximum number of kinds of calls, beyond which the one known for longest is forgotten.
const MAX_KINDS: usize = 64;
/// Shortest time that counts, in seconds.
const MIN_TIME_S: f64 = 1e-4;
/// Deviations of one call from the expected logarithm are clipped to this: a factor of 7.
const MAX_DEVIATION: f64 = 2.0;
/// Weight of the time between two answers in its average.
const INTERVAL_WEIGHT: f64 = 1.0 / 16.0;
/// Time constant of the average while the speed stays the same, in seconds.
const SLOW_S: f64 = 16.0;
/// Range of the weight of one call in an average.
const WEIGHTS: [f64; 2] = [1.0 / 400.0, 1.0 / 4.0];
/// Minimum weight of one call in the average of its kind.
const KIND_WEIGHT: f64 = 1.0 / 1000.0;
/// Time constant of the short drift, in seconds. It shows a stall of some hundred milliseconds, after
/// which the average counts again.
const SHORT_S: f64 = 0.5;
/// Time constant of the long drift, in seconds. It shows a lasting change and moves the average.
const LONG_S: f64 = 4.0;
/// Smallest drift that counts as a change of the speed.
const MIN_CHANGE: f64 = 0.2;
/// Drift that counts as a change, as a multiple of the square root of the weight of one call: three
/// to four standard deviations for calls whose logarithms have a spread of 0.9.
const CHANGE_FACTOR: f64 = 2.1;
/// Share of that drift below which a stall has ended.
const STALL_END: f64 = 0.5;
/// Minimum share of the running calls that is assumed to be worked on. Inner calls are recognized by
/// where they come from, so their number may be too large.
const MIN_WORKING: f64 = 0.2;

/// Moving average of deviations.
#[derive(Clone, Copy, Debug, Default)]
struct Drift {
    value: f64,
    /// Weight of one call.
    weight: f64,
}

impl Drift {
    fn record(&mut self, deviation: f64, weight: f64) {
        self.weight = weight;
        self.value += (deviation - self.value) * weight;
    }

    /// Whether the drift exceeds `share` of what chance explains.
    fn exceeds(self, share: f64) -> bool {
        let limit = MIN_CHANGE.max(CHANGE_FACTOR * self.weight.sqrt());
        self.value.abs() > limit * share
    }
}

/// Returns the weight of one call in an average over `time_constant`, with a call each `interval`
/// seconds.
fn weight_of(interval: f64, time_constant: f64) -> f64 {
    let [min, max] = WEIGHTS;
    (interval / time_constant).clamp(min, max)
}

/// Start of a running call.
#[derive(Clone, Copy, Debug)]
enum Start {
    /// Value of [`ServerSpeed::worked_s`], for calls that may make inner calls.
    Worked(f64),
    At(Instant),
}

/// Speed of one backend server.
#[derive(Debug, Default)]
pub struct ServerSpeed {
    /// Start of each running call.
    running: HashMap<u64, Start>,
    /// Number of running calls that are no inner calls.
    outer: u32,
    /// Inner calls that runs wait for.
    inner: u32,
    /// Time that a call running all along was worked on, in seconds, up to `worked_at`.
    worked_s: f64,
    worked_at: Option<Instant>,
    /// Average logarithm of the times of each kind, relative to `level`, and the number of calls.
    kinds: IndexMap<u32, (f64, f64)>,
    /// Average deviation of all kinds.
    level: f64,
    /// Calls in `level` since the last change.
    calls: f64,
    /// Deviation of the recent calls from the average.
    short: Drift,
    long: Drift,
    /// Whether the short drift counts.
    stalled: bool,
    /// Number of lasting changes.
    changes: u64,
    /// Smoothed time between two answers, in seconds.
    interval: f64,
    last_sample: Option<Instant>,
}

impl ServerSpeed {
    /// Begins with a server that has just started; the times of the one before are kept as a hint.
    pub fn server_started(&mut self) {
        self.calls = 0.0;
        self.short.value = 0.0;
        self.long.value = 0.0;
        self.stalled = false;
    }

    /// Records that a call was sent to the server; `inner` says whether it is an inner call, which
    /// is taken to make none itself.
    pub fn started(&mut self, id: u64, inner: bool, now: Instant) {
        self.ended(id, now);
        let start = if inner {
            Start::At(now)
        } else {
            self.outer += 1;
            Start::Worked(self.worked_s)
        };
        self.running.insert(id, start);
    }

    /// Records the answer to a call of `kind`.
    ///
    /// ```
    /// use anvilbeam::admission::speed::ServerSpeed;
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let mut speed = ServerSpeed::default();
    /// speed.started(1, false, now);
    /// speed.answered(1, 7, now + Duration::from_millis(50));
    /// let time = speed.time_of(7).unwrap();
    /// assert!((time.as_secs_f64() - 0.05).abs() < 1e-6);
    /// assert_eq!(speed.time_of(8), None);
    /// ```
    pub fn answered(&mut self, id: u64, kind: u32, now: Instant) {
        if let Some(worked_s) = self.take(id, now) {
            self.record(kind, worked_s.max(MIN_TIME_S), now);
        }
    }

    /// Records that a call of `kind` was given up without an answer. It would have taken longer, so
    /// its time counts if it exceeds the typical one.
    pub fn given_up(&mut self, id: u64, kind: u32, now: Instant) {
        let typical = self.time_of(kind);
        let worked_s = self.take(id, now);
        if let (Some(typical), Some(worked_s)) = (typical, worked_s)
            && worked_s > typical.as_secs_f64()
        {
            self.record(kind, worked_s, now);
        }
    }

    /// Records that a call ended without an answer.
    pub fn ended(&mut self, id: u64, now: Instant) {
        self.take(id, now);
    }

    /// Records that a run of the server made an inner call.
    pub fn inner_started(&mut self, now: Instant) {
        self.advance(now);
        self.inner += 1;
    }

    /// Records that an inner call was answered or given up.
    pub fn inner_ended(&mut self, now: Instant) {
        self.advance(now);
        self.inner = self.inner.saturating_sub(1);
    }

    /// Returns the typical time of a call of `kind` at the present speed, without waits for inner
    /// calls; `None` before the first answer.
    pub fn time_of(&self, kind: u32) -> Option<Duration> {
        let (mean, _) = self.kinds.get(&kind)?;
        Duration::try_from_secs_f64((mean + self.deviation()).exp()).ok()
    }

    /// Returns the present speed as a multiple of that in the average of the past.
    pub fn relative(&self) -> f64 {
        (-self.deviation()).exp()
    }

    /// Returns the number of lasting changes of the speed.
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    fn deviation(&self) -> f64 {
        self.level + if self.stalled { self.short.value } else { 0.0 }
    }

    /// Removes a running call; returns the time that it was worked on, in seconds.
    fn take(&mut self, id: u64, now: Instant) -> Option<f64> {
        self.advance(now);
        match self.running.remove(&id)? {
            Start::At(since) => Some(now.saturating_duration_since(since).as_secs_f64()),
            Start::Worked(since) => {
                self.outer -= 1;
                Some(self.worked_s - since)
            }
        }
    }

    fn advance(&mut self, now: Instant) {
        let since = self.worked_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        let working = 1.0 - f64::from(self.inner) / f64::from(self.outer.max(1));
        self.worked_s += elapsed * working.max(MIN_WORKING);
    }

    fn record(&mut self, kind: u32, time_s: f64, now: Instant) {
        let last = self.last_sample.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(last).as_secs_f64();
        self.interval += (elapsed - self.interval) * INTERVAL_WEIGHT;
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            self.kinds.shift_remove_index(0);
        }
        let first = (time_s.ln() - self.level, 0.0);
        let (mean, count) = self.kinds.entry(kind).or_insert(first);
        let deviation = time_s.ln() - *mean - self.level;
        let deviation = deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION);
        *count += 1.0;
        *mean += deviation * KIND_WEIGHT.max(1.0 / *count);

        let interval = self.interval;
        self.short.record(deviation, weight_of(interval, SHORT_S));
        self.long.record(deviation, weight_of(interval, LONG_S));
        self.stalled = self
            .short
            .exceeds(if self.stalled { STALL_END } else { 1.0 });
        self.calls += 1.0;
        if !self.stalled {
            let weight = weight_of(interval, SLOW_S).max(1.0 / self.calls);
            self.level += deviation * weight;
        }
        if self.long.exceeds(1.0) {
            self.shift_level();
        }
    }

    /// Moves the average by a lasting change. The short drift shows all of it, the long one only that
    /// it lasts.
    fn shift_level(&mut self) {
        let same_direction = self.short.value * self.long.value > 0.0;
        let shift = if same_direction && self.short.value.abs() > self.long.value.abs() {
            self.calls = 1.0 / self.short.weight;
            self.short.value
        } else {
            self.calls = 1.0 / self.long.weight;
            self.long.value
        };
        self.level += shift;
        self.short.value -= shift;
        self.long.value = 0.0;
        self.changes += 1;
    }
}
