//! Dialects: the HTTP headers and conventions between a daemon and its callers and backend server.
//!
//! A daemon uses one dialect for both. Requests between daemons and control replicas do not depend
//! on it.

use {
    crate::{
        accounts::Accounts,
        body::Body,
        call::{SHED, TIMEOUT_MS},
        model::Config,
        refusal::{EARLY, OUTCOME, Outcome, REASON, RETRY_AFTER_MS, Reason, Refusal},
    },
    http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header},
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// How a caller's plan is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallerIdentity {
    /// By the key in the `Authorization` header; the `Host` header names the service.
    Key,
    /// By the `Host` header, which is the name of the plan; the path selects the grant.
    Host,
}

/// Headers and conventions towards callers and the backend server; `None` fields are not used.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// How a caller's plan is determined.
    pub caller_identity: CallerIdentity,
    /// Header with the time left for a request, in milliseconds.
    pub timeout_ms: HeaderName,
    /// Header with the id of a request; the backend server repeats it in its response.
    pub request_id: Option<HeaderName>,
    /// Header that names the intended backend server of a request; any other one refuses it.
    pub server: Option<HeaderName>,
    /// Header with the service of the daemon at which the request entered the mesh.
    pub caller_service: Option<HeaderName>,
    /// Header that only the backend server's own responses carry.
    pub signature: Option<HeaderName>,
    /// Header by which a backend server declares that it did not run the request.
    pub not_run: HeaderName,
    /// Response header with the running requests, waiting requests and slots of the backend server,
    /// separated by commas.
    pub load: Option<HeaderName>,
    /// How accounts are read and told to the backend server; `None` if there are none.
    pub account: Option<AccountDialect>,
}

/// How accounts are read from a configuration and told to the backend server.
#[derive(Clone, Debug)]
pub struct AccountDialect {
    /// Request header with the name of the account.
    pub header: HeaderName,
    /// Returns the accounts of a configuration; `None` if it has none.
    pub read: fn(&Config) -> Option<Accounts>,
}

impl Dialect {
    /// Returns the dialect of anvilbeam's own interface.
    pub const fn native() -> Self {
        Self {
            caller_identity: CallerIdentity::Key,
            timeout_ms: TIMEOUT_MS,
            request_id: None,
            server: None,
            caller_service: None,
            signature: None,
            not_run: SHED,
            load: None,
            account: None,
        }
    }

    /// Returns the caller's id of a request, or `-` if it has none.
    pub fn request_id_of<'a>(&self, headers: &'a HeaderMap) -> &'a str {
        let value = self.request_id.as_ref().and_then(|name| headers.get(name));
        value.and_then(|value| value.to_str().ok()).unwrap_or("-")
    }

    /// Returns whether responses of backend servers must be signed. Such responses are buffered and
    /// checked before they are forwarded, and refusals are reduced to standard statuses.
    pub const fn requires_signature(&self) -> bool {
        self.signature.is_some()
    }

    /// Converts a daemon's refusal for callers that interpret only the status and `Retry-After`;
    /// other responses are unchanged.
    ///
    /// 429 and 503 mean that the request did not run; after 502 and 504 it may have run.
    pub fn adapt_refusal(&self, mut response: Response<Body>, deadline: Instant) -> Response<Body> {
        if !self.requires_signature() {
            return response;
        }
        let now = Instant::now();
        let Some(refusal) = Refusal::read(response.headers(), now) else {
            return response;
        };
        *response.status_mut() = status_for(&refusal);
        let headers = response.headers_mut();
        for name in [OUTCOME, REASON, EARLY, RETRY_AFTER_MS, header::RETRY_AFTER] {
            headers.remove(name);
        }
        if refusal.outcome == Outcome::NotRun && response.status().as_u16() >= 429 {
            let wait = retry_after(&refusal, deadline, now);
            let text = format!("{:.3}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Retry delay of refusals without one: enough for a response from a backend server in another data
/// centre.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(50);
/// The retry delay is at most the remaining time divided by this, since callers of the platform
/// honour delays of up to a third of their remaining time.
const RETRY_AFTER_DIVISOR: u32 = 3;

fn retry_after(refusal: &Refusal, deadline: Instant, now: Instant) -> Duration {
    let max_wait = deadline.saturating_duration_since(now) / RETRY_AFTER_DIVISOR;
    match (refusal.retry_at, refusal.reason) {
        (Some(at), _) => at.saturating_duration_since(now).min(max_wait),
        // Receiving a version or the endpoint of a server takes longer than routing to another
        // server.
        (None, Reason::NotReady | Reason::NoServer) => max_wait,
        (None, _) => DEFAULT_RETRY_AFTER.min(max_wait),
    }
}

const fn status_for(refusal: &Refusal) -> StatusCode {
    match (refusal.outcome, refusal.reason) {
        (_, Reason::NoGrant) => StatusCode::NOT_FOUND,
        (_, Reason::UnknownKey) => StatusCode::UNAUTHORIZED,
        (_, Reason::BadRequest) => StatusCode::BAD_REQUEST,
        (Outcome::NotRun, Reason::Capacity) => StatusCode::TOO_MANY_REQUESTS,
        (Outcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (Outcome::Unknown, Reason::Deadline) => StatusCode::GATEWAY_TIMEOUT,
        (Outcome::Unknown, _) => StatusCode::BAD_GATEWAY,
    }
}
