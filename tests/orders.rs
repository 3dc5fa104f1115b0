//! Orders, which must run at most once, while the processes around them fail.

mod support;

use {
    anvilbeam::stand_in::StandIn,
    http::StatusCode,
    std::time::Duration,
    support::{
        Mesh,
        calls::{get, order, spawn},
        send,
    },
    tokio::{join, time::sleep},
};

/// Guards against a second run of an order that is sent again, and of one key used for two
/// different requests.
#[tokio::test]
async fn an_order_sent_again_runs_once() {
    let mesh = Mesh::with_roll(1, 2, 2).await;
    let first = mesh.order(0, "again", "/order").await;
    assert_eq!(first.status, StatusCode::OK, "{first:?}");
    for at in 0..4 {
        let again = mesh.order(at, "again", "/order").await;
        assert_eq!((again.status, &again.body), (first.status, &first.body));
    }
    assert_eq!(mesh.runs_of("again"), 1);

    let other = order("again", "/order", "ten other rolls");
    let other = send(mesh.ports[1].callers, other).await.unwrap();
    assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY, "{other:?}");
    assert_eq!(other.outcome(), Some("not-run"));
    assert_eq!(mesh.runs_of("again"), 1);

    // Both at the same time: one runs, the other is told that a duplicate is in progress.
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
            let held = answer.status == StatusCode::CONFLICT && answer.outcome() == Some("unknown");
            assert!(answer.status == StatusCode::OK || held, "{answer:?}");
        }
        let again = mesh.order(1, &key, "/order?ms=100").await;
        assert_eq!(again.status, StatusCode::OK, "{again:?}");
        assert_eq!(mesh.runs_of(&key), 1);
    }
}

/// Guards against a second run after the owner daemon or the backend server was lost during the
/// first one: nobody knows how it ended.
#[tokio::test]
async fn an_order_whose_owner_or_server_is_lost_never_runs_again() {
    let mut mesh = Mesh::with_roll(1, 1, 3).await;
    for lost in ["daemon", "server"] {
        let before: Vec<u64> = mesh.servers.iter().map(StandIn::calls).collect();
        let running = order(lost, "/order?ms=3000", "ten rolls");
        let running = spawn(mesh.ports[0].callers, running);
        mesh.until_running(lost).await;
        let owner = (0..before.len()).find(|at| mesh.servers[*at].calls() > before[*at]);
        let owner = owner.unwrap();
        if lost == "daemon" {
            mesh.daemons[owner].kill();
        } else {
            mesh.servers[owner].crash();
        }
        let answer = running.await.unwrap().unwrap();
        assert_eq!(answer.outcome(), Some("unknown"), "{lost}: {answer:?}");
        for _ in 0..3 {
            let again = mesh.order(0, lost, "/order?ms=3000").await;
            assert_eq!(again.outcome(), Some("unknown"), "{lost}: {again:?}");
            assert_eq!(again.status, StatusCode::CONFLICT, "{lost}: {again:?}");
        }
        assert_eq!(mesh.runs_of(lost), 1, "{lost}");
        mesh.until_orders_go_on(0, &format!("after-{lost}")).await;
    }
}

/// Guards against lost or repeated orders while the claims group elects a leader, and while it is
/// gone; GETs must not depend on it.
#[tokio::test]
async fn orders_outlive_the_claims_leader_and_never_run_without_the_group() {
    let mut mesh = Mesh::with_roll(3, 1, 2).await;
    let first = mesh.order(0, "first", "/order").await;
    assert_eq!(first.status, StatusCode::OK, "{first:?}");

    let leader = mesh.claims_leader().await;
    mesh.claims[leader].kill();
    mesh.until_orders_go_on(0, "before-the-claim").await;
    mesh.claims[leader].start();

    let leader = mesh.claims_leader().await;
    let running = order("after-the-claim", "/order?ms=500", "ten rolls");
    let running = spawn(mesh.ports[0].callers, running);
    mesh.until_running("after-the-claim").await;
    mesh.claims[leader].kill();
    let answer = running.await.unwrap().unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    let again = mesh.order(0, "after-the-claim", "/order?ms=500").await;
    assert_eq!(again.body, answer.body, "{again:?}");
    assert_eq!(mesh.runs_of("after-the-claim"), 1);

    let running = order("during", "/order?ms=500", "ten rolls");
    let running = spawn(mesh.ports[0].callers, running);
    mesh.until_running("during").await;
    for replica in &mut mesh.claims {
        replica.kill();
    }
    let answer = running.await.unwrap().unwrap();
    assert_eq!(
        answer.status,
        StatusCode::OK,
        "the answer is held: {answer:?}"
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
    mesh.until_orders_go_on(0, "after-the-restart").await;
    assert_eq!(mesh.runs_of("refused"), 0);
    let now = mesh.order(0, "refused", "/order").await;
    assert_eq!((now.status, mesh.runs_of("refused")), (StatusCode::OK, 1));
    let again = mesh.order(0, "first", "/order").await;
    assert_eq!((again.status, again.body), (first.status, first.body));
    assert_eq!(mesh.runs_of("first"), 1);
    mesh.order(0, "during", "/order?ms=500").await;
    assert_eq!(mesh.runs_of("during"), 1);
}

/// Guards against an outage of the config group that stops orders or reads.
#[tokio::test]
async fn orders_go_on_without_the_config_group() {
    let mut mesh = Mesh::with_roll(1, 1, 2).await;
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

/// Guards against refusals that claim "not run" of an order that runs later, and against second
/// runs, while replicas, daemons and servers are lost under a stream of orders.
#[tokio::test]
async fn refusals_tell_the_truth_while_processes_are_lost() {
    let mut mesh = Mesh::with_roll(3, 2, 4).await;
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
        running.push((key, spawn(mesh.ports[number % 2].callers, req)));
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
        let again = mesh.order(0, key, "/order?ms=50").await;
        assert!(mesh.runs_of(key) <= 1, "{key}: {answer:?}, then {again:?}");
        if answer.outcome().is_none() {
            assert_eq!(again.body, answer.body, "{key}");
        }
        // Nothing holds the key of an order that did not run.
        if answer.outcome() == Some("not-run") {
            assert_eq!(
                again.status,
                StatusCode::OK,
                "{key}: {answer:?}, then {again:?}"
            );
        }
    }
}
