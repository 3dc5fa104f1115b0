//! Lookup of grants by path prefix.

use {
    crate::model::{PathPrefix, PlanName},
    std::collections::HashMap,
};

/// Indexes of the grants in `Config::grants`, by plan and path prefix.
pub(super) type GrantsByPath = HashMap<PlanName, HashMap<PathPrefix, Vec<usize>>>;

/// Returns the prefixes of a path that end with a slash, longest first; ignores query and fragment.
pub(super) fn prefixes(path: &str) -> impl Iterator<Item = &str> {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let slashes = path.rmatch_indices('/');
    slashes.map(move |(at, _)| &path[..=at])
}
