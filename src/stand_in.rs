//! Small stand-in for a backend server, for `dev`, tests and measurements.

use {
    crate::{
        announce::{ANNOUNCE_PATH, Announcement},
        body::{self, Body},
        call::IDEMPOTENCY_KEY,
        error::{Error, Result},
        http_client,
        model::ServerState,
        peer, serve,
    },
    bytes::Bytes,
    http::{HeaderMap, Request, Response, StatusCode, Uri, header},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread::{self, JoinHandle},
    },
    tokio::{
        runtime::Builder,
        sync::Notify,
        time::{Duration, sleep},
    },
};

/// Interval of announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes in one chunk of a generated body.
const CHUNK: usize = 64 * 1024;

/// Counts of runs by idempotency key, shared by all stand-ins of a test.
pub type Runs = Arc<Mutex<IndexMap<String, u32>>>;

/// What a stand-in is.
#[derive(Clone, Debug)]
pub struct StandInConfig {
    /// What it announces; the address is filled in.
    pub announcement: Announcement,
    /// Local port of the daemon beside it.
    pub daemon: SocketAddr,
    /// Counts of runs.
    pub runs: Runs,
}

/// The answer of a stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The server that answered.
    pub server: String,
    /// Its service.
    pub service: String,
    /// Method of the request.
    pub method: String,
    /// Path and query of the request.
    pub path: String,
    /// Bytes of the request body.
    pub received: u64,
    /// Milliseconds that were left for the call.
    pub timeout_ms: Option<u64>,
}

struct State {
    cfg: StandInConfig,
    draining: AtomicBool,
    calls: AtomicU64,
    cut: AtomicU64,
    crash: Notify,
}

/// A request body that is being read; counts as cut unless its end was seen.
struct Reading<'a> {
    state: &'a State,
    whole: bool,
}

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        if !self.whole {
            self.state.cut.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// A running stand-in.
pub struct StandIn {
    address: SocketAddr,
    state: Arc<State>,
    thread: Option<JoinHandle<()>>,
}

impl std::fmt::Debug for StandIn {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StandIn")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl StandIn {
    /// Starts a stand-in on a free port of the loopback interface.
    ///
    /// # Errors
    /// [`Error::Bind`] when no port or no thread can be had.
    pub fn start(mut cfg: StandInConfig) -> Result<Self> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let bind_error = |source| Error::Bind {
            address: any,
            source,
        };
        // A runtime of its own lets a crash end all connections at once.
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .map_err(bind_error)?;
        let listener = std::net::TcpListener::bind(any).map_err(bind_error)?;
        listener.set_nonblocking(true).map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        cfg.announcement.address = address;
        let state = Arc::new(State {
            cfg,
            draining: AtomicBool::new(false),
            calls: AtomicU64::new(0),
            cut: AtomicU64::new(0),
            crash: Notify::new(),
        });
        let shared = Arc::clone(&state);
        let thread = thread::Builder::new()
            .name("stand-in".to_owned())
            .spawn(move || {
                runtime.block_on(run(&shared, listener));
                runtime.shutdown_background();
            })
            .map_err(bind_error)?;
        Ok(Self {
            address,
            state,
            thread: Some(thread),
        })
    }

    /// Address that takes calls.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls that were run.
    pub fn calls(&self) -> u64 {
        self.state.calls.load(Ordering::Relaxed)
    }

    /// Calls whose request body did not arrive as a whole.
    pub fn cut(&self) -> u64 {
        self.state.cut.load(Ordering::Relaxed)
    }

    /// Announces from now on that the server is leaving.
    pub fn drain(&self) {
        self.state.draining.store(true, Ordering::Relaxed);
    }

    /// Whether the server runs; a request to `/crash` ends it.
    pub fn is_running(&self) -> bool {
        self.thread
            .as_ref()
            .is_some_and(|thread| !thread.is_finished())
    }

    /// Ends the server and all its connections at once.
    pub fn crash(&mut self) {
        self.state.crash.notify_one();
        if let Some(thread) = self.thread.take() {
            // A stand-in that panicked has ended too.
            let _ended = thread.join();
        }
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.crash();
    }
}

