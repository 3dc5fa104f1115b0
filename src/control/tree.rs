//! Root of the distribution tree, which runs at the leader of the config group.

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
/// Timeout for a majority to confirm that this replica leads; a daemon waits 1 s for its answer.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest time that a daemon's request waits for the end of an election. It is short, since the
/// daemon asks one replica at a time and another one may know the leader.
const ELECTION_WAIT: Duration = Duration::from_millis(300);
/// Level of control replicas in the tree.
const LEVEL: u8 = 0;

/// State of the root while this replica leads.
#[derive(Debug)]
struct Root {
    term: u64,
    table: RelayTable,
    children: Children,
    /// Endpoint sets owned by a daemon that is not subscribed, with the time since when it is not.
    detached_since: IndexMap<DataCentre, Instant>,
}

impl Root {
    /// Empties each endpoint set of one daemon that has not been subscribed for [`RELAY_LEASE`].
    /// From the new epoch, a daemon that returns detects that it no longer owns the set.
    fn clear_abandoned_sets(&mut self, directory: &mut Directory, now: Instant) {
        let children = &self.children;
        let detached = directory.single_daemon_sets();
        let detached = detached.filter(|set| children.stream(&set.as_str().into()).is_none());
        let detached: Vec<DataCentre> = detached.cloned().collect();
        self.detached_since.retain(|set, _| detached.contains(set));
        for set in detached {
            let since = *self.detached_since.entry(set.clone()).or_insert(now);
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

/// State of the tree; it has a root while this replica leads.
#[derive(Debug)]
struct TreeState {
    store: ConfigStore,
    directory: Directory,
    root: Option<Root>,
}

/// The distribution tree at one control replica.
#[derive(Debug)]
pub struct ControlTree {
    handle: Handle<State>,
    state: Mutex<TreeState>,
    streams: ChildStreams,
    attach_requests: AtomicU64,
}

impl ControlTree {
    /// Starts the tree of the replica behind `handle`, with its tasks.
    pub(super) fn start(handle: Handle<State>) -> Arc<Self> {
        let tree = Arc::new(Self {
            handle,
            state: Mutex::new(TreeState {
                store: ConfigStore::with_config(Config::default()),
                directory: Directory::default(),
                root: None,
            }),
            streams: ChildStreams::default(),
            attach_requests: AtomicU64::new(0),
        });
        tokio::spawn(Arc::clone(&tree).follow_log());
        tokio::spawn(Arc::clone(&tree).tick_forever());
        tree
    }

    fn state(&self) -> MutexGuard<'_, TreeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies each new version from the replicated log and sends it to the children.
    async fn follow_log(self: Arc<Self>) {
        let mut status = self.handle.watch();
        loop {
            // Not left to the next tick, since starting daemons wait for the new root.
            self.follow_leadership();
            let applied_version = self.state().store.version();
            let delta = self
                .handle
                .read_local(move |state| state.store().delta_since(applied_version))
                .await;
            match delta {
                Ok(Some(delta)) => {
                    let applied = self.state().store.apply(&delta);
                    if let Err(e) = applied {
                        log::error!("version from the replicated log not applied: {e}");
                    }
                    self.send_due_frames();
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
                // Its last status may still say that it leads, so daemons would keep following it.
                self.state().root = None;
                self.streams.close_all();
                return;
            }
            self.follow_leadership();
            self.send_due_frames();
        }
    }

    /// Creates the root when this replica starts to lead a term, and drops it when that ends.
    fn follow_leadership(&self) {
        let status = self.handle.status();
        let leads = status.role == Role::Leader;
        let mut tree_state = self.state();
        let root_term = tree_state.root.as_ref().map(|root| root.term);
        if root_term == leads.then_some(status.term) {
            return;
        }
        let now = Instant::now();
        tree_state.root = leads.then(|| Root {
            term: status.term,
            table: RelayTable::new(status.term, now),
            children: Children::new(now),
            detached_since: IndexMap::new(),
        });
        drop(tree_state);
        self.streams.close_all();
        if leads {
            log_event!(Event::LeaderElected, term = status.term);
        } else {
            log_event!(Event::LeaderSteppedDown, term = status.term);
        }
    }

    /// Ends expired leases and sends the frames that are due to the children.
    fn send_due_frames(&self) {
        let now = Instant::now();
        let mut tree_state = self.state();
        let TreeState {
            store,
            directory,
            root: Some(root),
        } = &mut *tree_state
        else {
            return;
        };
        directory.expire(now);
        root.children.expire(now);
        root.clear_abandoned_sets(directory, now);
        match root.children.frames(store, directory, 0, now) {
            Ok(frames) => {
                for (child, update) in frames {
                    let stream = update.stream;
                    let frame = Frame::Update(Box::new(update));
                    self.streams.send(&child, stream, &frame);
                }
            }
            Err(e) => log::error!("frames for children not built: {e}"),
        }
    }

    /// Answers a request of a daemon on the peer port.
    pub(super) async fn answer(self: &Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let answered = match req.uri().path() {
            ATTACH_PATH => match peer::read_message(req).await {
                Ok(attach) => Ok(peer::message_response(&self.attach(&attach).await)),
                Err(e) => Err(e),
            },
            SUBSCRIBE_PATH => peer::read_message(req).await.map(|req| self.open(&req)),
            REPORT_PATH => peer::read_message(req).await.map(|report| {
                self.apply_report(&report);
                peer::message_response(&())
            }),
            _ => Ok(peer::empty_response(StatusCode::NOT_FOUND)),
        };
        answered.unwrap_or_else(|e| {
            log::warn!("request of a daemon rejected: {e}");
            peer::empty_response(StatusCode::BAD_REQUEST)
        })
    }

    async fn attach(&self, attach: &Attach) -> AttachAnswer {
        self.attach_requests.fetch_add(1, Ordering::Relaxed);
        self.await_leader().await;
        let floor = match self.confirmed_version().await {
            Ok(floor) => floor,
            Err(leader) => return AttachAnswer::NotLeader(leader),
        };
        let mut tree_state = self.state();
        let Some(root) = &mut tree_state.root else {
            return AttachAnswer::NotLeader(None);
        };
        let reply = root.table.attach(attach, floor, Instant::now());
        drop(tree_state);
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

    /// Waits up to [`ELECTION_WAIT`] for a leader, so that the daemon need not repeat its request.
    async fn await_leader(&self) {
        let mut status = self.handle.watch();
        let leader_known = status.wait_for(|status| status.leader.is_some());
        if timeout(ELECTION_WAIT, leader_known).await.is_err() {
            log::debug!("no leader is known after {ELECTION_WAIT:?}");
        }
    }

    /// Returns the version that a majority confirms, `None` after a timeout, or the other leader.
    async fn confirmed_version(&self) -> std::result::Result<Option<Version>, Option<SocketAddr>> {
        let read = self.handle.read(|state| state.store().version());
        match timeout(CONFIRM_TIMEOUT, read).await {
            Ok(Ok(version)) => Ok(Some(version)),
            Ok(Err(RequestError::NotLeader(leader))) => Err(leader.map(|leader| leader.address)),
            Ok(Err(_)) => Err(None),
            Err(_elapsed) => Ok(None),
        }
    }

    /// Answers a subscription with the stream of updates to the child.
    pub(super) fn open(self: &Arc<Self>, req: &Subscribe) -> Response<Body> {
        let (child, stream) = (req.daemon.clone(), req.stream);
        let mut tree_state = self.state();
        let Some(root) = &mut tree_state.root else {
            return peer::empty_response(StatusCode::SERVICE_UNAVAILABLE);
        };
        let (response, stream_end) = self.streams.open(&child, stream);
        let reply = root.children.subscribe(req, LEVEL, Instant::now());
        drop(tree_state);
        let accepted = reply == SubscribeReply::Accepted;
        self.streams.send(&child, stream, &Frame::Reply(reply));
        if !accepted {
            self.streams.close(&child, stream);
            return response;
        }
        self.send_due_frames();
        let tree = Arc::clone(self);
        tokio::spawn(async move {
            stream_end.wait().await;
            tree.streams.close(&child, stream);
            if let Some(root) = &mut tree.state().root {
                root.children.stream_ended(&child, stream);
            }
        });
        response
    }

    fn apply_report(&self, report: &Report) {
        let now = Instant::now();
        let mut tree_state = self.state();
        let TreeState {
            directory,
            root: Some(root),
            ..
        } = &mut *tree_state
        else {
            return;
        };
        if !root.children.report(report, now) {
            return;
        }
        root.table.report(report, now);
        for delta in &report.sets {
            // Heartbeats contain the positions held here, so the relay sends missing deltas again.
            if let Err(e) = directory.apply(delta, now) {
                log::debug!("endpoint set not applied: {e}");
            }
        }
        drop(tree_state);
        self.send_due_frames();
    }

    /// Returns the configuration that is distributed.
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(self.state().store.config())
    }

    /// Calls `read` with the endpoint sets and returns its result.
    pub fn directory<R>(&self, read: impl FnOnce(&Directory) -> R) -> R {
        read(&self.state().directory)
    }

    /// Returns the versions in force by data centre; empty while this replica does not lead.
    pub fn status(&self) -> Vec<DataCentreStatus> {
        let tree_state = self.state();
        let Some(root) = &tree_state.root else {
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

    /// Returns the newest version that this replica distributes.
    pub fn version(&self) -> Version {
        self.state().store.version()
    }

    /// Returns the number of bytes sent to children so far.
    pub fn sent(&self) -> u64 {
        self.streams.bytes_sent()
    }

    /// Returns the number of attach requests so far, including refused ones.
    pub fn attach_requests(&self) -> u64 {
        self.attach_requests.load(Ordering::Relaxed)
    }
}
