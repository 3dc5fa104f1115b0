//! Pace of a server as its owner daemon reports it, with the setting `pace: answers`.
//!
//! Load addressed: a server that has just started or was readmitted, while many entry daemons choose
//! servers independently. Its weight is the share of its slots that its owner daemon lets run, so
//! that all entry daemons together send it no more than that share of its usual calls, however many
//! of them learn of room at once. Before the first report they assume half of the slots.

use std::time::{Duration, Instant};

/// Share of the slots assumed before the first report.
const UNKNOWN_SHARE: f64 = 0.5;
/// Minimum share: a server without calls could not report that its pace has grown.
const MIN_SHARE: f64 = 0.05;
/// Time in which the share that a report stands for doubles: an old report says little, and a
/// daemon that sends a server few calls must not send even fewer because of it.
const DOUBT_TIME: Duration = Duration::from_secs(2);

/// Latest knowledge of a server's pace.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedPace {
    /// Share of the slots.
    share: f64,
    /// Time of the report, or of the start.
    at: Instant,
}

impl ReportedPace {
    /// Returns the pace of a server without a report.
    pub(super) const fn unknown(now: Instant) -> Self {
        Self {
            share: UNKNOWN_SHARE,
            at: now,
        }
    }

    /// Returns the pace of a server that started before the daemon.
    pub(super) const fn full(now: Instant) -> Self {
        Self {
            share: 1.0,
            at: now,
        }
    }

    /// Returns the pace of a server that reported a limit of `limit` calls for `slots` slots.
    pub(super) fn reported(limit: u32, slots: u32, now: Instant) -> Self {
        let share = f64::from(limit) / f64::from(slots.max(1));
        Self {
            share: share.clamp(MIN_SHARE, 1.0),
            at: now,
        }
    }

    /// Returns the pace of a server that was readmitted, up to the next report.
    pub(super) fn readmitted(self, now: Instant) -> Self {
        Self {
            share: self.share(now).min(UNKNOWN_SHARE),
            at: now,
        }
    }

    /// Returns the share of its slots that the server is expected to let run.
    pub(super) fn share(self, now: Instant) -> f64 {
        if self.share >= 1.0 {
            return 1.0;
        }
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        (self.share * (age / DOUBT_TIME.as_secs_f64()).exp2()).min(1.0)
    }

    /// Returns the number of calls that may run on a server with `slots` slots, at least 1.
    pub(super) fn allowed(self, slots: u32, now: Instant) -> u32 {
        ((f64::from(slots) * self.share(now)).round() as u32).max(1)
    }
}
