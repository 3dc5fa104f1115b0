//! Replicas that found a group from addresses, join it and replace each other by themselves.

use {
    anvilbeam::{
        body,
        control::{self, Control},
        http_client,
        model::Digest,
        operator_api::{MEMBERS, MembersAnswer},
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
/// Longest wait for a state that must come; only a hang reaches it.
const PATIENCE: Duration = Duration::from_mins(1);

fn settings(name: &str, folder: &Path, losses: usize) -> settings::Control {
    let text = format!(
        "name: {name}\ngroup: config\nregion: r1\ndata_centre: r1-a\npeer_address: 127.0.0.1:0\n\
         operator_address: 127.0.0.1:0\ndata_folder: data\ninterface: platform\n\
         mesh_token: token-of-the-joining-test\nelection_timeout: 300ms\n\
         tolerated_losses: {losses}\n"
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
    /// Starts three replicas that know only each other's addresses.
    async fn found(losses: usize) -> Self {
        let mut bound = Vec::new();
        for at in 0..3 {
            let folder = tempfile::tempdir().unwrap();
            let cfg = settings(&format!("control-{at}"), folder.path(), losses);
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

    /// Starts a replica that no other knows.
    async fn join(&mut self, name: &str, losses: usize) {
        let folder = tempfile::tempdir().unwrap();
        let mut cfg = settings(name, folder.path(), losses);
        cfg.seeds.clone_from(&self.seeds);
        let listeners = control::Listeners::bind(&cfg).await.unwrap();
        let control = Control::start(cfg, listeners, false).await.unwrap();
        self.replicas.push((control, folder));
    }

    /// The members as the leader confirms them.
    async fn members(&self) -> Option<MembersAnswer> {
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

    async fn until_voters(&self, names: &[&str]) {
        let deadline = Instant::now() + PATIENCE;
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

/// Guards against a group that stays at its founders, so that the loss of two disks right after
/// an acknowledgement loses it.
#[tokio::test]
async fn replicas_that_nobody_named_become_voters() {
    let mut group = Group::found(2).await;
    group
        .until_voters(&["control-0", "control-1", "control-2"])
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
    group.until_voters(&all).await;
}

/// Guards against a replica that is gone for good and counts as a voter for ever.
#[tokio::test]
async fn a_successor_takes_the_place_of_a_voter_that_is_gone() {
    let mut group = Group::found(1).await;
    group
        .until_voters(&["control-0", "control-1", "control-2"])
        .await;
    let (gone, _folder) = group.replicas.remove(2);
    gone.stop().await.unwrap();
    group.join("control-9", 1).await;
    group
        .until_voters(&["control-0", "control-1", "control-9"])
        .await;
}

/// Guards against a silent voter that is removed although nobody takes its place: a cut looks the
/// same as a removal.
#[tokio::test]
async fn a_silent_voter_stays_while_it_is_needed() {
    let mut group = Group::found(1).await;
    let all = ["control-0", "control-1", "control-2"];
    group.until_voters(&all).await;
    let (gone, _folder) = group.replicas.remove(2);
    gone.stop().await.unwrap();
    // Longer than the silence after which a surplus voter leaves.
    sleep(Duration::from_secs(8)).await;
    group.until_voters(&all).await;
}
