//! The shared connection to one peer: opening, silence and replacement.

#[cfg(test)]
mod tests;

use {
    super::SendError,
    crate::{
        body::Body,
        error::error_chain,
        events::Event,
        link::{Activity, Metered},
        log_event,
        serve::{self, CONNECTION_WINDOW, PING_INTERVAL, PING_TIMEOUT, SEND_BUFFER, STREAM_WINDOW},
    },
    hyper::client::conn::http2::{self, SendRequest},
    hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer},
    std::{net::SocketAddr, sync::Arc, time::Instant},
    tokio::{
        net::TcpStream,
        sync::Mutex as AsyncMutex,
        time::{Duration, sleep_until, timeout_at},
    },
};

/// Timeout for connecting to a peer: ten round trips between regions. A VM without power does not
/// answer at all; failing early leaves time to try another peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without a byte from the peer after which its connection counts as silent: the interval of
/// pings and a second for the answer. New calls get a new connection; the old one stays open for
/// the calls that wait for their answer.
const SILENCE_LIMIT: Duration = PING_INTERVAL.saturating_add(Duration::from_secs(1));

/// An open connection to a peer.
#[derive(Clone)]
pub(super) struct Connection {
    pub(super) sender: SendRequest<Body>,
    pub(super) activity: Arc<Activity>,
}

impl Connection {
    fn is_usable(&self) -> bool {
        !self.sender.is_closed() && Instant::now() < silent_from(&self.activity)
    }
}

/// Returns the time from which a connection counts as silent unless it receives a byte.
fn silent_from(activity: &Activity) -> Instant {
    activity.last_received_at() + SILENCE_LIMIT
}

/// Waits until the connection is silent.
pub(super) async fn silence(activity: &Activity) {
    loop {
        let silent_from = silent_from(activity);
        if silent_from <= Instant::now() {
            return;
        }
        sleep_until(silent_from.into()).await;
    }
}

/// Connection to one address that concurrent calls share.
#[derive(Default)]
pub(super) struct Slot {
    /// `None` until the first call.
    open: Option<Connection>,
    /// Time at which the last attempt to connect failed, and why.
    failed: Option<(Instant, String)>,
}

/// The slot of an address, locked while a connection is opened.
pub(super) type SharedConnection = Arc<AsyncMutex<Slot>>;

/// Forgets a connection that closed, unless another call has replaced it since.
pub(super) async fn forget(connection: &SharedConnection, closed: &Connection) {
    let mut slot = connection.lock().await;
    let is_same = |open: &Connection| Arc::ptr_eq(&open.activity, &closed.activity);
    if slot.open.as_ref().is_some_and(is_same) {
        slot.open = None;
    }
}

/// Returns the open connection, or opens one. The lock is held meanwhile, so that concurrent
/// callers share one attempt and its failure.
pub(super) async fn get_or_connect(
    connection: &SharedConnection,
    address: SocketAddr,
    deadline: Instant,
) -> std::result::Result<Connection, SendError> {
    let called_at = Instant::now();
    let Ok(mut slot) = timeout_at(deadline.into(), connection.lock()).await else {
        let reason = format!("connect to {address}: the deadline passed");
        return Err(SendError::NotSent(reason));
    };
    if let Some(open) = slot.open.as_ref().filter(|open| open.is_usable()) {
        return Ok(open.clone());
    }
    if let Some((at, reason)) = &slot.failed
        && *at > called_at
    {
        return Err(SendError::NotSent(reason.clone()));
    }
    let connect_deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let connected = timeout_at(connect_deadline.into(), connect(address))
        .await
        .unwrap_or_else(|_elapsed| Err(format!("connect to {address}: timed out")));
    match connected {
        Ok(open) => {
            slot.open = Some(open.clone());
            Ok(open)
        }
        Err(reason) => {
            // An attempt cut short by the deadline of its call says nothing to other calls.
            if connect_deadline < deadline {
                slot.failed = Some((Instant::now(), reason.clone()));
            }
            Err(SendError::NotSent(reason))
        }
    }
}

async fn connect(address: SocketAddr) -> std::result::Result<Connection, String> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|e| format!("connect to {address}: {e}"))?;
    serve::set_socket_options(&stream);
    let activity = Activity::new();
    let metered = Metered::new(stream, Arc::clone(&activity));
    let (sender, connection) = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .keep_alive_while_idle(true)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_send_buf_size(SEND_BUFFER)
        .handshake(TokioIo::new(metered))
        .await
        .map_err(|e| format!("HTTP/2 handshake with {address}: {e}"))?;
    let traffic = Arc::clone(&activity);
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            log_event!(
                Event::ConnectionClosed,
                peer = address,
                side = "client",
                reason = error_chain(&e),
                traffic = traffic,
            );
        }
    });
    Ok(Connection { sender, activity })
}
