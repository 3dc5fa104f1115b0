//! Endpoints of the backend servers beside all daemons, replicated to all processes.
//!
//! Each daemon writes one record: its endpoints, with a stamp that increases with each change and
//! each subscription. A process applies a record only if its stamp is newer, so records may arrive
//! in any order and over several paths.
//!
//! A record of a daemon that is gone lapses: it is replaced by one without endpoints. The process at
//! which the daemon was subscribed does so; if that is lost too, the root of the tree. A daemon whose
//! record has lapsed although it runs writes a newer one. A process without a path to the root keeps all records, so a
//! partition does not change the routes of the side that is cut off.

mod directory;

#[cfg(test)]
mod tests;

use {
    crate::model::{DaemonName, Endpoint, ServerName, ServiceName},
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

pub use self::directory::{DIGEST_BUCKETS, Directory, EndpointChanges, Origin, RecordChange};

/// Time after the last sign of life of a child after which its record lapses.
pub const ENDPOINT_LEASE: Duration = Duration::from_secs(3);

/// Time after the loss of a source or a change of the root for which the root keeps the records of
/// daemons that are in no subtree. They have to notice the loss and subscribe elsewhere in this time.
pub const TAKEOVER_LEASE: Duration = Duration::from_secs(10);

/// Time for which a lapsed record is kept, so that a delayed older one does not return.
pub const LAPSED_RETENTION: Duration = Duration::from_hours(1);

/// Maximum number of records, three times the design size.
pub const MAX_RECORDS: usize = 8_192;

/// Maximum number of endpoints in the record of one daemon.
pub const MAX_REPORTED_ENDPOINTS: usize = 64;

/// Maximum length of a name in a record, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Identifies an endpoint.
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

/// Order of the records of one daemon, across its restarts.
///
/// ```
/// use anvilbeam::endpoints::Stamp;
/// let stamp = Stamp { incarnation: 1, number: 7, lapsed: false };
/// assert!(stamp.lapsed() > stamp);
/// assert!(stamp.next() > stamp.lapsed());
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Increases with each start of the daemon, such as its start time.
    pub incarnation: u64,
    /// Number of the record since the start.
    pub number: u64,
    /// Whether the record has lapsed, as found by another process.
    pub lapsed: bool,
}

impl Stamp {
    /// Returns the stamp with which this record lapses.
    #[must_use]
    pub const fn lapsed(self) -> Self {
        Self {
            lapsed: true,
            ..self
        }
    }

    /// Returns the stamp of the daemon's next record.
    #[must_use]
    pub const fn next(self) -> Self {
        Self {
            number: self.number + 1,
            lapsed: false,
            ..self
        }
    }
}

/// Endpoints of the backend servers beside one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The daemon.
    pub daemon: DaemonName,
    /// Orders the records of the daemon.
    pub stamp: Stamp,
    /// All of its endpoints; none in a lapsed record.
    pub endpoints: Vec<Endpoint>,
}

/// Reason why a record was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// There are [`MAX_RECORDS`] records of other daemons.
    TooManyRecords {
        /// Daemon of the record.
        daemon: DaemonName,
    },
    /// The record has more than [`MAX_REPORTED_ENDPOINTS`] endpoints, or has lapsed and has some.
    TooManyEndpoints {
        /// Daemon of the record.
        daemon: DaemonName,
        /// Number of endpoints.
        endpoints: usize,
    },
    /// An endpoint belongs to another daemon, or has a name of more than [`MAX_NAME_BYTES`].
    InvalidEndpoint {
        /// Daemon of the record.
        daemon: DaemonName,
        /// Key of the endpoint.
        key: EndpointKey,
    },
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooManyRecords { daemon } => {
                write!(
                    f,
                    "record of daemon {daemon} exceeds the limit of {MAX_RECORDS} records"
                )
            }
            Self::TooManyEndpoints { daemon, endpoints } => write!(
                f,
                "record of daemon {daemon} has {endpoints} endpoints; the limit is {MAX_REPORTED_ENDPOINTS}, and 0 for a lapsed record"
            ),
            Self::InvalidEndpoint { daemon, key } => write!(
                f,
                "endpoint of server {} of daemon {} in the record of daemon {daemon} belongs to another daemon, or has a name of more than {MAX_NAME_BYTES} bytes",
                key.server, key.daemon
            ),
        }
    }
}

impl std::error::Error for RecordError {}
