//! Short identification of a software version, carried in the incarnation of an endpoint.

use {
    crate::model::Digest,
    serde::{Deserialize, Serialize},
};

/// Bits of an incarnation that hold the start time in milliseconds since the Unix epoch; they last
/// until the year 2109. The other 22 bits hold the tag.
const START_BITS: u32 = 42;
const START_MASK: u64 = (1 << START_BITS) - 1;

/// Hash of the name of a version: 22 bits, never 0. Two versions of one service have the same tag with a
/// probability of 1 in 4 million; the newer one is then treated as the same version.
///
/// The wire format of an endpoint has no place for a version. Its incarnation is only compared for
/// equality and, among starts of one server, for order, so its upper bits can hold the tag; builds
/// that don't know it are not affected.
///
/// ```
/// use anvilbeam::rollouts::VersionTag;
/// let tag = VersionTag::of("v2");
/// let incarnation = tag.join(1_700_000_000_000);
/// assert_eq!(VersionTag::of_incarnation(incarnation), Some(tag));
/// assert_eq!(VersionTag::start_of(incarnation), 1_700_000_000_000);
/// assert_eq!(VersionTag::of_incarnation(1_700_000_000_000), None);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VersionTag(u32);

impl VersionTag {
    /// Returns the tag of the version with this name.
    pub fn of(version: &str) -> Self {
        let Digest([a, b, c, ..]) = Digest::of(version.as_bytes());
        Self((u32::from_be_bytes([0, a, b, c]) >> 2).max(1))
    }

    /// Returns the tag in the incarnation of an endpoint; `None` if it has none.
    pub const fn of_incarnation(incarnation: u64) -> Option<Self> {
        match (incarnation >> START_BITS) as u32 {
            0 => None,
            tag => Some(Self(tag)),
        }
    }

    /// Returns the incarnation without the tag: the start time in milliseconds.
    pub const fn start_of(incarnation: u64) -> u64 {
        incarnation & START_MASK
    }

    /// Returns the incarnation of an endpoint of this version that started at `start`.
    pub const fn join(self, start: u64) -> u64 {
        (self.0 as u64) << START_BITS | start & START_MASK
    }
}
