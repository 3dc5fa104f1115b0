//! Orders run at most once while daemons, backend servers and claims replicas fail.

mod support;

use {
    anvilbeam::stand_in::StandIn,
    http::StatusCode,
    std::time::Duration,
    support::{
        Mesh,
        calls::{get, order, spawn_send},
        send,
    },
    tokio::{join, time::sleep},
};

/// Guards against a second run of an order that is sent again, and against a run of a different
/// request with the same key.
#[tokio::test]
async fn an_order_sent_again_runs_once() {
    let mesh = Mesh::start_with_daemons(1, 2, 2).await;
    let first = mesh.order(0, "again", "/order").await;
    assert_eq!(first.status, StatusCode::OK, "{first:?}");
    for daemon in 0..4 {
        let resent = mesh.order(daemon, "again", "/order").await;
        assert_eq!((resent.status, &resent.body), (first.status, &first.body));
    }
    assert_eq!(mesh.runs_of("again"), 1);

    let other = order("again", "/order", "ten other rolls");
    let other = send(mesh.ports[1].callers, other).await.unwrap();
    assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY, "{other:?}");
    assert_eq!(other.outcome(), Some("not-run"));
    assert_eq!(mesh.runs_of("again"), 1);

    // Two at the same time: one runs, the other is refused because a duplicate is in progress.
    for round in 0..5 {
        let key = format!("both-{round}");
        let (a, b) = join!(
            mesh.order(0, &key, "/order?ms=100"),
            mesh.order(1, &key, "/order?ms=100")
        );
        assert_eq!(mesh.runs_of(&key), 1, "{a:?} {b:?}");
        assert!(
            [&a, &b]
                .iter()
                .any(|answer| answer.status == StatusCode::OK)
        );
        for answer in [a, b] {
            let pending =
                answer.status == StatusCode::CONFLICT && answer.outcome() == Some("unknown");
            assert!(answer.status == StatusCode::OK || pending, "{answer:?}");
        }
        let resent = mesh.order(1, &key, "/order?ms=100").await;
        assert_eq!(resent.status, StatusCode::OK, "{resent:?}");
        assert_eq!(mesh.runs_of(&key), 1);
    }
}

/// Guards against a second run after the owner daemon or the backend server was lost during the
/// first, whose outcome is then unknown.
#[tokio::test]
async fn an_order_whose_owner_or_server_is_lost_never_runs_again() {
    let mut mesh = Mesh::start_with_daemons(1, 1, 3).await;
    for lost in ["daemon", "server"] {
        let before: Vec<u64> = mesh.servers.iter().map(StandIn::calls).collect();
        let running = order(lost, "/order?ms=3000", "ten rolls");
        let running = spawn_send(mesh.ports[0].callers, running);
        mesh.wait_until_order_runs(lost).await;
        let owner =
            (0..before.len()).find(|daemon| mesh.servers[*daemon].calls() > before[*daemon]);
        let owner = owner.unwrap();
        if lost == "daemon" {
            mesh.daemons[owner].kill();
        } else {
            mesh.servers[owner].crash();
        }
        let answer = running.await.unwrap().unwrap();
        assert_eq!(answer.outcome(), Some("unknown"), "{lost}: {answer:?}");
        for _ in 0..3 {
            let resent = mesh.order(0, lost, "/order?ms=3000").await;
            assert_eq!(resent.outcome(), Some("unknown"), "{lost}: {resent:?}");
            assert_eq!(resent.status, StatusCode::CONFLICT, "{lost}: {resent:?}");
        }
        assert_eq!(mesh.runs_of(lost), 1, "{lost}");
        mesh.wait_until_order_succeeds(0, &format!("after-{lost}"))
            .await;
    }
}

