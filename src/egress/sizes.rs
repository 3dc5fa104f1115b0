//! Expected sizes of answers by route.

use {
    crate::model::{PathPrefix, PlanName},
    indexmap::IndexMap,
    std::time::Instant,
};

/// Size in bytes that is assumed for a route without an answer so far.
pub(super) const INITIAL_SIZE: u64 = 64 * 1024;
/// Smallest weight of a new sample; the sizes of one route vary widely, so that the mean of about
/// 20 answers is needed.
const MIN_SAMPLE_WEIGHT: f64 = 0.05;
/// Largest number of routes that are kept; beyond it the one without an answer for the longest time
/// is forgotten.
const MAX_ROUTES: usize = 1024;

/// Moving means of the answer sizes of the routes that were used last.
#[derive(Debug, Default)]
pub(super) struct Sizes(IndexMap<(PlanName, PathPrefix), Mean>);

#[derive(Clone, Copy, Debug)]
struct Mean {
    bytes: f64,
    samples: u32,
    at: Instant,
}

impl Sizes {
    /// Returns the expected size of an answer in bytes.
    pub(super) fn expected(&self, plan: &PlanName, path: &PathPrefix) -> u64 {
        let mean = self.0.get(&(plan.clone(), path.clone()));
        mean.map_or(INITIAL_SIZE, |mean| mean.bytes as u64)
    }

    /// Adds the size of one answer to the mean of its route.
    pub(super) fn record(&mut self, plan: &PlanName, path: &PathPrefix, bytes: u64, now: Instant) {
        let key = (plan.clone(), path.clone());
        if !self.0.contains_key(&key) && self.0.len() >= MAX_ROUTES {
            let oldest = self.0.values().enumerate().min_by_key(|(_, mean)| mean.at);
            if let Some((index, _)) = oldest {
                self.0.swap_remove_index(index);
            }
        }
        let mean = self.0.entry(key).or_insert(Mean {
            bytes: 0.0,
            samples: 0,
            at: now,
        });
        mean.samples = mean.samples.saturating_add(1);
        let weight = (1.0 / f64::from(mean.samples)).max(MIN_SAMPLE_WEIGHT);
        mean.bytes += (bytes as f64 - mean.bytes) * weight;
        mean.at = now;
    }
}
