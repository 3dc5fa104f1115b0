//! Online estimates of service times.

use std::time::Duration;

/// Weight of a new sample in the moving average.
const MEAN_GAIN: f64 = 1.0 / 16.0;
/// Relative step of the quantile estimates.
const QUANTILE_STEP: f64 = 0.1;
/// Samples are clipped to this multiple of the mean, so that one stalled call does not multiply the
/// estimate.
const MAX_SAMPLE_RATIO: f64 = 10.0;
/// Quantile that allows for the tail of the distribution.
const TAIL_QUANTILE: f64 = 0.9;
/// Minimum sample in seconds; the quantile estimates are scaled by ratios and must not be 0.
const MIN_SAMPLE_S: f64 = 1e-6;

/// Mean, median and 90th percentile of a stream of service times, in seconds.
///
/// Each sample moves a quantile estimate by a fixed ratio, so that an outlier moves it no further
/// than any other sample. All estimates are 0 until the first sample.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Estimate {
    mean: f64,
    median: f64,
    p90: f64,
    has_samples: bool,
}

impl Estimate {
    /// Updates the estimates with one service time.
    pub(super) fn record(&mut self, service: Duration) {
        let sample = service.as_secs_f64().max(MIN_SAMPLE_S);
        if !self.has_samples {
            *self = Self {
                mean: sample,
                median: sample,
                p90: sample * 2.0,
                has_samples: true,
            };
            return;
        }
        let clipped = sample.min(self.mean * MAX_SAMPLE_RATIO);
        self.mean += (clipped - self.mean) * MEAN_GAIN;
        self.median = step_quantile(self.median, sample, 0.5);
        self.p90 = step_quantile(self.p90, sample, TAIL_QUANTILE);
    }

    /// Returns whether any service time has been recorded.
    pub(super) fn has_samples(&self) -> bool {
        self.has_samples
    }

    /// Returns the moving average in seconds.
    pub(super) fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns the estimated median in seconds.
    pub(super) fn median(&self) -> f64 {
        self.median
    }

    /// Returns the estimated 90th percentile in seconds.
    pub(super) fn p90(&self) -> f64 {
        self.p90
    }
}

/// Returns `value`, the estimate of `quantile`, moved one step towards `sample`.
fn step_quantile(value: f64, sample: f64, quantile: f64) -> f64 {
    if sample > value {
        value * (1.0 + QUANTILE_STEP * quantile)
    } else {
        value / (1.0 + QUANTILE_STEP * (1.0 - quantile))
    }
}
