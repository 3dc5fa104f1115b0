//! Refusals: responses that a daemon sends itself when a request gets none from a backend server.

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

/// Header with the [`Outcome`] of a refused request.
pub const OUTCOME: HeaderName = HeaderName::from_static("anvilbeam-outcome");
/// Header with the [`Reason`] of a refusal.
pub const REASON: HeaderName = HeaderName::from_static("anvilbeam-reason");
/// Header with the milliseconds to wait before a retry; the standard `Retry-After` header counts
/// whole seconds.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("anvilbeam-retry-after-ms");

/// Header with the [`Early`] of a refusal; absent for others.
pub const EARLY: HeaderName = HeaderName::from_static("anvilbeam-early");

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// It did not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Reason why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// A required part of the request is missing or invalid.
    BadRequest,
    /// No plan has this key.
    UnknownKey,
    /// The plan has no grant for the service.
    NoGrant,
    /// The idempotency key was used for a different request.
    KeyReused,
    /// The plan exceeded its capacity.
    Capacity,
    /// No slot of the backend server is free in time.
    Overload,
    /// No usable backend server is announced.
    NoServer,
    /// The backend server does not accept connections.
    ServerUnreachable,
    /// The daemon or its backend server is draining.
    Draining,
    /// The daemon has no recent enough version of the configuration.
    NotReady,
    /// The deadline cannot be met, or has passed.
    Deadline,
    /// The request may have crashed a backend server, and it or another such request is running.
    SuspectBusy,
    /// The request crashed two backend servers.
    Condemned,
    /// The claims group of the plan's home region is unreachable or not configured.
    ClaimsUnavailable,
    /// A request with the same key is running, or its outcome is unknown.
    Duplicate,
    /// The backend server or the daemon beside it failed while the request ran.
    Failed,
    /// The request ran, but its answer is not stored: it was too large, or has expired.
    AnswerGone,
}

impl Reason {
    /// Returns the HTTP status of the refusal.
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

/// Why a request is rejected before it is sent or run, although a slot may be free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Early {
    /// All backend servers of the service shed load.
    ServersShed,
    /// The calls that it would make are being rejected.
    InnerCalls,
}

/// Refusal of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Human-readable explanation; empty when read from headers.
    pub detail: String,
    /// Earliest time for a retry; `None` if unspecified.
    pub retry_at: Option<Instant>,
    /// Set if the request is rejected early.
    pub early: Option<Early>,
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    error: Reason,
    outcome: Outcome,
    reason: &'a str,
}

impl Refusal {
    /// Creates the refusal of a request that did not run.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            outcome: Outcome::NotRun,
            detail: detail.into(),
            retry_at: None,
            early: None,
        }
    }

    /// Creates the refusal of a request that is rejected early; its caller may return at `retry_at`.
    pub fn early(early: Early, detail: impl Into<String>, retry_at: Instant) -> Self {
        Self {
            retry_at: Some(retry_at),
            early: Some(early),
            ..Self::not_run(Reason::Overload, detail)
        }
    }

    /// Creates the refusal of a request that may have run.
    pub fn unknown(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            outcome: Outcome::Unknown,
            detail: detail.into(),
            retry_at: None,
            early: None,
        }
    }

    /// Builds the HTTP response; the retry delay in its headers counts from `now`.
    pub fn response(&self, now: Instant) -> Response<Body> {
        let json = serde_json::to_vec(&RefusalBody {
            error: self.reason,
            outcome: self.outcome,
            reason: &self.detail,
        });
        let mut response = Response::new(body::full(json.unwrap_or_default()));
        *response.status_mut() = self.reason.status();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        insert_header(headers, OUTCOME, &self.outcome);
        insert_header(headers, REASON, &self.reason);
        if let Some(early) = self.early {
            insert_header(headers, EARLY, &early);
        }
        if let Some(retry_at) = self.retry_at {
            let wait = retry_at.saturating_duration_since(now);
            headers.insert(RETRY_AFTER_MS, (wait.as_millis() as u64).into());
            headers.insert(header::RETRY_AFTER, wait.as_secs().max(1).into());
        }
        response
    }

    /// Reads a refusal from the headers of a daemon's response; `None` if it is not a refusal.
    pub fn read(headers: &HeaderMap, now: Instant) -> Option<Self> {
        let outcome = headers.get(OUTCOME)?.to_str().ok()?.parse().ok()?;
        let reason = headers.get(REASON)?.to_str().ok()?.parse().ok()?;
        let retry_at = headers
            .get(RETRY_AFTER_MS)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.parse().ok())
            .map(|ms| now + Duration::from_millis(ms));
        let early = headers.get(EARLY).and_then(|value| value.to_str().ok());
        Some(Self {
            reason,
            outcome,
            detail: String::new(),
            retry_at,
            early: early.and_then(|early| early.parse().ok()),
        })
    }
}

fn insert_header(headers: &mut HeaderMap, name: HeaderName, value: &impl fmt::Display) {
    if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
        headers.insert(name, value);
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.reason, self.outcome, self.detail)
    }
}
