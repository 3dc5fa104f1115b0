//! Lists, endpoints and an attached daemon, as inputs of the measurements.

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

/// Returns plan `n`, whose key is `key-n`.
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

/// Returns a store with `grants` plans of one grant each.
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

/// Returns the full endpoint set of one data centre.
pub fn endpoint_set(data_centre: usize, endpoints: usize, now: Instant) -> EndpointDelta {
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

/// Returns a copy of `message` as a daemon receives it; it shares no memory with the original.
pub fn received_copy<T: serde::Serialize + serde::de::DeserializeOwned>(message: &T) -> T {
    let buf = wire::encode(message).expect("the message fits");
    wire::decode(&buf).expect("the message was just encoded")
}

/// Daemon of `dc-0`, with the parent's side of its stream.
pub struct Daemon {
    pub uplink: Uplink,
    pub stream: u64,
    /// Number of the last frame that the parent has sent.
    pub number: u64,
    pub now: Instant,
}

impl Daemon {
    /// Starts a daemon with `role` that holds the lists of `store` and `endpoints` endpoints.
    pub fn start(role: Role, store: &ConfigStore, endpoints: usize) -> Self {
        let now = Instant::now();
        let mut daemon = Self {
            uplink: Uplink::new(member(0, 0), 1, 1, now),
            stream: 0,
            number: 0,
            now,
        };
        while !daemon.sends_attach_request() {
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
                config: Some(received_copy(&part)),
                ..daemon.next_update()
            };
            daemon.step(Event::Update(update));
        }
        // A relay owns the set of `dc-0`, which is empty at first; the endpoints are divided among
        // the sets that the daemon receives.
        let first = usize::from(role != Role::Leaf);
        let each = endpoints / (DATA_CENTRES - first);
        let sets: Vec<_> = (first..DATA_CENTRES)
            .map(|data_centre| received_copy(&endpoint_set(data_centre, each, daemon.now)))
            .collect();
        let mut directory = Directory::default();
        for set in &sets {
            directory.apply(set, daemon.now).expect("the set is new");
        }
        let update = Update {
            sets,
            positions: Some(directory.positions()),
            ..daemon.next_update()
        };
        daemon.step(Event::Update(update));
        daemon
    }

    /// Runs a tick and returns whether the daemon sends an attach request.
    fn sends_attach_request(&mut self) -> bool {
        let effects = self.step(Event::Tick);
        let is_attach_request = |effect: &Effect| matches!(effect, Effect::AskControl { .. });
        effects.iter().any(is_attach_request)
    }

    /// Passes one event to the daemon and returns its effects.
    pub fn step(&mut self, event: Event) -> Vec<Effect> {
        self.uplink.step(self.now, 0x5eed, event)
    }

    /// Returns the next frame of the parent, without content.
    pub fn next_update(&mut self) -> Update {
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

    /// Returns the next heartbeat of the parent.
    pub fn next_heartbeat(&mut self) -> Update {
        let positions = Some(self.uplink.directory().positions());
        Update {
            positions,
            ..self.next_update()
        }
    }
}
