//! HTTP bodies: constructors, streaming with a stall timeout, and bounded reads.

mod bounded;

pub use bounded::BoundedBody;

use {
    bytes::{Bytes, BytesMut},
    futures_util::{StreamExt, stream},
    http_body_util::{BodyExt, BodyStream, Empty, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::body::{Body as HttpBody, Frame, SizeHint},
    std::{
        error::Error as StdError,
        fmt,
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::{Context, Poll, ready},
        time::Instant,
    },
    tokio::{
        sync::mpsc,
        time::{Duration, Sleep, sleep_until, timeout_at},
    },
};

/// Error type of all bodies.
pub type BoxError = Box<dyn StdError + Send + Sync>;

/// Body type of all requests and responses in this crate.
pub type Body = UnsyncBoxBody<Bytes, BoxError>;

/// Longest time without a frame before a body is considered stalled and fails.
pub const PROGRESS_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a body without bytes.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body that consists of `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Boxes any body as a [`Body`].
pub fn boxed<B>(inner: B) -> Body
where
    B: HttpBody<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
{
    inner.map_err(Into::into).boxed_unsync()
}

/// Returns a body that streams the chunks sent through a channel, and the sender of that channel,
/// which buffers up to `capacity` chunks.
pub fn channel(capacity: usize) -> (mpsc::Sender<Bytes>, Body) {
    let (tx, mut rx) = mpsc::channel(capacity);
    let frames = stream::poll_fn(move |cx| rx.poll_recv(cx))
        .map(|chunk| Ok::<_, BoxError>(Frame::data(chunk)));
    (tx, StreamBody::new(frames).boxed_unsync())
}

/// Returns a body of `start` followed by the frames of `rest`.
pub fn preceded(start: Bytes, rest: Body) -> Body {
    let first = stream::iter([Ok(Frame::data(start))]);
    StreamBody::new(first.chain(BodyStream::new(rest))).boxed_unsync()
}

/// Returns a body that owns `held` until it has been read or dropped.
pub fn kept<G: Send + Unpin + 'static>(inner: Body, held: G) -> Body {
    Kept { inner, _held: held }.boxed_unsync()
}

/// A body with a value that is dropped with it.
struct Kept<G> {
    inner: Body,
    _held: G,
}

impl<G: Unpin> HttpBody for Kept<G> {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// How a [`MonitoredBody`] ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The body was read to its end.
    Complete,
    /// The inner body returned an error or stalled for [`PROGRESS_TIMEOUT`].
    Failed,
    /// The body was dropped before its end.
    Dropped,
}

/// Deadline by which a body must yield its next frame. The body moves it forward; the task that
/// waits for the response reads it.
#[derive(Debug)]
pub struct Progress {
    next_frame_by: Mutex<Instant>,
}

impl Progress {
    /// Creates the deadline of a body that starts now.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            next_frame_by: Mutex::new(Instant::now() + PROGRESS_TIMEOUT),
        })
    }

    /// Returns the deadline of the next frame.
    pub fn deadline(&self) -> Instant {
        *self.lock()
    }

    fn extend(&self) -> Instant {
        let deadline = Instant::now() + PROGRESS_TIMEOUT;
        *self.lock() = deadline;
        deadline
    }

    fn lock(&self) -> MutexGuard<'_, Instant> {
        self.next_frame_by
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

type OnEnd = Box<dyn FnOnce(Ending) + Send>;

/// A body that fails when no frame arrives for [`PROGRESS_TIMEOUT`] and reports its end once.
pub struct MonitoredBody {
    inner: Body,
    progress: Arc<Progress>,
    stall_timer: Pin<Box<Sleep>>,
    on_end: Option<OnEnd>,
}

impl fmt::Debug for MonitoredBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MonitoredBody").finish_non_exhaustive()
    }
}

impl MonitoredBody {
    /// Wraps `inner`; `on_end` runs exactly once, when the body ends or is dropped.
    pub fn new(
        inner: Body,
        progress: Arc<Progress>,
        on_end: impl FnOnce(Ending) + Send + 'static,
    ) -> Self {
        Self {
            inner,
            stall_timer: Box::pin(sleep_until(progress.deadline().into())),
            progress,
            on_end: Some(Box::new(on_end)),
        }
    }

    fn report_end(&mut self, ending: Ending) {
        if let Some(on_end) = self.on_end.take() {
            on_end(ending);
        }
    }
}

impl HttpBody for MonitoredBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let this = &mut *self;
        match Pin::new(&mut this.inner).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                let deadline = this.progress.extend();
                this.stall_timer.as_mut().reset(deadline.into());
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(e))) => {
                this.report_end(Ending::Failed);
                Poll::Ready(Some(Err(e)))
            }
            Poll::Ready(None) => {
                this.report_end(Ending::Complete);
                Poll::Ready(None)
            }
            Poll::Pending => {
                ready!(this.stall_timer.as_mut().poll(cx));
                this.report_end(Ending::Failed);
                let reason = format!("no body data for {} s", PROGRESS_TIMEOUT.as_secs());
                Poll::Ready(Some(Err(reason.into())))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for MonitoredBody {
    fn drop(&mut self) {
        // A connection stops polling a body of known length after its last byte, so that the end of
        // the stream is never polled.
        let ending = if self.inner.is_end_stream() {
            Ending::Complete
        } else {
            Ending::Dropped
        };
        self.report_end(ending);
    }
}

/// Reads and discards the rest of a refused request's body until `deadline`. Closing the connection
/// while the caller is still sending would reset it before the caller can read the refusal.
pub async fn discard(mut body: Body, deadline: Instant) {
    let read = async { while let Some(Ok(_)) = body.frame().await {} };
    // A caller that still sends at the deadline gets a closed connection.
    let _timed_out = timeout_at(deadline.into(), read).await;
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
/// Returns the error of the body, or an error that names the limit if the body exceeds it.
pub async fn collect(mut body: Body, limit: usize) -> Result<Bytes, BoxError> {
    match read_start(&mut body, limit).await? {
        Start::Whole(bytes) => Ok(bytes),
        Start::Part(_) => Err(format!("body exceeds the limit of {limit} bytes").into()),
    }
}

/// Bytes at the start of a body.
#[derive(Debug)]
pub enum Start {
    /// The whole body.
    Whole(Bytes),
    /// More than the limit; the rest was not read.
    Part(Bytes),
}

/// Reads a body until it ends or exceeds `limit` bytes.
///
/// # Errors
/// Returns the error of the body.
///
/// # Examples
/// ```
/// # let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
/// # runtime.block_on(async {
/// use anvilbeam::body::{self, Start};
/// let mut small = body::full("12345");
/// let start = body::read_start(&mut small, 5).await.unwrap();
/// assert!(matches!(start, Start::Whole(bytes) if bytes == "12345"));
/// let mut large = body::full("123456");
/// let start = body::read_start(&mut large, 5).await.unwrap();
/// assert!(matches!(start, Start::Part(_)));
/// # });
/// ```
pub async fn read_start(body: &mut Body, limit: usize) -> Result<Start, BoxError> {
    read_while(body, limit, None).await
}

/// Same as [`read_start`], but stops at `until` and returns what has arrived by then.
///
/// # Errors
/// Returns the error of the body.
pub async fn read_start_until(
    body: &mut Body,
    limit: usize,
    until: Instant,
) -> Result<Start, BoxError> {
    read_while(body, limit, Some(until)).await
}

async fn read_while(
    body: &mut Body,
    limit: usize,
    until: Option<Instant>,
) -> Result<Start, BoxError> {
    let mut buf = BytesMut::new();
    loop {
        let frame = match until {
            None => body.frame().await,
            Some(until) => match timeout_at(until.into(), body.frame()).await {
                Ok(frame) => frame,
                Err(_elapsed) => return Ok(Start::Part(buf.freeze())),
            },
        };
        let Some(frame) = frame else {
            return Ok(Start::Whole(buf.freeze()));
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        buf.extend_from_slice(&data);
        if buf.len() > limit {
            return Ok(Start::Part(buf.freeze()));
        }
    }
}
