//! Raft consensus as a reducer without I/O, a clock or a random generator of its own.
//!
//! The caller passes a batch of events to [`Raft::step`], then fetches the effects of the whole
//! batch from [`Raft::flush`] and executes them in the order of the fields of [`Effects`]. The
//! state to persist is written and synced before any other effect, so the reducer treats every
//! entry that it has returned as durable.
//!
//! Linearizable reads are confirmed by a heartbeat round: a read is answered once a quorum has
//! answered a heartbeat that was sent after the read arrived. No later leader can have existed
//! when the read arrived. This does not depend on the clocks of the replicas.
//!
//! A group is created by writing the same list of voters, each with the identity of its data
//! folder, to every voter's folder once ([`crate::wal::bootstrap`]). A replica that lost its
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

/// Maximum size of a command in bytes.
pub const MAX_COMMAND: usize = 1024 * 1024;
/// Maximum number of members in a group; bounds the size of messages and records with a list.
pub const MAX_MEMBERS: usize = 32;
/// Maximum length of a member's name in bytes.
pub const MAX_NAME: usize = 256;
/// Divisor of the election timeout for the first election after a start. A shorter timeout is
/// safe: a fully restarted group has no leader to wait for, and voters with a live leader ignore
/// pre-vote requests.
const FIRST_ELECTION_DIVISOR: u32 = 2;
/// Maximum size of a snapshot that a replica accepts, in bytes.
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

/// State of a leader.
#[derive(Debug, Default)]
struct Leader {
    peers: IndexMap<ReplicaId, Progress>,
    next_heartbeat: Option<Instant>,
    /// Whether the next flush sends a message to each peer even without new entries.
    broadcast: bool,
    /// Number of the current heartbeat round.
    round: u64,
    /// Numbers of reads that are not assigned to a heartbeat round yet.
    pending_reads: Vec<u64>,
    /// Numbers of reads by the heartbeat round that confirms them.
    reads_by_round: VecDeque<(u64, Vec<u64>)>,
    /// Index of the first entry of this term. Until it is committed, reads wait and member changes
    /// are refused.
    first_index: u64,
}

/// Replication state of another replica, kept by the leader.
#[derive(Debug)]
struct Progress {
    /// Highest index up to which its log is known to equal the leader's.
    matched: u64,
    /// Index of the next entry to send.
    next: u64,
    /// Latest heartbeat round that it has answered.
    round: u64,
    /// Time of its latest reply.
    last_seen: Instant,
    /// Last index of each unacknowledged append.
    in_flight: VecDeque<u64>,
    /// Whether the last append was rejected. Appends are then sent one at a time, from the same
    /// index, until a reply shows up to where the logs match.
    probing: bool,
    /// Snapshot transfer in progress: index of the snapshot, offset of the next part in bytes,
    /// and whether that part is unacknowledged.
    snapshot: Option<(u64, u64, bool)>,
}

/// A member of a Raft group.
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
/// raft.step(Event::Tick, now + Duration::from_secs(3), 0);
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
    /// Time of the latest message from a leader; `None` before the first one and after this
    /// replica has started an election.
    last_leader_contact: Option<Instant>,
    election_deadline: Instant,
    /// Snapshot that is being received: its position and the bytes so far.
    incoming_snapshot: Option<(Position, Vec<u8>)>,
    /// Numbers of the proposals by the index of their entry.
    proposals: BTreeMap<u64, u64>,
    /// Lowest index that has changed since the last flush.
    dirty_from: Option<u64>,
    effects: Effects,
}

