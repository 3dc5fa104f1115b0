//! A group of reducers on a simulated network with simulated disks, and checks of its invariants.

use {
    super::node::Node,
    crate::raft::{
        Answer, Config, Effects, Entry, Event, HardState, Member, MemberRole, Message, Payload,
        Raft, ReplicaId, Role, Snapshot, Stored,
    },
    bytes::Bytes,
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        time::{Duration, Instant},
    },
};

const STEP: Duration = Duration::from_millis(5);
const MAX_DELAY_MS: u64 = 40;
/// Number of applied entries after which a replica takes a snapshot.
const SNAPSHOT_AFTER: u64 = 6;

/// Percentages of messages that are lost and duplicated.
#[derive(Clone, Copy, Debug)]
pub(super) struct LinkFaults {
    pub(super) loss: u32,
    pub(super) duplicates: u32,
}

pub(super) const NO_FAULTS: LinkFaults = LinkFaults {
    loss: 0,
    duplicates: 0,
};

#[derive(Debug)]
pub(super) struct Sim {
    pub(super) nodes: Vec<Node>,
    pub(super) now: Instant,
    in_flight: Vec<(Instant, usize, Message)>,
    /// Links that drop all messages, by sender and recipient.
    pub(super) cut_links: BTreeSet<(usize, usize)>,
    /// Identities of replicas that lost their disk.
    pub(super) lost_disks: BTreeSet<ReplicaId>,
    /// All entries that any replica has applied.
    pub(super) committed: Vec<Entry>,
    /// Leaders by term.
    leaders: BTreeMap<u64, ReplicaId>,
    /// Reads by number, with the committed index at the time of the request.
    reads: HashMap<u64, u64>,
    pub(super) answers: Vec<(u64, Answer)>,
    /// Numbers of the proposals that were committed and applied.
    pub(super) accepted: Vec<u64>,
    next_number: u64,
    pub(super) next_id: u64,
    pub(super) rng: StdRng,
}

pub(super) fn config() -> Config {
    Config {
        election_timeout: Duration::from_millis(200),
        heartbeat: Duration::from_millis(30),
        max_append_bytes: 200,
        max_appends_in_flight: 2,
        max_chunk_bytes: 5,
        trailing_entries: 2,
    }
}

pub(super) fn member(id: ReplicaId) -> Member {
    Member {
        id,
        name: id.to_string(),
        address: ([127, 0, 0, 1], 1).into(),
        role: MemberRole::Voter,
    }
}

/// Returns whether a batch has data to store; a crash in another batch would lose nothing.
const fn has_data_to_store(effects: &Effects) -> bool {
    effects.hard.is_some() || effects.install.is_some() || !effects.entries.is_empty()
}

impl Sim {
    pub(super) fn new(count: usize) -> Self {
        let ids = (1..=count as u64).map(ReplicaId);
        let voters: Vec<_> = ids.clone().map(member).collect();
        let disk = Stored {
            hard: HardState::bootstrapped(&voters),
            snapshot: Some(Snapshot {
                members: voters,
                ..Snapshot::default()
            }),
            entries: Vec::new(),
        };
        let nodes = ids.map(|id| Node::new(id, disk.clone())).collect();
        let mut sim = Self {
            nodes,
            now: Instant::now(),
            in_flight: Vec::new(),
            cut_links: BTreeSet::new(),
            lost_disks: BTreeSet::new(),
            committed: Vec::new(),
            leaders: BTreeMap::new(),
            reads: HashMap::new(),
            answers: Vec::new(),
            accepted: Vec::new(),
            next_number: 0,
            next_id: count as u64 + 1,
            rng: StdRng::seed_from_u64(1),
        };
        (0..count).for_each(|replica| sim.restart(replica));
        sim
    }

    pub(super) fn reseed(&mut self, seed: u64) {
        self.rng = StdRng::seed_from_u64(seed);
    }

