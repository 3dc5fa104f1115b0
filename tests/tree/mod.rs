//! A small tree of real reducers over a simulated network with faults, in virtual time.

mod checks;
mod nodes;

pub use self::nodes::{Noise, change, data_centre, name};

use {
    self::nodes::{Control, Message, Node, control, endpoint, member, number},
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
    random: u64,
    pub controls: Vec<Control>,
    pub leader: usize,
    /// An old leader that is cut off from the group and still answers daemons.
    pub isolated: Option<usize>,
    pub control_out: bool,
    log: Vec<Vec<u8>>,
    pub daemons: Vec<Option<Uplink>>,
    starts: u64,
    pub noise: Noise,
    sent: u64,
    net: BTreeMap<(Instant, u64), (Node, Message)>,
    pub accepted: BTreeMap<Version, Digest>,
    /// Highest version that a daemon or its predecessors had in force.
    before: Vec<Version>,
    /// Whether nothing has hidden the floor since the start of the daemon.
    pub strict: Vec<bool>,
}

impl Tree {
    pub fn new(seed: u64) -> Self {
        let now = Instant::now();
        let mut tree = Self {
            now,
            random: seed,
            controls: (0..CONTROLS)
                .map(|n| control(u64::from(n == 0), State::default(), now))
                .collect(),
            leader: 0,
            isolated: None,
            control_out: false,
            log: Vec::new(),
            daemons: vec![None; DAEMONS],
            starts: 0,
            noise: Noise::default(),
            sent: 0,
            net: BTreeMap::new(),
            accepted: BTreeMap::from([(Version(0), digest_of(&Config::default()))]),
            before: vec![Version(0); DAEMONS],
            strict: vec![true; DAEMONS],
        };
        (0..DAEMONS).for_each(|daemon| tree.start(daemon));
        tree
    }