impl Raft {
    /// Creates a replica from the contents of its data folder. `random` is any number; it adds
    /// jitter to the first election timeout.
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
            last_leader_contact: None,
            election_deadline: now,
            incoming_snapshot: None,
            proposals: BTreeMap::new(),
            dirty_from: None,
            effects: Effects::default(),
        };
        raft.election_deadline =
            now + Self::jitter(raft.cfg.election_timeout / FIRST_ELECTION_DIVISOR, random);
        raft
    }

    /// Processes one event. `random` is any number; it adds jitter to the next election timeout.
    pub fn step(&mut self, event: Event, now: Instant, random: u64) {
        match event {
            Event::Tick => self.tick(now, random),
            Event::Message(message) => self.receive(message, now, random),
            Event::Propose(id, command) => self.propose(id, command),
            Event::ProposeAfter(id, command, index) => self.propose_after(id, command, index),
            Event::Read(id) => self.read(id),
            Event::Change(id, change) => self.change(id, change, now),
            Event::Transfer(id, to) => self.transfer(id, to),
            Event::SnapshotStored(snapshot) => self.handle_snapshot_stored(snapshot),
        }
    }

    /// Returns the effects of all events since the last call.
    pub fn flush(&mut self, now: Instant) -> Effects {
        self.advance_commit(now);
        self.start_read_round();
        self.replicate();
        self.release_reads();
        self.collect_committed();
        if let Some(from) = self.dirty_from.take() {
            self.effects.entries = self.log.slice(from, usize::MAX);
        }
        std::mem::take(&mut self.effects)
    }

    /// Returns the time at which the next [`Event::Tick`] is due.
    pub fn deadline(&self) -> Instant {
        match &self.state {
            State::Leader(leader) => leader.next_heartbeat.unwrap_or(self.election_deadline),
            _ => self.election_deadline,
        }
    }

    /// Returns the current role.
    pub const fn role(&self) -> Role {
        match &self.state {
            State::Follower => Role::Follower,
            State::Candidate { pre: true, .. } => Role::PreCandidate,
            State::Candidate { .. } => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    /// Returns the current term.
    pub const fn term(&self) -> u64 {
        self.hard.term
    }

    /// Returns the current term, vote and group.
    pub const fn hard_state(&self) -> HardState {
        self.hard
    }

    /// Returns the current leader; `None` if it is unknown.
    pub const fn leader(&self) -> Option<&Member> {
        self.leader.as_ref()
    }

    /// Returns the latest time at which this replica was in contact with the quorum: at the leader,
    /// when the last message of a quorum of the voters had arrived, elsewhere that of the leader.
    /// `None` before the first contact and during an election that this replica has started.
    pub fn quorum_contact(&self, now: Instant) -> Option<Instant> {
        let State::Leader(leader) = &self.state else {
            return self.last_leader_contact;
        };
        let seen = |member: &Member| match leader.peers.get(&member.id) {
            Some(peer) => Some(peer.last_seen),
            None => (member.id == self.me.id).then_some(now),
        };
        let mut seen: Vec<_> = self.voters().filter_map(seen).collect();
        seen.sort_unstable_by(|a, b| b.cmp(a));
        seen.get(self.quorum() - 1).copied()
    }

    /// Returns when this replica last heard from each other member, if it leads.
    pub fn member_contacts(&self) -> Vec<(ReplicaId, Instant)> {
        let State::Leader(leader) = &self.state else {
            return Vec::new();
        };
        let peers = leader.peers.iter();
        peers.map(|(id, peer)| (*id, peer.last_seen)).collect()
    }

    /// Returns the member record of this replica.
    pub const fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the index up to which entries are known to be committed.
    pub const fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Returns the position of the last entry in the log.
    pub fn last(&self) -> Position {
        self.log.last()
    }

    /// Returns the latest member list in the log, committed or not.
    pub fn members(&self) -> &[Member] {
        self.log.members().1
    }

    /// Returns a snapshot record for the state after the entry at `index`, with empty contents;
    /// `None` if the log does not hold that entry.
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

    /// Returns the highest value that a quorum of the voters has reached.
    fn reached_by_quorum(&self, value: impl Fn(ReplicaId) -> u64) -> u64 {
        let mut values: Vec<_> = self.voters().map(|member| value(member.id)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    fn reset_election(&mut self, now: Instant, random: u64) {
        let timeout = self.cfg.election_timeout;
        self.election_deadline = now + timeout + Self::jitter(timeout, random);
    }

    /// Returns a duration below `span`, derived from `random`.
    fn jitter(span: Duration, random: u64) -> Duration {
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
        self.effects.send.push((to, message));
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
        self.effects.hard = Some(hard);
    }

    fn collect_committed(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else {
                return;
            };
            self.applied += 1;
            let proposal = self.proposals.remove(&self.applied);
            self.effects.apply.push((entry, proposal));
        }
    }
}
