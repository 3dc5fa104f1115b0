//! HTTP client of the operators' interface, with retries over the control replicas.

use {
    super::{CommandError, Exit},
    crate::{error::error_chain, operator_api::ErrorResponse, settings::Secret},
    bytes::Bytes,
    http::{Method, Request, StatusCode, header},
    http_body_util::{BodyExt, Full, Limited},
    hyper_util::{
        client::legacy::{Client as HttpClient, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{
        collections::{HashSet, VecDeque},
        net::SocketAddr,
    },
    tokio::time::{Duration, Instant, sleep, timeout},
};

/// Delay before all replicas are tried again.
const ROUND_DELAY: Duration = Duration::from_millis(200);

/// Maximum size of a response body in bytes; it must hold both lists, escaped as JSON strings.
const MAX_RESPONSE: usize = 16 * 1024 * 1024;

/// Timeouts of the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Timeout of a connection to one replica. Without it, an address at which no VM exists would
    /// delay the attempt at the next replica.
    pub connect: Duration,
    /// Timeout of one request to one replica, including the connection.
    pub request: Duration,
    /// Time for which a request is retried while replicas report that they can't serve as leader.
    pub election: Duration,
}

impl Default for Timeouts {
    /// Returns 1 s, 5 s and 5 s; an election takes 1 to 2 s.
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            request: Duration::from_secs(5),
            election: Duration::from_secs(5),
        }
    }
}

/// Client that tries the control replicas in turn and follows redirects to the leader.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    addresses: Vec<SocketAddr>,
    token: Option<Secret>,
    timeouts: Timeouts,
}

/// A response of a replica or a daemon, with any status.
#[derive(Debug)]
pub(super) struct ApiResponse {
    pub(super) status: StatusCode,
    from: SocketAddr,
    body: Bytes,
}

/// Error of a request without a response.
enum NoReply {
    /// The request was not sent.
    NotSent(String),
    /// The outcome is unknown: the request may have been executed.
    Unknown(String),
}

impl ApiResponse {
    /// Decodes the body of a successful response; any other status is an error.
    pub(super) fn json<T: DeserializeOwned>(&self) -> Result<T, CommandError> {
        if self.status.is_success() {
            return self.parse();
        }
        let error = self.error();
        let reason = format!(
            "{} responded with status {}: {}",
            self.from, self.status, error.reason
        );
        let advice = match self.status {
            StatusCode::UNAUTHORIZED => {
                "pass the file that holds your token as --token-file, or set ANVILBEAM_TOKEN"
            }
            StatusCode::NOT_FOUND => "check that the address is an operator address",
            _ => "see the log of that process",
        };
        Err(CommandError::new(Exit::Failed, reason, advice))
    }

    /// Decodes the body, whatever the status.
    pub(super) fn parse<T: DeserializeOwned>(&self) -> Result<T, CommandError> {
        serde_json::from_slice(&self.body).map_err(|e| {
            let reason = format!("the response of {} cannot be read: {e}", self.from);
            let advice = "check the address, and that both programs have the same release";
            CommandError::new(Exit::Failed, reason, advice)
        })
    }

    /// Decodes the body of an error; a body in another format gives an error without a reason.
    pub(super) fn error(&self) -> ErrorResponse {
        serde_json::from_slice(&self.body).unwrap_or_else(|_| ErrorResponse {
            error: "unknown".to_owned(),
            reason: "the response gives no reason".to_owned(),
            leader: None,
        })
    }
}