/// Guards against lost or repeated orders while the claims group elects a leader or is down, and
/// against GETs that depend on the group.
#[tokio::test]
async fn orders_survive_loss_of_the_claims_leader_and_never_run_without_the_group() {
    let mut mesh = Mesh::start_with_daemons(3, 1, 2).await;
    let first = mesh.order(0, "first", "/order").await;
    assert_eq!(first.status, StatusCode::OK, "{first:?}");

    let leader = mesh.claims_leader().await;
    mesh.claims[leader].kill();
    mesh.wait_until_order_succeeds(0, "before-the-claim").await;
    mesh.claims[leader].start();

    let leader = mesh.claims_leader().await;
    let running = order("after-the-claim", "/order?ms=500", "ten rolls");
    let running = spawn_send(mesh.ports[0].callers, running);
    mesh.wait_until_order_runs("after-the-claim").await;
    mesh.claims[leader].kill();
    let answer = running.await.unwrap().unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    let resent = mesh.order(0, "after-the-claim", "/order?ms=500").await;
    assert_eq!(resent.body, answer.body, "{resent:?}");
    assert_eq!(mesh.runs_of("after-the-claim"), 1);

    let running = order("during", "/order?ms=500", "ten rolls");
    let running = spawn_send(mesh.ports[0].callers, running);
    mesh.wait_until_order_runs("during").await;
    for replica in &mut mesh.claims {
        replica.kill();
    }
    let answer = running.await.unwrap().unwrap();
    assert_eq!(
        answer.status,
        StatusCode::OK,
        "an answer must be delivered without the group: {answer:?}"
    );
    for key in ["first", "refused"] {
        let req = order(key, "/order", "ten rolls");
        let (mut parts, body) = req.into_parts();
        parts.headers.insert("anvilbeam-timeout-ms", 300.into());
        let req = http::Request::from_parts(parts, body);
        let refused = send(mesh.ports[0].callers, req).await.unwrap();
        assert!(refused.outcome().is_some(), "{refused:?}");
    }
    let read = send(mesh.ports[0].callers, get("/entry")).await.unwrap();
    assert_eq!(read.status, StatusCode::OK, "{read:?}");
    for replica in &mut mesh.claims {
        replica.start();
    }
    mesh.wait_until_order_succeeds(0, "after-the-restart").await;
    assert_eq!(mesh.runs_of("refused"), 0);
    let retried = mesh.order(0, "refused", "/order").await;
    assert_eq!(
        (retried.status, mesh.runs_of("refused")),
        (StatusCode::OK, 1)
    );
    let resent = mesh.order(0, "first", "/order").await;
    assert_eq!((resent.status, resent.body), (first.status, first.body));
    assert_eq!(mesh.runs_of("first"), 1);
    mesh.order(0, "during", "/order?ms=500").await;
    assert_eq!(mesh.runs_of("during"), 1);
}

/// Guards against an outage of the config group that makes orders or GETs fail.
#[tokio::test]
async fn orders_go_on_without_the_config_group() {
    let mut mesh = Mesh::start_with_daemons(1, 1, 2).await;
    mesh.control[0].kill();
    for number in 0..40 {
        let key = format!("order-{number}");
        let answer = mesh.order(0, &key, "/order?ms=100").await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        assert_eq!(mesh.runs_of(&key), 1);
        let read = send(mesh.ports[0].callers, get("/entry")).await.unwrap();
        assert_eq!(read.status, StatusCode::OK, "{read:?}");
    }
}

/// Guards against a refusal with the outcome `not-run` of an order that runs, and against second
/// runs, while a claims replica, a daemon and a server are lost under a stream of orders.
#[tokio::test]
async fn not_run_refusals_hold_while_processes_are_lost() {
    let mut mesh = Mesh::start_with_daemons(3, 2, 4).await;
    let leader = mesh.claims_leader().await;
    let mut running = Vec::new();
    for number in 0..200_usize {
        match number {
            40 => mesh.claims[leader].kill(),
            80 => mesh.daemons[2].kill(),
            120 => mesh.servers[3].crash(),
            160 => mesh.claims[leader].start(),
            _ => {}
        }
        let key = format!("order-{number}");
        let req = order(&key, "/order?ms=50", "ten rolls");
        running.push((key, spawn_send(mesh.ports[number % 2].callers, req)));
        sleep(Duration::from_millis(20)).await;
    }
    let mut answers = Vec::new();
    for (key, call) in running {
        answers.push((key, call.await.unwrap().unwrap()));
    }
    let answered = answers.iter().filter(|(_, a)| a.outcome().is_none());
    assert!(answered.count() > 100, "{answers:?}");
    for (key, answer) in &answers {
        let runs = mesh.runs_of(key);
        match answer.outcome() {
            None => assert_eq!((answer.status, runs), (StatusCode::OK, 1), "{key}"),
            Some("not-run") => assert_eq!(runs, 0, "{key}: {answer:?}"),
            Some(_) => assert!(runs <= 1, "{key}: {runs} runs, {answer:?}"),
        }
    }
    for (key, answer) in &answers {
        let resent = mesh.order(0, key, "/order?ms=50").await;
        assert!(mesh.runs_of(key) <= 1, "{key}: {answer:?}, then {resent:?}");
        if answer.outcome().is_none() {
            assert_eq!(resent.body, answer.body, "{key}");
        }
        // No claim is left on the key of an order that did not run.
        if answer.outcome() == Some("not-run") {
            assert_eq!(
                resent.status,
                StatusCode::OK,
                "{key}: {answer:?}, then {resent:?}"
            );
        }
    }
}
