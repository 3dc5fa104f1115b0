//! Tests of the commands against a mock control replica.

mod stand_in;

use {
    super::Exit,
    serde_json::{Value, json},
    stand_in::{mock_replica, run, run_at, unused_address},
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        sync::{Arc, OnceLock},
        time::Duration,
    },
    tempfile::TempDir,
};

const PLANS: &str = "plans:\n- name: depot\n  key_hashes: []\n  home_region: lothian\n";
const GRANTS: &str = "grants:\n- plan: depot\n  service: stock\n  capacity: 5\n  rank: high\n";

fn write_file(folder: &TempDir, name: &str, text: &str) -> PathBuf {
    let path = folder.path().join(name);
    fs::write(&path, text).unwrap();
    path
}

fn put_args(path: &Path, options: &str) -> String {
    format!("plans put {} {options}", path.display())
}

fn not_leader_response(leader: SocketAddr) -> Value {
    json!({ "error": "not-leader", "reason": "not the leader", "leader": leader.to_string() })
}

fn lists_response() -> Value {
    json!({ "version": 7, "plans": PLANS, "grants": GRANTS })
}

fn edit_response() -> Value {
    json!({ "version": 8, "repeated": false, "warnings": [] })
}

fn status_response(lowest: u64) -> Value {
    let lagging = json!([{ "daemon": "d2", "version": lowest, "reason": "no parent" }]);
    json!({
        "version": 8, "leader": "c1",
        "members": [{ "name": "c1", "address": "127.0.0.1:1", "id": 1, "voter": true }],
        "data_centres": [{
            "data_centre": "lothian-a", "region": "lothian", "daemons": 2,
            "in_force_min": lowest, "in_force_max": 8,
            "lagging": if lowest < 8 { lagging } else { json!([]) }
        }]
    })
}

/// Guards against losing the version of a file between get and put.
#[tokio::test]
async fn put_reads_the_base_version_from_a_file_written_by_get() {
    let (address, received) = mock_replica(|request_line, _| match request_line {
        "GET /v1/lists" => (200, lists_response()),
        _ => (200, edit_response()),
    })
    .await;
    let fetched = run(address, "plans get").await;
    assert_eq!(fetched.out, format!("# version 7\n{PLANS}"));
    let folder = TempDir::new().unwrap();
    let path = write_file(&folder, "plans.yaml", &fetched.out);
    let put = run(address, &put_args(&path, "--edit-id e1")).await;
    assert_eq!(
        (put.exit, put.out.as_str()),
        (Exit::Done, "version 8 accepted\n")
    );
    let received = received.lock().unwrap();
    let (line, auth, body) = &received[1];
    assert_eq!(
        (line.as_str(), auth.as_str()),
        ("POST /v1/edits", "Bearer secret-of-ann")
    );
    let expected =
        json!({ "edit_id": "e1", "base_version": 7, "plans": fetched.out, "grants": null });
    assert_eq!(body, &expected);
}

/// Guards against an edit that overwrites a version which the operator has not seen.
#[tokio::test]
async fn put_without_a_base_sends_nothing() {
    let (address, received) = mock_replica(|_, _| (200, edit_response())).await;
    let folder = TempDir::new().unwrap();
    let path = write_file(&folder, "p", PLANS);
    assert_eq!(run(address, &put_args(&path, "")).await.exit, Exit::Usage);
    let (plans, grants) = (
        write_file(&folder, "p7", "# version 7\n"),
        write_file(&folder, "g8", "# version 8\n"),
    );
    let args = format!(
        "put --plans {} --grants {}",
        plans.display(),
        grants.display()
    );
    let result = run(address, &args).await;
    assert_eq!(result.exit, Exit::Usage);
    assert!(
        result
            .diagnostics
            .contains("plans are from version 7, grants from 8"),
        "{}",
        result.diagnostics
    );
    assert!(received.lock().unwrap().is_empty());
}

/// Guards against errors that scripts can't distinguish by the exit code, and against an error
/// without advice.
#[tokio::test]
async fn refused_edits_have_their_exit_codes() {
    let problem = json!({ "list": "plans", "line": 2, "column": 9, "reason": "bad" });
    let cases = [
        (
            409,
            json!({ "error": "conflict", "current_version": 9 }),
            Exit::Conflict,
            "current version 9",
        ),
        (
            422,
            json!({ "error": "invalid", "problems": [problem] }),
            Exit::Invalid,
            "plans.yaml:2:9: bad",
        ),
        (
            401,
            json!({ "error": "unauthorized", "reason": "unknown token" }),
            Exit::Failed,
            "unknown token",
        ),
        (500, json!("?"), Exit::Failed, "gives no reason"),
        (200, json!("?"), Exit::Failed, "cannot be read"),
    ];
    let folder = TempDir::new().unwrap();
    let path = write_file(&folder, "p", PLANS);
    for (code, body, exit, reason) in cases {
        let (address, _) = mock_replica(move |_, _| (code, body.clone())).await;
        let result = run(address, &put_args(&path, "--base 7")).await;
        assert_eq!(result.exit, exit, "{}", result.diagnostics);
        assert!(result.out.is_empty(), "{}", result.out);
        assert!(
            result.diagnostics.contains(reason) && result.diagnostics.contains("\nnext: "),
            "{}",
            result.diagnostics
        );
    }
}

