//! Refusals: answers that a daemon gives in place of a backend server.

use {
    crate::body::{self, Body},
    http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header},
    serde::Serialize,
    std::{
        fmt,
        time::{Duration, Instant},
    },
    strum::{Display, EnumString},
};

/// Header that tells whether the request ran.
pub const OUTCOME: HeaderName = HeaderName::from_static("anvilbeam-outcome");
/// Header with the reason of a refusal.
pub const REASON: HeaderName = HeaderName::from_static("anvilbeam-reason");
/// Header with the milliseconds until another try makes sense, between daemons.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("anvilbeam-retry-after-ms");

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// It certainly did not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The request lacks something or holds a wrong value.
    BadRequest,
    /// No plan has this key.
    UnknownKey,
    /// The plan has no grant for the service.
    NoGrant,
    /// The idempotency key stands for another request.
    KeyReused,
    /// The plan used up its capacity.
    Capacity,
    /// No slot is free in time.
    Overload,
    /// No backend server is announced.
    NoServer,
    /// The backend server does not accept connections.
    ServerUnreachable,
    /// The daemon or its backend server is leaving.
    Draining,
    /// The daemon has no configuration that is recent enough.
    NotReady,
    /// The deadline cannot be met, or has passed.
    Deadline,
    /// The request may have crashed a backend server and another such request is being tried.
    SuspectBusy,
    /// The request crashed two backend servers.
    Condemned,
    /// The claims group of the home region cannot be reached.
    ClaimsUnavailable,
    /// A request with the same key is running, or its outcome is unknown.
    Duplicate,
    /// The backend server or the daemon beside it failed while the request ran.
    Failed,
    /// The request ran; its answer is no longer kept.
    AnswerGone,
}

impl Reason {
    /// HTTP status of the refusal.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoGrant => StatusCode::FORBIDDEN,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Capacity => StatusCode::TOO_MANY_REQUESTS,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::Duplicate | Self::AnswerGone => StatusCode::CONFLICT,
            Self::Failed => StatusCode::BAD_GATEWAY,
            Self::Overload
            | Self::NoServer
            | Self::ServerUnreachable
            | Self::Draining
            | Self::NotReady
            | Self::SuspectBusy
            | Self::Condemned
            | Self::ClaimsUnavailable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// A refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Explanation for a person.
    pub detail: String,
    /// When another try makes sense.
    pub retry_at: Option<Instant>,
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    error: Reason,
    outcome: Outcome,
    reason: &'a str,
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            outcome: Outcome::NotRun,
            detail: detail.into(),
            retry_at: None,
        }
    }

    /// A refusal of a request that may have run.
    pub fn unknown(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            outcome: Outcome::Unknown,
            detail: detail.into(),
            retry_at: None,
        }
    }

    /// The refusal as a response.
    pub fn response(&self, now: Instant) -> Response<Body> {
        let text = serde_json::to_vec(&RefusalBody {
            error: self.reason,
            outcome: self.outcome,
            reason: &self.detail,
        });
        let mut response = Response::new(body::full(text.unwrap_or_default()));
        *response.status_mut() = self.reason.status();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        write(headers, OUTCOME, &self.outcome);
        write(headers, REASON, &self.reason);
        if let Some(retry_at) = self.retry_at {
            let wait = retry_at.saturating_duration_since(now);
            headers.insert(RETRY_AFTER_MS, (wait.as_millis() as u64).into());
            headers.insert(header::RETRY_AFTER, wait.as_secs().max(1).into());
        }
        response
    }

    /// Reads the refusal out of the head of a response between daemons.
    pub fn read(headers: &HeaderMap, now: Instant) -> Option<Self> {
        let outcome = headers.get(OUTCOME)?.to_str().ok()?.parse().ok()?;
        let reason = headers.get(REASON)?.to_str().ok()?.parse().ok()?;
        let retry_at = headers
            .get(RETRY_AFTER_MS)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.parse().ok())
            .map(|ms| now + Duration::from_millis(ms));
        Some(Self {
            reason,
            outcome,
            detail: String::new(),
            retry_at,
        })
    }
}

fn write(headers: &mut HeaderMap, name: HeaderName, value: &impl fmt::Display) {
    if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
        headers.insert(name, value);
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.reason, self.outcome, self.detail)
    }
}
