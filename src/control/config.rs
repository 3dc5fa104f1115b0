//! A replica of the config group: keeps the two lists and distributes their versions.

use {
    super::{replication, reports::Reports},
    crate::{
        body::Body,
        edits::{self, State},
        endpoints::{Epoch, Stamp},
        error::Result,
        hub::{Content, Hub, SUBSCRIBE_PATH, Subscribe},
        model::{Config, DaemonName, DataCentre, Endpoint, Region, Version},
        peer::{self, Client},
        raft::Role,
        replica::{self, Handle, Machine, Options, ProposeError},
        settings,
        versions::ConfigStore,
    },
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        thread::JoinHandle,
        time::{Duration, Instant},
    },
    tokio::time::{MissedTickBehavior, interval},
};

/// Path of the peer port that tells the version below which no daemon may start.
pub const FLOOR_PATH: &str = "/floor";
/// Path of the peer port that takes reports of children.
pub const REPORT_PATH: &str = "/report";
/// Interval at which leases are checked.
const LEASE_CHECK: Duration = Duration::from_millis(200);

/// Answer to a question for the floor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Floor {
    /// The leader has confirmed this version.
    Confirmed(Version),
    /// Another replica leads.
    NotLeader(Option<SocketAddr>),
}

/// What a child reports each second and at each change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The daemon.
    pub daemon: DaemonName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// Orders the reports of the daemon.
    pub stamp: Stamp,
    /// Version that it has in force.
    pub in_force: Option<Version>,
    /// Backend servers beside it.
    pub endpoints: Vec<Endpoint>,
}

/// One replica of the config group.
#[derive(Debug)]
pub struct ConfigReplica {
    /// Settings of the process.
    pub cfg: settings::Control,
    /// Connections to other processes.
    pub client: Client,
    /// The replicated log.
    pub handle: Handle<State>,
    /// Streams to children.
    pub hub: Arc<Hub>,
    reports: Mutex<Reports>,
}

impl ConfigReplica {
    /// Starts the replica on its data folder, and the tasks around it.
    pub(super) fn start(
        cfg: settings::Control,
        options: Options,
        client: Client,
    ) -> Result<(Arc<Self>, JoinHandle<Result<()>>)> {
        let machine = Machine {
            state: State::default(),
            apply: edits::apply,
            snapshot: edits::snapshot,
            restore: edits::restore,
        };
        let (handle, thread) =
            replica::start(options, machine, replication::sender(client.clone()))?;
        let hub = Hub::new(Content {
            store: ConfigStore::with_config(Config::default()),
            ..Content::default()
        });
        let replica = Arc::new(Self {
            cfg,
            client,
            handle,
            hub,
            reports: Mutex::default(),
        });
        tokio::spawn(Arc::clone(&replica).follow_log());
        tokio::spawn(Arc::clone(&replica).check_leases());
        Ok((replica, thread))
    }

    /// What the children reported.
    pub fn reports(&self) -> MutexGuard<'_, Reports> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Copies each new version from the log to the hub.
    async fn follow_log(self: Arc<Self>) {
        let mut status = self.handle.watch();
        loop {
            let held = self.hub.content().store.version();
            let delta = self
                .handle
                .local(move |state| state.store().delta_since(held))
                .await;
            match delta {
                Ok(Some(delta)) => {
                    let applied = self.hub.update(|content| content.store.apply(&delta));
                    if let Err(e) = applied {
                        log::error!("version of the log not applied: {e}");
                    }
                }
                Ok(None) => {
                    if status.changed().await.is_err() {
                        return;
                    }
                }
                Err(_) => return,
            }
        }
    }

    async fn check_leases(self: Arc<Self>) {
        let mut ticks = interval(LEASE_CHECK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let now = Instant::now();
            let deltas = self.reports().expire(now);
            self.publish(&deltas, now);
        }
    }

    fn publish(&self, deltas: &[crate::endpoints::EndpointDelta], now: Instant) {
        if deltas.is_empty() {
            return;
        }
        self.hub.update(|content| {
            for delta in deltas {
                if let Err(e) = content.directory.apply(delta, now) {
                    log::warn!("endpoint set not applied: {e}");
                }
            }
        });
    }

    /// Answers one request on the peer port.
    pub(super) async fn handle_peer(&self, req: Request<Incoming>) -> Response<Body> {
        match req.uri().path() {
            super::RAFT_PATH => replication::receive(&self.handle, req).await,
            SUBSCRIBE_PATH => match peer::read_message::<Subscribe>(req).await {
                Ok(subscribe) => self.hub.open(subscribe),
                Err(e) => bad_request(&e),
            },
            REPORT_PATH => match peer::read_message::<Report>(req).await {
                Ok(report) => self.take_report(&report),
                Err(e) => bad_request(&e),
            },
            FLOOR_PATH => peer::message_response(&self.floor().await),
            _ => peer::status(StatusCode::NOT_FOUND),
        }
    }

    fn take_report(&self, report: &Report) -> Response<Body> {
        let now = Instant::now();
        let term = self.handle.status().term;
        let taken = self
            .reports()
            .take(report, Epoch::granted(term, 1), &self.hub, now);
        match taken {
            Ok(deltas) => {
                self.publish(&deltas, now);
                peer::message_response(&())
            }
            Err(e) => {
                log::warn!("report of {} refused: {e}", report.daemon);
                peer::status(StatusCode::UNPROCESSABLE_ENTITY)
            }
        }
    }

    async fn floor(&self) -> Floor {
        match self.handle.read(|state| state.store().version()).await {
            Ok(version) => Floor::Confirmed(version),
            Err(ProposeError::NotLeader(leader)) => {
                Floor::NotLeader(leader.map(|leader| leader.address))
            }
            Err(_) => Floor::NotLeader(None),
        }
    }

    /// Whether this replica leads.
    pub fn leads(&self) -> bool {
        self.handle.status().role == Role::Leader
    }
}

fn bad_request(e: &crate::error::Error) -> Response<Body> {
    log::warn!("request of a peer refused: {e}");
    peer::status(StatusCode::BAD_REQUEST)
}
