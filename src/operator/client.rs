//! HTTP client of the operators' interface.

use {
    super::{Exit, Failure},
    crate::{operator_api::ErrorAnswer, settings::Secret},
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

/// Time between two rounds through the replicas.
const ROUND_WAIT: Duration = Duration::from_millis(200);

/// Largest answer in bytes: both lists, escaped as JSON strings.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// How long the client waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// For a connection to one replica; an address without a VM would block the next.
    pub connect: Duration,
    /// For one request to one replica.
    pub request: Duration,
    /// For a leader, while replicas answer that there is none.
    pub election: Duration,
}

impl Default for Limits {
    /// 1 s, 5 s and 5 s; an election takes 1 to 2 s.
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            request: Duration::from_secs(5),
            election: Duration::from_secs(5),
        }
    }
}

/// Asks the control replicas in turn and follows the leader that an answer names.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    addresses: Vec<SocketAddr>,
    token: Option<Secret>,
    limits: Limits,
}

/// An answer of a replica or a daemon.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) status: StatusCode,
    from: SocketAddr,
    body: Bytes,
}

/// Why there is no answer.
enum Lost {
    /// The request was not sent.
    NotSent(String),
    /// The request may have been carried out.
    MaybeDone(String),
}

impl Answer {
    /// The body of a successful answer.
    pub(super) fn json<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        if self.status.is_success() {
            return self.parse();
        }
        let error = self.error();
        let reason = format!("{} answered {}: {}", self.from, self.status, error.reason);
        let advice = match self.status {
            StatusCode::UNAUTHORIZED => {
                "pass the file with your token as --token-file, or set ANVILBEAM_TOKEN"
            }
            StatusCode::NOT_FOUND => "check that the address is an operator address",
            _ => "see the log of that process",
        };
        Err(Failure::new(Exit::Failed, reason, advice))
    }

    /// The body, whatever the status.
    pub(super) fn parse<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        serde_json::from_slice(&self.body).map_err(|e| {
            let reason = format!("the answer of {} cannot be read: {e}", self.from);
            let advice = "check the address, and that both programs are of the same release";
            Failure::new(Exit::Failed, reason, advice)
        })
    }

    /// The error that the body describes.
    pub(super) fn error(&self) -> ErrorAnswer {
        serde_json::from_slice(&self.body).unwrap_or_else(|_| ErrorAnswer {
            error: "unknown".to_owned(),
            reason: "the answer gives no reason".to_owned(),
            leader: None,
        })
    }
}

