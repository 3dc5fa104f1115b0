//! A group of reducers on a simulated network with simulated disks, and the oracle.

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
const LONGEST_DELAY_MS: u64 = 40;
/// Entries after which a replica takes a snapshot.
const SNAPSHOT_AFTER: u64 = 6;

/// Share of messages that are lost and duplicated, in percent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Weather {
    pub(super) loss: u32,
    pub(super) duplicates: u32,
}

pub(super) const CALM: Weather = Weather {
    loss: 0,
    duplicates: 0,
};

#[derive(Debug)]
pub(super) struct Sim {
    pub(super) nodes: Vec<Node>,
    pub(super) now: Instant,
    in_flight: Vec<(Instant, usize, Message)>,
    /// Links that deliver nothing, by sender and receiver.
    pub(super) cut: BTreeSet<(usize, usize)>,
    /// Identities whose disk is gone.
    pub(super) lost: BTreeSet<ReplicaId>,
    /// All entries that any replica has applied.
    pub(super) committed: Vec<Entry>,
    leaders: BTreeMap<u64, ReplicaId>,
    /// Reads by number, with the committed index when they came in.
    reads: HashMap<u64, u64>,
    pub(super) answers: Vec<(u64, Answer)>,
    pub(super) accepted: Vec<u64>,
    next_number: u64,
    pub(super) next_id: u64,
    pub(super) rng: StdRng,
}

