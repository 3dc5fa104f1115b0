//! Settings, state machine and status of a replica.

use {
    crate::{
        error::Result,
        raft::{Config, Member, ReplicaId, Role},
        wal,
    },
    std::{fmt, net::SocketAddr, path::PathBuf},
};

/// A replicated state machine: its state and the functions on it.
pub struct StateMachine<S> {
    /// Initial state, before the first entry.
    pub state: S,
    /// Applies the command of the log entry at the given index and returns the answer to its
    /// proposer. It must be deterministic, so that all replicas reach the same state.
    pub apply: fn(&mut S, u64, &[u8]) -> Vec<u8>,
    /// Encodes the state for a snapshot.
    pub snapshot: fn(&S) -> Result<Vec<u8>>,
    /// Decodes the state from a snapshot.
    pub restore: fn(&[u8]) -> Result<S>,
}

impl<S> fmt::Debug for StateMachine<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StateMachine").finish_non_exhaustive()
    }
}

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name that is shown to operators.
    pub name: String,
    /// Address for messages from other replicas.
    pub address: SocketAddr,
    /// Data folder.
    pub folder: PathBuf,
    /// Timeouts and limits of Raft.
    pub raft: Config,
    /// Options of the write-ahead log in the data folder.
    pub wal: wal::Options,
    /// Size in bytes of applied entries after which a snapshot is taken.
    pub snapshot_after: usize,
}

impl Options {
    /// Returns settings with the default timeouts and limits.
    pub fn new(name: &str, address: SocketAddr, folder: PathBuf) -> Self {
        Self {
            name: name.to_owned(),
            address,
            folder,
            raft: Config::default(),
            wal: wal::Options::default(),
            snapshot_after: 64 * 1024 * 1024,
        }
    }
}

/// Status of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Identity of the data folder.
    pub id: ReplicaId,
    /// Id of the group; 0 until the replica has joined one.
    pub group: u64,
    /// Current role.
    pub role: Role,
    /// Current term.
    pub term: u64,
    /// Current leader; `None` if it is unknown.
    pub leader: Option<Member>,
    /// Index up to which entries are known to be committed.
    pub commit_index: u64,
    /// Index of the last applied entry.
    pub applied_index: u64,
    /// Latest member list in the log, committed or not.
    pub members: Vec<Member>,
    /// Size of the data folder in bytes.
    pub bytes: u64,
}
