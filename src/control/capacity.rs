//! Distribution of grant capacity at the leader of the config group.

use {
    super::tree::ControlTree,
    crate::{
        body::Body,
        capacity::{DemandReports, Root, ShareUpdate},
        daemon::capacity::{open_share_stream, send_shares},
        edits::State,
        model::{DaemonName, Region},
        peer,
        platform::account_burst,
        raft::Role,
        replica::Handle,
        tree_wire::{ChildStreams, DEMAND_PATH, SHARES_PATH},
    },
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    std::{
        collections::HashSet,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::time::sleep,
};

/// Interval at which credits are issued; they are valid for 100 ms.
const TICK: Duration = Duration::from_millis(10);
/// Interval of the checks while no grant with a limited capacity has demand.
const IDLE_TICK: Duration = Duration::from_millis(100);

/// Distribution of grant capacity at one replica of the config group.
#[derive(Debug)]
pub(super) struct ControlCapacity {
    handle: Handle<State>,
    tree: Arc<ControlTree>,
    region: Region,
    /// Term and root of the distribution; `None` while this replica does not lead.
    root: Mutex<Option<(u64, Root)>>,
    streams: ChildStreams,
}

impl ControlCapacity {
    /// Starts the distribution at the replica behind `handle`, which is in `region`.
    pub(super) fn start(
        handle: Handle<State>,
        tree: Arc<ControlTree>,
        region: &Region,
    ) -> Arc<Self> {
        let capacity = Arc::new(Self {
            handle,
            tree,
            region: region.clone(),
            root: Mutex::default(),
            streams: ChildStreams::default(),
        });
        tokio::spawn(Arc::clone(&capacity).tick_forever());
        capacity
    }

    fn root(&self) -> MutexGuard<'_, Option<(u64, Root)>> {
        self.root.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn tick_forever(self: Arc<Self>) {
        loop {
            let in_use = self.root().as_ref().is_some_and(|(_, root)| root.in_use());
            sleep(if in_use { TICK } else { IDLE_TICK }).await;
            self.follow_leadership();
            let now = Instant::now();
            let config = self.tree.config();
            let updates = match &mut *self.root() {
                Some((_, root)) => {
                    if root.config().version != config.version {
                        root.set_config(config, now);
                    }
                    root.tick(now)
                }
                None => Vec::new(),
            };
            send_shares(&self.streams, updates);
        }
    }

    /// Creates the root when this replica becomes the leader of a new term, and drops it when this
    /// replica no longer leads.
    fn follow_leadership(&self) {
        let status = self.handle.status();
        let leads = status.role == Role::Leader;
        let root_term = self.root().as_ref().map(|(term, _)| *term);
        if root_term == leads.then_some(status.term) {
            return;
        }
        let now = Instant::now();
        let new = leads.then(|| {
            let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
            let id = unix_time.map_or(1, |time| time.as_micros() as u64).max(2);
            // Terms start at 1 and have at most one leader each, so term 1 has no earlier root.
            let first_term = status.term == 1;
            let root = Root::new(id, self.tree.config(), &self.regions(), first_term, now)
                .reading_bursts(account_burst);
            (status.term, root)
        });
        *self.root() = new;
        self.streams.close_all();
    }

    /// Returns the own region and those of all announced endpoints.
    fn regions(&self) -> Vec<Region> {
        let own = self.region.clone();
        let known: HashSet<Region> = self.tree.directory(|directory| {
            let regions = directory.iter().map(|endpoint| endpoint.region.clone());
            regions.chain([own]).collect()
        });
        known.into_iter().collect()
    }

    /// Answers a request of a region relay on the peer port.
    pub(super) async fn answer(self: &Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let answered = match req.uri().path() {
            SHARES_PATH => peer::read_message(req).await.map(|req| {
                if self.root().is_none() {
                    return peer::empty_response(StatusCode::SERVICE_UNAVAILABLE);
                }
                let capacity = Arc::clone(self);
                open_share_stream(&self.streams, req, move |child, stream| {
                    capacity.streams.close(child, stream);
                })
            }),
            DEMAND_PATH => peer::read_message(req)
                .await
                .map(|msg| match self.apply_demand(msg) {
                    Some(updates) => {
                        send_shares(&self.streams, updates);
                        peer::message_response(&())
                    }
                    None => peer::empty_response(StatusCode::SERVICE_UNAVAILABLE),
                }),
            _ => Ok(peer::empty_response(StatusCode::NOT_FOUND)),
        };
        answered.unwrap_or_else(|e| {
            log::warn!("request of a region relay rejected: {e}");
            peer::empty_response(StatusCode::BAD_REQUEST)
        })
    }

    /// Applies the demand of a region relay and returns the shares to send; `None` if this replica
    /// does not lead.
    fn apply_demand(&self, demand: DemandReports) -> Option<Vec<(DaemonName, ShareUpdate)>> {
        self.follow_leadership();
        let mut root = self.root();
        let (_, root) = root.as_mut()?;
        Some(root.handle_reports(demand, Instant::now()))
    }
}
