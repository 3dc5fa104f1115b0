//! Conversion of a backend server's heartbeats to announcements.

use {
    super::units::Millis,
    crate::{
        announce::{Announcement, HeartbeatInfo},
        model::ServerState,
    },
    serde::Deserialize,
    serde_with::serde_as,
    std::{net::SocketAddr, time::Duration},
};

#[serde_as]
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct HeartbeatBody {
    service: String,
    address: SocketAddr,
    slots: u32,
    state: State,
    /// Remaining time of the warm-up after a start.
    #[serde_as(as = "Option<Millis>")]
    #[serde(default)]
    cold_remaining: Option<u64>,
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

/// Decodes a heartbeat of the server `id`.
///
/// # Errors
/// Returns a description of the invalid part.
pub fn decode_heartbeat(id: &str, body: &[u8]) -> Result<Heartbeat, String> {
    let body: HeartbeatBody =
        serde_json::from_slice(body).map_err(|e| format!("heartbeat of {id}: {e}"))?;
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
            warm_up: Some(Duration::from_millis(
                body.cold_remaining.unwrap_or_default(),
            )),
        },
    })
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
