//! Messages of the distribution tree. The sender bounds their size, and the receiver accepts at
//! most [`crate::wire::MAX_MESSAGE`].

use {
    super::summary::Summary,
    crate::{
        endpoints::{Record, Stamp},
        model::{DaemonName, DataCentre, Region, Version},
        versions::DeltaPart,
        wire::byte_string,
    },
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Maximum number of records in one report or frame.
pub const MAX_MESSAGE_RECORDS: usize = 512;

/// Name and location of a process.
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

/// Control replica that serves subscriptions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRef {
    /// Peer address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Region,
    /// Whether it is the leader of the config group.
    pub leads: bool,
}

/// Request of a daemon to a control replica, sent before its first subscription.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attach {
    /// The daemon.
    pub member: Member,
}

/// Answer to an [`Attach`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttachReply {
    /// What the daemon needs to subscribe.
    Attached {
        /// Minimum version that may be in force; `None` if no majority of the config group has
        /// confirmed it.
        floor: Option<Version>,
        /// Control replicas that serve subscriptions, with the one that answers.
        replicas: Vec<ReplicaRef>,
    },
    /// Refused by rate limiting.
    Refused {
        /// Delay before the next request, in milliseconds.
        retry_after_ms: u32,
    },
}

/// Subscription of a child to its source.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscribe {
    /// The child.
    pub member: Member,
    /// Whether the child is a control replica, which gets the configuration from the replicated
    /// log.
    pub replica: bool,
    /// Its level in the tree.
    pub level: u8,
    /// Stream number, assigned by the child; contains its incarnation.
    pub stream: u64,
    /// Version at the child; 0 requests a full copy.
    pub version: Version,
    /// Digests of the records at the child; none requests all records.
    pub digests: Vec<u64>,
    /// Records of the subtree of the child, with its own.
    pub records: Vec<Record>,
    /// Number of children that the child can feed in addition to those it has.
    pub room: u16,
    /// Whether the child has left a source without a path to a majority of the config group, and wants
    /// no other one of that kind.
    pub needs_path: bool,
    /// Whether the child asks for the digests of the source, since its records have differed from
    /// those of the source for long.
    pub compares: bool,
}

/// Process at which a daemon can subscribe in place of the one that answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceRef {
    /// Name.
    pub daemon: DaemonName,
    /// Peer address.
    pub address: SocketAddr,
}

/// Answer to a [`Subscribe`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubscribeReply {
    /// Updates follow on the stream.
    Accepted {
        /// Milliseconds since the source lost its path to a majority of the config group; 0 if the
        /// path is intact.
        detached_ms: u32,
        /// Digests of the records at the source, if the child has asked for them.
        digests: Vec<u64>,
    },
    /// Refused by rate limiting.
    Refused {
        /// Delay before the next subscription, in milliseconds.
        retry_after_ms: u32,
    },
    /// The source feeds as many children as it can.
    Full {
        /// Children that feed less than they can, those near the daemon first.
        next: Vec<SourceRef>,
    },
    /// The source has no path to a majority of the config group, which the child needs.
    Detached,
    /// The level of the child is not greater than the level of this process.
    WrongLevel {
        /// Level of this process.
        level: u8,
    },
}

/// One frame from a source to its child.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Stream number.
    pub stream: u64,
    /// Sequence number of the frame in the stream, from 1.
    pub number: u64,
    /// Milliseconds since the source lost its path to a majority of the config group; 0 if the path
    /// is intact.
    pub detached_ms: u32,
    /// Encoded [`Contents`], which many children share.
    #[serde(with = "byte_string")]
    pub contents: Bytes,
}

/// Contents of a frame.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contents {
    /// Part of a config delta; `None` if the frame contains no config change.
    pub config: Option<DeltaPart>,
    /// Records, at most [`MAX_MESSAGE_RECORDS`].
    pub records: Vec<Record>,
    /// Control replicas; `None` if they are unchanged.
    pub replicas: Option<Vec<ReplicaRef>>,
    /// Digest of the records at the source after this frame; `None` except in heartbeats.
    pub digest: Option<u64>,
}

/// Report of a child to its source, sent each second and on change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the child.
    pub daemon: DaemonName,
    /// Its stream number.
    pub stream: u64,
    /// Number of the report, from 1.
    pub number: u64,
    /// Sequence number of the last frame that it has processed.
    pub last_frame: u64,
    /// Its config version, in force or not.
    pub version: Version,
    /// Changed records of the subtree of the child, at most [`MAX_MESSAGE_RECORDS`].
    pub records: Vec<Record>,
    /// Daemons that have left the subtree of the child, with the stamps of their records.
    pub lost: Vec<(DaemonName, Stamp)>,
    /// Records that the source may lack although the daemons are not in the subtree of the child.
    pub other_records: Vec<Record>,
    /// Number of children that the child can feed in addition to those it has.
    pub room: u16,
    /// Versions in force at the child and its descendants.
    pub summary: Summary,
}

/// Answer to a [`Report`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportReply {
    /// Whether the report belongs to the current stream of a child.
    pub known: bool,
    /// Version of the source when it answered.
    pub version: Version,
    /// Milliseconds since that version was known to be the newest; `None` if it never was.
    pub age_ms: Option<u32>,
}
