//! A control process: one replica of a config group or of a claims group.

mod capacity;
mod claims;
mod conduct;
mod config;
mod election;
mod health;
mod identity;
mod joining;
mod members;
mod membership;
mod operators;
mod replace;
mod replication;
mod rollout_operators;
mod rollouts;
mod tree;

#[cfg(test)]
mod tests;

use {
    crate::{
        body::Body,
        error::{Error, Result},
        events::Event,
        log_event,
        memory::{Budget, Port},
        peer::{self, Client},
        replica::{Handle, Options},
        serve::{self, STREAM_WINDOW, Server},
        settings::{self, Group},
    },
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    std::{
        fmt,
        net::SocketAddr,
        sync::{Arc, OnceLock},
        thread::JoinHandle,
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, time::timeout_at},
};

pub use {
    config::ConfigReplica,
    identity::{IDENTITY_PATH, Identity},
    replace::{ReplaceError, ReplaceOutcome, Replacement},
    replication::RAFT_PATH,
    rollouts::OrderOutcome,
    tree::ControlTree,
};

/// Grace period for operators' requests in flight at shutdown.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(2);

/// Listening sockets of a control process, bound before it starts.
#[derive(Debug)]
pub struct Listeners {
    /// Listener of the peer port.
    pub peer: TcpListener,
    /// Listener of the operator port; `None` if the settings give no address for it.
    pub operators: Option<TcpListener>,
}

impl Listeners {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    /// [`Error::Bind`] with the address that cannot be bound.
    pub async fn bind(cfg: &settings::Control) -> Result<Self> {
        let operators = match cfg.operator_address {
            Some(address) => Some(serve::bind(address).await?),
            None => None,
        };
        Ok(Self {
            peer: serve::bind(cfg.peer_address).await?,
            operators,
        })
    }
}

/// Replica of a control process, by the kind of its group.
#[derive(Clone, Debug)]
enum Replica {
    Config(Arc<ConfigReplica>),
    Claims(Handle<crate::claims::Claims>),
}

impl Replica {
    fn members(&self) -> Vec<crate::raft::Member> {
        match self {
            Self::Config(replica) => replica.handle.members(),
            Self::Claims(handle) => handle.members(),
        }
    }

    fn stop(&self) {
        match self {
            Self::Config(replica) => replica.handle.stop(),
            Self::Claims(handle) => handle.stop(),
        }
    }
}

/// Handler of the peer port. `replica` is set once the group is bootstrapped and the replica has
/// started; until then, all requests but those for the identity are answered with 503.
#[derive(Debug)]
struct PeerPort {
    identity: Identity,
    client: Client,
    replica: OnceLock<Replica>,
}

impl PeerPort {
    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        if req.uri().path() == IDENTITY_PATH {
            let mut identity = self.identity.clone();
            if let Some(replica) = self.replica.get() {
                identity.members = replica.members().iter().map(|member| member.id).collect();
            }
            return peer::message_response(&identity);
        }
        match self.replica.get() {
            Some(Replica::Config(replica)) => replica.answer_peer(req).await,
            Some(Replica::Claims(handle)) => claims::answer_peer(handle, &self.client, req).await,
            None => peer::empty_response(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}

/// A running control process.
pub struct Control {
    replica: Replica,
    peer: Server,
    operators: Option<Server>,
    thread: JoinHandle<Result<()>>,
}

impl fmt::Debug for Control {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Control")
            .field("peer", &self.peer)
            .finish_non_exhaustive()
    }
}

impl Control {
    /// Starts a replica. With `bootstrap`, it first creates its group together with the replicas
    /// that the settings name, unless its data folder already belongs to a group.
    ///
    /// # Errors
    /// The data folder cannot be used, or the group cannot be created.
    pub async fn start(
        cfg: settings::Control,
        listeners: Listeners,
        bootstrap: bool,
    ) -> Result<Self> {
        let address = local_address(&listeners.peer, cfg.peer_address)?;
        let (id, in_group) = identity::open_or_create(&cfg.data_folder)?;
        let client = Client::new(cfg.token())?;
        let operator_address = listeners
            .operators
            .as_ref()
            .and_then(|listener| listener.local_addr().ok());
        let port = Arc::new(PeerPort {
            identity: Identity {
                id,
                name: cfg.name.clone(),
                members: Vec::new(),
                operator_address,
            },
            client: client.clone(),
            replica: OnceLock::new(),
        });
        let memory = Budget::new(cfg.memory_limit, cfg.max_descriptors);
        let connections = Some(memory.connections(Port::Peers));
        // Served before the bootstrap: replicas that create a group ask each other for their
        // identities.
        let served_port = Arc::clone(&port);
        let handler = move |req| {
            let port = Arc::clone(&served_port);
            async move { port.answer(req).await }
        };
        let (token, window) = (cfg.token(), STREAM_WINDOW);
        let peer = peer::serve_peers_within(listeners.peer, token, window, connections, handler)?;
        let is_seed = cfg.first_start && cfg.seeds.contains(&address);
        if !in_group && is_seed {
            identity::bootstrap_with_seeds(&cfg, &client, id, address).await?;
        } else if bootstrap && !in_group {
            identity::bootstrap(&cfg, &client, id, address).await?;
        }
        let options = replica_options(&cfg, address);
        log_event!(
            Event::Started,
            program = "anvilbeam-control",
            name = cfg.name,
            group = cfg.group,
            id = id,
            peer_address = address,
            operator_address = operator_address.map_or_else(String::new, |a| a.to_string()),
        );
        let (replica, thread) = start_replica(cfg, options, client, memory)?;
        let operators = match (&replica, listeners.operators) {
            (Replica::Config(replica), Some(listener)) => Some(serve_operators(replica, listener)),
            _ => None,
        };
        if let Replica::Config(replica) = &replica
            && !replica.cfg.seeds.is_empty()
        {
            tokio::spawn(joining::maintain_membership(Arc::clone(replica), address));
        }
        // Cannot fail, since the cell is set only here.
        drop(port.replica.set(replica.clone()));
        Ok(Self {
            replica,
            peer,
            operators,
            thread,
        })
    }

