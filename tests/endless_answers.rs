//! Answers without end, garbage and other answers of a backend server in trouble: each call gets
//! one truthful answer in time, and its connection is closed.

mod platform;

use {
    anvilbeam::{
        announce::Announcement,
        backend::{Backend, CallError, ResponseDeadline},
        body,
        model::ServerState,
        stand_in::{RunCounts, StandIn, StandInConfig},
    },
    http::{Request, StatusCode},
    http_body_util::BodyExt,
    platform::{Platform, endless::FAULTS, upstream::large_body, wait_until},
    std::time::{Duration, Instant},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Timeout of the routes of the test configuration, and so the deadline of each call.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time beyond the deadline by which a busy test machine may be late.
const MARGIN: Duration = Duration::from_secs(8);

/// Guards against a connection, a slot or a caller that is held beyond the deadline by an answer
/// without end, and against a success, a false promise or a second run of unsafe work after it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_answer_without_end_ends_at_the_deadline() {
    let mut checks = JoinSet::new();
    for fault in FAULTS {
        for speed in ["endless", "trickled"] {
            checks.spawn(check_answer_without_end(format!("/unsafe/{speed}-{fault}")));
        }
    }
    let failures: Vec<String> = checks.join_all().await.into_iter().flatten().collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Returns what went wrong with an answer without end to `path`.
async fn check_answer_without_end(path: String) -> Vec<String> {
    let platform = Platform::start_serving().await;
    let mut failures = Vec::new();
    let deadline = Instant::now() + ROUTE_TIMEOUT + MARGIN;
    let shed = path.ends_with("-shed");
    let allowed = if shed {
        vec![StatusCode::SERVICE_UNAVAILABLE]
    } else {
        vec![StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT]
    };
    let calling = timeout(ROUTE_TIMEOUT + MARGIN, platform.call("POST", &path, "e"));
    // Answers that are too large to buffer are streamed, so that only their end can fail.
    let streamed = ["-length", "endless-unframed", "endless-chunked"];
    let streamed = streamed.iter().any(|end| path.ends_with(end));
    match calling.await {
        Err(_elapsed) => failures.push(format!("{path}: no answer")),
        Ok(Err(_)) if streamed => {}
        Ok(Err(e)) => failures.push(format!("{path}: the answer broke off: {e}")),
        Ok(Ok(answer)) if allowed.contains(&answer.status()) => {}
        Ok(Ok(answer)) => failures.push(format!("{path}: {}", answer.status())),
    }
    let (mut closed, mut running) = (false, 1);
    while Instant::now() < deadline && !(closed && running == 0) {
        sleep(Duration::from_millis(50)).await;
        closed = platform.upstream.closed_on(&path) > 0;
        running = platform.running_calls().await;
    }
    if !closed {
        failures.push(format!("{path}: the connection is still open"));
    }
    if running != 0 {
        failures.push(format!("{path}: the slot is still held"));
    }
    let runs = platform.upstream.runs_of(&path).len();
    if runs != usize::from(!shed) {
        failures.push(format!("{path}: {runs} runs"));
    }
    failures
}

/// Guards against calls that wait for an answer without end of another call.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn other_calls_go_on_beside_answers_without_end() {
    let platform = Platform::start_serving().await;
    let paths = [
        "/unsafe/endless-interim",
        "/unsafe/endless-chunk-size",
        "/unsafe/trickled-unframed",
    ];
    let calls = paths.map(|path| platform.call("POST", path, "e"));
    let beside = async {
        wait_until("the faulty calls run", || async {
            let ran = |path: &&str| !platform.upstream.runs_of(path).is_empty();
            paths.iter().all(ran)
        })
        .await;
        let calling = timeout(
            ROUTE_TIMEOUT + MARGIN,
            platform.call("GET", "/safe/ok", "b"),
        );
        let answer = calling.await.expect("the call waits").unwrap();
        assert_eq!(answer.status(), StatusCode::OK, "{answer:?}");
    };
    let [first, second, third] = calls;
    let faulty = async { tokio::join!(first, second, third) };
    let (_ended, ()) = tokio::join!(timeout(ROUTE_TIMEOUT + MARGIN, faulty), beside);
}

