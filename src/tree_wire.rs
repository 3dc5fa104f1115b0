//! Transport of the distribution tree: paths, frames, the streams to children and the one from the
//! source.

#[cfg(test)]
mod tests;

use {
    crate::{
        body::{self, Body},
        error::Result,
        memory::Budget,
        model::{DaemonName, Version},
        peer::Client,
        relays::{
            ANSWER_TIMEOUT, Effect, Report, ReportReply, StreamEvent, Subscribe, SubscribeReply,
            Update,
        },
        wire,
    },
    bytes::Bytes,
    http::Response,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        sync::{mpsc, oneshot},
        task::JoinHandle,
    },
};

/// Path of attach requests, which ask a control replica for the version floor and the replicas.
pub const ATTACH_PATH: &str = "/attach";
/// Path that returns the version that the leader of the config group confirms with its quorum.
pub const FLOOR_PATH: &str = "/floor";
/// Path that opens the stream of updates from a source.
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

/// Maximum number of frames queued for a child; enough for a full copy with all records.
const MAX_QUEUED_FRAMES: usize = 64;
/// Timeout of a read from a stream; the state machine drops a source without heartbeats earlier.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

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
    /// Budget of the process, which holds the queued frames; `None` without a limit.
    memory: Option<Arc<Budget>>,
}

impl ChildStreams {
    /// Creates a table without streams, whose queued frames are held by `memory`.
    pub fn within(memory: &Arc<Budget>) -> Self {
        Self {
            memory: Some(Arc::clone(memory)),
            ..Self::default()
        }
    }

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

