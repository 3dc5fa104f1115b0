//! Settings of `anvilbeam-daemon`.

use {
    super::{
        HumanReadable, Interface, InvalidSetting, Log, Rate, RolloutLimits, Secret, check_limits,
        check_token, resolve_token, validate_name,
    },
    crate::{
        announce::ANNOUNCE_LEASE,
        balance::MAX_REFUSED_PERCENT,
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

/// Default timeout of a call whose headers set none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

/// What sets the pace of a backend server that started or recovered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PaceMode {
    /// The time since then.
    #[default]
    Ramp,
    /// Its answers.
    Answers,
    /// Its answers while the configuration in force has a grant of the kind download, and the time else.
    Auto,
}

/// What the choice among backend servers follows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerSpeedMode {
    /// The latencies and outstanding calls of the daemon itself.
    #[default]
    Ignored,
    /// The speed that the owner daemons measure.
    Measured,
    /// The measured speed while the configuration in force has grants of the kind download.
    Auto,
}

/// Settings of one daemon. With port 0 in a listening address, the system selects the port.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Daemon {
    /// Name, unique in the mesh.
    pub name: DaemonName,
    /// Region that the data centre belongs to.
    pub region: Region,
    /// Data centre of the VM that the daemon runs on.
    pub data_centre: DataCentre,
    /// Listening address for callers, `ip:port`.
    pub caller_address: SocketAddr,
    /// Listening address for the announcements of the backend server, metrics and health checks;
    /// used only from this VM.
    pub local_address: SocketAddr,
    /// Listening address for other processes of the mesh, `ip:port`.
    pub peer_address: SocketAddr,
    /// Peer address announced to other processes; `None` means the listening address.
    pub advertise: Option<SocketAddr>,
    /// Peer addresses of the replicas of the config group.
    pub control: Vec<SocketAddr>,
    /// Peer port of the control replicas, which replaces the ports in `control`; those may belong
    /// to other listeners on the same VMs. `None` keeps the ports in `control`.
    pub control_port: Option<u16>,
    /// Additional listening address for health and readiness checks; `None` means that only the
    /// local address answers them.
    pub ready_address: Option<SocketAddr>,
    /// Interface offered to callers, the backend server and the platform.
    #[serde(default)]
    pub interface: Interface,
    /// Service of the backend server beside the daemon, until an announcement names it; calls that
    /// originate here carry it as the calling service.
    pub service: Option<ServiceName>,
    /// Lease of an announcement: time after which it lapses unless it is renewed.
    #[serde_as(as = "HumanReadable")]
    #[serde(default = "default_announce_lease")]
    pub announce_lease: Duration,
    /// Maximum size in bytes of a request body that is buffered for retries.
    #[serde_as(as = "HumanReadable")]
    #[serde(default = "default_replay_limit")]
    pub replay_limit: u64,
    /// Rate of the link to other VMs in bytes per second, written such as `7.5Mbit/s`. `None` means
    /// that large answers are neither limited nor paced.
    #[serde_as(as = "Option<Rate>")]
    #[serde(default)]
    pub link_rate: Option<u64>,
    /// Maximum duration of a shutdown; with `None`, the wait for calls in flight may take minutes.
    #[serde_as(as = "Option<HumanReadable>")]
    #[serde(default)]
    pub grace: Option<Duration>,
    /// Peer addresses of the replicas of each region's claims group.
    #[serde(default)]
    pub claims: IndexMap<Region, Vec<SocketAddr>>,
    /// Token that authenticates a process as a member of the mesh.
    pub mesh_token: Option<Secret>,
    /// File that holds the token, relative to the settings file.
    pub mesh_token_file: Option<PathBuf>,
    /// Timeout of a call whose headers set none.
    #[serde_as(as = "HumanReadable")]
    #[serde(default = "default_timeout")]
    pub default_timeout: Duration,
    /// Limits of rollouts; `None` if there are no rollouts.
    pub rollouts: Option<RolloutLimits>,
    /// Memory of the VM in bytes that the process may use; a quarter of it may be held for others.
    #[serde_as(as = "HumanReadable")]
    #[serde(default = "super::default_memory_limit")]
    pub memory_limit: u64,
    /// Maximum number of open descriptors of the process; its ports share them.
    #[serde(default = "super::default_max_descriptors")]
    pub max_descriptors: u64,
    /// Whether a daemon that is out of contact refuses the keys of accounts that it knows, since they may
    /// have been revoked; otherwise it serves them.
    #[serde(default)]
    pub strict_revocation: bool,
    /// What sets the pace of a backend server that started or recovered.
    #[serde(default)]
    pub pace: PaceMode,
    /// What the choice among backend servers follows.
    #[serde(default)]
    pub server_speed: ServerSpeedMode,
    /// Percentage of the arrivals for a service that its backend servers may refuse before calls are
    /// rejected unsent, under a configuration with downloads; 100 rejects none.
    #[serde(default = "default_max_refused_percent")]
    pub max_refused_percent: u32,
    /// Log level and log format.
    #[serde(default)]
    pub log: Log,
}

