//! A caller's request: its head, its deadline, and the headers that carry both between daemons.

use {
    crate::{
        claims::MAX_KEY,
        dialect::Dialect,
        model::{PathPrefix, PlanName, Rank, ServerName, ServiceName, Work},
        peer,
        refusal::{self, Reason, Refusal},
        retry::{RETRIED_HEADER, is_idempotent},
    },
    http::{HeaderMap, HeaderName, HeaderValue, Method, Uri, header, request::Parts},
    std::{
        str::FromStr,
        time::{Duration, Instant},
    },
};

/// Header with the milliseconds that are left for a call.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("anvilbeam-timeout-ms");
/// Header with the number of calls above this one.
pub const DEPTH: HeaderName = HeaderName::from_static("anvilbeam-depth");
/// Header with the plan, between daemons.
pub const PLAN: HeaderName = HeaderName::from_static("anvilbeam-plan");
/// Header with the service, between daemons.
pub const SERVICE: HeaderName = HeaderName::from_static("anvilbeam-service");
/// Header with the rank, between daemons.
pub const RANK: HeaderName = HeaderName::from_static("anvilbeam-rank");
/// Header with the capacity of the grant in calls per second, between daemons.
pub const CAPACITY: HeaderName = HeaderName::from_static("anvilbeam-capacity");
/// Header with the home region of the plan, between daemons.
pub const HOME_REGION: HeaderName = HeaderName::from_static("anvilbeam-home-region");
/// Header with the paths of the grant, between daemons.
pub const GRANT_PATH: HeaderName = HeaderName::from_static("anvilbeam-grant-path");
/// Header with the milliseconds until the answer is wanted, between daemons.
pub const WANTED_MS: HeaderName = HeaderName::from_static("anvilbeam-wanted-ms");
/// Header with the kind of work of the grant, between daemons.
pub const WORK: HeaderName = HeaderName::from_static("anvilbeam-work");
/// Header with the backend server that was chosen, between daemons.
pub const SERVER: HeaderName = HeaderName::from_static("anvilbeam-server");
/// Header with the running and waiting calls and the slots of the backend server, from an owner
/// daemon.
pub const LOAD: HeaderName = HeaderName::from_static("anvilbeam-load");
/// Header with the version in force at the daemon that sends a call.
pub const VERSION: HeaderName = HeaderName::from_static("anvilbeam-version");
/// Header with the name of the daemon that sends a call.
pub const DAEMON: HeaderName = HeaderName::from_static("anvilbeam-daemon");
/// Header with the microseconds that the backend server took, from an owner daemon.
pub const SERVER_US: HeaderName = HeaderName::from_static("anvilbeam-server-us");
/// Header that tells the owner daemon that the body has no length limit in time.
pub const STREAMED: HeaderName = HeaderName::from_static("anvilbeam-streamed");
/// Header by which a backend server declares that it shed a request without running it.
pub const SHED: HeaderName = HeaderName::from_static("anvilbeam-shed");
/// Standard header with the idempotency key.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Headers that only daemons and backend servers of the mesh may set.
const OWN: [HeaderName; 18] = [
    TIMEOUT_MS,
    DEPTH,
    PLAN,
    SERVICE,
    RANK,
    CAPACITY,
    HOME_REGION,
    GRANT_PATH,
    WORK,
    SERVER,
    LOAD,
    VERSION,
    DAEMON,
    SERVER_US,
    STREAMED,
    refusal::OUTCOME,
    refusal::REASON,
    refusal::RETRY_AFTER_MS,
];

/// Calls may nest this deep; the planned depth is 23.
pub const MAX_DEPTH: u32 = 32;
/// Longest timeout that a caller may ask for.
pub const MAX_TIMEOUT: Duration = Duration::from_hours(1);
/// Largest body that is kept so that the request can be sent again, in bytes.
pub const MAX_REPLAY: u64 = 64 * 1024;

