//! Lists, endpoints and one daemon in the tree, as the other parts need them.

use {
    anvilbeam::{
        endpoints::{Directory, EndpointDelta, Epoch, OwnedSet, Stamp},
        model::{
            Config, Digest, Endpoint, Grant, Plan, Rank, ServerState, ServiceName, Terms, Version,
        },
        relays::{
            AttachReply, Attached, Effect, Event, Member, Parent, Role, SubscribeReply, Update,
            Uplink,
        },
        versions::{Change, ConfigStore, split_delta},
        wire,
    },
    std::time::{Duration, Instant},
};

pub const SERVICES: usize = 280;
pub const DATA_CENTRES: usize = 8;
/// Interval of a daemon's ticks.
pub const TICK: Duration = Duration::from_millis(100);

pub fn service(n: usize) -> ServiceName {
    format!("service-{:03}", n % SERVICES).as_str().into()
}

/// Plan `n`, with the key `key-n`.
fn plan(n: usize) -> Plan {
    Plan {
        name: format!("customer-plan-{n:05}").as_str().into(),
        key_hashes: vec![Digest::of(format!("key-{n}").as_bytes())],
        home_region: "region-0".into(),
    }
}

pub fn grant(n: usize, capacity: u32) -> Grant {
    Grant {
        plan: plan(n).name,
        service: service(n),
        servers: Vec::new(),
        capacity,
        rank: Rank::Normal,
        path: "/".into(),
        terms: Terms::default(),
    }
}

/// `grants` plans with one grant each.
pub fn store(grants: usize) -> ConfigStore {
    let mut store = ConfigStore::with_config(Config::default());
    let change = Change {
        plans: (0..grants).map(plan).collect(),
        grants: (0..grants).map(|n| grant(n, 100)).collect(),
        ..Change::default()
    };
    store.edit(&change).expect("the plans and grants are valid");
    store
}

pub fn member(n: usize, data_centre: usize) -> Member {
    Member {
        daemon: format!("daemon-{n:04}").as_str().into(),
        address: ([10, data_centre as u8, (n / 256) as u8, n as u8], 7_000).into(),
        data_centre: format!("dc-{data_centre}").as_str().into(),
        region: format!("region-{}", data_centre * 2 / DATA_CENTRES)
            .as_str()
            .into(),
    }
}

pub fn endpoint(n: usize, data_centre: usize) -> Endpoint {
    let Member {
        daemon,
        address,
        data_centre,
        region,
    } = member(n, data_centre);
    Endpoint {
        server: format!("server-{n:04}").as_str().into(),
        service: service(n),
        daemon,
        address,
        data_centre,
        region,
        slots: 20,
        state: ServerState::Serving,
        incarnation: 1 << 40,
    }
}

/// The full set of one data centre.
pub fn set(data_centre: usize, endpoints: usize, now: Instant) -> EndpointDelta {
    let name = format!("dc-{data_centre}").as_str().into();
    let mut own = OwnedSet::new(name, Epoch::granted(1, data_centre as u64 + 1), now);
    for n in 0..endpoints {
        let endpoint = endpoint(data_centre * 1_000 + n, data_centre);
        let stamp = Stamp {
            incarnation: 1,
            number: 1,
        };
        own.report(
            &endpoint.daemon,
            stamp,
            std::slice::from_ref(&endpoint),
            now,
        )
        .expect("the endpoint belongs to the set");
    }
    own.delta_since(Epoch::default(), 0)
        .expect("the set is not empty")
}

/// Copies of what a daemon receives, so that nothing in them is shared.
pub fn received<T: serde::Serialize + serde::de::DeserializeOwned>(message: &T) -> T {
    let buf = wire::encode(message).expect("the message fits");
    wire::decode(&buf).expect("it was just encoded")
}

/// A daemon of `dc-0` with its parent's stream, as the parent sees it.
pub struct Daemon {
    pub uplink: Uplink,
    pub stream: u64,
    pub number: u64,
    pub now: Instant,
}

impl Daemon {
    /// Starts a daemon with `role` that holds `store` and the sets of the other data centres.
    pub fn start(role: Role, store: &ConfigStore, endpoints: usize) -> Self {
        let now = Instant::now();
        let mut daemon = Self {
            uplink: Uplink::new(member(0, 0), 1, 1, now),
            stream: 0,
            number: 0,
            now,
        };
        while !daemon.asks() {
            daemon.now += TICK;
        }
        let attached = Attached {
            parent: Parent::Control,
            role,
            floor: Some(store.version()),
            term: 1,
        };
        let reply = Some(AttachReply::Attached(attached));
        for effect in daemon.step(Event::Attach { control: 0, reply }) {
            if let Effect::SubscribeControl { req, .. } = effect {
                daemon.stream = req.stream;
            }
        }
        let reply = Some(SubscribeReply::Accepted);
        let stream = daemon.stream;
        daemon.step(Event::Subscribed { stream, reply });
        let delta = store
            .delta_since(Version(0))
            .expect("the store is not empty");
        for part in split_delta(delta).expect("the delta fits") {
            let update = Update {
                config: Some(received(&part)),
                ..daemon.update()
            };
            daemon.step(Event::Update(update));
        }
        // The own set is empty at first, and the others share the endpoints.
        let first = usize::from(role != Role::Leaf);
        let each = endpoints / (DATA_CENTRES - first);
        let sets: Vec<_> = (first..DATA_CENTRES)
            .map(|data_centre| received(&set(data_centre, each, daemon.now)))
            .collect();
        let mut directory = Directory::default();
        for set in &sets {
            directory.apply(set, daemon.now).expect("the set is new");
        }
        let update = Update {
            sets,
            positions: Some(directory.positions()),
            ..daemon.update()
        };
        daemon.step(Event::Update(update));
        daemon
    }

    fn asks(&mut self) -> bool {
        let effects = self.step(Event::Tick);
        let asks = |effect: &Effect| matches!(effect, Effect::AskControl { .. });
        effects.iter().any(asks)
    }

    /// Passes one event to the daemon.
    pub fn step(&mut self, event: Event) -> Vec<Effect> {
        self.uplink.step(self.now, 0x5eed, event)
    }

    /// The next frame of the parent, empty.
    pub fn update(&mut self) -> Update {
        self.number += 1;
        Update {
            stream: self.stream,
            number: self.number,
            detached_ms: 0,
            config: None,
            sets: Vec::new(),
            positions: None,
        }
    }

    /// The parent's heartbeat.
    pub fn heartbeat(&mut self) -> Update {
        let positions = Some(self.uplink.directory().positions());
        Update {
            positions,
            ..self.update()
        }
    }
}