    /// Runs the simulation for `time`. Messages have random delays and so arrive out of order.
    pub(super) fn run(&mut self, time: Duration, link_faults: LinkFaults) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver(link_faults);
            for replica in 0..self.nodes.len() {
                let due = |raft: &Raft| raft.deadline() <= self.now;
                if self.nodes[replica].raft.as_ref().is_some_and(due) {
                    self.step(replica, Event::Tick);
                }
                self.flush(replica, link_faults);
            }
        }
    }

    fn deliver(&mut self, link_faults: LinkFaults) {
        let now = self.now;
        let due: Vec<_> = self
            .in_flight
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        for (_, from, message) in due {
            let to = self.nodes.iter().position(|node| node.id == message.to);
            let Some(to) = to.filter(|to| !self.cut_links.contains(&(from, *to))) else {
                continue;
            };
            self.step(to, Event::Message(message));
            // Flushes at random, so that batches have one or several events.
            if self.rng.random_bool(0.5) {
                self.flush(to, link_faults);
            }
        }
    }

    pub(super) fn step(&mut self, replica: usize, event: Event) {
        let random = self.rng.random();
        if let Some(raft) = &mut self.nodes[replica].raft {
            raft.step(event, self.now, random);
        }
    }

    /// Sends the request that `event` creates from a new number, and returns that number.
    pub(super) fn request(&mut self, replica: usize, event: impl FnOnce(u64) -> Event) -> u64 {
        self.next_number += 1;
        let number = self.next_number;
        let event = event(number);
        if matches!(event, Event::Read(_)) {
            self.reads.insert(number, self.committed.len() as u64);
        }
        self.step(replica, event);
        number
    }

    pub(super) fn propose_all(&mut self, replica: usize, count: usize) {
        for _ in 0..count {
            self.propose(replica);
        }
    }

    pub(super) fn propose(&mut self, replica: usize) -> u64 {
        self.request(replica, |number| {
            Event::Propose(number, Bytes::copy_from_slice(&[number as u8]))
        })
    }

    /// Executes the effects of a batch in the order that a real replica uses.
    fn flush(&mut self, replica: usize, link_faults: LinkFaults) {
        let Some(raft) = &mut self.nodes[replica].raft else {
            return;
        };
        let effects = raft.flush(self.now);
        let (role, term) = (raft.role(), raft.term());
        let crash = self.nodes[replica]
            .crash
            .filter(|_| has_data_to_store(&effects));
        if crash.is_none_or(|crash| crash.synced) {
            self.nodes[replica].save(&effects);
        }
        if let Some(crash) = crash {
            self.stop(replica);
            if crash.restart {
                self.restart(replica);
            }
            return;
        }
        if role == Role::Leader {
            let id = self.nodes[replica].id;
            let first = *self.leaders.entry(term).or_insert(id);
            assert_eq!(first, id, "two leaders in term {term}");
        }
        for (_, message) in effects.send {
            self.transmit(replica, &message, link_faults);
        }
        if let Some(snapshot) = effects.install {
            self.install(replica, &snapshot);
        }
        for (entry, number) in effects.apply {
            self.apply(replica, entry);
            self.accepted.extend(number);
        }
        for (number, answer) in effects.answers {
            self.check_read(replica, number, &answer);
            self.answers.push((number, answer));
        }
        self.compact(replica);
    }

    fn transmit(&mut self, from: usize, message: &Message, link_faults: LinkFaults) {
        let encoded = crate::wire::encode(message).unwrap();
        let copies = 1 + usize::from(self.rng.random_ratio(link_faults.duplicates, 100));
        for _ in 0..copies {
            if self.rng.random_ratio(link_faults.loss, 100) {
                continue;
            }
            let delay = Duration::from_millis(self.rng.random_range(1..MAX_DELAY_MS));
            let copy = crate::wire::decode(&encoded).unwrap();
            self.in_flight.push((self.now + delay, from, copy));
        }
    }

    fn apply(&mut self, replica: usize, entry: Entry) {
        let node = &mut self.nodes[replica];
        assert_eq!(
            entry.at.index,
            node.applied + 1,
            "entries are applied in order"
        );
        node.applied += 1;
        if let Payload::Command(command) = &entry.payload {
            node.state.extend_from_slice(command);
        }
        match self.committed.get(entry.at.index as usize - 1) {
            Some(known) => assert_eq!(*known, entry, "a committed entry has changed"),
            None => self.committed.push(entry),
        }
    }

    /// Returns the commands among the first `count` committed entries.
    fn commands(&self, count: u64) -> Vec<u8> {
        let commands = self.committed[..count as usize].iter();
        commands
            .filter_map(|entry| match &entry.payload {
                Payload::Command(command) => Some(command.to_vec()),
                _ => None,
            })
            .flatten()
            .collect()
    }

    fn install(&mut self, replica: usize, snapshot: &Snapshot) {
        let index = snapshot.at.index;
        assert!(
            index <= self.committed.len() as u64,
            "snapshot contains uncommitted entries"
        );
        assert_eq!(
            self.commands(index),
            snapshot.data,
            "snapshot differs from the committed commands"
        );
        self.nodes[replica].load();
    }

    fn check_read(&self, replica: usize, number: u64, answer: &Answer) {
        if let (Some(committed), Answer::Done) = (self.reads.get(&number), answer) {
            let applied = self.nodes[replica].applied;
            assert!(
                applied >= *committed,
                "stale read: applied index {applied}, committed index {committed}"
            );
        }
    }

    fn compact(&mut self, replica: usize) {
        let now = self.now;
        let node = &mut self.nodes[replica];
        let Some(raft) = &mut node.raft else {
            return;
        };
        let stored = node.disk.snapshot.as_ref().map_or(0, |s| s.at.index);
        if node.applied < stored + SNAPSHOT_AFTER || raft.is_sending_snapshot(now) {
            return;
        }
        let snapshot = Snapshot {
            data: Bytes::from(node.state.clone()),
            ..raft.snapshot_at(node.applied).unwrap()
        };
        node.disk
            .entries
            .retain(|entry| entry.at.index > node.applied);
        node.disk.snapshot = Some(snapshot.clone());
        raft.step(Event::SnapshotStored(snapshot), now, 0);
    }

    /// Returns the replica that leads in the highest term.
    pub(super) fn leader(&self) -> Option<usize> {
        let leads = |raft: &Raft| raft.role() == Role::Leader;
        let replicas =
            (0..self.nodes.len()).filter(|replica| self.raft(*replica).is_some_and(leads));
        replicas.max_by_key(|replica| self.raft(*replica).map(Raft::term))
    }

    pub(super) fn raft(&self, replica: usize) -> Option<&Raft> {
        self.nodes[replica].raft.as_ref()
    }

    /// Runs without faults until all members have applied a new command.
    pub(super) fn converge(&mut self) {
        /// 100 simulated seconds, enough for hundreds of elections: an election may fail at random.
        const ROUNDS: usize = 500;
        self.heal();
        let mut proposal = None;
        for _ in 0..ROUNDS {
            self.restart_stopped();
            self.run(Duration::from_millis(200), NO_FAULTS);
            let done = proposal.is_some_and(|number| self.accepted.contains(&number));
            let members = self.committed_members();
            let is_member = |node: &&Node| members.iter().any(|member| member.id == node.id);
            let newest = self.committed.len() as u64;
            if done
                && self
                    .nodes
                    .iter()
                    .filter(is_member)
                    .all(|n| n.applied == newest)
            {
                return;
            }
            if let Some(replica) = self.leader().filter(|_| !done) {
                proposal = Some(self.propose(replica));
            }
        }
        let nodes: Vec<_> = self.nodes.iter().map(Node::summary).collect();
        panic!(
            "the group no longer accepts commands:
{}",
            nodes.join(
                "
"
            )
        );
    }
}
