//! The path from an edit to a routed call, through separate processes.

mod support;

use {
    http::StatusCode,
    support::{Mesh, grants, plans},
};

/// Guards against an edit that does not change the routing, and against one that is lost when all
/// processes are killed.
#[tokio::test]
async fn an_edit_moves_a_request_and_survives_a_kill() {
    let mut mesh = Mesh::start(1);
    let first = mesh.add_daemon("r1-a", "roll", 4);
    let second = mesh.add_daemon("r1-a", "roll", 4);
    mesh.put(
        &plans(&["clerks"]),
        &grants(&[("clerks", "roll", "server-0")]),
    )
    .await;
    for daemon in [first, second] {
        let answer = mesh
            .call_until(daemon, "roll", "/entry?id=7", "clerks-key", |a| {
                a.status == StatusCode::OK
            })
            .await;
        assert_eq!(answer.echo().server, "server-0");
        assert_eq!(answer.echo().path, "/entry?id=7");
    }

    mesh.put(
        &plans(&["clerks"]),
        &grants(&[("clerks", "roll", "server-1")]),
    )
    .await;
    for daemon in [first, second] {
        mesh.call_until(daemon, "roll", "/entry", "clerks-key", |a| {
            a.status == StatusCode::OK && a.echo().server == "server-1"
        })
        .await;
    }

    // All processes are killed at once, so that the lists are only on disk.
    for process in mesh.control.iter_mut().chain(&mut mesh.daemons) {
        process.kill();
    }
    for process in mesh.control.iter_mut().chain(&mut mesh.daemons) {
        process.start();
    }
    let answer = mesh
        .call_until(first, "roll", "/entry", "clerks-key", |a| {
            a.status == StatusCode::OK
        })
        .await;
    assert_eq!(answer.echo().server, "server-1");

    let refused = mesh.call(first, "GET", "roll", "/entry", "wrong-key").await;
    assert_eq!(refused.status, StatusCode::UNAUTHORIZED);
    assert_eq!(refused.outcome(), Some("not-run"));
    let refused = mesh
        .call(first, "GET", "issuance", "/entry", "clerks-key")
        .await;
    assert_eq!(refused.status, StatusCode::FORBIDDEN);
}
