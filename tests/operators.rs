//! Edits of operators and faults of the config group, partly through the command line.

mod support;

use {
    anvilbeam::operator_api::{
        ConflictResponse, EDITS, EditRequest, EditResponse, ExplainResponse, LISTS, ListsResponse,
        StatusResponse,
    },
    http::StatusCode,
    serde::de::DeserializeOwned,
    std::{fs, process::Output, time::Duration},
    support::{Answer, Mesh, calls::wait_until, grants, plans},
    tokio::{join, time::sleep},
};

fn edit(id: &str, base_version: u64, plan: &str) -> EditRequest {
    EditRequest {
        edit_id: id.to_owned(),
        base_version,
        plans: Some(plans(&["clerks", plan])),
        grants: None,
    }
}

fn parse<T: DeserializeOwned>(answer: &Answer) -> T {
    serde_json::from_slice(&answer.body).unwrap_or_else(|e| panic!("{e}: {answer:?}"))
}

async fn send_edit(mesh: &Mesh, edit: &EditRequest) -> Answer {
    let answer = mesh.operator_request("POST", EDITS, edit).await;
    answer.expect("no replica answered as the leader")
}

async fn lists(mesh: &Mesh) -> ListsResponse {
    let version = mesh.status().await.version;
    let answer = mesh.operator_request("GET", LISTS, &()).await.unwrap();
    let lists: ListsResponse = parse(&answer);
    assert_eq!(lists.version, version);
    lists
}