impl Client {
    /// Creates a client of the replicas at `addresses`.
    pub fn new(addresses: &[SocketAddr], token: Option<Secret>, timeouts: Timeouts) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeouts.connect));
        connector.set_nodelay(true);
        Self {
            http: HttpClient::builder(TokioExecutor::new()).build(connector),
            addresses: addresses.to_vec(),
            token,
            timeouts,
        }
    }

    /// Sends a `GET` to the leader of the config group and decodes the response.
    pub(super) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        let response = self
            .request_leader(&Method::GET, path, &Bytes::new(), true)
            .await?;
        response.json()
    }

    /// Sends a `GET` to one daemon and decodes the response. The operator's token is not sent,
    /// since daemons don't need it.
    pub(super) async fn get_from_daemon<T: DeserializeOwned>(
        &self,
        daemon: SocketAddr,
        path: &str,
    ) -> Result<T, CommandError> {
        let response = self
            .request(daemon, &Method::GET, path, &Bytes::new(), None)
            .await;
        let response =
            response.map_err(|(NoReply::NotSent(reason) | NoReply::Unknown(reason))| {
                let advice = "pass the local address of a running daemon as --daemon";
                CommandError::new(Exit::Unreachable, reason, advice)
            })?;
        response.json()
    }

    /// Sends an idempotent `POST` to the leader of the config group and decodes the response.
    pub(super) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        message: &impl Serialize,
    ) -> Result<T, CommandError> {
        self.send(path, message).await?.json()
    }

    /// Like [`Self::post`], but returns the response with any status.
    pub(super) async fn send(
        &self,
        path: &str,
        message: &impl Serialize,
    ) -> Result<ApiResponse, CommandError> {
        let body = encode(message)?;
        self.request_leader(&Method::POST, path, &body, true).await
    }

    /// Like [`Self::send`], for a request that is not idempotent: it is not sent again once it may
    /// have been executed.
    pub(super) async fn post_once(
        &self,
        path: &str,
        message: &impl Serialize,
    ) -> Result<ApiResponse, CommandError> {
        let body = encode(message)?;
        self.request_leader(&Method::POST, path, &body, false).await
    }

    /// Sends a request to the replicas in turn until one responds as leader. Tries all of them
    /// again while an election may be in progress.
    async fn request_leader(
        &self,
        method: &Method,
        path: &str,
        body: &Bytes,
        idempotent: bool,
    ) -> Result<ApiResponse, CommandError> {
        let deadline = Instant::now() + self.timeouts.election;
        loop {
            let mut untried = VecDeque::from(self.addresses.clone());
            let mut tried = HashSet::new();
            let mut errors = Vec::new();
            let mut may_be_electing = false;
            while let Some(address) = untried.pop_front() {
                if !tried.insert(address) {
                    continue;
                }
                let token = self.token.as_ref();
                match self.request(address, method, path, body, token).await {
                    Ok(response) if response.status == StatusCode::SERVICE_UNAVAILABLE => {
                        let error = response.error();
                        errors.push(format!("{address}: {}", error.reason));
                        may_be_electing = true;
                        let leader = error.leader.and_then(|text| text.parse().ok());
                        if let Some(leader) = leader {
                            untried.push_front(leader);
                        }
                    }
                    Ok(response) => return Ok(response),
                    Err(NoReply::Unknown(reason)) if !idempotent => {
                        let reason = format!("the outcome is unknown: {reason}");
                        let advice =
                            "run `anvilbeam members list` before you send the change again";
                        return Err(CommandError::new(Exit::Unreachable, reason, advice));
                    }
                    Err(NoReply::NotSent(reason) | NoReply::Unknown(reason)) => errors.push(reason),
                }
            }
            if !may_be_electing || Instant::now() + ROUND_DELAY >= deadline {
                let reason = format!(
                    "no control replica responded as leader\n{}",
                    errors.join("\n")
                );
                let advice = "check --control, and that a majority of the replicas is running";
                return Err(CommandError::new(Exit::Unreachable, reason, advice));
            }
            sleep(ROUND_DELAY).await;
        }
    }

    async fn request(
        &self,
        address: SocketAddr,
        method: &Method,
        path: &str,
        body: &Bytes,
        token: Option<&Secret>,
    ) -> Result<ApiResponse, NoReply> {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(token) = token {
            let value = format!("Bearer {}", token.reveal());
            builder = builder.header(header::AUTHORIZATION, value);
        }
        let req = builder
            .body(Full::new(body.clone()))
            .map_err(|e| NoReply::NotSent(format!("{address}: {e}")))?;
        let exchange = async {
            let res = self.http.request(req).await.map_err(|e| {
                let reason = format!("{address}: {}", error_chain(&e));
                if e.is_connect() {
                    NoReply::NotSent(reason)
                } else {
                    NoReply::Unknown(reason)
                }
            })?;
            let status = res.status();
            let body = Limited::new(res.into_body(), MAX_RESPONSE).collect().await;
            let body = body.map_err(|e| NoReply::Unknown(format!("{address}: {e}")))?;
            Ok(ApiResponse {
                status,
                from: address,
                body: body.to_bytes(),
            })
        };
        timeout(self.timeouts.request, exchange)
            .await
            .unwrap_or_else(|_| {
                let limit = self.timeouts.request;
                Err(NoReply::Unknown(format!(
                    "{address}: no response within {limit:?}"
                )))
            })
    }
}

fn encode(message: &impl Serialize) -> Result<Bytes, CommandError> {
    let body = serde_json::to_vec(message).map_err(|e| {
        CommandError::new(
            Exit::Failed,
            format!("encode request: {e}"),
            "report this as a bug",
        )
    })?;
    Ok(Bytes::from(body))
}
