//! The difference between two versions.

use {
    crate::{
        model::{Digest, Version},
        versions::Change,
    },
    serde::{Deserialize, Serialize},
};

/// Leads from one version to a newer one, over any number of versions between them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Version to which the delta applies; ignored for a full copy.
    pub from: Version,
    /// Version that it leads to.
    pub to: Version,
    /// Digest of that version.
    pub digest: Digest,
    /// Whether the upserts are the whole configuration, which replaces the old one.
    pub full: bool,
    /// Upserts and removals.
    pub change: Change,
}
