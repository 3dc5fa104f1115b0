//! Metrics of the limits, and the rate of their events.

use {
    prometheus_client::{
        metrics::{counter::Counter, gauge::Gauge},
        registry::{Registry, Unit},
    },
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Least time between two events of the same kind; a crowd would fill the log.
const EVENT_INTERVAL: Duration = Duration::from_secs(1);

/// Metrics of the limits.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    pub(super) held: Gauge,
    pub(super) refusals: Counter,
    pub(super) evictions: Counter,
    pub(super) connections: Gauge,
    pub(super) closed: Counter,
    pub(super) rejected: Counter,
}

impl Counters {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register_with_unit(
            "memory_held",
            "Budget held for bodies and calls",
            Unit::Bytes,
            self.held.clone(),
        );
        let counters = [
            (
                "memory_refusals",
                "Requests refused because the budget is short",
                &self.refusals,
            ),
            (
                "memory_evictions",
                "Bodies without progress that lost their place",
                &self.evictions,
            ),
            (
                "connections_closed",
                "Idle connections closed to make room for new ones",
                &self.closed,
            ),
            (
                "connections_rejected",
                "New connections closed because all others are in use",
                &self.rejected,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register(
            "connections",
            "Open connections to all ports",
            self.connections.clone(),
        );
    }
}

/// Times of the last events, by kind.
#[derive(Debug, Default)]
pub(super) struct EventTimes(HashMap<&'static str, Instant>);

impl EventTimes {
    /// Returns whether an event of this kind may be logged now.
    pub(super) fn take(&mut self, kind: &'static str, now: Instant) -> bool {
        let last = self.0.get(kind);
        let is_due = last.is_none_or(|last| now.saturating_duration_since(*last) >= EVENT_INTERVAL);
        if is_due {
            self.0.insert(kind, now);
        }
        is_due
    }
}
