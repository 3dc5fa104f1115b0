//! A replica of the config group: keeps the two lists and distributes their versions.

use {
    super::{replication, tree::ControlTree},
    crate::{
        body::Body,
        edits::{self, State},
        error::Result,
        peer::Client,
        replica::{self, Handle, Machine, Options},
        settings,
    },
    http::{Request, Response},
    hyper::body::Incoming,
    std::{sync::Arc, thread::JoinHandle},
};

/// One replica of the config group.
#[derive(Debug)]
pub struct ConfigReplica {
    /// Settings of the process.
    pub cfg: settings::Control,
    /// Connections to other processes.
    pub client: Client,
    /// The replicated log.
    pub handle: Handle<State>,
    /// The distribution tree.
    pub tree: Arc<ControlTree>,
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
        let replica = Arc::new(Self {
            cfg,
            client,
            tree: ControlTree::start(handle.clone()),
            handle,
        });
        Ok((replica, thread))
    }

    /// Answers one request on the peer port.
    pub(super) async fn handle_peer(&self, req: Request<Incoming>) -> Response<Body> {
        match req.uri().path() {
            super::RAFT_PATH => replication::receive(&self.handle, req).await,
            _ => self.tree.answer(req).await,
        }
    }
}
