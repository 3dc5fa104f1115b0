//! Settings of `anvilbeam-control`.

use {
    super::{Human, Interface, Log, Secret, Wrong, check_token, named, take_token},
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

/// Size at which a replica starts a new segment of its log.
const DEFAULT_SEGMENT: u64 = 8 * 1024 * 1024;

/// Smallest segment; one record of the largest size must fit.
const MIN_SEGMENT: u64 = 4 * 1024 * 1024;

/// Shortest election timeout: some heartbeats must fit into it, and a round trip between regions
/// into each.
const MIN_ELECTION_TIMEOUT: Duration = Duration::from_millis(300);
/// Heartbeats of the leader in one election timeout; one may be lost and one late.
const HEARTBEATS: u32 = 5;

/// Largest segment; a restart reads whole segments.
const MAX_SEGMENT: u64 = 1024 * 1024 * 1024;

/// What a replicated log stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Group {
    /// The two lists.
    Config,
    /// The idempotency keys of one home region.
    Claims,
}

/// A replica that founds a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// Name from the settings of that replica.
    pub name: String,
    /// Its peer address.
    pub address: SocketAddr,
}

/// Somebody who may edit the lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name for the log.
    pub name: String,
    /// SHA-256 of the token.
    pub token_hash: Digest,
}

/// Settings of one replica. A listening address may have port 0; the system then selects the port.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Name, unique in the group.
    pub name: String,
    /// What the group stores.
    pub group: Group,
    /// Region of the data centre; for a claims group the home region that it serves.
    pub region: Region,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Where other processes of the mesh connect, `ip:port`.
    pub peer_address: SocketAddr,
    /// Where operators connect; for the config group only.
    pub operator_address: Option<SocketAddr>,
    /// Folder for the log and the snapshots, relative to the settings file.
    pub data_folder: PathBuf,
    /// Addresses of some replicas of the group. A replica that is named here founds the group with
    /// the others if `first_start` is set; any other asks them to join.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Peer port of the replicas, where `seeds` names other addresses on their VMs.
    pub seed_port: Option<u16>,
    /// Whether the group does not exist yet.
    #[serde(default)]
    pub first_start: bool,
    /// VMs that may be lost with their disks at once; the group accepts no edit before it has
    /// enough voters for that.
    #[serde(default)]
    pub tolerated_losses: usize,
    /// Silence of the leader after which the others elect a new one.
    #[serde_as(as = "Human")]
    #[serde(default = "default_election_timeout")]
    pub election_timeout: Duration,
    /// Whether a replica whose disk refuses writes starts again instead of ending the process.
    #[serde(default)]
    pub restarts: bool,
    /// What operators speak.
    #[serde(default)]
    pub interface: Interface,
    /// The replicas that found the group. A replica that joins later is not among them.
    #[serde(default)]
    pub bootstrap: Vec<Replica>,
    /// Who may edit; for the config group only.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// Token that proves that a process belongs to the mesh.
    pub mesh_token: Option<Secret>,
    /// File that holds the token, relative to the settings file.
    pub mesh_token_file: Option<PathBuf>,
    /// Size in bytes at which a new segment of the log starts.
    #[serde_as(as = "Human")]
    #[serde(default = "default_segment")]
    pub segment_size: u64,
    /// Logging.
    #[serde(default)]
    pub log: Log,
}

fn default_election_timeout() -> Duration {
    raft::Config::default().election_timeout
}

const fn default_segment() -> u64 {
    DEFAULT_SEGMENT
}

impl Control {
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

    /// Times of the replicated log.
    pub fn raft(&self) -> raft::Config {
        raft::Config {
            election_timeout: self.election_timeout,
            heartbeat: self.election_timeout / HEARTBEATS,
            ..raft::Config::default()
        }
    }

    /// Token that proves that a process belongs to the mesh; empty before the check.
    pub fn token(&self) -> &str {
        self.mesh_token.as_ref().map_or("", Secret::reveal)
    }

