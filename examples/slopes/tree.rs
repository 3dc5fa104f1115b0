//! Lists, endpoints and an attached daemon, as inputs of the measurements.

use {
    anvilbeam::{
        endpoints::{Record, Stamp},
        model::{
            Config, Digest, Endpoint, Grant, Plan, Rank, ServerState, ServiceName, Terms, Version,
        },
        relays::{
            AttachReply, Contents, Effect, Event, MAX_MESSAGE_RECORDS, Member, StreamEvent, Update,
            Uplink,
        },
        versions::{Change, ConfigStore, split_delta},
        wire,
    },
    std::time::Instant,
};

pub const SERVICES: usize = 280;
pub const DATA_CENTRES: usize = 8;

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

/// Returns the records of daemons with one endpoint each, spread over the data centres.
fn records(count: usize) -> Vec<Record> {
    let record = |n| {
        let endpoint = endpoint(n, n % DATA_CENTRES);
        Record {
            daemon: endpoint.daemon.clone(),
            stamp: Stamp {
                incarnation: 1,
                number: 1,
                lapsed: false,
            },
            endpoints: vec![endpoint],
        }
    };
    (0..count).map(record).collect()
}

/// Daemon of `dc-0` with its copies of the lists and endpoints.
pub struct Daemon {
    pub uplink: Uplink,
    pub now: Instant,
}

impl Daemon {
    /// Starts a daemon that holds the lists of `store` and `endpoints` endpoints.
    pub fn start(store: &ConfigStore, endpoints: usize) -> Self {
        let now = Instant::now();
        let control = ([10, 9, 0, 0], 7_000).into();
        let mut daemon = Self {
            uplink: Uplink::new(member(0, 0), 1, vec![control], now),
            now,
        };
        daemon.step(Event::Tick);
        let reply = Some(AttachReply::Attached {
            floor: Some(store.version()),
            replicas: Vec::new(),
        });
        let address = control;
        let effects = daemon.step(Event::Attached { address, reply });
        let stream = effects.iter().find_map(|effect| match effect {
            Effect::Subscribe { req, .. } => Some(req.stream),
            _ => None,
        });
        let stream = stream.expect("the daemon subscribes once it knows the floor");
        let delta = store
            .delta_since(Version(0))
            .expect("the store is not empty");
        let parts = split_delta(delta).expect("the delta fits").into_iter();
        let configs = parts.map(|part| Contents {
            config: Some(part),
            ..Contents::default()
        });
        let records = records(endpoints);
        let records = records.chunks(MAX_MESSAGE_RECORDS).map(|chunk| Contents {
            records: chunk.to_vec(),
            ..Contents::default()
        });
        for (number, contents) in (1..).zip(configs.chain(records)) {
            let contents = wire::encode(&contents).expect("the frame fits");
            let update = Update {
                stream,
                number,
                detached_ms: 0,
                contents: contents.into(),
            };
            daemon.step(Event::Stream(StreamEvent::Update(update)));
        }
        daemon
    }

    fn step(&mut self, event: Event) -> Vec<Effect> {
        self.uplink.step(self.now, 0x5eed, event)
    }
}