    /// Queues a frame on the stream of a child. Closes the stream if the queue is full, or if it is
    /// not empty and the memory budget is short: the child then subscribes again and gets one delta
    /// in place of the frames that it has missed.
    pub fn send<T: Serialize>(&self, child: &DaemonName, number: u64, frame: &T) {
        let mut streams = self.streams();
        let Some(stream) = streams.get(child).filter(|held| held.number == number) else {
            return;
        };
        let sent = match wire::encode_frame(frame) {
            Ok(buf) => {
                self.bytes_sent
                    .fetch_add(buf.len() as u64, Ordering::Relaxed);
                let is_only = stream.tx.capacity() == MAX_QUEUED_FRAMES;
                let held = match &self.memory {
                    Some(memory) => memory.hold_frame(buf, is_only),
                    None => Some(buf),
                };
                held.is_some_and(|frame| stream.tx.try_send(frame).is_ok())
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

/// Stream from the source of a process, with the task that reads it.
#[derive(Debug)]
struct SourceStream {
    address: SocketAddr,
    reader: JoinHandle<()>,
}

/// Requests of a process to its source.
#[derive(Debug)]
pub struct SourceStreams {
    client: Client,
    /// Open streams by number.
    open: Mutex<IndexMap<u64, SourceStream>>,
    bytes_received: AtomicU64,
    bytes_sent: AtomicU64,
}

impl SourceStreams {
    /// Creates the state without a stream.
    pub fn new(client: Client) -> Arc<Self> {
        Arc::new(Self {
            client,
            open: Mutex::default(),
            bytes_received: AtomicU64::new(0),
            bytes_sent: AtomicU64::new(0),
        })
    }

    /// Opens a stream and passes its events to `handle` until it ends.
    pub fn subscribe<F>(self: &Arc<Self>, address: SocketAddr, req: Subscribe, handle: F)
    where
        F: Fn(StreamEvent) + Send + Sync + 'static,
    {
        let stream = req.stream;
        let streams = Arc::clone(self);
        let reader = tokio::spawn(async move {
            if let Err(e) = streams.read(address, &req, &handle).await {
                log::debug!("{e}");
            }
            handle(StreamEvent::Lost { stream });
        });
        let opened = SourceStream { address, reader };
        self.open().insert(stream, opened);
    }

    async fn read(
        &self,
        address: SocketAddr,
        req: &Subscribe,
        handle: &(impl Fn(StreamEvent) + Sync),
    ) -> Result<()> {
        let stream = req.stream;
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        let opened = self
            .client
            .open_stream::<_, Frame>("subscribe", address, SUBSCRIBE_PATH, req, deadline)
            .await;
        let mut frames = match opened {
            Ok(frames) => frames,
            Err(e) => {
                let reply = None;
                handle(StreamEvent::Subscribed { stream, reply });
                return Err(e);
            }
        };
        let mut counted = 0;
        loop {
            let frame = frames.receive(Instant::now() + READ_TIMEOUT).await?;
            let received = frames.received();
            self.bytes_received
                .fetch_add(received - counted, Ordering::Relaxed);
            counted = received;
            handle(match frame {
                Some(Frame::Reply(reply)) => StreamEvent::Subscribed {
                    stream,
                    reply: Some(reply),
                },
                Some(Frame::Update(update)) => StreamEvent::Update(*update),
                None => StreamEvent::FramePart { stream },
            });
        }
    }

    /// Sends a report to the source of its stream and passes the answer, or the failure, to `handle`.
    pub fn report<F>(self: &Arc<Self>, report: Report, handle: F)
    where
        F: FnOnce(StreamEvent) + Send + 'static,
    {
        let Some(address) = self.address(report.stream) else {
            return;
        };
        let streams = Arc::clone(self);
        tokio::spawn(async move {
            let bytes = wire::encode(&report).map_or(0, |buf| buf.len() as u64);
            streams.bytes_sent.fetch_add(bytes, Ordering::Relaxed);
            let deadline = Instant::now() + ANSWER_TIMEOUT;
            let client = &streams.client;
            let sent = client.request("report", address, REPORT_PATH, &report, deadline);
            let (stream, number) = (report.stream, report.number);
            handle(match sent.await {
                Ok(reply) => StreamEvent::Reported {
                    stream,
                    number,
                    reply,
                },
                Err(e) => {
                    log::debug!("{e}");
                    StreamEvent::ReportFailed { stream, number }
                }
            });
        });
    }

    /// Returns the peer address of the source of a stream; `None` if it is closed.
    pub fn address(&self, stream: u64) -> Option<SocketAddr> {
        self.open().get(&stream).map(|open| open.address)
    }

    /// Closes a stream and returns the peer address of its source.
    pub fn close(&self, stream: u64) -> Option<SocketAddr> {
        let closed = self.open().swap_remove(&stream)?;
        closed.reader.abort();
        Some(closed.address)
    }

    /// Closes all streams.
    pub fn close_all(&self) {
        for (_, closed) in self.open().drain(..) {
            closed.reader.abort();
        }
    }

    /// Returns the numbers of bytes received from sources and sent to them so far.
    pub fn bytes(&self) -> (u64, u64) {
        (
            self.bytes_received.load(Ordering::Relaxed),
            self.bytes_sent.load(Ordering::Relaxed),
        )
    }

    fn open(&self) -> MutexGuard<'_, IndexMap<u64, SourceStream>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends what an effect has for a child, and closes streams to children that are dropped or refused.
/// Returns the effect if it is not about a child.
pub fn send_to_child(streams: &ChildStreams, effect: Effect) -> Option<Effect> {
    match effect {
        Effect::Answer {
            child,
            stream,
            reply,
        } => {
            let accepted = matches!(reply, SubscribeReply::Accepted { .. });
            streams.send(&child, stream, &Frame::Reply(reply));
            if !accepted {
                streams.close(&child, stream);
            }
        }
        Effect::Update { child, update } => {
            let stream = update.stream;
            streams.send(&child, stream, &Frame::Update(Box::new(update)));
        }
        Effect::DropChildren(children) => {
            for (child, stream) in children {
                streams.close(&child, stream);
            }
        }
        other => return Some(other),
    }
    None
}

/// Returns the answer to a report among the effects of the report.
pub fn report_reply(effects: &[Effect]) -> Option<ReportReply> {
    effects.iter().find_map(|effect| match effect {
        Effect::AnswerReport(reply) => Some(*reply),
        _ => None,
    })
}