/// Guards against a client that gives up at an unreachable replica or at a follower.
#[tokio::test]
async fn the_client_skips_unreachable_replicas_and_follows_redirects() {
    let (leader, received) = mock_replica(|_, _| (200, lists_response())).await;
    let (follower, _) = mock_replica(move |_, _| (503, not_leader_response(leader))).await;
    let result = run_at(
        &[unused_address().await, follower],
        "grants get",
        Duration::ZERO,
    )
    .await;
    assert_eq!(
        (result.exit, result.out),
        (Exit::Done, format!("# version 7\n{GRANTS}"))
    );
    assert_eq!(received.lock().unwrap().len(), 1);
}

/// Guards against giving up during an election, and against an endless loop over two followers that
/// redirect to each other.
#[tokio::test]
async fn requests_are_retried_during_an_election() {
    let (address, _) = mock_replica(|_, earlier| {
        let error = json!({ "error": "no-leader", "reason": "election", "leader": null });
        if earlier < 2 {
            (503, error)
        } else {
            (200, lists_response())
        }
    })
    .await;
    let result = run_at(&[address], "grants get", Duration::from_mins(1)).await;
    assert_eq!(result.exit, Exit::Done, "{}", result.diagnostics);

    let second = Arc::new(OnceLock::new());
    let other = Arc::clone(&second);
    let (first, received) =
        mock_replica(move |_, _| (503, not_leader_response(*other.get().unwrap()))).await;
    let (address, _) = mock_replica(move |_, _| (503, not_leader_response(first))).await;
    second.set(address).unwrap();
    let result = run_at(&[first, address], "status", Duration::ZERO).await;
    assert_eq!(result.exit, Exit::Unreachable, "{}", result.diagnostics);
    assert_eq!(received.lock().unwrap().len(), 1);
}

/// Guards against a lost response after which the operator can't resend the edit with the same id.
#[tokio::test]
async fn the_error_for_a_lost_response_names_the_edit_id() {
    let (address, received) = mock_replica(|_, _| (0, Value::Null)).await;
    let folder = TempDir::new().unwrap();
    let path = write_file(&folder, "p", PLANS);
    let result = run(address, &put_args(&path, "--base 7")).await;
    assert_eq!(result.exit, Exit::Unreachable);
    let id = received.lock().unwrap()[0].2["edit_id"]
        .as_str()
        .unwrap()
        .to_owned();
    assert!(
        result
            .diagnostics
            .contains(&format!("--base 7 --edit-id {id}")),
        "{}",
        result.diagnostics
    );
}

/// Guards against a membership change that is executed twice after a lost response.
#[tokio::test]
async fn a_lost_membership_change_is_not_sent_again() {
    let (first, _) = mock_replica(|_, _| (0, Value::Null)).await;
    let (second, received) =
        mock_replica(|_, _| (200, json!({ "leader": null, "members": [] }))).await;
    let result = run_at(
        &[first, second],
        "members add c4 127.0.0.1:9",
        Duration::ZERO,
    )
    .await;
    assert_eq!(result.exit, Exit::Unreachable);
    assert!(
        result.diagnostics.contains("outcome is unknown"),
        "{}",
        result.diagnostics
    );
    assert!(received.lock().unwrap().is_empty());
    let result = run_at(&[second], "members remove c4 --id 8", Duration::ZERO).await;
    assert_eq!(result.exit, Exit::Done);
    let expected =
        json!({ "action": "remove", "name": "c4", "address": null, "id": 8, "of": null });
    assert_eq!(received.lock().unwrap()[0].2, expected);
}

