//! Names, ids and the records of the two lists.

use {
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    serde_with::{hex::Hex, serde_as},
    sha2::{Digest as _, Sha256},
    std::{fmt, sync::Arc},
    strum::{Display, EnumCount, EnumIter, EnumString},
};

/// Declares a name type over a shared string.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, f)
            }
        }
    };
}

name_type!(
    /// A customer's plan.
    PlanName
);
name_type!(
    /// A service that backend servers offer.
    ServiceName
);
name_type!(
    /// One backend server.
    ServerName
);
name_type!(
    /// One daemon.
    DaemonName
);
name_type!(
    /// A data centre.
    DataCentre
);
name_type!(
    /// A region: data centres with fast links between them.
    Region
);
name_type!(
    /// Start of the paths that a grant covers; begins and ends with a slash.
    PathPrefix
);

impl Default for PathPrefix {
    fn default() -> Self {
        Self::from("/")
    }
}

/// Kind of work, which decides whether a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Work {
    /// May run more than once.
    Safe,
    /// Runs at most once for each send; a resend by the caller is a new request.
    Unsafe,
    /// Like unsafe, with a large body.
    Upload,
}

/// Rank of a grant: the order in which work is admitted under load.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
    EnumCount,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Rank {
    /// Admitted before all other work.
    Urgent,
    /// Admitted after urgent work.
    High,
    /// Admitted after high work.
    Normal,
    /// Admitted last.
    Low,
}

impl Rank {
    /// Position in an array with one slot for each rank; 0 is the most urgent.
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// Number of a configuration version; 0 is the empty configuration.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// The version that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// SHA-256 digest, written as hexadecimal text in YAML and JSON.
#[serde_as]
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(#[serde_as(as = "Hex")] pub [u8; 32]);

impl Digest {
    /// Digest of `bytes`.
    ///
    /// ```
    /// use anvilbeam::model::Digest;
    /// let text = Digest::of(b"abc").to_string();
    /// assert!(text.starts_with("ba7816bf"));
    /// ```
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A customer's plan: who may call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Name, unique in the list.
    pub name: PlanName,
    /// SHA-256 digests of the keys that prove the plan.
    pub key_hashes: Vec<Digest>,
    /// Region whose claims group keeps the plan's idempotency keys.
    pub home_region: Region,
}

/// What a plan may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The plan that may call.
    pub plan: PlanName,
    /// The service it may call.
    pub service: ServiceName,
    /// The backend servers it may use; empty means all of the service.
    pub servers: Vec<ServerName>,
    /// Calls per second over the whole mesh; [`UNLIMITED`] sets no limit.
    pub capacity: u32,
    /// Order of admission under load.
    pub rank: Rank,
    /// Paths that it covers.
    pub path: PathPrefix,
    /// How its calls are handled.
    pub terms: Terms,
}

/// Capacity of a grant that has no limit.
pub const UNLIMITED: u32 = 0;

/// How the calls of a grant are handled. What is left out follows from the request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// Share of the calls among the grants of one plan and path; calls are split by it.
    pub weight: Option<u32>,
    /// Kind of work; without it, the method and an idempotency key decide.
    pub work: Option<Work>,
    /// Longest time until the answer, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Time within which answers are wanted, in milliseconds.
    pub target_ms: Option<u64>,
    /// Backend servers to which one call may be sent.
    pub attempts: Option<u32>,
    /// Text that is kept with the grant and has no effect.
    pub note: Option<String>,
}

/// Identifies a grant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantKey {
    /// The plan.
    pub plan: PlanName,
    /// The service.
    pub service: ServiceName,
    /// The paths.
    pub path: PathPrefix,
}

impl Grant {
    /// The key of this grant.
    pub fn key(&self) -> GrantKey {
        GrantKey {
            plan: self.plan.clone(),
            service: self.service.clone(),
            path: self.path.clone(),
        }
    }
}

/// Both lists at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Version of this configuration.
    pub version: Version,
    /// Plans, sorted by name.
    pub plans: IndexMap<PlanName, Plan>,
    /// Grants, sorted by plan, service and path.
    pub grants: IndexMap<GrantKey, Grant>,
}

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ServerState {
    /// Takes new work.
    Serving,
    /// Finishes its calls and takes no new work.
    Draining,
}

/// A backend server as other daemons see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name of the backend server.
    pub server: ServerName,
    /// The service that it offers.
    pub service: ServiceName,
    /// Daemon beside it.
    pub daemon: DaemonName,
    /// Peer address of that daemon, `ip:port`.
    pub address: std::net::SocketAddr,
    /// Data centre of both.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Region,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
    /// Changes with each start of the backend server.
    pub incarnation: u64,
}

impl Endpoint {
    /// Whether it may be in the endpoint set `set`: that of its data centre, or that of its daemon
    /// alone.
    pub fn belongs_to(&self, set: &DataCentre) -> bool {
        self.data_centre == *set || self.daemon.as_str() == set.as_str()
    }
}
