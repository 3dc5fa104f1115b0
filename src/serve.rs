//! HTTP server: listening sockets, connection settings and graceful shutdown.

#[cfg(test)]
mod tests;

use {
    crate::{
        body::{self, Body, PROGRESS_TIMEOUT},
        error::{Error, Result, error_chain},
        events::Event,
        link::{Activity, HeadTimeout, Metered},
        log_event,
        memory::{self, Connections, Place},
    },
    gotham::{handler::NewHandler, service::call_handler, state::State},
    http::{Request, Response, StatusCode},
    hyper::{body::Incoming, service::service_fn},
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::{conn::auto, graceful::GracefulShutdown},
    },
    socket2::{SockRef, TcpKeepalive},
    std::{
        convert::Infallible, error::Error as StdError, future::pending, net::SocketAddr,
        panic::AssertUnwindSafe, sync::Arc, time::Instant,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        select,
        sync::watch,
        task::JoinHandle,
        time::{Duration, sleep, timeout_at},
    },
};

/// Timeout for receiving the head of an HTTP/1 request, from its first byte.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which an HTTP/1 connection without a request is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Time without a frame from the server after which an HTTP/2 client pings it.
pub const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a frame from the client after which the server pings it. It exceeds
/// [`PING_INTERVAL`], so that on a working connection only the client sends pings.
const SERVER_PING_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time that a ping may stay unacknowledged before the connection is closed, which fails all of its
/// calls. On a full link a ping waits behind other bytes although the peer is alive, so this is
/// much longer than the time after which a client stops to use a silent connection.
pub const PING_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that sent bytes may stay unacknowledged before the connection is reset. Linux also counts
/// the time for which a live peer does not read, so that 2 s would reset the connections of slow
/// readers.
const UNACKNOWLEDGED_TIMEOUT: Duration = PROGRESS_TIMEOUT;
/// Longest time for which a port that closes accepts the connections in its backlog. Clients that
/// connect again and again must not keep it open.
const BACKLOG_TIME: Duration = Duration::from_millis(200);
/// Maximum number of concurrent streams of one HTTP/2 connection.
const MAX_STREAMS: u32 = 4096;
/// Flow control window of one HTTP/2 stream in bytes; limits the bytes of one body that are
/// buffered.
pub const STREAM_WINDOW: u32 = 256 * 1024;
/// Flow control window of one HTTP/2 connection in bytes. Unread bodies that fill it block all
/// other streams of the connection: with 1 MiB four of them do, with this window 64.
pub const CONNECTION_WINDOW: u32 = 64 * STREAM_WINDOW;

/// Bytes of one body that are buffered for a slow peer. With hyper's default of 400 KiB, 16 stalled
/// bodies add 10 MB to a daemon's memory.
pub const SEND_BUFFER: usize = 64 * 1024;

/// Running HTTP server with its listening socket.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<GracefulShutdown>,
}

impl Server {
    /// Returns the address that it listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits until all requests are answered, at most until
    /// `deadline`. Returns whether all were answered.
    pub async fn shutdown(self, deadline: Instant) -> bool {
        self.stop.send_replace(true);
        let ended = async {
            match self.task.await {
                Ok(graceful) => {
                    graceful.shutdown().await;
                    true
                }
                Err(_ended) => false,
            }
        };
        timeout_at(deadline.into(), ended).await.unwrap_or(false)
    }
}

/// Binds a listening socket.
///
/// # Errors
/// [`Error::Bind`] if the address cannot be bound.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::Bind { address, source })
}

/// Serves HTTP/1 and HTTP/2 on `listener`.
///
/// # Panics
/// Panics if the listener has no local address, which does not happen for a bound socket.
pub fn serve<F, Fut>(listener: TcpListener, handler: F) -> Server
where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    serve_with_window(listener, STREAM_WINDOW, handler)
}

/// Same as [`serve`], with `stream_window` as the flow control window of one HTTP/2 request body in
/// bytes.
///
/// # Panics
/// Panics if the listener has no local address, which does not happen for a bound socket.
pub fn serve_with_window<F, Fut>(listener: TcpListener, stream_window: u32, handler: F) -> Server
where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    start(listener, builder(stream_window, SEND_BUFFER), None, handler)
}

/// Same as [`serve_with_window`], with a limit on the connections, whose requests carry the
/// [`memory::Client`] that holds their bytes as an extension.
///
/// # Panics
/// Panics if the listener has no local address, which does not happen for a bound socket.
pub fn serve_limited<F, Fut>(
    listener: TcpListener,
    stream_window: u32,
    connections: Arc<Connections>,
    handler: F,
) -> Server
where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let builder = builder(stream_window, connections.buffer_size());
    start(listener, builder, Some(connections), handler)
}

fn start<F, Fut>(
    listener: TcpListener,
    builder: auto::Builder<TokioExecutor>,
    connections: Option<Arc<Connections>>,
    handler: F,
) -> Server
where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    let (stop, stopped) = watch::channel(false);
    let accepting = accept_loop(listener, stopped, builder, connections, handler);
    let task = tokio::spawn(accepting);
    Server {
        address,
        stop,
        task,
    }
}

