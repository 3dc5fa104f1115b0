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
    platform.wait_until_ready().await;
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

/// Sends calls that the daemon must refuse, as no backend server is left.
async fn check_unused(platform: &Platform, path: &str) {
    for n in 0..20 {
        let id = format!("{path}-{n}");
        let answer = platform.call("POST", path, &id).await.unwrap();
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE, "{path}");
    }
    assert!(platform.upstream.runs_of(path).is_empty(), "{path}");
}

/// Guards against a draining state or a departure that a daemon has acknowledged and that is gone after
/// its restart, so that a heartbeat from before brings the server back.
#[tokio::test]
async fn what_a_daemon_acknowledged_outlives_its_restart() {
    for leaves in [false, true] {
        let mut platform = Platform::start_serving().await;
        let acknowledged = if leaves {
            platform.deregister("i-1").await
        } else {
            platform.heartbeat("i-1", 1, 5, "draining").await
        };
        assert_eq!(acknowledged, StatusCode::OK);
        platform.restart_daemon().await;
        let late = platform.heartbeat("i-1", 1, 4, "ready").await;
        assert_eq!(late, StatusCode::OK);
        check_unused(&platform, "/unsafe/late").await;
        // A newer start of the server is used.
        assert_eq!(
            platform.heartbeat("i-1", 2, 1, "ready").await,
            StatusCode::OK
        );
        wait_until("the restarted server is used", || async {
            let answer = platform.call("GET", "/safe/again", "again").await;
            answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
        })
        .await;
    }
}

/// Guards against an acknowledged drain that no other process knows.
#[tokio::test]
async fn a_drain_is_acknowledged_once_another_process_knows_it() {
    let mut platform = Platform::start_serving().await;
    platform.kill_control();
    let status = platform.heartbeat("i-1", 1, 5, "draining").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        platform.deregister("i-1").await,
        StatusCode::SERVICE_UNAVAILABLE
    );
    // The server gets nothing more all the same.
    check_unused(&platform, "/unsafe/draining").await;
}

/// Guards against a daemon that takes its own shutdown for a drain of the server.
#[tokio::test]
async fn a_server_is_used_again_after_a_planned_restart_of_its_daemon() {
    let platform = Platform::start_serving().await;
    let platform = platform.stop_and_start_daemon().await;
    assert_eq!(
        platform.heartbeat("i-1", 1, 5, "ready").await,
        StatusCode::OK
    );
    wait_until("the server is used", || async {
        let answer = platform.call("GET", "/safe/again", "again").await;
        answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
    })
    .await;
}