/// Serves and announces until the server crashes.
async fn run(state: &Arc<State>, listener: std::net::TcpListener) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    let shared = Arc::clone(state);
    let _server = serve::serve(listener, move |req, _| answer(Arc::clone(&shared), req));
    tokio::select! {
        () = announce_forever(state) => {}
        () = state.crash.notified() => {}
    }
}

async fn announce_forever(state: &State) {
    loop {
        if let Err(e) = announce(state).await {
            log::debug!("announcement of {}: {e}", state.cfg.announcement.server);
        }
        sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn announce(state: &State) -> std::result::Result<(), body::BoxError> {
    let mut announcement = state.cfg.announcement.clone();
    if state.draining.load(Ordering::Relaxed) {
        announcement.state = ServerState::Draining;
    }
    let req = Request::post(ANNOUNCE_PATH)
        .header(header::HOST, state.cfg.daemon.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(body::full(serde_json::to_vec(&announcement)?))?;
    let status = http_client::send(state.cfg.daemon, req).await?.status();
    if status != StatusCode::OK {
        return Err(format!("status {status}").into());
    }
    Ok(())
}

async fn answer(state: Arc<State>, req: Request<Incoming>) -> Response<Body> {
    let (parts, mut incoming) = req.into_parts();
    state.calls.fetch_add(1, Ordering::Relaxed);
    count_run(&state.cfg.runs, &parts.headers);
    if parts.uri.path() == "/crash" {
        state.crash.notify_one();
        sleep(Duration::from_mins(1)).await;
    }
    if let Some(ms) = query_number(&parts.uri, "stall") {
        sleep(Duration::from_millis(ms)).await;
    }
    let mut reading = Reading {
        state: &state,
        whole: false,
    };
    let mut received = 0;
    while let Some(frame) = incoming.frame().await {
        let Ok(frame) = frame else {
            return peer::status(StatusCode::BAD_REQUEST);
        };
        received += frame.data_ref().map_or(0, Bytes::len) as u64;
    }
    reading.whole = true;
    drop(reading);
    if let Some(ms) = query_number(&parts.uri, "ms") {
        sleep(Duration::from_millis(ms)).await;
    }
    if let Some(code) = query_number(&parts.uri, "status") {
        return peer::status(StatusCode::from_u16(code as u16).unwrap_or_default());
    }
    if let Some(bytes) = query_number(&parts.uri, "bytes") {
        return Response::new(generated(bytes));
    }
    let announcement = &state.cfg.announcement;
    let echo = Echo {
        server: announcement.server.to_string(),
        service: announcement.service.to_string(),
        method: parts.method.to_string(),
        path: parts.uri.to_string(),
        received,
        timeout_ms: header_number(&parts.headers, &crate::call::TIMEOUT_MS),
    };
    let mut response = Response::new(body::full(serde_json::to_vec(&echo).unwrap_or_default()));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    response
}

fn count_run(runs: &Runs, headers: &HeaderMap) {
    let key = headers
        .get(IDEMPOTENCY_KEY)
        .and_then(|value| value.to_str().ok());
    if let Some(key) = key {
        let mut runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(key.to_owned()).or_default() += 1;
    }
}

/// A body of `bytes` zero bytes that is generated while it is sent.
fn generated(bytes: u64) -> Body {
    let (tx, streamed) = body::channel(4);
    tokio::spawn(async move {
        let chunk = Bytes::from(vec![0; CHUNK]);
        let mut left = bytes;
        while left > 0 {
            let size = left.min(CHUNK as u64);
            left -= size;
            if tx.send(chunk.slice(..size as usize)).await.is_err() {
                return;
            }
        }
    });
    streamed
}

fn query_number(uri: &Uri, name: &str) -> Option<u64> {
    uri.query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

fn header_number(headers: &HeaderMap, name: &http::HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
