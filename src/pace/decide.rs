//! Growth and cuts of the pace.

use {
    super::{
        Cause, Change, Pace, Phase, Sent,
        rounds::{Comparison, Rounds},
    },
    std::time::Instant,
};

/// Growth for an answer to a call that was sent when less than half of the slots allowed were in
/// use: it shows less than one that was sent under load, but a server without load must not stay at
/// a low limit.
const UNUSED_GROWTH: f64 = 0.25;
/// Factor by which a cut reduces the number of calls.
const CUT_FACTOR: f64 = 0.7;
/// Factor by which the number of calls is reduced to see whether that makes a slow server faster.
const TRIAL_FACTOR: f64 = 0.6;
/// First step after a cut, as a share of the slots, and at least one slot.
const MIN_STEP_SHARE: f64 = 1.0 / 8.0;
/// Maximum number of rounds without a step after steps that failed: a server that can never use
/// all of its slots then gets about one refused step in eight rounds.
const MAX_HOLD_ROUNDS: u32 = 8;
/// Minimum number of answers between steps after the most failed ones, if calls were refused: each step
/// costs one, and at most one call in 50 may be refused for good.
const MIN_HOLD_ANSWERS: f64 = 45.0;
/// Factor on the rounds between steps up to which that is reached: a server with two slots in use that
/// becomes warm must not wait for its next step for more than a second.
const MORE_ROUNDS: f64 = 1.4;
/// Share of the slots that must have been in use in a round that proves that all can be used.
const PROOF_SHARE: f64 = 0.9;
/// Room above the number of calls at which the server is expected to be as fast as when it is warm.
const KNEE_ROOM: f64 = 1.25;

impl Pace {
    /// Records an answer; `level` is the logarithm of its time as a multiple of the past one.
    pub(super) fn answered(&mut self, call: &Sent, level: f64, now: Instant) {
        self.answers = self.answers.saturating_add(1);
        if self.phase == Phase::Complete && self.answers >= self.slots {
            self.flaps = 0;
        }
        let growth = if call.is_used() { 1.0 } else { UNUSED_GROWTH };
        match &mut self.phase {
            Phase::Growing => self.limit = (self.limit + growth).min(f64::from(self.slots)),
            Phase::Stepping { answers, .. } => {
                *answers -= growth;
                if *answers <= 0.0 {
                    self.end_of_hold();
                }
            }
            Phase::Complete => {}
        }
        if call.is_bound() && !self.proved {
            let comparison = self
                .rounds
                .record(call.seq, call.running, level, self.next_seq, now);
            self.apply(comparison);
        }
        self.complete_if_full(now);
    }

    /// Keeps the step that was tried, or begins the next one.
    fn end_of_hold(&mut self) {
        let Phase::Stepping { before, .. } = self.phase else {
            return;
        };
        if before.is_some() {
            self.step *= 2.0;
            self.hold_rounds = (self.hold_rounds / 2).max(1);
            if self.limit >= f64::from(self.slots) {
                self.phase = Phase::Growing;
                return;
            }
        }
        let before = self.limit;
        self.limit = (self.limit + self.step).min(f64::from(self.slots));
        self.phase = Phase::Stepping {
            answers: self.limit.floor() + before.floor(),
            before: Some(before),
        };
    }

    /// Applies the comparison of service times at two numbers of calls.
    fn apply(&mut self, comparison: Comparison) {
        match comparison {
            Comparison::None => {}
            Comparison::Fast { running } => {
                let enough = running >= f64::from(self.slots) * PROOF_SHARE;
                self.proved = self.phase == Phase::Complete && enough;
            }
            Comparison::Slow { running } => {
                // Fewer calls are tried, to tell queueing from slowness. Before all slots are
                // allowed, growth gives a second round to compare with.
                if self.phase != Phase::Growing {
                    let before = self.limit;
                    self.cut(before.min(running) * TRIAL_FACTOR, Cause::Queueing);
                    self.cut_from = Some(before);
                }
            }
            Comparison::Queueing { low, knee } => {
                let before = self.limit;
                self.cut((knee * KNEE_ROOM).max(low / 2.0), Cause::Queueing);
                self.cut_from = Some(before);
            }
            Comparison::Useful => {
                // Fewer calls at once made nothing faster, so the last cut was wrong.
                if let Some(before) = self.cut_from.take() {
                    self.limit = before.min(f64::from(self.slots));
                    self.phase = Phase::Growing;
                }
            }
        }
    }

