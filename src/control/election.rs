//! Operators' requests that arrive while the group elects a leader.

use {
    crate::{
        raft::{Member, Role},
        replica::Status,
    },
    std::{
        future::pending,
        pin::pin,
        time::{Duration, Instant},
    },
    tokio::{sync::watch, time::timeout_at},
};

/// Longest time for which a request waits for the next leader. Operators ask another replica after a
/// second without an answer.
const NEXT_LEADER_TIMEOUT: Duration = Duration::from_millis(800);

/// Runs `operation`, and again once another leader is known if it found the leader unavailable.
///
/// A follower notices the loss of its leader only after the election timeout. If it refused requests
/// until then, operators would back off for longer than the election takes. A follower that knows no
/// leader answers at once: it may be cut off, and another replica may be able to answer.
pub(super) async fn retry_with_next_leader<T, E, F>(
    mut status: watch::Receiver<Status>,
    unavailable: impl Fn(&E) -> bool,
    operation: impl Fn() -> F,
) -> Result<T, E>
where
    F: Future<Output = Result<T, E>>,
{
    let deadline = Instant::now() + NEXT_LEADER_TIMEOUT;
    let (role, leader) = {
        let status = status.borrow_and_update();
        (status.role, status.leader.clone())
    };
    let Some(leader) = leader.filter(|_| role != Role::Leader) else {
        return operation().await;
    };
    let mut next_leader = pin!(await_other_leader(&mut status, &leader));
    tokio::select! {
        // The leader may not answer at all, so its successor ends the wait for it.
        () = &mut next_leader => operation().await,
        result = operation() => match result {
            Err(e) if unavailable(&e) => match timeout_at(deadline.into(), next_leader).await {
                Ok(()) => operation().await,
                Err(_elapsed) => Err(e),
            },
            result => result,
        },
    }
}

/// Waits until a leader other than `leader` is known; forever if the replica stops.
async fn await_other_leader(status: &mut watch::Receiver<Status>, leader: &Member) {
    let is_other = |status: &Status| status.leader.as_ref().is_some_and(|l| l.id != leader.id);
    if status.wait_for(is_other).await.is_err() {
        pending::<()>().await;
    }
}