async fn accept_loop<F, Fut>(
    listener: TcpListener,
    mut stopped: watch::Receiver<bool>,
    builder: auto::Builder<TokioExecutor>,
    connections: Option<Arc<Connections>>,
    handler: F,
) -> GracefulShutdown
where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let mut ends_at = None;
    loop {
        if *stopped.borrow() {
            let now = Instant::now();
            if *ends_at.get_or_insert(now + BACKLOG_TIME) <= now {
                return graceful;
            }
        }
        // Polls the listener first, so that connections in the backlog are accepted before the
        // socket closes.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => return graceful,
        };
        match accepted {
            Ok((stream, peer)) => {
                let activity = Activity::new();
                let place = match &connections {
                    None => None,
                    Some(connections) => match connections.admit(&activity).await {
                        Some(place) => Some((place, connections.client(peer.ip()))),
                        None => continue,
                    },
                };
                let accepted = Accepted {
                    stream,
                    peer,
                    activity,
                    place,
                };
                spawn_connection(&graceful, &builder, accepted, handler.clone());
            }
            // Out of file descriptors; retries after a pause in which connections can close.
            Err(e) => {
                log::warn!("accepting a connection failed, retrying: {e}");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// A connection that has been accepted.
struct Accepted {
    stream: TcpStream,
    peer: SocketAddr,
    activity: Arc<Activity>,
    /// Its place and its client; `None` on a port without limits.
    place: Option<(Place, memory::Client)>,
}

fn spawn_connection<F, Fut>(
    graceful: &GracefulShutdown,
    builder: &auto::Builder<TokioExecutor>,
    accepted: Accepted,
    handler: F,
) where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let Accepted {
        stream,
        peer,
        activity,
        place,
    } = accepted;
    let (place, client) = place.unzip();
    set_socket_options(&stream);
    let metered = Metered::new(stream, Arc::clone(&activity));
    let timed = HeadTimeout::new(metered, Arc::clone(&activity), HEAD_TIMEOUT);
    let traffic = Arc::clone(&activity);
    let service = service_fn(move |mut req: Request<Incoming>| {
        if let Some(client) = &client {
            req.extensions_mut().insert(client.clone());
        }
        let answer = handler(req, peer);
        let in_flight = Activity::begin_call(&activity);
        async move {
            // The call is in flight until its answer has been sent.
            let response = answer.await;
            Ok::<_, Infallible>(response.map(|sent| body::kept(sent, in_flight)))
        }
    });
    let connection = builder
        .serve_connection(TokioIo::new(timed), service)
        .into_owned();
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        select! {
            ended = watched => {
                if let Err(e) = ended {
                    log_failed_connection(peer, e.as_ref(), &traffic);
                }
            }
            () = wait_for_close(place.as_ref()) => {
                log::debug!("idle connection from {peer} closed to make room; {traffic}");
            }
        }
    });
}

/// Waits until the connection has to be closed to make room, on a port with a limit.
async fn wait_for_close(place: Option<&Place>) {
    match place {
        Some(place) => place.wait_for_close().await,
        None => pending().await,
    }
}

/// Logs why a connection failed. A client that goes away or stays idle is routine; one that misses a
/// ping is not.
fn log_failed_connection(
    peer: SocketAddr,
    e: &(dyn StdError + Send + Sync + 'static),
    traffic: &Activity,
) {
    // The timeout of an idle HTTP/1 client has no source.
    let missed_ping = e
        .downcast_ref::<hyper::Error>()
        .is_some_and(|e| e.is_timeout() && e.source().is_some());
    let reason = error_chain(e);
    if missed_ping {
        log_event!(
            Event::ConnectionClosed,
            peer = peer,
            side = "server",
            reason = reason,
            traffic = traffic,
        );
        return;
    }
    log::debug!("connection from {peer} failed: {reason}; {traffic}");
}

fn builder(stream_window: u32, buffer_size: usize) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        // Counts from the end of the previous request; the head has a timeout of its own.
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(buffer_size)
        .half_close(false);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(SERVER_PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .initial_stream_window_size(stream_window)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_send_buf_size(SEND_BUFFER)
        .max_concurrent_streams(MAX_STREAMS);
    builder
}

/// Sets the socket options of a connection: `TCP_NODELAY`, and timeouts that close the connection
/// if the peer does not respond.
pub fn set_socket_options(stream: &TcpStream) {
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
        log::debug!("socket options not set: {e}");
    }
}

/// Handles one request with a gotham handler, such as a router.
pub async fn handle_with_gotham<H>(
    handler: H,
    req: Request<Incoming>,
    peer: SocketAddr,
) -> Response<Body>
where
    H: NewHandler + Send + std::panic::UnwindSafe,
{
    let client = req.extensions().get::<memory::Client>().cloned();
    let mut state = State::from_request(req, peer);
    if let Some(client) = client {
        state.put(client);
    }
    let state = AssertUnwindSafe(state);
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
