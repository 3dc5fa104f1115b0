//! Distribution to children: each child has a stream on which it gets what it lacks.
//!
//! The hub holds the newest state only. A stream sends the difference between that state and what
//! its child has, so a slow child gets one larger delta instead of a queue of old ones.

use {
    crate::{
        body::{self, Body},
        endpoints::{Directory, EndpointDelta, Position},
        error::Result,
        model::{DaemonName, DataCentre, Region, Version},
        versions::{self, ConfigStore, DeltaPart},
        wire,
    },
    bytes::Bytes,
    http::Response,
    serde::{Deserialize, Serialize},
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{mpsc, watch},
        time::timeout,
    },
};

/// Path of the peer port that opens a stream.
pub const SUBSCRIBE_PATH: &str = "/subscribe";
/// Interval of heartbeats on a stream without updates.
pub const HEARTBEAT: Duration = Duration::from_secs(1);
/// Frames that wait for a slow child.
const QUEUE: usize = 4;

/// Opens a stream: what the child has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscribe {
    /// The child.
    pub daemon: DaemonName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// Version that it has.
    pub version: Version,
    /// Endpoint sets that it has.
    pub positions: Vec<Position>,
}

/// One frame of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// Part of a delta between versions.
    Config(Box<DeltaPart>),
    /// Delta of one endpoint set.
    Endpoints(EndpointDelta),
    /// Nothing changed; the parent has this version.
    Heartbeat(Version),
}

/// What a hub distributes.
#[derive(Debug, Default)]
pub struct Content {
    /// Configuration.
    pub store: ConfigStore,
    /// Endpoint sets of all data centres.
    pub directory: Directory,
}

/// Distributes its content to children.
#[derive(Debug)]
pub struct Hub {
    content: Mutex<Content>,
    changed: watch::Sender<u64>,
    sent: AtomicU64,
}

impl Hub {
    /// A hub that distributes `content`.
    pub fn new(content: Content) -> Arc<Self> {
        Arc::new(Self {
            content: Mutex::new(content),
            changed: watch::Sender::new(0),
            sent: AtomicU64::new(0),
        })
    }

    /// The content, for reading.
    pub fn content(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the content and wakes the streams.
    pub fn update<R>(&self, change: impl FnOnce(&mut Content) -> R) -> R {
        let result = change(&mut self.content());
        self.changed.send_modify(|count| *count += 1);
        result
    }

    /// Bytes sent on all streams so far.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Number of open streams.
    pub fn children(&self) -> usize {
        self.changed.receiver_count()
    }

    /// Wakes at each change of the content.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Opens a stream.
    pub fn open(self: &Arc<Self>, subscribe: Subscribe) -> Response<Body> {
        let (tx, streamed) = body::channel(QUEUE);
        let changed = self.changed.subscribe();
        let hub = Arc::clone(self);
        tokio::spawn(async move {
            let child = subscribe.daemon.clone();
            if let Err(e) = hub.feed(subscribe, &tx, changed).await {
                log::warn!("stream to {child} ended: {e}");
            }
        });
        Response::new(streamed)
    }

    async fn feed(
        &self,
        mut child: Subscribe,
        tx: &mpsc::Sender<Bytes>,
        mut changed: watch::Receiver<u64>,
    ) -> Result<()> {
        loop {
            changed.mark_unchanged();
            let mut frames = self.updates(&mut child)?;
            if frames.is_empty() {
                let version = self.content().store.version();
                frames.push(wire::encode_frame(&Update::Heartbeat(version))?);
            }
            for frame in frames {
                self.sent.fetch_add(frame.len() as u64, Ordering::Relaxed);
                if tx.send(frame).await.is_err() {
                    return Ok(());
                }
            }
            tokio::select! {
                // The sender lives as long as the hub.
                _ = timeout(HEARTBEAT, changed.changed()) => {}
                () = tx.closed() => return Ok(()),
            }
        }
    }

    /// Frames that bring the child up to the content; the child's record moves with them.
    fn updates(&self, child: &mut Subscribe) -> Result<Vec<Bytes>> {
        let content = self.content();
        // A relay passes on only what is in force here.
        let delta = content
            .store
            .in_force()
            .and_then(|_| content.store.delta_since(child.version));
        let endpoints = content.directory.deltas_since(&child.positions);
        let positions = content.directory.positions();
        drop(content);
        let mut frames = Vec::new();
        if let Some(delta) = delta {
            child.version = delta.to;
            for part in versions::split(delta)? {
                frames.push(wire::encode_frame(&Update::Config(Box::new(part)))?);
            }
        }
        for delta in endpoints {
            frames.push(wire::encode_frame(&Update::Endpoints(delta))?);
        }
        child.positions = positions;
        Ok(frames)
    }
}
