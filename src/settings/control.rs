//! Settings of `anvilbeam-control`.

use {
    super::{
        HumanReadable, Interface, InvalidSetting, Log, RolloutLimits, Secret, check_limits,
        check_token, resolve_token, validate_name,
    },
    crate::{
        error::Result,
        model::{DataCentre, Digest, Region},
        raft,
    },
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    std::{
        net::SocketAddr,
        path::{Path, PathBuf},
        time::Duration,
    },
    strum::Display,
};

/// Default size in bytes at which a replica starts a new segment of its log.
const DEFAULT_SEGMENT_SIZE: u64 = 8 * 1024 * 1024;

/// Minimum segment size in bytes; one record of the largest size must fit.
const MIN_SEGMENT_SIZE: u64 = 4 * 1024 * 1024;

/// Minimum election timeout: several heartbeat intervals must fit into it, and a round trip between
/// regions into each interval.
const MIN_ELECTION_TIMEOUT: Duration = Duration::from_millis(300);
/// Heartbeats that the leader sends in one election timeout, so that one may be lost and one late.
const HEARTBEATS_PER_ELECTION_TIMEOUT: u32 = 5;

/// Maximum segment size in bytes; a restart reads whole segments.
const MAX_SEGMENT_SIZE: u64 = 1024 * 1024 * 1024;

/// Kind of a control group: what its replicated log stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Group {
    /// The list of plans and the list of grants.
    Config,
    /// The idempotency keys of one home region.
    Claims,
}

/// A founding member of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// Name in the settings of that replica.
    pub name: String,
    /// Its peer address.
    pub address: SocketAddr,
}

/// An operator, who may edit the lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name of the operator in the log.
    pub name: String,
    /// SHA-256 of the token.
    pub token_hash: Digest,
}

/// Settings of one replica. With port 0 in a listening address, the system selects the port.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Name, unique in the group.
    pub name: String,
    /// What the group stores.
    pub group: Group,
    /// Region that the data centre belongs to; for a claims group also the home region that it
    /// serves.
    pub region: Region,
    /// Data centre of the VM that the replica runs on.
    pub data_centre: DataCentre,
    /// Listening address for other processes of the mesh, `ip:port`.
    pub peer_address: SocketAddr,
    /// Listening address for operators; `None` for a claims group.
    pub operator_address: Option<SocketAddr>,
    /// Folder of the replicated log and its snapshots, relative to the settings file.
    pub data_folder: PathBuf,
    /// Peer addresses of some replicas of the group. If `first_start` is set, the replicas listed
    /// here found the group together; any other replica asks them to add it as a member.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Peer port of the replicas, which replaces the ports in `seeds`; those may belong to other
    /// listeners on the same VMs. `None` keeps the ports in `seeds`.
    pub seed_port: Option<u16>,
    /// Whether this is the first start of the group, which does not exist yet.
    #[serde(default)]
    pub first_start: bool,
    /// Number of VMs that may be lost with their disks at the same time; the group needs twice as
    /// many voters plus one. While it has fewer, the first configuration of the platform is refused
    /// for a period after the start.
    #[serde(default)]
    pub tolerated_losses: usize,
    /// Time without a message from the leader after which the other replicas elect a new one.
    #[serde_as(as = "HumanReadable")]
    #[serde(default = "default_election_timeout")]
    pub election_timeout: Duration,
    /// Whether a replica whose disk fails is restarted in the same process; otherwise the process
    /// ends.
    #[serde(default)]
    pub restarts: bool,
    /// Maximum duration of a shutdown; with `None`, the wait for the disk is unlimited.
    #[serde_as(as = "Option<HumanReadable>")]
    #[serde(default)]
    pub grace: Option<Duration>,
    /// Interface offered to operators.
    #[serde(default)]
    pub interface: Interface,
    /// The replicas that found the group; a replica that joins later is not listed.
    #[serde(default)]
    pub bootstrap: Vec<Replica>,
    /// Operators that may edit the lists; for the config group only.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// Token that authenticates a process as a member of the mesh.
    pub mesh_token: Option<Secret>,
    /// File that holds the token, relative to the settings file.
    pub mesh_token_file: Option<PathBuf>,
    /// Size in bytes at which a new segment of the replicated log starts.
    #[serde_as(as = "HumanReadable")]
    #[serde(default = "default_segment_size")]
    pub segment_size: u64,
    /// Limits of rollouts; `None` if there are no rollouts.
    pub rollouts: Option<RolloutLimits>,
    /// Memory of the VM in bytes that the process may use; a quarter of it may be held for others.
    #[serde_as(as = "HumanReadable")]
    #[serde(default = "super::default_memory_limit")]
    pub memory_limit: u64,
    /// Maximum number of open descriptors of the process; its ports share them.
    #[serde(default = "super::default_max_descriptors")]
    pub max_descriptors: u64,
    /// Log level and log format.
    #[serde(default)]
    pub log: Log,
}

fn default_election_timeout() -> Duration {
    raft::Config::default().election_timeout
}

const fn default_segment_size() -> u64 {
    DEFAULT_SEGMENT_SIZE
}

impl Control {
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

