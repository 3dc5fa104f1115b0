//! Operators of the platform that change the configuration at the same time.

mod platform;

use {
    http::StatusCode,
    platform::{Platform, configuration},
    serde_json::{Value, json},
    tokio::join,
};

/// Number of pairs of concurrent changes in a test.
const ROUNDS: u64 = 10;

fn with_limit(mut document: Value, name: &str, value: String) -> Value {
    document["Limits"][name] = value.into();
    document
}

fn without_routes(mut document: Value) -> Value {
    document["Routes"] = json!([]);
    document
}

/// Sends pairs of concurrent changes, each pair on top of the version in force; exactly one of them must
/// be acknowledged, and it must be read back.
async fn race(first: Value, change: impl Fn(u64, u64) -> [Value; 2]) {
    let platform = Platform::start().await;
    platform.put_until_accepted(&first).await;
    let mut base = 1;
    for round in 0..ROUNDS {
        let [one, other] = change(base, round);
        let (a, b) = join!(platform.put(&one), platform.put(&other));
        let (winner, loser) = if a.status() == StatusCode::OK {
            (&one, b.status())
        } else {
            (&other, a.status())
        };
        let statuses = (a.status(), b.status());
        assert_eq!(
            loser,
            StatusCode::PRECONDITION_FAILED,
            "{round}: {statuses:?}"
        );
        let read: Value = serde_json::from_slice(platform.get().await.body()).unwrap();
        assert_eq!(read["Version"], winner["Version"], "round {round}");
        assert_eq!(read["Limits"], winner["Limits"], "round {round}");
        assert_eq!(platform.put(winner).await.status(), StatusCode::OK);
        base = u64::from_str_radix(read["Version"].as_str().unwrap(), 16).unwrap();
    }
}

/// Guards against two concurrent changes of one version that are both acknowledged because neither
/// changes the lists.
#[tokio::test]
async fn only_one_of_two_concurrent_changes_of_the_limits_is_acknowledged() {
    race(configuration(1, 0, &[]), |base, round| {
        let idle = format!("{}ms", 15_100 + round);
        let header = format!("{}ms", 3_000 + round);
        [
            with_limit(configuration(base + 1, base, &[]), "IdleTimeout", idle),
            with_limit(configuration(base + 3, base, &[]), "HeaderTimeout", header),
        ]
    })
    .await;
}

/// Guards against the same where no list has a record whose version could tell the changes apart.
#[tokio::test]
async fn only_one_of_two_concurrent_changes_of_empty_lists_is_acknowledged() {
    race(without_routes(configuration(1, 0, &[])), |base, round| {
        let idle = format!("{}ms", 15_100 + round);
        let one = with_limit(configuration(base + 1, base, &[]), "IdleTimeout", idle);
        [
            without_routes(one),
            without_routes(configuration(base + 3, base, &[])),
        ]
    })
    .await;
}

/// Guards against a change of the limits and a change of the routes that are both acknowledged.
#[tokio::test]
async fn only_one_of_a_change_of_the_limits_and_one_of_the_routes_is_acknowledged() {
    race(configuration(1, 0, &[]), |base, round| {
        let idle = format!("{}ms", 15_100 + round);
        let mut routes = configuration(base + 3, base, &[]);
        routes["Routes"][0]["Timeout"] = format!("{}ms", 3_000 + round).into();
        [
            with_limit(configuration(base + 1, base, &[]), "IdleTimeout", idle),
            routes,
        ]
    })
    .await;
}
