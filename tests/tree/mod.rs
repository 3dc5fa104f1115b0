//! Simulates a distribution tree in virtual time: the reducers of the programs over a network with
//! latency, limited links and processors, and injected faults.

#![allow(dead_code, reason = "each test binary uses a part of the simulation")]

mod checks;
mod nodes;

pub use self::nodes::{Control, Message, NetworkFaults, Node, Shape, sample_change};

use {
    anvilbeam::{
        edits::{self, EditCommand, EditId, EditReply, State},
        model::*,
        relays::*,
        versions::{Change, digest_of},
        wire,
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
};

pub const TICK: Duration = Duration::from_millis(100);
/// Time until a connection to a process that does not run fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time of a message between two processes.
const LATENCY: Duration = Duration::from_millis(10);
/// Processor time of one message at a whole core.
const MESSAGE_COST: Duration = Duration::from_micros(150);

/// Processor and link of a process.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Share of a core; `None` does not count processor time.
    pub cores: Option<f64>,
    /// Link in bytes per second; `None` does not limit it.
    pub link: Option<f64>,
}

/// Traffic that a process has sent, and its work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
    pub handled: u64,
}

#[derive(Clone, Debug)]
pub struct Tree {
    pub shape: Shape,
    pub now: Instant,
    rng_state: u64,
    pub controls: Vec<Control>,
    /// `None` during an election.
    pub leader: Option<usize>,
    /// Former leader that is cut off from its group and does not know it yet.
    pub isolated: Option<usize>,
    /// Whether no control replica receives or sends anything.
    pub control_down: bool,
    /// Encoded edit commands, as the control replicas apply them.
    log: Vec<Vec<u8>>,
    /// `None` for a crashed daemon.
    pub daemons: Vec<Option<Uplink>>,
    /// Processes that are frozen: they neither receive nor send.
    pub frozen: Vec<Node>,
    /// Number of starts so far, which is the incarnation of the process started last.
    incarnations: u64,
    pub network_faults: NetworkFaults,
    pub daemon_limits: Limits,
    pub control_limits: Limits,
    messages_sent: u64,
    ticks: usize,
    /// Messages by delivery time and number.
    in_flight: BTreeMap<(Instant, u64), (Node, Message)>,
    /// Sources by child and stream.
    sources: HashMap<(Node, u64), Node>,
    /// Until when the link and the processor of each process are in use.
    link_free: HashMap<Node, Instant>,
    processor_free: HashMap<Node, Instant>,
    pub traffic: HashMap<Node, Traffic>,
    /// Digest of each accepted version.
    pub accepted: BTreeMap<Version, Digest>,
    /// Version that each daemon, or its incarnation before a restart, last had in force.
    last_version: Vec<Version>,
    /// Whether a daemon must not go below `last_version`: false for one that starts while faults
    /// may hide the version floor from it.
    pub check_monotonic: Vec<bool>,
}

impl Tree {
    /// Starts all processes at once; the first replica leads.
    pub fn new(shape: Shape, seed: u64) -> Self {
        let now = Instant::now();
        let unlimited = Limits {
            cores: None,
            link: None,
        };
        let mut tree = Self {
            shape,
            now,
            rng_state: seed,
            controls: Vec::new(),
            leader: Some(0),
            isolated: None,
            control_down: false,
            log: Vec::new(),
            daemons: vec![None; shape.daemons],
            frozen: Vec::new(),
            incarnations: 0,
            network_faults: NetworkFaults::default(),
            daemon_limits: unlimited,
            control_limits: unlimited,
            messages_sent: 0,
            ticks: 0,
            in_flight: BTreeMap::new(),
            sources: HashMap::new(),
            link_free: HashMap::new(),
            processor_free: HashMap::new(),
            traffic: HashMap::new(),
            accepted: BTreeMap::from([(Version(0), digest_of(&Config::default()))]),
            last_version: vec![Version(0); shape.daemons],
            check_monotonic: vec![true; shape.daemons],
        };
        for n in 0..shape.controls {
            let control = tree.new_control(n);
            tree.controls.push(control);
        }
        (0..shape.daemons).for_each(|daemon| tree.start(daemon));
        tree
    }

