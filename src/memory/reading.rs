//! Reads bodies under a lease.

use {
    super::{budget::Lease, ledger::Short},
    crate::{
        body::{Body, BoxError, PROGRESS_TIMEOUT, Start},
        refusal::{Reason, Refusal},
        serve::{SEND_BUFFER, STREAM_WINDOW},
    },
    bytes::BytesMut,
    http::{Version, request::Parts},
    http_body_util::BodyExt as _,
    std::{
        fmt,
        time::{Duration, Instant},
    },
    tokio::{select, time::sleep_until},
};

/// Time without a byte after which a body is given up, also while there is room. A client inside the
/// limits of the interface is never silent for that long.
pub const STALL_TIMEOUT: Duration = PROGRESS_TIMEOUT;
/// Largest size in bytes of the buffer from which a connection copies a body. It grows with the
/// body, and is charged to it.
const READ_BUFFER: u64 = 64 * 1024;
/// Time after which a refused client may try again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reason why a body was not read.
#[derive(Debug)]
pub enum ReadError {
    /// The body ended with an error.
    Body(BoxError),
    /// The budget has no room.
    Short(Short),
    /// The body made no progress while the budget was short.
    Evicted,
    /// Nothing arrived for this time.
    Stalled(Duration),
}

impl From<Short> for ReadError {
    fn from(short: Short) -> Self {
        Self::Short(short)
    }
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Body(e) => write!(f, "{e}"),
            Self::Short(short) => write!(f, "the memory limit is reached ({short})"),
            Self::Evicted => f.write_str("no progress while the memory limit is reached"),
            Self::Stalled(stall) => write!(f, "no body data for {} ms", stall.as_millis()),
        }
    }
}

impl ReadError {
    /// Returns the refusal of a request that is not run for this reason.
    pub fn refusal(&self, now: Instant) -> Refusal {
        match self {
            Self::Body(_) | Self::Stalled(_) => Refusal::not_run(
                Reason::BadRequest,
                format!("reading the body failed: {self}"),
            ),
            Self::Short(_) | Self::Evicted => Refusal {
                retry_at: Some(now + RETRY_AFTER),
                ..Refusal::not_run(Reason::Overload, self.to_string())
            },
        }
    }
}

/// Returns the size of the head of a request in bytes.
pub fn head_size(parts: &Parts) -> u64 {
    let headers = parts.headers.iter();
    let headers: usize = headers.map(|(k, v)| k.as_str().len() + v.len()).sum();
    let path = parts.uri.path_and_query().map_or(0, |p| p.as_str().len());
    (headers + path) as u64
}

/// Returns the bytes that a streamed body takes: what its connection receives in advance, and the
/// send buffer of the connection to the owner daemon.
pub(crate) const fn stream_cost(version: Version) -> u64 {
    let received = match version {
        Version::HTTP_2 => STREAM_WINDOW as u64,
        _ => READ_BUFFER,
    };
    received + SEND_BUFFER as u64
}

/// Reads a body until it ends, exceeds `limit` bytes, or `until` has come, and reserves what is read.
///
/// While the budget is short, the body is not read on.
///
/// # Errors
/// The body fails or stalls, or the budget has no room for it. All bytes of the lease are released
/// then.
///
/// # Examples
/// ```
/// # let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
/// # runtime.block_on(async {
/// use anvilbeam::{body::{self, Start}, memory::{self, Lease}};
/// let lease = Lease::unlimited();
/// let start = memory::read_start(&mut body::full("12345"), 5, None, &lease).await.unwrap();
/// assert!(matches!(start, Start::Whole(bytes) if bytes == "12345"));
/// # });
/// ```
pub async fn read_start(
    body: &mut Body,
    limit: usize,
    until: Option<Instant>,
    lease: &Lease,
) -> Result<Start, ReadError> {
    read_start_within(STALL_TIMEOUT, body, limit, until, lease).await
}

/// Same as [`read_start`], for a body that is given up after `stall` without a byte.
pub(super) async fn read_start_within(
    stall: Duration,
    body: &mut Body,
    limit: usize,
    until: Option<Instant>,
    lease: &Lease,
) -> Result<Start, ReadError> {
    lease.set_reading(true);
    let read = read_frames(stall, body, limit, until, lease).await;
    lease.set_reading(false);
    if read.is_err() {
        lease.shrink_to(0);
    }
    read
}

async fn read_frames(
    stall: Duration,
    body: &mut Body,
    limit: usize,
    until: Option<Instant>,
    lease: &Lease,
) -> Result<Start, ReadError> {
    let mut buf = BytesMut::new();
    loop {
        let stalled_at = Instant::now() + stall;
        let frame_by = until.map_or(stalled_at, |until| until.min(stalled_at));
        let frame = select! {
            biased;
            frame = body.frame() => frame,
            () = lease.evicted() => return Err(ReadError::Evicted),
            () = sleep_until(frame_by.into()) => {
                if frame_by == stalled_at {
                    return Err(ReadError::Stalled(stall));
                }
                return Ok(Start::Part(buf.freeze()));
            }
        };
        let Some(frame) = frame else {
            return Ok(Start::Whole(buf.freeze()));
        };
        let Ok(data) = frame.map_err(ReadError::Body)?.into_data() else {
            continue;
        };
        let (size, received) = (data.len() as u64, buf.len() as u64);
        let buffered = size.min(READ_BUFFER.saturating_sub(received));
        lease.grow(size + buffered).await?;
        lease.record_received(size);
        buf.extend_from_slice(&data);
        if buf.len() > limit {
            return Ok(Start::Part(buf.freeze()));
        }
    }
}
