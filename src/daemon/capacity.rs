//! Enforces the capacity of grants at one daemon: admits calls within its shares, and exchanges
//! demand reports and shares with its parent and its children.

mod parent;
mod quota;

pub use quota::Credit;

use {
    super::{shared::Shared, tree::Tree},
    crate::{
        accounts::{account_of, quota::Quotas},
        body::Body,
        call::Call,
        capacity::{
            DemandReport, DemandReports, MAX_WAIT, Node, OpenShares, Output, POLL_INTERVAL, Place,
            ShareUpdate, Suspects, Tier, Topology,
        },
        events::Event as LogEvent,
        limits::{LEASE, MILLI, REPORT_INTERVAL},
        log_event,
        metrics::{Direction, Link, Metrics},
        model::{DaemonName, Grant, GrantKey, UNLIMITED, Version},
        peer,
        refusal::{Reason, Refusal},
        relays::Uplink,
        settings,
        tree_wire::{ChildStreams, DEMAND_PATH, SHARES_PATH},
    },
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    indexmap::IndexMap,
    std::{
        collections::{HashMap, HashSet},
        fmt,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        sync::{Notify, oneshot},
        task::JoinHandle,
        time::timeout_at,
    },
};

/// Interval at which a region relay reports to the config leader without demand.
const REGION_HEARTBEAT: Duration = Duration::from_secs(1);

/// Interval at which the regions, and the daemons of the own region and data centre, are counted; a
/// count reads all endpoint sets.
const DAEMON_COUNT_INTERVAL: Duration = Duration::from_secs(2);

/// Shares of one daemon and the calls that wait for them.
pub struct Capacity {
    node: Mutex<Node>,
    /// Waiting calls, which are told whether they are admitted.
    waiting: Mutex<HashMap<u64, oneshot::Sender<bool>>>,
    children: ChildStreams,
    wake: Notify,
    /// Parts of the quotas of accounts that need no share.
    quotas: Mutex<Quotas>,
    /// Daemons that failed as a parent.
    suspects: Mutex<Suspects>,
}

impl fmt::Debug for Capacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Capacity").finish_non_exhaustive()
    }
}

impl Capacity {
    /// Creates the state of a daemon without shares.
    pub fn new(cfg: &settings::Daemon, now: Instant) -> Self {
        let started = SystemTime::now().duration_since(UNIX_EPOCH);
        let first_id = started.map_or(1, |since| since.as_micros() as u64);
        Self {
            node: Mutex::new(Node::new(
                cfg.name.clone(),
                cfg.region.clone(),
                first_id,
                now,
            )),
            waiting: Mutex::default(),
            children: ChildStreams::default(),
            wake: Notify::new(),
            quotas: Mutex::new(Quotas::new(cfg.name.clone(), now)),
            suspects: Mutex::default(),
        }
    }

    /// Closes the streams to children, which otherwise stay open.
    pub fn close_streams(&self) {
        self.children.close_all();
    }

    /// Admits a call and counts it against the share of its grant; waits if the share is used up.
    ///
    /// # Errors
    /// A refusal when the call exceeds the capacity of its grant.
    pub async fn admit(
        &self,
        metrics: &Metrics,
        id: u64,
        call: &Call,
    ) -> std::result::Result<(), Refusal> {
        if call.capacity == UNLIMITED {
            return Ok(());
        }
        let now = Instant::now();
        let grant = GrantKey {
            plan: call.plan.clone(),
            service: call.service.clone(),
            path: call.path.clone(),
        };
        if self.node().try_take(&grant, now) {
            return Ok(());
        }
        metrics.record_capacity_wait();
        let until = call.deadline.min(now + MAX_WAIT);
        let (tx, rx) = oneshot::channel();
        self.waiting().insert(id, tx);
        // Removes the call if the caller disconnects during the wait.
        let _guard = WaitGuard {
            capacity: self,
            grant: &grant,
            id,
        };
        let queued = self.node().enqueue(&grant, id, until, now);
        if queued {
            self.wake.notify_one();
            if matches!(timeout_at(until.into(), rx).await, Ok(Ok(true))) {
                return Ok(());
            }
        }
        let result = self.end_wait(&grant, id, call, queued);
        if result.is_err() {
            metrics.record_capacity_refusal();
        }
        result
    }

    fn end_wait(
        &self,
        grant: &GrantKey,
        id: u64,
        call: &Call,
        queued: bool,
    ) -> std::result::Result<(), Refusal> {
        let now = Instant::now();
        let mut node = self.node();
        let waited = node.cancel(grant, id);
        let retry_at = node.retry_at(grant, now);
        let holds_share = node.holds_share(grant, now);
        drop(node);
        // The call may have been admitted just when its wait timed out.
        if self.waiting().remove(&id).is_none() && !waited {
            return Ok(());
        }
        // Without any share the tree has failed, and a refusal would stop a plan that is far below
        // its capacity. The bounded queue admits at most `MAX_WAITERS` calls per `MAX_WAIT`.
        if queued && !holds_share {
            log::warn!(
                "no share of the capacity of plan {} for service {}, admitting the call anyway",
                call.plan,
                call.service
            );
            return Ok(());
        }
        let detail = format!(
            "plan {} exceeds its capacity of {} calls/s for service {}",
            call.plan, call.capacity, call.service
        );
        let mut refusal = Refusal::not_run(Reason::Capacity, detail);
        refusal.retry_at = Some(retry_at.unwrap_or(now + REPORT_INTERVAL));
        Err(refusal)
    }