    /// The operator whose token this is.
    pub fn operator(&self, token: &str) -> Option<&Operator> {
        let hash = Digest::of(token.as_bytes());
        self.operators.iter().find(|op| op.token_hash == hash)
    }

    fn finish(&mut self, folder: &Path) -> std::result::Result<(), Wrong> {
        take_token(
            &mut self.mesh_token,
            self.mesh_token_file.as_deref(),
            folder,
        )?;
        if let Some(port) = self.seed_port {
            self.seeds.iter_mut().for_each(|at| at.set_port(port));
        }
        self.data_folder = folder.join(&self.data_folder);
        self.check()
    }

    /// Checks that the settings fit together.
    ///
    /// # Errors
    /// The first setting that does not.
    pub fn check(&self) -> std::result::Result<(), Wrong> {
        named("name", &self.name)?;
        named("region", self.region.as_str())?;
        named("data_centre", self.data_centre.as_str())?;
        check_token(self.mesh_token.as_ref())?;
        if !(MIN_SEGMENT..=MAX_SEGMENT).contains(&self.segment_size) {
            let reason = format!("{} bytes are not between 4MiB and 1GiB", self.segment_size);
            return Err(Wrong::new("segment_size", reason));
        }
        if self.election_timeout < MIN_ELECTION_TIMEOUT {
            let reason = format!("is shorter than {} ms", MIN_ELECTION_TIMEOUT.as_millis());
            return Err(Wrong::new("election_timeout", reason));
        }
        match self.group {
            Group::Config => self.check_config()?,
            Group::Claims => self.check_claims()?,
        }
        self.check_bootstrap()
    }

    fn check_config(&self) -> std::result::Result<(), Wrong> {
        let Some(address) = self.operator_address else {
            let reason = "is missing; the config group needs it";
            return Err(Wrong::new("operator_address", reason));
        };
        if address.port() != 0 && address == self.peer_address {
            let reason = format!("{address} is also peer_address");
            return Err(Wrong::new("operator_address", reason));
        }
        if self.operators.is_empty() && self.interface == Interface::Own {
            let reason = "is empty; nobody could edit the lists";
            return Err(Wrong::new("operators", reason));
        }
        for (index, op) in self.operators.iter().enumerate() {
            named("operators", &op.name)?;
            let earlier = &self.operators[..index];
            if earlier.iter().any(|other| other.name == op.name) {
                let reason = format!("operator {:?} is named twice", op.name);
                return Err(Wrong::new("operators", reason));
            }
            if let Some(other) = earlier.iter().find(|o| o.token_hash == op.token_hash) {
                let reason = format!("{:?} and {:?} have the same token", other.name, op.name);
                return Err(Wrong::new("operators", reason));
            }
        }
        Ok(())
    }

    fn check_claims(&self) -> std::result::Result<(), Wrong> {
        if let Some(address) = self.operator_address {
            let reason = format!("{address} is set, but a claims group has no operators");
            return Err(Wrong::new("operator_address", reason));
        }
        if !self.operators.is_empty() {
            let reason = "is set, but a claims group has no operators";
            return Err(Wrong::new("operators", reason));
        }
        Ok(())
    }

    fn check_bootstrap(&self) -> std::result::Result<(), Wrong> {
        for (index, replica) in self.bootstrap.iter().enumerate() {
            named("bootstrap", &replica.name)?;
            let earlier = &self.bootstrap[..index];
            if earlier.iter().any(|other| other.name == replica.name) {
                let reason = format!("replica {:?} is named twice", replica.name);
                return Err(Wrong::new("bootstrap", reason));
            }
            let address = replica.address;
            let known = address.port() != 0;
            if known && earlier.iter().any(|other| other.address == address) {
                let reason = format!("{address} is named twice");
                return Err(Wrong::new("bootstrap", reason));
            }
            // Only this replica itself learns the port that the system selects.
            if replica.name != self.name && (!known || address.ip().is_unspecified()) {
                let reason = format!("{address} is not an address to connect to");
                return Err(Wrong::new("bootstrap", reason));
            }
        }
        Ok(())
    }
}
