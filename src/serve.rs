//! Listening sockets, connections and their graceful shutdown.

use {
    crate::{
        body::{self, Body, PROGRESS_TIMEOUT},
        error::{Error, Result},
    },
    gotham::{handler::NewHandler, service::call_handler, state::State},
    http::{Request, Response, StatusCode},
    hyper::{body::Incoming, service::service_fn},
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::{conn::auto, graceful::GracefulShutdown},
    },
    socket2::{SockRef, TcpKeepalive},
    std::{convert::Infallible, net::SocketAddr, panic::AssertUnwindSafe, time::Instant},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        task::JoinHandle,
        time::{Duration, sleep, timeout_at},
    },
};

/// Longest wait for the header of an HTTP/1 request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval of a client's HTTP/2 pings on connections, and the longest wait for their answer.
pub const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time without any frame from a client after which a server pings it. The client's own pings
/// come earlier, so a connection that works carries pings in one direction only.
const SERVER_PING_INTERVAL: Duration = Duration::from_millis(1_500);
/// Longest time that sent bytes may stay unacknowledged. The system also counts the time for which
/// a live peer does not read; 2 s reset the connections of slow readers.
const UNACKNOWLEDGED_TIMEOUT: Duration = PROGRESS_TIMEOUT;
/// Streams that one HTTP/2 connection may hold.
const MAX_STREAMS: u32 = 4096;
/// Flow control window of one HTTP/2 stream in bytes; bounds the memory of one body.
pub const STREAM_WINDOW: u32 = 256 * 1024;
/// Flow control window of one HTTP/2 connection in bytes. Bodies that nobody reads use it up and
/// then hold up all others: with 1 MiB four were enough, this takes 64.
pub const CONNECTION_WINDOW: u32 = 64 * STREAM_WINDOW;

/// Bytes of one body that wait for a slow peer; the default of 400 KiB would let 16 stalled bodies
/// add 10 MB to a daemon.
pub const SEND_BUFFER: usize = 64 * 1024;

/// A listening server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<GracefulShutdown>,
}

impl Server {
    /// Address that it listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting and waits until all requests have their answer, at most until `deadline`.
    /// Returns whether all had it.
    pub async fn shutdown(self, deadline: Instant) -> bool {
        self.stop.send_replace(true);
        let Ok(graceful) = self.task.await else {
            return false;
        };
        timeout_at(deadline.into(), graceful.shutdown())
            .await
            .is_ok()
    }
}

/// Binds a listening socket.
///
/// # Errors
/// [`Error::Bind`] with the address.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::Bind { address, source })
}

/// Serves HTTP/1 and HTTP/2 on `listener`.
///
/// # Panics
/// Panics when the listener has no local address, which the operating system does not allow.
pub fn serve<F, Fut>(listener: TcpListener, handler: F) -> Server
where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(accept_loop(listener, stopped, handler));
    Server {
        address,
        stop,
        task,
    }
}

async fn accept_loop<F, Fut>(
    listener: TcpListener,
    mut stopped: watch::Receiver<bool>,
    handler: F,
) -> GracefulShutdown
where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    loop {
        // Polling the listener first empties the backlog before the socket closes.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => return graceful,
        };
        match accepted {
            Ok((stream, peer)) => spawn_connection(&graceful, stream, peer, handler.clone()),
            // Out of file descriptors: a pause lets connections close.
            Err(e) => {
                log::warn!("accept failed: {e}");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

fn spawn_connection<F, Fut>(
    graceful: &GracefulShutdown,
    stream: TcpStream,
    peer: SocketAddr,
    handler: F,
) where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    tune(&stream);
    let service = service_fn(move |req| {
        let answer = handler(req, peer);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = builder()
        .serve_connection(TokioIo::new(stream), service)
        .into_owned();
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(e) = watched.await {
            log::debug!("connection from {peer} ended: {e}");
        }
    });
}

fn builder() -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(SEND_BUFFER)
        .half_close(false);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(SERVER_PING_INTERVAL)
        .keep_alive_timeout(PING_INTERVAL)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_send_buf_size(SEND_BUFFER)
        .max_concurrent_streams(MAX_STREAMS);
    builder
}

/// Sets the options of a connection: no delay of small writes, and an end to silent peers.
pub fn tune(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PING_INTERVAL)
        .with_interval(PING_INTERVAL)
        .with_retries(2);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(e) = set {
        log::debug!("socket options: {e}");
    }
}

/// Answers one request with a gotham handler, such as a router.
pub async fn gotham_answer<H>(
    handler: H,
    req: Request<Incoming>,
    peer: SocketAddr,
) -> Response<Body>
where
    H: NewHandler + Send + std::panic::UnwindSafe,
{
    let state = AssertUnwindSafe(State::from_request(req, peer));
    match call_handler(handler, state).await {
        Ok(response) => response.map(body::boxed),
        Err(e) => {
            log::error!("handler failed: {e}");
            let mut response = Response::new(body::empty());
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}
