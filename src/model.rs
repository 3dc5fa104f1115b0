//! Names, versions, digests, the plans and grants of the two lists, and endpoints.

use {
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    serde_with::{hex::Hex, serde_as},
    sha2::{Digest as _, Sha256},
    std::{fmt, sync::Arc},
    strum::{Display, EnumCount, EnumIter, EnumString},
};

/// Declares a newtype for a name. The text is reference counted, so clones are cheap.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the text.
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
    /// Name of a customer's plan.
    PlanName
);
name_type!(
    /// Name of a service that backend servers offer.
    ServiceName
);
name_type!(
    /// Name of a backend server.
    ServerName
);
name_type!(
    /// Name of a daemon.
    DaemonName
);
name_type!(
    /// Name of a data centre.
    DataCentre
);
name_type!(
    /// Name of a region: data centres with fast links between them.
    Region
);
name_type!(
    /// Prefix of the request paths that a grant covers; begins and ends with a slash.
    PathPrefix
);

impl Default for PathPrefix {
    fn default() -> Self {
        Self::from("/")
    }
}

/// Kind of work, which determines whether a request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Work {
    /// Idempotent: a request may run more than once.
    Safe,
    /// Not idempotent: the mesh runs a request at most once. A resend by the caller is a new
    /// request.
    Unsafe,
    /// Like [`Self::Unsafe`], with a large body.
    Upload,
    /// Like [`Self::Safe`], with a large answer.
    Download,
}

impl Work {
    /// Returns whether a request of this kind may run more than once.
    ///
    /// ```
    /// use anvilbeam::model::Work;
    /// assert!(Work::Download.is_repeatable());
    /// assert!(!Work::Upload.is_repeatable());
    /// ```
    pub const fn is_repeatable(self) -> bool {
        match self {
            Self::Safe | Self::Download => true,
            Self::Unsafe | Self::Upload => false,
        }
    }
}

/// Rank of a grant: its priority in admission under load. Ordered from urgent to low.
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
    /// Admitted first.
    Urgent,
    /// Admitted after [`Self::Urgent`].
    High,
    /// Admitted after [`Self::High`].
    Normal,
    /// Admitted last.
    Low,
}

impl Rank {
    /// Returns the index into an array with one element per rank; 0 is the most urgent.
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// Version number of the configuration; 0 is the empty configuration.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// Returns the version that follows this one.
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
    /// Returns the digest of `bytes`.
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

/// A customer's plan, which identifies the callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Name, unique among the plans.
    pub name: PlanName,
    /// SHA-256 digests of the API keys that authenticate callers of this plan.
    pub key_hashes: Vec<Digest>,
    /// Region whose claims group stores the claims of the plan's orders.
    pub home_region: Region,
}

/// Permission of a plan to call a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Plan that may call.
    pub plan: PlanName,
    /// Service that it may call.
    pub service: ServiceName,
    /// Backend servers that may receive the calls; empty means all of the service.
    pub servers: Vec<ServerName>,
    /// Maximum rate in calls per second over the whole mesh; [`UNLIMITED`] means no limit.
    pub capacity: u32,
    /// Priority in admission under load.
    pub rank: Rank,
    /// Prefix of the request paths that the grant covers.
    pub path: PathPrefix,
    /// Optional settings of the calls.
    pub terms: Terms,
}

/// Home region of a plan without one: no process is in it, so no capacity is reserved for it.
pub const NO_HOME_REGION: &str = "any";

/// Value of [`Grant::capacity`] that means no limit.
pub const UNLIMITED: u32 = 0;

/// Optional settings of the calls of a grant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// Weight in the traffic split among the grants of one plan and path; `None` means 1.
    pub weight: Option<u32>,
    /// Kind of work; `None` if the method and an idempotency key of the request determine it.
    pub work: Option<Work>,
    /// Maximum time until the response in milliseconds; an earlier deadline of the caller still
    /// applies. `None` if the grant sets no maximum.
    pub timeout_ms: Option<u64>,
    /// Target latency (soft deadline) of a call in milliseconds; `None` if there is none.
    pub target_ms: Option<u64>,
    /// Maximum number of backend servers to which one call is sent; `None` means
    /// [`crate::retry::MAX_ATTEMPTS`].
    pub attempts: Option<u32>,
    /// Text that is stored with the grant and has no effect on calls; `None` if there is none.
    pub note: Option<String>,
}

/// Identifies a grant: at most one exists for each plan, service and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantKey {
    /// Plan that may call.
    pub plan: PlanName,
    /// Service that it may call.
    pub service: ServiceName,
    /// Prefix of the request paths.
    pub path: PathPrefix,
}

impl Grant {
    /// Returns the key of this grant.
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

/// Whether a backend server accepts new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ServerState {
    /// Accepts new calls.
    Serving,
    /// Finishes its running calls and accepts no new ones.
    Draining,
}

/// A backend server as it is announced to the daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name of the backend server.
    pub server: ServerName,
    /// Service that it offers.
    pub service: ServiceName,
    /// Daemon on the same VM, through which calls reach it.
    pub daemon: DaemonName,
    /// Peer address of that daemon, `ip:port`.
    pub address: std::net::SocketAddr,
    /// Data centre of the backend server and its daemon.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Region,
    /// Maximum number of calls that it runs concurrently; 0 if the server itself is draining, and not
    /// only its daemon.
    pub slots: u32,
    /// Whether it accepts new calls.
    pub state: ServerState,
    /// Changes with each start of the backend server.
    pub incarnation: u64,
}

impl Endpoint {
    /// Returns whether the endpoint may be in the endpoint set named `set`: the set of its data
    /// centre, or the set of its daemon alone.
    pub fn belongs_to(&self, set: &DataCentre) -> bool {
        self.data_centre == *set || self.daemon.as_str() == set.as_str()
    }
}
