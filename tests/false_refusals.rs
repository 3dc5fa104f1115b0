//! Answers of backend servers of the platform after which a daemon must not say that a request has not
//! run.

mod platform;

use {http::StatusCode, platform::Platform};

/// Guards against a refusal that a faulty server writes once more on the same connection, and that is
/// taken for the answer to the second attempt of the request, which runs.
#[tokio::test]
async fn a_refusal_written_twice_counts_once() {
    let platform = Platform::start_serving().await;
    for n in 0..20 {
        let id = format!("twice-{n}");
        let path = format!("/unsafe/{id}/refused-once");
        let answer = platform.call("POST", &path, &id).await.unwrap();
        let runs = platform.upstream.runs_of(&path);
        let promised = answer.status() == StatusCode::SERVICE_UNAVAILABLE;
        assert!(!promised || runs.is_empty(), "{id} ran and got 503");
        assert!(runs.len() <= 1, "{id} ran {} times", runs.len());
    }
}

/// Guards against a promise that is made from a refusal without the id of the request.
#[tokio::test]
async fn a_refusal_of_no_request_promises_nothing() {
    let platform = Platform::start_serving().await;
    let path = "/unsafe/declined-unnamed";
    let answer = platform.call("POST", path, "unnamed").await.unwrap();
    assert_eq!(platform.upstream.runs_of(path).len(), 1);
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
}

/// Guards against a status that promises callers that the request has not run, passed on from a server
/// that does not say so.
#[tokio::test]
async fn a_status_that_promises_is_not_passed_on_without_the_promise() {
    let platform = Platform::start_serving().await;
    for status in ["408", "429", "503"] {
        let path = format!("/unsafe/{status}");
        let answer = platform.call("POST", &path, status).await.unwrap();
        assert_eq!(platform.upstream.runs_of(&path).len(), 1, "{status}");
        assert_eq!(answer.status(), StatusCode::BAD_GATEWAY, "{status}");
        let signature = "Anvilbeam-Response-Signature";
        assert!(!answer.headers().contains_key(signature), "{status}");
    }
}
