//! Answers of backend servers that end before they are whole, at each byte.

mod platform;

use {
    http::StatusCode,
    platform::{
        Platform,
        upstream::{CUT_FRAMINGS, framed_answer},
    },
    tokio::task::JoinSet,
};

/// Number of cut answers that one server gives; after more it would be ejected.
const CUTS_PER_SERVER: usize = 5;

/// Number of servers that are tried at the same time.
const CONCURRENT_SERVERS: usize = 12;

/// Guards against an answer that ends within its head, or before the end of its body, and reaches the
/// caller as a whole one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_answer_that_is_cut_is_never_a_success() {
    let mut checks = JoinSet::new();
    for framing in CUT_FRAMINGS {
        let whole = framed_answer(framing, "cut").len();
        let sizes: Vec<usize> = (0..=whole).collect();
        for sizes in sizes.chunks(CUTS_PER_SERVER) {
            if checks.len() >= CONCURRENT_SERVERS {
                checks.join_next().await.unwrap().unwrap();
            }
            checks.spawn(check_cuts(framing, sizes.to_vec(), whole));
        }
    }
    checks.join_all().await;
}

/// Sends a request for each size; only an answer of `whole` bytes must be a success.
async fn check_cuts(framing: &'static str, sizes: Vec<usize>, whole: usize) {
    let platform = Platform::start_serving().await;
    for size in sizes {
        let path = format!("/unsafe/cut/{framing}/{size}");
        let answer = platform.call("POST", &path, "cut").await.unwrap();
        let expected = if size < whole {
            StatusCode::BAD_GATEWAY
        } else {
            StatusCode::OK
        };
        assert_eq!(answer.status(), expected, "{path} of {whole}");
        assert_eq!(platform.upstream.runs_of(&path).len(), 1, "{path}");
    }
}
