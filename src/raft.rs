//! The replicated log: a reducer without I/O, clock or randomness of its own.
//!
//! The shell feeds a batch of events to [`Raft::handle`], then takes the effects of the whole
//! batch from [`Raft::flush`] and runs them in the order of the fields of [`Effects`]. All that
//! is to be persisted is written and synced before anything else, so the reducer treats what it
//! handed out as durable.
//!
//! Reads are confirmed by a heartbeat round: a read notes the commit index, and is released when
//! a quorum has answered a heartbeat that was sent after the read came in. No later leader can
//! have existed at that time, whatever the clocks of the replicas do.
//!
//! A group is created by writing the same list of voters, each with the identity of its data
//! folder, into every voter's folder once ([`crate::wal::bootstrap`]). A replica that lost its
//! disk has a new identity, which is not on that list, so it cannot create the group again.

mod election;
mod event;
mod follow;
mod log;
mod members;
mod replicate;
mod types;

#[cfg(test)]
mod tests;

pub use event::{Answer, Config, Effects, Event, Role, Stored};
pub use types::{
    Body, Entry, HardState, Member, MemberChange, MemberRole, Message, Payload, Position,
    ReplicaId, Snapshot,
};

use {
    bytes::Bytes,
    indexmap::{IndexMap, IndexSet},
    log::Log,
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Largest command in bytes.
pub const MAX_COMMAND: usize = 1024 * 1024;
/// Most members in a list; bounds the size of messages and records that hold one.
pub const MAX_MEMBERS: usize = 32;
/// Longest name of a member in bytes.
pub const MAX_NAME: usize = 256;
/// A replica that starts asks for pre-votes within the election timeout divided by this: a group
/// that restarts as a whole has no leader to wait for, and a live leader's voters refuse.
const FIRST_ELECTION: u32 = 2;
/// Largest snapshot that a replica accepts, in bytes.
pub const MAX_SNAPSHOT: u64 = 1024 * 1024 * 1024;

#[derive(Debug)]
enum State {
    Follower,
    Candidate {
        pre: bool,
        votes: IndexSet<ReplicaId>,
    },
    Leader(Leader),
}

/// State that only a leader has.
#[derive(Debug, Default)]
struct Leader {
    peers: IndexMap<ReplicaId, Progress>,
    heartbeat_at: Option<Instant>,
    /// The next flush sends to each peer even if there are no entries.
    broadcast: bool,
    /// Current heartbeat round.
    round: u64,
    /// Reads that no round covers yet.
    waiting: Vec<u64>,
    /// Reads by the round that confirms them.
    reads: VecDeque<(u64, Vec<u64>)>,
    /// The entry that opened the term; reads and member changes wait until it is committed.
    first_index: u64,
}

/// What a leader knows of another replica.
#[derive(Debug)]
struct Progress {
    matched: u64,
    next: u64,
    round: u64,
    heard: Instant,
    /// Last index of each unanswered append.
    in_flight: VecDeque<u64>,
    /// Whether the last append was rejected: one append at a time is sent, from the same place,
    /// until an answer shows where the logs agree.
    probing: bool,
    /// Snapshot on its way: index, next offset, whether that part is unanswered.
    snapshot: Option<(u64, u64, bool)>,
}

/// A replica of the log.
///
/// ```
/// use {
///     anvilbeam::raft::{Config, Event, Member, MemberRole, Raft, ReplicaId, Role, Snapshot, Stored},
///     std::time::{Duration, Instant},
/// };
/// let me = Member {
///     id: ReplicaId(1),
///     name: "a".to_owned(),
///     address: "127.0.0.1:1".parse().unwrap(),
///     role: MemberRole::Voter,
/// };
/// let snapshot = Snapshot { members: vec![me.clone()], ..Snapshot::default() };
/// let stored = Stored { snapshot: Some(snapshot), ..Stored::default() };
/// let now = Instant::now();
/// let mut raft = Raft::new(Config::default(), me, stored, now, 0);
/// raft.handle(Event::Tick, now + Duration::from_secs(3), 0);
/// let effects = raft.flush(now + Duration::from_secs(3));
/// assert_eq!(raft.role(), Role::Leader);
/// assert_eq!(effects.apply.len(), 1);
/// ```
#[derive(Debug)]
pub struct Raft {
    cfg: Config,
    me: Member,
    hard: HardState,
    log: Log,
    snapshot: Option<Snapshot>,
    commit: u64,
    applied: u64,
    state: State,
    leader: Option<Member>,
    /// When the leader was last heard.
    leader_heard: Option<Instant>,
    election_at: Instant,
    /// Parts of a snapshot that is being received.
    incoming: Option<(Position, Vec<u8>)>,
    /// Proposals by the index of their entry.
    proposals: BTreeMap<u64, u64>,
    /// Lowest index that was changed since the last flush.
    dirty_from: Option<u64>,
    out: Effects,
}

impl Raft {
    /// Starts a replica from what its data folder holds; `random` spreads the first election.
    pub fn new(cfg: Config, me: Member, stored: Stored, now: Instant, random: u64) -> Self {
        let snapshot = stored.snapshot;
        let (base, members) = snapshot
            .as_ref()
            .map_or((Position::default(), Vec::new()), |s| {
                (s.at, s.members.clone())
            });
        let mut log = Log::new(base, members);
        for entry in stored.entries {
            log.append(entry);
        }
        let mut raft = Self {
            cfg,
            me,
            hard: stored.hard,
            log,
            snapshot,
            commit: base.index,
            applied: base.index,
            state: State::Follower,
            leader: None,
            leader_heard: None,
            election_at: now,
            incoming: None,
            proposals: BTreeMap::new(),
            dirty_from: None,
            out: Effects::default(),
        };
        raft.election_at = now + Self::spread(raft.cfg.election_timeout / FIRST_ELECTION, random);
        raft
    }

    /// Takes one event in. `random` is any number; it spreads the next election.
    pub fn handle(&mut self, event: Event, now: Instant, random: u64) {
        match event {
            Event::Tick => self.tick(now, random),
            Event::Message(message) => self.message(message, now, random),
            Event::Propose(id, command) => self.propose(id, command),
            Event::Read(id) => self.read(id),
            Event::Change(id, change) => self.change(id, change, now),
            Event::Transfer(id, to) => self.transfer(id, to),
            Event::Compacted(snapshot) => self.compacted(snapshot),
        }
    }

    /// Takes the effects of all events since the last call.
    pub fn flush(&mut self, now: Instant) -> Effects {
        self.advance_commit(now);
        self.start_read_round();
        self.replicate();
        self.release_reads();
        self.take_committed();
        if let Some(from) = self.dirty_from.take() {
            self.out.entries = self.log.slice(from, usize::MAX);
        }
        std::mem::take(&mut self.out)
    }

    /// When the next [`Event::Tick`] is due.
    pub fn deadline(&self) -> Instant {
        match &self.state {
            State::Leader(leader) => leader.heartbeat_at.unwrap_or(self.election_at),
            _ => self.election_at,
        }
    }

    /// Role at present.
    pub const fn role(&self) -> Role {
        match &self.state {
            State::Follower => Role::Follower,
            State::Candidate { pre: true, .. } => Role::PreCandidate,
            State::Candidate { .. } => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    /// Term at present.
    pub const fn term(&self) -> u64 {
        self.hard.term
    }

    /// Term, vote and group at present.
    pub const fn hard_state(&self) -> HardState {
        self.hard
    }

    /// The leader, if it is known.
    pub const fn leader(&self) -> Option<&Member> {
        self.leader.as_ref()
    }

    /// This replica.
    pub const fn me(&self) -> &Member {
        &self.me
    }

    /// Index up to which entries are known to be committed.
    pub const fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Position of the last entry in the log.
    pub fn last(&self) -> Position {
        self.log.last()
    }

    /// Member list in force.
    pub fn members(&self) -> &[Member] {
        self.log.members().1
    }

    /// Snapshot record for the state after the entry at `index`, without contents; `None` if the
    /// log does not hold that entry.
    pub fn snapshot_at(&self, index: u64) -> Option<Snapshot> {
        let term = self.log.term_at(index)?;
        Some(Snapshot {
            at: Position { index, term },
            members: self.log.members_at(index).to_vec(),
            data: Bytes::new(),
        })
    }

    fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members()
            .iter()
            .filter(|member| member.role == MemberRole::Voter)
    }

    fn is_voter(&self, id: ReplicaId) -> bool {
        self.voters().any(|member| member.id == id)
    }

    fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The highest value that a quorum of the voters has reached.
    fn reached_by_quorum(&self, value: impl Fn(ReplicaId) -> u64) -> u64 {
        let mut values: Vec<_> = self.voters().map(|member| value(member.id)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    fn reset_election(&mut self, now: Instant, random: u64) {
        let timeout = self.cfg.election_timeout;
        self.election_at = now + timeout + Self::spread(timeout, random);
    }

    /// A part of `span` that `random` chooses.
    fn spread(span: Duration, random: u64) -> Duration {
        let span = span.as_nanos().max(1) as u64;
        Duration::from_nanos(random % span)
    }

    fn send(&mut self, to: Member, term: u64, body: Body) {
        let message = Message {
            group: self.hard.group,
            from: self.me.clone(),
            to: to.id,
            term,
            body,
        };
        self.out.send.push((to, message));
    }

    fn append(&mut self, payload: Payload) -> u64 {
        let at = Position {
            index: self.log.last().index + 1,
            term: self.hard.term,
        };
        self.mark_dirty(at.index);
        self.log.append(Entry { at, payload });
        at.index
    }

    fn mark_dirty(&mut self, index: u64) {
        self.dirty_from = Some(self.dirty_from.map_or(index, |from| from.min(index)));
    }

    fn set_hard(&mut self, hard: HardState) {
        self.hard = hard;
        self.out.hard = Some(hard);
    }

    fn take_committed(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else {
                return;
            };
            self.applied += 1;
            let proposal = self.proposals.remove(&self.applied);
            self.out.apply.push((entry, proposal));
        }
    }
}
