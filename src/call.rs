//! Parameters of a call, and the headers that carry them between callers, daemons and backend
//! servers.

#[cfg(test)]
mod tests;

use {
    crate::{
        accounts::CallAccount,
        claims::MAX_KEY_BYTES,
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

/// Header with the milliseconds left until the deadline of a call.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("anvilbeam-timeout-ms");
/// Header with the nesting depth of a call.
pub const DEPTH: HeaderName = HeaderName::from_static("anvilbeam-depth");
/// Header with the name of the plan, between daemons.
pub const PLAN: HeaderName = HeaderName::from_static("anvilbeam-plan");
/// Header with the name of the service, between daemons.
pub const SERVICE: HeaderName = HeaderName::from_static("anvilbeam-service");
/// Header with the rank of the grant, between daemons.
pub const RANK: HeaderName = HeaderName::from_static("anvilbeam-rank");
/// Header with the capacity of the grant in calls per second, between daemons.
pub const CAPACITY: HeaderName = HeaderName::from_static("anvilbeam-capacity");
/// Header with the home region of the plan, between daemons.
pub const HOME_REGION: HeaderName = HeaderName::from_static("anvilbeam-home-region");
/// Header with the path prefix of the grant, between daemons.
pub const GRANT_PATH: HeaderName = HeaderName::from_static("anvilbeam-grant-path");
/// Header with the milliseconds left until the target latency is exceeded, between daemons.
pub const WANTED_MS: HeaderName = HeaderName::from_static("anvilbeam-wanted-ms");
/// Header with the kind of work of the grant, between daemons.
pub const WORK: HeaderName = HeaderName::from_static("anvilbeam-work");
/// Header with the name of the chosen backend server, between daemons.
pub const SERVER: HeaderName = HeaderName::from_static("anvilbeam-server");
/// Header in the response of an owner daemon with the running calls, the waiting calls and the
/// slots of its backend server, and in milliseconds the expected wait for a large body and, unless all
/// are 0, the time that the link needs for answers that wait ahead of one of each rank; with
/// `server_speed`, also the time of a call of this kind in microseconds and the wait in milliseconds.
pub const LOAD: HeaderName = HeaderName::from_static("anvilbeam-load");
/// Header with the version in force at the daemon that sends a call.
pub const VERSION: HeaderName = HeaderName::from_static("anvilbeam-version");
/// Header with the name of the daemon that sends a call.
pub const DAEMON: HeaderName = HeaderName::from_static("anvilbeam-daemon");
/// Header in the response of an owner daemon with the response time of its backend server in
/// microseconds.
pub const SERVER_US: HeaderName = HeaderName::from_static("anvilbeam-server-us");
/// Header with the account of a call, between daemons: see [`CallAccount::to_text`].
pub const ACCOUNT: HeaderName = HeaderName::from_static("anvilbeam-account");
/// Header that marks a streamed body, which has no limit on its duration, for the owner daemon.
pub const STREAMED: HeaderName = HeaderName::from_static("anvilbeam-streamed");
/// Header that marks a body of which the entry daemon has all bytes, for the owner daemon.
pub const BUFFERED: HeaderName = HeaderName::from_static("anvilbeam-buffered");
/// Header that marks a call that a run of another call waits for, for the owner daemon.
pub const INNER: HeaderName = HeaderName::from_static("anvilbeam-inner");
/// Header by which a backend server declares that it shed a request without running it.
pub const SHED: HeaderName = HeaderName::from_static("anvilbeam-shed");
/// Standard header with the idempotency key.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Headers of the mesh that are removed from messages that are passed on; daemons then set those
/// that the next hop needs.
const MESH_HEADERS: [HeaderName; 23] = [
    ACCOUNT,
    TIMEOUT_MS,
    DEPTH,
    PLAN,
    SERVICE,
    RANK,
    CAPACITY,
    HOME_REGION,
    GRANT_PATH,
    WANTED_MS,
    WORK,
    SERVER,
    LOAD,
    VERSION,
    DAEMON,
    SERVER_US,
    STREAMED,
    BUFFERED,
    INNER,
    refusal::OUTCOME,
    refusal::REASON,
    refusal::EARLY,
    refusal::RETRY_AFTER_MS,
];

/// Largest nesting depth of a call; the deepest planned call graph has 23 levels.
pub const MAX_DEPTH: u32 = 32;
/// Longest timeout of a call; longer ones are shortened to it.
pub const MAX_TIMEOUT: Duration = Duration::from_hours(1);
/// Largest body in bytes that is buffered so that the request can be retried.
pub const MAX_REPLAY_BYTES: u64 = 64 * 1024;

/// Hop-by-hop headers, which belong to one connection and are not forwarded.
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

/// Parameters of a call that the entry daemon determines and sends to the owner daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent properties, each with a header of its own"
)]
pub struct Call {
    /// Plan of the caller.
    pub plan: PlanName,
    /// Service that is called.
    pub service: ServiceName,
    /// Rank of the grant.
    pub rank: Rank,
    /// Capacity of the grant in calls per second.
    pub capacity: u32,
    /// Home region of the plan, whose claims group keeps the plan's idempotency keys. Empty if the
    /// plan is not in the lists.
    pub home_region: String,
    /// Deadline by which the caller stops waiting, or an earlier one from the grant's timeout.
    pub deadline: Instant,
    /// Nesting depth: the number of calls on whose behalf this one is made.
    pub depth: u32,
    /// Path prefix of the grant.
    pub path: PathPrefix,
    /// Kind of work according to the grant; `None` if the HTTP method determines it.
    pub work: Option<Work>,
    /// Maximum number of attempts, including the first.
    pub max_attempts: u32,
    /// Time at which the target latency of the grant is exceeded; a later answer is worth less.
    /// `None` if the grant has no target latency.
    pub soft_deadline: Option<Instant>,
    /// The chosen backend server; the owner daemon refuses the call if it has another one. `None`
    /// accepts any.
    pub server: Option<ServerName>,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Idempotency key of an order; `None` for all other calls.
    pub idempotency_key: Option<String>,
    /// Whether the body is streamed, without a limit on its duration.
    pub streamed: bool,
    /// Whether the body has more than one flow control window. Known to the entry daemon only.
    pub large_body: bool,
    /// Account of the caller; `None` if the call belongs to none.
    pub account: Option<CallAccount>,
    /// Whether a run of another call waits for the answer.
    pub inner: bool,
    /// Whether an earlier attempt may have reached a backend server. The owner daemon learns it from
    /// [`RETRIED_HEADER`].
    pub repeated: bool,
}

