//! Distribution tree at one replica of the config group.

use {
    crate::{
        body::Body,
        clock::unix_time_ms,
        edits::State,
        endpoints::Directory,
        events::Event,
        log_event,
        memory::Budget,
        model::{Config, Version},
        operator_api::{DataCentreStatus, Lagging},
        peer::{self, Client},
        raft::Role,
        relays::{
            ADMITTED_PER_SECOND, Admission, Attach, AttachReply, Effect, Hub, Leadership, Member,
            ReportReply, StreamEvent, Subscribe,
        },
        replica::{Handle, RequestError},
        tree_wire::{
            ATTACH_PATH, ChildStreams, FLOOR_PATH, REPORT_PATH, SUBSCRIBE_PATH, SourceStreams,
            report_reply, send_to_child,
        },
    },
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Mutex as AsyncMutex, Notify},
        time::{MissedTickBehavior, interval, timeout, timeout_at},
    },
};

/// Interval at which leases and heartbeats are checked.
const TICK: Duration = Duration::from_millis(100);
/// Timeout for a majority to confirm the version; a daemon waits 1 s for its answer.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest time that a daemon's request waits for the end of an election.
const ELECTION_WAIT: Duration = Duration::from_millis(300);

/// Result of the last confirmation of the version.
#[derive(Clone, Copy, Debug)]
struct Confirmed {
    /// When it was requested.
    since: Instant,
    /// The version; `None` if no majority confirmed it.
    version: Option<Version>,
}

/// The distribution tree at one control replica.
#[derive(Debug)]
pub struct ControlTree {
    handle: Handle<State>,
    client: Client,
    hub: Mutex<Hub>,
    children: ChildStreams,
    source: Arc<SourceStreams>,
    admission: Mutex<Admission>,
    /// Last confirmation of the version; locked during a request, so that concurrent attach
    /// requests share one.
    confirmed: AsyncMutex<Option<Confirmed>>,
    /// Notified when a child has reported.
    reported: Notify,
    attach_requests: AtomicU64,
    /// Whether this replica leads, and the term.
    leads: Mutex<Option<u64>>,
}

impl ControlTree {
    /// Starts the tree of the replica `member` behind `handle`, with its tasks.
    pub(super) fn start(
        handle: Handle<State>,
        client: Client,
        member: Member,
        memory: &Arc<Budget>,
    ) -> Arc<Self> {
        let now = Instant::now();
        let incarnation = unix_time_ms().max(1);
        let tree = Arc::new(Self {
            handle,
            hub: Mutex::new(Hub::new(member, incarnation, Config::default(), now)),
            children: ChildStreams::within(memory),
            source: SourceStreams::new(client.clone()),
            client,
            admission: Mutex::new(Admission::new(ADMITTED_PER_SECOND, now)),
            confirmed: AsyncMutex::default(),
            reported: Notify::new(),
            attach_requests: AtomicU64::new(0),
            leads: Mutex::default(),
        });
        tokio::spawn(Arc::clone(&tree).follow_log());
        tokio::spawn(Arc::clone(&tree).tick_forever());
        tree
    }

