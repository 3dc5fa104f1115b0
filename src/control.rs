//! A control process: one replica of a config group or of a claims group.

mod capacity;
mod claims;
mod config;
mod health;
mod identity;
mod joining;
mod members;
mod operators;
mod replace;
mod replication;
mod tree;

#[cfg(test)]
mod tests;

use {
    crate::{
        body::Body,
        error::{Error, Result},
        events::Event,
        log_event,
        peer::{self, Client},
        replica::{Handle, Options},
        serve::{self, Server},
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
    tokio::net::TcpListener,
};

pub use {
    config::ConfigReplica,
    identity::{IDENTITY_PATH, Identity},
    replace::{ReplaceError, Replaced, Replacement},
    replication::RAFT_PATH,
    tree::ControlTree,
};

/// Time that a shutdown gives to requests in flight.
const SHUTDOWN_TIME: Duration = Duration::from_secs(2);

/// Sockets of a control process, bound before it starts.
#[derive(Debug)]
pub struct Listeners {
    /// Peer port.
    pub peer: TcpListener,
    /// Operator port of the config group.
    pub operators: Option<TcpListener>,
}

impl Listeners {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    /// [`Error::Bind`] with the address.
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

/// The replica of a control process.
#[derive(Clone, Debug)]
enum Role {
    Config(Arc<ConfigReplica>),
    Claims(Handle<crate::claims::Claims>),
}

impl Role {
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

/// What the peer port needs; the role is there once the group is founded.
#[derive(Debug)]
struct PeerPort {
    identity: Identity,
    client: Client,
    role: OnceLock<Role>,
}

impl PeerPort {
    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        if req.uri().path() == IDENTITY_PATH {
            let mut identity = self.identity.clone();
            if let Some(role) = self.role.get() {
                identity.members = role.members().iter().map(|member| member.id).collect();
            }
            return peer::message_response(&identity);
        }
        match self.role.get() {
            Some(Role::Config(replica)) => replica.handle_peer(req).await,
            Some(Role::Claims(handle)) => claims::handle(handle, &self.client, req).await,
            None => peer::empty_response(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}

/// A running control process.
pub struct Control {
    role: Role,
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
    /// Starts a replica; with `bootstrap` it founds its group together with the replicas that the
    /// settings name, unless its data folder belongs to a group already.
    ///
    /// # Errors
    /// The data folder cannot be used, or the group cannot be founded.
    pub async fn start(
        cfg: settings::Control,
        listeners: Listeners,
        bootstrap: bool,
    ) -> Result<Self> {
        let address = local_address(&listeners.peer, cfg.peer_address)?;
        let (id, joined) = identity::of_folder(&cfg.data_folder)?;
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
            role: OnceLock::new(),
        });
        // The others ask for the identity while this replica asks for theirs.
        let answering = Arc::clone(&port);
        let peer = peer::serve_peers(listeners.peer, cfg.token(), move |req| {
            let port = Arc::clone(&answering);
            async move { port.handle(req).await }
        })?;
        let seeds = cfg.first_start && cfg.seeds.contains(&address);
        if !joined && seeds {
            identity::found_with_seeds(&cfg, &client, id, address).await?;
        } else if bootstrap && !joined {
            identity::found(&cfg, &client, id, address).await?;
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
        let (role, thread) = start_role(cfg, options, client)?;
        let operators = match (&role, listeners.operators) {
            (Role::Config(replica), Some(listener)) => Some(serve_operators(replica, listener)),
            _ => None,
        };
        if let Role::Config(replica) = &role
            && !replica.cfg.seeds.is_empty()
        {
            tokio::spawn(joining::keep_membership(Arc::clone(replica), address));
        }
        // Only this function sets the role.
        drop(port.role.set(role.clone()));
        Ok(Self {
            role,
            peer,
            operators,
            thread,
        })
    }

    /// Address of the peer port.
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer.address()
    }

    /// Address of the operator port.
    pub fn operator_address(&self) -> Option<SocketAddr> {
        self.operators.as_ref().map(Server::address)
    }

    /// Distribution tree of a replica of the config group.
    pub fn tree(&self) -> Option<&ControlTree> {
        match &self.role {
            Role::Config(replica) => Some(&replica.tree),
            Role::Claims(_) => None,
        }
    }

    /// Whether the replica has stopped by itself, which it does when its disk fails.
    pub fn has_stopped(&self) -> bool {
        self.thread.is_finished()
    }

    /// Stops gracefully.
    ///
    /// # Errors
    /// The error that stopped the replica before.
    pub async fn stop(self) -> Result<()> {
        let deadline = Instant::now() + SHUTDOWN_TIME;
        if let Some(operators) = self.operators {
            operators.shutdown(deadline).await;
        }
        self.role.stop();
        // Streams to children never end by themselves.
        self.peer.shutdown(Instant::now()).await;
        let joined = tokio::task::spawn_blocking(move || self.thread.join()).await;
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

fn start_role(
    cfg: settings::Control,
    options: Options,
    client: Client,
) -> Result<(Role, JoinHandle<Result<()>>)> {
    match cfg.group {
        Group::Config => {
            let (replica, thread) = ConfigReplica::start(cfg, options, client)?;
            Ok((Role::Config(replica), thread))
        }
        Group::Claims => {
            let (handle, thread) = claims::start(options, client)?;
            Ok((Role::Claims(handle), thread))
        }
    }
}

fn serve_operators(replica: &Arc<ConfigReplica>, listener: TcpListener) -> Server {
    let router = operators::router(replica);
    serve::serve(listener, move |req, peer| {
        serve::handle_with_gotham(router.clone(), req, peer)
    })
}

fn local_address(listener: &TcpListener, configured: SocketAddr) -> Result<SocketAddr> {
    listener.local_addr().map_err(|source| Error::Bind {
        address: configured,
        source,
    })
}
