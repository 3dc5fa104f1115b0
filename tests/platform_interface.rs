//! The platform's interface: configurations, heartbeats, requests and answers.

mod platform;

use {
    http::StatusCode,
    platform::{Platform, configuration, route, until, upstream::header},
    serde_json::{Value, json},
};

/// Guards against a configuration that reads back differently, a resend that is refused, a second
/// change of one version, and a change on an old version.
#[tokio::test]
async fn a_configuration_is_compared_and_set() {
    let platform = Platform::start().await;
    assert_eq!(
        platform.get().await.status(),
        StatusCode::SERVICE_UNAVAILABLE
    );
    let first = configuration(3, 0, &[]);
    platform.until_accepted(&first).await;
    assert_eq!(platform.put(&first).await.status(), StatusCode::OK);
    let read: Value = serde_json::from_slice(platform.get().await.body()).unwrap();
    assert_eq!(sorted(read), sorted(first.clone()));

    let split = json!({
        "Name": "r-split", "Host": "other.example", "PathPrefix": "/a/b/", "RouteType": "safe",
        "Timeout": "1000ms", "TargetLatency": "250ms", "Priority": 7, "MaxAttempts": 2,
        "WeightedTargets": [{"Service": "desk", "Weight": 10}],
    });
    let second = configuration(7, 3, &[split]);
    assert_eq!(platform.put(&second).await.status(), StatusCode::OK);
    let rival = configuration(8, 3, &[]);
    assert_eq!(
        platform.put(&rival).await.status(),
        StatusCode::PRECONDITION_FAILED
    );
    assert_eq!(
        platform.put(&first).await.status(),
        StatusCode::OK,
        "accepted before"
    );
    let read: Value = serde_json::from_slice(platform.get().await.body()).unwrap();
    assert_eq!(sorted(read), sorted(second));
}

fn sorted(mut document: Value) -> Value {
    if let Some(routes) = document["Routes"].as_array_mut() {
        routes.sort_by_key(|route| route["Name"].to_string());
    }
    document
}

/// Guards against an invalid configuration that is acknowledged.
#[tokio::test]
async fn invalid_configurations_are_refused() {
    let platform = Platform::start().await;
    platform.until_accepted(&configuration(5, 0, &[])).await;
    let with = |key: &str, value: Value| {
        let mut wrong = route("safe");
        wrong["PathPrefix"] = json!("/more/");
        wrong[key] = value;
        configuration(6, 5, &[wrong])
    };
    let mut unweighted = route("safe");
    unweighted["PathPrefix"] = json!("/more/");
    unweighted.as_object_mut().unwrap().remove("Service");
    unweighted["WeightedTargets"] = json!([{"Service": "desk", "Weight": 0}]);
    let cases = [
        ("unknown service", with("Service", json!("nowhere"))),
        ("no weight", configuration(6, 5, &[unweighted])),
        ("long timeout", with("Timeout", json!("601s"))),
        (
            "latency far above the timeout",
            with("TargetLatency", json!("64s")),
        ),
        ("no attempts", with("MaxAttempts", json!(0))),
        ("bare prefix", with("PathPrefix", json!("more/"))),
        ("a place that is taken", with("PathPrefix", json!("/safe/"))),
        ("the same version", configuration(5, 5, &[])),
        ("an older version", configuration(4, 5, &[])),
    ];
    for (case, document) in cases {
        let status = platform.put(&document).await.status();
        assert_eq!(status, StatusCode::BAD_REQUEST, "{case}");
    }
    let whole = configuration(6, 5, &[]).to_string();
    let cut = platform
        .put_bytes(whole[..whole.len() / 2].to_owned())
        .await;
    assert_eq!(cut.status(), StatusCode::BAD_REQUEST, "cut short");
    let read: Value = serde_json::from_slice(platform.get().await.body()).unwrap();
    assert_eq!(read["Version"], "00000005");
}

/// Guards against a daemon that calls itself ready, or answers 404, before it knows a version.
#[tokio::test]
async fn a_daemon_without_a_version_refuses_calls_as_not_run() {
    let platform = Platform::start().await;
    assert_eq!(platform.ready().await, StatusCode::SERVICE_UNAVAILABLE);
    let answer = platform.call("GET", "/safe/ok", "early").await.unwrap();
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    platform.until_accepted(&configuration(1, 0, &[])).await;
    until("the daemon is ready", || async {
        platform.ready().await == StatusCode::OK
    })
    .await;
    let answer = platform.call("GET", "/none/ok", "no-route").await.unwrap();
    assert_eq!(answer.status(), StatusCode::NOT_FOUND);
}

