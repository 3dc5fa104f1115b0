//! A mesh of real processes on loopback, with stand-in backend servers in the test process.

#![allow(dead_code, reason = "each test file uses a part of the harness")]

pub mod answer;
pub mod calls;
pub mod process;

pub use {answer::Answer, process::Process};

use {
    anvilbeam::{
        announce::Announcement,
        body::{self, Body},
        http_client,
        model::{Digest, ServerState},
        operator_api::{EDITS, EXPLAIN, EditRequest, ExplainAnswer, STATUS, StatusAnswer},
        stand_in::{RunCounts, StandIn, StandInConfig},
    },
    http::{Request, StatusCode, header},
    std::{
        fs,
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::time::sleep,
};

pub const MESH_TOKEN: &str = "mesh-token-of-the-tests";
pub const OPERATOR_TOKEN: &str = "operator-token-of-the-tests";
/// Longest wait for a state that must come; only a hang reaches it.
pub const PATIENCE: Duration = Duration::from_mins(1);

static MESHES: AtomicU32 = AtomicU32::new(0);

/// A daemon's addresses.
pub struct DaemonPorts {
    pub name: String,
    pub callers: SocketAddr,
    pub local: SocketAddr,
}

/// All processes of one test.
pub struct Mesh {
    pub folder: TempDir,
    ip: IpAddr,
    next_port: u16,
    pub control: Vec<Process>,
    pub control_peers: Vec<SocketAddr>,
    pub operators: Vec<SocketAddr>,
    pub claims: Vec<Process>,
    pub claim_peers: Vec<SocketAddr>,
    pub daemons: Vec<Process>,
    pub ports: Vec<DaemonPorts>,
    pub servers: Vec<StandIn>,
    pub runs: RunCounts,
    edits: u32,
}

impl Mesh {
    /// Starts a config group and a claims group of `replicas` processes each.
    pub fn start(replicas: usize) -> Self {
        let number = MESHES.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        // A loopback address of its own keeps the fixed ports of restarts free.
        let ip = IpAddr::V4(Ipv4Addr::new(
            127,
            100 + (process % 100) as u8,
            (process / 100 % 250) as u8,
            1 + number as u8,
        ));
        let mut mesh = Self {
            folder: tempfile::tempdir().unwrap(),
            ip,
            next_port: 20_000,
            control: Vec::new(),
            control_peers: Vec::new(),
            operators: Vec::new(),
            claims: Vec::new(),
            claim_peers: Vec::new(),
            daemons: Vec::new(),
            ports: Vec::new(),
            servers: Vec::new(),
            runs: RunCounts::default(),
            edits: 0,
        };
        mesh.control_peers = (0..replicas).map(|_| mesh.port()).collect();
        mesh.operators = (0..replicas).map(|_| mesh.port()).collect();
        mesh.claim_peers = (0..replicas).map(|_| mesh.port()).collect();
        for at in 0..replicas {
            let config = mesh.control_settings("config", at, true);
            mesh.control.push(config);
            let claims = mesh.control_settings("claims", at, true);
            mesh.claims.push(claims);
        }
        for process in mesh.control.iter_mut().chain(&mut mesh.claims) {
            process.start();
        }
        mesh
    }

    /// A free address on the loopback address of this mesh.
    pub fn port(&mut self) -> SocketAddr {
        loop {
            let address = SocketAddr::new(self.ip, self.next_port);
            self.next_port += 1;
            if TcpListener::bind(address).is_ok() {
                return address;
            }
        }
    }

    fn control_settings(&self, group: &str, at: usize, bootstrap: bool) -> Process {
        let peers = if group == "config" {
            &self.control_peers
        } else {
            &self.claim_peers
        };
        let founders: Vec<String> = peers
            .iter()
            .enumerate()
            .map(|(at, peer)| format!("{{ name: {group}-{at}, address: \"{peer}\" }}"))
            .collect();
        let operators = if group == "config" {
            let hash = Digest::of(OPERATOR_TOKEN.as_bytes());
            let address = self.operators[at];
            format!(
                "operator_address: {address}\noperators: [{{ name: tests, token_hash: {hash} }}]\n"
            )
        } else {
            String::new()
        };
        let text = format!(
            "name: {group}-{at}\ngroup: {group}\nregion: r1\ndata_centre: r1-a\n\
             peer_address: {}\ndata_folder: {group}-{at}\nbootstrap: [{}]\n\
             mesh_token: {MESH_TOKEN}\n{operators}",
            peers[at],
            founders.join(", ")
        );
        self.process(
            env!("CARGO_BIN_EXE_anvilbeam-control"),
            &format!("{group}-{at}"),
            &text,
            bootstrap,
        )
    }

    fn process(&self, program: &'static str, name: &str, text: &str, bootstrap: bool) -> Process {
        let settings = self.folder.path().join(format!("{name}.yaml"));
        fs::write(&settings, text).unwrap();
        Process {
            child: None,
            program,
            settings,
            bootstrap,
        }
    }

    /// Starts a daemon with a backend server of `service` beside it; returns its position.
    pub fn add(&mut self, data_centre: &str, service: &str, slots: u32) -> usize {
        let peer = self.port();
        self.add_behind(data_centre, service, slots, peer, peer)
    }

    /// As `add`, with others sent to `advertised` in place of the peer address.
    pub fn add_behind(
        &mut self,
        data_centre: &str,
        service: &str,
        slots: u32,
        peer: SocketAddr,
        advertised: SocketAddr,
    ) -> usize {
        let at = self.daemons.len();
        let (callers, local) = (self.port(), self.port());
        let join = |addresses: &[SocketAddr]| {
            let quoted: Vec<String> = addresses.iter().map(|a| format!("\"{a}\"")).collect();
            quoted.join(", ")
        };
        let text = format!(
            "name: daemon-{at}\nregion: r1\ndata_centre: {data_centre}\ncaller_address: {callers}\n\
             local_address: {local}\npeer_address: {peer}\nadvertise: {advertised}\ncontrol: [{}]\nclaims: {{ r1: [{}] }}\n\
             mesh_token: {MESH_TOKEN}\n",
            join(&self.control_peers),
            join(&self.claim_peers)
        );
        let mut process = self.process(
            env!("CARGO_BIN_EXE_anvilbeam-daemon"),
            &format!("daemon-{at}"),
            &text,
            false,
        );
        process.start();
        self.daemons.push(process);
        self.ports.push(DaemonPorts {
            name: format!("daemon-{at}"),
            callers,
            local,
        });
        let server = self.server(at, service, slots, 1);
        self.servers.push(server);
        at
    }

    /// A stand-in backend server beside the daemon at `at`.
    pub fn server(&self, at: usize, service: &str, slots: u32, incarnation: u64) -> StandIn {
        StandIn::start(StandInConfig {
            announcement: Announcement {
                server: format!("server-{at}").as_str().into(),
                service: service.into(),
                address: self.ports[at].local,
                slots,
                state: ServerState::Serving,
                incarnation,
            },
            daemon: self.ports[at].local,
            runs: Arc::clone(&self.runs),
        })
        .unwrap()
    }

    /// Puts both lists in one edit and returns the version; waits for a leader.
    pub async fn put(&mut self, plans: &str, grants: &str) -> u64 {
        self.edits += 1;
        let edit_id = format!("edit-{}", self.edits);
        let deadline = Instant::now() + PATIENCE;
        loop {
            let base_version = self.status().await.version;
            let edit = EditRequest {
                edit_id: edit_id.clone(),
                base_version,
                plans: Some(plans.to_owned()),
                grants: Some(grants.to_owned()),
            };
            if let Some(answer) = self.ask_operators("POST", EDITS, &edit).await {
                assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
                let value: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
                return value["version"].as_u64().unwrap();
            }
            assert!(Instant::now() < deadline, "no leader took the edit");
        }
    }

    /// Status from the leader.
    pub async fn status(&self) -> StatusAnswer {
        let deadline = Instant::now() + PATIENCE;
        loop {
            if let Some(answer) = self.ask_operators("GET", STATUS, &()).await {
                return serde_json::from_slice(&answer.body).unwrap();
            }
            assert!(Instant::now() < deadline, "no leader gave the status");
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Asks each operator port until one does not send the request elsewhere.
    pub async fn ask_operators<T: serde::Serialize>(
        &self,
        method: &str,
        path: &str,
        message: &T,
    ) -> Option<Answer> {
        for address in &self.operators {
            let req = Request::builder()
                .method(method)
                .uri(path)
                .header(header::AUTHORIZATION, format!("Bearer {OPERATOR_TOKEN}"))
                .body(body::full(serde_json::to_vec(message).unwrap()))
                .unwrap();
            match send(*address, req).await {
                Ok(answer) if answer.status != StatusCode::SERVICE_UNAVAILABLE => {
                    return Some(answer);
                }
                _ => {}
            }
        }
        None
    }

    /// Waits until the daemon at `at` knows `servers` backend servers for a grant.
    pub async fn await_candidates(&self, at: usize, plan: &str, service: &str, servers: usize) {
        let deadline = Instant::now() + PATIENCE;
        loop {
            let req = Request::get(format!("{EXPLAIN}?plan={plan}&service={service}"))
                .header(header::HOST, "daemon")
                .body(body::empty())
                .unwrap();
            let answer = send(self.ports[at].local, req).await;
            let explained = answer
                .ok()
                .and_then(|answer| serde_json::from_slice::<ExplainAnswer>(&answer.body).ok());
            if explained.is_some_and(|explained| explained.candidates.len() == servers) {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "daemon {at} does not know all servers"
            );
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends one request to the daemon at `at`.
    pub async fn call(
        &self,
        at: usize,
        method: &str,
        service: &str,
        path: &str,
        key: &str,
    ) -> Answer {
        let req = request(method, service, path, key)
            .body(body::empty())
            .unwrap();
        send(self.ports[at].callers, req).await.unwrap()
    }

    /// Repeats a request until `accept` takes the answer.
    pub async fn call_until(
        &self,
        at: usize,
        service: &str,
        path: &str,
        key: &str,
        accept: impl Fn(&Answer) -> bool,
    ) -> Answer {
        let deadline = Instant::now() + PATIENCE;
        loop {
            let req = request("GET", service, path, key)
                .body(body::empty())
                .unwrap();
            let answer = send(self.ports[at].callers, req).await;
            match answer {
                Ok(answer) if accept(&answer) => return answer,
                answer => assert!(Instant::now() < deadline, "last answer: {answer:?}"),
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// A request with a plan's key.
pub fn request(method: &str, service: &str, path: &str, key: &str) -> http::request::Builder {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, service)
        .header(header::AUTHORIZATION, format!("Bearer {key}"))
}

/// Sends one request on a connection of its own and reads the whole answer.
pub async fn send(address: SocketAddr, req: Request<Body>) -> Result<Answer, body::BoxError> {
    let (parts, bytes) = http_client::send(address, req).await?.into_parts();
    Ok(Answer {
        status: parts.status,
        headers: parts.headers,
        body: bytes,
    })
}

/// The plans of the tests: `clerks` with the key `clerks-key` and so on.
pub fn plans(names: &[&str]) -> String {
    let entry = |name: &&str| {
        let hash = Digest::of(format!("{name}-key").as_bytes());
        format!("- {{ name: {name}, key_hashes: [{hash}], home_region: r1 }}\n")
    };
    format!("plans:\n{}", names.iter().map(entry).collect::<String>())
}

/// Grants from `(plan, service, servers)`; no servers mean all.
pub fn grants(entries: &[(&str, &str, &str)]) -> String {
    if entries.is_empty() {
        return "grants: []\n".to_owned();
    }
    let entry = |(plan, service, servers): &(&str, &str, &str)| {
        let servers = match *servers {
            "" => String::new(),
            servers => format!("servers: [{servers}], "),
        };
        format!("- {{ plan: {plan}, service: {service}, {servers}capacity: 1000, rank: urgent }}\n")
    };
    format!("grants:\n{}", entries.iter().map(entry).collect::<String>())
}

/// One grant of `capacity` calls per second.
pub fn grant_of(plan: &str, service: &str, capacity: u32) -> String {
    grants(&[(plan, service, "")]).replace("1000", &capacity.to_string())
}
