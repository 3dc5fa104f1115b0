//! Stand-in for a backend server, used by `dev`, tests and benchmarks.
//!
//! A request to `/crash` ends it. Query parameters control its response: "stall" and "ms" delay it
//! by milliseconds before and after the request body is read, "status" sets its status, and "bytes"
//! the size of a generated body.

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
        time::{Duration, sleep, timeout},
    },
};

/// Interval of announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one announcement, head and body.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of one chunk of a generated body in bytes.
const CHUNK_SIZE: usize = 64 * 1024;

/// Number of runs by idempotency key, shared by all stand-ins of a test.
pub type RunCounts = Arc<Mutex<IndexMap<String, u32>>>;

/// Configuration of a stand-in.
#[derive(Clone, Debug)]
pub struct StandInConfig {
    /// Announcement that it sends; the address is replaced by its own.
    pub announcement: Announcement,
    /// Address of the local port of its daemon.
    pub daemon: SocketAddr,
    /// Run counts, which each call with an idempotency key increments.
    pub runs: RunCounts,
}

/// JSON body of a stand-in's response, which describes the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Name of the stand-in.
    pub server: String,
    /// Service of the stand-in.
    pub service: String,
    /// Method of the request.
    pub method: String,
    /// Path and query of the request.
    pub path: String,
    /// Size of the request body in bytes.
    pub received: u64,
    /// Time left for the call in milliseconds; `None` if the request did not state it.
    pub timeout_ms: Option<u64>,
}

struct State {
    cfg: StandInConfig,
    draining: AtomicBool,
    calls: AtomicU64,
    truncated_bodies: AtomicU64,
    crash: Notify,
}

/// Guard held while a request body is read; counts the body as truncated if dropped before its end.
struct BodyRead<'a> {
    state: &'a State,
    complete: bool,
}

impl Drop for BodyRead<'_> {
    fn drop(&mut self) {
        if !self.complete {
            self.state.truncated_bodies.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Running stand-in.
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
    /// [`Error::Bind`] if no port can be bound or no thread or runtime can be started.
    pub fn start(mut cfg: StandInConfig) -> Result<Self> {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let bind_error = |source| Error::Bind {
            address: any_port,
            source,
        };
        // With its own runtime, a crash closes all connections at once.
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .map_err(bind_error)?;
        let listener = std::net::TcpListener::bind(any_port).map_err(bind_error)?;
        listener.set_nonblocking(true).map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        cfg.announcement.address = address;
        let state = Arc::new(State {
            cfg,
            draining: AtomicBool::new(false),
            calls: AtomicU64::new(0),
            truncated_bodies: AtomicU64::new(0),
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

    /// Returns the address on which it accepts calls.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of calls received.
    pub fn calls(&self) -> u64 {
        self.state.calls.load(Ordering::Relaxed)
    }

    /// Returns the number of calls whose request body did not arrive completely.
    pub fn truncated_bodies(&self) -> u64 {
        self.state.truncated_bodies.load(Ordering::Relaxed)
    }

    /// Sets the state of all further announcements to draining.
    pub fn drain(&self) {
        self.state.draining.store(true, Ordering::Relaxed);
    }

    /// Returns whether the server is running; a request to `/crash` ends it.
    pub fn is_running(&self) -> bool {
        self.thread
            .as_ref()
            .is_some_and(|thread| !thread.is_finished())
    }

    /// Simulates a crash: stops the server and closes all its connections at once.
    pub fn crash(&mut self) {
        self.state.crash.notify_one();
        if let Some(thread) = self.thread.take() {
            // The thread has ended even if it panicked.
            let _result = thread.join();
        }
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.crash();
    }
}

/// Serves calls and sends announcements until [`StandIn::crash`] or a request to `/crash`.
async fn run(state: &Arc<State>, listener: std::net::TcpListener) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    let shared = Arc::clone(state);
    let _server = serve::serve(listener, move |req, _| {
        handle_call(Arc::clone(&shared), req)
    });
    tokio::select! {
        () = announce_periodically(state) => {}
        () = state.crash.notified() => {}
    }
}

async fn announce_periodically(state: &State) {
    loop {
        if let Err(e) = announce(state).await {
            log::debug!(
                "announcement of {} failed, repeated after the interval: {e}",
                state.cfg.announcement.server
            );
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
    let sent = timeout(ANNOUNCE_TIMEOUT, http_client::send(state.cfg.daemon, req));
    let status = sent.await??.status();
    if status != StatusCode::OK {
        return Err(format!("unexpected status {status}").into());
    }
    Ok(())
}

async fn handle_call(state: Arc<State>, req: Request<Incoming>) -> Response<Body> {
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
    let mut body_read = BodyRead {
        state: &state,
        complete: false,
    };
    let mut received = 0;
    while let Some(frame) = incoming.frame().await {
        let Ok(frame) = frame else {
            return peer::empty_response(StatusCode::BAD_REQUEST);
        };
        received += frame.data_ref().map_or(0, Bytes::len) as u64;
    }
    body_read.complete = true;
    drop(body_read);
    if let Some(ms) = query_number(&parts.uri, "ms") {
        sleep(Duration::from_millis(ms)).await;
    }
    if let Some(code) = query_number(&parts.uri, "status") {
        return peer::empty_response(StatusCode::from_u16(code as u16).unwrap_or_default());
    }
    if let Some(bytes) = query_number(&parts.uri, "bytes") {
        return Response::new(generated_body(bytes));
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

fn count_run(runs: &RunCounts, headers: &HeaderMap) {
    let key = headers
        .get(IDEMPOTENCY_KEY)
        .and_then(|value| value.to_str().ok());
    if let Some(key) = key {
        let mut runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(key.to_owned()).or_default() += 1;
    }
}

/// Returns a body of `bytes` zero bytes, which is generated while it is sent.
fn generated_body(bytes: u64) -> Body {
    let (tx, streamed) = body::channel(4);
    tokio::spawn(async move {
        let chunk = Bytes::from(vec![0; CHUNK_SIZE]);
        let mut remaining = bytes;
        while remaining > 0 {
            let size = remaining.min(CHUNK_SIZE as u64);
            remaining -= size;
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
