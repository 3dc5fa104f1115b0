//! The processes of a small tree, and the messages between them.

use {
    crate::{
        capacity::{Asks, Give, Node, Root, Surroundings, Tier},
        model::{Config, DaemonName, Grant, GrantKey, Rank, Region, Terms, Version},
    },
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        time::{Duration, Instant},
    },
};

pub const REGIONS: usize = 2;
pub const CENTRES: usize = 4;
pub const DAEMONS: usize = 12;
const STEP: Duration = Duration::from_millis(5);
const LEADER: usize = DAEMONS;
/// Waits of calls.
const PATIENCE: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A daemon starts anew.
    Restart(usize),
    /// Another daemon becomes the relay of a region.
    MoveRegionRelay(usize),
    /// Another daemon becomes the relay of a data centre.
    MoveCentreRelay(usize),
    /// A region loses the leader and the other region.
    Cut(usize),
    /// The region returns.
    Heal,
    /// Another replica leads.
    NewLeader,
    /// Of ten messages, so many are lost and so many late.
    Noise(u32),
    /// Other demand, in thousandths of the capacity for each daemon.
    Load(u64),
}

#[derive(Debug)]
enum Message {
    Asks(Asks),
    Gives(Vec<Give>),
}

#[derive(Debug)]
pub struct Daemon {
    pub node: Node,
    load: f64,
    due: f64,
}

#[derive(Debug)]
pub struct Tree {
    now: Instant,
    random: u64,
    capacity: u32,
    config: Arc<Config>,
    pub root: Root,
    pub leader_out: bool,
    pub daemons: Vec<Daemon>,
    /// Position of the relay of each data centre; the first of a region's is the region relay
    /// if `region_relays` says so.
    centre_relays: Vec<usize>,
    /// Data centre whose relay leads the region.
    region_relays: Vec<usize>,
    cut: Option<usize>,
    noise: u32,
    mail: BTreeMap<(Instant, u64), (usize, usize, Message)>,
    sent: u64,
    ids: u64,
    calls: u64,
    steps: u64,
    pub asks: u64,
    pub served: u64,
    window: VecDeque<Instant>,
    pub most: usize,
}

fn centre_of(daemon: usize) -> usize {
    daemon % CENTRES
}

fn region_of(daemon: usize) -> usize {
    centre_of(daemon) / 2
}

fn name(daemon: usize) -> DaemonName {
    format!("{daemon}").as_str().into()
}

fn grant() -> GrantKey {
    GrantKey {
        plan: "clerks".into(),
        service: "roll".into(),
        path: "/".into(),
    }
}

fn config(capacity: u32, version: u64) -> Arc<Config> {
    let GrantKey { plan, service, .. } = grant();
    let entry = Grant {
        plan,
        service,
        servers: Vec::new(),
        capacity,
        rank: Rank::Normal,
        path: "/".into(),
        terms: Terms::default(),
    };
    let grants = (capacity > 0).then(|| (grant(), entry)).into_iter();
    Arc::new(Config {
        version: Version(version),
        grants: grants.collect(),
        ..Config::default()
    })
}

impl Tree {
    pub fn new(capacity: u32, seed: u64) -> Self {
        let now = Instant::now();
        let config = config(capacity, 1);
        let mut tree = Self {
            now,
            random: seed | 1,
            capacity,
            root: root(2, &config, now),
            leader_out: false,
            config,
            daemons: Vec::new(),
            centre_relays: (0..CENTRES).collect(),
            region_relays: vec![0, 2],
            cut: None,
            noise: 0,
            mail: BTreeMap::new(),
            sent: 0,
            ids: 1_000,
            calls: 0,
            steps: 0,
            asks: 0,
            served: 0,
            window: VecDeque::new(),
            most: 0,
        };
        for at in 0..DAEMONS {
            let node = tree.node(at);
            tree.daemons.push(Daemon {
                node,
                load: 0.0,
                due: (at as f64 * 0.618).fract(),
            });
        }
        tree
    }

    fn node(&mut self, at: usize) -> Node {
        self.ids += 1_000;
        let region = region(region_of(at));
        let mut node = Node::new(name(at), region, self.ids, self.now);
        node.set_config(Arc::clone(&self.config));
        node.set_surroundings(Surroundings {
            regions: REGIONS as u64,
            region_daemons: (DAEMONS / REGIONS) as u64,
            centre_daemons: (DAEMONS / CENTRES) as u64,
        });
        node.set_tier(self.tier(at), self.now);
        node
    }

    fn tier(&self, at: usize) -> Tier {
        let centre = centre_of(at);
        if self.centre_relays[centre] != at {
            return Tier::Holder;
        }
        if self.region_relays[region_of(at)] == centre {
            Tier::Region
        } else {
            Tier::Centre
        }
    }

    fn parent(&self, at: usize) -> usize {
        match self.tier(at) {
            Tier::Holder => self.centre_relays[centre_of(at)],
            Tier::Centre => self.centre_relays[self.region_relays[region_of(at)]],
            Tier::Region => LEADER,
        }
    }

