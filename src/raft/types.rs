//! Ids, entries and messages of the replicated log.

use {
    crate::model::Digest,
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr},
};

/// Identity of a replica: random, created with its data folder and kept there.
///
/// A replica that lost its disk has another identity, so votes and acknowledgements that it
/// forgot are never counted again.
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

/// Whether a member counts towards the quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum MemberRole {
    /// Votes and counts towards the quorum.
    Voter,
    /// Receives the log only.
    Learner,
}

/// A replica as the group's member list names it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Identity of the replica's data folder.
    pub id: ReplicaId,
    /// Name for operators.
    pub name: String,
    /// Peer address.
    pub address: SocketAddr,
    /// Whether it counts towards the quorum.
    pub role: MemberRole,
}

/// One change of the member list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Adds a replica as a learner, whatever role the record names.
    Add(Member),
    /// Makes a learner that has caught up a voter.
    Promote(ReplicaId),
    /// Removes a replica.
    Remove(ReplicaId),
}

/// Index and term of a log entry; zero is the empty log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Index, from 1.
    pub index: u64,
    /// Term of the leader that appended the entry.
    pub term: u64,
}

impl Position {
    /// Whether a log that ends here holds at least what one that ends at `other` holds.
    pub const fn covers(self, other: Self) -> bool {
        self.term > other.term || (self.term == other.term && self.index >= other.index)
    }
}

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a leader's term.
    Empty,
    /// Command of the state machine.
    Command(#[serde(with = "byte_string")] Bytes),
    /// The whole new member list, in force as soon as it is appended.
    Members(Vec<Member>),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub at: Position,
    /// Contents.
    pub payload: Payload,
}

impl Entry {
    /// Upper estimate of the encoded size in bytes.
    pub fn size(&self) -> usize {
        /// Encoded size of ids, lengths and tags.
        const FIXED: usize = 64;
        match &self.payload {
            Payload::Empty => FIXED,
            Payload::Command(command) => FIXED + command.len(),
            Payload::Members(members) => members.iter().map(|m| FIXED + m.name.len()).sum(),
        }
    }
}

/// What a replica must never forget besides the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: u64,
    /// Candidate that got this replica's vote in `term`.
    pub vote: Option<ReplicaId>,
    /// Group that the replica belongs to; 0 until it has joined one.
    pub group: u64,
}

impl HardState {
    /// State with which each of the voters `members` starts their new group.
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

/// State machine contents up to a position of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that the contents include.
    pub at: Position,
    /// Member list at that position.
    pub members: Vec<Member>,
    /// Contents as the state machine encoded them.
    #[serde(with = "byte_string")]
    pub data: Bytes,
}

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Group of the sender.
    pub group: u64,
    /// The sender, with the address that the answer goes to.
    pub from: Member,
    /// Identity that the message is meant for; others drop it.
    pub to: ReplicaId,
    /// Term of the sender, or the term asked for in a pre-vote.
    pub term: u64,
    /// Contents.
    pub body: Body,
}

/// Contents of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for a vote.
    Vote {
        /// Asks whether the vote would be granted, without effect on either side.
        pre: bool,
        /// The leader asked the candidate to take over, so a live leader is no objection.
        transfer: bool,
        /// End of the candidate's log.
        last: Position,
    },
    /// Answers [`Body::Vote`].
    VoteReply {
        /// Answers a pre-vote.
        pre: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries, or a heartbeat without any.
    Append {
        /// Position before the first entry.
        prev: Position,
        /// Entries in order.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: u64,
        /// Heartbeat round, returned in the answer.
        round: u64,
    },
    /// Answers [`Body::Append`] and the last [`Body::Chunk`].
    AppendReply {
        /// Round of the request.
        round: u64,
        /// The log equals the leader's up to this index; with `rejected` it may only do so.
        matched: u64,
        /// Index before the first entry of the refused request.
        rejected: Option<u64>,
    },
    /// Part of a snapshot.
    Chunk {
        /// Position of the snapshot.
        at: Position,
        /// Member list of the snapshot.
        members: Vec<Member>,
        /// Size of the whole contents in bytes.
        total: u64,
        /// Offset of this part in bytes.
        offset: u64,
        /// The part.
        #[serde(with = "byte_string")]
        data: Bytes,
        /// Heartbeat round, returned in the answer.
        round: u64,
    },
    /// Answers [`Body::Chunk`].
    ChunkReply {
        /// Round of the request.
        round: u64,
        /// Index of the snapshot.
        index: u64,
        /// Offset of the next part that is wanted.
        offset: u64,
    },
    /// Asks the receiver to start an election at once.
    TakeOver,
}

/// Encodes byte strings as one block instead of a sequence of numbers.
mod byte_string {
    use {
        bytes::Bytes,
        serde::{Deserializer, Serializer, de},
        std::fmt,
    };

    pub(super) fn serialize<S: Serializer>(bytes: &Bytes, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Bytes, D::Error> {
        struct Visitor;

        impl de::Visitor<'_> for Visitor {
            type Value = Bytes;

            fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str("a byte string")
            }

            fn visit_bytes<E: de::Error>(self, v: &[u8]) -> Result<Bytes, E> {
                Ok(Bytes::copy_from_slice(v))
            }

            fn visit_byte_buf<E: de::Error>(self, v: Vec<u8>) -> Result<Bytes, E> {
                Ok(Bytes::from(v))
            }
        }

        from.deserialize_byte_buf(Visitor)
    }
}
