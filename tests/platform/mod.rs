//! A control replica and a daemon that speak the platform's interface, in the test process.

pub mod upstream;

use {
    anvilbeam::{
        body,
        control::{self, Control},
        daemon::{self, Daemon},
        http_client, settings,
    },
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        path::Path,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::time::sleep,
    upstream::Upstream,
};

/// Longest wait for a state that must come; only a hang reaches it.
const PATIENCE: Duration = Duration::from_mins(1);

pub struct Platform {
    pub control: Control,
    pub daemon: Daemon,
    pub upstream: Upstream,
    _folder: TempDir,
}

impl Platform {
    /// Starts the processes; no configuration is in force and no backend server is known.
    pub async fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let mut cfg = settings::Control::parse(
            Path::new("control.yaml"),
            "name: control-1\ngroup: config\nregion: r1\ndata_centre: r1-a\n\
             peer_address: 127.0.0.1:0\noperator_address: 127.0.0.1:0\n\
             data_folder: data\nmesh_token: token-of-the-platform-test\n\
             election_timeout: 300ms\nfirst_start: true\ninterface: platform\n",
        )
        .unwrap();
        cfg.data_folder = folder.path().to_owned();
        let listeners = control::Listeners::bind(&cfg).await.unwrap();
        cfg.seeds = vec![listeners.peer.local_addr().unwrap()];
        let control = Control::start(cfg, listeners, false).await.unwrap();
        let text = format!(
            "name: daemon-1\nregion: r1\ndata_centre: r1-a\ncaller_address: 127.0.0.1:0\n\
             local_address: 127.0.0.1:0\npeer_address: 127.0.0.1:0\ncontrol: [{}]\n\
             mesh_token: token-of-the-platform-test\ninterface: platform\nservice: desk\n\
             tree: direct\ngrace: 2s\n",
            control.peer_address()
        );
        let cfg = settings::Daemon::parse(Path::new("daemon.yaml"), &text).unwrap();
        let listeners = daemon::Listeners::bind(&cfg).await.unwrap();
        let daemon = Daemon::start(cfg, listeners).unwrap();
        Self {
            control,
            daemon,
            upstream: Upstream::start().await,
            _folder: folder,
        }
    }

    /// Starts the processes with one route of each kind to the service `desk`.
    pub async fn serving() -> Self {
        let platform = Self::start().await;
        let first = configuration(1, 0, &[]);
        platform.until_accepted(&first).await;
        assert_eq!(platform.beat("i-1", 1, 1, "ready").await, StatusCode::OK);
        let served = || async {
            let answer = platform.call("GET", "/safe/ok", "warm-up").await;
            answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
        };
        until("the route is served", served).await;
        platform
    }

    pub async fn until_accepted(&self, document: &Value) {
        let accepted = || async { self.put(document).await.status() == StatusCode::OK };
        until("the configuration is accepted", accepted).await;
    }

    pub async fn put(&self, document: &Value) -> Response<Bytes> {
        self.put_bytes(document.to_string()).await
    }

    pub async fn put_bytes(&self, text: String) -> Response<Bytes> {
        let address = self.control.operator_address().unwrap();
        send(address, "PUT", "/anvilbeam/config", &[], text)
            .await
            .unwrap()
    }

    pub async fn get(&self) -> Response<Bytes> {
        let address = self.control.operator_address().unwrap();
        send(address, "GET", "/anvilbeam/config", &[], String::new())
            .await
            .unwrap()
    }

    pub async fn ready(&self) -> StatusCode {
        let address = self.daemon.local_address();
        let path = "/anvilbeam/readiness";
        let answer = send(address, "GET", path, &[], String::new()).await;
        answer.unwrap().status()
    }

    /// Sends a heartbeat of the backend server.
    pub async fn beat(&self, id: &str, born: u64, sequence: u64, state: &str) -> StatusCode {
        let beat = json!({
            "Service": "desk", "Address": self.upstream.address, "Zone": "r1-a",
            "Version": "v1", "Slots": 4, "State": state, "ColdRemaining": "0ms",
            "Sequence": sequence, "born": born,
        });
        self.beat_bytes(id, beat.to_string()).await
    }

    pub async fn beat_bytes(&self, id: &str, text: String) -> StatusCode {
        let path = format!("/anvilbeam/instances/{id}");
        let address = self.daemon.local_address();
        let answer = send(address, "PUT", &path, &[], text).await;
        answer.unwrap().status()
    }

    pub async fn leave(&self, id: &str) -> StatusCode {
        let path = format!("/anvilbeam/instances/{id}");
        let address = self.daemon.local_address();
        let answer = send(address, "DELETE", &path, &[], String::new()).await;
        answer.unwrap().status()
    }

    pub async fn call(
        &self,
        method: &str,
        path: &str,
        id: &str,
    ) -> Result<Response<Bytes>, body::BoxError> {
        let headers = [
            ("Host", "offices.example"),
            ("Anvilbeam-Request-Id", id),
            ("Anvilbeam-Deadline-Ms", "5000"),
            ("Anvilbeam-Caller-Service", "forged"),
        ];
        let address = self.daemon.caller_address();
        send(address, method, path, &headers, String::new()).await
    }
}

async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    text: String,
) -> Result<Response<Bytes>, body::BoxError> {
    let mut req = Request::builder().method(method).uri(path);
    if headers.is_empty() {
        req = req.header("Host", address.to_string());
    }
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    http_client::send(address, req.body(body::full(text)).unwrap()).await
}

pub async fn until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let deadline = Instant::now() + PATIENCE;
    while !holds().await {
        assert!(Instant::now() < deadline, "{what}: not in time");
        sleep(Duration::from_millis(50)).await;
    }
}

/// A configuration with a route of each kind of work, and `more` routes.
pub fn configuration(version: u64, base: u64, more: &[Value]) -> Value {
    let mut routes = vec![route("safe"), route("unsafe"), route("upload")];
    routes.extend_from_slice(more);
    json!({
        "Version": format!("{version:08x}"),
        "BaseVersion": format!("{base:08x}"),
        "Routes": routes,
        "Services": [{
            "Name": "desk", "HealthPath": "/health", "MaxConnections": 110,
            "Protocol": "h1", "Tls": false,
        }],
        "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 67_108_864,
            "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms",
        },
    })
}

/// A route whose prefix is its kind of work.
pub fn route(work: &str) -> Value {
    json!({
        "Name": format!("r-{work}"), "Host": "offices.example",
        "PathPrefix": format!("/{work}/"), "RouteType": work, "Timeout": "4000ms",
        "TargetLatency": "1000ms", "Priority": 1, "Service": "desk", "MaxAttempts": 2,
    })
}
