//! Connections to the backend server beside the daemon.

use {
    crate::{
        body::{Body, Progress},
        serve,
    },
    http::{Request, Response},
    hyper::{
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    std::{
        fmt,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
    tokio::{
        net::TcpStream,
        time::{Duration, timeout, timeout_at},
    },
};

/// Longest wait for a connection to the server on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for which an unused connection is kept; a longer idle one may have gone silent.
const IDLE_LIMIT: Duration = Duration::from_secs(2);
/// Unused connections that are kept.
const MAX_IDLE: usize = 64;

/// Why a call to the backend server has no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The server did not see the request.
    NotRun(String),
    /// The connection ended; the server may have run the request.
    Broken(String),
    /// The deadline passed; the server may have run the request.
    TimedOut,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotRun(reason) => write!(f, "not run: {reason}"),
            Self::Broken(reason) => write!(f, "connection ended: {reason}"),
            Self::TimedOut => f.write_str("deadline passed"),
        }
    }
}

/// How long to wait for the head of a response.
#[derive(Clone, Debug)]
pub enum Patience {
    /// Until a fixed time.
    Until(Instant),
    /// As long as the request body makes progress.
    WhileProgress(Arc<Progress>),
}

impl Patience {
    fn deadline(&self) -> Instant {
        match self {
            Self::Until(deadline) => *deadline,
            Self::WhileProgress(progress) => progress.deadline(),
        }
    }
}

struct Idle {
    sender: SendRequest<Body>,
    usable_until: Instant,
}

/// HTTP/1 connections to one backend server.
pub struct Backend {
    address: SocketAddr,
    idle: Mutex<Vec<Idle>>,
}

impl fmt::Debug for Backend {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Backend")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// A connection in use; hand it back once the response body is complete.
pub struct InUse {
    backend: Arc<Backend>,
    sender: SendRequest<Body>,
}

impl fmt::Debug for InUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.backend.fmt(f)
    }
}

impl InUse {
    /// Keeps the connection for the next request.
    pub fn hand_back(self) {
        let mut idle = self.backend.idle_connections();
        if !self.sender.is_closed() && idle.len() < MAX_IDLE {
            idle.push(Idle {
                sender: self.sender,
                usable_until: Instant::now() + IDLE_LIMIT,
            });
        }
    }
}

impl Backend {
    /// A backend server at `address`; no connection is opened yet.
    pub fn new(address: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            address,
            idle: Mutex::default(),
        })
    }

    /// Address of the server.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends one request and waits for the head of the response.
    ///
    /// A request that is not `repeatable` gets a new connection: an idle one that closes while the
    /// request is on its way would leave the outcome unknown.
    ///
    /// # Errors
    /// Tells apart whether the server may have run the request.
    pub async fn send(
        self: &Arc<Self>,
        mut req: Request<Body>,
        repeatable: bool,
        patience: &Patience,
    ) -> Result<(Response<Incoming>, InUse), CallError> {
        if repeatable {
            while let Some(mut sender) = self.take_idle().await {
                match wait(sender.try_send_request(req), patience).await? {
                    Ok(response) => return Ok((response, self.in_use(sender))),
                    Err(mut failed) => match failed.take_message() {
                        Some(unsent) => req = unsent,
                        None => return Err(CallError::Broken(failed.into_error().to_string())),
                    },
                }
            }
        }
        let limit = patience.deadline().min(Instant::now() + CONNECT_TIMEOUT);
        let mut sender = timeout_at(limit.into(), self.connect())
            .await
            .map_err(|_elapsed| CallError::NotRun(self.refused("no connection in time")))?
            .map_err(CallError::NotRun)?;
        match wait(sender.try_send_request(req), patience).await? {
            Ok(response) => Ok((response, self.in_use(sender))),
            Err(mut failed) => {
                let unsent = failed.take_message().is_some();
                let reason = failed.into_error().to_string();
                Err(if unsent {
                    CallError::NotRun(reason)
                } else {
                    CallError::Broken(reason)
                })
            }
        }
    }

    /// Whether the server accepts connections.
    pub async fn accepts(&self) -> bool {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        matches!(connected, Ok(Ok(_)))
    }

    async fn take_idle(&self) -> Option<SendRequest<Body>> {
        loop {
            let Idle {
                mut sender,
                usable_until,
            } = self.idle_connections().pop()?;
            // The connection task needs a moment after the last body before it is ready.
            let ready = timeout(Duration::from_millis(5), sender.ready()).await;
            if Instant::now() < usable_until && matches!(ready, Ok(Ok(()))) {
                return Some(sender);
            }
        }
    }

    async fn connect(&self) -> Result<SendRequest<Body>, String> {
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|e| self.refused(e))?;
        serve::tune(&stream);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(serve::SEND_BUFFER)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| self.refused(e))?;
        let address = self.address;
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("connection to backend server {address} ended: {e}");
            }
        });
        Ok(sender)
    }

    fn refused(&self, reason: impl fmt::Display) -> String {
        format!("backend server {}: {reason}", self.address)
    }

    fn in_use(self: &Arc<Self>, sender: SendRequest<Body>) -> InUse {
        InUse {
            backend: Arc::clone(self),
            sender,
        }
    }

    fn idle_connections(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits for `response` as long as `patience` allows; progress extends the deadline.
async fn wait<F: Future>(response: F, patience: &Patience) -> Result<F::Output, CallError> {
    let mut response = std::pin::pin!(response);
    loop {
        let deadline = patience.deadline();
        if let Ok(output) = timeout_at(deadline.into(), &mut response).await {
            return Ok(output);
        }
        if patience.deadline() <= deadline {
            return Err(CallError::TimedOut);
        }
    }
}
