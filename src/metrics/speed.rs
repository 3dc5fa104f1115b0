//! Metrics of the measured speed of the backend server.

use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};

#[derive(Debug)]
pub(super) struct SpeedMetrics {
    percent: Gauge,
    changes: Counter,
}

impl SpeedMetrics {
    pub(super) fn register(registry: &mut Registry) -> Self {
        let percent = Gauge::default();
        registry.register(
            "server_speed_percent",
            "Speed of the backend server compared with its past",
            percent.clone(),
        );
        let changes = Counter::default();
        registry.register(
            "server_speed_changes",
            "Changes of the speed of the backend server that lasted",
            changes.clone(),
        );
        Self { percent, changes }
    }

    pub(super) fn set(&self, percent: u32, changes: u64) {
        self.percent.set(percent.into());
        self.changes
            .inc_by(changes.saturating_sub(self.changes.get()));
    }
}
