//! Demand reports to the parent, and the stream of shares from it.

use {
    crate::{
        capacity::{DemandReports, OpenShares, ShareUpdate},
        daemon::shared::Shared,
        error::Result,
        metrics::{Direction, Link},
        tree_wire::{DEMAND_PATH, SHARES_PATH},
        wire,
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Timeout of a request to the parent.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a read from the stream of shares, after which the stream is opened again.
const READ_TIMEOUT: Duration = Duration::from_mins(10);
/// Delay before a failed stream is opened again.
const REOPEN_DELAY: Duration = Duration::from_millis(250);

/// Sends a demand report to the parent.
pub(super) async fn send(shared: Arc<Shared>, address: SocketAddr, message: DemandReports) {
    let bytes = wire::encode(&message).map_or(0, |buf| buf.len() as u64);
    let metrics = &shared.metrics;
    metrics.add_control_bytes(Link::Parent, Direction::Out, bytes);
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    let client = &shared.client;
    let sent = client.request::<_, ()>("demand", address, DEMAND_PATH, &message, deadline);
    if let Err(e) = sent.await {
        log::debug!("{e}");
    }
}

/// Reads shares from the parent until the task is aborted.
pub(super) async fn read_forever(shared: Arc<Shared>, address: SocketAddr) {
    loop {
        if let Err(e) = read_stream(&shared, address).await {
            log::debug!("{e}");
        }
        sleep(REOPEN_DELAY).await;
    }
}

async fn read_stream(shared: &Shared, address: SocketAddr) -> Result<()> {
    let req = OpenShares {
        daemon: shared.cfg.name.clone(),
        stream: shared.next_call_id(),
    };
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    let client = &shared.client;
    let mut frames = client
        .open_stream::<_, Vec<ShareUpdate>>("shares", address, SHARES_PATH, &req, deadline)
        .await?;
    let mut counted_bytes = 0;
    loop {
        let updates = frames.next(Instant::now() + READ_TIMEOUT).await?;
        let received = frames.received();
        let metrics = &shared.metrics;
        metrics.add_control_bytes(Link::Parent, Direction::In, received - counted_bytes);
        counted_bytes = received;
        shared.capacity.apply_shares(updates);
    }
}
