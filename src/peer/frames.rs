//! Response bodies that are streams of frames.

use {
    super::peer_error,
    crate::{
        error::{Error, Result, error_chain},
        wire,
    },
    bytes::BytesMut,
    http_body_util::BodyExt,
    hyper::body::Incoming,
    serde::de::DeserializeOwned,
    std::{fmt, marker::PhantomData, net::SocketAddr, time::Instant},
    tokio::time::timeout_at,
};

/// Frames in the body of one response, decoded as messages of type `A`.
pub struct FrameStream<A> {
    step: &'static str,
    address: SocketAddr,
    body: Incoming,
    buf: BytesMut,
    received: u64,
    message: PhantomData<fn() -> A>,
}

impl<A> fmt::Debug for FrameStream<A> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FrameStream")
            .field("step", &self.step)
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl<A: DeserializeOwned> FrameStream<A> {
    pub(super) fn new(step: &'static str, address: SocketAddr, body: Incoming) -> Self {
        Self {
            step,
            address,
            body,
            buf: BytesMut::new(),
            received: 0,
            message: PhantomData,
        }
    }

    /// Returns the next message, waiting for it until `deadline`.
    ///
    /// # Errors
    /// See [`Self::receive`].
    pub async fn next(&mut self, deadline: Instant) -> Result<A> {
        loop {
            if let Some(message) = self.receive(deadline).await? {
                return Ok(message);
            }
        }
    }

    /// Returns the next message, or `None` once a part of it has arrived. Waits for either until
    /// `deadline`.
    ///
    /// # Errors
    /// [`Error::Peer`] if the stream ends, fails or has no bytes by the deadline; a codec error for
    /// an invalid frame.
    pub async fn receive(&mut self, deadline: Instant) -> Result<Option<A>> {
        if let Some(message) = wire::next_frame(&mut self.buf)? {
            return Ok(Some(message));
        }
        let frame = timeout_at(deadline.into(), self.body.frame())
            .await
            .map_err(|_elapsed| self.failed("no frame before the deadline"))?
            .ok_or_else(|| self.failed("stream ended"))?
            .map_err(|e| self.failed(error_chain(&e)))?;
        if let Ok(data) = frame.into_data() {
            self.received += data.len() as u64;
            self.buf.extend_from_slice(&data);
        }
        wire::next_frame(&mut self.buf)
    }

    /// Returns the number of bytes received so far.
    pub const fn received(&self) -> u64 {
        self.received
    }

    fn failed(&self, reason: impl fmt::Display) -> Error {
        peer_error(self.step, self.address, reason)
    }
}
