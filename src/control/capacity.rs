//! The capacity of grants at the leader of the config group.

use {
    super::tree::ControlTree,
    crate::{
        body::Body,
        capacity::{DemandReports, Root, ShareUpdate},
        daemon::capacity::{open_share_stream, send_shares},
        edits::State,
        model::{DaemonName, Region},
        peer,
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
    tokio::time::{MissedTickBehavior, interval},
};

/// Interval at which credits are lent; they are valid for 100 ms.
const TICK: Duration = Duration::from_millis(10);

/// Capacity of grants at one replica of the config group.
#[derive(Debug)]
pub(super) struct ControlCapacity {
    handle: Handle<State>,
    tree: Arc<ControlTree>,
    region: Region,
    /// Term and state while this replica leads.
    root: Mutex<Option<(u64, Root)>>,
    streams: ChildStreams,
}

impl ControlCapacity {
    /// The capacity at the replica behind `handle`, which is in `region`.
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
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.follow_leadership();
            let now = Instant::now();
            let config = self.tree.config();
            let gives = match &mut *self.root() {
                Some((_, root)) => {
                    if root.config().version != config.version {
                        root.set_config(config, now);
                    }
                    root.tick(now)
                }
                None => Vec::new(),
            };
            send_shares(&self.streams, gives);
        }
    }

    /// Starts with a new term, and ends when the replica no longer leads.
    fn follow_leadership(&self) {
        let status = self.handle.status();
        let leads = status.role == Role::Leader;
        let held = self.root().as_ref().map(|(term, _)| *term);
        if held == leads.then_some(status.term) {
            return;
        }
        let now = Instant::now();
        let new = leads.then(|| {
            let since = SystemTime::now().duration_since(UNIX_EPOCH);
            let id = since.map_or(1, |since| since.as_micros() as u64).max(2);
            // Terms count from 1, and each has at most one leader.
            let first = status.term == 1;
            let root = Root::new(id, self.tree.config(), &self.regions(), first, now);
            (status.term, root)
        });
        *self.root() = new;
        self.streams.close_all();
    }

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
                let closing = Arc::clone(self);
                open_share_stream(&self.streams, req, move |child, stream| {
                    closing.streams.close(child, stream);
                })
            }),
            DEMAND_PATH => {
                peer::read_message(req)
                    .await
                    .map(|asks| match self.handle_reports(asks) {
                        Some(gives) => {
                            send_shares(&self.streams, gives);
                            peer::message_response(&())
                        }
                        None => peer::empty_response(StatusCode::SERVICE_UNAVAILABLE),
                    })
            }
            _ => Ok(peer::empty_response(StatusCode::NOT_FOUND)),
        };
        answered.unwrap_or_else(|e| {
            log::warn!("demand of a region refused: {e}");
            peer::empty_response(StatusCode::BAD_REQUEST)
        })
    }

    /// Answers to the reports of a region relay; `None` when this replica does not lead.
    fn handle_reports(&self, asks: DemandReports) -> Option<Vec<(DaemonName, ShareUpdate)>> {
        self.follow_leadership();
        let mut root = self.root();
        let (_, root) = root.as_mut()?;
        Some(root.handle_reports(asks, Instant::now()))
    }
}
