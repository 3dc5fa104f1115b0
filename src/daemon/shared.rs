//! State shared by the tasks of one daemon: the reducer, the calls that wait for a slot, and the
//! connections.

use {
    super::{
        capacity::Capacity,
        event::{CallId, Effect, Event},
        outflow::Outflow,
        rollouts::RolloutLink,
        state::State,
    },
    crate::{
        backend::Backend,
        balance::Change,
        claim_client::ClaimGroup,
        dialect::Dialect,
        endpoints::ENDPOINT_LEASE,
        error::Result,
        events::Event as LogEvent,
        log_event,
        memory::Budget,
        metrics::Metrics,
        model::{Endpoint, Region, ServerState, ServiceName, Version},
        peer::Client,
        refusal::Refusal,
        settings,
        suspects::Crash,
    },
    indexmap::IndexMap,
    std::{
        collections::HashMap,
        fmt,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Instant,
    },
    tokio::sync::{Mutex as AsyncMutex, Notify, oneshot},
};

/// Decision on a call that waits for a slot: granted, or refused.
pub type SlotDecision = std::result::Result<(), Refusal>;

/// Shared state of one daemon.
pub struct Shared {
    /// Settings of the daemon.
    pub cfg: settings::Daemon,
    /// Dialect of the interface to callers and the backend server.
    pub dialect: Dialect,
    /// Address at which other processes reach the peer port.
    pub advertised: SocketAddr,
    /// Connections to other daemons and to control.
    pub client: Client,
    /// Claims groups by home region.
    pub claims: HashMap<String, ClaimGroup>,
    /// Memory and connections held for others.
    pub memory: Arc<Budget>,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Shares of the capacity of grants.
    pub capacity: Capacity,
    /// Link to other VMs for the answers of downloads; `None` without the setting `link_rate`.
    pub outflow: Option<Arc<Outflow>>,
    /// Rules and reports of rollouts.
    pub rollouts: RolloutLink,
    /// Notifies the task that reports the own endpoint to the parent.
    pub endpoint_changed: Notify,
    /// Number of the last change of the suspects that was reported to other daemons. The lock is
    /// held while a report is sent.
    pub reported_suspects: AsyncMutex<u64>,
    /// Service of the own backend server according to the settings; `None` allows any that is granted.
    configured_service: Mutex<Option<ServiceName>>,
    state: Mutex<State>,
    waiting: Mutex<HashMap<CallId, oneshot::Sender<SlotDecision>>>,
    backend: Mutex<Option<Arc<Backend>>>,
    next_call: AtomicU64,
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared")
            .field("name", &self.cfg.name)
            .finish_non_exhaustive()
    }
}

impl Shared {
    /// Creates the shared state of a daemon.
    ///
    /// # Errors
    /// [`crate::error::Error::Invalid`] if the mesh token is not a valid header value.
    pub fn new(cfg: settings::Daemon, advertised: SocketAddr) -> Result<Arc<Self>> {
        let client = Client::new(cfg.token())?;
        let claims = claim_groups(&cfg.claims, &client);
        let dialect = cfg.interface.dialect();
        let mut state = State::new(cfg.announce_lease)
            .with_versions(cfg.rollouts.is_some())
            .with_pace(cfg.pace)
            .with_server_speed(cfg.server_speed)
            .with_max_refused_percent(cfg.max_refused_percent)
            .recovering_until(Instant::now() + ENDPOINT_LEASE);
        if let Some(account) = &dialect.account {
            state = state.reading_accounts(account.read);
        }
        let memory = Budget::new(cfg.memory_limit, cfg.max_descriptors);
        let mut metrics = Metrics::new();
        metrics.register_memory(memory.counters());
        Ok(Arc::new(Self {
            dialect,
            advertised,
            client,
            claims,
            memory,
            metrics,
            capacity: Capacity::new(&cfg, Instant::now()),
            outflow: cfg.link_rate.map(Outflow::new),
            rollouts: RolloutLink::default(),
            endpoint_changed: Notify::new(),
            reported_suspects: AsyncMutex::new(0),
            state: Mutex::new(state),
            configured_service: Mutex::new(cfg.service.clone()),
            waiting: Mutex::default(),
            backend: Mutex::default(),
            next_call: AtomicU64::new(1),
            cfg,
        }))
    }

    /// Returns a new id for a call or a stream of shares.
    pub fn next_call_id(&self) -> CallId {
        self.next_call.fetch_add(1, Ordering::Relaxed)
    }

    /// Locks the state of the reducer for reading.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes an event to the reducer and executes its effects. The effect for `waiting_call` is
    /// returned instead of executed.
    pub fn dispatch(&self, waiting_call: Option<CallId>, event: Event<'_>) -> Option<Effect> {
        let random = rand::random();
        let effects = self.state().handle(event, Instant::now(), random);
        let mut call_effect = None;
        for effect in effects {
            if waiting_call.is_some() && effect.call_id() == waiting_call {
                call_effect = Some(effect);
            } else {
                self.execute(effect);
            }
        }
        call_effect
    }

