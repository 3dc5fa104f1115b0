//! The capacity of a grant that several daemon processes share.

mod support;

use {
    http::StatusCode,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    support::{Answer, Mesh, grants_with_capacity, plans, request, send},
};

/// Calls per second of the grant.
const CAPACITY: u32 = 50;
/// Duration for which all callers send without a pause.
const FLOOD: Duration = Duration::from_secs(4);
/// Callers at each daemon. A call waits up to a second for capacity, so more than 50 callers in all
/// are needed to exceed the capacity reliably.
const CALLERS: usize = 32;

/// Guards against daemons that each admit the whole capacity of a grant, and against refusals
/// without the outcome `not-run` or a retry time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_grant_stays_within_its_capacity_over_three_daemons() {
    let mut mesh = Mesh::start(1);
    let daemons = [
        mesh.add_daemon("r1-a", "roll", 64),
        mesh.add_daemon("r1-a", "roll", 64),
        mesh.add_daemon("r1-b", "roll", 64),
    ];
    let grants = grants_with_capacity("clerks", "roll", CAPACITY);
    mesh.put(&plans(&["clerks"]), &grants).await;
    for daemon in daemons {
        mesh.call_until(daemon, "roll", "/", "clerks-key", |a| {
            a.status == StatusCode::OK
        })
        .await;
    }

    let calls_run = |mesh: &Mesh| {
        mesh.servers
            .iter()
            .map(anvilbeam::stand_in::StandIn::calls)
            .sum::<u64>()
    };
    let before = calls_run(&mesh);
    let started = Instant::now();
    let mesh = Arc::new(mesh);
    let callers = daemons.iter().flat_map(|daemon| [*daemon; CALLERS]);
    let callers: Vec<_> = callers
        .map(|daemon| tokio::spawn(send_until(mesh.ports[daemon].callers, started + FLOOD)))
        .collect();
    let mut answers = Vec::new();
    for caller in callers {
        answers.extend(caller.await.unwrap());
    }
    let seconds = started.elapsed().as_secs_f64();
    let calls_run = calls_run(&mesh) - before;

    // Bursts and credits add at most half a second's calls, plus one call.
    let bound = f64::from(CAPACITY) * (seconds + 0.5) + 1.0;
    println!(
        "{calls_run} calls ran in {seconds:.1} s, {} were sent",
        answers.len()
    );
    assert!(
        calls_run as f64 <= bound,
        "{calls_run} calls ran, the bound is {bound}"
    );
    let (served, refused): (Vec<_>, Vec<_>) = answers
        .iter()
        .partition(|answer| answer.status == StatusCode::OK);
    assert_eq!(served.len() as u64, calls_run);
    assert!(
        served.len() >= 10,
        "only {} calls were admitted",
        served.len()
    );
    assert!(!refused.is_empty(), "the grant was never exhausted");
    for answer in refused {
        assert_eq!(answer.status, StatusCode::TOO_MANY_REQUESTS, "{answer:?}");
        assert_eq!(answer.outcome(), Some("not-run"), "{answer:?}");
        assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
    }
}

async fn send_until(address: std::net::SocketAddr, until: Instant) -> Vec<Answer> {
    let mut answers = Vec::new();
    while Instant::now() < until {
        let req = request("GET", "roll", "/", "clerks-key")
            .body(anvilbeam::body::empty())
            .unwrap();
        answers.push(send(address, req).await.unwrap());
    }
    answers
}
