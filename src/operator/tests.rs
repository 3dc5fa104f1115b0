//! Tests of the commands against a stand-in control replica.

mod stand_in;

use {
    super::Exit,
    serde_json::{Value, json},
    stand_in::{run, run_at, stand_in, unused},
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

fn file(folder: &TempDir, name: &str, text: &str) -> PathBuf {
    let path = folder.path().join(name);
    fs::write(&path, text).unwrap();
    path
}

fn put(path: &Path, more: &str) -> String {
    format!("plans put {} {more}", path.display())
}

fn not_leader(leader: SocketAddr) -> Value {
    json!({ "error": "not-leader", "reason": "not the leader", "leader": leader.to_string() })
}

fn lists() -> Value {
    json!({ "version": 7, "plans": PLANS, "grants": GRANTS })
}

fn accepted() -> Value {
    json!({ "version": 8, "repeated": false, "warnings": [] })
}

fn status(lowest: u64) -> Value {
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

/// Guards against a file that loses its version between get and put.
#[tokio::test]
async fn put_takes_the_base_from_a_file_that_get_wrote() {
    let (address, received) = stand_in(|line, _| match line {
        "GET /v1/lists" => (200, lists()),
        _ => (200, accepted()),
    })
    .await;
    let got = run(address, "plans get").await;
    assert_eq!(got.out, format!("# version 7\n{PLANS}"));
    let folder = TempDir::new().unwrap();
    let path = file(&folder, "plans.yaml", &got.out);
    let put = run(address, &put(&path, "--edit-id e1")).await;
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
    let expected = json!({ "edit_id": "e1", "base_version": 7, "plans": got.out, "grants": null });
    assert_eq!(body, &expected);
}

/// Guards against an edit over versions that the operator has not seen.
#[tokio::test]
async fn put_without_a_base_sends_nothing() {
    let (address, received) = stand_in(|_, _| (200, accepted())).await;
    let folder = TempDir::new().unwrap();
    let path = file(&folder, "p", PLANS);
    assert_eq!(run(address, &put(&path, "")).await.exit, Exit::Usage);
    let (plans, grants) = (
        file(&folder, "p7", "# version 7\n"),
        file(&folder, "g8", "# version 8\n"),
    );
    let line = format!(
        "put --plans {} --grants {}",
        plans.display(),
        grants.display()
    );
    let done = run(address, &line).await;
    assert_eq!(done.exit, Exit::Usage);
    assert!(
        done.notes
            .contains("plans are from version 7, grants from 8"),
        "{}",
        done.notes
    );
    assert!(received.lock().unwrap().is_empty());
}

/// Guards against an exit code that scripts cannot tell apart, and an error without a next step.
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
    let path = file(&folder, "p", PLANS);
    for (code, body, exit, reason) in cases {
        let (address, _) = stand_in(move |_, _| (code, body.clone())).await;
        let done = run(address, &put(&path, "--base 7")).await;
        assert_eq!(done.exit, exit, "{}", done.notes);
        assert!(done.out.is_empty(), "{}", done.out);
        assert!(
            done.notes.contains(reason) && done.notes.contains("\nnext: "),
            "{}",
            done.notes
        );
    }
}

/// Guards against a client that stops at a dead replica or at a follower.
#[tokio::test]
async fn dead_replicas_and_followers_lead_to_the_leader() {
    let (leader, received) = stand_in(|_, _| (200, lists())).await;
    let (follower, _) = stand_in(move |_, _| (503, not_leader(leader))).await;
    let done = run_at(&[unused().await, follower], "grants get", Duration::ZERO).await;
    assert_eq!(
        (done.exit, done.out),
        (Exit::Done, format!("# version 7\n{GRANTS}"))
    );
    assert_eq!(received.lock().unwrap().len(), 1);
}

/// Guards against giving up during an election, and against two followers that name each other.
#[tokio::test]
async fn an_election_is_waited_for() {
    let (address, _) = stand_in(|_, before| {
        let error = json!({ "error": "no-leader", "reason": "election", "leader": null });
        if before < 2 {
            (503, error)
        } else {
            (200, lists())
        }
    })
    .await;
    let done = run_at(&[address], "grants get", Duration::from_mins(1)).await;
    assert_eq!(done.exit, Exit::Done, "{}", done.notes);

    let second = Arc::new(OnceLock::new());
    let other = Arc::clone(&second);
    let (first, received) = stand_in(move |_, _| (503, not_leader(*other.get().unwrap()))).await;
    let (address, _) = stand_in(move |_, _| (503, not_leader(first))).await;
    second.set(address).unwrap();
    let done = run_at(&[first, address], "status", Duration::ZERO).await;
    assert_eq!(done.exit, Exit::Unreachable, "{}", done.notes);
    assert_eq!(received.lock().unwrap().len(), 1);
}

/// Guards against a lost answer that leaves the operator without the id to send again.
#[tokio::test]
async fn a_lost_answer_names_the_edit_id() {
    let (address, received) = stand_in(|_, _| (0, Value::Null)).await;
    let folder = TempDir::new().unwrap();
    let path = file(&folder, "p", PLANS);
    let done = run(address, &put(&path, "--base 7")).await;
    assert_eq!(done.exit, Exit::Unreachable);
    let id = received.lock().unwrap()[0].2["edit_id"]
        .as_str()
        .unwrap()
        .to_owned();
    assert!(
        done.notes.contains(&format!("--base 7 --edit-id {id}")),
        "{}",
        done.notes
    );
}

/// Guards against a membership change that is carried out twice after a lost answer.
#[tokio::test]
async fn a_lost_membership_change_is_not_sent_again() {
    let (first, _) = stand_in(|_, _| (0, Value::Null)).await;
    let (second, received) = stand_in(|_, _| (200, json!({ "leader": null, "members": [] }))).await;
    let done = run_at(
        &[first, second],
        "members add c4 127.0.0.1:9",
        Duration::ZERO,
    )
    .await;
    assert_eq!(done.exit, Exit::Unreachable);
    assert!(done.notes.contains("outcome is unknown"), "{}", done.notes);
    assert!(received.lock().unwrap().is_empty());
    let done = run_at(&[second], "members remove c4 --id 8", Duration::ZERO).await;
    assert_eq!(done.exit, Exit::Done);
    let expected =
        json!({ "action": "remove", "name": "c4", "address": null, "id": 8, "of": null });
    assert_eq!(received.lock().unwrap()[0].2, expected);
}

/// Guards against a wait that ends before each daemon has the version, or on a status without
/// daemons.
#[tokio::test]
async fn wait_ends_when_the_version_is_in_force_everywhere() {
    let (address, received) = stand_in(|line, before| match (line, before) {
        ("POST /v1/edits", _) => (200, accepted()),
        (_, 1) => (
            200,
            json!({ "version": 8, "leader": "c1", "members": [], "data_centres": [] }),
        ),
        (_, 2) => (200, status(7)),
        _ => (200, status(8)),
    })
    .await;
    let folder = TempDir::new().unwrap();
    let path = file(&folder, "p", PLANS);
    let done = run(
        address,
        &put(&path, "--base 7 --wait --timeout 24h --output json"),
    )
    .await;
    assert_eq!(done.exit, Exit::Done, "{}", done.notes);
    let expected = json!({ "version": 8, "repeated": false, "in_force": true, "warnings": [] });
    assert_eq!(serde_json::from_str::<Value>(&done.out).unwrap(), expected);
    assert_eq!(received.lock().unwrap().len(), 4);
}

/// Guards against a timeout that looks like success or hides the daemons that lag.
#[tokio::test]
async fn wait_that_ends_early_names_the_lagging_daemons() {
    let (address, _) = stand_in(|line, _| match line {
        "POST /v1/edits" => (200, accepted()),
        _ => (200, status(7)),
    })
    .await;
    let folder = TempDir::new().unwrap();
    let path = file(&folder, "p", PLANS);
    let done = run(address, &put(&path, "--base 7 --wait --timeout 1ms")).await;
    assert_eq!(done.exit, Exit::NotInForce);
    assert_eq!(
        done.out,
        "version 8 accepted, not in force everywhere yet\n"
    );
    assert!(
        done.notes.contains("lothian-a has version 7 (d2)"),
        "{}",
        done.notes
    );
}

/// Guards against a comparison or validation with the wrong list.
#[tokio::test]
async fn diff_and_validate_use_the_current_other_list() {
    let problem = json!({ "list": "grants", "line": 2, "column": 9, "reason": "bad" });
    let (address, received) = stand_in(move |line, _| match line {
        "GET /v1/lists" => (200, lists()),
        _ => (200, json!({ "problems": [problem], "warnings": [] })),
    })
    .await;
    let folder = TempDir::new().unwrap();
    let path = file(&folder, "g", &GRANTS.replace("capacity: 5", "capacity: 6"));
    let done = run(address, &format!("grants diff {}", path.display())).await;
    assert_eq!(done.out, "~ grant depot -> stock: capacity 5 -> 6\n");
    let done = run(address, &format!("grants validate {}", path.display())).await;
    assert_eq!(
        (done.exit, done.out.as_str()),
        (Exit::Invalid, "problem: grants.yaml:2:9: bad\n")
    );
    assert_eq!(received.lock().unwrap()[1].2["plans"], Value::Null);
    let path = file(&folder, "p", "plans: []\n");
    let done = run(address, &format!("plans diff {}", path.display())).await;
    assert_eq!(done.exit, Exit::Invalid);
    assert!(
        done.notes.contains("plan \"depot\" is not in plans.yaml"),
        "{}",
        done.notes
    );
}

/// Guards against tables that leave out what operators look for.
#[tokio::test]
async fn status_and_explain_are_shown_as_tables() {
    let explained = json!({
        "decision": "refused", "reason": "no backend server is announced", "version": 8,
        "grant": { "servers": [], "capacity": 5, "rank": "high" },
        "candidates": [{ "server": "s1", "data_centre": "lothian-a", "usable": false, "reason": "draining" }]
    });
    let (address, received) = stand_in(move |line, _| match line {
        "GET /v1/status" => (200, status(7)),
        _ => (200, explained.clone()),
    })
    .await;
    let done = run(address, "status").await;
    let expected = "version 8, leader c1\n\n\
        MEMBER  ADDRESS      ID  VOTES  LEADER\nc1      127.0.0.1:1  1   yes    yes\n\n\
        DATA CENTRE  REGION   DAEMONS  LOWEST  HIGHEST  LAGGING\n\
        lothian-a    lothian  2        7       8        1\n\
        lagging: d2 in lothian-a has version 7: no parent\n";
    assert_eq!(done.out, expected);
    let line = format!("explain --plan depot --service stock --daemon {address}");
    let done = run(address, &line).await;
    let expected = "refused: no backend server is announced (version 8)\n\
        grant: rank high, capacity 5 calls/s, servers all\n\n\
        SERVER  DATA CENTRE  USABLE  REASON\ns1      lothian-a    no      draining\n";
    assert_eq!(done.out, expected);
    let received = received.lock().unwrap();
    assert_eq!(received[1].0, "GET /v1/explain?plan=depot&service=stock");
    assert_eq!(received[1].1, "", "the token went to a daemon");
}
