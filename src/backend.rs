//! HTTP/1 client and connection pool for the backend server of a daemon.

use {
    crate::{
        body::{Body, Progress},
        link::{Activity, Metered},
        serve,
    },
    http::{HeaderValue, Request, Response},
    hyper::{
        body::Incoming,
        client::conn::{
            TrySendError,
            http1::{self, SendRequest},
        },
    },
    hyper_util::rt::TokioIo,
    std::{
        collections::VecDeque,
        fmt,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
    tokio::{
        net::TcpStream,
        task::AbortHandle,
        time::{Duration, timeout, timeout_at},
    },
};

/// Timeout for connecting to the backend server, which runs on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle connection is not used again: its peer may have gone away without
/// closing it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of idle connections that are kept.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Reason why a call to the backend server has no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The request did not reach the server.
    NotRun(String),
    /// The connection failed before the response; the server may have run the request.
    ConnectionLost(String),
    /// The deadline passed; the server may have run the request.
    TimedOut,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotRun(reason) => write!(f, "not run: {reason}"),
            Self::ConnectionLost(reason) => {
                write!(f, "connection failed before the response: {reason}")
            }
            Self::TimedOut => f.write_str("no response before the deadline"),
        }
    }
}

/// Deadline for the head of a response.
#[derive(Clone, Debug)]
pub enum ResponseDeadline {
    /// A fixed time.
    Fixed(Instant),
    /// [`PROGRESS_TIMEOUT`](crate::body::PROGRESS_TIMEOUT) after the last frame of the request
    /// body.
    WhileProgress(Arc<Progress>),
}

impl ResponseDeadline {
    fn deadline(&self) -> Instant {
        match self {
            Self::Fixed(deadline) => *deadline,
            Self::WhileProgress(progress) => progress.deadline(),
        }
    }
}

/// Number of the latest refused requests that are remembered for a connection. Earlier ones are no
/// longer sent again.
const MAX_REFUSED: usize = 256;

/// Sender of a connection, and the task that drives it.
struct OpenConnection {
    sender: SendRequest<Body>,
    driver: AbortHandle,
    /// Ids of the requests that the server has refused on this connection.
    refused: VecDeque<HeaderValue>,
}

struct IdleConnection {
    open: OpenConnection,
    expires_at: Instant,
}

/// HTTP/1 client for one backend server, with a pool of idle connections.
pub struct Backend {
    address: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
}

impl fmt::Debug for Backend {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Backend")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// A connection with a request in progress. Return it to the pool once the response body is
/// complete; dropping it closes the connection.
pub struct ActiveConnection {
    backend: Arc<Backend>,
    /// `None` once the connection is returned to the pool.
    open: Option<OpenConnection>,
}

impl fmt::Debug for ActiveConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.backend.fmt(f)
    }
}

impl ActiveConnection {
    /// Returns the connection to the pool, unless it is closed or the pool is full.
    pub fn return_to_pool(mut self) {
        let Some(open) = self.open.take() else {
            return;
        };
        let mut idle = self.backend.idle_connections();
        if !open.sender.is_closed() && idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(IdleConnection {
                open,
                expires_at: Instant::now() + IDLE_TIMEOUT,
            });
        }
    }

    /// Returns the connection to the pool after its server has refused the request `id`, which is not
    /// sent on it again: if the server repeats its refusal, that would look like the answer to the
    /// second attempt. Without an id, no answer can be told from a repeated one, so the connection is
    /// closed.
    pub fn return_refused(mut self, id: Option<&HeaderValue>) {
        let Some((open, id)) = self.open.as_mut().zip(id) else {
            return;
        };
        if open.refused.len() >= MAX_REFUSED {
            open.refused.pop_front();
        }
        open.refused.push_back(id.clone());
        self.return_to_pool();
    }

    async fn send(
        &mut self,
        req: Request<Body>,
        limit: &ResponseDeadline,
    ) -> Result<Result<Response<Incoming>, TrySendError<Request<Body>>>, CallError> {
        let Some(open) = &mut self.open else {
            let reason = "the connection was returned to the pool".to_owned();
            return Err(CallError::NotRun(reason));
        };
        wait_for_response(open.sender.try_send_request(req), limit).await
    }
}

impl Drop for ActiveConnection {
    fn drop(&mut self) {
        // hyper sends what is buffered before it closes, which a server that reads nothing delays
        // until the socket times out.
        if let Some(open) = &self.open {
            open.driver.abort();
        }
    }
}

