//! The root of the distribution tree at the leader of the config group.

use {
    crate::{
        body::Body,
        edits::State,
        endpoints::{Directory, EndpointDelta},
        events::Event,
        log_event,
        model::{Config, DataCentre, Version},
        operator_api::{DataCentreStatus, Lagging},
        peer,
        raft::Role,
        relays::{
            Attach, AttachReply, Children, RELAY_LEASE, RelayTable, Report, Subscribe,
            SubscribeReply,
        },
        replica::{Handle, RequestError},
        tree_wire::{ATTACH_PATH, AttachAnswer, ChildStreams, Frame, REPORT_PATH, SUBSCRIBE_PATH},
        versions::ConfigStore,
    },
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    indexmap::IndexMap,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::time::{MissedTickBehavior, interval, timeout},
};

/// Interval at which leases and heartbeats are checked.
const TICK: Duration = Duration::from_millis(100);
/// Longest wait for the group to confirm the leader; a daemon waits 1 s for its answer.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest wait of a daemon's request for the result of an election; other replicas may know a
/// leader, and the daemon asks one at a time.
const ELECTION_WAIT: Duration = Duration::from_millis(300);
/// Level of control in the tree.
const LEVEL: u8 = 0;

/// State of the root while this replica leads.
#[derive(Debug)]
struct Root {
    term: u64,
    table: RelayTable,
    children: Children,
    /// Daemons that own their endpoint set, are not subscribed, and since when.
    lost: IndexMap<DataCentre, Instant>,
}

impl Root {
    /// Empties the endpoint sets of daemons that are alone in their set and have been gone for a
    /// lease. The new epoch tells a daemon that returns that its set was taken over.
    fn clear_lost(&mut self, directory: &mut Directory, now: Instant) {
        let children = &self.children;
        let gone = directory.single_daemon_sets();
        let gone = gone.filter(|set| children.stream(&set.as_str().into()).is_none());
        let gone: Vec<DataCentre> = gone.cloned().collect();
        self.lost.retain(|set, _| gone.contains(set));
        for set in gone {
            let since = *self.lost.entry(set.clone()).or_insert(now);
            if now < since + RELAY_LEASE {
                continue;
            }
            let delta = EndpointDelta::empty_set(set, self.table.next_epoch());
            match directory.apply(&delta, now) {
                Ok(changed) => changed.removed.iter().for_each(|key| {
                    log_event!(
                        Event::EndpointLapsed,
                        server = key.server,
                        service = key.service,
                        daemon = key.daemon
                    );
                }),
                Err(e) => log::warn!("endpoint set not emptied: {e}"),
            }
        }
    }
}

/// What the root distributes, and to whom.
#[derive(Debug)]
struct Content {
    store: ConfigStore,
    directory: Directory,
    root: Option<Root>,
}

/// The distribution tree at one control replica.
#[derive(Debug)]
pub struct ControlTree {
    handle: Handle<State>,
    content: Mutex<Content>,
    streams: ChildStreams,
    attaches: AtomicU64,
}

impl ControlTree {
    /// The tree of the replica behind `handle`.
    pub(super) fn start(handle: Handle<State>) -> Arc<Self> {
        let tree = Arc::new(Self {
            handle,
            content: Mutex::new(Content {
                store: ConfigStore::with_config(Config::default()),
                directory: Directory::default(),
                root: None,
            }),
            streams: ChildStreams::default(),
            attaches: AtomicU64::new(0),
        });
        tokio::spawn(Arc::clone(&tree).follow_log());
        tokio::spawn(Arc::clone(&tree).tick_forever());
        tree
    }

