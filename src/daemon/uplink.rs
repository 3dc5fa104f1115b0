//! The way up: learns the floor, subscribes to a parent, applies updates and reports.

use {
    super::{event::Event, shared::Shared},
    crate::{
        control::{FLOOR_PATH, Floor, REPORT_PATH, Report},
        endpoints::{SetError, Stamp},
        error::{Error, Result},
        events::Event as LogEvent,
        hub::{Hub, SUBSCRIBE_PATH, Subscribe, Update},
        log_event,
        metrics::{Direction, Link},
        model::Version,
        routes::{Location, Snapshot},
        versions::Parts,
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::time::{sleep, timeout},
};

/// Longest wait for an answer.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time without a frame; a parent sends one each second.
const SILENCE: Duration = Duration::from_secs(2);
/// Largest wait before the next parent is tried; the wait has full jitter.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// Interval of reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The way up of one daemon.
#[derive(Debug)]
pub struct Uplink {
    shared: Arc<Shared>,
    hub: Arc<Hub>,
    parent: Mutex<Option<SocketAddr>>,
    reports: AtomicU64,
    incarnation: u64,
}

impl Uplink {
    /// The way up of the daemon with `shared` state; what it learns goes to `hub`.
    pub fn new(shared: Arc<Shared>, hub: Arc<Hub>) -> Arc<Self> {
        let started = SystemTime::now().duration_since(UNIX_EPOCH);
        Arc::new(Self {
            shared,
            hub,
            parent: Mutex::default(),
            reports: AtomicU64::new(1),
            incarnation: started.map_or(1, |since| since.as_micros() as u64),
        })
    }

    /// Follows parents for as long as the daemon runs.
    pub async fn follow(self: Arc<Self>) {
        self.learn_floor().await;
        let mut at = rand::random::<u64>() as usize;
        loop {
            let control = &self.shared.cfg.control;
            let address = control[at % control.len()];
            let e = match self.subscribe(address).await {
                Ok(never) => match never {},
                Err(e) => e,
            };
            self.set_parent(None);
            log_event!(LogEvent::ParentLost, parent = address, reason = e);
            at += 1;
            sleep(MAX_WAIT.mul_f64(rand::random())).await;
        }
    }

    /// Asks until a leader has confirmed the version below which this daemon must not start.
    async fn learn_floor(&self) {
        let mut at = rand::random::<u64>() as usize;
        loop {
            let control = &self.shared.cfg.control;
            let address = control[at % control.len()];
            let deadline = Instant::now() + ASK_TIMEOUT;
            let asked = self
                .shared
                .client
                .ask::<_, Floor>("ask floor", address, FLOOR_PATH, &(), deadline)
                .await;
            match asked {
                Ok(Floor::Confirmed(version)) => {
                    log_event!(LogEvent::FloorLearned, version = version, from = address);
                    self.hub.update(|content| content.store.require(version));
                    return;
                }
                Ok(Floor::NotLeader(leader)) => log::debug!("{address} does not lead: {leader:?}"),
                Err(e) => log_event!(LogEvent::NotReady, reason = e),
            }
            at += 1;
            sleep(MAX_WAIT.mul_f64(rand::random())).await;
        }
    }

    async fn subscribe(&self, address: SocketAddr) -> Result<std::convert::Infallible> {
        let (version, positions) = {
            let content = self.hub.content();
            (content.store.version(), content.directory.positions())
        };
        let cfg = &self.shared.cfg;
        let subscribe = Subscribe {
            daemon: cfg.name.clone(),
            data_centre: cfg.data_centre.clone(),
            region: cfg.region.clone(),
            version,
            positions,
        };
        let deadline = Instant::now() + ASK_TIMEOUT;
        let mut frames = self
            .shared
            .client
            .open::<_, Update>("subscribe", address, SUBSCRIBE_PATH, &subscribe, deadline)
            .await?;
        log_event!(LogEvent::ParentChosen, parent = address, version = version);
        self.set_parent(Some(address));
        self.shared.report.notify_one();
        let mut parts = Parts::default();
        let mut counted = 0;
        loop {
            let update = frames.next(Instant::now() + SILENCE).await?;
            let received = frames.received();
            self.shared
                .metrics
                .control_bytes(Link::Parent, Direction::In, received - counted);
            counted = received;
            self.take(update, &mut parts)?;
        }
    }

    /// Applies one update; an error ends the stream, and the next one starts from what is held.
    fn take(&self, update: Update, parts: &mut Parts) -> Result<()> {
        match update {
            Update::Heartbeat(_) => Ok(()),
            Update::Config(part) => {
                let Some(delta) = parts.push(*part)? else {
                    return Ok(());
                };
                let (from, to, full) = (delta.from, delta.to, delta.full);
                let applied = self.hub.update(|content| content.store.apply(&delta));
                if let Err(e) = applied {
                    log_event!(LogEvent::VersionRefused, from = from, to = to, reason = e);
                    return Err(Error::Codec {
                        step: "apply version",
                        reason: e.to_string(),
                    });
                }
                if full || to.0 > from.0 + 1 {
                    log_event!(LogEvent::CatchUp, from = from, to = to, full = full);
                }
                log_event!(LogEvent::VersionApplied, version = to, from = from);
                self.swap_routes();
                Ok(())
            }
            Update::Endpoints(delta) => {
                let now = Instant::now();
                let applied = self
                    .hub
                    .update(|content| content.directory.apply(&delta, now));
                match applied {
                    Ok(_) | Err(SetError::Stale { .. }) => {
                        log_event!(
                            LogEvent::EndpointSetApplied,
                            data_centre = delta.data_centre,
                            epoch = delta.epoch,
                            seq = delta.seq,
                        );
                        self.swap_routes();
                        Ok(())
                    }
                    Err(e) => Err(Error::Codec {
                        step: "apply endpoint set",
                        reason: e.to_string(),
                    }),
                }
            }
        }
    }

    /// Builds the routes of the configuration in force and swaps them as a whole.
    fn swap_routes(&self) {
        let cfg = &self.shared.cfg;
        let here = Location {
            data_centre: cfg.data_centre.clone(),
            region: cfg.region.clone(),
        };
        let snapshot = {
            let content = self.hub.content();
            let Some(config) = content.store.in_force() else {
                return;
            };
            Snapshot::build(Arc::clone(config), content.directory.iter(), here)
        };
        let version = snapshot.config().version;
        let was_ready = self.shared.state().snapshot().is_some();
        self.shared
            .dispatch(None, Event::Routed(Arc::new(snapshot)));
        self.shared.metrics.version(version);
        if !was_ready {
            log_event!(LogEvent::Ready, version = version);
        }
        self.shared.report.notify_one();
    }

    /// Reports each second and at each change.
    pub async fn report_forever(self: Arc<Self>) {
        loop {
            // Both mean that a report is due.
            let _due = timeout(REPORT_INTERVAL, self.shared.report.notified()).await;
            self.report().await;
        }
    }

    /// Sends one report to the parent, if there is one.
    pub async fn report(&self) {
        let Some(address) = self.parent() else {
            return;
        };
        let cfg = &self.shared.cfg;
        let report = Report {
            daemon: cfg.name.clone(),
            data_centre: cfg.data_centre.clone(),
            region: cfg.region.clone(),
            stamp: Stamp {
                incarnation: self.incarnation,
                number: self.reports.fetch_add(1, Ordering::Relaxed),
            },
            in_force: self.in_force(),
            endpoints: self.shared.own_endpoint().into_iter().collect(),
        };
        let deadline = Instant::now() + ASK_TIMEOUT;
        let sent = self
            .shared
            .client
            .ask::<_, ()>("report", address, REPORT_PATH, &report, deadline)
            .await;
        if let Err(e) = sent {
            log::debug!("{e}");
        }
    }

    fn in_force(&self) -> Option<Version> {
        let state = self.shared.state();
        state.snapshot().map(|snapshot| snapshot.config().version)
    }

    fn parent(&self) -> Option<SocketAddr> {
        *self.parent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_parent(&self, parent: Option<SocketAddr>) {
        *self.parent.lock().unwrap_or_else(PoisonError::into_inner) = parent;
    }
}
