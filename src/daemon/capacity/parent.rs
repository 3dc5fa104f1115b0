//! Demand reports to the parent, and the stream of shares from it.

use {
    crate::{
        capacity::{DemandReports, OpenShares, ShareUpdate, Tier},
        daemon::shared::Shared,
        error::Result,
        events::Event as LogEvent,
        log_event,
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
    match sent.await {
        Ok(()) => shared.capacity.suspects().record_answer(address),
        Err(e) => {
            log::debug!("{e}");
            record_failure(&shared, address);
        }
    }
}

/// Reads shares from the parent until the task is aborted.
pub(super) async fn read_forever(shared: Arc<Shared>, address: SocketAddr) {
    loop {
        if let Err(e) = read_stream(&shared, address).await {
            log::debug!("{e}");
            record_failure(&shared, address);
        }
        sleep(REOPEN_DELAY).await;
    }
}

/// Avoids a relay that failed repeatedly. The leader has no substitute, and without accounts the shares of
/// plans outlast a relay that restarts.
fn record_failure(shared: &Shared, address: SocketAddr) {
    if shared.state().accounts().is_none() || shared.capacity.node().tier() == Tier::Region {
        return;
    }
    let now = Instant::now();
    if shared.capacity.suspects().record_failure(address, now) {
        log_event!(LogEvent::CapacityParentAvoided, parent = address);
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