/// Headers that belong to one connection and are not passed on.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// What a daemon knows of a call besides its bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The plan that calls.
    pub plan: PlanName,
    /// The service that is called.
    pub service: ServiceName,
    /// Rank of the grant.
    pub rank: Rank,
    /// Capacity of the grant in calls per second.
    pub capacity: u32,
    /// Region whose claims group keeps the plan's keys.
    pub home_region: String,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Calls above this one.
    pub depth: u32,
    /// Paths of the grant.
    pub path: PathPrefix,
    /// Kind of work by the grant.
    pub work: Option<Work>,
    /// Backend servers to which it may be sent.
    pub attempts: u32,
    /// When the answer is wanted; one that comes later is worth less.
    pub wanted: Option<Instant>,
    /// The backend server that was chosen; the owner daemon refuses the call for any other.
    pub server: Option<ServerName>,
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// Key that tells resends of one request from new requests.
    pub idempotency_key: Option<String>,
    /// Whether the body is passed on as it comes, without a limit on its duration.
    pub streamed: bool,
}

/// The host that a request names, without the port.
///
/// # Errors
/// A refusal when no host is given.
pub fn service_of<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> Result<&'a str, Refusal> {
    let host = match uri.host() {
        Some(host) => host,
        None => headers
            .get(header::HOST)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default(),
    };
    let name = host.split(':').next().unwrap_or_default();
    if name.is_empty() {
        return Err(Refusal::not_run(
            Reason::BadRequest,
            "the Host header must name the service",
        ));
    }
    Ok(name)
}

/// The key in the `authorization` header.
///
/// # Errors
/// A refusal when there is no bearer key.
pub fn bearer(headers: &HeaderMap) -> Result<&str, Refusal> {
    headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| {
            Refusal::not_run(
                Reason::UnknownKey,
                "the authorization header must be \"Bearer KEY\"",
            )
        })
}

/// The deadline that a request asks for, or `now` plus `default`.
///
/// # Errors
/// A refusal when the header is no number of milliseconds.
pub fn deadline_of(
    dialect: &Dialect,
    headers: &HeaderMap,
    now: Instant,
    default: Duration,
) -> Result<Instant, Refusal> {
    let name = &dialect.timeout_ms;
    let timeout = match headers.get(name) {
        Some(value) => Duration::from_millis(number(name, value)?),
        None => default,
    };
    Ok(now + timeout.min(MAX_TIMEOUT))
}

/// The depth of a call.
///
/// # Errors
/// A refusal when the header is no number or the call is nested too deep.
pub fn depth_of(headers: &HeaderMap) -> Result<u32, Refusal> {
    let Some(value) = headers.get(&DEPTH) else {
        return Ok(0);
    };
    let depth = number(&DEPTH, value)?;
    if depth > MAX_DEPTH {
        return Err(Refusal::not_run(
            Reason::BadRequest,
            format!("depth {depth} exceeds {MAX_DEPTH}"),
        ));
    }
    Ok(depth)
}

/// The idempotency key of a request that must not run twice.
///
/// # Errors
/// A refusal when the key is missing or too long.
pub fn idempotency_key_of(method: &Method, headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    if is_idempotent(method) {
        return Ok(None);
    }
    let key = headers
        .get(&IDEMPOTENCY_KEY)
        .and_then(|value| value.to_str().ok())
        .filter(|key| !key.is_empty());
    let Some(key) = key else {
        return Err(Refusal::not_run(
            Reason::BadRequest,
            format!("{method} needs an Idempotency-Key header"),
        ));
    };
    if key.len() > MAX_KEY {
        return Err(Refusal::not_run(
            Reason::BadRequest,
            format!(
                "the idempotency key of {} bytes exceeds {MAX_KEY}",
                key.len()
            ),
        ));
    }
    Ok(Some(key.to_owned()))
}

fn number<T: FromStr>(name: &HeaderName, value: &HeaderValue) -> Result<T, Refusal> {
    let text = value.to_str().unwrap_or("?");
    text.parse().map_err(|_not_a_number| {
        Refusal::not_run(
            Reason::BadRequest,
            format!("{name} must be a whole number, not {text:?}"),
        )
    })
}

