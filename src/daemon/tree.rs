//! Connects a daemon to the distribution tree: runs the [`Uplink`] state machine and executes its
//! effects.

mod answering;
mod asking;

use {
    super::{event::Event as CallEvent, shared::Shared},
    crate::{
        clock::unix_time_ms,
        endpoints::EndpointChanges,
        events::Event as LogEvent,
        log_event,
        metrics::{Direction, Link},
        model::{DaemonName, ServiceName, Version},
        relays::{Effect, Event, Member, Report, ReportReply, StreamEvent, Uplink},
        routes::{Location, Snapshot},
        tree_wire::{ChildStreams, SourceStreams, report_reply, send_to_child},
    },
    indexmap::IndexSet,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        sync::Notify,
        time::{MissedTickBehavior, interval, timeout_at},
    },
};

/// Interval of [`Event::Tick`], on which the state machine checks its timeouts.
const TICK: Duration = Duration::from_millis(100);

/// Connections of one daemon in the distribution tree.
pub struct Tree {
    shared: Arc<Shared>,
    uplink: Mutex<Uplink>,
    children: ChildStreams,
    source: Arc<SourceStreams>,
    /// Notified when the source has answered a report, and when a new version is in force.
    confirmed: Notify,
    /// Bytes sent to children, received from sources and sent to them that are in the metrics.
    counted_bytes: [AtomicU64; 3],
}

impl std::fmt::Debug for Tree {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Tree")
            .field("shared", &self.shared)
            .finish_non_exhaustive()
    }
}

impl Tree {
    /// Creates the tree connections of a daemon, which has no source at first.
    pub fn new(shared: Arc<Shared>) -> Arc<Self> {
        let cfg = &shared.cfg;
        let member = Member {
            daemon: cfg.name.clone(),
            address: shared.advertised,
            data_centre: cfg.data_centre.clone(),
            region: cfg.region.clone(),
        };
        let incarnation = unix_time_ms().max(1);
        let control = cfg.control.clone();
        let uplink = Uplink::new(member, incarnation, control, Instant::now());
        Arc::new(Self {
            uplink: Mutex::new(uplink),
            children: ChildStreams::within(&shared.memory),
            source: SourceStreams::new(shared.client.clone()),
            confirmed: Notify::new(),
            counted_bytes: Default::default(),
            shared,
        })
    }