    fn node(&self) -> MutexGuard<'_, Node> {
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn suspects(&self) -> MutexGuard<'_, Suspects> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<bool>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends shares to children and resumes admitted calls; returns the reports for the parent.
    fn execute(&self, out: Output) -> Vec<DemandReport> {
        if !out.released.is_empty() || !out.rejected.is_empty() {
            let mut waiting = self.waiting();
            let released = out.released.into_iter().map(|call| (call, true));
            let rejected = out.rejected.into_iter().map(|call| (call, false));
            for (call, admitted) in released.chain(rejected) {
                // The send fails if the caller has disconnected.
                waiting.remove(&call).map(|tx| tx.send(admitted).ok());
            }
        }
        send_shares(&self.children, out.updates);
        for (grant, rate) in out.changed {
            log_event!(
                LogEvent::SharesChanged,
                plan = grant.plan,
                service = grant.service,
                share = rate as f64 / MILLI as f64,
                lease_ms = LEASE.as_millis(),
            );
        }
        out.reports
    }

    fn apply_shares(&self, updates: Vec<ShareUpdate>) {
        let out = self.node().handle_updates(updates, Instant::now());
        self.execute(out);
        self.wake.notify_one();
    }
}

/// Removes a call that waits for capacity when dropped.
struct WaitGuard<'a> {
    capacity: &'a Capacity,
    grant: &'a GrantKey,
    id: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.capacity.waiting().remove(&self.id).is_some() {
            self.capacity.node().cancel(self.grant, self.id);
        }
    }
}

/// Sends shares to children, in one frame for each child.
pub fn send_shares(children: &ChildStreams, updates: Vec<(DaemonName, ShareUpdate)>) {
    let mut frames: IndexMap<DaemonName, Vec<ShareUpdate>> = IndexMap::new();
    for (child, update) in updates {
        frames.entry(child).or_default().push(update);
    }
    for (child, frame) in frames {
        // A child without a stream reports its demand again and gets its shares then.
        if let Some(number) = children.number(&child) {
            children.send(&child, number, &frame);
        }
    }
}

/// Opens the stream of shares to a child; calls `closed` once its connection has ended.
pub fn open_share_stream(
    children: &ChildStreams,
    req: OpenShares,
    closed: impl FnOnce(&DaemonName, u64) + Send + 'static,
) -> Response<Body> {
    let (response, stream_end) = children.open(&req.daemon, req.stream);
    tokio::spawn(async move {
        stream_end.wait().await;
        closed(&req.daemon, req.stream);
    });
    response
}

/// Answers a request of a child on the peer port: a subscription to shares or a demand report.
pub async fn answer(shared: &Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let answered = match req.uri().path() {
        SHARES_PATH => peer::read_message(req).await.map(|req| {
            let closing = Arc::clone(shared);
            open_share_stream(&shared.capacity.children, req, move |child, stream| {
                closing.capacity.children.close(child, stream);
            })
        }),
        DEMAND_PATH => peer::read_message::<DemandReports>(req)
            .await
            .map(|reports| {
                let capacity = &shared.capacity;
                let out = capacity.node().handle_reports(&reports, Instant::now());
                capacity.execute(out);
                capacity.wake.notify_one();
                peer::message_response(&())
            }),
        _ => Ok(peer::empty_response(StatusCode::NOT_FOUND)),
    };
    answered.unwrap_or_else(|e| {
        log::warn!("refused an invalid capacity request of a peer: {e}");
        peer::empty_response(StatusCode::BAD_REQUEST)
    })
}

/// Connection to the parent, and the times of the periodic work.
struct ParentLink {
    place: Place,
    /// Changes of the endpoints, control replicas and suspects by which the place was determined.
    place_changes: Option<(u64, u64, u64)>,
    /// Version of the configuration, and whether one of its grants has a limited capacity.
    limited: (Version, bool),
    address: Option<SocketAddr>,
    reader: Option<JoinHandle<()>>,
    next_sync: Instant,
    next_daemon_count: Instant,
    next_heartbeat: Instant,
    /// Bytes sent to children that are already in the metrics.
    counted_bytes: u64,
}

