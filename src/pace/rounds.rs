//! Comparison of service times at two numbers of calls: whether more calls at once got more done.
//!
//! Only calls are counted that were sent when the limit was reached. Below it, the number of calls
//! follows from their times, not the reverse, and any slowness would look like queueing.

use std::time::{Duration, Instant};

/// Minimum number of answers whose mean is compared; fewer vary too much.
const MIN_ROUND: u32 = 6;
/// Minimum ratio of two numbers of calls that are compared.
const MIN_RATIO: f64 = 1.4;
/// Share of the growth in calls by which times grow, from which on calls queue in the server: 1
/// means that additional calls get nothing done.
const QUEUEING_ELASTICITY: f64 = 0.75;
/// The same share, up to which additional calls are useful.
const USEFUL_ELASTICITY: f64 = 0.3;
/// Service time compared with the settled past up to which a server is fast enough not to be cut.
const FAST_LEVEL: f64 = 1.5;
/// Standard errors by which a difference of two means must exceed 0: the times of one kind of call vary,
/// and there are many comparisons.
const SIGNIFICANCE: f64 = 3.0;
/// Service time compared with the settled past from which on a server is slow: callers accept about
/// three times the usual one.
const SLOW_LEVEL: f64 = 2.0;
/// Time for which a server is slow before fewer calls are tried: some stall for 600 ms.
const SLOW_TIME: Duration = Duration::from_secs(1);
/// Rounds without a comparison after which a slow server is reported again.
const SLOW_ROUNDS: u32 = 2;
/// The same number after a comparison has shown that the slowness does not come from the calls.
const USEFUL_ROUNDS: u32 = 4;

/// Result of a comparison.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Comparison {
    /// Nothing to compare yet, or no clear result.
    None,
    /// Calls take about as long as in the past.
    Fast {
        /// Number of calls at once.
        running: f64,
    },
    /// Calls take long, and there is no other round to compare with.
    Slow {
        /// Number of calls at once.
        running: f64,
    },
    /// More calls at once took longer in proportion.
    Queueing {
        /// Lower number of calls.
        low: f64,
        /// Number of calls at which the server would be as fast as in the past.
        knee: f64,
    },
    /// More calls at once got more done.
    Useful,
}

/// Mean number of calls at once, and mean logarithm of their times as multiples of the settled past.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Round {
    running: f64,
    level: f64,
    /// Square of the standard error of `level`.
    error: f64,
}

/// Answers of the current round, and the round with which it is compared.
#[derive(Debug, Default)]
pub(super) struct Rounds {
    /// Calls sent earlier belong to an earlier round.
    first_seq: u64,
    answers: u32,
    running: f64,
    level: f64,
    squares: f64,
    reference: Option<Round>,
    /// Rounds before a slow server is reported again.
    patience: u32,
    /// Time of the first one of successive slow rounds.
    slow_since: Option<Instant>,
}

impl Rounds {
    /// Records an answer to a call that was sent as number `seq` with `running` calls at once.
    /// `next_seq` is the number of the next call.
    pub(super) fn record(
        &mut self,
        seq: u64,
        running: u32,
        level: f64,
        next_seq: u64,
        now: Instant,
    ) -> Comparison {
        if seq < self.first_seq {
            return Comparison::None;
        }
        self.answers += 1;
        self.running += f64::from(running);
        self.level += level;
        self.squares += level * level;
        if self.answers < MIN_ROUND.max(running) {
            return Comparison::None;
        }
        let answers = f64::from(self.answers);
        let level = self.level / answers;
        let variance = (self.squares / answers - level * level).max(0.0);
        let round = Round {
            running: self.running / answers,
            level,
            error: variance / answers,
        };
        self.discard(next_seq);
        let reference = self.reference;
        let ratio = reference.map_or(1.0, |reference| round.running / reference.running);
        // A growth in small steps is compared with where it began.
        let compared = ratio >= MIN_RATIO || ratio <= 1.0 / MIN_RATIO;
        if compared || ratio <= 1.0 {
            self.reference = Some(round);
        }
        let comparison = match reference {
            Some(reference) if compared => compare(round, reference),
            _ if round.level <= FAST_LEVEL.ln() => Comparison::Fast {
                running: round.running,
            },
            Some(_) if self.is_slow(&round, now) => {
                // The trial of fewer calls is compared with this round.
                self.reference = Some(round);
                Comparison::Slow {
                    running: round.running,
                }
            }
            _ => Comparison::None,
        };
        match comparison {
            Comparison::Useful => self.patience = USEFUL_ROUNDS,
            Comparison::Slow { .. } | Comparison::Queueing { .. } => self.patience = SLOW_ROUNDS,
            Comparison::None | Comparison::Fast { .. } => {
                self.patience = self.patience.saturating_sub(1);
            }
        }
        comparison
    }

    /// Whether the server has been slow for long enough to try fewer calls.
    fn is_slow(&mut self, round: &Round, now: Instant) -> bool {
        let certain = FAST_LEVEL.ln() + SIGNIFICANCE * round.error.sqrt();
        if round.level < certain.max(SLOW_LEVEL.ln()) {
            self.slow_since = None;
            return false;
        }
        let since = *self.slow_since.get_or_insert(now);
        self.patience == 0 && now.saturating_duration_since(since) >= SLOW_TIME
    }

    /// Drops the answers of the current round; the next one begins with the call `next_seq`.
    pub(super) fn discard(&mut self, next_seq: u64) {
        *self = Self {
            first_seq: next_seq,
            reference: self.reference,
            patience: self.patience,
            slow_since: self.slow_since,
            ..Self::default()
        };
    }
}

fn compare(one: Round, other: Round) -> Comparison {
    let (low, high) = if one.running < other.running {
        (one, other)
    } else {
        (other, one)
    };
    let growth = high.level - low.level;
    let elasticity = growth / (high.running / low.running).ln();
    if elasticity >= QUEUEING_ELASTICITY && high.level > FAST_LEVEL.ln() {
        if growth < SIGNIFICANCE * (high.error + low.error).sqrt() {
            return Comparison::None;
        }
        return Comparison::Queueing {
            low: low.running,
            knee: high.running / high.level.exp(),
        };
    }
    if elasticity <= USEFUL_ELASTICITY {
        return Comparison::Useful;
    }
    Comparison::None
}
