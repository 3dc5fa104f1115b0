//! Answers of backend servers of the platform after which a daemon must not say that a request has not
//! run.

mod platform;

use {http::StatusCode, platform::Platform};

/// Guards against a promise that is made from a refusal without the id of the request.
#[tokio::test]
async fn a_refusal_of_no_request_promises_nothing() {
    let platform = Platform::start_serving().await;
    let path = "/unsafe/declined-unnamed";
    let answer = platform.call("POST", path, "unnamed").await.unwrap();
    assert_eq!(platform.upstream.runs_of(path).len(), 1);
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
}