/// Guards against a request that reaches the backend server without the id of its caller, the
/// instance that it is for, the time that is left, or the true service of its caller.
#[tokio::test]
async fn requests_reach_the_backend_server_with_their_headers() {
    let platform = Platform::serving().await;
    let answer = platform
        .call("POST", "/unsafe/ok?x=1", "r-1")
        .await
        .unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(answer.headers()["Anvilbeam-Response-Signature"], "s.r-1");
    assert_eq!(answer.body(), "answer to r-1");
    let runs = platform.upstream.runs_of("/unsafe/ok?x=1");
    let [head] = &*runs else {
        panic!("runs: {runs:?}");
    };
    assert!(head.starts_with("POST /unsafe/ok?x=1 "), "{head}");
    assert_eq!(header(head, "Anvilbeam-Request-Id"), Some("r-1"));
    assert_eq!(header(head, "Anvilbeam-Expected-Instance"), Some("i-1"));
    assert_eq!(header(head, "Anvilbeam-Caller-Service"), Some("desk"));
    let left: u64 = header(head, "Anvilbeam-Deadline-Ms")
        .unwrap()
        .parse()
        .unwrap();
    // The timeout of the route is shorter than the time that the caller waits.
    assert!((1..=4000).contains(&left), "{left} ms");
}

/// Guards against an answer that belongs to another request, that is not the backend server's, or
/// that is not whole, and against a second run of unsafe work.
#[tokio::test]
async fn only_whole_answers_of_the_own_request_are_passed_on() {
    let platform = Platform::serving().await;
    for kind in ["stray", "unsigned", "cut", "garbage"] {
        let path = format!("/unsafe/{kind}");
        let answer = platform.call("POST", &path, kind).await.unwrap();
        assert_eq!(answer.status(), StatusCode::BAD_GATEWAY, "{kind}");
        assert_eq!(platform.upstream.runs_of(&path).len(), 1, "{kind}");
    }
    let whole = platform.call("GET", "/safe/unframed", "u").await.unwrap();
    assert_eq!(whole.body(), "to the end");
    for round in 0..3 {
        let id = format!("extra-{round}");
        let answer = platform.call("GET", "/safe/extra", &id).await.unwrap();
        assert_eq!(answer.body(), format!("answer to {id}").as_str());
    }
}

/// Guards against a refusal without the promise that the request has not run.
#[tokio::test]
async fn a_shed_request_is_refused_as_not_run() {
    let platform = Platform::serving().await;
    let answer = platform.call("POST", "/unsafe/shed", "s").await.unwrap();
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    let wait: f64 = answer.headers()["Retry-After"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!((0.0..=1.5).contains(&wait), "{wait} s");
    assert!(platform.upstream.runs_of("shed").is_empty());
}

/// Guards against work for a backend server after its drain was acknowledged, and against late
/// heartbeats that bring it back.
#[tokio::test]
async fn a_draining_backend_server_gets_nothing_and_stays_away() {
    let platform = Platform::serving().await;
    assert_eq!(platform.beat("i-1", 1, 5, "draining").await, StatusCode::OK);
    assert_eq!(platform.beat("i-1", 1, 4, "ready").await, StatusCode::OK);
    assert_eq!(platform.beat("i-1", 1, 6, "ready").await, StatusCode::OK);
    let answer = platform.call("GET", "/safe/after", "a").await.unwrap();
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(platform.upstream.runs_of("after").is_empty());

    // It starts again under its own id, and its counts start anew.
    assert_eq!(platform.beat("i-1", 2, 1, "ready").await, StatusCode::OK);
    until("the new start is used", || async {
        let answer = platform.call("GET", "/safe/again", "b").await;
        answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
    })
    .await;
    assert_eq!(platform.leave("i-1").await, StatusCode::OK);
    assert_eq!(platform.beat("i-1", 2, 9, "ready").await, StatusCode::OK);
    let answer = platform.call("GET", "/safe/left", "c").await.unwrap();
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(platform.upstream.runs_of("left").is_empty());
}

/// Guards against a heartbeat that can't be read, or of an unknown service, that displaces the
/// backend server.
#[tokio::test]
async fn unreadable_heartbeats_change_nothing() {
    let platform = Platform::serving().await;
    let foreign = json!({
        "Service": "unheard-of", "Address": platform.upstream.address, "Slots": 4,
        "State": "ready", "Sequence": 99, "born": 99,
    });
    let unknown_state = json!({
        "Service": "desk", "Address": platform.upstream.address, "Slots": 4,
        "State": "dancing", "Sequence": 99, "born": 99,
    });
    let texts = [
        "{".to_owned(),
        foreign.to_string(),
        unknown_state.to_string(),
    ];
    for text in texts {
        let status = platform.beat_bytes("i-9", text).await;
        assert_eq!(status, StatusCode::BAD_REQUEST);
    }
    let answer = platform.call("GET", "/safe/ok", "still").await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
}

/// Guards against a daemon that counts as ready while it shuts down.
#[tokio::test]
async fn a_leaving_daemon_is_not_ready() {
    let platform = Platform::serving().await;
    let address = platform.daemon.local_address();
    assert_eq!(platform.ready().await, StatusCode::OK);
    let stopping = tokio::spawn(platform.daemon.stop());
    until("readiness ends", || async {
        let req = http::Request::get("/anvilbeam/readiness")
            .header("Host", "daemon")
            .body(anvilbeam::body::empty())
            .unwrap();
        let answer = anvilbeam::http_client::send(address, req).await;
        answer.is_err() || answer.is_ok_and(|a| a.status() == StatusCode::SERVICE_UNAVAILABLE)
    })
    .await;
    assert!(stopping.await.unwrap(), "all calls were answered");
}
