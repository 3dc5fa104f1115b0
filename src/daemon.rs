//! The process beside each backend server: it routes, queues, retries and limits calls.

mod accounts;
mod answer;
mod attempt;
pub mod capacity;
mod cause;
mod crash;
mod decision;
mod entry;
pub mod event;
mod hedge;
mod inner;
pub mod intake;
pub(crate) mod local;
mod order;
pub mod outflow;
mod owner;
mod pending;
pub(crate) mod rollouts;
mod send_result;
pub mod shared;
pub mod state;
pub(crate) mod tree;

use {
    self::{event::Event, shared::Shared, tree::Tree},
    crate::{
        body::Body,
        call,
        error::{Error, Result},
        events::Event as LogEvent,
        log_event,
        memory::Port,
        metrics::Metrics,
        model::{ServiceName, Version},
        peer,
        serve::{self, STREAM_WINDOW, Server},
        settings,
        shutdown::work_deadline,
        tree_wire::{DEMAND_PATH, SHARES_PATH},
    },
    http::{HeaderMap, HeaderValue, Request, Response},
    hyper::body::Incoming,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpListener,
        task::JoinHandle,
        time::{MissedTickBehavior, interval, sleep_until},
    },
};

/// Interval of [`Event::Tick`], on which the reducer checks leases and timeouts.
const TICK: Duration = Duration::from_millis(100);
/// Lateness of a tick that is logged: the process got no processor time, or was suspended.
const STALL_THRESHOLD: Duration = Duration::from_millis(250);
/// Time between the announcement of a drain and the closing of the caller port: within it all
/// other daemons receive the announcement and stop sending calls here.
const DRAIN_NOTICE: Duration = Duration::from_secs(3);
/// Longest wait for calls in flight on shutdown without a configured grace period; uploads may
/// take long.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_mins(10);

/// Time before the end of a shutdown by which calls are answered; their connections close then.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// Sockets of a daemon, bound before it starts.
#[derive(Debug)]
pub struct Listeners {
    /// Caller port.
    pub callers: TcpListener,
    /// Local port.
    pub local: TcpListener,
    /// Peer port.
    pub peer: TcpListener,
    /// Readiness port; `None` when readiness is served on the local port only.
    pub ready: Option<TcpListener>,
}

impl Listeners {
    /// Binds the addresses from the settings.
    ///
    /// # Errors
    /// [`Error::Bind`] with the address that could not be bound.
    pub async fn bind(cfg: &settings::Daemon) -> Result<Self> {
        Ok(Self {
            callers: serve::bind(cfg.caller_address).await?,
            local: serve::bind(cfg.local_address).await?,
            peer: serve::bind(cfg.peer_address).await?,
            ready: match cfg.ready_address {
                Some(address) => Some(serve::bind(address).await?),
                None => None,
            },
        })
    }
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    shared: Arc<Shared>,
    tree: Arc<Tree>,
    callers: Server,
    local: Server,
    peer: Server,
    ready: Option<Server>,
    tasks: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Starts the servers and background tasks of a daemon.
    ///
    /// # Errors
    /// The local address of the peer port is unavailable, or the mesh token is no valid header
    /// value.
    pub fn start(cfg: settings::Daemon, listeners: Listeners) -> Result<Self> {
        let peer_address = listeners.peer.local_addr().map_err(|source| Error::Bind {
            address: cfg.peer_address,
            source,
        })?;
        let advertised = cfg.advertise.unwrap_or(peer_address);
        let token = cfg.token().to_owned();
        let shared = Shared::new(cfg, advertised)?;
        let tree = Tree::new(Arc::clone(&shared));
        let callers = serve_callers(&shared, &tree, listeners.callers);
        let local = serve_local(&shared, &tree, Port::Local, listeners.local);
        let peer = serve_peers(&shared, &tree, listeners.peer, &token)?;
        let ready = listeners
            .ready
            .map(|listener| serve_local(&shared, &tree, Port::Ready, listener));
        log_event!(
            LogEvent::Started,
            program = "anvilbeam-daemon",
            name = shared.cfg.name,
            caller_address = callers.address(),
            local_address = local.address(),
            peer_address = peer.address(),
        );
        log_event!(
            LogEvent::NotReady,
            name = shared.cfg.name,
            reason = "no version is in force yet"
        );
        let mut tasks = vec![
            tokio::spawn(Arc::clone(&tree).tick_forever()),
            tokio::spawn(Arc::clone(&tree).report_endpoint_forever()),
            tokio::spawn(tick_forever(Arc::clone(&shared))),
            tokio::spawn(rollouts::run_forever(
                Arc::clone(&shared),
                Arc::clone(&tree),
            )),
            tokio::spawn(crash::exchange_forever(Arc::clone(&shared))),
            tokio::spawn(capacity::run_forever(
                Arc::clone(&shared),
                Arc::clone(&tree),
            )),
        ];
        if let Some(outflow) = &shared.outflow {
            tasks.push(tokio::spawn(Arc::clone(outflow).grant_forever()));
        }
        Ok(Self {
            shared,
            tree,
            callers,
            local,
            peer,
            ready,
            tasks,
        })
    }

    /// Returns the address of the caller port.
    pub const fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address of the local port, which the backend server uses.
    pub const fn local_address(&self) -> SocketAddr {
        self.local.address()
    }

