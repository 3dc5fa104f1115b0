//! Simulates a small distribution tree in virtual time: the reducers of the programs over a network
//! with injected faults.

mod checks;
mod nodes;

pub use self::nodes::{NetworkFaults, daemon_name, data_centre, sample_change};

use {
    self::nodes::{Control, Message, Node, endpoint, index_of, member, new_control},
    anvilbeam::{
        edits::{self, EditCommand, EditId, EditReply, State},
        model::*,
        relays::*,
        versions::{Change, digest_of},
        wire,
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

pub const CONTROLS: usize = 3;
pub const DAEMONS: usize = 16;
pub const TICK: Duration = Duration::from_millis(100);

#[derive(Debug)]
pub struct Tree {
    pub now: Instant,
    rng_state: u64,
    pub controls: Vec<Control>,
    pub leader: usize,
    /// A former leader that is partitioned from its group and still answers daemons.
    pub isolated: Option<usize>,
    /// Whether no control replica receives or sends anything.
    pub control_down: bool,
    /// Encoded edit commands, as the control replicas apply them.
    log: Vec<Vec<u8>>,
    /// `None` for a crashed daemon.
    pub daemons: Vec<Option<Uplink>>,
    /// Number of daemon starts so far, which is the incarnation of the daemon started last.
    incarnations: u64,
    pub network_faults: NetworkFaults,
    messages_sent: u64,
    /// Messages by delivery time and number.
    in_flight: BTreeMap<(Instant, u64), (Node, Message)>,
    /// Digest of each accepted version.
    pub accepted: BTreeMap<Version, Digest>,
    /// Version that each daemon, or its incarnation before a restart, last had in force.
    last_version: Vec<Version>,
    /// Whether a daemon must not go below `last_version`: false for one that starts while faults
    /// may hide the version floor from it.
    pub check_monotonic: Vec<bool>,
}

impl Tree {
    pub fn new(seed: u64) -> Self {
        let now = Instant::now();
        let mut tree = Self {
            now,
            rng_state: seed,
            controls: (0..CONTROLS)
                .map(|n| new_control(u64::from(n == 0), State::default(), now))
                .collect(),
            leader: 0,
            isolated: None,
            control_down: false,
            log: Vec::new(),
            daemons: vec![None; DAEMONS],
            incarnations: 0,
            network_faults: NetworkFaults::default(),
            messages_sent: 0,
            in_flight: BTreeMap::new(),
            accepted: BTreeMap::from([(Version(0), digest_of(&Config::default()))]),
            last_version: vec![Version(0); DAEMONS],
            check_monotonic: vec![true; DAEMONS],
        };
        (0..DAEMONS).for_each(|daemon| tree.start(daemon));
        tree
    }

    fn next_random(&mut self) -> u64 {
        self.rng_state = self
            .rng_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.rng_state ^ (self.rng_state >> 29)
    }

    /// Starts or restarts a daemon, without any stored state.
    pub fn start(&mut self, daemon: usize) {
        self.incarnations += 1;
        let mut uplink = Uplink::new(member(daemon), self.incarnations, CONTROLS as u32, self.now);
        let members = (0..DAEMONS).filter(|other| data_centre(*other) == data_centre(daemon));
        let members = members
            .map(|other| (daemon_name(other), member(other).address))
            .collect();
        uplink.step(self.now, 0, Event::Members(members));
        uplink.step(self.now, 0, Event::Endpoints(vec![endpoint(daemon)]));
        self.daemons[daemon] = Some(uplink);
        self.check_monotonic[daemon] = !self.network_faults.loss && !self.control_down;
    }

    /// Commits an edit, applies it at all replicas but an isolated one, and returns the reply of
    /// the leader.
    pub fn edit(&mut self, id: u128, base: Version, change: Change) -> EditReply {
        let command = EditCommand {
            edit_id: EditId(id),
            base,
            change,
            time: 0,
            interface_data: None,
        };
        self.log.push(wire::encode(&command).unwrap());
        let mut reply = EditReply::Invalid {
            reason: String::new(),
        };
        for replica in 0..CONTROLS {
            let out = self.catch_up(replica);
            if replica == self.leader {
                reply = wire::decode(&out).unwrap();
            }
        }
        let store = self.controls[self.leader].state.store();
        self.accepted
            .insert(store.version(), digest_of(store.config()));
        reply
    }

    fn catch_up(&mut self, replica: usize) -> Vec<u8> {
        let mut out = Vec::new();
        if self.isolated == Some(replica) {
            return out;
        }
        let state = &mut self.controls[replica].state;
        for (index, command) in (1..).zip(&self.log).skip(state.applied() as usize) {
            out = edits::apply(state, index, command);
        }
        out
    }

    /// Makes the next replica the leader; the old one is isolated or steps down.
    pub fn change_leader(&mut self, isolate: bool) {
        let old = self.leader;
        let term = self.controls[old].term + 1;
        self.leader = (old + 1) % CONTROLS;
        if self.isolated == Some(self.leader) {
            self.rejoin();
        }
        let state = self.controls[self.leader].state.clone();
        self.controls[self.leader] = new_control(term, state, self.now);
        if isolate && self.isolated.is_none() {
            self.isolated = Some(old);
        } else {
            self.step_down(old);
        }
    }

    /// Ends the isolation of the former leader.
    pub fn rejoin(&mut self) {
        if let Some(replica) = self.isolated.take() {
            self.catch_up(replica);
            self.step_down(replica);
        }
    }

    fn step_down(&mut self, replica: usize) {
        let children = self.controls[replica].children.clear();
        for (child, stream) in children {
            self.send_to_daemon(&child, Message::StreamLost(stream));
        }
    }

    #[expect(
        clippy::needless_pass_by_value,
        reason = "sending consumes the message, as on a real network"
    )]
    fn send(&mut self, to: Node, message: Message) {
        if self.network_faults.loss && self.next_random().is_multiple_of(8) {
            return;
        }
        let copies = if self.network_faults.duplicate && self.next_random().is_multiple_of(8) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delay_ms = if self.network_faults.delay {
                self.next_random() % 180
            } else {
                10
            };
            self.messages_sent += 1;
            let deliver_at = self.now + Duration::from_millis(delay_ms);
            self.in_flight
                .insert((deliver_at, self.messages_sent), (to, message.clone()));
        }
    }

    /// Advances time by one tick, delivers the messages that are due, and checks the invariants.
    pub fn tick(&mut self) {
        let end = self.now + TICK;
        while let Some(((deliver_at, _), _)) = self
            .in_flight
            .first_key_value()
            .filter(|((deliver_at, _), _)| *deliver_at <= end)
        {
            self.now = self.now.max(*deliver_at);
            let (_, (to, message)) = self.in_flight.pop_first().unwrap();
            match to {
                Node::Control(replica) => self.deliver_to_control(replica, message),
                Node::Daemon(daemon) => self.deliver_to_daemon(daemon, message),
            }
        }
        self.now = end;
        (0..DAEMONS).for_each(|daemon| self.step(daemon, Event::Tick));
        (0..CONTROLS).for_each(|replica| self.send_updates(replica));
        self.check_invariants();
    }

    /// Returns whether a replica acts as the leader; an isolated former leader does as well.
    fn is_leader(&self, replica: usize) -> bool {
        replica == self.leader || self.isolated == Some(replica)
    }

    fn send_updates(&mut self, replica: usize) {
        if self.control_down || !self.is_leader(replica) {
            return;
        }
        let now = self.now;
        let control = &mut self.controls[replica];
        control.children.expire(now);
        let frames = control
            .children
            .frames(control.state.store(), &control.directory, 0, now);
        for (child, update) in frames.unwrap() {
            self.send_to_daemon(&child, Message::Update(update));
        }
    }

    fn deliver_to_control(&mut self, replica: usize, message: Message) {
        if self.control_down {
            return;
        }
        let (now, leader, is_leader) = (self.now, self.leader, self.is_leader(replica));
        let control = &mut self.controls[replica];
        match message {
            Message::Attach(daemon, attach) => {
                // An isolated leader has no quorum to confirm its version with.
                let floor = (replica == leader).then(|| control.state.store().version());
                let reply = if is_leader {
                    control.table.attach(&attach, floor, now)
                } else {
                    AttachReply::NotLeader {
                        leader: Some(leader as u32),
                    }
                };
                self.send(
                    Node::Daemon(daemon),
                    Message::AttachReply(replica as u32, reply),
                );
            }
            Message::Subscribe(daemon, req) if is_leader => {
                let reply = control.children.subscribe(&req, 0, now);
                self.send(Node::Daemon(daemon), Message::Subscribed(req.stream, reply));
            }
            Message::Report(report) if is_leader && control.children.report(&report, now) => {
                report
                    .sets
                    .iter()
                    .for_each(|set| drop(control.directory.apply(set, now)));
                control.table.report(&report, now);
            }
            Message::ChildLost(child, stream) => control.children.stream_ended(&child, stream),
            _ => {}
        }
    }

    fn deliver_to_daemon(&mut self, daemon: usize, message: Message) {
        let Some(uplink) = &self.daemons[daemon] else {
            return;
        };
        let event = match message {
            Message::AttachReply(control, reply) => Event::Attach {
                control,
                reply: Some(reply),
            },
            Message::Subscribe(_, req) => Event::Subscribe(req),
            Message::Subscribed(stream, reply) => Event::Subscribed {
                stream,
                reply: Some(reply),
            },
            Message::Update(update) => Event::Update(update),
            Message::StreamLost(stream) => Event::StreamLost { stream },
            Message::Report(report) => Event::Report(report),
            Message::ChildLost(child, stream) => Event::ChildLost { child, stream },
            Message::VersionReply(peer, version) => Event::PeerVersion {
                peer: daemon_name(peer),
                version,
            },
            Message::FetchReply(parts) => Event::Fetched(parts),
            Message::VersionRequest(peer) => {
                let version = uplink.in_force().map(|cfg| cfg.version);
                return self.send(Node::Daemon(peer), Message::VersionReply(daemon, version));
            }
            Message::Fetch(peer, version) => {
                let parts = uplink.config_parts_since(version).unwrap();
                return self.send(Node::Daemon(peer), Message::FetchReply(parts));
            }
            Message::Attach(..) => return,
        };
        self.step(daemon, event);
    }

    /// Applies an event to a daemon, if it runs, and sends the messages of its effects.
    pub fn step(&mut self, daemon: usize, event: Event) {
        let (now, random) = (self.now, self.next_random());
        let Some(uplink) = &mut self.daemons[daemon] else {
            return;
        };
        let parent_before = uplink.parent().map(|(parent, _)| parent.map(index_of));
        for effect in uplink.step(now, random, event) {
            match effect {
                Effect::AskControl { control, attach } => {
                    self.send_to_control(control, Message::Attach(daemon, attach));
                }
                Effect::SubscribeControl { control, req } => {
                    self.send_to_control(control, Message::Subscribe(daemon, req));
                }
                Effect::SubscribeDaemon { name, req, .. } => {
                    self.send_to_daemon(&name, Message::Subscribe(daemon, req));
                }
                Effect::Unsubscribe { stream } => {
                    let ended = Message::ChildLost(daemon_name(daemon), stream);
                    self.send_to_parent(parent_before.flatten(), &ended);
                }
                Effect::AskPeers(peers) => {
                    let request_version =
                        |(peer, _): &_| self.send_to_daemon(peer, Message::VersionRequest(daemon));
                    peers.iter().for_each(request_version);
                }
                Effect::Fetch { name, version, .. } => {
                    self.send_to_daemon(&name, Message::Fetch(daemon, version));
                }
                Effect::Report(report) => {
                    let parent = self.daemons[daemon].as_ref().and_then(Uplink::parent);
                    let parent = parent.and_then(|(parent, _)| parent.map(index_of));
                    self.send_to_parent(parent, &Message::Report(report));
                }
                Effect::Answer {
                    child,
                    stream,
                    reply,
                } => {
                    self.send_to_daemon(&child, Message::Subscribed(stream, reply));
                }
                Effect::Update { child, update } => {
                    self.send_to_daemon(&child, Message::Update(update));
                }
                Effect::DropChildren(children) => {
                    let end_stream = |(child, stream): &_| {
                        self.send_to_daemon(child, Message::StreamLost(*stream));
                    };
                    children.iter().for_each(end_stream);
                }
                Effect::Publish(_) | Effect::PublishEndpoints(_) => {}
            }
        }
    }

    fn send_to_control(&mut self, control: u32, message: Message) {
        self.send(Node::Control(control as usize), message);
    }

    fn send_to_daemon(&mut self, daemon: &DaemonName, message: Message) {
        self.send(Node::Daemon(index_of(daemon)), message);
    }

    /// Sends to the parent daemon, or to all control replicas if `None`: only the one that serves
    /// the stream handles the message.
    fn send_to_parent(&mut self, parent: Option<usize>, message: &Message) {
        match parent {
            Some(parent) => self.send(Node::Daemon(parent), message.clone()),
            None => (0..CONTROLS).for_each(|n| self.send(Node::Control(n), message.clone())),
        }
    }
}
