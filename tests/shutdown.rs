//! Daemons and backend servers that leave, with and without notice.

mod support;

use {
    anvilbeam::{body::Body, stand_in::StandIn},
    http::{Request, StatusCode},
    std::time::Duration,
    support::{
        Mesh,
        calls::{CHUNK, generated, get, put, spawn, until},
        send,
    },
    tokio::{task::spawn_blocking, time::sleep},
};

/// Chunks of the uploads, and the pause before each; 7 s outlast the notice of a shutdown.
const CHUNKS: u64 = 28;
const PAUSE: Duration = Duration::from_millis(250);

fn slow_get(path: &str) -> Request<Body> {
    let mut req = get(path);
    req.headers_mut()
        .insert("anvilbeam-timeout-ms", 30_000.into());
    req
}

/// Guards against a graceful stop that cuts calls in flight, on the daemon as entry and as owner,
/// or that fails new calls of other daemons.
#[tokio::test]
async fn a_graceful_stop_cuts_no_call() {
    let mut mesh = Mesh::with_roll(1, 1, 1).await;
    let (entry, stopped) = (mesh.ports[0].callers, mesh.ports[1].callers);
    let mut gets = Vec::new();
    let mut uploads = Vec::new();
    for address in [entry, stopped] {
        gets.push(spawn(address, slow_get("/entry?ms=7000")));
        uploads.push(spawn(address, put("/upload", generated(CHUNKS, PAUSE))));
    }
    until("all calls run", async || mesh.servers[1].calls() == 4).await;
    mesh.add("r1-a", "roll", 16);
    mesh.until_usable(0, 2).await;

    let mut process = mesh.daemons.remove(1);
    let stopping = spawn_blocking(move || process.terminate());
    let mut calls_at_notice = None;
    while !stopping.is_finished() {
        let answer = send(entry, get("/entry")).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        if mesh.usable(0).await.is_some_and(|names| names.len() == 1) {
            calls_at_notice.get_or_insert(mesh.servers[1].calls());
        }
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(calls_at_notice, Some(mesh.servers[1].calls()));
    for call in gets {
        let answer = call.await.unwrap().unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        assert_eq!(answer.echo().path, "/entry?ms=7000");
    }
    for call in uploads {
        let answer = call.await.unwrap().unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        assert_eq!(answer.echo().received, CHUNKS * CHUNK.len() as u64);
    }
    assert!(stopping.await.unwrap(), "the daemon failed to stop");
    assert_eq!(mesh.servers[1].truncated_bodies(), 0);
}

/// Guards against new calls for a backend server that is leaving, and against the loss of the
/// calls that it still runs.
#[tokio::test]
async fn a_draining_server_gets_no_new_call_and_ends_its_calls() {
    let mesh = Mesh::with_roll(1, 1, 2).await;
    let leaving = &mesh.servers[1];
    let calls: Vec<_> = (0..8)
        .map(|_| spawn(mesh.ports[0].callers, slow_get("/entry?ms=5000")))
        .collect();
    let running = || mesh.servers.iter().map(StandIn::calls).sum::<u64>();
    until("all calls run", async || running() == 8).await;
    assert!(leaving.calls() > 0);
    leaving.drain();
    for at in 0..3 {
        mesh.until_usable(at, 1).await;
    }
    let before = leaving.calls();
    for number in 0..60 {
        let answer = send(mesh.ports[number % 3].callers, get("/entry")).await;
        assert_eq!(answer.unwrap().status, StatusCode::OK);
    }
    assert_eq!(leaving.calls(), before);
    for call in calls {
        let answer = call.await.unwrap().unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
}

/// Guards against calls that fail because a daemon was killed while another server is there.
#[tokio::test]
async fn calls_go_to_others_after_a_daemon_was_killed() {
    let mut mesh = Mesh::with_roll(1, 1, 3).await;
    let lost = 2;
    mesh.daemons[lost].kill();
    for _ in 0..50 {
        let answer = send(mesh.ports[0].callers, get("/entry")).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        assert_ne!(answer.echo().server, format!("server-{lost}"));
    }
    mesh.until_usable(0, 2).await;
    mesh.daemons[lost].start();
    // An ejected server returns by a call that tries it, so waiting alone is not enough.
    until("the server answers again", async || {
        let answer = send(mesh.ports[0].callers, get("/entry")).await.unwrap();
        answer.status == StatusCode::OK && answer.echo().server == format!("server-{lost}")
    })
    .await;
}