/// Guards against a wait that ends before all daemons have the version in force, or at a status
/// without daemons.
#[tokio::test]
async fn wait_ends_when_the_version_is_in_force_everywhere() {
    let (address, received) = mock_replica(|request_line, earlier| match (request_line, earlier) {
        ("POST /v1/edits", _) => (200, edit_response()),
        (_, 1) => (
            200,
            json!({ "version": 8, "leader": "c1", "members": [], "data_centres": [] }),
        ),
        (_, 2) => (200, status_response(7)),
        _ => (200, status_response(8)),
    })
    .await;
    let folder = TempDir::new().unwrap();
    let path = write_file(&folder, "p", PLANS);
    let result = run(
        address,
        &put_args(&path, "--base 7 --wait --timeout 24h --output json"),
    )
    .await;
    assert_eq!(result.exit, Exit::Done, "{}", result.diagnostics);
    let expected = json!({ "version": 8, "repeated": false, "in_force": true, "warnings": [] });
    assert_eq!(
        serde_json::from_str::<Value>(&result.out).unwrap(),
        expected
    );
    assert_eq!(received.lock().unwrap().len(), 4);
}

/// Guards against a timeout that is reported as success or without the lagging daemons.
#[tokio::test]
async fn a_wait_that_times_out_names_the_lagging_daemons() {
    let (address, _) = mock_replica(|request_line, _| match request_line {
        "POST /v1/edits" => (200, edit_response()),
        _ => (200, status_response(7)),
    })
    .await;
    let folder = TempDir::new().unwrap();
    let path = write_file(&folder, "p", PLANS);
    let result = run(address, &put_args(&path, "--base 7 --wait --timeout 1ms")).await;
    assert_eq!(result.exit, Exit::NotInForce);
    assert_eq!(
        result.out,
        "version 8 accepted, not in force everywhere yet\n"
    );
    assert!(
        result.diagnostics.contains("lothian-a has version 7 (d2)"),
        "{}",
        result.diagnostics
    );
}

/// Guards against comparing or validating a list with an outdated version of the other list.
#[tokio::test]
async fn diff_and_validate_use_the_current_other_list() {
    let problem = json!({ "list": "grants", "line": 2, "column": 9, "reason": "bad" });
    let (address, received) = mock_replica(move |request_line, _| match request_line {
        "GET /v1/lists" => (200, lists_response()),
        _ => (200, json!({ "problems": [problem], "warnings": [] })),
    })
    .await;
    let folder = TempDir::new().unwrap();
    let path = write_file(&folder, "g", &GRANTS.replace("capacity: 5", "capacity: 6"));
    let result = run(address, &format!("grants diff {}", path.display())).await;
    assert_eq!(result.out, "~ grant depot -> stock: capacity 5 -> 6\n");
    let result = run(address, &format!("grants validate {}", path.display())).await;
    assert_eq!(
        (result.exit, result.out.as_str()),
        (Exit::Invalid, "problem: grants.yaml:2:9: bad\n")
    );
    assert_eq!(received.lock().unwrap()[1].2["plans"], Value::Null);
    let path = write_file(&folder, "p", "plans: []\n");
    let result = run(address, &format!("plans diff {}", path.display())).await;
    assert_eq!(result.exit, Exit::Invalid);
    assert!(
        result
            .diagnostics
            .contains("plan \"depot\" is not in plans.yaml"),
        "{}",
        result.diagnostics
    );
}

/// Guards against tables that lack a value.
#[tokio::test]
async fn status_and_explain_are_shown_as_tables() {
    let explained = json!({
        "decision": "refused", "reason": "no backend server is announced", "version": 8,
        "grant": { "servers": [], "capacity": 5, "rank": "high" },
        "candidates": [{ "server": "s1", "data_centre": "lothian-a", "usable": false, "reason": "draining" }]
    });
    let (address, received) = mock_replica(move |request_line, _| match request_line {
        "GET /v1/status" => (200, status_response(7)),
        _ => (200, explained.clone()),
    })
    .await;
    let result = run(address, "status").await;
    let expected = "version 8, leader c1\n\n\
        MEMBER  ADDRESS      ID  VOTES  LEADER\nc1      127.0.0.1:1  1   yes    yes\n\n\
        DATA CENTRE  REGION   DAEMONS  LOWEST  HIGHEST  LAGGING\n\
        lothian-a    lothian  2        7       8        1\n\
        lagging: d2 in lothian-a has version 7: no parent\n";
    assert_eq!(result.out, expected);
    let args = format!("explain --plan depot --service stock --daemon {address}");
    let result = run(address, &args).await;
    let expected = "refused: no backend server is announced (version 8)\n\
        grant: rank high, capacity 5 calls/s, servers all\n\n\
        SERVER  DATA CENTRE  USABLE  REASON\ns1      lothian-a    no      draining\n";
    assert_eq!(result.out, expected);
    let received = received.lock().unwrap();
    assert_eq!(received[1].0, "GET /v1/explain?plan=depot&service=stock");
    assert_eq!(received[1].1, "", "the token was sent to a daemon");
}