/// Keeps the shares up to date and reports demand to the parent until the task is aborted.
pub async fn run_forever(shared: Arc<Shared>, tree: Arc<Tree>) {
    let now = Instant::now();
    let mut parent = ParentLink {
        place: Place {
            tier: Tier::Daemon,
            parent: None,
        },
        place_changes: None,
        limited: (Version(0), false),
        address: None,
        reader: None,
        next_sync: now,
        next_daemon_count: now,
        next_heartbeat: now,
        counted_bytes: 0,
    };
    loop {
        let now = Instant::now();
        if now >= parent.next_sync {
            parent.sync(&shared, &tree, now);
        }
        let capacity = &shared.capacity;
        let (out, tier, next) = {
            let mut node = capacity.node();
            (node.poll(now), node.tier(), node.next_poll())
        };
        for (grant, rate) in &out.changed {
            if let Some(account) = account_of(grant.plan.as_str()) {
                shared.metrics.accounts().set_share(account, *rate);
            }
        }
        let reports = capacity.execute(out);
        let heartbeat_due = tier == Tier::Region && now >= parent.next_heartbeat;
        if let Some(address) = parent
            .address
            .filter(|_| heartbeat_due || !reports.is_empty())
        {
            parent.next_heartbeat = now + REGION_HEARTBEAT;
            let message = capacity.node().message(reports, now);
            tokio::spawn(parent::send(Arc::clone(&shared), address, message));
        }
        drop(timeout_at(next.into(), capacity.wake.notified()).await);
    }
}

impl ParentLink {
    /// Applies changes of the parent, the role, the configuration and the endpoint sets.
    fn sync(&mut self, shared: &Arc<Shared>, tree: &Arc<Tree>, now: Instant) {
        self.next_sync = now + POLL_INTERVAL;
        let config = {
            let state = shared.state();
            state
                .snapshot()
                .map(|snapshot| Arc::clone(snapshot.config()))
        };
        if let Some(config) = &config
            && self.limited.0 != config.version
        {
            let limited = |grant: &Grant| grant.capacity != UNLIMITED;
            self.limited = (config.version, config.grants.values().any(limited));
        }
        if !self.limited.1 && self.address.is_none() {
            return;
        }
        tree.with_uplink(|uplink| {
            let mut suspects = shared.capacity.suspects();
            self.find_place(uplink, &mut suspects, &shared.cfg, now);
        });
        let address = self.place.parent.filter(|_| self.limited.1);
        let topology = (now >= self.next_daemon_count).then(|| {
            self.next_daemon_count = now + DAEMON_COUNT_INTERVAL;
            tree.with_uplink(|uplink| topology(uplink, &shared.cfg))
        });
        if topology.is_some() {
            let daemons = tree.with_uplink(|uplink| count_daemons(uplink, &shared.cfg));
            shared.capacity.quotas().set_daemons(daemons, now);
        }
        let mut node = shared.capacity.node();
        if let Some(config) = config {
            node.set_config(config);
        }
        if let Some(topology) = topology {
            node.set_topology(topology);
        }
        node.set_tier(self.place.tier, now);
        if address != self.address {
            node.detach(now);
        }
        shared.metrics.set_capacity_grants(node.len());
        drop(node);
        if address != self.address {
            self.address = address;
            if let Some(reader) = self.reader.take() {
                reader.abort();
            }
            self.reader = address
                .map(|address| tokio::spawn(parent::read_forever(Arc::clone(shared), address)));
        }
        let sent = shared.capacity.children.bytes_sent();
        let new_bytes = sent - self.counted_bytes;
        self.counted_bytes = sent;
        let metrics = &shared.metrics;
        metrics.add_control_bytes(Link::Children, Direction::Out, new_bytes);
    }
}

impl ParentLink {
    /// Determines the place again after a change of the endpoints or control replicas.
    fn find_place(
        &mut self,
        uplink: &Uplink,
        suspects: &mut Suspects,
        own: &settings::Daemon,
        now: Instant,
    ) {
        let changes = (
            uplink.directory().last_change(),
            uplink.replica_changes(),
            suspects.changes(now),
        );
        if self.place_changes == Some(changes) {
            return;
        }
        self.place_changes = Some(changes);
        let endpoints = uplink.directory().iter().filter(|endpoint| {
            endpoint.daemon == own.name || !suspects.is_avoided(&endpoint.address, now)
        });
        let replicas = uplink.replicas();
        self.place = Place::new(
            &own.name,
            &own.data_centre,
            &own.region,
            endpoints,
            replicas,
        );
    }
}

/// Counts all daemons that have announced an endpoint, and the own one.
fn count_daemons(uplink: &Uplink, own: &settings::Daemon) -> u64 {
    let endpoints = uplink.directory().iter();
    let mut daemons: HashSet<_> = endpoints.map(|endpoint| &endpoint.daemon).collect();
    daemons.insert(&own.name);
    daemons.len() as u64
}

/// Counts the regions, and the daemons of the own region and data centre. The own daemon counts
/// even without an endpoint.
fn topology(uplink: &Uplink, own: &settings::Daemon) -> Topology {
    let mut regions = HashSet::from([&own.region]);
    let mut region = HashSet::from([&own.name]);
    let mut centre = HashSet::from([&own.name]);
    for endpoint in uplink.directory().iter() {
        regions.insert(&endpoint.region);
        if endpoint.region == own.region {
            region.insert(&endpoint.daemon);
        }
        if endpoint.data_centre == own.data_centre {
            centre.insert(&endpoint.daemon);
        }
    }
    Topology {
        regions: regions.len() as u64,
        region_daemons: region.len() as u64,
        data_centre_daemons: centre.len() as u64,
    }
}