/// Guards against an answer that fails, or belongs to no request, because endless bytes followed
/// the answer before it on the same connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bytes_without_end_after_an_answer_reach_no_call() {
    let platform = Platform::start_serving().await;
    for (round, speed) in ["endless", "trickled", "endless"].into_iter().enumerate() {
        let path = format!("/safe/{speed}-after");
        let before = platform.upstream.closed_on(&path);
        let answer = platform.call("GET", &path, "a").await.unwrap();
        assert_eq!(answer.body(), "rolls", "{speed}");
        let id = format!("next-{round}");
        let next = platform.call("GET", "/safe/ok", &id).await.unwrap();
        assert_eq!(next.body(), format!("answer to {id}").as_str());
        wait_until("the connection is closed", || async {
            platform.upstream.closed_on(&path) > before
        })
        .await;
    }
}

/// Guards against an answer without a length that fails because it is larger than the buffer, and
/// against one that looks complete although it was cut.
#[tokio::test]
async fn a_large_answer_without_a_length_arrives_whole_or_visibly_broken() {
    let platform = Platform::start_serving().await;
    for kind in ["large-unframed", "large-chunked"] {
        let path = format!("/safe/{kind}");
        let answer = platform.call("GET", &path, kind).await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK, "{kind}");
        assert!(
            answer.body() == large_body().as_str(),
            "{kind}: {} bytes",
            answer.body().len()
        );
    }
    let cut = platform.call("GET", "/safe/large-cut", "cut").await;
    assert!(
        cut.is_err(),
        "the cut answer looks complete: {}",
        cut.unwrap().status()
    );
}

/// Guards against a streamed answer without end that its caller reads beyond the deadline, or that
/// looks complete when it is cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_streamed_answer_without_end_breaks_off_at_the_deadline() {
    for fault in ["endless-unframed", "endless-chunked", "trickled-length"] {
        let platform = Platform::start_serving().await;
        let path = format!("/safe/{fault}");
        let mut answer = platform.call_streaming(&path, fault).await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK, "{fault}");
        let end = async {
            loop {
                match answer.body_mut().frame().await {
                    Some(Ok(_)) => {}
                    end => return end,
                }
            }
        };
        let end = timeout(ROUTE_TIMEOUT + MARGIN, end).await;
        let end = end.expect("the answer goes on after the deadline");
        assert!(end.is_some(), "{fault}: the cut answer looks complete");
        wait_until("the connection is closed", || async {
            platform.upstream.closed_on(&path) == 1
        })
        .await;
    }
}

/// Guards against a connection that stays open after the deadline because the request on it can't
/// be written.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_server_that_reads_nothing_is_disconnected_at_the_deadline() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let backend = Backend::new(listener.local_addr().unwrap());
    let closed = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.read_exact(&mut [0; 16]).await.unwrap();
        stream.write_all(b"HTTP/1.1 200 ").await.unwrap();
        while stream.write_all(b"H").await.is_ok() {
            sleep(Duration::from_millis(50)).await;
        }
    });
    let req = Request::post("/upload")
        .header("Host", "desk")
        .body(body::full(vec![0; 64 * 1024 * 1024]))
        .unwrap();
    let deadline = Instant::now() + Duration::from_secs(1);
    let sent = backend
        .send(req, None, false, &ResponseDeadline::Fixed(deadline))
        .await;
    let sent = sent.map(|(response, _)| response.status());
    assert_eq!(sent, Err(CallError::TimedOut));
    let closed = timeout(MARGIN, closed).await;
    assert!(closed.is_ok(), "the connection is still open");
}

/// Guards against a stand-in that stops announcing after an answer that never ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stand_in_announces_again_after_an_answer_without_end() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let announcement = Announcement {
        server: "server-1".into(),
        service: "desk".into(),
        address,
        slots: 1,
        state: ServerState::Serving,
        incarnation: 1,
    };
    let _stand_in = StandIn::start(StandInConfig {
        announcement,
        daemon: address,
        runs: RunCounts::default(),
    });
    let announced_twice = async {
        let (mut first, _) = listener.accept().await.unwrap();
        first.read_exact(&mut [0; 16]).await.unwrap();
        let trickle = async {
            first.write_all(b"HTTP/1.1 200 ").await.unwrap();
            while first.write_all(b"O").await.is_ok() {
                sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::join!(trickle, listener.accept())
    };
    let announced = timeout(Duration::from_secs(2) + MARGIN, announced_twice).await;
    assert!(announced.is_ok(), "the first announcement still runs");
}
