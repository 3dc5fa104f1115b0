//! Settings of `anvilbeam-daemon`.

use {
    super::{Human, Interface, Log, Secret, TreeShape, Wrong, check_token, named, take_token},
    crate::{
        announce::ANNOUNCE_LEASE,
        call::MAX_REPLAY_BYTES,
        error::Result,
        model::{DaemonName, DataCentre, Region, ServiceName},
    },
    indexmap::IndexMap,
    serde::Deserialize,
    serde_with::serde_as,
    std::{
        net::SocketAddr,
        path::{Path, PathBuf},
        time::Duration,
    },
};

/// Time limit of a call that brings none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings of one daemon. A listening address may have port 0; the system then selects the port.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Daemon {
    /// Name, unique in the mesh.
    pub name: DaemonName,
    /// Region of the data centre.
    pub region: Region,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Where callers connect, `ip:port`.
    pub caller_address: SocketAddr,
    /// Where the backend server announces itself, with metrics and health; for this VM only.
    pub local_address: SocketAddr,
    /// Where other processes of the mesh connect, `ip:port`.
    pub peer_address: SocketAddr,
    /// Peer address given to others, when it differs from the bound one.
    pub advertise: Option<SocketAddr>,
    /// Peer addresses of the config group.
    pub control: Vec<SocketAddr>,
    /// Peer port of the control replicas, where `control` names other addresses on their VMs.
    pub control_port: Option<u16>,
    /// Address for health and readiness questions besides the local address.
    pub ready_address: Option<SocketAddr>,
    /// What callers, the backend server and the platform speak.
    #[serde(default)]
    pub interface: Interface,
    /// Service of the backend server beside the daemon; calls that begin here carry its name.
    pub service: Option<ServiceName>,
    /// Whether versions come through relays or from control directly.
    #[serde(default)]
    pub tree: TreeShape,
    /// Time for which an announcement is valid.
    #[serde_as(as = "Human")]
    #[serde(default = "default_announce_lease")]
    pub announce_lease: Duration,
    /// Largest body in bytes that is kept so that a request can be sent again.
    #[serde_as(as = "Human")]
    #[serde(default = "default_replay_limit")]
    pub replay_limit: u64,
    /// Longest shutdown; without it, calls in flight may take minutes.
    #[serde_as(as = "Option<Human>")]
    #[serde(default)]
    pub grace: Option<Duration>,
    /// Peer addresses of the claims group of each region.
    #[serde(default)]
    pub claims: IndexMap<Region, Vec<SocketAddr>>,
    /// Token that proves that a process belongs to the mesh.
    pub mesh_token: Option<Secret>,
    /// File that holds the token, relative to the settings file.
    pub mesh_token_file: Option<PathBuf>,
    /// Time limit of a call that brings none.
    #[serde_as(as = "Human")]
    #[serde(default = "default_timeout")]
    pub default_timeout: Duration,
    /// Logging.
    #[serde(default)]
    pub log: Log,
}

const fn default_announce_lease() -> Duration {
    ANNOUNCE_LEASE
}

const fn default_replay_limit() -> u64 {
    MAX_REPLAY_BYTES
}

const fn default_timeout() -> Duration {
    DEFAULT_TIMEOUT
}

impl Daemon {
    /// Reads, parses and checks the file at `path`, and reads the token file that it names.
    ///
    /// # Errors
    /// The file cannot be read, is too large, or holds a value that is not allowed; the error names
    /// file, line and key.
    pub fn load(path: &Path) -> Result<Self> {
        super::load(path, Self::finish)
    }

    /// Like [`Self::load`], for settings that hold no mesh token.
    ///
    /// # Errors
    /// Like [`Self::load`].
    pub fn load_with_token(path: &Path, token: Secret) -> Result<Self> {
        super::load(path, |cfg: &mut Self, folder| {
            cfg.mesh_token = Some(token);
            cfg.finish(folder)
        })
    }

    /// Parses and checks `text` as if it stood in the file at `path`.
    ///
    /// # Errors
    /// As [`Self::load`].
    pub fn parse(path: &Path, text: &str) -> Result<Self> {
        super::parse(path, text, Self::finish)
    }

    /// The mesh token; empty before [`Self::load`] has read it.
    pub fn token(&self) -> &str {
        self.mesh_token.as_ref().map_or("", Secret::reveal)
    }

    fn finish(&mut self, folder: &Path) -> std::result::Result<(), Wrong> {
        if let Some(port) = self.control_port {
            self.control.iter_mut().for_each(|at| at.set_port(port));
        }
        take_token(
            &mut self.mesh_token,
            self.mesh_token_file.as_deref(),
            folder,
        )?;
        self.check()
    }

    /// Checks that the settings fit together.
    ///
    /// # Errors
    /// The first setting that does not.
    pub fn check(&self) -> std::result::Result<(), Wrong> {
        named("name", self.name.as_str())?;
        named("region", self.region.as_str())?;
        named("data_centre", self.data_centre.as_str())?;
        check_token(self.mesh_token.as_ref())?;
        self.check_listening()?;
        if self.control.is_empty() {
            let reason = "is empty; name the peer addresses of the config group";
            return Err(Wrong::new("control", reason));
        }
        check_peers("control", &self.control)?;
        for (region, peers) in &self.claims {
            named("claims", region.as_str())?;
            if peers.is_empty() {
                let reason = format!("region {region} has no addresses");
                return Err(Wrong::new("claims", reason));
            }
            check_peers("claims", peers)?;
        }
        Ok(())
    }

    fn check_listening(&self) -> std::result::Result<(), Wrong> {
        let addresses = [
            ("caller_address", self.caller_address),
            ("local_address", self.local_address),
            ("peer_address", self.peer_address),
        ];
        for (index, (key, address)) in addresses.iter().enumerate() {
            let twice = addresses[..index]
                .iter()
                .find(|(_, other)| address.port() != 0 && other == address);
            if let Some((other, _)) = twice {
                return Err(Wrong::new(key, format!("{address} is also {other}")));
            }
        }
        if self.peer_address.ip().is_unspecified() && self.advertise.is_none() {
            let reason = format!(
                "{} names no address that others can use; set advertise",
                self.peer_address
            );
            return Err(Wrong::new("peer_address", reason));
        }
        let usable = |address: SocketAddr| address.port() != 0 && !address.ip().is_unspecified();
        if let Some(address) = self.advertise.filter(|address| !usable(*address)) {
            let reason = format!("{address} is not an address that others can use");
            return Err(Wrong::new("advertise", reason));
        }
        Ok(())
    }
}

/// Checks that each address can be connected to, and that none is named twice.
pub(super) fn check_peers(
    key: &'static str,
    peers: &[SocketAddr],
) -> std::result::Result<(), Wrong> {
    for (index, peer) in peers.iter().enumerate() {
        if peer.port() == 0 || peer.ip().is_unspecified() {
            let reason = format!("{peer} is not an address to connect to");
            return Err(Wrong::new(key, reason));
        }
        if peers[..index].contains(peer) {
            return Err(Wrong::new(key, format!("{peer} is named twice")));
        }
    }
    Ok(())
}
