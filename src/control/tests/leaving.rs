//! A voter that shuts down and gives its place to a learner.

use {
    super::super::joining::replace,
    crate::{
        error::Result,
        raft::{Config, Member, MemberChange, MemberRole, Message, ReplicaId},
        replica::{self, Handle, Options, RequestError, StateMachine, identity},
        wal,
    },
    std::{
        collections::HashMap,
        path::Path,
        sync::{Arc, Mutex},
        thread::JoinHandle,
        time::Duration,
    },
    tempfile::TempDir,
    tokio::time::sleep,
};

type Network = Arc<Mutex<HashMap<ReplicaId, Handle<()>>>>;
type Running = (Handle<()>, JoinHandle<Result<()>>);

fn member(id: ReplicaId) -> Member {
    Member {
        id,
        name: "replica".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        role: MemberRole::Voter,
    }
}

fn start(network: &Network, folder: &Path) -> Running {
    let machine = StateMachine {
        state: (),
        apply: |(), _, _| Vec::new(),
        snapshot: |()| Ok(Vec::new()),
        restore: |_| Ok(()),
    };
    let options = Options {
        raft: Config {
            election_timeout: Duration::from_millis(300),
            heartbeat: Duration::from_millis(30),
            ..Config::default()
        },
        ..Options::new("replica", ([127, 0, 0, 1], 1).into(), folder.to_owned())
    };
    let peers = Arc::clone(network);
    let deliver = move |to: &Member, message: Message| {
        if let Some(handle) = peers.lock().unwrap().get(&to.id) {
            handle.deliver(message.from.id, message);
        }
    };
    let running = replica::start(options, machine, deliver).unwrap();
    let id = running.0.id();
    network.lock().unwrap().insert(id, running.0.clone());
    running
}

/// Returns the handle of the leader, once there is one.
async fn leader(running: &[Running]) -> Handle<()> {
    loop {
        for (handle, _) in running {
            if handle.read(|()| ()).await.is_ok() {
                return handle.clone();
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
}

fn voters(handle: &Handle<()>) -> Vec<ReplicaId> {
    let members = handle.members();
    let voters = members.iter().filter(|m| m.role == MemberRole::Voter);
    voters.map(|member| member.id).collect()
}

/// Guards against a voter that is shut down for good and keeps its place although a learner is ready, and
/// against one that gives it up without one.
#[tokio::test]
async fn a_voter_that_leaves_gives_its_place_to_a_learner() {
    let root = TempDir::new().unwrap();
    let folders = [0, 1, 2, 3].map(|n| root.path().join(n.to_string()));
    let ids = folders.each_ref().map(|folder| identity(folder).unwrap());
    let founders: Vec<_> = ids[..3].iter().copied().map(member).collect();
    for folder in &folders[..3] {
        wal::bootstrap(folder, &founders).unwrap();
    }
    let network = Network::default();
    let running: Vec<_> = folders.iter().map(|f| start(&network, f)).collect();
    let leading = leader(&running).await;
    let stopping = ids[..3].iter().find(|id| **id != leading.id()).unwrap();

    let alone = replace(&leading, *stopping).await;
    assert!(matches!(alone, Err(RequestError::Refused(_))), "{alone:?}");
    assert_eq!(voters(&leading).len(), 3);

    let added = leading.change_members(MemberChange::Add(member(ids[3])));
    added.await.unwrap();
    while replace(&leading, *stopping).await.is_err() {
        // The learner has not caught up yet.
        sleep(Duration::from_millis(10)).await;
    }
    let voters = voters(&leading);
    assert_eq!(voters.len(), 3);
    assert!(voters.contains(&ids[3]) && !voters.contains(stopping));
    for (handle, thread) in running {
        handle.stop();
        thread.join().unwrap().unwrap();
    }
}