    fn content(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Copies each new version from the log and sends it to the children.
    async fn follow_log(self: Arc<Self>) {
        let mut status = self.handle.watch();
        loop {
            // At once, since daemons that start wait for the new root.
            self.follow_leadership();
            let held = self.content().store.version();
            let delta = self
                .handle
                .read_local(move |state| state.store().delta_since(held))
                .await;
            match delta {
                Ok(Some(delta)) => {
                    let applied = self.content().store.apply(&delta);
                    if let Err(e) = applied {
                        log::error!("version of the log not applied: {e}");
                    }
                    self.serve();
                }
                Ok(None) => {
                    if status.changed().await.is_err() {
                        return;
                    }
                }
                Err(_stopped) => return,
            }
        }
    }

    async fn tick_forever(self: Arc<Self>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if self.handle.has_stopped() {
                // The last status may be that of a leader, whom daemons would go on to follow.
                self.content().root = None;
                self.streams.close_all();
                return;
            }
            self.follow_leadership();
            self.serve();
        }
    }

    /// Starts as the root with a new term, and ends when the replica no longer leads.
    fn follow_leadership(&self) {
        let status = self.handle.status();
        let leads = status.role == Role::Leader;
        let mut content = self.content();
        let held = content.root.as_ref().map(|root| root.term);
        if held == leads.then_some(status.term) {
            return;
        }
        let now = Instant::now();
        content.root = leads.then(|| Root {
            term: status.term,
            table: RelayTable::new(status.term, now),
            children: Children::new(now),
            lost: IndexMap::new(),
        });
        drop(content);
        self.streams.close_all();
        if leads {
            log_event!(Event::LeaderElected, term = status.term);
        } else {
            log_event!(Event::LeaderSteppedDown, term = status.term);
        }
    }

    /// Sends the frames that are due.
    fn serve(&self) {
        let now = Instant::now();
        let mut content = self.content();
        let Content {
            store,
            directory,
            root: Some(root),
        } = &mut *content
        else {
            return;
        };
        directory.expire(now);
        root.children.expire(now);
        root.clear_lost(directory, now);
        match root.children.frames(store, directory, 0, now) {
            Ok(frames) => {
                for (child, update) in frames {
                    let stream = update.stream;
                    let frame = Frame::Update(Box::new(update));
                    self.streams.send(&child, stream, &frame);
                }
            }
            Err(e) => log::error!("version not sent: {e}"),
        }
    }

    /// Answers a request of a daemon; `None` when it is for somebody else.
    pub(super) async fn answer(self: &Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let answered = match req.uri().path() {
            ATTACH_PATH => match peer::read_message(req).await {
                Ok(attach) => Ok(peer::message_response(&self.attach(&attach).await)),
                Err(e) => Err(e),
            },
            SUBSCRIBE_PATH => peer::read_message(req).await.map(|req| self.open(&req)),
            REPORT_PATH => peer::read_message(req).await.map(|report| {
                self.report(&report);
                peer::message_response(&())
            }),
            _ => Ok(peer::empty_response(StatusCode::NOT_FOUND)),
        };
        answered.unwrap_or_else(|e| {
            log::warn!("request of a daemon refused: {e}");
            peer::empty_response(StatusCode::BAD_REQUEST)
        })
    }

    async fn attach(&self, attach: &Attach) -> AttachAnswer {
        self.attaches.fetch_add(1, Ordering::Relaxed);
        self.await_leader().await;
        let floor = match self.confirmed_version().await {
            Ok(floor) => floor,
            Err(leader) => return AttachAnswer::NotLeader(leader),
        };
        let mut content = self.content();
        let Some(root) = &mut content.root else {
            return AttachAnswer::NotLeader(None);
        };
        let reply = root.table.attach(attach, floor, Instant::now());
        drop(content);
        if let AttachReply::Attached(attached) = &reply {
            log_event!(
                Event::RelayLeaseGranted,
                daemon = attach.member.daemon,
                role = format!("{:?}", attached.role),
                parent = format!("{:?}", attached.parent),
            );
        }
        let members = self.handle.members();
        AttachAnswer::Reply {
            reply,
            members: members.iter().map(|member| member.address).collect(),
        }
    }

    /// Waits a moment for an election that is under way, so that a daemon learns its result at once.
    async fn await_leader(&self) {
        let mut status = self.handle.watch();
        let known = status.wait_for(|status| status.leader.is_some());
        if timeout(ELECTION_WAIT, known).await.is_err() {
            log::debug!("no leader is known after {ELECTION_WAIT:?}");
        }
    }

