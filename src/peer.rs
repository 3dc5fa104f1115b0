//! Requests between daemons and control replicas: HTTP/2 streams that carry bincode messages or
//! proxied calls.

mod connection;
mod frames;

pub use frames::FrameStream;

use {
    self::connection::{SharedConnection, forget, get_or_connect, silence},
    crate::{
        body::{self, Body, Start},
        error::{Error, Result, error_chain},
        link::Activity,
        memory::{self, Connections},
        serve::{self, Server},
        wire::{self, MAX_MESSAGE},
    },
    http::{HeaderName, HeaderValue, Request, Response, StatusCode},
    hyper::body::Incoming,
    indexmap::IndexMap,
    serde::{Serialize, de::DeserializeOwned},
    std::{
        error::Error as _,
        fmt,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Instant,
    },
    tokio::{net::TcpListener, select, time::timeout_at},
};

/// Header with the token that authenticates a process as a member of the mesh.
pub const MESH_TOKEN: HeaderName = HeaderName::from_static("anvilbeam-mesh");

/// What becomes of a call in flight whose connection falls silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnSilence {
    /// It fails, so that the caller can send it again elsewhere.
    Fail,
    /// It waits for its answer until its deadline, since it must not be sent again.
    Wait,
}

/// Reason why a request has no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The request did not reach the peer's handler.
    NotSent(String),
    /// The connection or stream failed; the peer may have handled the request.
    Unknown(String),
    /// The deadline passed; the peer may have handled the request.
    TimedOut,
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "not sent: {reason}"),
            Self::Unknown(reason) => write!(f, "no response: {reason}"),
            Self::TimedOut => f.write_str("no response before the deadline"),
        }
    }
}

/// Client for the peer ports of other processes, with one shared connection per address.
#[derive(Clone)]
pub struct Client {
    token: HeaderValue,
    connections: Arc<Mutex<IndexMap<SocketAddr, SharedConnection>>>,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client").finish_non_exhaustive()
    }
}

impl Client {
    /// Creates a client that authenticates with the mesh token `token`.
    ///
    /// # Errors
    /// [`Error::Invalid`] if the token is not a valid header value.
    pub fn new(token: &str) -> Result<Self> {
        let mut token = HeaderValue::from_str(token).map_err(|e| Error::Invalid {
            location: "mesh token".to_owned(),
            reason: e.to_string(),
        })?;
        token.set_sensitive(true);
        Ok(Self {
            token,
            connections: Arc::default(),
        })
    }

    /// Sends one request and waits for the head of its response.
    ///
    /// # Errors
    /// [`SendError`] tells whether the peer may have handled the request.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut req: Request<Body>,
        deadline: Instant,
        on_silence: OnSilence,
    ) -> std::result::Result<Response<Incoming>, SendError> {
        req.headers_mut().insert(MESH_TOKEN, self.token.clone());
        let connection = self.connection(address);
        let mut open = get_or_connect(&connection, address, deadline).await?;
        loop {
            let _in_flight = Activity::begin_call(&open.activity);
            let exchange = timeout_at(deadline.into(), open.sender.try_send_request(req));
            let sent = select! {
                sent = exchange => sent,
                () = silence(&open.activity), if on_silence == OnSilence::Fail => {
                    let reason = format!("the connection is silent: {}", open.activity);
                    return Err(SendError::Unknown(reason));
                }
            };
            let mut failed = match sent {
                Ok(Ok(response)) => return Ok(response),
                Ok(Err(failed)) => failed,
                Err(_) => {
                    return Err(SendError::TimedOut);
                }
            };
            let Some(unsent) = failed.take_message() else {
                return Err(classify_send_error(&failed.into_error()));
            };
            // The connection closed before the request was sent, so resending it on a new one is
            // safe.
            forget(&connection, &open).await;
            req = unsent;
            open = get_or_connect(&connection, address, deadline).await?;
        }
    }

    /// Sends one message and decodes the message in the response.
    ///
    /// # Errors
    /// [`Error::Peer`] with the operation `step` and the address, or a codec error.
    pub async fn request<Q, A>(
        &self,
        step: &'static str,
        address: SocketAddr,
        path: &str,
        message: &Q,
        deadline: Instant,
    ) -> Result<A>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let response = self.post(step, address, path, message, deadline).await?;
        let collected = body::collect(body::boxed(response.into_body()), MAX_MESSAGE);
        let buf = timeout_at(deadline.into(), collected)
            .await
            .map_err(|_elapsed| peer_error(step, address, "response body timed out"))?
            .map_err(|e| peer_error(step, address, e))?;
        wire::decode(&buf)
    }

    /// Sends one message and returns the frames of the response as a stream.
    ///
    /// # Errors
    /// [`Error::Peer`] with the operation `step` and the address, or a codec error.
    pub async fn open_stream<Q, A>(
        &self,
        step: &'static str,
        address: SocketAddr,
        path: &str,
        message: &Q,
        deadline: Instant,
    ) -> Result<FrameStream<A>>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let response = self.post(step, address, path, message, deadline).await?;
        Ok(FrameStream::new(step, address, response.into_body()))
    }

    async fn post<Q: Serialize>(
        &self,
        step: &'static str,
        address: SocketAddr,
        path: &str,
        message: &Q,
        deadline: Instant,
    ) -> Result<Response<Incoming>> {
        let req = Request::post(format!("http://{address}{path}"))
            .body(body::full(wire::encode(message)?))
            .map_err(|e| peer_error(step, address, e))?;
        let response = self
            .send(address, req, deadline, OnSilence::Fail)
            .await
            .map_err(|e| peer_error(step, address, e))?;
        if response.status() != StatusCode::OK {
            let reason = format!("unexpected status {}", response.status());
            return Err(peer_error(step, address, reason));
        }
        Ok(response)
    }

    fn connection(&self, address: SocketAddr) -> SharedConnection {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        Arc::clone(connections.entry(address).or_default())
    }

    /// Drops the connections to addresses for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections.retain(|address, _| keep(*address));
    }
}

