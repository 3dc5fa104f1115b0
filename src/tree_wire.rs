//! How the messages of the distribution tree travel: paths, frames and the streams to children.

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

/// Path that asks control for a parent.
pub const ATTACH_PATH: &str = "/attach";
/// Path that opens a stream.
pub const SUBSCRIBE_PATH: &str = "/subscribe";
/// Path that takes reports of children.
pub const REPORT_PATH: &str = "/report";
/// Path that tells the version in force.
pub const VERSION_PATH: &str = "/version";
/// Path that gives the parts of a configuration once.
pub const FETCH_PATH: &str = "/fetch";
/// Path that takes the demand for the capacity of grants.
pub const DEMAND_PATH: &str = "/demand";
/// Path that opens a stream of shares of the capacity of grants.
pub const SHARES_PATH: &str = "/shares";

/// Frames that wait for a slow child; a full copy with all endpoint sets fits.
const QUEUE: usize = 64;

/// Answer of a control replica to an attach request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttachAnswer {
    /// The leader decided.
    Reply {
        /// The answer of the leader.
        reply: AttachReply,
        /// Peer addresses of the members of the config group.
        members: Vec<SocketAddr>,
    },
    /// Another replica leads.
    NotLeader(Option<SocketAddr>),
}

/// One frame of a stream to a child.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Answer to the subscription; the first frame.
    Reply(SubscribeReply),
    /// An update.
    Update(Box<Update>),
}

/// Answer to a question for the version in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionAnswer {
    /// Version in force, if any.
    pub version: Option<Version>,
}

#[derive(Debug)]
struct Stream {
    number: u64,
    tx: mpsc::Sender<Bytes>,
    /// Dropped with the stream, which ends its [`Lifetime`].
    _open: oneshot::Sender<()>,
}

/// Watches one stream to a child.
#[derive(Debug)]
pub struct Lifetime {
    tx: mpsc::Sender<Bytes>,
    closed: oneshot::Receiver<()>,
}

impl Lifetime {
    /// Waits until the child is gone or the stream is closed here. The child then sees the end of
    /// the stream at once; otherwise it would wait for its parent's silence.
    pub async fn end(self) {
        let Self { tx, closed } = self;
        tokio::select! {
            () = tx.closed() => {}
            _ = closed => {}
        }
    }
}

/// Open streams to children.
#[derive(Debug, Default)]
pub struct ChildStreams {
    streams: Mutex<IndexMap<DaemonName, Stream>>,
    sent: AtomicU64,
}

impl ChildStreams {
    /// Opens a stream and returns the response that carries it, and a sender that notices its end.
    pub fn open(&self, child: &DaemonName, number: u64) -> (Response<Body>, Lifetime) {
        let (tx, streamed) = body::channel(QUEUE);
        let (open, closed) = oneshot::channel();
        let stream = Stream {
            number,
            tx: tx.clone(),
            _open: open,
        };
        self.streams().insert(child.clone(), stream);
        (Response::new(streamed), Lifetime { tx, closed })
    }

    /// Sends a frame on the stream of a child. A child that does not read is cut off; it
    /// subscribes again and gets one delta in place of the frames that it missed.
    pub fn send<T: Serialize>(&self, child: &DaemonName, number: u64, frame: &T) {
        let mut streams = self.streams();
        let Some(stream) = streams.get(child).filter(|held| held.number == number) else {
            return;
        };
        let sent = match wire::encode_frame(frame) {
            Ok(buf) => {
                self.sent.fetch_add(buf.len() as u64, Ordering::Relaxed);
                stream.tx.try_send(buf).is_ok()
            }
            Err(e) => {
                log::error!("frame for {child}: {e}");
                false
            }
        };
        if !sent {
            streams.swap_remove(child);
        }
    }

    /// Number of the open stream of a child.
    pub fn number(&self, child: &DaemonName) -> Option<u64> {
        self.streams().get(child).map(|stream| stream.number)
    }

    /// Closes the stream of a child.
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

    /// Bytes sent so far.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    fn streams(&self) -> MutexGuard<'_, IndexMap<DaemonName, Stream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