    fn new_control(&mut self, n: usize) -> Control {
        self.incarnations += 1;
        let member = self.shape.control(n);
        Control {
            state: State::default(),
            hub: Hub::new(member, self.incarnations, Config::default(), self.now)
                .feeding(self.shape.control_children),
            up: true,
            contact: None,
        }
    }

    pub fn next_random(&mut self) -> u64 {
        self.rng_state = self
            .rng_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.rng_state ^ (self.rng_state >> 29)
    }

    /// Starts or restarts a daemon, without any stored state.
    pub fn start(&mut self, daemon: usize) {
        self.crash(daemon);
        self.incarnations += 1;
        let member = self.shape.daemon(daemon);
        // The settings name a part of the replicas.
        let seeds = (0..self.shape.controls.min(3)).map(|n| Node::Control(n).address());
        let mut uplink = Uplink::new(member, self.incarnations, seeds.collect(), self.now)
            .feeding(self.shape.daemon_children);
        if daemon.is_multiple_of(self.shape.announcing) {
            let endpoint = self.shape.endpoint(daemon);
            uplink.step(self.now, 0, Event::Endpoints(vec![endpoint]));
        }
        self.daemons[daemon] = Some(uplink);
        self.check_monotonic[daemon] = !self.network_faults.loss && !self.control_down;
    }

    /// Kills a daemon; its connections are reset.
    pub fn crash(&mut self, daemon: usize) {
        if self.daemons[daemon].take().is_some() {
            self.reset_connections(Node::Daemon(daemon));
        }
    }

    /// Kills a control replica; its connections are reset. Another replica leads after an election.
    pub fn crash_control(&mut self, replica: usize) {
        self.controls[replica].up = false;
        if self.leader == Some(replica) {
            self.leader = None;
        }
        self.reset_connections(Node::Control(replica));
    }

    /// Starts a replica that was killed; its log is kept.
    pub fn start_control(&mut self, replica: usize) {
        let fresh = self.new_control(replica);
        self.controls[replica] = fresh;
        self.catch_up(replica);
    }

    fn reset_connections(&mut self, node: Node) {
        let streams: Vec<_> = self
            .sources
            .iter()
            .filter(|((child, _), source)| *child == node || **source == node)
            .map(|((child, stream), source)| (*child, *stream, *source))
            .collect();
        for (child, stream, source) in streams {
            self.sources.remove(&(child, stream));
            if child == node {
                let child = self.name_of(child);
                self.send_event(node, source, StreamEvent::ChildLost { child, stream });
            } else {
                self.send_event(node, child, StreamEvent::Lost { stream });
            }
        }
    }

    fn name_of(&self, node: Node) -> DaemonName {
        match node {
            Node::Control(n) => self.shape.control(n).daemon,
            Node::Daemon(n) => self.shape.daemon(n).daemon,
        }
    }

