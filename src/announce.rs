//! Announcements of backend servers to the daemon beside them.

use {
    crate::model::{ServerName, ServerState, ServiceName},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Path of the daemon's local port that takes announcements by POST.
pub const ANNOUNCE_PATH: &str = "/announce";
/// Time for which an announcement is valid, unless the settings name another.
pub const ANNOUNCE_LEASE: Duration = Duration::from_secs(3);
/// Largest number of slots of a backend server.
pub const MAX_SLOTS: u32 = 100_000;

/// What a backend server says of itself; repeated each second.
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
    /// The service that it offers.
    pub service: ServiceName,
    /// Address that takes calls.
    pub address: SocketAddr,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    #[serde(default = "serving")]
    pub state: ServerState,
    /// Number that changes with each start.
    #[serde(default)]
    pub incarnation: u64,
}

/// What a repeated announcement says besides the announcement itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Beat {
    /// Rises with each announcement of one start; without it, announcements are never late.
    pub sequence: Option<u64>,
    /// How much longer the backend server is slow after its start, if it tells.
    pub cold: Option<Duration>,
}

const fn serving() -> ServerState {
    ServerState::Serving
}

/// Answer to an announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announced {
    /// Milliseconds until the lease ends unless it is renewed.
    pub lease_ms: u64,
    /// Calls that still run on the server.
    pub running: u32,
}