    fn draw(&mut self) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.random ^ (self.random >> 29)
    }

    /// Starts a daemon without any state.
    pub fn start(&mut self, daemon: usize) {
        self.starts += 1;
        let mut uplink = Uplink::new(member(daemon), self.starts, CONTROLS as u32, self.now);
        let members = (0..DAEMONS).filter(|other| data_centre(*other) == data_centre(daemon));
        let members = members
            .map(|other| (name(other), member(other).address))
            .collect();
        uplink.step(self.now, 0, Event::Members(members));
        uplink.step(self.now, 0, Event::Endpoints(vec![endpoint(daemon)]));
        self.daemons[daemon] = Some(uplink);
        self.strict[daemon] = !self.noise.loss && !self.control_out;
    }

    /// Sends an edit to the leader; it is applied by all replicas but an isolated one.
    pub fn edit(&mut self, id: u128, base: Version, change: Change) -> EditReply {
        let command = EditCommand {
            edit_id: EditId(id),
            base,
            change,
            time: 0,
            origin: None,
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

    /// Makes the next replica the leader; the old one is cut off or follows.
    pub fn change_leader(&mut self, isolate: bool) {
        let old = self.leader;
        let term = self.controls[old].term + 1;
        self.leader = (old + 1) % CONTROLS;
        if self.isolated == Some(self.leader) {
            self.rejoin();
        }
        let state = self.controls[self.leader].state.clone();
        self.controls[self.leader] = control(term, state, self.now);
        if isolate && self.isolated.is_none() {
            self.isolated = Some(old);
        } else {
            self.follow(old);
        }
    }

    pub fn rejoin(&mut self) {
        if let Some(replica) = self.isolated.take() {
            self.catch_up(replica);
            self.follow(replica);
        }
    }

    fn follow(&mut self, replica: usize) {
        let children = self.controls[replica].children.clear();
        for (child, stream) in children {
            self.tell(&child, Message::StreamLost(stream));
        }
    }

    #[expect(
        clippy::needless_pass_by_value,
        reason = "a sent message is given away"
    )]
    fn send(&mut self, to: Node, message: Message) {
        if self.noise.loss && self.draw().is_multiple_of(8) {
            return;
        }
        let copies = if self.noise.repeat && self.draw().is_multiple_of(8) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let late = if self.noise.delay {
                self.draw() % 180
            } else {
                10
            };
            self.sent += 1;
            let at = self.now + Duration::from_millis(late);
            self.net.insert((at, self.sent), (to, message.clone()));
        }
    }

    /// Advances by one tick and delivers what is due.
    pub fn tick(&mut self) {
        let end = self.now + TICK;
        while let Some(((at, _), _)) = self.net.first_key_value().filter(|((at, _), _)| *at <= end)
        {
            self.now = self.now.max(*at);
            let (_, (to, message)) = self.net.pop_first().unwrap();
            match to {
                Node::Control(replica) => self.at_control(replica, message),
                Node::Daemon(daemon) => self.at_daemon(daemon, message),
            }
        }
        self.now = end;
        (0..DAEMONS).for_each(|daemon| self.step(daemon, Event::Tick));
        (0..CONTROLS).for_each(|replica| self.serve(replica));
        self.check();
    }

    fn leads(&self, replica: usize) -> bool {
        replica == self.leader || self.isolated == Some(replica)
    }

    fn serve(&mut self, replica: usize) {
        if self.control_out || !self.leads(replica) {
            return;
        }
        let now = self.now;
        let control = &mut self.controls[replica];
        control.children.expire(now);
        let frames = control
            .children
            .frames(control.state.store(), &control.directory, 0, now);
        for (child, update) in frames.unwrap() {
            self.tell(&child, Message::Update(update));
        }
    }

    fn at_control(&mut self, replica: usize, message: Message) {
        if self.control_out {
            return;
        }
        let (now, leader, leads) = (self.now, self.leader, self.leads(replica));
        let control = &mut self.controls[replica];
        match message {
            Message::Attach(daemon, attach) => {
                // A leader that is cut off can't confirm its version.
                let floor = (replica == leader).then(|| control.state.store().version());
                let reply = if leads {
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
            Message::Subscribe(daemon, req) if leads => {
                let reply = control.children.subscribe(&req, 0, now);
                self.send(Node::Daemon(daemon), Message::Subscribed(req.stream, reply));
            }
            Message::Report(report) if leads && control.children.report(&report, now) => {
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

    fn at_daemon(&mut self, daemon: usize, message: Message) {
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
            Message::Version(peer, version) => Event::PeerVersion {
                peer: name(peer),
                version,
            },
            Message::Fetched(parts) => Event::Fetched(parts),
            Message::AskVersion(peer) => {
                let version = uplink.in_force().map(|cfg| cfg.version);
                return self.send(Node::Daemon(peer), Message::Version(daemon, version));
            }
            Message::Fetch(peer, version) => {
                let parts = uplink.config_parts_since(version).unwrap();
                return self.send(Node::Daemon(peer), Message::Fetched(parts));
            }
            Message::Attach(..) => return,
        };
        self.step(daemon, event);
    }

    pub fn step(&mut self, daemon: usize, event: Event) {
        let (now, random) = (self.now, self.draw());
        let Some(uplink) = &mut self.daemons[daemon] else {
            return;
        };
        let link = uplink.parent().map(|(parent, _)| parent.map(number));
        for effect in uplink.step(now, random, event) {
            match effect {
                Effect::AskControl { control, attach } => {
                    self.ask(control, Message::Attach(daemon, attach));
                }
                Effect::SubscribeControl { control, req } => {
                    self.ask(control, Message::Subscribe(daemon, req));
                }
                Effect::SubscribeDaemon { name, req, .. } => {
                    self.tell(&name, Message::Subscribe(daemon, req));
                }
                Effect::Unsubscribe { stream } => {
                    let lost = Message::ChildLost(name(daemon), stream);
                    self.tell_parent(link.flatten(), &lost);
                }
                Effect::AskPeers(peers) => {
                    let ask = |(peer, _): &_| self.tell(peer, Message::AskVersion(daemon));
                    peers.iter().for_each(ask);
                }
                Effect::Fetch { name, version, .. } => {
                    self.tell(&name, Message::Fetch(daemon, version));
                }
                Effect::Report(report) => {
                    let parent = self.daemons[daemon].as_ref().and_then(Uplink::parent);
                    let parent = parent.and_then(|(parent, _)| parent.map(number));
                    self.tell_parent(parent, &Message::Report(report));
                }
                Effect::Answer {
                    child,
                    stream,
                    reply,
                } => {
                    self.tell(&child, Message::Subscribed(stream, reply));
                }
                Effect::Update { child, update } => self.tell(&child, Message::Update(update)),
                Effect::DropChildren(children) => {
                    let drop = |(child, stream): &_| self.tell(child, Message::StreamLost(*stream));
                    children.iter().for_each(drop);
                }
                Effect::Publish(_) | Effect::PublishEndpoints(_) => {}
            }
        }
    }

    fn ask(&mut self, control: u32, message: Message) {
        self.send(Node::Control(control as usize), message);
    }

    fn tell(&mut self, daemon: &DaemonName, message: Message) {
        self.send(Node::Daemon(number(daemon)), message);
    }

    /// Of the control replicas, only the one that knows the stream takes the message.
    fn tell_parent(&mut self, parent: Option<usize>, message: &Message) {
        match parent {
            Some(parent) => self.send(Node::Daemon(parent), message.clone()),
            None => (0..CONTROLS).for_each(|n| self.send(Node::Control(n), message.clone())),
        }
    }
}
