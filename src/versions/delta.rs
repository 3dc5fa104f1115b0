//! Difference between two versions of the configuration.

use {
    crate::{
        model::{Digest, Version},
        versions::Change,
    },
    serde::{Deserialize, Serialize},
};

/// Change from one version to a newer one, across any number of versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Version to which the delta applies; ignored for a full copy.
    pub from: Version,
    /// Version that it produces.
    pub to: Version,
    /// Digest of that version.
    pub digest: Digest,
    /// Whether the upserts are the complete configuration, which replaces the old one.
    pub full: bool,
    /// Upserts and removals.
    pub change: Change,
}
