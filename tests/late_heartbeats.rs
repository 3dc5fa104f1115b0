//! Heartbeats of backend servers of the platform that arrive after later messages.

mod platform;

use {
    http::StatusCode,
    platform::{Platform, configuration, wait_until},
    std::time::{SystemTime, UNIX_EPOCH},
};

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    since.as_millis() as u64
}

/// Guards against calls to a backend server whose departure a daemon has acknowledged after its restart,
/// before any heartbeat of the server, and which a delayed heartbeat announces again.
#[tokio::test]
async fn a_departure_that_a_restarted_daemon_acknowledged_is_final() {
    let platform = Platform::start().await;
    platform.put_until_accepted(&configuration(1, 0, &[])).await;
    wait_until("the daemon is ready", || async {
        platform.readiness().await == StatusCode::OK
    })
    .await;
    let started = unix_ms() - 60_000;
    assert_eq!(platform.deregister("i-1").await, StatusCode::OK);
    let late = platform.heartbeat("i-1", started, 9, "ready").await;
    assert_eq!(late, StatusCode::OK);
    for n in 0..20 {
        let id = format!("late-{n}");
        let answer = platform.call("POST", "/unsafe/late", &id).await.unwrap();
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    }
    assert!(platform.upstream.runs_of("late").is_empty());

    // Its next start is used, although it has the same id.
    let restarted = unix_ms() + 1;
    let again = platform.heartbeat("i-1", restarted, 1, "ready").await;
    assert_eq!(again, StatusCode::OK);
    wait_until("the restarted server is used", || async {
        let answer = platform.call("GET", "/safe/again", "again").await;
        answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
    })
    .await;
}
