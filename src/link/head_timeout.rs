//! Timeout for the head of an HTTP/1 request. An idle connection, which has sent no byte of the next
//! request, stays open.

use {
    super::Activity,
    std::{
        io::{Error, ErrorKind, IoSlice, Result},
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        time::{Sleep, sleep},
    },
};

/// First bytes of an HTTP/2 connection, whose requests have no head of their own.
const HTTP2_PREFACE: &[u8] = b"PRI ";

/// Protocol of a connection, as its first bytes tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Protocol {
    Unknown,
    Http1,
    Http2,
}

/// A byte stream of a server that fails if the head of a request is not complete in time.
#[derive(Debug)]
pub struct HeadTimeout<T> {
    inner: T,
    activity: Arc<Activity>,
    limit: Duration,
    protocol: Protocol,
    /// Number of calls before the head that is being received, and its timer; `None` while none is.
    head: Option<(u64, Pin<Box<Sleep>>)>,
}

impl<T> HeadTimeout<T> {
    /// Limits the time for each head on `inner`, whose calls are counted in `activity`.
    pub const fn new(inner: T, activity: Arc<Activity>, limit: Duration) -> Self {
        Self {
            inner,
            activity,
            limit,
            protocol: Protocol::Unknown,
            head: None,
        }
    }

    fn record(&mut self, received: &[u8]) {
        if self.protocol == Protocol::Unknown {
            self.protocol = if received.starts_with(HTTP2_PREFACE) {
                Protocol::Http2
            } else {
                Protocol::Http1
            };
        }
        let begun = self.activity.begun();
        if self.protocol == Protocol::Http2 || self.activity.calls() > 0 {
            self.head = None;
        } else if self
            .head
            .as_ref()
            .is_none_or(|(before, _)| *before != begun)
        {
            self.head = Some((begun, Box::pin(sleep(self.limit))));
        }
    }

    /// Returns whether the head that is being received has taken too long.
    fn is_late(&mut self, cx: &mut Context<'_>) -> bool {
        let begun = self.activity.begun();
        self.head.take_if(|(before, _)| *before != begun);
        let timer = self.head.as_mut().map(|(_, timer)| timer.as_mut());
        timer.is_some_and(|timer| timer.poll(cx).is_ready())
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for HeadTimeout<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        match Pin::new(&mut self.inner).poll_read(cx, buf) {
            Poll::Ready(Ok(())) => {
                let received = &buf.filled()[before..];
                if !received.is_empty() {
                    self.record(received);
                }
                Poll::Ready(Ok(()))
            }
            Poll::Pending if self.is_late(cx) => {
                let limit_ms = self.limit.as_millis();
                let reason = format!("the head of a request was not complete after {limit_ms} ms");
                Poll::Ready(Err(Error::new(ErrorKind::TimedOut, reason)))
            }
            other => other,
        }
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for HeadTimeout<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
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