pub(super) fn config() -> Config {
    Config {
        election_timeout: Duration::from_millis(200),
        heartbeat: Duration::from_millis(30),
        append_bytes: 200,
        appends_in_flight: 2,
        chunk_bytes: 5,
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

/// Whether a batch has something to store; other batches are not worth a crash.
const fn stores(effects: &Effects) -> bool {
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
            cut: BTreeSet::new(),
            lost: BTreeSet::new(),
            committed: Vec::new(),
            leaders: BTreeMap::new(),
            reads: HashMap::new(),
            answers: Vec::new(),
            accepted: Vec::new(),
            next_number: 0,
            next_id: count as u64 + 1,
            rng: StdRng::seed_from_u64(1),
        };
        (0..count).for_each(|slot| sim.restart(slot));
        sim
    }

    pub(super) fn reseed(&mut self, seed: u64) {
        self.rng = StdRng::seed_from_u64(seed);
    }

    /// Lets `time` pass; messages are delivered after random delays, so out of order.
    pub(super) fn run(&mut self, time: Duration, weather: Weather) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver(weather);
            for slot in 0..self.nodes.len() {
                let due = |raft: &Raft| raft.deadline() <= self.now;
                if self.nodes[slot].raft.as_ref().is_some_and(due) {
                    self.handle(slot, Event::Tick);
                }
                self.flush(slot, weather);
            }
        }
    }

    fn deliver(&mut self, weather: Weather) {
        let now = self.now;
        let due: Vec<_> = self
            .in_flight
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        for (_, from, message) in due {
            let to = self.nodes.iter().position(|node| node.id == message.to);
            let Some(to) = to.filter(|to| !self.cut.contains(&(from, *to))) else {
                continue;
            };
            self.handle(to, Event::Message(message));
            // Batches of one and of several events.
            if self.rng.random_bool(0.5) {
                self.flush(to, weather);
            }
        }
    }

    pub(super) fn handle(&mut self, slot: usize, event: Event) {
        let random = self.rng.random();
        if let Some(raft) = &mut self.nodes[slot].raft {
            raft.handle(event, self.now, random);
        }
    }

    /// Number of the request that `event` makes.
    pub(super) fn request(&mut self, slot: usize, event: impl FnOnce(u64) -> Event) -> u64 {
        self.next_number += 1;
        let number = self.next_number;
        let event = event(number);
        if matches!(event, Event::Read(_)) {
            self.reads.insert(number, self.committed.len() as u64);
        }
        self.handle(slot, event);
        number
    }

    pub(super) fn propose_all(&mut self, slot: usize, count: usize) {
        for _ in 0..count {
            self.propose(slot);
        }
    }

    pub(super) fn propose(&mut self, slot: usize) -> u64 {
        self.request(slot, |number| {
            Event::Propose(number, Bytes::copy_from_slice(&[number as u8]))
        })
    }

    /// Does what the shell does, in its order.
    fn flush(&mut self, slot: usize, weather: Weather) {
        let Some(raft) = &mut self.nodes[slot].raft else {
            return;
        };
        let effects = raft.flush(self.now);
        let (role, term) = (raft.role(), raft.term());
        let crash = self.nodes[slot].crash.filter(|_| stores(&effects));
        if crash.is_none_or(|crash| crash.synced) {
            self.nodes[slot].save(&effects);
        }
        if let Some(crash) = crash {
            self.stop(slot);
            if crash.restart {
                self.restart(slot);
            }
            return;
        }
        if role == Role::Leader {
            let id = self.nodes[slot].id;
            let first = *self.leaders.entry(term).or_insert(id);
            assert_eq!(first, id, "two leaders in term {term}");
        }
        for (_, message) in effects.send {
            self.post(slot, &message, weather);
        }
        if let Some(snapshot) = effects.install {
            self.install(slot, &snapshot);
        }
        for (entry, number) in effects.apply {
            self.apply(slot, entry);
            self.accepted.extend(number);
        }
        for (number, answer) in effects.answers {
            self.check_read(slot, number, &answer);
            self.answers.push((number, answer));
        }
        self.compact(slot);
    }

    fn post(&mut self, from: usize, message: &Message, weather: Weather) {
        let encoded = crate::wire::encode(message).unwrap();
        let copies = 1 + usize::from(self.rng.random_ratio(weather.duplicates, 100));
        for _ in 0..copies {
            if self.rng.random_ratio(weather.loss, 100) {
                continue;
            }
            let delay = Duration::from_millis(self.rng.random_range(1..LONGEST_DELAY_MS));
            let copy = crate::wire::decode(&encoded).unwrap();
            self.in_flight.push((self.now + delay, from, copy));
        }
    }

    fn apply(&mut self, slot: usize, entry: Entry) {
        let node = &mut self.nodes[slot];
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

    /// Commands among the first `count` committed entries.
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

    fn install(&mut self, slot: usize, snapshot: &Snapshot) {
        let index = snapshot.at.index;
        assert!(
            index <= self.committed.len() as u64,
            "snapshot of uncommitted entries"
        );
        assert_eq!(
            self.commands(index),
            snapshot.data,
            "snapshot differs from the log"
        );
        self.nodes[slot].load();
    }

    fn check_read(&self, slot: usize, number: u64, answer: &Answer) {
        if let (Some(committed), Answer::Done) = (self.reads.get(&number), answer) {
            let applied = self.nodes[slot].applied;
            assert!(
                applied >= *committed,
                "read at {applied} misses entry {committed}"
            );
        }
    }

    fn compact(&mut self, slot: usize) {
        let now = self.now;
        let node = &mut self.nodes[slot];
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
        raft.handle(Event::Compacted(snapshot), now, 0);
    }

    /// The slot that leads in the highest term.
    pub(super) fn leader(&self) -> Option<usize> {
        let leads = |raft: &Raft| raft.role() == Role::Leader;
        let slots = (0..self.nodes.len()).filter(|slot| self.raft(*slot).is_some_and(leads));
        slots.max_by_key(|slot| self.raft(*slot).map(Raft::term))
    }

    pub(super) fn raft(&self, slot: usize) -> Option<&Raft> {
        self.nodes[slot].raft.as_ref()
    }

    /// Runs in calm weather until all members have applied a new command.
    pub(super) fn settle(&mut self) {
        /// Elections are random; 100 simulated seconds are hundreds of them.
        const ROUNDS: usize = 500;
        self.heal();
        let mut proposal = None;
        for _ in 0..ROUNDS {
            self.restart_stopped();
            self.run(Duration::from_millis(200), CALM);
            let done = proposal.is_some_and(|number| self.accepted.contains(&number));
            let members = self.committed_members();
            let live = |node: &&Node| members.iter().any(|member| member.id == node.id);
            let newest = self.committed.len() as u64;
            if done && self.nodes.iter().filter(live).all(|n| n.applied == newest) {
                return;
            }
            if let Some(slot) = self.leader().filter(|_| !done) {
                proposal = Some(self.propose(slot));
            }
        }
        let nodes: Vec<_> = self.nodes.iter().map(Node::summary).collect();
        panic!(
            "the group does not accept commands any more:
{}",
            nodes.join(
                "
"
            )
        );
    }
}