    /// Version that the group confirms, `None` when it does not in time, or the leader elsewhere.
    async fn confirmed_version(&self) -> std::result::Result<Option<Version>, Option<SocketAddr>> {
        let read = self.handle.read(|state| state.store().version());
        match timeout(CONFIRM_TIMEOUT, read).await {
            Ok(Ok(version)) => Ok(Some(version)),
            Ok(Err(RequestError::NotLeader(leader))) => Err(leader.map(|leader| leader.address)),
            Ok(Err(_)) => Err(None),
            Err(_elapsed) => Ok(None),
        }
    }

    pub(super) fn open(self: &Arc<Self>, req: &Subscribe) -> Response<Body> {
        let (child, stream) = (req.daemon.clone(), req.stream);
        let mut content = self.content();
        let Some(root) = &mut content.root else {
            return peer::empty_response(StatusCode::SERVICE_UNAVAILABLE);
        };
        let (response, stream_end) = self.streams.open(&child, stream);
        let reply = root.children.subscribe(req, LEVEL, Instant::now());
        drop(content);
        let accepted = reply == SubscribeReply::Accepted;
        self.streams.send(&child, stream, &Frame::Reply(reply));
        if !accepted {
            self.streams.close(&child, stream);
            return response;
        }
        self.serve();
        let tree = Arc::clone(self);
        tokio::spawn(async move {
            stream_end.wait().await;
            tree.streams.close(&child, stream);
            if let Some(root) = &mut tree.content().root {
                root.children.stream_ended(&child, stream);
            }
        });
        response
    }

    fn report(&self, report: &Report) {
        let now = Instant::now();
        let mut content = self.content();
        let Content {
            directory,
            root: Some(root),
            ..
        } = &mut *content
        else {
            return;
        };
        if !root.children.report(report, now) {
            return;
        }
        root.table.report(report, now);
        for delta in &report.sets {
            // The heartbeat tells the relay what is held, so that it sends again what is missing.
            if let Err(e) = directory.apply(delta, now) {
                log::debug!("endpoint set not applied: {e}");
            }
        }
        drop(content);
        self.serve();
    }

    /// Configuration that is distributed.
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(self.content().store.config())
    }

    /// Reads the endpoint sets.
    pub fn directory<R>(&self, read: impl FnOnce(&Directory) -> R) -> R {
        read(&self.content().directory)
    }

    /// Versions in force by data centre.
    pub fn status(&self) -> Vec<DataCentreStatus> {
        let content = self.content();
        let Some(root) = &content.root else {
            return Vec::new();
        };
        let regions = root.table.relays();
        let regions: Vec<_> = regions
            .map(|(data_centre, region, _)| (data_centre, region))
            .collect();
        let summary = root.table.summary();
        let parts = summary.data_centres.iter().map(|part| DataCentreStatus {
            data_centre: part.data_centre.to_string(),
            region: regions
                .iter()
                .find(|(data_centre, _)| **data_centre == part.data_centre)
                .map_or_else(|| "?".to_owned(), |(_, region)| region.to_string()),
            daemons: part.daemons,
            in_force_min: part.lowest.0,
            in_force_max: part.highest.0,
            lagging: part
                .lagging
                .iter()
                .map(|lagging| Lagging {
                    daemon: lagging.daemon.to_string(),
                    version: lagging.version.0,
                    reason: lagging.reason.clone(),
                })
                .collect(),
        });
        parts.collect()
    }

    /// The newest version that this replica holds.
    pub fn version(&self) -> Version {
        self.content().store.version()
    }

    /// Bytes sent to children so far.
    pub fn sent(&self) -> u64 {
        self.streams.bytes_sent()
    }

    /// Attach requests so far, refused ones included.
    pub fn attaches(&self) -> u64 {
        self.attaches.load(Ordering::Relaxed)
    }
}
