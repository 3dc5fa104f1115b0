//! Bodies of a sender that may send without end.

use {
    super::{Body, BoxError, PROGRESS_TIMEOUT},
    bytes::Bytes,
    hyper::body::{Body as HttpBody, Frame, SizeHint},
    std::{
        fmt,
        pin::Pin,
        task::{Context, Poll, ready},
        time::Instant,
    },
    tokio::time::{Duration, Sleep, sleep_until},
};

/// Bytes that a body must deliver in each [`PROGRESS_TIMEOUT`] for which it is waited. Any byte
/// would do otherwise, so that one byte every 29 s would hold a connection for hours.
const MIN_PROGRESS: usize = 1024;

/// A body that fails at its deadline, or when it delivers fewer than 1 KiB while its reader waits
/// for [`PROGRESS_TIMEOUT`] in all. The time that the reader takes between two frames counts only
/// towards the deadline.
pub struct BoundedBody {
    inner: Body,
    deadline: Instant,
    /// Start of the current wait for a frame.
    waiting_since: Option<Instant>,
    /// Earlier waits since the last progress.
    waited: Duration,
    /// Bytes since the last progress.
    received: usize,
    timer: Pin<Box<Sleep>>,
}

impl fmt::Debug for BoundedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BoundedBody")
            .field("deadline", &self.deadline)
            .finish_non_exhaustive()
    }
}

impl BoundedBody {
    /// Wraps `inner`, which must end by `deadline`.
    pub fn new(inner: Body, deadline: Instant) -> Self {
        Self {
            inner,
            deadline,
            waiting_since: None,
            waited: Duration::ZERO,
            received: 0,
            timer: Box::pin(sleep_until(deadline.into())),
        }
    }

    fn count(&mut self, bytes: usize) {
        if let Some(since) = self.waiting_since.take() {
            self.waited += since.elapsed();
        }
        self.received += bytes;
        if self.received >= MIN_PROGRESS {
            self.received = 0;
            self.waited = Duration::ZERO;
        }
    }

    fn start_wait(&mut self) {
        if self.waiting_since.is_some() {
            return;
        }
        let now = Instant::now();
        self.waiting_since = Some(now);
        let stalled_at = now + PROGRESS_TIMEOUT.saturating_sub(self.waited);
        self.timer
            .as_mut()
            .reset(stalled_at.min(self.deadline).into());
    }

    fn failure(&self) -> BoxError {
        if Instant::now() >= self.deadline {
            return "the body did not end by its deadline".into();
        }
        let (received, limit) = (self.received, PROGRESS_TIMEOUT.as_secs());
        format!("only {received} bytes of the body in {limit} s").into()
    }
}

impl HttpBody for BoundedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let this = &mut *self;
        match Pin::new(&mut this.inner).poll_frame(cx) {
            // A fast sender never lets the timer below be polled.
            Poll::Ready(Some(Ok(_))) if Instant::now() >= this.deadline => {
                Poll::Ready(Some(Err(this.failure())))
            }
            Poll::Ready(Some(Ok(frame))) => {
                this.count(frame.data_ref().map_or(0, Bytes::len));
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(ended) => Poll::Ready(ended),
            Poll::Pending => {
                this.start_wait();
                ready!(this.timer.as_mut().poll(cx));
                Poll::Ready(Some(Err(this.failure())))
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