    /// Ticks the state machine until the task is aborted.
    pub async fn tick_forever(self: Arc<Self>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.step(Event::Tick);
            self.count_bytes();
        }
    }

    fn count_bytes(&self) {
        let (received, sent) = self.source.bytes();
        let totals = [
            (Link::Children, Direction::Out, self.children.bytes_sent()),
            (Link::Parent, Direction::In, received),
            (Link::Parent, Direction::Out, sent),
        ];
        let metrics = &self.shared.metrics;
        for ((link, direction, total), counted) in totals.into_iter().zip(&self.counted_bytes) {
            let before = counted.swap(total, Ordering::Relaxed);
            metrics.add_control_bytes(link, direction, total.saturating_sub(before));
        }
    }

    /// Reports each change of the own endpoint until the task is aborted.
    pub async fn report_endpoint_forever(self: Arc<Self>) {
        loop {
            self.shared.endpoint_changed.notified().await;
            self.report_endpoint();
        }
    }

    /// Closes all streams: children subscribe elsewhere, and the own subscription ends.
    pub fn close_streams(&self) {
        self.children.close_all();
        self.source.close_all();
    }

    /// Reports the endpoint of the own backend server to the source.
    pub fn report_endpoint(self: &Arc<Self>) {
        let endpoints = self.shared.own_endpoint().into_iter().collect();
        self.step(Event::Endpoints(endpoints));
        // The tick sends the report, which is due at once after a change.
        self.step(Event::Tick);
    }

    /// Reports the endpoint of the own backend server and waits until another process has it; returns
    /// whether that was so by `deadline`.
    pub async fn await_endpoint_confirmed(self: &Arc<Self>, deadline: Instant) -> bool {
        self.report_endpoint();
        loop {
            let confirmed = self.confirmed.notified();
            if self.uplink().is_record_confirmed() {
                return true;
            }
            if timeout_at(deadline.into(), confirmed).await.is_err() {
                return self.uplink().is_record_confirmed();
            }
        }
    }

    /// Returns the state that the tasks of the daemon share.
    pub const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Records that a peer has a version newer than the own one.
    pub fn record_peer_version(self: &Arc<Self>, peer: &DaemonName, version: Version) {
        self.step(Event::PeerVersion {
            peer: peer.clone(),
            version: Some(version),
        });
    }

    /// Returns whether no version existed at time `since` that is newer than the one in force; asks
    /// the source until `deadline`.
    pub async fn confirm_current(self: &Arc<Self>, since: Instant, deadline: Instant) -> bool {
        let is_current = || {
            let current_at = self.uplink().current_at();
            current_at.is_some_and(|at| at >= since)
        };
        if is_current() {
            return true;
        }
        loop {
            let confirmed = self.confirmed.notified();
            if is_current() {
                return true;
            }
            self.step(Event::Confirm);
            if timeout_at(deadline.into(), confirmed).await.is_err() {
                return is_current();
            }
        }
    }

    /// Returns the level in the tree.
    pub fn level(&self) -> u8 {
        self.uplink().level()
    }

    /// Calls `read` with the state machine, which stays locked meanwhile.
    pub fn with_uplink<R>(&self, read: impl FnOnce(&Uplink) -> R) -> R {
        read(&self.uplink())
    }

    fn uplink(&self) -> MutexGuard<'_, Uplink> {
        self.uplink.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes an event to the state machine and executes the effects.
    ///
    /// Done under the lock, so that routes are replaced in the order of their versions, and frames of
    /// concurrent events don't overtake each other.
    fn step(self: &Arc<Self>, event: Event) {
        let confirms = matches!(
            event,
            Event::Stream(StreamEvent::Reported { .. } | StreamEvent::ReportFailed { .. })
        );
        let mut uplink = self.uplink();
        let effects = uplink.step(Instant::now(), rand::random(), event);
        self.execute_all(&uplink, effects);
        drop(uplink);
        if confirms {
            self.confirmed.notify_waiters();
        }
    }

    fn step_report(self: &Arc<Self>, report: Report) -> Option<ReportReply> {
        let event = Event::Stream(StreamEvent::Report(report));
        let mut uplink = self.uplink();
        let effects = uplink.step(Instant::now(), rand::random(), event);
        let reply = report_reply(&effects);
        self.execute_all(&uplink, effects);
        reply
    }

    fn execute_all(self: &Arc<Self>, uplink: &Uplink, effects: Vec<Effect>) {
        self.swap_routes(uplink, &effects);
        for effect in effects {
            if let Some(effect) = send_to_child(&self.children, effect) {
                self.execute(effect);
            }
        }
    }

    /// Replaces the routes atomically after a new version or a change of endpoints.
    fn swap_routes(&self, uplink: &Uplink, effects: &[Effect]) {
        let mut snapshot: Option<Arc<Snapshot>> = None;
        let current = || self.shared.state().snapshot().cloned();
        for effect in effects {
            match effect {
                Effect::Publish(config) => {
                    let next = if let Some(before) = snapshot.clone().or_else(current) {
                        before.with_config(Arc::clone(config))
                    } else {
                        let endpoints = uplink.directory().iter();
                        Snapshot::build(Arc::clone(config), endpoints, self.location())
                    };
                    snapshot = Some(Arc::new(next));
                    self.log_version(config.version);
                }
                Effect::PublishEndpoints(changed) => {
                    let Some(before) = snapshot.clone().or_else(current) else {
                        continue;
                    };
                    snapshot = Some(Arc::new(with_changed_services(&before, uplink, changed)));
                }
                _ => {}
            }
        }
        if let Some(snapshot) = snapshot {
            self.shared
                .dispatch(None, CallEvent::RoutesChanged(snapshot));
            self.confirmed.notify_waiters();
        }
    }

    fn location(&self) -> Location {
        Location {
            data_centre: self.shared.cfg.data_centre.clone(),
            region: self.shared.cfg.region.clone(),
        }
    }

    fn log_version(&self, version: Version) {
        let before = self.shared.in_force();
        let from = before.unwrap_or_default();
        log_event!(LogEvent::VersionApplied, version = version, from = from);
        if version.0 > from.0 + 1 {
            log_event!(LogEvent::CatchUp, from = from, to = version);
        }
        if before.is_none() {
            log_event!(LogEvent::Ready, version = version);
        }
        self.shared.metrics.set_version(version);
    }

    fn execute(self: &Arc<Self>, effect: Effect) {
        match effect {
            Effect::Attach { address, attach } => {
                tokio::spawn(Arc::clone(self).ask_control(address, attach));
            }
            Effect::Subscribe { address, req } => {
                log_event!(
                    LogEvent::ParentChosen,
                    address = address,
                    stream = req.stream,
                    level = req.level
                );
                let tree = Arc::clone(self);
                self.source
                    .subscribe(address, *req, move |event| tree.step(Event::Stream(event)));
            }
            Effect::Unsubscribe { stream, reason } => {
                if let Some(address) = self.source.close(stream) {
                    log_event!(
                        LogEvent::ParentLost,
                        address = address,
                        stream = stream,
                        reason = reason
                    );
                }
            }
            Effect::Report(report) => {
                let tree = Arc::clone(self);
                self.source
                    .report(*report, move |event| tree.step(Event::Stream(event)));
            }
            Effect::AskPeers(peers) => {
                for (name, address) in peers {
                    tokio::spawn(Arc::clone(self).ask_version(name, address));
                }
            }
            Effect::Fetch {
                name,
                address,
                version,
            } => {
                log::info!("fetching versions after {version} from daemon {name}");
                tokio::spawn(Arc::clone(self).fetch(address, version));
            }
            Effect::PublishEndpoints(changed) => log_endpoints(&changed),
            Effect::Synchronized(former) => {
                self.shared.dispatch(None, CallEvent::Synchronized(&former));
            }
            // Done by `swap_routes`, `step_report` and `send_to_child`.
            Effect::Publish(_)
            | Effect::AnswerReport(_)
            | Effect::Answer { .. }
            | Effect::Update { .. }
            | Effect::DropChildren(_) => {}
        }
    }

    /// Replaces the control replicas from the settings; returns whether they changed. Those that
    /// control has named stay in use.
    pub fn set_configured_controls(&self, control: Vec<SocketAddr>) -> bool {
        self.uplink().set_control(control)
    }
}

/// Returns the routes with the current endpoints of the services that changed.
fn with_changed_services(
    before: &Snapshot,
    uplink: &Uplink,
    changed: &EndpointChanges,
) -> Snapshot {
    let keys = changed.upserts.iter().chain(&changed.removed);
    let services: IndexSet<&ServiceName> = keys.map(|key| &key.service).collect();
    let mut next = before.clone();
    for service in services {
        next = next.with_service(service, uplink.directory().of_service(service));
    }
    next
}

fn log_endpoints(changed: &EndpointChanges) {
    for key in &changed.upserts {
        log_event!(
            LogEvent::EndpointSetApplied,
            server = key.server,
            service = key.service,
            daemon = key.daemon,
            change = "present",
        );
    }
    for key in &changed.removed {
        log_event!(
            LogEvent::EndpointSetApplied,
            server = key.server,
            service = key.service,
            daemon = key.daemon,
            change = "gone",
        );
    }
}
