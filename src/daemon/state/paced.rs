//! Pace of the own backend server: when it is in force, and its log lines.

use {
    super::State,
    crate::{events::Event as LogEvent, log_event, pace::Change, settings::PaceMode},
    std::time::Instant,
};

impl State {
    /// Sets what the pace of a backend server that started or recovered follows.
    #[must_use]
    pub fn with_pace(mut self, mode: PaceMode) -> Self {
        self.pace_mode = mode;
        if mode != PaceMode::Ramp {
            self.admission = self.admission.with_pace();
        }
        self.admission.set_paced(mode == PaceMode::Answers);
        self.balancer = self.balancer.with_pace(mode == PaceMode::Answers);
        self
    }

    /// With [`PaceMode::Auto`], puts the pace in force if the version in force has grants of the kind
    /// download, and the ramp otherwise.
    pub(super) fn follow_pace_mode(&mut self, now: Instant) {
        let paced = self.has_downloads;
        if self.pace_mode != PaceMode::Auto || paced == self.admission.pace().is_some() {
            return;
        }
        self.admission.set_paced(paced);
        self.balancer.set_paced(paced, now);
        let mode = if paced { "answers" } else { "ramp" };
        log_event!(LogEvent::PaceMode, mode = mode);
    }

    /// Logs the changes of the pace of the own backend server.
    pub(super) fn log_pace(&mut self, now: Instant) {
        let changes = self.admission.take_pace_changes();
        let Some(server) = &self.server else {
            return;
        };
        let (name, slots) = (&server.announcement.server, server.announcement.slots);
        let limit = self.admission.limit(now);
        for change in changes {
            match change {
                Change::Began => {
                    log_event!(
                        LogEvent::PaceBegan,
                        server = name,
                        limit = limit,
                        slots = slots
                    );
                }
                Change::Cut(cause) => log_event!(
                    LogEvent::PaceCut,
                    server = name,
                    cause = cause,
                    limit = limit,
                    slots = slots,
                ),
                Change::Complete(after) => log_event!(
                    LogEvent::PaceComplete,
                    server = name,
                    slots = slots,
                    after_ms = after.as_millis(),
                ),
            }
        }
    }
}
