//! Messages by which a backend server registers with its daemon.

use {
    crate::{
        model::{ServerName, ServerState, ServiceName},
        rollouts::VersionTag,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Path on the daemon's local port to which announcements are sent with POST.
pub const ANNOUNCE_PATH: &str = "/announce";
/// Default lease of an announcement; the settings can change it.
pub const ANNOUNCE_LEASE: Duration = Duration::from_secs(3);
/// Maximum number of slots of a backend server.
pub const MAX_SLOTS: u32 = 100_000;

/// Registration of a backend server, which renews it each second.
///
/// ```
/// use anvilbeam::announce::Announcement;
/// let text = r#"{"server": "b1", "service": "issuance", "address": "127.0.0.1:9000", "slots": 20}"#;
/// let announcement: Announcement = serde_json::from_str(text).unwrap();
/// assert_eq!(announcement.slots, 20);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the backend server.
    pub server: ServerName,
    /// Service that it provides.
    pub service: ServiceName,
    /// Address on which it accepts calls.
    pub address: SocketAddr,
    /// Number of calls that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new calls.
    #[serde(default = "serving")]
    pub state: ServerState,
    /// Identifies one start of the server; differs after each restart.
    #[serde(default)]
    pub incarnation: u64,
}

/// Attributes of one heartbeat that are not part of the announcement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatInfo {
    /// Sequence number, which increases with each heartbeat of an incarnation. `None` if the server
    /// sends none; its announcements are then applied in the order of arrival.
    pub sequence: Option<u64>,
    /// Remaining time of the warm-up after a start; `None` if the server does not report it.
    pub warm_up: Option<Duration>,
    /// Version of the server's software; `None` if it does not report it.
    pub version: Option<VersionTag>,
}

const fn serving() -> ServerState {
    ServerState::Serving
}

/// Response to an announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceAnswer {
    /// Milliseconds until the registration expires unless it is renewed.
    pub lease_ms: u64,
    /// Number of calls in flight on the server.
    pub running: u32,
}
