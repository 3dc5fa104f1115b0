//! Messages of the distribution tree. The sender bounds their size, and the receiver accepts at
//! most [`crate::wire::MAX_MESSAGE`].

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

/// Maximum number of daemons whose endpoints are in one report.
pub const MAX_MEMBERS: usize = 512;

/// Name and location of a daemon.
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

/// Relay and the epoch of its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRef {
    /// Name.
    pub daemon: DaemonName,
    /// Peer address.
    pub address: SocketAddr,
    /// Epoch of its lease.
    pub epoch: Epoch,
}

/// Parent that failed, as its child reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedParent {
    /// Name.
    pub daemon: DaemonName,
    /// Consecutive failures of this parent.
    pub failures: u32,
}

/// Request of a daemon to control for a parent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attach {
    /// The daemon.
    pub member: Member,
    /// Version that it has in force; 0 for none.
    pub version: Version,
    /// Its current role.
    pub role: Role,
    /// Newest epoch known for the set of its data centre; `None` if the set is unknown.
    pub newest_epoch: Option<Epoch>,
    /// The parent that it has lost; `None` once a parent with an intact path to control has
    /// sent an update.
    pub failed_parent: Option<FailedParent>,
}

/// Process at which a daemon has to subscribe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Parent {
    /// The control replica that answered.
    Control,
    /// Another daemon.
    Daemon {
        /// Name.
        name: DaemonName,
        /// Peer address.
        address: SocketAddr,
    },
}

/// Role of a daemon in the tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Has no children, except as an interim parent during an outage of control.
    Leaf,
    /// Serves the daemons of its data centre and owns their endpoint set.
    DataCentreRelay {
        /// Epoch of the lease.
        epoch: Epoch,
    },
    /// Serves the data centre relays of its region, and is the relay of its own data centre.
    RegionRelay {
        /// Epoch of both leases, and of the endpoint set.
        epoch: Epoch,
    },
}

impl Role {
    /// Returns the level in the tree; see the module documentation.
    pub const fn level(self) -> u8 {
        match self {
            Self::RegionRelay { .. } => 1,
            Self::DataCentreRelay { .. } => 2,
            Self::Leaf => 3,
        }
    }

    /// Returns the epoch of a relay; `None` for a leaf.
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
    /// Process to subscribe at.
    pub parent: Parent,
    /// Assigned role.
    pub role: Role,
    /// Minimum version that may be in force; `None` if check-quorum didn't confirm that the
    /// replica is still the leader.
    pub floor: Option<Version>,
    /// Term of the leader.
    pub term: u64,
}

/// Answer to an [`Attach`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttachReply {
    /// Admitted.
    Attached(Attached),
    /// Refused by rate limiting, or while a new leader waits for the existing relays.
    Refused {
        /// Delay before the next request, in milliseconds.
        retry_after_ms: u32,
    },
    /// This replica is not the leader of the config group.
    NotLeader {
        /// Index of the leader in the list of control addresses; `None` if unknown.
        leader: Option<u32>,
    },
}

/// Subscription of a child to its parent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscribe {
    /// The child.
    pub daemon: DaemonName,
    /// Its level in the tree.
    pub level: u8,
    /// Stream number, assigned by the child; increases, also across restarts.
    pub stream: u64,
    /// Version at the child; 0 requests a full copy.
    pub version: Version,
    /// Positions of the endpoint sets at the child.
    pub positions: Vec<Position>,
}

/// Answer to a [`Subscribe`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubscribeReply {
    /// Updates follow on the stream.
    Accepted,
    /// Refused by rate limiting or by the limit of children.
    Refused {
        /// Delay before the next subscription, in milliseconds.
        retry_after_ms: u32,
    },
    /// The level of the child is not greater than the level of this process.
    WrongLevel {
        /// Level of this process.
        level: u8,
    },
}

/// One frame from a parent to its child.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Stream number.
    pub stream: u64,
    /// Sequence number of the frame in the stream, from 1.
    pub number: u64,
    /// Milliseconds since the parent lost its path to control; 0 if the path is intact.
    pub detached_ms: u32,
    /// Part of a config delta; `None` if the frame contains no config change.
    pub config: Option<DeltaPart>,
    /// Deltas of endpoint sets.
    pub sets: Vec<EndpointDelta>,
    /// Positions of the endpoint sets at the parent; `None` except in heartbeats.
    pub positions: Option<Vec<Position>>,
}

/// Endpoints of the backend servers beside one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// The daemon.
    pub daemon: DaemonName,
    /// Orders the reports of the daemon.
    pub stamp: Stamp,
    /// All endpoints of the daemon.
    pub endpoints: Vec<Endpoint>,
}

/// Report of a child to its parent, sent each second and on change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The child.
    pub member: Member,
    /// Its role.
    pub role: Role,
    /// Its stream number.
    pub stream: u64,
    /// Sequence number of the last frame that it has processed.
    pub last_frame: u64,
    /// Its config version, in force or not.
    pub version: Version,
    /// Endpoints of daemons whose data centre has no relay in the subtree of the child; at most
    /// [`MAX_MEMBERS`] daemons.
    pub members: Vec<MemberReport>,
    /// Deltas of endpoint sets that are missing at the parent.
    pub sets: Vec<EndpointDelta>,
    /// Versions in force at the child and its descendants.
    pub summary: Summary,
}