    /// Records a call that the server refused, reset at once or did not answer.
    pub(super) fn dropped(&mut self, call: &Sent, cause: Cause, now: Instant) {
        let full = if cause == Cause::Silent {
            // Calls that were sent meanwhile counted this one as inside.
            if call.exceeded {
                self.held.is_exceeded_by(call.inside + 1) && self.held.lost(call.inside)
            } else {
                self.held.dropped(call.seq, call.inside)
            }
        } else if call.exceeded && cause == Cause::Reset {
            !self.held.is_dropping(now) && self.held.lost(call.inside)
        } else if call.exceeded {
            !self.held.is_shedding(now)
        } else {
            // A call inside the server shows that it holds as many.
            let holds = |other: &Sent| other.inside >= call.inside && other.is_accepted(now);
            let holds = self.sent.values().any(holds);
            self.held.unexplained(now);
            !holds && self.held.dropped(call.seq, call.inside)
        };
        if full {
            self.held.lower(call.inside);
            self.rounds.discard(self.next_seq);
            self.cut(self.limit.min(f64::from(call.running)) * CUT_FACTOR, cause);
        }
    }

    /// Reduces the limit to `limit`, or to the one before the step that is being tried.
    fn cut(&mut self, limit: f64, cause: Cause) {
        let before = match self.phase {
            Phase::Stepping { before, .. } => before,
            Phase::Growing | Phase::Complete => None,
        };
        if before.is_some() || cause == Cause::Queueing {
            self.hold_rounds = (self.hold_rounds * 2).min(MAX_HOLD_ROUNDS);
        }
        let limit = match (before, cause) {
            (Some(before), Cause::Queueing) => before.min(limit),
            (Some(before), _) => before,
            (None, _) => limit,
        };
        self.limit = limit.clamp(1.0, f64::from(self.slots).max(1.0));
        self.step = self.min_step();
        self.phase = Phase::Stepping {
            answers: self.hold_answers(cause),
            before: None,
        };
        self.first_valid = self.next_seq;
        self.proved = false;
        self.cut_from = None;
        self.cuts[cause as usize] += 1;
        self.changes.push(Change::Cut(cause));
    }

    /// Returns the number of answers before the next step.
    fn hold_answers(&self, cause: Cause) -> f64 {
        let answers = self.limit.floor() * f64::from(self.hold_rounds);
        if self.hold_rounds < MAX_HOLD_ROUNDS || cause != Cause::Refused {
            return answers;
        }
        answers.max(MIN_HOLD_ANSWERS.min(answers * MORE_ROUNDS))
    }

    /// Ends the growth once all slots are allowed.
    pub(super) fn complete_if_full(&mut self, now: Instant) {
        let trying = matches!(self.phase, Phase::Stepping { .. });
        if self.phase == Phase::Complete || trying || self.limit < f64::from(self.slots) {
            return;
        }
        self.phase = Phase::Complete;
        let after = now.saturating_duration_since(self.started.unwrap_or(now));
        self.opening.get_or_insert(after);
        self.changes.push(Change::Complete(after));
    }

    /// Drops the evidence of all calls sent so far.
    pub(super) fn invalidate(&mut self) {
        self.first_valid = self.next_seq;
        self.rounds = Rounds::default();
        self.cut_from = None;
    }

    /// Returns the first step after a start or cut, in slots.
    pub(super) fn min_step(&self) -> f64 {
        (f64::from(self.slots) * MIN_STEP_SHARE).max(1.0)
    }
}
