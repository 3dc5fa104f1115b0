//! Helpers of the failure tests: orders, streamed bodies, waits and inspection of processes.

use {
    super::{
        Answer, MESH_TOKEN, Mesh, OPERATOR_TOKEN, Process, WAIT_TIMEOUT, grants, plans, request,
        send,
    },
    anvilbeam::{
        body::{self, Body, BoxError},
        claim_client::{CLAIM_PATH, ClaimAnswer},
        claims::{Attempt, ClaimKey, Command as ClaimCommand},
        operator_api::{EXPLAIN, ExplainResponse},
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

/// Content of each chunk of a generated body.
pub static CHUNK: [u8; 64 * 1024] = [0; 64 * 1024];

/// Polls `condition` until it holds; fails after `WAIT_TIMEOUT`.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Builds an order of the plan `clerks` for the service `roll`.
pub fn order(key: &str, path: &str, text: &'static str) -> Request<Body> {
    request("POST", "roll", path, "clerks-key")
        .header("idempotency-key", key)
        .body(body::full(text))
        .unwrap()
}

/// Builds a GET of the plan `clerks` for the service `roll`.
pub fn get(path: &str) -> Request<Body> {
    request("GET", "roll", path, "clerks-key")
        .body(body::empty())
        .unwrap()
}

/// Sends a request in a new task.
pub fn spawn_send(address: SocketAddr, req: Request<Body>) -> JoinHandle<Result<Answer, BoxError>> {
    tokio::spawn(send(address, req))
}

/// Sends one request on a new connection and returns once the head of the answer is there; the body
/// is received as the caller reads it.
pub async fn send_streaming(
    address: SocketAddr,
    req: Request<Body>,
) -> Result<Response<Incoming>, BoxError> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender.send_request(req).await?)
}