fn peer_error(step: &'static str, address: SocketAddr, reason: impl fmt::Display) -> Error {
    Error::Peer {
        step,
        peer: address.to_string(),
        reason: reason.to_string(),
    }
}

/// Classifies the error of a request that was sent. Only a `REFUSED_STREAM` reset proves that the
/// peer's handler did not receive the request.
fn classify_send_error(e: &hyper::Error) -> SendError {
    let refused = e
        .source()
        .and_then(|source| source.downcast_ref::<h2::Error>())
        .is_some_and(|source| {
            source.is_reset() && source.reason() == Some(h2::Reason::REFUSED_STREAM)
        });
    if refused {
        SendError::NotSent(e.to_string())
    } else {
        SendError::Unknown(error_chain(e))
    }
}

/// Serves a peer port. Requests without the mesh token get 401 and do not reach `handler`.
/// `body_window` is the flow control window of one request body in bytes.
///
/// # Errors
/// None at present.
pub fn serve_peers<F, Fut>(
    listener: TcpListener,
    token: &str,
    body_window: u32,
    handler: F,
) -> Result<Server>
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    serve_peers_within(listener, token, body_window, None, handler)
}

/// Same as [`serve_peers`], with a limit on the connections.
///
/// # Errors
/// None at present.
pub fn serve_peers_within<F, Fut>(
    listener: TcpListener,
    token: &str,
    body_window: u32,
    connections: Option<Arc<Connections>>,
    handler: F,
) -> Result<Server>
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let token: Arc<str> = Arc::from(token);
    let authenticated = move |req: Request<Incoming>, peer| {
        let allowed = req
            .headers()
            .get(MESH_TOKEN)
            .is_some_and(|sent| constant_time_eq(sent.as_bytes(), token.as_bytes()));
        let handler = handler.clone();
        async move {
            if allowed {
                return handler(req).await;
            }
            log::warn!("request from {peer} refused: no valid mesh token");
            empty_response(StatusCode::UNAUTHORIZED)
        }
    };
    Ok(match connections {
        Some(limit) => serve::serve_limited(listener, body_window, limit, authenticated),
        None => serve::serve_with_window(listener, body_window, authenticated),
    })
}

/// Compares two secrets in constant time, so that the time does not reveal where they differ. It
/// does depend on their lengths.
///
/// ```
/// use anvilbeam::peer::constant_time_eq;
/// assert!(constant_time_eq(b"one", b"one"));
/// assert!(!constant_time_eq(b"one", b"two"));
/// ```
pub fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |diff, (x, y)| diff | (x ^ y)) == 0
}

/// Returns a response with status `code` and no body.
pub fn empty_response(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = code;
    response
}

/// Reads and decodes the message in the body of a request.
///
/// # Errors
/// [`Error::Codec`] or [`Error::TooLarge`].
pub async fn read_message<Q: DeserializeOwned>(req: Request<Incoming>) -> Result<Q> {
    let failed = |reason| Error::Codec {
        step: "read message",
        reason,
    };
    let lease = memory::lease_of(req.extensions());
    let mut incoming = body::boxed(req.into_body());
    let read = memory::read_start(&mut incoming, MAX_MESSAGE, None, &lease).await;
    match read.map_err(|e| failed(e.to_string()))? {
        Start::Whole(buf) => wire::decode(&buf),
        Start::Part(_) => Err(failed(format!(
            "body exceeds the limit of {MAX_MESSAGE} bytes"
        ))),
    }
}

/// Returns a 200 response with one encoded message, or 500 if it cannot be encoded.
pub fn message_response<A: Serialize>(answer: &A) -> Response<Body> {
    match wire::encode(answer) {
        Ok(buf) => Response::new(body::full(buf)),
        Err(e) => {
            log::error!("response cannot be encoded: {e}");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
