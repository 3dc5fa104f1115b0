//! Orders, streamed bodies, waits and facts about processes, for the tests of failures.

use {
    super::{
        Answer, MESH_TOKEN, Mesh, OPERATOR_TOKEN, PATIENCE, Process, grants, plans, request, send,
    },
    anvilbeam::{
        body::{self, Body, BoxError},
        claim_client::{CLAIM_PATH, ClaimAnswer},
        claims::{Attempt, ClaimKey, Command as ClaimCommand},
        operator_api::{EXPLAIN, ExplainAnswer},
        peer::Client,
    },
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::BodyExt,
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    std::{
        fs,
        net::SocketAddr,
        path::Path,
        process::{Command, Output},
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpStream,
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// One chunk of a generated body.
pub static CHUNK: [u8; 64 * 1024] = [0; 64 * 1024];

/// Waits until `holds`, with the patience of the harness.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !holds().await {
        assert!(Instant::now() < deadline, "never: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// An order of the plan `clerks` for the service `roll`.
pub fn order(key: &str, path: &str, text: &'static str) -> Request<Body> {
    request("POST", "roll", path, "clerks-key")
        .header("idempotency-key", key)
        .body(body::full(text))
        .unwrap()
}

/// A GET of the plan `clerks` for the service `roll`.
pub fn get(path: &str) -> Request<Body> {
    request("GET", "roll", path, "clerks-key")
        .body(body::empty())
        .unwrap()
}

/// Sends a request as a task of its own.
pub fn spawn(address: SocketAddr, req: Request<Body>) -> JoinHandle<Result<Answer, BoxError>> {
    tokio::spawn(send(address, req))
}

/// Sends one request on a connection of its own and returns the head of the answer; the body comes
/// as the caller reads it.
pub async fn open(address: SocketAddr, req: Request<Body>) -> Result<Response<Incoming>, BoxError> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender.send_request(req).await?)
}

/// A body of `chunks` chunks of 64 KiB with a pause before each, generated while it is sent.
pub fn generated(chunks: u64, pause: Duration) -> Body {
    let (tx, streamed) = body::channel(1);
    tokio::spawn(async move {
        for _ in 0..chunks {
            if !pause.is_zero() {
                sleep(pause).await;
            }
            if tx.send(Bytes::from_static(&CHUNK)).await.is_err() {
                return;
            }
        }
    });
    streamed
}

/// A PUT of the plan `clerks` for the service `roll`.
pub fn put(path: &str, body: Body) -> Request<Body> {
    request("PUT", "roll", path, "clerks-key")
        .body(body)
        .unwrap()
}

/// Reads a body to its end and returns its length.
pub async fn read_all(mut incoming: Incoming) -> Result<u64, BoxError> {
    let mut received = 0;
    while let Some(frame) = incoming.frame().await {
        received += frame?.data_ref().map_or(0, Bytes::len) as u64;
    }
    Ok(received)
}

/// Resident memory of a process in KiB.
pub fn resident(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.unwrap().parse().unwrap()
}

impl Process {
    /// The settings file.
    pub fn settings(&self) -> &Path {
        &self.settings
    }

    /// Appends a line to the settings, or replaces the line of the same key.
    pub fn set(&self, key: &str, value: &str) {
        let text = fs::read_to_string(&self.settings).unwrap();
        let start = format!("{key}:");
        let mut lines: Vec<&str> = text.lines().filter(|l| !l.starts_with(&start)).collect();
        let line = format!("{key}: {value}\n");
        lines.push(&line);
        fs::write(&self.settings, lines.join("\n")).unwrap();
    }

    /// Starts the process, which must end by itself with a failure; returns what it wrote.
    pub async fn failure(&mut self, bootstrap: bool) -> String {
        let log = self.settings.with_extension("log");
        fs::write(&log, "").unwrap();
        self.bootstrap = bootstrap;
        self.start();
        let mut child = self.child.take().unwrap();
        let deadline = Instant::now() + PATIENCE;
        let status = loop {
            if let Some(status) = child.try_wait().unwrap() {
                break status;
            }
            if Instant::now() > deadline {
                child.kill().unwrap();
                panic!("the process goes on: {}", fs::read_to_string(&log).unwrap());
            }
            sleep(Duration::from_millis(20)).await;
        };
        let text = fs::read_to_string(&log).unwrap();
        assert!(
            status.code().is_some_and(|code| code != 0),
            "{status}: {text}"
        );
        text
    }
}

impl Mesh {
    /// A mesh with entry daemons, whose servers do not serve `roll`, and then owners of servers
    /// that do; returns it when each daemon sees each owner.
    pub async fn with_roll(replicas: usize, entries: usize, owners: usize) -> Self {
        let mut mesh = Self::start(replicas);
        for _ in 0..entries {
            mesh.add("r1-a", "front", 4);
        }
        for _ in 0..owners {
            mesh.add("r1-a", "roll", 16);
        }
        mesh.put(&plans(&["clerks"]), &grants(&[("clerks", "roll", "")]))
            .await;
        for at in 0..entries + owners {
            mesh.until_usable(at, owners).await;
        }
        mesh
    }

    /// Waits until the daemon at `at` would send calls for `roll` to `servers` backend servers.
    pub async fn until_usable(&self, at: usize, servers: usize) {
        until(&format!("{servers} servers at daemon {at}"), async || {
            self.usable(at)
                .await
                .is_some_and(|names| names.len() == servers)
        })
        .await;
    }

    /// Backend servers to which the daemon at `at` would send calls for `roll`.
    pub async fn usable(&self, at: usize) -> Option<Vec<String>> {
        let path = format!("{EXPLAIN}?plan=clerks&service=roll");
        let answer = self.local(at, &path).await?;
        let explained: ExplainAnswer = serde_json::from_slice(&answer.body).ok()?;
        let candidates = explained.candidates.into_iter();
        Some(candidates.filter(|c| c.usable).map(|c| c.server).collect())
    }

    /// Asks the local port of the daemon at `at`.
    pub async fn local(&self, at: usize, path: &str) -> Option<Answer> {
        let req = Request::get(path)
            .header("host", "local")
            .body(body::empty());
        send(self.ports[at].local, req.unwrap()).await.ok()
    }

    /// Version that the daemon at `at` has in force; none while it is not ready.
    pub async fn version_at(&self, at: usize) -> Option<u64> {
        let answer = self.local(at, "/readyz").await?;
        let text = std::str::from_utf8(&answer.body).unwrap();
        let version = text.strip_prefix("version ")?;
        Some(version.trim().parse().unwrap())
    }

    /// Runs the operators' program.
    pub fn cli(&self, args: &[&str]) -> Output {
        let control: Vec<String> = self.operators.iter().map(ToString::to_string).collect();
        Command::new(env!("CARGO_BIN_EXE_anvilbeam"))
            .args(["--control", &control.join(",")])
            .args(args)
            .env("ANVILBEAM_TOKEN", OPERATOR_TOKEN)
            .output()
            .unwrap()
    }

    /// Sends an order through the daemon at `at`.
    pub async fn order(&self, at: usize, key: &str, path: &str) -> Answer {
        let req = order(key, path, "ten rolls");
        send(self.ports[at].callers, req).await.unwrap()
    }

    /// How often the order with `key` ran.
    pub fn runs_of(&self, key: &str) -> u32 {
        self.runs.lock().unwrap().get(key).copied().unwrap_or(0)
    }

    /// Waits until the order with `key` runs.
    pub async fn until_running(&self, key: &str) {
        until("the order runs", async || self.runs_of(key) > 0).await;
    }

    /// Position of the replica that leads the claims group.
    pub async fn claims_leader(&self) -> usize {
        let client = Client::new(MESH_TOKEN).unwrap();
        let probe = ClaimCommand::Release {
            key: ClaimKey::new(&"nobody".into(), "probe"),
            attempt: Attempt(1),
            now_ms: 0,
        };
        let deadline = Instant::now() + PATIENCE;
        loop {
            for (at, peer) in self.claim_peers.iter().enumerate() {
                let deadline = Instant::now() + Duration::from_secs(1);
                let asked = client.request("probe", *peer, CLAIM_PATH, &probe, deadline);
                if let Ok(Ok(ClaimAnswer::Reply(_))) = timeout(PATIENCE, asked).await {
                    return at;
                }
            }
            assert!(Instant::now() < deadline, "no replica leads the claims");
        }
    }

    /// Resends an order under new keys until one is answered.
    pub async fn until_orders_go_on(&self, at: usize, prefix: &str) {
        for number in 0.. {
            let key = format!("{prefix}-{number}");
            let answer = self.order(at, &key, "/order").await;
            let runs = self.runs_of(&key);
            match answer.outcome() {
                None => {
                    assert_eq!((answer.status, runs), (StatusCode::OK, 1), "{answer:?}");
                    return;
                }
                Some("not-run") => assert_eq!(runs, 0, "{answer:?}"),
                Some(_) => assert!(runs <= 1, "{answer:?}"),
            }
            assert!(number < 100, "last answer: {answer:?}");
        }
    }
}