    fn execute(&self, effect: Effect) {
        match effect {
            Effect::Start { id } => self.send_decision(id, Ok(())),
            Effect::Refuse { id, refusal } => self.send_decision(id, Err(refusal)),
            Effect::ReportEndpoint => self.endpoint_changed.notify_one(),
            Effect::ServerHealthChanged { endpoint, change } => log_health(&endpoint, change),
            Effect::CrashRecorded(crashes) => log_crashes(&crashes),
            Effect::SuspectCleared => log_event!(LogEvent::SuspectCleared, daemon = self.cfg.name),
            // Only the task of the call can execute these; it passes the call's id to `dispatch`.
            Effect::Forward { id, .. } | Effect::GiveUp { id, .. } | Effect::Run { id, .. } => {
                log::error!("dropped an effect for call {id}, which no task waits for");
            }
        }
    }

    fn send_decision(&self, id: CallId, decision: SlotDecision) {
        if let Some(tx) = self.waiting().remove(&id) {
            // A call that is dropped meanwhile releases its slot itself.
            drop(tx.send(decision));
        }
    }

    /// Registers a call that may have to wait for its slot; the channel receives the decision.
    pub fn register_slot_wait(&self, id: CallId) -> oneshot::Receiver<SlotDecision> {
        let (tx, rx) = oneshot::channel();
        self.waiting().insert(id, tx);
        rx
    }

    /// Removes a call that no longer waits for its slot.
    pub fn stop_waiting(&self, id: CallId) {
        self.waiting().remove(&id);
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<CallId, oneshot::Sender<SlotDecision>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the connection pool of the own backend server, a new one if the address changed.
    pub fn backend(&self, address: SocketAddr) -> Arc<Backend> {
        let mut backend = self.backend.lock().unwrap_or_else(PoisonError::into_inner);
        match backend
            .as_ref()
            .filter(|current| current.address() == address)
        {
            Some(current) => Arc::clone(current),
            None => Arc::clone(backend.insert(Backend::new(address))),
        }
    }

    /// Returns the version in force; `None` until the first one is applied.
    pub fn in_force(&self) -> Option<Version> {
        let state = self.state();
        state.snapshot().map(|snapshot| snapshot.config().version)
    }

    /// Returns the service that the own backend server announces, or else the one in the settings.
    pub fn own_service(&self) -> Option<ServiceName> {
        let state = self.state();
        let announced = state.server().map(|server| &server.announcement.service);
        announced.cloned().or_else(|| self.configured_service())
    }

    /// Replaces the service of the own backend server; returns whether it changed.
    pub fn set_service(&self, service: Option<ServiceName>) -> bool {
        let mut configured = self
            .configured_service
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let changed = *configured != service;
        *configured = service;
        changed
    }

    fn configured_service(&self) -> Option<ServiceName> {
        self.configured_service
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns whether the own backend server may offer the service: the one in the settings, or any that
    /// a grant in force names if the settings name none.
    pub fn may_offer(&self, service: &ServiceName) -> bool {
        if let Some(configured) = self.configured_service() {
            return configured == *service;
        }
        let state = self.state();
        state
            .snapshot()
            .is_some_and(|snapshot| snapshot.has_grant_for(service))
    }

    /// Returns the endpoint of the own backend server for other daemons; `None` while it is not
    /// announced.
    pub fn own_endpoint(&self) -> Option<Endpoint> {
        let state = self.state();
        let server = state.server()?;
        let announcement = &server.announcement;
        Some(Endpoint {
            server: announcement.server.clone(),
            service: announcement.service.clone(),
            daemon: self.cfg.name.clone(),
            address: self.advertised,
            data_centre: self.cfg.data_centre.clone(),
            region: self.cfg.region.clone(),
            slots: match announcement.state {
                ServerState::Serving => announcement.slots,
                ServerState::Draining => 0,
            },
            state: if state.is_draining() {
                ServerState::Draining
            } else {
                announcement.state
            },
            incarnation: match server.version.filter(|_| self.cfg.rollouts.is_some()) {
                Some(version) => version.join(announcement.incarnation),
                None => announcement.incarnation,
            },
        })
    }
}

fn claim_groups(
    claims: &IndexMap<Region, Vec<SocketAddr>>,
    client: &Client,
) -> HashMap<String, ClaimGroup> {
    claims
        .iter()
        .map(|(region, replicas)| {
            let group = ClaimGroup::new(client.clone(), replicas.clone());
            (region.to_string(), group)
        })
        .collect()
}

fn log_health(endpoint: &Endpoint, change: Change) {
    match change {
        Change::Ejected { until, cause } => {
            let seconds = until
                .saturating_duration_since(Instant::now())
                .as_secs_f64();
            log_event!(
                LogEvent::ServerEjected,
                server = endpoint.server,
                service = endpoint.service,
                cause = cause,
                seconds = seconds,
            );
        }
        Change::Readmitted => log_event!(
            LogEvent::ServerReturned,
            server = endpoint.server,
            service = endpoint.service,
        ),
    }
}

fn log_crashes(crashes: &[Crash]) {
    for crash in crashes {
        let event = if crash.is_condemned {
            LogEvent::SuspectCondemned
        } else {
            LogEvent::SuspectMarked
        };
        log_event!(event, fingerprint = crash.fingerprint);
    }
}
