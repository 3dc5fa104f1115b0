//! Processes, messages and sample records of the simulated tree.

use {
    anvilbeam::{
        edits::State,
        endpoints::Directory,
        model::*,
        relays::*,
        versions::{Change, DeltaPart},
    },
    std::time::Instant,
};

#[derive(Clone, Debug)]
pub enum Message {
    Attach(usize, Attach),
    AttachReply(u32, AttachReply),
    Subscribe(usize, Subscribe),
    Subscribed(u64, SubscribeReply),
    Update(Update),
    StreamLost(u64),
    Report(Report),
    ChildLost(DaemonName, u64),
    VersionRequest(usize),
    VersionReply(usize, Option<Version>),
    Fetch(usize, Version),
    FetchReply(Vec<DeltaPart>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    Control(usize),
    Daemon(usize),
}

/// A control replica and its side of the tree.
#[derive(Debug)]
pub struct Control {
    pub state: State,
    pub directory: Directory,
    pub table: RelayTable,
    pub children: Children,
    pub term: u64,
}

/// Faults that the network injects at random.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkFaults {
    pub loss: bool,
    pub delay: bool,
    pub duplicate: bool,
}

pub fn daemon_name(daemon: usize) -> DaemonName {
    format!("daemon-{daemon}").as_str().into()
}

pub fn data_centre(daemon: usize) -> usize {
    daemon % 4
}

pub fn index_of(name: &DaemonName) -> usize {
    name.as_str()["daemon-".len()..].parse().unwrap()
}

pub fn member(daemon: usize) -> Member {
    let centre = data_centre(daemon);
    Member {
        daemon: daemon_name(daemon),
        address: ([10, 0, 0, daemon as u8], 7000).into(),
        data_centre: format!("dc-{centre}").as_str().into(),
        region: format!("region-{}", centre / 2).as_str().into(),
    }
}

pub fn endpoint(daemon: usize) -> Endpoint {
    let Member {
        daemon,
        address,
        data_centre,
        region,
    } = member(daemon);
    let server = daemon.as_str().replace("daemon", "server");
    Endpoint {
        server: server.as_str().into(),
        service: "charts".into(),
        daemon,
        address,
        data_centre,
        region,
        slots: 10,
        state: ServerState::Serving,
        incarnation: 1,
    }
}

pub fn new_control(term: u64, state: State, now: Instant) -> Control {
    let (table, children) = (RelayTable::new(term, now), Children::new(now));
    Control {
        state,
        directory: Directory::default(),
        table,
        children,
        term,
    }
}

/// Returns a change that sets one plan and one of its grants, both picked by `n`.
pub fn sample_change(n: u8) -> Change {
    let plan = Plan {
        name: format!("plan-{}", n % 5).as_str().into(),
        key_hashes: vec![Digest::of(&[n % 5])],
        home_region: format!("region-{n}").as_str().into(),
    };
    let grant = Grant {
        plan: plan.name.clone(),
        service: format!("service-{}", n % 7).as_str().into(),
        servers: vec![],
        capacity: n.into(),
        rank: Rank::High,
        path: "/".into(),
        terms: Terms::default(),
    };
    Change {
        plans: vec![plan],
        grants: vec![grant],
        ..Change::default()
    }
}
