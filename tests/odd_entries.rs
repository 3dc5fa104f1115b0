//! Entries of another writer among the heartbeats and configurations of the platform: nested deeply, or
//! with numbers that are too large.

mod platform;

use {
    http::StatusCode,
    platform::{Platform, configuration, route},
    serde_json::{Value, json},
};

/// Levels of nesting far beyond what any reader accepts.
const DEPTH: usize = 100_000;

/// Returns JSON text of arrays in each other.
fn nested(levels: usize) -> String {
    "[".repeat(levels) + &"]".repeat(levels)
}

/// Returns the text of a heartbeat of the server of the tests with one member replaced by `value`, which
/// is JSON text.
fn odd_heartbeat(platform: &Platform, member: &str, value: &str) -> String {
    let heartbeat = json!({
        "Service": "desk", "Address": platform.upstream.address, "Zone": "r1-a",
        "Version": "v1", "Slots": 4, "State": "ready", "ColdRemaining": "0ms",
        "Sequence": 3, "born": 1,
    });
    let mut members = heartbeat.as_object().unwrap().clone();
    members.remove(member);
    let mut texts: Vec<String> = members
        .iter()
        .map(|(name, value)| format!("{}:{value}", json!(name)))
        .collect();
    texts.push(format!("{}:{value}", json!(member)));
    format!("{{{}}}", texts.join(","))
}

/// Returns odd values for each member of a heartbeat.
fn odd_members() -> Vec<(&'static str, String)> {
    let mut odd = vec![("Unknown", nested(DEPTH))];
    for member in [
        "Service",
        "Address",
        "Zone",
        "Version",
        "Slots",
        "State",
        "ColdRemaining",
        "Sequence",
        "born",
    ] {
        odd.push((member, nested(DEPTH)));
        odd.push((member, "{}".to_owned()));
        odd.push((member, "null".to_owned()));
    }
    for number in ["-1", "1.5", "4294967296", "1e30", "1e400"] {
        odd.push(("Slots", number.to_owned()));
    }
    for number in [
        "-1",
        "1.5",
        "18446744073709551615",
        "18446744073709551616",
        "1e30",
        "1e400",
    ] {
        odd.push(("Sequence", number.to_owned()));
        odd.push(("born", number.to_owned()));
    }
    for address in [
        "127.0.0.1:65536",
        "127.0.0.1:99999999999",
        "127.0.0.1:0",
        "127.0.0.1:-1",
        "127.0.0.1",
        "0.0.0.0:80",
    ] {
        odd.push(("Address", json!(address).to_string()));
    }
    for time in ["1e400ms", "99999999999999999999999s", "-1ms", "ms"] {
        odd.push(("ColdRemaining", json!(time).to_string()));
    }
    odd
}

/// Guards against a heartbeat of another writer that ends the daemon, moves its backend server elsewhere,
/// or keeps the true heartbeats of that server out.
#[tokio::test]
async fn an_odd_heartbeat_changes_nothing() {
    let mut failures = Vec::new();
    for (member, value) in odd_members() {
        let platform = Platform::start_serving().await;
        let shown = value.get(..24).unwrap_or(&value);
        let case = format!("{member}: {shown}");
        let text = odd_heartbeat(&platform, member, &value);
        let status = platform.heartbeat_bytes("i-1", text).await;
        // Members that are not known are ignored.
        if status != StatusCode::BAD_REQUEST && member != "Unknown" {
            failures.push(format!("{case}: answered {status}"));
        }
        for (sequence, path) in [(4, "/unsafe/first"), (5, "/unsafe/second")] {
            platform.heartbeat("i-1", 1, sequence, "ready").await;
            let answer = platform.call("POST", path, "r").await.unwrap();
            if answer.status() != StatusCode::OK {
                failures.push(format!("{case}: then {path} {}", answer.status()));
            }
        }
        // A heartbeat that is still believed takes the server out of use.
        platform.heartbeat("i-1", 1, 6, "draining").await;
        let drained = platform.call("POST", "/unsafe/drained", "d").await.unwrap();
        if drained.status() != StatusCode::SERVICE_UNAVAILABLE {
            failures.push(format!("{case}: later heartbeats are ignored"));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against a backend server that a heartbeat of another writer moves to another service: it would
/// run requests that no route allows it to run.
#[tokio::test]
async fn a_heartbeat_cannot_move_a_server_to_another_service() {
    let platform = Platform::start_serving().await;
    let mut office = route("safe");
    office["Name"] = json!("r-office");
    office["PathPrefix"] = json!("/office/");
    office["Service"] = json!("office");
    let mut document = configuration(2, 1, &[office]);
    let mut service = document["Services"][0].clone();
    service["Name"] = json!("office");
    document["Services"].as_array_mut().unwrap().push(service);
    platform.put_until_accepted(&document).await;
    platform::wait_until("the daemon knows the service", || async {
        let answer = platform.call("GET", "/office/1", "before").await;
        answer.unwrap().status() == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
    let moved = odd_heartbeat(&platform, "Service", "\"office\"");
    let status = platform.heartbeat_bytes("i-1", moved).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    let answer = platform.call("POST", "/unsafe/after", "after").await;
    assert_eq!(answer.unwrap().status(), StatusCode::OK);

    assert!(platform.daemon.set_service(Some("office".into())));
    let moved = odd_heartbeat(&platform, "Service", "\"office\"");
    let status = platform.heartbeat_bytes("i-1", moved).await;
    assert_eq!(status, StatusCode::OK, "with changed settings");
}

/// Guards against a configuration that is acknowledged and cannot be read back, and against one that ends
/// a process.
#[tokio::test]
async fn a_nested_configuration_is_refused_or_read_back() {
    let platform = Platform::start().await;
    platform.put_until_accepted(&configuration(1, 0, &[])).await;
    let mut base = 1;
    for levels in (100..=135).chain([DEPTH]) {
        for place in ["", "Routes", "Services", "Limits"] {
            let version = base + 1;
            let document = configuration(version, base, &[]);
            let text = with_nested_member(document, place, levels);
            let status = platform.put_bytes(text.clone()).await.status();
            let read = platform.get().await;
            assert_eq!(read.status(), StatusCode::OK, "{place:?} {levels}");
            let read: Value = serde_json::from_slice(read.body()).unwrap();
            if status == StatusCode::OK {
                base = version;
                let nested = nested(levels);
                assert!(read.to_string().contains(&nested), "{place:?} {levels}");
            } else {
                assert_eq!(status, StatusCode::BAD_REQUEST, "{place:?} {levels}");
            }
            assert_eq!(read["Version"], format!("{base:08x}"), "{place:?} {levels}");
        }
    }
}

/// Returns the text of a configuration with a nested member in its first record of `place`, or at its top
/// level.
fn with_nested_member(mut document: Value, place: &str, levels: usize) -> String {
    const MARK: &str = "nested";
    let record = match place {
        "" => &mut document,
        "Limits" => &mut document["Limits"],
        list => &mut document[list][0],
    };
    record["Extra"] = json!(MARK);
    document
        .to_string()
        .replace(&json!(MARK).to_string(), &nested(levels))
}
