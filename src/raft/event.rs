//! Inputs and outputs of the reducer.

use {
    super::types::{
        Entry, HardState, Member, MemberChange, Message, Position, ReplicaId, Snapshot,
    },
    bytes::Bytes,
    std::time::Duration,
};

/// Limits and times of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Least time without a leader before an election; the random part is at most as long.
    pub election_timeout: Duration,
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Entry bytes in one append message.
    pub append_bytes: usize,
    /// Append messages with entries that may be unanswered for each follower.
    pub appends_in_flight: usize,
    /// Snapshot bytes in one message.
    pub chunk_bytes: usize,
    /// Entries that stay in memory behind a snapshot for followers that lag a little.
    pub trailing_entries: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            election_timeout: Duration::from_secs(1),
            heartbeat: Duration::from_millis(150),
            append_bytes: 1024 * 1024,
            appends_in_flight: 8,
            chunk_bytes: 1024 * 1024,
            trailing_entries: 4096,
        }
    }
}

/// What a replica starts with: the contents of its data folder.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    /// Term, vote and group.
    pub hard: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// An input of the reducer. The number in a request returns in its [`Answer`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; due at [`Raft::deadline`].
    Tick,
    /// A message came in.
    Message(Message),
    /// Appends a command.
    Propose(u64, Bytes),
    /// Asks for confirmation that this replica leads and has applied all accepted commands.
    Read(u64),
    /// Changes the member list.
    Change(u64, MemberChange),
    /// Hands the leadership to a voter.
    Transfer(u64, ReplicaId),
    /// The shell has stored a snapshot of the state machine.
    Compacted(Snapshot),
}

/// Effects of one batch, in the order in which they are run.
#[derive(Debug, Default)]
pub struct Effects {
    /// Snapshot of the leader to store, and to load into the state machine before `apply`.
    pub install: Option<Snapshot>,
    /// Position to which the stored log is reset, without any entries.
    pub reset: Option<Position>,
    /// Term, vote and group to store.
    pub hard: Option<HardState>,
    /// Entries to store; the stored log ends with them.
    pub entries: Vec<Entry>,
    /// Messages to send.
    pub send: Vec<(Member, Message)>,
    /// Committed entries in order, with the number of the proposal that waits for them.
    pub apply: Vec<(Entry, Option<u64>)>,
    /// Answers to give.
    pub answers: Vec<(u64, Answer)>,
}

/// Answer to a request that is not answered by applying an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Not done: this replica does not lead; names the leader if it is known.
    NotLeader(Option<Member>),
    /// Leadership was lost; the outcome is unknown.
    Lost,
    /// Not done, for this reason.
    Refused(String),
    /// The request has been done, or for a read: the state may be read now.
    Done,
}

/// Role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether an election would succeed.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads the group.
    Leader,
}
