//! Speed of the own backend server: what is measured, and what is reported with an answer.

use {
    super::{super::event::CallId, State, versions::route_number},
    crate::{
        call::Call, events::Event as LogEvent, load::SpeedReport, log_event, pace::Reply,
        settings::ServerSpeedMode,
    },
    std::time::Instant,
};

impl State {
    /// Sets what the choice among backend servers follows.
    #[must_use]
    pub fn with_server_speed(mut self, mode: ServerSpeedMode) -> Self {
        self.speed_mode = mode;
        let measured = self.measures_speed();
        self.balancer.set_measured(measured);
        self
    }

    /// Returns whether the speed of backend servers is measured and followed.
    pub const fn measures_speed(&self) -> bool {
        match self.speed_mode {
            ServerSpeedMode::Ignored => false,
            ServerSpeedMode::Measured => true,
            ServerSpeedMode::Auto => self.has_downloads,
        }
    }

    /// Returns the report on the speed of the own backend server for an answer to a call on `route`,
    /// see [`route_of`].
    pub fn speed_report(&self, route: u32, now: Instant) -> Option<SpeedReport> {
        if !self.measures_speed() {
            return None;
        }
        Some(SpeedReport {
            time: self.speed.time_of(route)?,
            wait: self.admission.expected_wait(now),
        })
    }

    /// Returns the speed of the own backend server in percent of its past, and the number of its
    /// lasting changes.
    pub fn server_speed(&self) -> (u32, u64) {
        let percent = (self.speed.relative() * 100.0).round() as u32;
        (percent, self.speed.changes())
    }

    pub(super) fn record_start(&mut self, id: CallId, now: Instant) {
        if self.measures_speed() {
            let inner = self.admission.is_inner(id);
            self.speed.started(id, inner, now);
        }
    }

    pub(super) fn record_reply(&mut self, id: CallId, route: u32, reply: Reply, now: Instant) {
        match reply {
            Reply::Answered(_) => self.speed.answered(id, route, now),
            Reply::Silent => self.speed.given_up(id, route, now),
            _ => self.speed.ended(id, now),
        }
    }

    /// Logs a lasting change of the speed of the own backend server.
    pub(super) fn log_speed(&mut self) {
        let changes = self.speed.changes();
        if changes == std::mem::replace(&mut self.logged_speed_changes, changes) {
            return;
        }
        if let Some(server) = &self.server {
            log_event!(
                LogEvent::SpeedChanged,
                server = server.announcement.server,
                percent = self.server_speed().0,
            );
        }
    }
}

/// Returns the hash of the route of a call, which is the same at all daemons.
pub fn route_of(call: &Call) -> u32 {
    route_number(&call.plan, &call.path)
}
