//! Operators and the replicas of the config group, through the command line where it matters.

mod support;

use {
    anvilbeam::operator_api::{
        ConflictAnswer, EDITS, EditAnswer, EditRequest, ExplainAnswer, LISTS, ListsAnswer,
        StatusAnswer,
    },
    http::StatusCode,
    serde::de::DeserializeOwned,
    std::{fs, process::Output, time::Duration},
    support::{Answer, Mesh, calls::until, grants, plans},
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

fn read<T: DeserializeOwned>(answer: &Answer) -> T {
    serde_json::from_slice(&answer.body).unwrap_or_else(|e| panic!("{e}: {answer:?}"))
}

async fn send_edit(mesh: &Mesh, edit: &EditRequest) -> Answer {
    let answer = mesh.ask_operators("POST", EDITS, edit).await;
    answer.expect("no replica leads")
}

async fn lists(mesh: &Mesh) -> ListsAnswer {
    let version = mesh.status().await.version;
    let answer = mesh.ask_operators("GET", LISTS, &()).await.unwrap();
    let lists: ListsAnswer = read(&answer);
    assert_eq!(lists.version, version);
    lists
}

/// Guards against two operators who both believe that their edit won, against an edit that a
/// resend makes twice, and against a rejected edit that changes something.
#[tokio::test]
async fn one_of_two_racing_operators_wins() {
    let mesh = Mesh::start(3);
    for round in 0..10 {
        let base = mesh.status().await.version;
        let edits = [
            edit(&format!("a-{round}"), base, &format!("a-{round}")),
            edit(&format!("b-{round}"), base, &format!("b-{round}")),
        ];
        let (a, b) = join!(send_edit(&mesh, &edits[0]), send_edit(&mesh, &edits[1]));
        let (won, lost, winner) = if a.status == StatusCode::OK {
            (a, b, &edits[0])
        } else {
            (b, a, &edits[1])
        };
        assert_eq!(won.status, StatusCode::OK, "{won:?}");
        assert_eq!(lost.status, StatusCode::CONFLICT, "{lost:?}");
        let first: EditAnswer = read(&won);
        assert_eq!((first.version, first.repeated), (base + 1, false));
        assert_eq!(read::<ConflictAnswer>(&lost).current_version, base + 1);

        let next = edit(&format!("c-{round}"), base + 1, &format!("c-{round}"));
        assert_eq!(send_edit(&mesh, &next).await.status, StatusCode::OK);
        let again: EditAnswer = read(&send_edit(&mesh, winner).await);
        assert_eq!((again.version, again.repeated), (base + 1, true));
    }

    let before = lists(&mesh).await;
    assert!(before.plans.contains("c-9"), "{before:?}");
    let wrong = EditRequest {
        grants: Some(grants(&[("nobody", "roll", "")])),
        ..edit("rejected", before.version, "rejected")
    };
    let refused = send_edit(&mesh, &wrong).await;
    assert_eq!(refused.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(lists(&mesh).await, before);
}

fn succeeded(output: &Output) -> String {
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn json<T: DeserializeOwned>(output: &Output) -> T {
    serde_json::from_str(&succeeded(output)).unwrap_or_else(|e| panic!("{e}: {output:?}"))
}

/// Guards against a command line that does not understand the real control process and daemons.
#[tokio::test]
async fn the_command_line_edits_waits_and_explains() {
    let mut mesh = Mesh::start(1);
    let at = mesh.add("r1-a", "roll", 4);
    mesh.put(&plans(&["clerks"]), &grants(&[])).await;
    let file = |name: &str, text: &str| {
        let path = mesh.folder.path().join(name);
        fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let granted = file("grants.yaml", &grants(&[("clerks", "roll", "server-0")]));
    let base = mesh.status().await.version.to_string();
    let put = ["grants", "put", &granted, "--base", &base];
    let waiting = ["--wait", "--edit-id", "first"];
    let first = succeeded(&mesh.cli(&[&put[..], &waiting].concat()));
    assert!(first.contains("in force everywhere"), "{first}");
    let version = mesh.status().await.version;
    assert_eq!(mesh.version_at(at).await, Some(version));

    let again = succeeded(&mesh.cli(&[&put[..], &waiting].concat()));
    assert!(again.contains("accepted before"), "{again}");
    let conflict = mesh.cli(&put);
    assert_eq!(conflict.status.code(), Some(3), "{conflict:?}");
    let text = String::from_utf8_lossy(&conflict.stderr).into_owned();
    assert!(
        text.contains(&format!("current version {version}")),
        "{text}"
    );
    let wrong = file("wrong.yaml", &grants(&[("nobody", "roll", "")]));
    let base = version.to_string();
    let invalid = mesh.cli(&["grants", "put", &wrong, "--base", &base]);
    assert_eq!(invalid.status.code(), Some(4), "{invalid:?}");

    let status: StatusAnswer = json(&mesh.cli(&["status", "--output", "json"]));
    assert_eq!(status.version, version);
    assert_eq!(status.data_centres[0].in_force_min, version);
    mesh.until_usable(at, 1).await;
    let local = mesh.ports[at].local.to_string();
    let explain = ["explain", "--plan", "clerks", "--service", "roll"];
    let daemon = ["--daemon", &local, "--output", "json"];
    let explained: ExplainAnswer = json(&mesh.cli(&[&explain[..], &daemon].concat()));
    assert_eq!(
        (explained.decision.as_str(), explained.version),
        ("routed", version)
    );
}

/// Position of a replica of the config group that does not lead.
async fn follower(mesh: &Mesh) -> usize {
    let leader = mesh.status().await.leader;
    let leads = |at: usize| leader.as_deref() == Some(&format!("config-{at}"));
    (0..3).find(|at| !leads(*at)).unwrap()
}

/// Guards against edits that need all replicas, against a replica with an empty disk that votes
/// as the old one or founds a second group, and against a loss of accepted edits when a second
/// replica is lost right after the repair.
#[tokio::test]
async fn a_wiped_replica_is_replaced_and_nothing_accepted_is_lost() {
    let mut mesh = Mesh::start(3);
    mesh.put(&plans(&["one"]), &grants(&[])).await;
    let lost = follower(&mesh).await;
    mesh.control[lost].kill();
    mesh.put(&plans(&["one", "two"]), &grants(&[])).await;

    let (name, address) = (
        format!("config-{lost}"),
        mesh.control_peers[lost].to_string(),
    );
    let old = mesh.status().await.members;
    let old = old.iter().find(|member| member.name == name).unwrap().id;
    fs::remove_dir_all(mesh.folder.path().join(&name)).unwrap();
    let text = mesh.control[lost].failure(true).await;
    assert!(
        text.contains("belongs to a group without this replica"),
        "{text}"
    );
    mesh.control[lost].start();
    until("the replica answers", async || {
        mesh.cli(&["members", "add", &name, &address])
            .status
            .success()
    })
    .await;
    let id = old.to_string();
    succeeded(&mesh.cli(&["members", "remove", &name, "--id", &id]));
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
    let second = (0..3).find(|at| format!("config-{at}") == leader).unwrap();
    mesh.control[second].kill();
    let found = lists(&mesh).await;
    assert_eq!(found.version, version);
    for plan in ["one", "two", "three"] {
        assert!(found.plans.contains(plan), "{found:?}");
    }
    mesh.put(&plans(&["one", "two", "three", "four"]), &grants(&[]))
        .await;
}

/// Guards against a daemon that serves an older version after a restart: it has no disk, and the
/// only replica that it finds has missed the last edits.
#[tokio::test]
async fn a_restarted_daemon_never_serves_an_older_version() {
    let mut mesh = Mesh::start(3);
    let granted = grants(&[("clerks", "roll", "")]);
    for _ in 0..2 {
        mesh.add("r1-a", "roll", 4);
    }
    mesh.put(&plans(&["clerks"]), &granted).await;
    let stale = follower(&mesh).await;
    mesh.control[stale].kill();
    let newest = mesh.put(&plans(&["clerks", "two"]), &granted).await;
    for at in 0..2 {
        until("the edit is in force", async || {
            mesh.version_at(at).await == Some(newest)
        })
        .await;
    }
    for replica in &mut mesh.control {
        replica.kill();
    }
    mesh.control[stale].start();
    // With a daemon that has the newest version beside it, and then with none.
    for restarted in [vec![1], vec![0, 1]] {
        for at in &restarted {
            mesh.daemons[*at].kill();
            mesh.daemons[*at].start();
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
    for at in 0..2 {
        until("the daemon is ready again", async || {
            check_versions(&mesh, newest).await;
            mesh.version_at(at).await == Some(newest)
        })
        .await;
    }
}

async fn check_versions(mesh: &Mesh, newest: u64) {
    for at in 0..mesh.daemons.len() {
        let version = mesh.version_at(at).await;
        assert!(
            version.is_none_or(|v| v >= newest),
            "daemon {at}: {version:?}"
        );
    }
}
