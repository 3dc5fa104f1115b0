//! Processes, messages and sample records of the simulated tree.

use {
    anvilbeam::{
        edits::State,
        model::*,
        relays::*,
        versions::{Change, DeltaPart},
        wire,
    },
    std::{net::SocketAddr, time::Instant},
};

/// First port of the control replicas; daemons use the others.
const CONTROL_PORT: u16 = 9_000;
const DAEMON_PORT: u16 = 7_000;

#[derive(Clone, Debug)]
pub enum Message {
    Attach(usize, Attach),
    AttachReply(SocketAddr, AttachReply),
    Stream(Box<StreamEvent>),
    VersionRequest(usize),
    VersionReply(usize, Option<Version>),
    Fetch(usize, Version),
    FetchReply(Vec<DeltaPart>),
}

impl Message {
    /// Returns the size on the wire in bytes, with the headers of a frame or a request.
    pub fn bytes(&self) -> usize {
        /// Headers of TCP, HTTP/2 and of the request.
        const HEADERS: usize = 100;
        let body = match self {
            Self::Attach(_, attach) => encoded(attach),
            Self::AttachReply(_, reply) => encoded(reply),
            Self::Stream(event) => match &**event {
                StreamEvent::Update(update) => update.contents.len() + 16,
                StreamEvent::Report(report) => encoded(report),
                StreamEvent::Subscribe(req) => encoded(req),
                StreamEvent::Subscribed { reply, .. } => reply.as_ref().map_or(0, encoded),
                _ => 16,
            },
            Self::FetchReply(parts) => parts.iter().map(encoded).sum(),
            Self::VersionRequest(_) | Self::VersionReply(..) | Self::Fetch(..) => 16,
        };
        body + HEADERS
    }
}

fn encoded<T: serde::Serialize>(message: &T) -> usize {
    wire::encode(message).unwrap().len()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    Control(usize),
    Daemon(usize),
}

impl Node {
    pub fn at(address: SocketAddr) -> Self {
        match address {
            SocketAddr::V4(v4) => {
                let [_, high, low, _] = v4.ip().octets();
                let n = usize::from(high) * 256 + usize::from(low);
                if address.port() == CONTROL_PORT {
                    Self::Control(n)
                } else {
                    Self::Daemon(n)
                }
            }
            SocketAddr::V6(_) => unreachable!("the simulation uses IPv4"),
        }
    }

    pub fn named(name: &DaemonName) -> Self {
        let (kind, n) = name.as_str().split_once('-').unwrap();
        let n = n.parse().unwrap();
        match kind {
            "config" => Self::Control(n),
            _ => Self::Daemon(n),
        }
    }

    pub fn address(self) -> SocketAddr {
        let (n, port) = match self {
            Self::Control(n) => (n, CONTROL_PORT),
            Self::Daemon(n) => (n, DAEMON_PORT),
        };
        ([10, (n / 256) as u8, n as u8, 1], port).into()
    }
}

/// A control replica.
#[derive(Clone, Debug)]
pub struct Control {
    pub state: State,
    pub hub: Hub,
    /// Whether the process runs.
    pub up: bool,
    /// Last contact with the majority.
    pub contact: Option<Instant>,
}

/// Faults that the network injects at random.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkFaults {
    pub loss: bool,
    pub delay: bool,
    pub duplicate: bool,
}

/// Numbers of processes and places.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub controls: usize,
    pub daemons: usize,
    pub data_centres: usize,
    pub regions: usize,
    /// Daemons that a control replica and a daemon feed.
    pub control_children: usize,
    pub daemon_children: usize,
    /// One daemon of so many announces an endpoint.
    pub announcing: usize,
}

impl Shape {
    pub const fn data_centre(&self, n: usize) -> usize {
        n % self.data_centres
    }

    fn member(&self, name: &str, node: Node, n: usize) -> Member {
        let centre = self.data_centre(n);
        Member {
            daemon: name.into(),
            address: node.address(),
            data_centre: format!("dc-{centre}").as_str().into(),
            region: format!("region-{}", centre % self.regions).as_str().into(),
        }
    }

    pub fn daemon(&self, n: usize) -> Member {
        self.member(&format!("daemon-{n}"), Node::Daemon(n), n)
    }

    pub fn control(&self, n: usize) -> Member {
        self.member(&format!("config-{n}"), Node::Control(n), n)
    }

    pub fn endpoint(&self, n: usize) -> Endpoint {
        let Member {
            daemon,
            address,
            data_centre,
            region,
        } = self.daemon(n);
        Endpoint {
            server: format!("server-{n}").as_str().into(),
            service: format!("service-{}", n % 7).as_str().into(),
            daemon,
            address,
            data_centre,
            region,
            slots: 10,
            state: ServerState::Serving,
            incarnation: 1,
        }
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
