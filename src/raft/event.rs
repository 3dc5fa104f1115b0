//! Inputs and outputs of the reducer.

use {
    super::types::{
        Entry, HardState, Member, MemberChange, Message, Position, ReplicaId, Snapshot,
    },
    bytes::Bytes,
    std::time::Duration,
};

/// Timeouts and limits of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Minimum time without a leader before an election. A random delay of up to the same length
    /// is added.
    pub election_timeout: Duration,
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// Maximum bytes of entries in one append message.
    pub max_append_bytes: usize,
    /// Maximum number of unacknowledged append messages with entries to each follower.
    pub max_appends_in_flight: usize,
    /// Maximum bytes of a snapshot in one message.
    pub max_chunk_bytes: usize,
    /// Number of entries before a snapshot that stay in memory, so that a follower that lags less
    /// needs no snapshot transfer.
    pub trailing_entries: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            election_timeout: Duration::from_secs(1),
            heartbeat: Duration::from_millis(150),
            max_append_bytes: 1024 * 1024,
            max_appends_in_flight: 8,
            max_chunk_bytes: 1024 * 1024,
            trailing_entries: 4096,
        }
    }
}

/// Contents of a replica's data folder, from which it starts.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    /// Term, vote and group.
    pub hard: HardState,
    /// Latest snapshot; `None` if there is none.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// An input of the reducer. The number in a request identifies its answer in [`Effects`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Timer event; due at [`super::Raft::deadline`].
    Tick,
    /// A message from another replica was received.
    Message(Message),
    /// Appends a command.
    Propose(u64, Bytes),
    /// Appends a command if the last entry of the log has the given index, so that no other command
    /// can come between a read of the state at that index and this one.
    ProposeAfter(u64, Bytes, u64),
    /// Requests a linearizable read: the answer confirms that this replica leads and has applied
    /// all commands that were committed before.
    Read(u64),
    /// Changes the member list.
    Change(u64, MemberChange),
    /// Transfers the leadership to a voter.
    Transfer(u64, ReplicaId),
    /// The caller has stored a snapshot of the state machine.
    SnapshotStored(Snapshot),
}

/// Effects of one batch of events. The caller executes them in the order of the fields.
#[derive(Debug, Default)]
pub struct Effects {
    /// Snapshot from the leader to store, and to load into the state machine before `apply`.
    pub install: Option<Snapshot>,
    /// Position to which the stored log is reset; all stored entries are dropped.
    pub reset: Option<Position>,
    /// Term, vote and group to store.
    pub hard: Option<HardState>,
    /// Entries to store. They replace all stored entries from the index of the first one on.
    pub entries: Vec<Entry>,
    /// Messages to send.
    pub send: Vec<(Member, Message)>,
    /// Committed entries to apply in order, each with the number of its proposal; `None` if no
    /// proposal to this replica waits for it.
    pub apply: Vec<(Entry, Option<u64>)>,
    /// Answers by the number of the request.
    pub answers: Vec<(u64, Answer)>,
}

/// Answer to a read, to a transfer or to a request whose entry was not applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Not done: this replica is not the leader. Names the leader if it is known.
    NotLeader(Option<Member>),
    /// This replica lost the leadership; the outcome is unknown.
    Lost,
    /// Not done, for this reason.
    Refused(String),
    /// Not done: the log has other entries than the request expects.
    Superseded,
    /// The request was executed; for a read, the state may be read now.
    Done,
}

/// Role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Replicates from a leader, or waits for one.
    Follower,
    /// Requests pre-votes.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Leads the group.
    Leader,
}
