//! A request that crashes every backend server that runs it.

mod support;

use {
    http::StatusCode,
    support::{Mesh, grants, plans},
};

/// Backend servers of the service; one request may crash two of them.
const SERVERS: usize = 4;

/// Guards against a request that crashes one backend server after another because its caller sends
/// it again through other daemons after each failure.
#[tokio::test]
async fn a_request_crashes_at_most_two_servers() {
    let mut mesh = Mesh::start(1);
    for _ in 0..SERVERS {
        mesh.add_daemon("r1-a", "roll", 4);
    }
    mesh.put(&plans(&["clerks"]), &grants(&[("clerks", "roll", "")]))
        .await;
    for daemon in 0..SERVERS {
        mesh.wait_for_candidates(daemon, "clerks", "roll", SERVERS)
            .await;
    }

    let mut condemned = false;
    for resend in 0..3 * SERVERS {
        let answer = mesh
            .call(
                resend % SERVERS,
                "GET",
                "roll",
                "/crash?entry=7",
                "clerks-key",
            )
            .await;
        condemned |= answer.reason() == Some("condemned");
    }
    let running = mesh.servers.iter().filter(|server| server.is_running());
    assert!(
        running.count() >= SERVERS - 2,
        "more than two servers crashed"
    );
    assert!(condemned, "the request was never refused as condemned");

    let answer = mesh
        .call_until(0, "roll", "/entry", "clerks-key", |answer| {
            answer.status == StatusCode::OK
        })
        .await;
    assert_eq!(answer.echo().path, "/entry");
}