impl Client {
    /// A client of the replicas at `addresses`.
    pub fn new(addresses: &[SocketAddr], token: Option<Secret>, limits: Limits) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(limits.connect));
        connector.set_nodelay(true);
        Self {
            http: HttpClient::builder(TokioExecutor::new()).build(connector),
            addresses: addresses.to_vec(),
            token,
            limits,
        }
    }

    /// The answer of the control group to a `GET`.
    pub(super) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let answer = self
            .ask_group(&Method::GET, path, &Bytes::new(), true)
            .await?;
        answer.json()
    }

    /// The answer of one daemon to a `GET`. The operator's token is not sent: daemons need none.
    pub(super) async fn get_from<T: DeserializeOwned>(
        &self,
        daemon: SocketAddr,
        path: &str,
    ) -> Result<T, Failure> {
        let answer = self
            .ask(daemon, &Method::GET, path, &Bytes::new(), None)
            .await;
        let answer = answer.map_err(|(Lost::NotSent(reason) | Lost::MaybeDone(reason))| {
            let advice = "pass the local address of a running daemon as --daemon";
            Failure::new(Exit::Unreachable, reason, advice)
        })?;
        answer.json()
    }

    /// The answer of the control group to a `POST` that may be sent repeatedly.
    pub(super) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        message: &impl Serialize,
    ) -> Result<T, Failure> {
        self.send(path, message).await?.json()
    }

    /// As [`Self::post`], with any status.
    pub(super) async fn send(
        &self,
        path: &str,
        message: &impl Serialize,
    ) -> Result<Answer, Failure> {
        let body = encode(message)?;
        self.ask_group(&Method::POST, path, &body, true).await
    }

    /// As [`Self::send`], for a request that is not sent again once it may have been carried out.
    pub(super) async fn post_once(
        &self,
        path: &str,
        message: &impl Serialize,
    ) -> Result<Answer, Failure> {
        let body = encode(message)?;
        self.ask_group(&Method::POST, path, &body, false).await
    }

    /// Asks the replicas in turn until one answers as leader.
    async fn ask_group(
        &self,
        method: &Method,
        path: &str,
        body: &Bytes,
        repeatable: bool,
    ) -> Result<Answer, Failure> {
        let until = Instant::now() + self.limits.election;
        loop {
            let mut queue = VecDeque::from(self.addresses.clone());
            let mut asked = HashSet::new();
            let mut reasons = Vec::new();
            let mut electing = false;
            while let Some(address) = queue.pop_front() {
                if !asked.insert(address) {
                    continue;
                }
                let token = self.token.as_ref();
                match self.ask(address, method, path, body, token).await {
                    Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
                        let error = answer.error();
                        reasons.push(format!("{address}: {}", error.reason));
                        electing = true;
                        let leader = error.leader.and_then(|text| text.parse().ok());
                        if let Some(leader) = leader {
                            queue.push_front(leader);
                        }
                    }
                    Ok(answer) => return Ok(answer),
                    Err(Lost::MaybeDone(reason)) if !repeatable => {
                        let reason = format!("the outcome is unknown: {reason}");
                        let advice = "run `anvilbeam members list` before you send it again";
                        return Err(Failure::new(Exit::Unreachable, reason, advice));
                    }
                    Err(Lost::NotSent(reason) | Lost::MaybeDone(reason)) => reasons.push(reason),
                }
            }
            if !electing || Instant::now() + ROUND_WAIT >= until {
                let reason = format!(
                    "no control replica answers as leader\n{}",
                    reasons.join("\n")
                );
                let advice = "check --control and the replicas; they need a majority";
                return Err(Failure::new(Exit::Unreachable, reason, advice));
            }
            sleep(ROUND_WAIT).await;
        }
    }

    async fn ask(
        &self,
        address: SocketAddr,
        method: &Method,
        path: &str,
        body: &Bytes,
        token: Option<&Secret>,
    ) -> Result<Answer, Lost> {
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
            .map_err(|e| Lost::NotSent(format!("{address}: {e}")))?;
        let exchange = async {
            let res = self.http.request(req).await.map_err(|e| {
                let reason = format!("{address}: {}", with_causes(&e));
                if e.is_connect() {
                    Lost::NotSent(reason)
                } else {
                    Lost::MaybeDone(reason)
                }
            })?;
            let status = res.status();
            let body = Limited::new(res.into_body(), MAX_ANSWER).collect().await;
            let body = body.map_err(|e| Lost::MaybeDone(format!("{address}: {e}")))?;
            Ok(Answer {
                status,
                from: address,
                body: body.to_bytes(),
            })
        };
        timeout(self.limits.request, exchange)
            .await
            .unwrap_or_else(|_| {
                let limit = self.limits.request;
                Err(Lost::MaybeDone(format!(
                    "{address}: no answer in {limit:?}"
                )))
            })
    }
}

fn encode(message: &impl Serialize) -> Result<Bytes, Failure> {
    let body = serde_json::to_vec(message)
        .map_err(|e| Failure::new(Exit::Failed, format!("encode request: {e}"), "report this"))?;
    Ok(Bytes::from(body))
}

/// The error with its causes; the HTTP library names only the step itself.
fn with_causes(e: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(Some(e), |e| e.source());
    let texts: Vec<_> = causes.map(ToString::to_string).collect();
    texts.join(": ")
}