/// Returns the host of a request without the port.
///
/// # Errors
/// A refusal if the request has no host.
pub fn host_of<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> Result<&'a str, Refusal> {
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

/// Returns the bearer token in the `authorization` header.
///
/// # Errors
/// A refusal if the header is missing or has another scheme.
pub fn bearer_token(headers: &HeaderMap) -> Result<&str, Refusal> {
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

/// Returns the deadline that a request sets, or `now` plus `default`; at most `now` plus
/// [`MAX_TIMEOUT`].
///
/// # Errors
/// A refusal if the header is not a whole number of milliseconds.
pub fn deadline_of(
    dialect: &Dialect,
    headers: &HeaderMap,
    now: Instant,
    default: Duration,
) -> Result<Instant, Refusal> {
    let name = &dialect.timeout_ms;
    let timeout = match headers.get(name) {
        Some(value) => Duration::from_millis(parse_number(name, value)?),
        None => default,
    };
    Ok(now + timeout.min(MAX_TIMEOUT))
}

/// Returns the nesting depth of a request, 0 without the header.
///
/// # Errors
/// A refusal if the header is not a whole number or exceeds [`MAX_DEPTH`].
pub fn depth_of(headers: &HeaderMap) -> Result<u32, Refusal> {
    let Some(value) = headers.get(&DEPTH) else {
        return Ok(0);
    };
    let depth = parse_number(&DEPTH, value)?;
    if depth > MAX_DEPTH {
        return Err(Refusal::not_run(
            Reason::BadRequest,
            format!("nesting depth {depth} exceeds the maximum of {MAX_DEPTH}"),
        ));
    }
    Ok(depth)
}

/// Returns the idempotency key of a request whose method is not idempotent; `None` for others.
///
/// # Errors
/// A refusal if the key is missing, empty, not ASCII or longer than [`MAX_KEY_BYTES`] bytes.
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
            format!("a {method} request needs an Idempotency-Key header"),
        ));
    };
    if key.len() > MAX_KEY_BYTES {
        return Err(Refusal::not_run(
            Reason::BadRequest,
            format!(
                "the idempotency key of {} bytes exceeds the maximum of {MAX_KEY_BYTES} bytes",
                key.len()
            ),
        ));
    }
    Ok(Some(key.to_owned()))
}

fn parse_number<T: FromStr>(name: &HeaderName, value: &HeaderValue) -> Result<T, Refusal> {
    let text = value.to_str().unwrap_or("?");
    text.parse().map_err(|_not_a_number| {
        Refusal::not_run(
            Reason::BadRequest,
            format!("header {name} must be a whole number, not {text:?}"),
        )
    })
}

