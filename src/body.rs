//! Message bodies: streaming with a progress deadline, and what to do when a body ends.

use {
    bytes::{Bytes, BytesMut},
    futures_util::{StreamExt, stream},
    http_body_util::{BodyExt, Empty, Full, StreamBody, combinators::UnsyncBoxBody},
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

/// Error of a body.
pub type BoxError = Box<dyn StdError + Send + Sync>;

/// Body of each request and response that the crate handles.
pub type Body = UnsyncBoxBody<Bytes, BoxError>;

/// Longest time without a byte before a body counts as lost.
pub const PROGRESS_TIMEOUT: Duration = Duration::from_secs(30);

/// A body without bytes.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A body that holds `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Boxes a body of another type.
pub fn boxed<B>(inner: B) -> Body
where
    B: HttpBody<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
{
    inner.map_err(Into::into).boxed_unsync()
}

/// A body fed through a channel that holds up to `capacity` chunks.
pub fn channel(capacity: usize) -> (mpsc::Sender<Bytes>, Body) {
    let (tx, mut rx) = mpsc::channel(capacity);
    let frames = stream::poll_fn(move |cx| rx.poll_recv(cx))
        .map(|chunk| Ok::<_, BoxError>(Frame::data(chunk)));
    (tx, StreamBody::new(frames).boxed_unsync())
}

/// How a watched body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// All bytes were read.
    Complete,
    /// The sender failed or made no progress.
    Failed,
    /// The reader went away first.
    Dropped,
}

/// When a body must make its next progress; shared with whoever waits for the response.
#[derive(Debug)]
pub struct Progress {
    next_byte_by: Mutex<Instant>,
}

impl Progress {
    /// Progress of a body that starts now.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            next_byte_by: Mutex::new(Instant::now() + PROGRESS_TIMEOUT),
        })
    }

    /// Deadline of the next byte.
    pub fn deadline(&self) -> Instant {
        *self.lock()
    }

    fn extend(&self) -> Instant {
        let deadline = Instant::now() + PROGRESS_TIMEOUT;
        *self.lock() = deadline;
        deadline
    }

    fn lock(&self) -> MutexGuard<'_, Instant> {
        self.next_byte_by
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

type OnEnd = Box<dyn FnOnce(Ending) + Send>;

/// A body that fails when no byte arrives for [`PROGRESS_TIMEOUT`] and reports its end once.
pub struct Watched {
    inner: Body,
    progress: Arc<Progress>,
    stall: Pin<Box<Sleep>>,
    on_end: Option<OnEnd>,
}

impl fmt::Debug for Watched {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Watched").finish_non_exhaustive()
    }
}

impl Watched {
    /// Watches `inner`; `on_end` runs exactly once.
    pub fn new(
        inner: Body,
        progress: Arc<Progress>,
        on_end: impl FnOnce(Ending) + Send + 'static,
    ) -> Self {
        Self {
            inner,
            stall: Box::pin(sleep_until(progress.deadline().into())),
            progress,
            on_end: Some(Box::new(on_end)),
        }
    }

    fn end(&mut self, ending: Ending) {
        if let Some(on_end) = self.on_end.take() {
            on_end(ending);
        }
    }
}

impl HttpBody for Watched {
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
                this.stall.as_mut().reset(deadline.into());
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(e))) => {
                this.end(Ending::Failed);
                Poll::Ready(Some(Err(e)))
            }
            Poll::Ready(None) => {
                this.end(Ending::Complete);
                Poll::Ready(None)
            }
            Poll::Pending => {
                ready!(this.stall.as_mut().poll(cx));
                this.end(Ending::Failed);
                let reason = format!("no byte of the body for {} s", PROGRESS_TIMEOUT.as_secs());
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

impl Drop for Watched {
    fn drop(&mut self) {
        // A connection stops polling once a body of known length is sent.
        let ending = if self.inner.is_end_stream() {
            Ending::Complete
        } else {
            Ending::Dropped
        };
        self.end(ending);
    }
}

/// Reads and drops the rest of a refused request's body until `deadline`, so that a caller that is
/// still sending gets the refusal instead of a broken connection.
pub async fn discard(mut body: Body, deadline: Instant) {
    let read = async { while let Some(Ok(_)) = body.frame().await {} };
    // A caller that goes on sending is cut off.
    let _cut_off = timeout_at(deadline.into(), read).await;
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
/// The body's own error, or a text that names the limit.
pub async fn collect(mut body: Body, limit: usize) -> Result<Bytes, BoxError> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if buf.len() + data.len() > limit {
            return Err(format!("body exceeds {limit} bytes").into());
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}