/// Returns a body of `chunks` chunks of 64 KiB, each generated after `pause` while the body is
/// sent.
pub fn generated_body(chunks: u64, pause: Duration) -> Body {
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

/// Builds a PUT of the plan `clerks` for the service `roll`.
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

/// Returns the resident memory of a process in KiB.
pub fn resident_kib(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.unwrap().parse().unwrap()
}

impl Process {
    /// Path of the settings file.
    pub fn settings(&self) -> &Path {
        &self.settings
    }

    /// Sets a top-level key in the settings file.
    pub fn set_setting(&self, key: &str, value: &str) {
        let text = fs::read_to_string(&self.settings).unwrap();
        let prefix = format!("{key}:");
        let mut lines: Vec<&str> = text.lines().filter(|l| !l.starts_with(&prefix)).collect();
        let line = format!("{key}: {value}\n");
        lines.push(&line);
        fs::write(&self.settings, lines.join("\n")).unwrap();
    }

    /// Starts the process, asserts that it exits with an error, and returns its log.
    pub async fn start_expecting_failure(&mut self, bootstrap: bool) -> String {
        let log_file = self.settings.with_extension("log");
        fs::write(&log_file, "").unwrap();
        self.bootstrap = bootstrap;
        self.start();
        let mut child = self.child.take().unwrap();
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let status = loop {
            if let Some(status) = child.try_wait().unwrap() {
                break status;
            }
            if Instant::now() > deadline {
                child.kill().unwrap();
                panic!(
                    "the process still runs: {}",
                    fs::read_to_string(&log_file).unwrap()
                );
            }
            sleep(Duration::from_millis(20)).await;
        };
        let text = fs::read_to_string(&log_file).unwrap();
        assert!(
            status.code().is_some_and(|code| code != 0),
            "{status}: {text}"
        );
        text
    }
}

impl Mesh {
    /// Starts a mesh of `entries` daemons whose servers do not serve `roll`, followed by `owners`
    /// daemons whose servers do. Returns when each daemon would route to the server of each owner.
    pub async fn start_with_daemons(replicas: usize, entries: usize, owners: usize) -> Self {
        let mut mesh = Self::start(replicas);
        for _ in 0..entries {
            mesh.add_daemon("r1-a", "front", 4);
        }
        for _ in 0..owners {
            mesh.add_daemon("r1-a", "roll", 16);
        }
        mesh.put(&plans(&["clerks"]), &grants(&[("clerks", "roll", "")]))
            .await;
        for daemon in 0..entries + owners {
            mesh.wait_for_usable_servers(daemon, owners).await;
        }
        mesh
    }

    /// Waits until daemon number `daemon` can route calls for `roll` to `servers` backend servers.
    pub async fn wait_for_usable_servers(&self, daemon: usize, servers: usize) {
        wait_until(
            &format!("{servers} servers at daemon {daemon}"),
            async || {
                self.usable_servers(daemon)
                    .await
                    .is_some_and(|names| names.len() == servers)
            },
        )
        .await;
    }

    /// Returns the backend servers to which daemon number `daemon` can route calls for `roll`;
    /// `None` if it gives no explanation.
    pub async fn usable_servers(&self, daemon: usize) -> Option<Vec<String>> {
        let path = format!("{EXPLAIN}?plan=clerks&service=roll");
        let answer = self.get_local(daemon, &path).await?;
        let explained: ExplainResponse = serde_json::from_slice(&answer.body).ok()?;
        let candidates = explained.candidates.into_iter();
        Some(candidates.filter(|c| c.usable).map(|c| c.server).collect())
    }

    /// Sends a GET to the local port of daemon number `daemon`; `None` if the request fails.
    pub async fn get_local(&self, daemon: usize, path: &str) -> Option<Answer> {
        let req = Request::get(path)
            .header("host", "local")
            .body(body::empty());
        send(self.ports[daemon].local, req.unwrap()).await.ok()
    }

    /// Returns the version in force at daemon number `daemon`; `None` while it is not ready.
    pub async fn version_in_force(&self, daemon: usize) -> Option<u64> {
        let answer = self.get_local(daemon, "/readyz").await?;
        let text = std::str::from_utf8(&answer.body).unwrap();
        let version = text.strip_prefix("version ")?;
        Some(version.trim().parse().unwrap())
    }

    /// Runs the command line of the operators against all control replicas.
    pub fn cli(&self, args: &[&str]) -> Output {
        let control: Vec<String> = self.operators.iter().map(ToString::to_string).collect();
        Command::new(env!("CARGO_BIN_EXE_anvilbeam"))
            .args(["--control", &control.join(",")])
            .args(args)
            .env("ANVILBEAM_TOKEN", OPERATOR_TOKEN)
            .output()
            .unwrap()
    }

    /// Sends an order through daemon number `daemon`.
    pub async fn order(&self, daemon: usize, key: &str, path: &str) -> Answer {
        let req = order(key, path, "ten rolls");
        send(self.ports[daemon].callers, req).await.unwrap()
    }

    /// Returns how often the order with `key` ran.
    pub fn runs_of(&self, key: &str) -> u32 {
        self.runs.lock().unwrap().get(key).copied().unwrap_or(0)
    }

    /// Waits until the order with `key` has begun to run.
    pub async fn wait_until_order_runs(&self, key: &str) {
        wait_until("the order runs", async || self.runs_of(key) > 0).await;
    }

    /// Returns the index of the replica that leads the claims group.
    pub async fn claims_leader(&self) -> usize {
        let client = Client::new(MESH_TOKEN).unwrap();
        let probe = ClaimCommand::Release {
            key: ClaimKey::new(&"nobody".into(), "probe"),
            attempt: Attempt(1),
            now_ms: 0,
        };
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            for (replica, peer) in self.claim_peers.iter().enumerate() {
                let deadline = Instant::now() + Duration::from_secs(1);
                let response = client.request("probe", *peer, CLAIM_PATH, &probe, deadline);
                if let Ok(Ok(ClaimAnswer::Reply(_))) = timeout(WAIT_TIMEOUT, response).await {
                    return replica;
                }
            }
            assert!(
                Instant::now() < deadline,
                "no claims replica answered as the leader"
            );
        }
    }

    /// Sends orders, each with a new key, until one succeeds; asserts that the runs of each agree
    /// with the outcome in its answer.
    pub async fn wait_until_order_succeeds(&self, daemon: usize, prefix: &str) {
        for number in 0.. {
            let key = format!("{prefix}-{number}");
            let answer = self.order(daemon, &key, "/order").await;
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