impl Call {
    /// Writes the call into the request headers for the owner daemon.
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
        if let Some(soft_deadline) = self.soft_deadline {
            let left = soft_deadline.saturating_duration_since(now).as_millis();
            headers.insert(WANTED_MS, (left as u64).into());
        }
        if let Some(account) = &self.account {
            write_text(headers, ACCOUNT, &account.to_text());
        }
        if self.streamed {
            headers.insert(STREAMED, HeaderValue::from_static("1"));
        }
        if self.inner {
            headers.insert(INNER, HeaderValue::from_static("1"));
        }
        self.write_limits(headers, now);
    }

    /// Writes the headers that a backend server copies to its own calls: time left and depth.
    pub fn write_limits(&self, headers: &mut HeaderMap, now: Instant) {
        let left = self.deadline.saturating_duration_since(now).as_millis();
        headers.insert(TIMEOUT_MS, (left as u64).into());
        headers.insert(DEPTH, self.depth.into());
    }

    /// Reads a call from the headers that [`Call::write`] writes.
    ///
    /// # Errors
    /// A refusal if a header is missing or invalid.
    pub fn read(parts: &Parts, now: Instant) -> Result<Self, Refusal> {
        let headers = &parts.headers;
        let rank = required_text(headers, &RANK)?;
        let work = optional_text(headers, &WORK)?
            .map(|work| {
                work.parse::<Work>().map_err(|_unknown| {
                    Refusal::not_run(Reason::BadRequest, format!("unknown kind of work {work:?}"))
                })
            })
            .transpose()?;
        Ok(Self {
            plan: required_text(headers, &PLAN)?.into(),
            service: required_text(headers, &SERVICE)?.into(),
            rank: rank.parse().map_err(|_unknown| {
                Refusal::not_run(Reason::BadRequest, format!("unknown rank {rank:?}"))
            })?,
            capacity: parse_number(&CAPACITY, required_header(headers, &CAPACITY)?)?,
            home_region: required_text(headers, &HOME_REGION)?.to_owned(),
            deadline: deadline_of(&Dialect::native(), headers, now, Duration::ZERO)?,
            depth: depth_of(headers)?,
            path: optional_text(headers, &GRANT_PATH)?.map_or_else(PathPrefix::default, Into::into),
            // Only the entry daemon retries a call.
            max_attempts: 1,
            soft_deadline: optional_text(headers, &WANTED_MS)?
                .map(|_| parse_number(&WANTED_MS, required_header(headers, &WANTED_MS)?))
                .transpose()?
                .map(|ms| now + Duration::from_millis(ms).min(MAX_TIMEOUT)),
            server: optional_text(headers, &SERVER)?.map(Into::into),
            idempotent: is_repeatable(work, &parts.method),
            idempotency_key: match work {
                Some(_) => None,
                None => idempotency_key_of(&parts.method, headers)?,
            },
            work,
            streamed: headers.contains_key(&STREAMED),
            large_body: false,
            account: optional_text(headers, &ACCOUNT)?
                .map(|text| {
                    text.parse().map_err(|_invalid| {
                        Refusal::not_run(Reason::BadRequest, format!("invalid header {ACCOUNT}"))
                    })
                })
                .transpose()?,
            inner: headers.contains_key(&INNER),
            repeated: headers.contains_key(RETRIED_HEADER),
        })
    }
}

/// Returns whether a request may run more than once, according to the kind of work or else to the
/// method.
pub fn is_repeatable(work: Option<Work>, method: &Method) -> bool {
    work.map_or_else(|| is_idempotent(method), Work::is_repeatable)
}

fn optional_text<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, Refusal> {
    headers
        .contains_key(name)
        .then(|| required_text(headers, name))
        .transpose()
}

fn write_text(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    // Never fails: names are checked when lists are read, so each is a valid header value.
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

fn required_header<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<&'a HeaderValue, Refusal> {
    headers
        .get(name)
        .ok_or_else(|| Refusal::not_run(Reason::BadRequest, format!("header {name} is missing")))
}

fn required_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<&'a str, Refusal> {
    required_header(headers, name)?
        .to_str()
        .map_err(|_not_ascii| {
            Refusal::not_run(Reason::BadRequest, format!("header {name} is not ASCII"))
        })
}

/// Removes the hop-by-hop headers and those that the `connection` header names.
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

/// Removes headers of the mesh, so that those from callers and backend servers are not passed on.
pub fn strip_mesh_headers(headers: &mut HeaderMap) {
    for name in MESH_HEADERS
        .iter()
        .chain(&[SHED, RETRIED_HEADER, peer::MESH_TOKEN])
    {
        headers.remove(name);
    }
}
