//! Transport of the distribution tree: paths, frames and the streams to children.

#[cfg(test)]
mod tests;

use {
    crate::{
        body::{self, Body},
        model::{DaemonName, Version},
        relays::{AttachReply, SubscribeReply, Update},
        wire,
    },
    bytes::Bytes,
    http::Response,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        sync::{
            Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::sync::{mpsc, oneshot},
};

/// Path of attach requests, which ask control for a parent.
pub const ATTACH_PATH: &str = "/attach";
/// Path that opens the stream of updates from a parent.
pub const SUBSCRIBE_PATH: &str = "/subscribe";
/// Path that receives the reports of children.
pub const REPORT_PATH: &str = "/report";
/// Path that returns the version in force.
pub const VERSION_PATH: &str = "/version";
/// Path that returns the parts of a config delta, without a subscription.
pub const FETCH_PATH: &str = "/fetch";
/// Path that receives the demand for the capacity of grants.
pub const DEMAND_PATH: &str = "/demand";
/// Path that opens the stream of shares of the capacity of grants.
pub const SHARES_PATH: &str = "/shares";

/// Maximum number of frames queued for a child; enough for a full copy with all endpoint sets.
const MAX_QUEUED_FRAMES: usize = 64;

/// Answer of a control replica to an attach request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttachAnswer {
    /// Answer of the leader.
    Reply {
        /// The answer.
        reply: AttachReply,
        /// Peer addresses of the members of the config group.
        members: Vec<SocketAddr>,
    },
    /// The replica is not the leader; peer address of the leader, `None` if unknown.
    NotLeader(Option<SocketAddr>),
}

/// One frame of a stream to a child.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Answer to the subscription; always the first frame.
    Reply(SubscribeReply),
    /// Update of the configuration and the endpoint sets.
    Update(Box<Update>),
}

/// Answer to a query of the version in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionAnswer {
    /// Version in force; `None` if there is none.
    pub version: Option<Version>,
}

#[derive(Debug)]
struct Stream {
    number: u64,
    tx: mpsc::Sender<Bytes>,
    /// Dropped with the stream, which notifies its [`StreamEnd`].
    _open: oneshot::Sender<()>,
}

/// Notification of the end of one stream to a child.
#[derive(Debug)]
pub struct StreamEnd {
    tx: mpsc::Sender<Bytes>,
    closed: oneshot::Receiver<()>,
}

impl StreamEnd {
    /// Waits until the child has disconnected or this process has closed the stream, and drops the
    /// last sender. The child then gets the end of the stream at once, instead of detecting the loss
    /// by the heartbeat timeout.
    pub async fn wait(self) {
        let Self { tx, closed } = self;
        tokio::select! {
            () = tx.closed() => {}
            _ = closed => {}
        }
    }
}

/// Open streams to the children of a process.
#[derive(Debug, Default)]
pub struct ChildStreams {
    streams: Mutex<IndexMap<DaemonName, Stream>>,
    bytes_sent: AtomicU64,
}

impl ChildStreams {
    /// Opens a stream in place of an earlier one of the same child; returns the response with the
    /// stream as its body, and the notification of its end.
    pub fn open(&self, child: &DaemonName, number: u64) -> (Response<Body>, StreamEnd) {
        let (tx, streamed) = body::channel(MAX_QUEUED_FRAMES);
        let (open, closed) = oneshot::channel();
        let stream = Stream {
            number,
            tx: tx.clone(),
            _open: open,
        };
        self.streams().insert(child.clone(), stream);
        (Response::new(streamed), StreamEnd { tx, closed })
    }

    /// Queues a frame on the stream of a child. Closes the stream if the queue is full: the child
    /// then subscribes again and gets one delta in place of the frames that it has missed.
    pub fn send<T: Serialize>(&self, child: &DaemonName, number: u64, frame: &T) {
        let mut streams = self.streams();
        let Some(stream) = streams.get(child).filter(|held| held.number == number) else {
            return;
        };
        let sent = match wire::encode_frame(frame) {
            Ok(buf) => {
                self.bytes_sent
                    .fetch_add(buf.len() as u64, Ordering::Relaxed);
                stream.tx.try_send(buf).is_ok()
            }
            Err(e) => {
                log::error!("frame to child {child} not encoded, closing its stream: {e}");
                false
            }
        };
        if !sent {
            streams.swap_remove(child);
        }
    }

    /// Returns the number of the open stream of a child; `None` if there is none.
    pub fn number(&self, child: &DaemonName) -> Option<u64> {
        self.streams().get(child).map(|stream| stream.number)
    }

    /// Closes the stream of a child, unless the child has opened another one.
    pub fn close(&self, child: &DaemonName, number: u64) {
        let mut streams = self.streams();
        if streams.get(child).is_some_and(|held| held.number == number) {
            streams.swap_remove(child);
        }
    }

    /// Closes all streams.
    pub fn close_all(&self) {
        self.streams().clear();
    }

    /// Returns the number of bytes of all frames so far, with those that a full queue refused.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent.load(Ordering::Relaxed)
    }

    fn streams(&self) -> MutexGuard<'_, IndexMap<DaemonName, Stream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
