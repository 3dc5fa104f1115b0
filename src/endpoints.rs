//! Endpoint sets: one set for each data centre, owned by its relay and replicated to all processes.
//!
//! Expiry: a process keeps the set of another data centre while its relay is unreachable, so a
//! partition doesn't change the routes. A set is dropped only after [`DROP_AFTER`] without an
//! update; its owner sends one at least every [`REFRESH_INTERVAL`]. Single endpoints are removed by
//! the owner, when the lease of their daemon expires.

mod directory;
mod entries;
mod own;

#[cfg(test)]
mod tests;

use {
    crate::model::{DaemonName, DataCentre, Endpoint, ServerName, ServiceName},
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

pub use self::{
    directory::{Directory, EndpointChanges},
    own::OwnedSet,
};

/// Lease of the endpoints of a daemon at its relay; a daemon reports each second.
pub const ENDPOINT_LEASE: Duration = Duration::from_secs(3);

/// Lease that a new relay grants to each daemon of the last known set. Children of the failed relay
/// take up to 2 s to detect the failure, 1 s of jitter and 1 s of rate limiting before they report
/// to the new relay.
pub const TAKEOVER_LEASE: Duration = Duration::from_secs(6);

/// Maximum time between two updates of a set.
pub const REFRESH_INTERVAL: Duration = Duration::from_mins(1);

/// Time without an update after which a set counts as stale: two refreshes are missing.
pub const STALE_AFTER: Duration = Duration::from_secs(150);

/// Time without an update after which a set is dropped. Connectivity between regions may be lost
/// for an hour.
pub const DROP_AFTER: Duration = Duration::from_hours(2);

/// Maximum number of endpoints of one data centre, ten times the design size; keeps a full set
/// within one message.
pub const MAX_ENDPOINTS: usize = 4_096;

/// Maximum number of endpoints in the report of one daemon.
pub const MAX_REPORTED_ENDPOINTS: usize = 64;

/// Maximum length of a name in a report, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Epoch of the owner of a set; strictly increasing across leaders and owners.
///
/// ```
/// use anvilbeam::endpoints::Epoch;
/// assert!(Epoch::granted(2, 1) > Epoch::granted(1, 900));
/// let old = Epoch::granted(2, 1);
/// assert!(old.interim(7) > old && old.interim(7) < Epoch::granted(2, 2));
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Epoch {
    /// Term of the leader that granted it.
    term: u64,
    /// Sequence number of the epoch in this term.
    counter: u64,
    /// 0 for a granted epoch; greater for the epoch of an interim parent during an outage of control.
    interim: u16,
}

impl Epoch {
    /// Returns epoch `counter` of the leader of `term`.
    pub const fn granted(term: u64, counter: u64) -> Self {
        Self {
            term,
            counter,
            interim: 0,
        }
    }

    /// Returns the epoch of an interim parent that succeeds the owner with this epoch. It is higher
    /// for a lower `hash`, because the daemon with the lowest hash is chosen as the interim parent.
    #[must_use]
    pub const fn interim(self, hash: u64) -> Self {
        Self {
            interim: if hash >> 48 == u16::MAX as u64 {
                1
            } else {
                u16::MAX - (hash >> 48) as u16
            },
            ..self
        }
    }

    /// Returns whether a leader granted the epoch.
    pub const fn is_granted(self) -> bool {
        self.interim == 0
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.counter)?;
        if self.interim > 0 {
            write!(f, ".{}", self.interim)?;
        }
        Ok(())
    }
}

/// Identifies an endpoint within its data centre.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointKey {
    /// Daemon beside the backend server.
    pub daemon: DaemonName,
    /// Name of the backend server.
    pub server: ServerName,
    /// Service that it offers.
    pub service: ServiceName,
}

impl EndpointKey {
    /// Returns the key of `endpoint`.
    pub fn of(endpoint: &Endpoint) -> Self {
        Self {
            daemon: endpoint.daemon.clone(),
            server: endpoint.server.clone(),
            service: endpoint.service.clone(),
        }
    }
}

/// Newest update of a set at a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Sequence number of the last update in this epoch.
    pub seq: u64,
}

/// Change from one state of a set to a newer one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointDelta {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Sequence number of the update to which the delta applies; ignored for a full set.
    pub from: u64,
    /// Sequence number of the update that it produces.
    pub seq: u64,
    /// Whether the upserts are the complete set, which replaces the old one.
    pub full: bool,
    /// Endpoints that are new or have changed.
    pub upserts: Vec<Endpoint>,
    /// Endpoints that no longer exist.
    pub removed: Vec<EndpointKey>,
}

impl EndpointDelta {
    /// Returns the first update of an epoch that starts with an empty set.
    pub const fn empty_set(data_centre: DataCentre, epoch: Epoch) -> Self {
        Self {
            data_centre,
            epoch,
            from: 0,
            seq: 1,
            full: true,
            upserts: Vec::new(),
            removed: Vec::new(),
        }
    }
}

/// Order of the reports of one daemon, across its restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Increases with each start of the daemon, such as its start time.
    pub incarnation: u64,
    /// Sequence number of the report since the start.
    pub number: u64,
}

/// Reason why an update of a set was refused; the set is unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SetError {
    /// The update is not newer than the set.
    Stale {
        /// Current position of the set.
        held: Position,
        /// Epoch and sequence number of the update.
        update: (Epoch, u64),
    },
    /// Updates between the set and this update are missing; they have to be requested.
    Gap {
        /// Current position of the set; `None` if the set is unknown.
        held: Option<Position>,
        /// Epoch of the update, and the sequence number to which it applies.
        update: (Epoch, u64),
    },
    /// The set would exceed [`MAX_ENDPOINTS`] or the maximum number of sets, or a report exceeds
    /// [`MAX_REPORTED_ENDPOINTS`].
    TooMany {
        /// Data centre of the set.
        data_centre: DataCentre,
        /// Number of endpoints that the set would contain.
        endpoints: usize,
    },
    /// An endpoint belongs to another daemon or data centre, or has a name that is too long.
    InvalidEndpoint {
        /// Key of the endpoint.
        key: EndpointKey,
        /// Data centre in the endpoint.
        data_centre: DataCentre,
    },
}

impl fmt::Display for SetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stale { held, update } => write!(
                f,
                "update {}/{} of data centre {} is not newer than {}/{}",
                update.0, update.1, held.data_centre, held.epoch, held.seq
            ),
            Self::Gap { held: None, update } => {
                write!(
                    f,
                    "update after {}/{} does not apply: the set is unknown",
                    update.0, update.1
                )
            }
            Self::Gap {
                held: Some(held),
                update,
            } => write!(
                f,
                "update after {}/{} of data centre {} does not apply to {}/{}",
                update.0, update.1, held.data_centre, held.epoch, held.seq
            ),
            Self::TooMany {
                data_centre,
                endpoints,
            } => write!(
                f,
                "{endpoints} endpoints in data centre {data_centre} exceed a limit ({MAX_ENDPOINTS} per data centre, {MAX_REPORTED_ENDPOINTS} per report) or there are too many data centres"
            ),
            Self::InvalidEndpoint { key, data_centre } => write!(
                f,
                "endpoint of server {} in data centre {data_centre} from daemon {} belongs to another daemon or data centre, or has a name that is too long",
                key.server, key.daemon
            ),
        }
    }
}

impl std::error::Error for SetError {}
