//! Heartbeats of the backend server beside a daemon, as announcements.

use {
    super::units::Millis,
    crate::{
        announce::{Announcement, Beat},
        model::ServerState,
    },
    serde::Deserialize,
    serde_with::serde_as,
    std::{net::SocketAddr, time::Duration},
};

#[serde_as]
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Body {
    service: String,
    address: SocketAddr,
    slots: u32,
    state: State,
    /// How much longer the server is slow after its start.
    #[serde_as(as = "Option<Millis>")]
    #[serde(default)]
    cold_remaining: Option<u64>,
    sequence: u64,
    /// Unix milliseconds of the start; rises with each start, also under the same id.
    #[serde(default, rename = "born")]
    started_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
}

/// What a backend server says of itself when it is about to end.
#[derive(Debug, Default, Deserialize)]
struct Farewell {
    #[serde(default, rename = "born")]
    started_ms: Option<u64>,
}

/// One heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The record of the server.
    pub announcement: Announcement,
    /// Order and state of this heartbeat.
    pub beat: Beat,
}

/// Decodes the heartbeat of the server `id`.
///
/// # Errors
/// Names what can't be read.
pub fn decode_heartbeat(id: &str, body: &[u8]) -> Result<Heartbeat, String> {
    let body: Body = serde_json::from_slice(body).map_err(|e| format!("heartbeat of {id}: {e}"))?;
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
        beat: Beat {
            sequence: Some(body.sequence),
            cold: Some(Duration::from_millis(
                body.cold_remaining.unwrap_or_default(),
            )),
        },
    })
}

/// The start that a farewell speaks of, if it tells.
pub(super) fn decode_farewell(body: &[u8]) -> Option<u64> {
    if body.is_empty() {
        return None;
    }
    match serde_json::from_slice::<Farewell>(body) {
        Ok(farewell) => farewell.started_ms,
        Err(e) => {
            log::warn!("farewell of the backend server names no start: {e}");
            None
        }
    }
}