    /// Returns the address of the peer port, which daemons and control use.
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer.address()
    }

    /// Returns the version in force; `None` until the first one is applied.
    pub fn in_force(&self) -> Option<Version> {
        self.shared.in_force()
    }

    /// Returns the mesh token, which authenticates daemons and control to each other.
    pub fn token(&self) -> settings::Secret {
        settings::Secret::from(self.shared.cfg.token())
    }

    /// Replaces the control replicas from the settings; returns whether they changed.
    pub fn set_control(&self, control: Vec<SocketAddr>) -> bool {
        self.tree.set_configured_controls(control)
    }

    /// Replaces the service of the own backend server from the settings; returns whether it changed.
    pub fn set_service(&self, service: Option<ServiceName>) -> bool {
        self.shared.set_service(service)
    }

    /// Returns the metrics of the daemon.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Returns the level of the daemon in the distribution tree: 1 below a control replica.
    pub fn level(&self) -> u8 {
        self.tree.level()
    }

    /// Returns the time until which new calls are accepted, and the deadline of a shutdown that was
    /// requested at `requested`.
    fn shutdown_times(&self, requested: Instant) -> (Instant, Instant) {
        match self.shared.cfg.grace {
            Some(grace) => (
                requested + DRAIN_NOTICE.min(grace / 2),
                work_deadline(requested, grace),
            ),
            None => (
                requested + DRAIN_NOTICE,
                requested + DRAIN_NOTICE + SHUTDOWN_TIMEOUT,
            ),
        }
    }

    /// Shuts down gracefully; see [`Self::stop_since`].
    pub async fn stop(self) -> bool {
        self.stop_since(Instant::now()).await
    }

    /// Shuts down gracefully: announces the drain so that other daemons stop sending calls, then
    /// waits for the calls in flight. The grace time counts from `requested`. Returns whether all
    /// calls ended before the deadline.
    pub async fn stop_since(self, requested: Instant) -> bool {
        log_event!(LogEvent::Stopping, name = self.shared.cfg.name);
        let (notice, deadline) = self.shutdown_times(requested);
        let answer_by = deadline.checked_sub(ANSWER_MARGIN).unwrap_or(deadline);
        self.shared.dispatch(None, Event::Drain { answer_by });
        self.tree.report_endpoint();
        sleep_until(notice.into()).await;
        let callers = self.callers.shutdown(deadline).await;
        for task in &self.tasks {
            task.abort();
        }
        // Streams to children stay open until they are closed here.
        self.tree.close_streams();
        self.shared.capacity.close_streams();
        let peer = self.peer.shutdown(deadline).await;
        self.local.shutdown(deadline).await;
        if let Some(ready) = self.ready {
            ready.shutdown(deadline).await;
        }
        log_event!(LogEvent::Stopped, name = self.shared.cfg.name);
        callers && peer
    }
}

async fn tick_forever(shared: Arc<Shared>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let due = ticks.tick().await;
        let late = due.elapsed();
        if late >= STALL_THRESHOLD {
            log_event!(LogEvent::ProcessStalled, late_ms = late.as_millis());
        }
        shared.dispatch(None, Event::Tick);
    }
}

fn serve_callers(shared: &Arc<Shared>, tree: &Arc<Tree>, listener: TcpListener) -> Server {
    let connections = shared.memory.connections(Port::Callers);
    let (shared, tree) = (Arc::clone(shared), Arc::clone(tree));
    serve::serve_limited(
        listener,
        STREAM_WINDOW,
        connections,
        move |req, peer: SocketAddr| {
            let caller = peer.ip().to_canonical();
            entry::handle_request(Arc::clone(&shared), Arc::clone(&tree), req, caller)
        },
    )
}

fn serve_local(
    shared: &Arc<Shared>,
    tree: &Arc<Tree>,
    port: Port,
    listener: TcpListener,
) -> Server {
    let router = local::router(shared, tree);
    let connections = shared.memory.connections(port);
    serve::serve_limited(listener, STREAM_WINDOW, connections, move |req, peer| {
        serve::handle_with_gotham(router.clone(), req, peer)
    })
}

fn serve_peers(
    shared: &Arc<Shared>,
    tree: &Arc<Tree>,
    listener: TcpListener,
    token: &str,
) -> Result<Server> {
    let connections = shared.memory.connections(Port::Peers);
    let (shared, tree) = (Arc::clone(shared), Arc::clone(tree));
    let handler = move |req| {
        let (shared, tree) = (Arc::clone(&shared), Arc::clone(&tree));
        async move { answer_peer(shared, tree, req).await }
    };
    let window = intake::BODY_WINDOW;
    peer::serve_peers_within(listener, token, window, Some(connections), handler)
}

async fn answer_peer(
    shared: Arc<Shared>,
    tree: Arc<Tree>,
    req: Request<Incoming>,
) -> Response<Body> {
    // A proxied call keeps the caller's path, so the plan header distinguishes it from messages.
    if req.headers().contains_key(call::PLAN) {
        report_newer_version(&shared, &tree, req.headers());
        return owner::handle_peer_call(shared, req).await;
    }
    match req.uri().path() {
        crash::SUSPECTS_PATH => crash::answer(&shared, req).await,
        rollouts::ROLLOUTS_PATH if shared.cfg.rollouts.is_some() => {
            rollouts::answer(&shared.rollouts, req).await
        }
        DEMAND_PATH | SHARES_PATH => capacity::answer(&shared, req).await,
        _ => tree.answer(req).await,
    }
}

/// Reports the version of the daemon that sent a call if it is newer than the own version, which
/// means that this daemon lags behind.
fn report_newer_version(shared: &Shared, tree: &Arc<Tree>, headers: &HeaderMap) {
    let text = |name| {
        let value: Option<&HeaderValue> = headers.get(name);
        value.and_then(|value| value.to_str().ok())
    };
    let version = text(call::VERSION).and_then(|text| text.parse().ok());
    if let (Some(peer), Some(version)) = (text(call::DAEMON), version.map(Version))
        && Some(version) > shared.in_force()
    {
        tree.record_peer_version(&peer.into(), version);
    }
}
