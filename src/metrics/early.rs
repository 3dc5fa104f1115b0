//! Metrics of requests that are rejected before they are sent or run.

use {
    crate::refusal::Early,
    prometheus_client::{
        encoding::EncodeLabelSet,
        metrics::{counter::Counter, family::Family},
        registry::Registry,
    },
};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    cause: String,
}

/// Requests that are rejected early, by cause.
#[derive(Debug, Default)]
pub struct EarlyMetrics {
    rejected: Family<Labels, Counter>,
}

impl EarlyMetrics {
    pub(super) fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.register(
            "rejected_early",
            "Requests rejected before they were sent, sent again or run, by cause",
            metrics.rejected.clone(),
        );
        metrics
    }

    /// Counts a request that is rejected for `cause`; `None` counts nothing.
    pub fn record(&self, cause: Option<Early>) {
        if let Some(cause) = cause {
            let cause = cause.to_string();
            self.rejected.get_or_create(&Labels { cause }).inc();
        }
    }
}
