//! Messages of the distribution tree. Sizes are bounded where they are made, and by
//! [`crate::wire::MAX_MESSAGE`] where they are read.

use {
    super::summary::Summary,
    crate::{
        endpoints::{EndpointDelta, Epoch, Position, Stamp},
        model::{DaemonName, DataCentre, Endpoint, Region, Version},
        versions::DeltaPart,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Most daemons whose endpoints one report carries.
pub const MAX_MEMBERS: usize = 512;

/// Who and where a daemon is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name.
    pub daemon: DaemonName,
    /// Peer address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Region,
}

/// A relay in its tenure.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRef {
    /// Name.
    pub daemon: DaemonName,
    /// Peer address.
    pub address: SocketAddr,
    /// Tenure.
    pub epoch: Epoch,
}

/// The parent that a daemon has lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedParent {
    /// Name.
    pub daemon: DaemonName,
    /// Failures in a row.
    pub times: u32,
}

/// A daemon asks control for its parent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attach {
    /// The daemon.
    pub member: Member,
    /// Version that it has in force; 0 for none.
    pub version: Version,
    /// Role that it holds.
    pub held: Role,
    /// Newest tenure in its data centre that it knows of.
    pub seen: Option<Epoch>,
    /// The parent that it has lost.
    pub previous_parent_failed: Option<FailedParent>,
}

/// Where a daemon subscribes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Parent {
    /// At the control replica that answered.
    Control,
    /// At another daemon.
    Daemon {
        /// Name.
        name: DaemonName,
        /// Peer address.
        address: SocketAddr,
    },
}

/// Place of a daemon in the tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Has no children, but for an outage of control.
    Leaf,
    /// Serves the daemons of its data centre and owns their endpoint set.
    DataCentreRelay {
        /// Tenure.
        epoch: Epoch,
    },
    /// Serves the data centre relays of its region, and is the relay of its own data centre.
    RegionRelay {
        /// Tenure, also as the owner of the endpoint set.
        epoch: Epoch,
    },
}

impl Role {
    /// Level in the tree; see the module documentation.
    pub const fn level(self) -> u8 {
        match self {
            Self::RegionRelay { .. } => 1,
            Self::DataCentreRelay { .. } => 2,
            Self::Leaf => 3,
        }
    }

    /// Tenure of a relay.
    pub const fn epoch(self) -> Option<Epoch> {
        match self {
            Self::Leaf => None,
            Self::DataCentreRelay { epoch } | Self::RegionRelay { epoch } => Some(epoch),
        }
    }
}

/// Answer to an admitted [`Attach`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attached {
    /// Where to subscribe.
    pub parent: Parent,
    /// Place in the tree.
    pub role: Role,
    /// Version below which nothing may be in force; `None` when the leader can't confirm by
    /// check-quorum that it still is the leader.
    pub floor: Option<Version>,
    /// Term of the leader.
    pub term: u64,
}

/// Answer to an [`Attach`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttachReply {
    /// Admitted.
    Attached(Attached),
    /// Not admitted now.
    Refused {
        /// Milliseconds after which to ask again.
        retry_after_ms: u32,
    },
    /// This replica doesn't lead the group.
    NotLeader {
        /// Number of the leader in the list of control addresses, if known.
        leader: Option<u32>,
    },
}

/// A child subscribes to its parent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscribe {
    /// The child.
    pub daemon: DaemonName,
    /// Its level in the tree.
    pub level: u8,
    /// Number of the stream, chosen by the child; grows over restarts as well.
    pub stream: u64,
    /// Version that it holds; 0 to get a full copy.
    pub version: Version,
    /// Endpoint sets that it holds.
    pub positions: Vec<Position>,
}

/// Answer to a [`Subscribe`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubscribeReply {
    /// Updates follow.
    Accepted,
    /// Too many subscriptions at the moment.
    Refused {
        /// Milliseconds after which to ask again.
        retry_after_ms: u32,
    },
    /// The child is not below this process in the tree.
    WrongLevel {
        /// Level of this process.
        level: u8,
    },
}

/// One frame from a parent to its child.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Stream of the child.
    pub stream: u64,
    /// Number of the frame in the stream, from 1.
    pub number: u64,
    /// Milliseconds since the way from control to the parent was interrupted; 0 if it is intact.
    pub detached_ms: u32,
    /// Change of the configuration, or a part of it.
    pub config: Option<DeltaPart>,
    /// Changes of endpoint sets.
    pub sets: Vec<EndpointDelta>,
    /// Endpoint sets that the parent holds; sent with heartbeats.
    pub positions: Option<Vec<Position>>,
}

/// Endpoints beside one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// The daemon.
    pub daemon: DaemonName,
    /// Order of its reports.
    pub stamp: Stamp,
    /// All of its endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// What a child reports to its parent, each second and on change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The child.
    pub member: Member,
    /// Its role.
    pub role: Role,
    /// Its stream.
    pub stream: u64,
    /// Number of the last frame that it has processed.
    pub seen: u64,
    /// Version that it holds.
    pub version: Version,
    /// Endpoints of daemons whose data centre has no owner below the parent, at most
    /// [`MAX_MEMBERS`].
    pub members: Vec<MemberReport>,
    /// Changes of endpoint sets that the parent lacks.
    pub sets: Vec<EndpointDelta>,
    /// Versions in force at the child and below it.
    pub summary: Summary,
}
