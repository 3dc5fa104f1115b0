//! Service times of one backend server by kind of call, compared with its settled past.
//!
//! Times are compared by their logarithms: those of one kind may vary by a factor of ten, and a few long
//! ones would set a mean. The past outlives a restart of the server. It follows times that are shorter
//! by more than they vary, and longer ones only within minutes, so that a cold start of some seconds
//! hardly changes it.

use {
    crate::model::{PlanName, Rank},
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Maximum number of kinds of calls, beyond which the one known for longest is forgotten.
const MAX_KINDS: usize = 256;
/// Weight of a new time in the recent mean.
const RECENT_WEIGHT: f64 = 0.2;
/// Time in which the settled time follows longer ones by about two thirds.
const SETTLED_RISE: Duration = Duration::from_mins(1);
/// Answers of which the settled time is the mean at first.
const FIRST_ANSWERS: u32 = 6;
/// Deviations by which the recent mean must be below the settled time to lower it. The mean of a few
/// log-normal times lies 0.4 of their deviations off; without a margin the past would be their minimum.
const FALL_MARGIN: f64 = 0.5;
/// Multiple of the recent time without an answer from which on the server counts as silent, rather
/// than the caller as impatient, for times that do not vary.
const SILENCE_FACTOR: f64 = 3.0;
/// Deviations that are added to it: some calls take many times as long as others.
const SILENCE_MARGIN: f64 = 1.5;
/// The same time for a kind of call that was never answered.
const UNKNOWN_SILENCE: Duration = Duration::from_millis(500);
/// Time up to which a reset comes at once: a full server does not start the work. It covers a new
/// connection on the same VM and the scheduling of both processes.
pub(super) const IMMEDIATE: Duration = Duration::from_millis(10);
/// The same time as a share of the recent one; work is that short in 1 of 150 calls.
const IMMEDIATE_SHARE: f64 = 0.1;
/// Resolution of the times in seconds.
const MIN_TIME_S: f64 = 1e-4;

/// Logarithms of the times of one kind of call in seconds.
#[derive(Clone, Copy, Debug)]
struct Kind {
    settled: f64,
    /// Mean since the start of the server; `None` before the first answer.
    recent: Option<f64>,
    /// Mean deviation from the recent mean.
    deviation: f64,
    /// Answers so far, up to [`FIRST_ANSWERS`].
    answers: u32,
    /// Time of the last answer.
    last: Instant,
}

/// Times of all kinds of calls.
#[derive(Debug, Default)]
pub(super) struct Times {
    kinds: IndexMap<(Rank, PlanName), Kind>,
}

impl Times {
    /// Begins with a server that may be cold; the past is kept.
    pub(super) fn restart(&mut self) {
        for kind in self.kinds.values_mut() {
            kind.recent = None;
        }
    }

    /// Records a service time; returns the logarithm of its multiple of the settled one.
    ///
    /// Without a past, the mean of the first times stands for it.
    pub(super) fn record(
        &mut self,
        (rank, plan): (Rank, &PlanName),
        time: Duration,
        now: Instant,
    ) -> f64 {
        let time = time.as_secs_f64().max(MIN_TIME_S).ln();
        let key = (rank, plan.clone());
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&key) {
            self.kinds.shift_remove_index(0);
        }
        let kind = self.kinds.entry(key).or_insert(Kind {
            settled: time,
            recent: None,
            deviation: 0.0,
            answers: 0,
            last: now,
        });
        kind.record(time, now)
    }

    /// Whether a call without an answer for `elapsed` shows that the server is silent.
    pub(super) fn is_silence(&self, (rank, plan): (Rank, &PlanName), elapsed: Duration) -> bool {
        let kind = self.kinds.get(&(rank, plan.clone()));
        kind.map_or(elapsed >= UNKNOWN_SILENCE, |kind| {
            let margin = (kind.deviation * SILENCE_MARGIN).exp();
            elapsed.as_secs_f64() >= kind.recent().exp() * SILENCE_FACTOR * margin
        })
    }

    /// Whether a reset after `elapsed` came before the server can have done the work.
    pub(super) fn is_immediate(&self, (rank, plan): (Rank, &PlanName), elapsed: Duration) -> bool {
        let kind = self.kinds.get(&(rank, plan.clone()));
        let share = kind.map_or(0.0, |kind| kind.recent().exp() * IMMEDIATE_SHARE);
        elapsed <= IMMEDIATE.max(Duration::from_secs_f64(share))
    }
}

impl Kind {
    fn recent(&self) -> f64 {
        self.recent.unwrap_or(self.settled)
    }

    fn record(&mut self, time: f64, now: Instant) -> f64 {
        let known = self.recent();
        let recent = known + (time - known) * RECENT_WEIGHT;
        self.recent = Some(recent);
        self.deviation += ((time - known).abs() - self.deviation) * RECENT_WEIGHT;
        let age = now.saturating_duration_since(self.last).as_secs_f64();
        self.last = now;
        self.answers = (self.answers + 1).min(FIRST_ANSWERS);
        if self.answers < FIRST_ANSWERS {
            self.settled += (time - self.settled) / f64::from(self.answers);
            return time - self.settled;
        }
        let fall = (self.settled - self.deviation * FALL_MARGIN - recent).max(0.0);
        let rise = (recent - self.settled).max(0.0);
        let rise_weight = 1.0 - (-age / SETTLED_RISE.as_secs_f64()).exp();
        self.settled += rise * rise_weight - fall * RECENT_WEIGHT;
        time - self.settled
    }
}
