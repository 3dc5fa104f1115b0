//! Endpoint sets: one set for each data centre, owned by its relay and known everywhere.
//!
//! Rule for dropping a set: nobody drops the set of another data centre because its relay can't
//! be reached, so a partition leaves the routes as they are. A set is dropped only after
//! [`DROP_AFTER`] without any update; its owner sends one at least each [`REFRESH`]. Single
//! endpoints go when their relay says so, which it does when the lease of their daemon ends.

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
    directory::{Changed, Directory},
    own::OwnSet,
};

/// Lease of a daemon's endpoints at its relay; a daemon reports each second.
pub const LEASE: Duration = Duration::from_secs(3);

/// Lease that a new relay gives to each daemon of the last known set. Children of the failed
/// relay take up to 2 s to notice, 1 s of jitter and 1 s of admission to come to the new one.
pub const TAKEOVER_LEASE: Duration = Duration::from_secs(6);

/// Longest time between two updates of a set.
pub const REFRESH: Duration = Duration::from_mins(1);

/// Time without any update after which a set counts as silent: two refreshes are missing.
pub const SILENT_AFTER: Duration = Duration::from_secs(150);

/// Time without any update after which a set is dropped. The regions lose connectivity for an
/// hour now and then.
pub const DROP_AFTER: Duration = Duration::from_hours(2);

/// Most endpoints of one data centre, ten times the size to design for; bounds a full set to one
/// message.
pub const MAX_ENDPOINTS: usize = 4_096;

/// Most endpoints that one daemon reports.
pub const MAX_REPORTED: usize = 64;

/// Longest name in bytes that is taken over from a report.
pub const MAX_NAME: usize = 128;

/// Tenure of an owner of a set; strictly increasing over leaders and owners.
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
    /// Number of the grant in this term.
    counter: u64,
    /// 0 for a granted epoch; set by an interim parent during an outage of control.
    interim: u16,
}

impl Epoch {
    /// The epoch of grant `counter` of the leader of `term`.
    pub const fn granted(term: u64, counter: u64) -> Self {
        Self {
            term,
            counter,
            interim: 0,
        }
    }

    /// The epoch of an interim parent that follows this one. Of two such parents the one with
    /// the lower `hash` wins, as in the choice of the interim parent.
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

    /// Whether a leader granted it.
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
    /// The service that it offers.
    pub service: ServiceName,
}

impl EndpointKey {
    /// The key of `endpoint`.
    pub fn of(endpoint: &Endpoint) -> Self {
        Self {
            daemon: endpoint.daemon.clone(),
            server: endpoint.server.clone(),
            service: endpoint.service.clone(),
        }
    }
}

/// How far a set is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Tenure of the owner.
    pub epoch: Epoch,
    /// Number of the last update in this tenure.
    pub seq: u64,
}

/// Leads from one state of a set to a newer one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointDelta {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Tenure of the owner.
    pub epoch: Epoch,
    /// Update to which the delta applies; ignored for a full set.
    pub from: u64,
    /// Update that it leads to.
    pub seq: u64,
    /// Whether the upserts are the whole set, which replaces the old one.
    pub full: bool,
    /// Endpoints that are new or have changed.
    pub upserts: Vec<Endpoint>,
    /// Endpoints that are gone.
    pub removed: Vec<EndpointKey>,
}

impl EndpointDelta {
    /// The first update of a tenure that begins with an empty set.
    pub const fn emptied(data_centre: DataCentre, epoch: Epoch) -> Self {
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

/// Orders the reports of one daemon, over restarts of the daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Grows with each start of the daemon, such as its start time.
    pub incarnation: u64,
    /// Number of the report since the start.
    pub number: u64,
}

/// Why an update of a set was not taken; the set is unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SetError {
    /// The update is not newer than the set.
    Stale {
        /// What is known.
        held: Position,
        /// Epoch and number of the update.
        update: (Epoch, u64),
    },
    /// Updates between the set and this one are missing; a full set has to be requested.
    Gap {
        /// What is known; `None` when nothing is.
        held: Option<Position>,
        /// Epoch of the update and the number to which it applies.
        update: (Epoch, u64),
    },
    /// The set would hold more than [`MAX_ENDPOINTS`], or a report more than [`MAX_REPORTED`].
    TooMany {
        /// Data centre of the set.
        data_centre: DataCentre,
        /// Number of endpoints.
        endpoints: usize,
    },
    /// An endpoint belongs to another daemon or data centre, or has a name that is too long.
    Foreign {
        /// The endpoint.
        key: EndpointKey,
        /// Data centre that it names.
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
                    "update after {}/{} of an unknown set",
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
                "{endpoints} endpoints in data centre {data_centre} exceed the limit"
            ),
            Self::Foreign { key, data_centre } => write!(
                f,
                "endpoint of server {} in data centre {data_centre} can't be taken from daemon {}",
                key.server, key.daemon
            ),
        }
    }
}

impl std::error::Error for SetError {}
