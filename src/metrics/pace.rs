//! Metrics of the pace of the own backend server.

use {
    crate::pace::{Cause, Pace},
    prometheus_client::{
        encoding::EncodeLabelSet,
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::{Registry, Unit},
    },
    std::sync::atomic::AtomicU64,
    strum::{EnumCount as _, IntoEnumIterator as _},
};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabels {
    cause: String,
}

/// Slots that the backend server announces, and how its pace opens them.
#[derive(Debug)]
pub(super) struct PaceMetrics {
    announced: Gauge,
    cuts: [Counter; Cause::COUNT],
    opening: Gauge<f64, AtomicU64>,
}

impl PaceMetrics {
    pub(super) fn register(registry: &mut Registry) -> Self {
        let announced = Gauge::default();
        registry.register(
            "slots_announced",
            "Slots that the backend server announces",
            announced.clone(),
        );
        let cuts = Family::<CauseLabels, Counter>::default();
        registry.register(
            "pace_cuts",
            "Reductions of the slots by the pace of the backend server",
            cuts.clone(),
        );
        let opening = Gauge::default();
        registry.register_with_unit(
            "pace_opening",
            "Time from the last start of the backend server to all slots; 0 before",
            Unit::Seconds,
            opening.clone(),
        );
        let cuts = super::array_by_key(Cause::iter(), |cause| {
            let cause = cause.to_string();
            cuts.get_or_create_owned(&CauseLabels { cause })
        });
        Self {
            announced,
            cuts,
            opening,
        }
    }

    pub(super) fn set(&self, announced: u32, pace: Option<&Pace>) {
        self.announced.set(announced.into());
        for cause in Cause::iter() {
            let counter = &self.cuts[cause as usize];
            let cuts = pace.map_or(0, |pace| pace.cuts_by(cause));
            counter.inc_by(cuts.saturating_sub(counter.get()));
        }
        let opening = pace.and_then(Pace::opening);
        self.opening.set(opening.unwrap_or_default().as_secs_f64());
    }
}