    /// Commits an edit, applies it at all replicas that are in the majority, and returns the reply
    /// of the leader.
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
        for replica in 0..self.shape.controls {
            let out = self.catch_up(replica);
            if self.leader == Some(replica) {
                reply = wire::decode(&out).unwrap();
            }
        }
        let store = self.newest_state().store();
        let accepted = (store.version(), digest_of(store.config()));
        self.accepted.insert(accepted.0, accepted.1);
        reply
    }

    fn newest_state(&self) -> &State {
        let states = self.controls.iter().map(|control| &control.state);
        states
            .max_by_key(|state| state.store().version())
            .expect("there is a replica")
    }

    fn catch_up(&mut self, replica: usize) -> Vec<u8> {
        let mut out = Vec::new();
        if self.isolated == Some(replica) || !self.controls[replica].up {
            return out;
        }
        let state = &mut self.controls[replica].state;
        for (index, command) in (1..).zip(&self.log).skip(state.applied() as usize) {
            out = edits::apply(state, index, command);
        }
        out
    }

    /// Makes the next running replica the leader. The old one is isolated, or becomes a follower.
    pub fn change_leader(&mut self, isolate: bool) {
        let old = self.leader.unwrap_or(0);
        let count = self.shape.controls;
        let others = (1..count).map(|step| (old + step) % count);
        let mut usable =
            others.filter(|n| self.controls[*n].up && !self.frozen.contains(&Node::Control(*n)));
        self.leader = usable.next();
        if self.isolated == self.leader {
            self.rejoin();
        }
        if isolate && self.isolated.is_none() && self.controls[old].up {
            self.isolated = Some(old);
        }
    }

    /// Ends the isolation of the former leader.
    pub fn rejoin(&mut self) {
        if let Some(replica) = self.isolated.take() {
            self.catch_up(replica);
        }
    }

    fn send_event(&mut self, from: Node, to: Node, event: StreamEvent) {
        self.send(from, to, Message::Stream(Box::new(event)));
    }

    #[expect(
        clippy::needless_pass_by_value,
        reason = "sending consumes the message, as on a real network"
    )]
    fn send(&mut self, from: Node, to: Node, message: Message) {
        if self.network_faults.loss && self.next_random().is_multiple_of(8) {
            return;
        }
        let duplicate = self.network_faults.duplicate && self.next_random().is_multiple_of(8);
        let limits = self.limits(from);
        let bytes = message.bytes();
        let traffic = self.traffic.entry(from).or_default();
        traffic.messages += 1;
        traffic.bytes += bytes as u64;
        let mut leaves = self.now;
        if let Some(link) = limits.link {
            let free = self.link_free.entry(from).or_insert(self.now);
            leaves = leaves.max(*free) + Duration::from_secs_f64(bytes as f64 / link);
            *free = leaves;
        }
        for _ in 0..=usize::from(duplicate) {
            let latency = if self.network_faults.delay {
                Duration::from_millis(self.next_random() % 180)
            } else {
                LATENCY
            };
            self.messages_sent += 1;
            self.in_flight.insert(
                (leaves + latency, self.messages_sent),
                (to, message.clone()),
            );
        }
    }

    const fn limits(&self, node: Node) -> Limits {
        match node {
            Node::Control(_) => self.control_limits,
            Node::Daemon(_) => self.daemon_limits,
        }
    }

    /// Advances time by one tick, delivers the messages that are due, and checks the invariants.
    pub fn tick(&mut self) {
        let end = self.now + TICK;
        while let Some(((at, _), _)) = self.in_flight.first_key_value() {
            if *at > end {
                break;
            }
            let Some(((at, number), (to, message))) = self.in_flight.pop_first() else {
                break;
            };
            self.now = self.now.max(at);
            if self.frozen.contains(&to) {
                // The bytes wait in the socket.
                self.in_flight.insert((at + TICK, number), (to, message));
                continue;
            }
            if self.is_busy(to, number, &message) {
                continue;
            }
            self.deliver(to, message);
        }
        self.now = end;
        self.ticks += 1;
        for n in 0..self.shape.controls {
            self.tick_control(n);
        }
        for n in 0..self.shape.daemons {
            if self.daemons[n].is_some() && !self.frozen.contains(&Node::Daemon(n)) {
                self.step(n, Event::Tick);
            }
        }
        self.check_invariants();
    }

    /// Returns whether the processor is in use; the message is then handled later.
    fn is_busy(&mut self, to: Node, number: u64, message: &Message) -> bool {
        let Some(cores) = self.limits(to).cores else {
            return false;
        };
        let free = *self.processor_free.get(&to).unwrap_or(&self.now);
        if free > self.now {
            self.in_flight.insert((free, number), (to, message.clone()));
            return true;
        }
        let cost = MESSAGE_COST.as_secs_f64() / cores;
        self.processor_free
            .insert(to, self.now + Duration::from_secs_f64(cost));
        self.traffic.entry(to).or_default().handled += 1;
        false
    }

    fn is_running(&self, node: Node) -> bool {
        match node {
            Node::Control(n) => self.controls[n].up && !self.control_down,
            Node::Daemon(n) => self.daemons[n].is_some(),
        }
    }

    fn tick_control(&mut self, n: usize) {
        let node = Node::Control(n);
        if !self.is_running(node) || self.frozen.contains(&node) {
            return;
        }
        let in_majority = self.isolated != Some(n) && self.leader.is_some();
        let random = self.next_random();
        let now = self.now;
        let control = &mut self.controls[n];
        if in_majority {
            control.contact = Some(now);
        }
        // A leader that is cut off steps down when it has had no contact for an election timeout.
        let recent = |at: Instant| now < at + Duration::from_secs(1);
        let leads = self.leader == Some(n)
            || (self.isolated == Some(n) && control.contact.is_some_and(recent));
        let leader = if leads {
            Some(n)
        } else {
            self.leader.filter(|_| in_majority)
        };
        let leadership = Leadership {
            leads,
            leader: leader.map(|leader| Node::Control(leader).address()),
            contact: control.contact,
        };
        let members = (0..self.shape.controls).map(|n| Node::Control(n).address());
        control.hub.set_group(members.collect());
        let mut effects = Vec::new();
        if let Some(delta) = control.state.store().delta_since(control.hub.version()) {
            effects.extend(control.hub.apply_version(now, &delta).unwrap());
        }
        effects.extend(control.hub.tick(now, random, leadership));
        self.execute(node, effects, None);
    }

    fn deliver(&mut self, to: Node, message: Message) {
        if !self.is_running(to) {
            return self.refuse_connection(message);
        }
        match to {
            Node::Control(n) => self.deliver_to_control(n, message),
            Node::Daemon(n) => self.deliver_to_daemon(n, message),
        }
    }

    /// Answers for a process that does not run: a subscription to it fails.
    fn refuse_connection(&mut self, message: Message) {
        let Message::Stream(event) = message else {
            return;
        };
        if let StreamEvent::Subscribe(req) = *event {
            let child = Node::named(&req.member.daemon);
            let reply = None;
            let stream = req.stream;
            self.sources.remove(&(child, stream));
            let event = StreamEvent::Subscribed { stream, reply };
            self.messages_sent += 1;
            self.in_flight.insert(
                (self.now + CONNECT_TIMEOUT, self.messages_sent),
                (child, Message::Stream(Box::new(event))),
            );
        }
    }

    fn deliver_to_control(&mut self, n: usize, message: Message) {
        let node = Node::Control(n);
        match message {
            Message::Attach(daemon, _) => {
                let confirmed = self.isolated != Some(n) && self.leader.is_some();
                let floor = confirmed.then(|| self.newest_version());
                let reply = AttachReply::Attached {
                    floor,
                    replicas: self.controls[n].hub.replicas(),
                };
                let message = Message::AttachReply(node.address(), reply);
                self.send(node, Node::Daemon(daemon), message);
            }
            Message::Stream(event) => {
                let (now, random) = (self.now, self.next_random());
                let reporter = reporter(&event);
                let effects = self.controls[n].hub.handle(now, random, *event);
                self.execute(node, effects, reporter);
            }
            _ => {}
        }
    }

    fn deliver_to_daemon(&mut self, n: usize, message: Message) {
        let node = Node::Daemon(n);
        let Some(uplink) = &self.daemons[n] else {
            return;
        };
        let mut sender = None;
        let event = match message {
            Message::AttachReply(address, reply) => Event::Attached {
                address,
                reply: Some(reply),
            },
            Message::Stream(event) => {
                sender = reporter(&event);
                Event::Stream(*event)
            }
            Message::VersionReply(peer, version) => Event::PeerVersion {
                peer: self.name_of(Node::Daemon(peer)),
                version,
            },
            Message::FetchReply(parts) => Event::Fetched(parts),
            Message::VersionRequest(peer) => {
                let version = uplink.in_force().map(|cfg| cfg.version);
                let reply = Message::VersionReply(n, version);
                return self.send(node, Node::Daemon(peer), reply);
            }
            Message::Fetch(peer, version) => {
                let parts = uplink.config_parts_since(version).unwrap();
                return self.send(node, Node::Daemon(peer), Message::FetchReply(parts));
            }
            Message::Attach(..) => return,
        };
        self.step_with(n, event, sender);
    }

    /// Passes an event to a daemon and executes the effects.
    pub fn step(&mut self, daemon: usize, event: Event) {
        self.step_with(daemon, event, None);
    }

    fn step_with(&mut self, daemon: usize, event: Event, sender: Option<(Node, u64, u64)>) {
        let (now, random) = (self.now, self.next_random());
        let Some(uplink) = &mut self.daemons[daemon] else {
            return;
        };
        let effects = uplink.step(now, random, event);
        self.execute(Node::Daemon(daemon), effects, sender);
    }

    fn execute(&mut self, node: Node, effects: Vec<Effect>, reporter: Option<(Node, u64, u64)>) {
        for effect in effects {
            match effect {
                Effect::Attach { address, attach } => {
                    let Node::Daemon(daemon) = node else { continue };
                    self.send(node, Node::at(address), Message::Attach(daemon, attach));
                }
                Effect::Subscribe { address, req } => {
                    let source = Node::at(address);
                    self.sources.insert((node, req.stream), source);
                    self.send_event(node, source, StreamEvent::Subscribe(*req));
                }
                Effect::Unsubscribe { stream, .. } => {
                    if let Some(source) = self.sources.remove(&(node, stream)) {
                        let child = self.name_of(node);
                        self.send_event(node, source, StreamEvent::ChildLost { child, stream });
                    }
                }
                Effect::Report(report) => {
                    if let Some(source) = self.sources.get(&(node, report.stream)).copied() {
                        self.send_event(node, source, StreamEvent::Report(*report));
                    }
                }
                Effect::AnswerReport(reply) => {
                    let (to, stream, number) = reporter.expect("a report has a sender");
                    let event = StreamEvent::Reported {
                        stream,
                        number,
                        reply,
                    };
                    self.send_event(node, to, event);
                }
                Effect::Answer {
                    child,
                    stream,
                    reply,
                } => {
                    let reply = Some(reply);
                    let event = StreamEvent::Subscribed { stream, reply };
                    self.send_event(node, Node::named(&child), event);
                }
                Effect::Update { child, update } => {
                    self.send_event(node, Node::named(&child), StreamEvent::Update(update));
                }
                Effect::DropChildren(children) => {
                    for (child, stream) in children {
                        self.send_event(node, Node::named(&child), StreamEvent::Lost { stream });
                    }
                }
                Effect::AskPeers(peers) => {
                    let Node::Daemon(daemon) = node else { continue };
                    for (_, address) in peers {
                        self.send(node, Node::at(address), Message::VersionRequest(daemon));
                    }
                }
                Effect::Fetch {
                    address, version, ..
                } => {
                    let Node::Daemon(daemon) = node else { continue };
                    self.send(node, Node::at(address), Message::Fetch(daemon, version));
                }
                Effect::Publish(_) | Effect::PublishEndpoints(_) | Effect::Synchronized(_) => {}
            }
        }
    }

    /// Returns the source of a daemon, if it has accepted the current stream.
    pub fn source_of(&self, daemon: usize) -> Option<Node> {
        let uplink = self.daemons[daemon].as_ref()?;
        let (address, stream) = uplink.source()?;
        let node = Node::at(address);
        let name = uplink.name();
        let children = match node {
            Node::Control(n) => self.controls[n].hub.children(),
            Node::Daemon(n) => self.daemons[n].as_ref()?.children(),
        };
        (children.stream(name) == Some(stream)).then_some(node)
    }
}

/// Returns the sender of a report, with its stream and number.
fn reporter(event: &StreamEvent) -> Option<(Node, u64, u64)> {
    match event {
        StreamEvent::Report(report) => {
            Some((Node::named(&report.daemon), report.stream, report.number))
        }
        _ => None,
    }
}