    /// Returns the timing of the replicated log; the heartbeat interval follows from the election
    /// timeout.
    pub fn raft(&self) -> raft::Config {
        raft::Config {
            election_timeout: self.election_timeout,
            heartbeat: self.election_timeout / HEARTBEATS_PER_ELECTION_TIMEOUT,
            ..raft::Config::default()
        }
    }

    /// Returns the mesh token; empty before [`Self::load`] has read it.
    pub fn token(&self) -> &str {
        self.mesh_token.as_ref().map_or("", Secret::reveal)
    }

    /// Returns the operator with this token, or `None` if the token is unknown.
    pub fn operator(&self, token: &str) -> Option<&Operator> {
        let hash = Digest::of(token.as_bytes());
        self.operators.iter().find(|op| op.token_hash == hash)
    }

    /// Reads the token file, applies `seed_port`, resolves the data folder and checks the result.
    fn resolve_and_check(&mut self, folder: &Path) -> std::result::Result<(), InvalidSetting> {
        resolve_token(
            &mut self.mesh_token,
            self.mesh_token_file.as_deref(),
            folder,
        )?;
        if let Some(port) = self.seed_port {
            self.seeds
                .iter_mut()
                .for_each(|address| address.set_port(port));
        }
        self.data_folder = folder.join(&self.data_folder);
        self.check()
    }

    /// Checks each setting and that the settings fit together.
    ///
    /// # Errors
    /// The first invalid setting.
    pub fn check(&self) -> std::result::Result<(), InvalidSetting> {
        validate_name("name", &self.name)?;
        validate_name("region", self.region.as_str())?;
        validate_name("data_centre", self.data_centre.as_str())?;
        check_token(self.mesh_token.as_ref())?;
        if let Some(limits) = &self.rollouts {
            limits.check()?;
        }
        check_limits(self.memory_limit, self.max_descriptors)?;
        if !(MIN_SEGMENT_SIZE..=MAX_SEGMENT_SIZE).contains(&self.segment_size) {
            let reason = format!("{} bytes are not between 4MiB and 1GiB", self.segment_size);
            return Err(InvalidSetting::new("segment_size", reason));
        }
        if self.election_timeout < MIN_ELECTION_TIMEOUT {
            let reason = format!("is shorter than {} ms", MIN_ELECTION_TIMEOUT.as_millis());
            return Err(InvalidSetting::new("election_timeout", reason));
        }
        match self.group {
            Group::Config => self.check_config()?,
            Group::Claims => self.check_claims()?,
        }
        self.check_bootstrap()
    }

    fn check_config(&self) -> std::result::Result<(), InvalidSetting> {
        let Some(address) = self.operator_address else {
            let reason = "is missing; the config group needs it";
            return Err(InvalidSetting::new("operator_address", reason));
        };
        if address.port() != 0 && address == self.peer_address {
            let reason = format!("{address} is also peer_address");
            return Err(InvalidSetting::new("operator_address", reason));
        }
        if self.operators.is_empty() && self.interface == Interface::Own {
            let reason = "is empty, so that no one could edit the lists";
            return Err(InvalidSetting::new("operators", reason));
        }
        for (index, op) in self.operators.iter().enumerate() {
            validate_name("operators", &op.name)?;
            let earlier = &self.operators[..index];
            if earlier.iter().any(|other| other.name == op.name) {
                let reason = format!("operator {:?} is named twice", op.name);
                return Err(InvalidSetting::new("operators", reason));
            }
            if let Some(other) = earlier.iter().find(|o| o.token_hash == op.token_hash) {
                let reason = format!("{:?} and {:?} have the same token", other.name, op.name);
                return Err(InvalidSetting::new("operators", reason));
            }
        }
        Ok(())
    }

    fn check_claims(&self) -> std::result::Result<(), InvalidSetting> {
        if let Some(address) = self.operator_address {
            let reason = format!("{address} is set, but a claims group has no operators");
            return Err(InvalidSetting::new("operator_address", reason));
        }
        if !self.operators.is_empty() {
            let reason = "is set, but a claims group has no operators";
            return Err(InvalidSetting::new("operators", reason));
        }
        Ok(())
    }

    fn check_bootstrap(&self) -> std::result::Result<(), InvalidSetting> {
        for (index, replica) in self.bootstrap.iter().enumerate() {
            validate_name("bootstrap", &replica.name)?;
            let earlier = &self.bootstrap[..index];
            if earlier.iter().any(|other| other.name == replica.name) {
                let reason = format!("replica {:?} is named twice", replica.name);
                return Err(InvalidSetting::new("bootstrap", reason));
            }
            let address = replica.address;
            let has_port = address.port() != 0;
            if has_port && earlier.iter().any(|other| other.address == address) {
                let reason = format!("{address} is named twice");
                return Err(InvalidSetting::new("bootstrap", reason));
            }
            // Port 0 is allowed only for this replica itself: the system selects the port at the
            // start, so other replicas could not connect.
            if replica.name != self.name && (!has_port || address.ip().is_unspecified()) {
                let reason = format!("{address} is not an address to connect to");
                return Err(InvalidSetting::new("bootstrap", reason));
            }
        }
        Ok(())
    }
}