const fn default_max_refused_percent() -> u32 {
    MAX_REFUSED_PERCENT
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
        super::load(path, Self::resolve_and_check)
    }

    /// Like [`Self::load`], with a mesh token that does not come from the settings.
    ///
    /// # Errors
    /// Like [`Self::load`].
    pub fn load_with_token(path: &Path, token: Secret) -> Result<Self> {
        super::load(path, |cfg: &mut Self, folder| {
            cfg.mesh_token = Some(token);
            cfg.resolve_and_check(folder)
        })
    }

    /// Parses and checks `text` as the content of the file at `path`.
    ///
    /// # Errors
    /// Like [`Self::load`].
    pub fn parse(path: &Path, text: &str) -> Result<Self> {
        super::parse(path, text, Self::resolve_and_check)
    }

    /// Returns the mesh token; empty before [`Self::load`] has read it.
    pub fn token(&self) -> &str {
        self.mesh_token.as_ref().map_or("", Secret::reveal)
    }

    /// Applies `control_port`, reads the token file and checks the result.
    fn resolve_and_check(&mut self, folder: &Path) -> std::result::Result<(), InvalidSetting> {
        if let Some(port) = self.control_port {
            self.control
                .iter_mut()
                .for_each(|address| address.set_port(port));
        }
        resolve_token(
            &mut self.mesh_token,
            self.mesh_token_file.as_deref(),
            folder,
        )?;
        self.check()
    }

    /// Checks each setting and that the settings fit together.
    ///
    /// # Errors
    /// The first invalid setting.
    pub fn check(&self) -> std::result::Result<(), InvalidSetting> {
        validate_name("name", self.name.as_str())?;
        validate_name("region", self.region.as_str())?;
        validate_name("data_centre", self.data_centre.as_str())?;
        check_token(self.mesh_token.as_ref())?;
        if let Some(limits) = &self.rollouts {
            limits.check()?;
        }
        check_limits(self.memory_limit, self.max_descriptors)?;
        if !(1..=100).contains(&self.max_refused_percent) {
            let reason = format!("{} is not from 1 to 100", self.max_refused_percent);
            return Err(InvalidSetting::new("max_refused_percent", reason));
        }
        self.check_listen_addresses()?;
        if self.control.is_empty() {
            let reason = "is empty; name the peer addresses of the config group";
            return Err(InvalidSetting::new("control", reason));
        }
        check_peers("control", &self.control)?;
        for (region, peers) in &self.claims {
            validate_name("claims", region.as_str())?;
            if peers.is_empty() {
                let reason = format!("region {region} has no addresses");
                return Err(InvalidSetting::new("claims", reason));
            }
            check_peers("claims", peers)?;
        }
        Ok(())
    }

    fn check_listen_addresses(&self) -> std::result::Result<(), InvalidSetting> {
        let addresses = [
            ("caller_address", self.caller_address),
            ("local_address", self.local_address),
            ("peer_address", self.peer_address),
        ];
        for (index, (key, address)) in addresses.iter().enumerate() {
            let duplicate = addresses[..index]
                .iter()
                .find(|(_, other)| address.port() != 0 && other == address);
            if let Some((other, _)) = duplicate {
                return Err(InvalidSetting::new(
                    key,
                    format!("{address} is also {other}"),
                ));
            }
        }
        if self.peer_address.ip().is_unspecified() && self.advertise.is_none() {
            let reason = format!(
                "other processes cannot connect to {}; set advertise",
                self.peer_address
            );
            return Err(InvalidSetting::new("peer_address", reason));
        }
        let connectable =
            |address: SocketAddr| address.port() != 0 && !address.ip().is_unspecified();
        if let Some(address) = self.advertise.filter(|address| !connectable(*address)) {
            let reason = format!("{address} is not an address that other processes can connect to");
            return Err(InvalidSetting::new("advertise", reason));
        }
        Ok(())
    }
}

/// Checks that each address can be connected to and that none is listed twice.
pub(super) fn check_peers(
    key: &'static str,
    peers: &[SocketAddr],
) -> std::result::Result<(), InvalidSetting> {
    for (index, peer) in peers.iter().enumerate() {
        if peer.port() == 0 || peer.ip().is_unspecified() {
            let reason = format!("{peer} is not an address to connect to");
            return Err(InvalidSetting::new(key, reason));
        }
        if peers[..index].contains(peer) {
            return Err(InvalidSetting::new(key, format!("{peer} is named twice")));
        }
    }
    Ok(())
}
