//! A replica of the config group, which stores the two lists and distributes their versions.

use {
    super::{
        capacity::ControlCapacity,
        conduct::ControlRollouts,
        members::{MEMBERS_PATH, answer_members},
        replication,
        tree::ControlTree,
    },
    crate::{
        body::Body,
        daemon::rollouts::{self, ROLLOUTS_PATH},
        edits::{self, State},
        error::Result,
        memory::Budget,
        peer::Client,
        relays::Member,
        replica::{self, Handle, Options, StateMachine},
        settings,
        tree_wire::{DEMAND_PATH, SHARES_PATH},
    },
    http::{Request, Response},
    hyper::body::Incoming,
    std::{sync::Arc, thread::JoinHandle, time::Instant},
};

/// One replica of the config group.
#[derive(Debug)]
pub struct ConfigReplica {
    /// Settings of the process.
    pub cfg: settings::Control,
    /// Client for requests to other processes.
    pub client: Client,
    /// Memory and connections held for others.
    pub memory: Arc<Budget>,
    /// Handle of the replicated log.
    pub handle: Handle<State>,
    /// Distribution tree.
    pub tree: Arc<ControlTree>,
    /// Distribution of grant capacity.
    capacity: Arc<ControlCapacity>,
    /// Rollouts; `None` without the setting.
    pub(super) rollouts: Option<Arc<ControlRollouts>>,
    /// Time at which the process started.
    pub started: Instant,
}

impl ConfigReplica {
    /// Starts the replica on its data folder, with its distribution tasks.
    pub(super) fn start(
        cfg: settings::Control,
        options: Options,
        client: Client,
        memory: Arc<Budget>,
    ) -> Result<(Arc<Self>, JoinHandle<Result<()>>)> {
        let machine = StateMachine {
            state: State::default(),
            apply: edits::apply,
            snapshot: edits::snapshot,
            restore: edits::restore,
        };
        let member = Member {
            daemon: cfg.name.as_str().into(),
            address: options.address,
            data_centre: cfg.data_centre.clone(),
            region: cfg.region.clone(),
        };
        let (handle, thread) =
            replica::start(options, machine, replication::sender(client.clone()))?;
        let tree = ControlTree::start(handle.clone(), client.clone(), member, &memory);
        let replica = Arc::new(Self {
            capacity: ControlCapacity::start(handle.clone(), Arc::clone(&tree), &cfg.region),
            rollouts: cfg.rollouts.map(|limits| {
                let (handle, tree) = (handle.clone(), Arc::clone(&tree));
                ControlRollouts::start(handle, tree, client.clone(), &cfg.name, limits)
            }),
            started: Instant::now(),
            cfg,
            client,
            memory,
            tree,
            handle,
        });
        Ok((replica, thread))
    }

    /// Returns the number of voters that the losses to be tolerated require.
    pub(super) const fn required_voters(&self) -> usize {
        2 * self.cfg.tolerated_losses + 1
    }

    /// Answers one request on the peer port.
    pub(super) async fn answer_peer(&self, req: Request<Incoming>) -> Response<Body> {
        match req.uri().path() {
            ROLLOUTS_PATH if let Some(rollouts) = &self.rollouts => {
                rollouts::answer(&rollouts.link, req).await
            }
            DEMAND_PATH | SHARES_PATH => self.capacity.answer(req).await,
            super::RAFT_PATH => replication::receive(&self.handle, req).await,
            MEMBERS_PATH => answer_members(&self.handle, &self.client, req).await,
            _ => self.tree.answer(req).await,
        }
    }
}
