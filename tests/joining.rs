//! Replicas that form a group from seed addresses, join it and replace each other without an
//! operator.

use {
    anvilbeam::{
        body,
        control::{self, Control},
        http_client,
        model::Digest,
        operator_api::{MEMBERS, MembersResponse},
        settings::{self, Operator},
    },
    http::{Request, StatusCode},
    std::{
        net::SocketAddr,
        path::Path,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::time::sleep,
};

const TOKEN: &str = "operator-token-of-the-joining-test";
/// Timeout of a wait for an expected state; reached only when a process hangs.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

fn settings(name: &str, folder: &Path, tolerated_losses: usize) -> settings::Control {
    let text = format!(
        "name: {name}\ngroup: config\nregion: r1\ndata_centre: r1-a\npeer_address: 127.0.0.1:0\n\
         operator_address: 127.0.0.1:0\ndata_folder: data\ninterface: platform\n\
         mesh_token: token-of-the-joining-test\nelection_timeout: 300ms\n\
         tolerated_losses: {tolerated_losses}\n"
    );
    let mut cfg = settings::Control::parse(Path::new("control.yaml"), &text).unwrap();
    folder.clone_into(&mut cfg.data_folder);
    cfg.operators = vec![Operator {
        name: "test".to_owned(),
        token_hash: Digest::of(TOKEN.as_bytes()),
    }];
    cfg
}

struct Group {
    replicas: Vec<(Control, TempDir)>,
    seeds: Vec<SocketAddr>,
}

impl Group {
    /// Starts three replicas that are configured with each other's addresses only.
    async fn start_with_seeds(tolerated_losses: usize) -> Self {
        let mut bound = Vec::new();
        for replica in 0..3 {
            let folder = tempfile::tempdir().unwrap();
            let cfg = settings(
                &format!("control-{replica}"),
                folder.path(),
                tolerated_losses,
            );
            let listeners = control::Listeners::bind(&cfg).await.unwrap();
            bound.push((cfg, listeners, folder));
        }
        let seeds: Vec<_> = bound
            .iter()
            .map(|(_, listeners, _)| listeners.peer.local_addr().unwrap())
            .collect();
        let mut starting = Vec::new();
        for (mut cfg, listeners, folder) in bound {
            cfg.seeds.clone_from(&seeds);
            cfg.first_start = true;
            starting.push(tokio::spawn(async move {
                let control = Control::start(cfg, listeners, false).await;
                (control.unwrap(), folder)
            }));
        }
        let mut replicas = Vec::new();
        for start in starting {
            replicas.push(start.await.unwrap());
        }
        Self { replicas, seeds }
    }

    /// Starts a replica with an address that no other replica is configured with.
    async fn join(&mut self, name: &str, tolerated_losses: usize) {
        let folder = tempfile::tempdir().unwrap();
        let mut cfg = settings(name, folder.path(), tolerated_losses);
        cfg.seeds.clone_from(&self.seeds);
        let listeners = control::Listeners::bind(&cfg).await.unwrap();
        let control = Control::start(cfg, listeners, false).await.unwrap();
        self.replicas.push((control, folder));
    }

    /// Returns the members as the leader reports them; `None` if no replica answers as the leader.
    async fn members(&self) -> Option<MembersResponse> {
        for (control, _) in &self.replicas {
            let req = Request::get(MEMBERS)
                .header("Host", "control")
                .header("Authorization", format!("Bearer {TOKEN}"))
                .body(body::empty())
                .unwrap();
            let answer = http_client::send(control.operator_address()?, req).await;
            if let Ok(answer) = answer
                && answer.status() == StatusCode::OK
            {
                return serde_json::from_slice(answer.body()).ok();
            }
        }
        None
    }

    async fn wait_for_voters(&self, names: &[&str]) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let members = self.members().await;
            let mut voters: Vec<_> = members
                .iter()
                .flat_map(|answer| &answer.members)
                .filter(|member| member.voter)
                .map(|member| member.name.clone())
                .collect();
            voters.sort();
            if voters == names {
                return;
            }
            assert!(Instant::now() < deadline, "voters are {voters:?}");
            sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Guards against a group that keeps only its first three voters: then the loss of two disks right
/// after an acknowledgement loses the accepted edit.
#[tokio::test]
async fn replicas_outside_the_seed_list_become_voters() {
    let mut group = Group::start_with_seeds(2).await;
    group
        .wait_for_voters(&["control-0", "control-1", "control-2"])
        .await;
    group.join("control-3", 2).await;
    group.join("control-4", 2).await;
    let all = [
        "control-0",
        "control-1",
        "control-2",
        "control-3",
        "control-4",
    ];
    group.wait_for_voters(&all).await;
}

/// Guards against a permanently lost replica that remains a voter although a new one has joined.
#[tokio::test]
async fn a_new_replica_replaces_an_unreachable_voter() {
    let mut group = Group::start_with_seeds(1).await;
    group
        .wait_for_voters(&["control-0", "control-1", "control-2"])
        .await;
    let (stopped, _folder) = group.replicas.remove(2);
    stopped.stop().await.unwrap();
    group.join("control-9", 1).await;
    group
        .wait_for_voters(&["control-0", "control-1", "control-9"])
        .await;
}

/// Guards against the removal of an unreachable voter that has no replacement: a partition looks
/// the same as a lost replica.
#[tokio::test]
async fn an_unreachable_voter_is_kept_without_a_replacement() {
    let mut group = Group::start_with_seeds(1).await;
    let all = ["control-0", "control-1", "control-2"];
    group.wait_for_voters(&all).await;
    let (stopped, _folder) = group.replicas.remove(2);
    stopped.stop().await.unwrap();
    // Longer than the silence after which a surplus voter is removed.
    sleep(Duration::from_secs(8)).await;
    group.wait_for_voters(&all).await;
}

/// Guards against a group that grows by a voter with each replacement: with six voters, one of which is
/// gone, two more losses leave no majority.
#[tokio::test]
async fn two_losses_after_a_replacement_leave_a_majority() {
    let mut group = Group::start_with_seeds(2).await;
    group.join("control-3", 2).await;
    group.join("control-4", 2).await;
    let all = [
        "control-0",
        "control-1",
        "control-2",
        "control-3",
        "control-4",
    ];
    group.wait_for_voters(&all).await;
    let (stopped, _folder) = group.replicas.remove(2);
    stopped.stop().await.unwrap();
    group.join("control-9", 2).await;
    let replaced = [
        "control-0",
        "control-1",
        "control-3",
        "control-4",
        "control-9",
    ];
    group.wait_for_voters(&replaced).await;
    for _ in 0..2 {
        let (stopped, _folder) = group.replicas.remove(0);
        stopped.stop().await.unwrap();
    }
    // Only a leader lists the members.
    group.wait_for_voters(&replaced).await;
}