    fn hub(&self) -> MutexGuard<'_, Hub> {
        self.hub.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies each new version from the replicated log and sends it to the children.
    async fn follow_log(self: Arc<Self>) {
        let mut status = self.handle.watch();
        loop {
            // Not left to the next tick, since daemons wait for the end of an election.
            self.tick();
            let applied_version = self.version();
            let delta = self
                .handle
                .read_local(move |state| state.store().delta_since(applied_version))
                .await;
            match delta {
                Ok(Some(delta)) => {
                    let mut hub = self.hub();
                    match hub.apply_version(Instant::now(), &delta) {
                        Ok(effects) => self.execute(effects),
                        Err(e) => log::error!("version from the replicated log not applied: {e}"),
                    }
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
                // Its last status may still name a leader, so daemons would keep following it.
                self.children.close_all();
                self.source.close_all();
                return;
            }
            self.tick();
        }
    }

    fn tick(self: &Arc<Self>) {
        let status = self.handle.status();
        let leads = status.role == Role::Leader;
        self.log_leadership(leads.then_some(status.term));
        let leadership = Leadership {
            leads,
            leader: status.leader.map(|leader| leader.address),
            contact: self.handle.quorum_contact(),
        };
        let members = status.members.iter().map(|member| member.address);
        let mut hub = self.hub();
        hub.set_group(members.collect());
        let effects = hub.tick(Instant::now(), rand::random(), leadership);
        self.execute(effects);
    }

    fn log_leadership(&self, term: Option<u64>) {
        let mut leads = self.leads.lock().unwrap_or_else(PoisonError::into_inner);
        if *leads == term {
            return;
        }
        match (term, *leads) {
            (Some(term), _) => log_event!(Event::LeaderElected, term = term),
            (None, before) => {
                log_event!(Event::LeaderSteppedDown, term = before.unwrap_or_default());
            }
        }
        *leads = term;
    }

    /// Executes the effects of the hub, which the caller has locked: frames of concurrent events
    /// must not overtake each other.
    fn execute(self: &Arc<Self>, effects: Vec<Effect>) {
        for effect in effects {
            let Some(effect) = send_to_child(&self.children, effect) else {
                continue;
            };
            match effect {
                Effect::Subscribe { address, req } => {
                    log_event!(Event::ParentChosen, address = address, stream = req.stream);
                    let tree = Arc::clone(self);
                    self.source
                        .subscribe(address, *req, move |event| tree.pass(event));
                }
                Effect::Unsubscribe { stream, reason } => {
                    if let Some(address) = self.source.close(stream) {
                        log_event!(
                            Event::ParentLost,
                            address = address,
                            stream = stream,
                            reason = reason
                        );
                    }
                }
                Effect::Report(report) => {
                    let tree = Arc::clone(self);
                    self.source.report(*report, move |event| tree.pass(event));
                }
                _ => {}
            }
        }
    }

    /// Processes an event of a stream that needs no answer.
    fn pass(self: &Arc<Self>, event: StreamEvent) {
        let _no_report = self.handle(event);
    }

    /// Processes an event of a stream; returns the answer if it is a report.
    pub(super) fn handle(self: &Arc<Self>, event: StreamEvent) -> Option<ReportReply> {
        let mut hub = self.hub();
        let effects = hub.handle(Instant::now(), rand::random(), event);
        let reply = report_reply(&effects);
        self.execute(effects);
        drop(hub);
        if reply.is_some() {
            self.reported.notify_waiters();
        }
        reply
    }

    /// Answers a request of a daemon or of another replica on the peer port.
    pub(super) async fn answer(self: &Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let answered = match req.uri().path() {
            ATTACH_PATH => match peer::read_message(req).await {
                Ok(attach) => Ok(peer::message_response(&self.attach(&attach).await)),
                Err(e) => Err(e),
            },
            FLOOR_PATH => Ok(peer::message_response(&self.read_version().await)),
            SUBSCRIBE_PATH => peer::read_message(req).await.map(|req| self.open(req)),
            REPORT_PATH => peer::read_message(req).await.map(|report| {
                let reply = self.handle(StreamEvent::Report(report));
                reply.map_or_else(
                    || peer::empty_response(StatusCode::INTERNAL_SERVER_ERROR),
                    |reply| peer::message_response(&reply),
                )
            }),
            _ => Ok(peer::empty_response(StatusCode::NOT_FOUND)),
        };
        answered.unwrap_or_else(|e| {
            log::warn!("request of a daemon rejected: {e}");
            peer::empty_response(StatusCode::BAD_REQUEST)
        })
    }

    async fn attach(&self, attach: &Attach) -> AttachReply {
        self.attach_requests.fetch_add(1, Ordering::Relaxed);
        let admitted = self
            .admission
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .admit(Instant::now());
        if let Err(wait) = admitted {
            let retry_after_ms = wait.as_millis() as u32 + 1;
            return AttachReply::Refused { retry_after_ms };
        }
        self.await_leader().await;
        let floor = self.confirmed_version().await;
        log::debug!(
            "daemon {} attached with floor {floor:?}",
            attach.member.daemon
        );
        let replicas = self.hub().replicas();
        AttachReply::Attached { floor, replicas }
    }

    /// Waits up to [`ELECTION_WAIT`] for a leader, so that the daemon need not repeat its request.
    async fn await_leader(&self) {
        let mut status = self.handle.watch();
        let leader_known = status.wait_for(|status| status.leader.is_some());
        if timeout(ELECTION_WAIT, leader_known).await.is_err() {
            log::debug!("no leader is known after {ELECTION_WAIT:?}");
        }
    }

    /// Returns a version that a majority has confirmed to be the newest since this call; `None` after
    /// a timeout.
    async fn confirmed_version(&self) -> Option<Version> {
        let arrived = Instant::now();
        let mut last = self.confirmed.lock().await;
        if let Some(known) = last.filter(|known| known.since >= arrived) {
            return known.version;
        }
        let since = Instant::now();
        let leader = self.handle.status().leader;
        let version = match leader.filter(|leader| leader.id != self.handle.id()) {
            Some(leader) => self.ask_floor(leader.address).await,
            None => self.read_version().await,
        };
        *last = Some(Confirmed { since, version });
        version
    }

    /// Asks the leader for the version.
    async fn ask_floor(&self, leader: SocketAddr) -> Option<Version> {
        let deadline = Instant::now() + CONFIRM_TIMEOUT;
        let answer = self
            .client
            .request("ask floor", leader, FLOOR_PATH, &(), deadline)
            .await;
        answer.unwrap_or_else(|e| {
            log::debug!("{e}");
            None
        })
    }

    /// Returns the version that a majority confirms to this leader; `None` after a timeout, or if
    /// this replica does not lead.
    async fn read_version(&self) -> Option<Version> {
        let read = self.handle.read(|state| state.store().version());
        match timeout(CONFIRM_TIMEOUT, read).await {
            Ok(Ok(version)) => Some(version),
            Ok(Err(RequestError::NotLeader(_))) | Err(_) => None,
            Ok(Err(e)) => {
                log::debug!("version not confirmed: {e}");
                None
            }
        }
    }

    /// Answers a subscription with the stream of updates to the child.
    pub(super) fn open(self: &Arc<Self>, req: Subscribe) -> Response<Body> {
        if self.handle.has_stopped() {
            return peer::empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        let (child, stream) = (req.member.daemon.clone(), req.stream);
        let mut hub = self.hub();
        let (response, stream_end) = self.children.open(&child, stream);
        let event = StreamEvent::Subscribe(req);
        let effects = hub.handle(Instant::now(), rand::random(), event);
        self.execute(effects);
        drop(hub);
        let tree = Arc::clone(self);
        tokio::spawn(async move {
            stream_end.wait().await;
            tree.children.close(&child, stream);
            tree.pass(StreamEvent::ChildLost { child, stream });
        });
        response
    }

    /// Waits until the daemons that report route by `version` or a newer one, until `deadline` at
    /// most; returns whether they do. Meaningful at the leader.
    pub async fn await_in_force(&self, version: Version, deadline: Instant) -> bool {
        loop {
            let reported = self.reported.notified();
            if self.is_in_force(version) {
                return true;
            }
            if timeout_at(deadline.into(), reported).await.is_err() {
                return self.is_in_force(version);
            }
        }
    }

    fn is_in_force(&self, version: Version) -> bool {
        let lowest = self.hub().summary().lowest_routing();
        lowest.is_none_or(|lowest| lowest >= version)
    }

    /// Returns the configuration that is distributed.
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(self.hub().config())
    }

    /// Calls `read` with the endpoints and returns its result.
    pub fn directory<R>(&self, read: impl FnOnce(&Directory) -> R) -> R {
        read(self.hub().directory())
    }

    /// Returns the number of daemons that report; those of its own subtree while this replica does not
    /// lead.
    pub fn daemons(&self) -> u32 {
        self.hub().summary().daemons()
    }

    /// Returns the versions in force by data centre; those of its own subtree while this replica
    /// does not lead.
    pub fn status(&self) -> Vec<DataCentreStatus> {
        let summary = self.hub().summary();
        let parts = summary.data_centres.iter().map(|part| DataCentreStatus {
            data_centre: part.data_centre.to_string(),
            region: part.region.to_string(),
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
        self.hub().version()
    }

    /// Returns the number of bytes sent to children so far.
    pub fn sent(&self) -> u64 {
        self.children.bytes_sent()
    }

    /// Returns the number of attach requests so far, including refused ones.
    pub fn attach_requests(&self) -> u64 {
        self.attach_requests.load(Ordering::Relaxed)
    }
}
