//! Grants by the start of the path.

use {
    crate::model::{PathPrefix, PlanName},
    std::collections::HashMap,
};

/// Places of the grants in the configuration, by plan and path.
pub(super) type Paths = HashMap<PlanName, HashMap<PathPrefix, Vec<usize>>>;

/// Prefixes of a path that end with a slash, the longest first.
pub(super) fn prefixes(path: &str) -> impl Iterator<Item = &str> {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let slashes = path.rmatch_indices('/');
    slashes.map(move |(at, _)| &path[..=at])
}