impl Backend {
    /// Creates a client for the backend server at `address` without opening a connection.
    pub fn new(address: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            address,
            idle: Mutex::default(),
        })
    }

    /// Returns the address of the server.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends one request and waits for the head of the response.
    ///
    /// Without `reuse_idle` the request gets a new connection: an idle connection may be closed by
    /// the server while the request is sent, which leaves the outcome unknown. An idle connection on
    /// which the server has refused the request `id` is not used for it.
    ///
    /// # Errors
    /// [`CallError`] tells whether the server may have run the request.
    pub async fn send(
        self: &Arc<Self>,
        mut req: Request<Body>,
        id: Option<&HeaderValue>,
        reuse_idle: bool,
        response_deadline: &ResponseDeadline,
    ) -> Result<(Response<Incoming>, ActiveConnection), CallError> {
        if reuse_idle {
            while let Some(mut connection) = self.pop_idle(id).await {
                match connection.send(req, response_deadline).await? {
                    Ok(response) => return Ok((response, connection)),
                    Err(mut failed) => match failed.take_message() {
                        Some(unsent) => req = unsent,
                        None => {
                            return Err(CallError::ConnectionLost(failed.into_error().to_string()));
                        }
                    },
                }
            }
        }
        let connect_deadline = response_deadline
            .deadline()
            .min(Instant::now() + CONNECT_TIMEOUT);
        let mut connection = timeout_at(connect_deadline.into(), self.connect())
            .await
            .map_err(|_elapsed| CallError::NotRun(self.connection_error("connect timed out")))?
            .map_err(CallError::NotRun)?;
        match connection.send(req, response_deadline).await? {
            Ok(response) => Ok((response, connection)),
            Err(mut failed) => {
                let unsent = failed.take_message().is_some();
                let reason = failed.into_error().to_string();
                Err(if unsent {
                    CallError::NotRun(reason)
                } else {
                    CallError::ConnectionLost(reason)
                })
            }
        }
    }

    /// Returns whether the server accepts TCP connections.
    pub async fn accepts_connections(&self) -> bool {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        matches!(connected, Ok(Ok(_)))
    }

    async fn pop_idle(self: &Arc<Self>, id: Option<&HeaderValue>) -> Option<ActiveConnection> {
        loop {
            let IdleConnection {
                mut open,
                expires_at,
            } = self.take_idle(id)?;
            // The connection task becomes ready shortly after the end of the previous response
            // body.
            let ready = timeout(Duration::from_millis(5), open.sender.ready()).await;
            if Instant::now() < expires_at && matches!(ready, Ok(Ok(()))) {
                return Some(self.active_connection(open));
            }
        }
    }

    /// Removes the last used connection from the pool on which the request `id` was not refused.
    fn take_idle(&self, id: Option<&HeaderValue>) -> Option<IdleConnection> {
        let mut idle = self.idle_connections();
        let is_usable = |connection: &IdleConnection| {
            !connection.open.refused.iter().any(|old| Some(old) == id)
        };
        let index = idle.iter().rposition(is_usable)?;
        Some(idle.remove(index))
    }

    async fn connect(self: &Arc<Self>) -> Result<ActiveConnection, String> {
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|e| self.connection_error(e))?;
        serve::set_socket_options(&stream);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(serve::SEND_BUFFER)
            .handshake(TokioIo::new(Metered::new(stream, Activity::new())))
            .await
            .map_err(|e| self.connection_error(e))?;
        let address = self.address;
        let driver = tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("connection to backend server {address} failed: {e}");
            }
        })
        .abort_handle();
        Ok(self.active_connection(OpenConnection {
            sender,
            driver,
            refused: VecDeque::new(),
        }))
    }

    fn connection_error(&self, reason: impl fmt::Display) -> String {
        format!("backend server {}: {reason}", self.address)
    }

    fn active_connection(self: &Arc<Self>, open: OpenConnection) -> ActiveConnection {
        ActiveConnection {
            backend: Arc::clone(self),
            open: Some(open),
        }
    }

    fn idle_connections(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits for `response` until its deadline, which moves while the request body makes progress.
async fn wait_for_response<F: Future>(
    response: F,
    limit: &ResponseDeadline,
) -> Result<F::Output, CallError> {
    let mut response = std::pin::pin!(response);
    loop {
        let deadline = limit.deadline();
        if let Ok(output) = timeout_at(deadline.into(), &mut response).await {
            return Ok(output);
        }
        if limit.deadline() <= deadline {
            return Err(CallError::TimedOut);
        }
    }
}
