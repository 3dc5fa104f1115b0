//! Identities, log entries and messages of a Raft group.

use {
    crate::{model::Digest, wire::byte_string},
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr},
};

/// Identity of a replica: a random number that is created with its data folder and stored there.
///
/// A replica that lost its disk gets a new identity, so that it cannot contradict votes and
/// acknowledgements that were stored on the lost disk.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Role of a member in the quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum MemberRole {
    /// Votes and counts towards the quorum.
    Voter,
    /// Receives the log, but does not vote or count towards the quorum.
    Learner,
}

/// Entry of a replica in the member list of its group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Identity of the replica's data folder.
    pub id: ReplicaId,
    /// Name that is shown to operators.
    pub name: String,
    /// Address for messages from other replicas.
    pub address: SocketAddr,
    /// Whether the replica counts towards the quorum.
    pub role: MemberRole,
}

/// One change of the member list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Adds a replica as a learner; the role in the record is ignored.
    Add(Member),
    /// Turns a learner that has caught up into a voter.
    Promote(ReplicaId),
    /// Removes a replica.
    Remove(ReplicaId),
}

/// Index and term of a log entry; both are 0 before the first entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Index of the entry; the first entry has index 1.
    pub index: u64,
    /// Term of the leader that appended the entry.
    pub term: u64,
}

impl Position {
    /// Returns whether a log that ends at this position is at least as up to date as one that
    /// ends at `other`, as the election rule of Raft requires of a candidate.
    pub const fn covers(self, other: Self) -> bool {
        self.term > other.term || (self.term == other.term && self.index >= other.index)
    }
}

/// Payload of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No command; the first entry of a leader's term.
    Empty,
    /// Command for the state machine.
    Command(#[serde(with = "byte_string")] Bytes),
    /// The complete new member list, which takes effect as soon as it is appended.
    Members(Vec<Member>),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub at: Position,
    /// Payload.
    pub payload: Payload,
}

impl Entry {
    /// Returns an upper bound of the encoded size in bytes.
    pub fn size(&self) -> usize {
        /// Encoded size of identities, lengths and tags.
        const FIXED: usize = 64;
        match &self.payload {
            Payload::Empty => FIXED,
            Payload::Command(command) => FIXED + command.len(),
            Payload::Members(members) => members.iter().map(|m| FIXED + m.name.len()).sum(),
        }
    }
}

/// State besides the log that a replica must persist before it answers (Raft's hard state).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: u64,
    /// Candidate that this replica voted for in `term`; `None` if it has not voted.
    pub vote: Option<ReplicaId>,
    /// Group of the replica; 0 until it has joined one.
    pub group: u64,
}

impl HardState {
    /// Returns the initial state of each voter of a new group with the voters `members`.
    pub fn bootstrapped(members: &[Member]) -> Self {
        let ids: String = members.iter().map(|member| member.id.to_string()).collect();
        let digest = Digest::of(ids.as_bytes());
        let group = digest.0[..8]
            .iter()
            .fold(0, |group, byte| group << 8 | u64::from(*byte));
        Self {
            group: group.max(1),
            ..Self::default()
        }
    }
}

/// State of the state machine up to a position of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position of the last entry that is included.
    pub at: Position,
    /// Member list at that position.
    pub members: Vec<Member>,
    /// State as encoded by the state machine.
    #[serde(with = "byte_string")]
    pub data: Bytes,
}

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Group of the sender.
    pub group: u64,
    /// Sender; replies go to its address.
    pub from: Member,
    /// Identity of the recipient; a replica with another identity drops the message.
    pub to: ReplicaId,
    /// Term of the sender; in a pre-vote the term that the candidate would start.
    pub term: u64,
    /// Body.
    pub body: Body,
}

/// Body of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests a vote.
    Vote {
        /// Whether this is a pre-vote, which changes neither term nor vote.
        pre: bool,
        /// Whether the leader requested this election, so that voters grant it although they
        /// have a live leader.
        transfer: bool,
        /// Position of the last entry in the candidate's log.
        last: Position,
    },
    /// Reply to [`Body::Vote`].
    VoteReply {
        /// Whether this replies to a pre-vote.
        pre: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Log entries; a heartbeat if there are none.
    Append {
        /// Position of the entry before `entries`.
        prev: Position,
        /// Entries in order.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: u64,
        /// Heartbeat round, repeated in the reply.
        round: u64,
    },
    /// Reply to [`Body::Append`] and to the last [`Body::Chunk`].
    AppendReply {
        /// Heartbeat round of the request.
        round: u64,
        /// Index up to which the log equals the leader's. If `rejected` is set, this is only a
        /// hint: the logs may differ earlier.
        matched: u64,
        /// Index in `prev` of the request if it was rejected; `None` if it was accepted.
        rejected: Option<u64>,
    },
    /// Part of a snapshot.
    Chunk {
        /// Position of the snapshot.
        at: Position,
        /// Member list of the snapshot.
        members: Vec<Member>,
        /// Size of the complete snapshot in bytes.
        total: u64,
        /// Offset of this part in bytes.
        offset: u64,
        /// Bytes of this part.
        #[serde(with = "byte_string")]
        data: Bytes,
        /// Heartbeat round, repeated in the reply.
        round: u64,
    },
    /// Reply to [`Body::Chunk`].
    ChunkReply {
        /// Heartbeat round of the request.
        round: u64,
        /// Index of the snapshot.
        index: u64,
        /// Offset in bytes of the next part that the follower needs.
        offset: u64,
    },
    /// Requests that the recipient start an election immediately (leadership transfer).
    TakeOver,
}