impl Call {
    /// Writes the call into the headers for the owner daemon.
    pub fn write(&self, headers: &mut HeaderMap, now: Instant) {
        write_text(headers, PLAN, self.plan.as_str());
        write_text(headers, SERVICE, self.service.as_str());
        write_text(headers, RANK, &self.rank.to_string());
        headers.insert(CAPACITY, self.capacity.into());
        write_text(headers, HOME_REGION, &self.home_region);
        write_text(headers, GRANT_PATH, self.path.as_str());
        if let Some(work) = self.work {
            write_text(headers, WORK, &work.to_string());
        }
        if let Some(server) = &self.server {
            write_text(headers, SERVER, server.as_str());
        }
        if let Some(wanted) = self.wanted {
            let left = wanted.saturating_duration_since(now).as_millis();
            headers.insert(WANTED_MS, (left as u64).into());
        }
        if self.streamed {
            headers.insert(STREAMED, HeaderValue::from_static("1"));
        }
        self.write_limits(headers, now);
    }

    /// Writes what a backend server passes on with its own calls: time left and depth.
    pub fn write_limits(&self, headers: &mut HeaderMap, now: Instant) {
        let left = self.deadline.saturating_duration_since(now).as_millis();
        headers.insert(TIMEOUT_MS, (left as u64).into());
        headers.insert(DEPTH, self.depth.into());
    }

    /// Reads what [`Call::write`] wrote.
    ///
    /// # Errors
    /// A refusal that names the header.
    pub fn read(parts: &Parts, now: Instant) -> Result<Self, Refusal> {
        let headers = &parts.headers;
        let rank = text(headers, &RANK)?;
        let work = optional(headers, &WORK)?
            .map(|work| {
                work.parse::<Work>().map_err(|_unknown| {
                    Refusal::not_run(Reason::BadRequest, format!("unknown work {work:?}"))
                })
            })
            .transpose()?;
        Ok(Self {
            plan: text(headers, &PLAN)?.into(),
            service: text(headers, &SERVICE)?.into(),
            rank: rank.parse().map_err(|_unknown| {
                Refusal::not_run(Reason::BadRequest, format!("unknown rank {rank:?}"))
            })?,
            capacity: number(&CAPACITY, required(headers, &CAPACITY)?)?,
            home_region: text(headers, &HOME_REGION)?.to_owned(),
            deadline: deadline_of(&Dialect::own(), headers, now, Duration::ZERO)?,
            depth: depth_of(headers)?,
            path: optional(headers, &GRANT_PATH)?.map_or_else(PathPrefix::default, Into::into),
            // Only the entry daemon sends a call again.
            attempts: 1,
            wanted: optional(headers, &WANTED_MS)?
                .map(|_| number(&WANTED_MS, required(headers, &WANTED_MS)?))
                .transpose()?
                .map(|ms| now + Duration::from_millis(ms).min(MAX_TIMEOUT)),
            server: optional(headers, &SERVER)?.map(Into::into),
            idempotent: is_repeatable(work, &parts.method),
            idempotency_key: match work {
                Some(_) => None,
                None => idempotency_key_of(&parts.method, headers)?,
            },
            work,
            streamed: headers.contains_key(&STREAMED),
        })
    }
}

/// Whether a second run of a request does no harm: by the kind of work, or else by the method.
pub fn is_repeatable(work: Option<Work>, method: &Method) -> bool {
    work.map_or_else(|| is_idempotent(method), |work| work == Work::Safe)
}

fn optional<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Refusal> {
    headers
        .contains_key(name)
        .then(|| text(headers, name))
        .transpose()
}

fn write_text(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    // Names are checked when lists are read, so each is a valid header value.
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

fn required<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<&'a HeaderValue, Refusal> {
    headers
        .get(name)
        .ok_or_else(|| Refusal::not_run(Reason::BadRequest, format!("header {name} is missing")))
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<&'a str, Refusal> {
    required(headers, name)?.to_str().map_err(|_not_ascii| {
        Refusal::not_run(Reason::BadRequest, format!("header {name} is not ASCII"))
    })
}

/// Removes the headers that belong to one connection, and those that the connection names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_str(name.trim()).ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Removes our own headers, which only a daemon may set.
pub fn strip_own(headers: &mut HeaderMap) {
    for name in OWN.iter().chain(&[SHED, RETRIED_HEADER, peer::TOKEN]) {
        headers.remove(name);
    }
}
