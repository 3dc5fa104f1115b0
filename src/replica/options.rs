//! Settings, state machine and status of a replica.

use {
    crate::{
        error::Result,
        raft::{Config, Member, ReplicaId, Role},
        wal,
    },
    std::{fmt, net::SocketAddr, path::PathBuf},
};

/// A state machine and its functions.
pub struct Machine<S> {
    /// State before the first entry.
    pub state: S,
    /// Applies the command of the entry at an index; returns the answer to its proposer. It gives
    /// the same result on each replica.
    pub apply: fn(&mut S, u64, &[u8]) -> Vec<u8>,
    /// Encodes the state.
    pub snapshot: fn(&S) -> Result<Vec<u8>>,
    /// Decodes a state.
    pub restore: fn(&[u8]) -> Result<S>,
}

impl<S> fmt::Debug for Machine<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Machine").finish_non_exhaustive()
    }
}

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name for operators.
    pub name: String,
    /// Peer address of this replica.
    pub address: SocketAddr,
    /// Data folder.
    pub folder: PathBuf,
    /// Times and limits of the log.
    pub raft: Config,
    /// Limits of the data folder.
    pub wal: wal::Options,
    /// Bytes of applied entries after which a snapshot is taken.
    pub snapshot_after: usize,
}

impl Options {
    /// Settings with the usual times and limits.
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

/// What a replica reports about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Identity of the data folder.
    pub id: ReplicaId,
    /// Group; 0 until the replica has joined one.
    pub group: u64,
    /// Role.
    pub role: Role,
    /// Term.
    pub term: u64,
    /// Leader, if it is known.
    pub leader: Option<Member>,
    /// Index up to which entries are known to be committed.
    pub commit_index: u64,
    /// Index of the last applied entry.
    pub applied_index: u64,
    /// Member list in force.
    pub members: Vec<Member>,
    /// Size of the data folder in bytes.
    pub bytes: u64,
}
