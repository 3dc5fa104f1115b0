//! Conversion of a backend server's heartbeats to announcements.

use {
    super::units::Millis,
    crate::{
        announce::{Announcement, HeartbeatInfo},
        model::ServerState,
        rollouts::VersionTag,
    },
    serde::Deserialize,
    serde_with::serde_as,
    std::{net::SocketAddr, time::Duration},
};

/// Largest number of a heartbeat: the largest integer that all JSON readers represent exactly.
const MAX_SEQUENCE: u64 = 1 << 53;
/// Longest warm-up in milliseconds: a day.
const MAX_WARM_UP_MS: u64 = 86_400_000;
/// Largest difference between the clocks of the daemon and its backend server in milliseconds: an hour.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 3_600_000;

#[serde_as]
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct HeartbeatBody {
    service: String,
    address: SocketAddr,
    zone: String,
    version: String,
    slots: u32,
    state: State,
    /// Remaining time of the warm-up after a start.
    #[serde_as(as = "Millis")]
    cold_remaining: u64,
    sequence: u64,
    /// Start time in Unix milliseconds; increases with each start, also of a server with the same
    /// id.
    #[serde(default, rename = "born")]
    started_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
}

/// Message of a backend server that is shutting down.
#[derive(Debug, Default, Deserialize)]
struct ShutdownMessage {
    #[serde(default, rename = "born")]
    started_ms: Option<u64>,
}

/// One decoded heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Registration of the server.
    pub announcement: Announcement,
    /// Sequence number and warm-up state.
    pub info: HeartbeatInfo,
}

/// Decodes a heartbeat of the server `id`, received at time of day `unix_ms`.
///
/// A heartbeat with an invalid part comes from another writer and says nothing about the server.
///
/// # Errors
/// Returns a description of the invalid part.
pub fn decode_heartbeat(id: &str, body: &[u8], unix_ms: u64) -> Result<Heartbeat, String> {
    let body: HeartbeatBody =
        serde_json::from_slice(body).map_err(|e| format!("heartbeat of {id}: {e}"))?;
    check_heartbeat(&body, unix_ms).map_err(|e| format!("heartbeat of {id}: {e}"))?;
    Ok(Heartbeat {
        announcement: Announcement {
            server: id.into(),
            service: body.service.as_str().into(),
            address: body.address,
            slots: body.slots,
            state: match body.state {
                State::Ready => ServerState::Serving,
                State::Draining => ServerState::Draining,
            },
            incarnation: body.started_ms,
        },
        info: HeartbeatInfo {
            sequence: Some(body.sequence),
            warm_up: Some(Duration::from_millis(body.cold_remaining)),
            version: Some(VersionTag::of(&body.version)),
        },
    })
}

fn check_heartbeat(body: &HeartbeatBody, unix_ms: u64) -> Result<(), String> {
    let HeartbeatBody {
        zone,
        version,
        cold_remaining,
        sequence,
        started_ms,
        ..
    } = body;
    if zone.is_empty() || version.is_empty() {
        return Err("the data centre or the version is empty".to_owned());
    }
    if *cold_remaining > MAX_WARM_UP_MS {
        return Err(format!(
            "warm-up of {cold_remaining} ms exceeds {MAX_WARM_UP_MS} ms"
        ));
    }
    if *sequence > MAX_SEQUENCE {
        return Err(format!("number {sequence} exceeds {MAX_SEQUENCE}"));
    }
    if *started_ms > unix_ms.saturating_add(MAX_CLOCK_DIFFERENCE_MS) {
        return Err(format!("start time {started_ms} is in the future"));
    }
    Ok(())
}

/// Decodes the incarnation that is shutting down; `None` if the message does not name it.
pub(super) fn decode_shutdown(body: &[u8]) -> Option<u64> {
    if body.is_empty() {
        return None;
    }
    match serde_json::from_slice::<ShutdownMessage>(body) {
        Ok(message) => message.started_ms,
        Err(e) => {
            log::warn!("invalid body in the shutdown message of the backend server, ignored: {e}");
            None
        }
    }
}