/// Guards against two concurrent edits of one base version that are both accepted, against an edit
/// that a resend applies twice, and against a refused edit that changes the lists.
#[tokio::test]
async fn only_one_of_two_concurrent_edits_is_accepted() {
    let mesh = Mesh::start(3);
    for round in 0..10 {
        let base = mesh.status().await.version;
        let edits = [
            edit(&format!("a-{round}"), base, &format!("a-{round}")),
            edit(&format!("b-{round}"), base, &format!("b-{round}")),
        ];
        let (a, b) = join!(send_edit(&mesh, &edits[0]), send_edit(&mesh, &edits[1]));
        let (accepted, conflicting, accepted_edit) = if a.status == StatusCode::OK {
            (a, b, &edits[0])
        } else {
            (b, a, &edits[1])
        };
        assert_eq!(accepted.status, StatusCode::OK, "{accepted:?}");
        assert_eq!(conflicting.status, StatusCode::CONFLICT, "{conflicting:?}");
        let reply: EditResponse = parse(&accepted);
        assert_eq!((reply.version, reply.repeated), (base + 1, false));
        assert_eq!(
            parse::<ConflictResponse>(&conflicting).current_version,
            base + 1
        );

        let next = edit(&format!("c-{round}"), base + 1, &format!("c-{round}"));
        assert_eq!(send_edit(&mesh, &next).await.status, StatusCode::OK);
        let resent: EditResponse = parse(&send_edit(&mesh, accepted_edit).await);
        assert_eq!((resent.version, resent.repeated), (base + 1, true));
    }

    let before = lists(&mesh).await;
    assert!(before.plans.contains("c-9"), "{before:?}");
    let invalid = EditRequest {
        grants: Some(grants(&[("nobody", "roll", "")])),
        ..edit("rejected", before.version, "rejected")
    };
    let refused = send_edit(&mesh, &invalid).await;
    assert_eq!(refused.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(lists(&mesh).await, before);
}

fn expect_success(output: &Output) -> String {
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn json<T: DeserializeOwned>(output: &Output) -> T {
    serde_json::from_str(&expect_success(output)).unwrap_or_else(|e| panic!("{e}: {output:?}"))
}

/// Guards against a command line that does not agree with the protocol of the real processes.
#[tokio::test]
async fn the_command_line_edits_waits_and_explains() {
    let mut mesh = Mesh::start(1);
    let daemon = mesh.add_daemon("r1-a", "roll", 4);
    mesh.put(&plans(&["clerks"]), &grants(&[])).await;
    let file = |name: &str, text: &str| {
        let path = mesh.folder.path().join(name);
        fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let grants_file = file("grants.yaml", &grants(&[("clerks", "roll", "server-0")]));
    let base = mesh.status().await.version.to_string();
    let put_args = ["grants", "put", &grants_file, "--base", &base];
    let wait_args = ["--wait", "--edit-id", "first"];
    let first = expect_success(&mesh.cli(&[&put_args[..], &wait_args].concat()));
    assert!(first.contains("in force everywhere"), "{first}");
    let version = mesh.status().await.version;
    assert_eq!(mesh.version_in_force(daemon).await, Some(version));

    let again = expect_success(&mesh.cli(&[&put_args[..], &wait_args].concat()));
    assert!(again.contains("accepted before"), "{again}");
    let conflict = mesh.cli(&put_args);
    assert_eq!(conflict.status.code(), Some(3), "{conflict:?}");
    let text = String::from_utf8_lossy(&conflict.stderr).into_owned();
    assert!(
        text.contains(&format!("current version {version}")),
        "{text}"
    );
    let invalid_file = file("wrong.yaml", &grants(&[("nobody", "roll", "")]));
    let base = version.to_string();
    let invalid = mesh.cli(&["grants", "put", &invalid_file, "--base", &base]);
    assert_eq!(invalid.status.code(), Some(4), "{invalid:?}");

    let status: StatusResponse = json(&mesh.cli(&["status", "--output", "json"]));
    assert_eq!(status.version, version);
    assert_eq!(status.data_centres[0].in_force_min, version);
    mesh.wait_for_usable_servers(daemon, 1).await;
    let local = mesh.ports[daemon].local.to_string();
    let explain_args = ["explain", "--plan", "clerks", "--service", "roll"];
    let daemon_args = ["--daemon", &local, "--output", "json"];
    let explained: ExplainResponse = json(&mesh.cli(&[&explain_args[..], &daemon_args].concat()));
    assert_eq!(
        (explained.decision.as_str(), explained.version),
        ("routed", version)
    );
}

/// Returns the index of a replica of the config group that is not the leader.
async fn follower(mesh: &Mesh) -> usize {
    let leader = mesh.status().await.leader;
    let leads = |replica: usize| leader.as_deref() == Some(&format!("config-{replica}"));
    (0..3).find(|replica| !leads(*replica)).unwrap()
}

/// Guards against edits that need all replicas, against a replica with an empty disk that votes
/// under its old identity or bootstraps a second group, and against the loss of accepted edits when
/// a second replica fails right after the first was replaced.
#[tokio::test]
async fn a_wiped_replica_is_replaced_without_losing_accepted_edits() {
    let mut mesh = Mesh::start(3);
    mesh.put(&plans(&["one"]), &grants(&[])).await;
    let wiped = follower(&mesh).await;
    mesh.control[wiped].kill();
    mesh.put(&plans(&["one", "two"]), &grants(&[])).await;

    let (name, address) = (
        format!("config-{wiped}"),
        mesh.control_peers[wiped].to_string(),
    );
    let old = mesh.status().await.members;
    let old = old.iter().find(|member| member.name == name).unwrap().id;
    fs::remove_dir_all(mesh.folder.path().join(&name)).unwrap();
    let text = mesh.control[wiped].start_expecting_failure(true).await;
    assert!(
        text.contains("belongs to a group without this replica"),
        "{text}"
    );
    mesh.control[wiped].start();
    wait_until("the replica answers", async || {
        mesh.cli(&["members", "add", &name, &address])
            .status
            .success()
    })
    .await;
    let id = old.to_string();
    expect_success(&mesh.cli(&["members", "remove", &name, "--id", &id]));
    let members = mesh.status().await.members;
    let new = members.iter().find(|member| member.name == name).unwrap();
    assert!(
        new.voter && new.id != old && members.len() == 3,
        "{members:?}"
    );
    let version = mesh
        .put(&plans(&["one", "two", "three"]), &grants(&[]))
        .await;

    let leader = mesh.status().await.leader.unwrap();
    let lost_leader = (0..3)
        .find(|replica| format!("config-{replica}") == leader)
        .unwrap();
    mesh.control[lost_leader].kill();
    let found = lists(&mesh).await;
    assert_eq!(found.version, version);
    for plan in ["one", "two", "three"] {
        assert!(found.plans.contains(plan), "{found:?}");
    }
    mesh.put(&plans(&["one", "two", "three", "four"]), &grants(&[]))
        .await;
}

/// Guards against a daemon that serves an older version after a restart: it stores nothing, and the
/// only replica that it reaches has missed the last edits.
#[tokio::test]
async fn a_restarted_daemon_never_serves_an_older_version() {
    let mut mesh = Mesh::start(3);
    let grant_list = grants(&[("clerks", "roll", "")]);
    for _ in 0..2 {
        mesh.add_daemon("r1-a", "roll", 4);
    }
    mesh.put(&plans(&["clerks"]), &grant_list).await;
    let stale = follower(&mesh).await;
    mesh.control[stale].kill();
    let newest = mesh.put(&plans(&["clerks", "two"]), &grant_list).await;
    for daemon in 0..2 {
        wait_until("the edit is in force", async || {
            mesh.version_in_force(daemon).await == Some(newest)
        })
        .await;
    }
    for replica in &mut mesh.control {
        replica.kill();
    }
    mesh.control[stale].start();
    // First with a peer that still has the newest version, then with none.
    for restarted in [vec![1], vec![0, 1]] {
        for daemon in &restarted {
            mesh.daemons[*daemon].kill();
            mesh.daemons[*daemon].start();
        }
        for _ in 0..250 {
            check_versions(&mesh, newest).await;
            sleep(Duration::from_millis(20)).await;
        }
    }
    for replica in &mut mesh.control {
        replica.kill();
        replica.start();
    }
    for daemon in 0..2 {
        wait_until("the daemon is ready again", async || {
            check_versions(&mesh, newest).await;
            mesh.version_in_force(daemon).await == Some(newest)
        })
        .await;
    }
}

async fn check_versions(mesh: &Mesh, newest: u64) {
    for daemon in 0..mesh.daemons.len() {
        let version = mesh.version_in_force(daemon).await;
        assert!(
            version.is_none_or(|v| v >= newest),
            "daemon {daemon}: {version:?}"
        );
    }
}
