//! What passes over one connection: bytes in both directions, the time of the last byte received
//! and the calls in flight.

mod head_timeout;
#[cfg(test)]
mod tests;

pub use self::head_timeout::HeadTimeout;

use {
    std::{
        fmt,
        io::{IoSlice, Result},
        pin::{Pin, pin},
        sync::{
            Arc,
            atomic::{AtomicU32, AtomicU64, Ordering},
        },
        task::{Context, Poll, ready},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        task::yield_now,
    },
};

/// Bytes that are received in a row before other tasks run. A peer that sends without a pause would
/// otherwise keep the thread for seconds, since what is parsed and dropped never waits for a reader.
const MAX_READ_RUN: usize = 64 * 1024;

/// Counters of one connection, shared by its tasks.
#[derive(Debug)]
pub struct Activity {
    opened_at: Instant,
    /// Time of the last byte received, in microseconds after `opened_at`.
    last_received_us: AtomicU64,
    received: AtomicU64,
    sent: AtomicU64,
    calls: AtomicU32,
    /// Number of calls so far.
    begun: AtomicU64,
}

impl Activity {
    /// Creates the counters of a connection that opens now.
    ///
    /// ```
    /// use anvilbeam::link::Activity;
    /// let activity = Activity::new();
    /// let call = Activity::begin_call(&activity);
    /// assert_eq!(activity.calls(), 1);
    /// drop(call);
    /// assert_eq!(activity.calls(), 0);
    /// ```
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            opened_at: Instant::now(),
            last_received_us: AtomicU64::new(0),
            received: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            calls: AtomicU32::new(0),
            begun: AtomicU64::new(0),
        })
    }

    /// Returns the time at which the last byte was received, or at which the connection opened.
    pub fn last_received_at(&self) -> Instant {
        let micros = self.last_received_us.load(Ordering::Relaxed);
        self.opened_at + Duration::from_micros(micros)
    }

    /// Returns the number of calls in flight.
    pub fn calls(&self) -> u32 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Returns the number of calls so far.
    pub fn begun(&self) -> u64 {
        self.begun.load(Ordering::Relaxed)
    }

    /// Counts a call as in flight until the returned guard is dropped.
    pub fn begin_call(this: &Arc<Self>) -> CallInFlight {
        this.calls.fetch_add(1, Ordering::Relaxed);
        this.begun.fetch_add(1, Ordering::Relaxed);
        CallInFlight(Arc::clone(this))
    }

    fn record_received(&self, size: usize) {
        let micros = self.opened_at.elapsed().as_micros() as u64;
        self.last_received_us.store(micros, Ordering::Relaxed);
        self.received.fetch_add(size as u64, Ordering::Relaxed);
    }

    fn record_sent(&self, size: usize) {
        self.sent.fetch_add(size as u64, Ordering::Relaxed);
    }
}

/// For log lines: calls in flight, bytes in both directions, age and silence of the connection.
impl fmt::Display for Activity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "calls {}, sent {} B, received {} B, age {} ms, silent for {} ms",
            self.calls(),
            self.sent.load(Ordering::Relaxed),
            self.received.load(Ordering::Relaxed),
            self.opened_at.elapsed().as_millis(),
            self.last_received_at().elapsed().as_millis(),
        )
    }
}

/// A call that is counted as in flight on its connection.
#[derive(Debug)]
pub struct CallInFlight(Arc<Activity>);

impl Drop for CallInFlight {
    fn drop(&mut self) {
        self.0.calls.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A byte stream whose traffic is recorded, and which lets other tasks run while its peer sends.
#[derive(Debug)]
pub struct Metered<T> {
    inner: T,
    activity: Arc<Activity>,
    /// Bytes received since another task could run.
    read_run: usize,
}

impl<T> Metered<T> {
    /// Records the traffic of `inner` in `activity`.
    pub const fn new(inner: T, activity: Arc<Activity>) -> Self {
        Self {
            inner,
            activity,
            read_run: 0,
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Metered<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if self.read_run >= MAX_READ_RUN {
            self.read_run = 0;
            // Wakes this task only after the runtime has looked for events of other connections. With
            // a waker it does so after 61 turns, and each step of a call waits for it.
            let yielded = pin!(yield_now());
            if yielded.poll(cx).is_pending() {
                return Poll::Pending;
            }
        }
        let before = buf.filled().len();
        let Poll::Ready(read) = Pin::new(&mut self.inner).poll_read(cx, buf) else {
            self.read_run = 0;
            return Poll::Pending;
        };
        read?;
        let size = buf.filled().len() - before;
        self.read_run += size;
        if size > 0 {
            self.activity.record_received(size);
        }
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Metered<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let size = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        self.activity.record_sent(size);
        Poll::Ready(Ok(size))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let size = ready!(Pin::new(&mut self.inner).poll_write_vectored(cx, bufs))?;
        self.activity.record_sent(size);
        Poll::Ready(Ok(size))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