    /// Returns the address of the peer port.
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer.address()
    }

    /// Returns the address of the operator port; `None` if there is none.
    pub fn operator_address(&self) -> Option<SocketAddr> {
        self.operators.as_ref().map(Server::address)
    }

    /// Returns the distribution tree; `None` for a replica of a claims group.
    pub fn tree(&self) -> Option<&ControlTree> {
        match &self.replica {
            Replica::Config(replica) => Some(&replica.tree),
            Replica::Claims(_) => None,
        }
    }

    /// Returns whether the replica has stopped on its own, as it does after a disk error.
    pub fn has_stopped(&self) -> bool {
        self.thread.is_finished()
    }

    /// Shuts down without a deadline; see [`Self::stop_by`].
    ///
    /// # Errors
    /// Like [`Self::stop_by`].
    pub async fn stop(self) -> Result<()> {
        self.stop_by(None).await
    }

    /// Shuts down: operators' requests in flight get 2 s, connections of the peer port are closed
    /// immediately. After `deadline` it no longer waits for the thread of the replica, which may be
    /// syncing; nothing that it has not synced was acknowledged.
    ///
    /// # Errors
    /// The error that ended the replica thread, or [`Error::Codec`] if it panicked.
    pub async fn stop_by(self, deadline: Option<Instant>) -> Result<()> {
        if let Replica::Config(replica) = &self.replica
            && !replica.cfg.seeds.is_empty()
        {
            joining::leave(replica).await;
        }
        let grace_end = Instant::now() + SHUTDOWN_GRACE;
        if let Some(operators) = self.operators {
            let operators_by = deadline.map_or(grace_end, |deadline| deadline.min(grace_end));
            operators.shutdown(operators_by).await;
        }
        self.replica.stop();
        // No grace period, since streams to children do not end on their own.
        self.peer.shutdown(Instant::now()).await;
        let thread = self.thread;
        let joining = tokio::task::spawn_blocking(move || thread.join());
        let joined = match deadline {
            None => joining.await,
            Some(deadline) => match timeout_at(deadline.into(), joining).await {
                Ok(joined) => joined,
                Err(_elapsed) => {
                    log_event!(Event::StopCut, reason = "the disk does not answer");
                    return Ok(());
                }
            },
        };
        let Ok(Ok(done)) = joined else {
            return Err(Error::Codec {
                step: "stop replica",
                reason: "the replica thread panicked".to_owned(),
            });
        };
        done
    }
}

fn replica_options(cfg: &settings::Control, address: SocketAddr) -> Options {
    let mut options = Options::new(&cfg.name, address, cfg.data_folder.clone());
    options.wal.segment_bytes = cfg.segment_size;
    options.raft = cfg.raft();
    options
}

fn start_replica(
    cfg: settings::Control,
    options: Options,
    client: Client,
    memory: Arc<Budget>,
) -> Result<(Replica, JoinHandle<Result<()>>)> {
    match cfg.group {
        Group::Config => {
            let (replica, thread) = ConfigReplica::start(cfg, options, client, memory)?;
            Ok((Replica::Config(replica), thread))
        }
        Group::Claims => {
            let (handle, thread) = claims::start(options, client)?;
            Ok((Replica::Claims(handle), thread))
        }
    }
}

fn serve_operators(replica: &Arc<ConfigReplica>, listener: TcpListener) -> Server {
    let router = operators::router(replica);
    let connections = replica.memory.connections(Port::Operators);
    serve::serve_limited(listener, STREAM_WINDOW, connections, move |req, peer| {
        serve::handle_with_gotham(router.clone(), req, peer)
    })
}

fn local_address(listener: &TcpListener, configured: SocketAddr) -> Result<SocketAddr> {
    listener.local_addr().map_err(|source| Error::Bind {
        address: configured,
        source,
    })
}
