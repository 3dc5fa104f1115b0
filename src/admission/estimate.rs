//! Running estimate of service times.

use std::time::Duration;

/// Weight of a new sample in the mean.
const MEAN_GAIN: f64 = 1.0 / 16.0;
/// Relative step of the quantile trackers.
const QUANTILE_STEP: f64 = 0.1;
/// A sample counts at most this many times the mean, so that one stalled call does not
/// multiply the estimate.
const MAX_SAMPLE_RATIO: f64 = 10.0;
/// Quantile that serves as the margin for the tail.
const HIGH_QUANTILE: f64 = 0.9;
/// Shortest time that is recorded, in seconds; the quantiles are tracked by ratios.
const MIN_SAMPLE_S: f64 = 1e-6;

/// Mean, median and 90th percentile of a stream of service times, in seconds.
///
/// The quantiles move by a fixed ratio with each sample, so that an outlier moves them no
/// further than any other sample.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Estimate {
    mean: f64,
    median: f64,
    high: f64,
    known: bool,
}

impl Estimate {
    /// Adds one measured service time.
    pub(super) fn record(&mut self, service: Duration) {
        let sample = service.as_secs_f64().max(MIN_SAMPLE_S);
        if !self.known {
            *self = Self {
                mean: sample,
                median: sample,
                high: sample * 2.0,
                known: true,
            };
            return;
        }
        let clipped = sample.min(self.mean * MAX_SAMPLE_RATIO);
        self.mean += (clipped - self.mean) * MEAN_GAIN;
        self.median = track(self.median, sample, 0.5);
        self.high = track(self.high, sample, HIGH_QUANTILE);
    }

    /// Whether any service time has been measured.
    pub(super) fn is_known(&self) -> bool {
        self.known
    }

    /// Mean, in seconds.
    pub(super) fn mean(&self) -> f64 {
        self.mean
    }

    /// Median, in seconds.
    pub(super) fn median(&self) -> f64 {
        self.median
    }

    /// 90th percentile, in seconds.
    pub(super) fn high(&self) -> f64 {
        self.high
    }
}

/// Moves `value` one step towards the `quantile` of the samples.
fn track(value: f64, sample: f64, quantile: f64) -> f64 {
    if sample > value {
        value * (1.0 + QUANTILE_STEP * quantile)
    } else {
        value / (1.0 + QUANTILE_STEP * (1.0 - quantile))
    }
}