    fn draw(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    pub fn load(&mut self, load: impl Fn(usize) -> f64) {
        for (at, daemon) in self.daemons.iter_mut().enumerate() {
            daemon.load = load(at);
        }
    }

    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
        self.config = config(capacity, self.config.version.0 + 1);
        self.root.set_config(Arc::clone(&self.config), self.now);
        for daemon in &mut self.daemons {
            daemon.node.set_config(Arc::clone(&self.config));
        }
    }

    pub fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Restart(at) => self.daemons[at].node = self.node(at),
            Fault::MoveRegionRelay(region) => self.change_roles(|tree| {
                let other = &mut tree.region_relays[region];
                *other ^= 1;
            }),
            Fault::MoveCentreRelay(centre) => self.change_roles(|tree| {
                let relay = &mut tree.centre_relays[centre];
                *relay = (*relay + CENTRES) % DAEMONS;
            }),
            Fault::Cut(region) => self.cut = Some(region),
            Fault::Heal => self.cut = None,
            Fault::NewLeader => {
                self.ids += 1_000;
                self.root = root(self.ids, &self.config, self.now);
            }
            Fault::Noise(noise) => self.noise = noise,
            Fault::Load(milli) => {
                let most = f64::from(self.capacity) * milli as f64 / 1_000.0;
                let seed = self.draw() as usize;
                self.load(|at| most * ((seed >> (at % 16)) % 4) as f64);
            }
        }
    }

    fn change_roles(&mut self, change: impl FnOnce(&mut Self)) {
        let parents: Vec<_> = (0..DAEMONS).map(|at| self.parent(at)).collect();
        change(self);
        for (at, parent) in parents.into_iter().enumerate() {
            let tier = self.tier(at);
            self.daemons[at].node.set_tier(tier, self.now);
            if parent != self.parent(at) {
                self.daemons[at].node.detach(self.now);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let far = from == LEADER || to == LEADER;
        let region = region_of(if from == LEADER { to } else { from });
        let lost = self.draw() % 10 < u64::from(self.noise);
        if far && (self.leader_out || self.cut == Some(region)) || lost {
            return;
        }
        let mut delay = if far { STEP * 3 } else { STEP };
        if self.draw() % 10 < u64::from(self.noise) {
            delay += STEP * (self.draw() % 400) as u32;
        }
        self.sent += 1;
        self.mail
            .insert((self.now + delay, self.sent), (from, to, message));
    }

    fn give(&mut self, from: usize, gives: Vec<(DaemonName, Give)>) {
        for (child, give) in gives {
            let to = child.as_str().parse().unwrap();
            self.send(from, to, Message::Gives(vec![give]));
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        let now = self.now;
        let out = match message {
            Message::Asks(asks) if to == LEADER => {
                let gives = self.root.take_asks(asks, now);
                return self.give(LEADER, gives);
            }
            Message::Asks(asks) => self.daemons[to].node.take_asks(&asks, now),
            // The stream of an earlier parent is closed.
            Message::Gives(_) if from != self.parent(to) => return,
            Message::Gives(gives) => self.daemons[to].node.take_gives(gives, now),
        };
        self.give(to, out.gives);
    }

    /// Lets a call arrive at a daemon.
    pub fn call(&mut self, at: usize) {
        self.calls += 1;
        let (now, call) = (self.now, self.calls);
        let node = &mut self.daemons[at].node;
        if node.try_take(&grant(), now) {
            self.serve();
        } else {
            node.wait(&grant(), call, now + PATIENCE, now);
        }
    }

    fn serve(&mut self) {
        self.served += 1;
        self.window.push_back(self.now);
        let ten_seconds = Duration::from_secs(10);
        while self
            .window
            .front()
            .is_some_and(|at| *at + ten_seconds <= self.now)
        {
            self.window.pop_front();
        }
        self.most = self.most.max(self.window.len());
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        while let Some(entry) = self.mail.first_entry().filter(|e| e.key().0 <= self.now) {
            let (from, to, message) = entry.remove();
            self.receive(from, to, message);
        }
        for at in 0..DAEMONS {
            let daemon = &mut self.daemons[at];
            daemon.due += daemon.load * STEP.as_secs_f64();
            while self.daemons[at].due >= 1.0 {
                self.daemons[at].due -= 1.0;
                self.call(at);
            }
            let node = &mut self.daemons[at].node;
            let out = node.poll(self.now);
            let asks = node.message(out.asks, self.now);
            out.released.iter().for_each(|_| self.serve());
            self.give(at, out.gives);
            let beat = self.tier(at) == Tier::Region && self.steps.is_multiple_of(200);
            if beat || !asks.asks.is_empty() {
                self.asks += asks.asks.len() as u64;
                let to = self.parent(at);
                self.send(at, to, Message::Asks(asks));
            }
        }
        let gives = self.root.tick(self.now);
        self.give(LEADER, gives);
    }
}

fn region(number: usize) -> Region {
    format!("region-{number}").as_str().into()
}

fn root(id: u64, config: &Arc<Config>, now: Instant) -> Root {
    let regions: Vec<_> = (0..REGIONS).map(region).collect();
    Root::new(id, Arc::clone(config), &regions, id == 2, now)
}
