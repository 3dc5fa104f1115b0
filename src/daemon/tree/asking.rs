//! Requests of a daemon in the distribution tree to control and to its peers.

use {
    super::Tree,
    crate::{
        error::Result,
        events::Event as LogEvent,
        log_event,
        model::{DaemonName, Version},
        relays::{ANSWER_TIMEOUT, Attach, AttachReply, Event},
        tree_wire::{ATTACH_PATH, FETCH_PATH, VERSION_PATH, VersionAnswer},
        versions::DeltaPart,
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Timeout of a fetch as a whole.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

impl Tree {
    pub(super) async fn ask_control(self: Arc<Self>, address: SocketAddr, attach: Attach) {
        let answer = self
            .request::<_, AttachReply>("attach", address, ATTACH_PATH, &attach)
            .await;
        let reply = answer.map_err(|e| log::debug!("{e}")).ok();
        if let Some(AttachReply::Attached {
            floor: Some(floor), ..
        }) = &reply
        {
            log_event!(LogEvent::FloorLearned, version = floor, from = address);
        }
        self.step(Event::Attached { address, reply });
    }

    pub(super) async fn ask_version(self: Arc<Self>, peer: DaemonName, address: SocketAddr) {
        let answer = self
            .request::<_, VersionAnswer>("ask version", address, VERSION_PATH, &())
            .await;
        if let Ok(VersionAnswer { version }) = answer {
            log_event!(
                LogEvent::FloorLearned,
                version = version.unwrap_or_default(),
                from = peer
            );
            self.step(Event::PeerVersion { peer, version });
        }
    }

    pub(super) async fn fetch(self: Arc<Self>, address: SocketAddr, version: Version) {
        match self.fetch_parts(address, version).await {
            Ok(parts) => self.step(Event::Fetched(parts)),
            Err(e) => log::debug!("{e}"),
        }
    }

    async fn fetch_parts(&self, address: SocketAddr, version: Version) -> Result<Vec<DeltaPart>> {
        let deadline = Instant::now() + FETCH_TIMEOUT;
        let mut frames = self
            .shared
            .client
            .open_stream::<_, DeltaPart>("fetch", address, FETCH_PATH, &version, deadline)
            .await?;
        let mut parts = Vec::new();
        loop {
            let part = frames.next(deadline).await?;
            let last = part.part + 1 >= part.parts;
            parts.push(part);
            if last {
                return Ok(parts);
            }
        }
    }

    async fn request<Q, A>(
        &self,
        step: &'static str,
        address: SocketAddr,
        path: &str,
        message: &Q,
    ) -> Result<A>
    where
        Q: serde::Serialize,
        A: serde::de::DeserializeOwned,
    {
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        let client = &self.shared.client;
        client.request(step, address, path, message, deadline).await
    }
}
