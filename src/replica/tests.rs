//! Tests of groups of running replicas with data folders on disk.

use {
    super::{Handle, Options, RequestError, StateMachine, identity, start},
    crate::{
        error::{Error, Result},
        raft::{Config, Member, MemberChange, MemberRole, Message, ReplicaId, Role},
        wal, wire,
    },
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        path::{Path, PathBuf},
        sync::{Arc, Mutex, PoisonError},
        thread::JoinHandle,
        time::Duration,
    },
    tempfile::TempDir,
};

type Lines = Vec<Vec<u8>>;
type RunningReplica = (Handle<Lines>, JoinHandle<Result<()>>);

/// Delivers messages between the replicas of one process.
#[derive(Clone, Default)]
struct Network(Arc<Mutex<HashMap<ReplicaId, Handle<Lines>>>>);

impl Network {
    fn deliver(&self, to: &Member, message: Message) {
        let handles = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(handle) = handles.get(&to.id) {
            handle.deliver(message.from.id, message);
        }
    }

    fn start(&self, options: Options) -> RunningReplica {
        let network = self.clone();
        let (handle, thread) = start(options, machine(), move |to, message| {
            network.deliver(to, message);
        })
        .unwrap();
        self.0.lock().unwrap().insert(handle.id(), handle.clone());
        (handle, thread)
    }
}

fn machine() -> StateMachine<Lines> {
    StateMachine {
        state: Vec::new(),
        apply: |lines, _, command| {
            lines.push(command.to_vec());
            lines.len().to_string().into_bytes()
        },
        snapshot: wire::encode,
        restore: wire::decode,
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn options(folder: &Path) -> Options {
    Options {
        raft: Config {
            election_timeout: Duration::from_millis(300),
            heartbeat: Duration::from_millis(30),
            trailing_entries: 2,
            ..Config::default()
        },
        snapshot_after: 2000,
        ..Options::new("replica", address(1), folder.to_owned())
    }
}

fn voter(id: ReplicaId) -> Member {
    Member {
        id,
        name: "replica".to_owned(),
        address: address(1),
        role: MemberRole::Voter,
    }
}

fn folders(root: &TempDir, count: usize) -> Vec<PathBuf> {
    let folders: Vec<_> = (0..count)
        .map(|i| root.path().join(i.to_string()))
        .collect();
    let ids = folders.iter().map(|folder| identity(folder).unwrap());
    let voters: Vec<_> = ids.map(voter).collect();
    for folder in &folders {
        wal::bootstrap(folder, &voters).unwrap();
    }
    folders
}

async fn wait_for_leader(running: &[RunningReplica]) -> &Handle<Lines> {
    loop {
        let found = running
            .iter()
            .find(|(handle, _)| handle.status().role == Role::Leader);
        if let Some((handle, _)) = found {
            return handle;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Proposes a line until it is accepted; the leader may change meanwhile.
async fn propose(running: &[RunningReplica], line: &str) {
    while wait_for_leader(running)
        .await
        .propose(line.into())
        .await
        .is_err()
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Reads the state from a confirmed leader; the leader may change meanwhile.
async fn read(running: &[RunningReplica]) -> Lines {
    loop {
        if let Ok(lines) = wait_for_leader(running).await.read(Clone::clone).await {
            return lines;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn is_voter(members: &[Member], id: ReplicaId) -> bool {
    members
        .iter()
        .any(|m| m.id == id && m.role == MemberRole::Voter)
}

fn is_in_effect(change: &MemberChange, members: &[Member]) -> bool {
    let listed = |id| members.iter().any(|member| member.id == id);
    match change {
        MemberChange::Add(member) => listed(member.id),
        MemberChange::Promote(id) => is_voter(members, *id),
        MemberChange::Remove(id) => !listed(*id),
    }
}

/// Waits until a replica has applied `count` lines.
async fn wait_until_applied(handle: &Handle<Lines>, count: usize) -> Lines {
    loop {
        let lines = handle.read_local(Clone::clone).await.unwrap();
        if lines.len() >= count {
            return lines;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn stop(running: RunningReplica) {
    running.0.stop();
    running.1.join().unwrap().unwrap();
}

/// Guards against the loss of accepted commands when the whole group restarts.
#[tokio::test]
async fn restart_keeps_accepted_commands() {
    let root = TempDir::new().unwrap();
    let folders = folders(&root, 3);
    for round in 0..2 {
        let network = Network::default();
        let running: Vec<_> = folders.iter().map(|f| network.start(options(f))).collect();
        for i in 0..20 {
            propose(&running, &format!("{round}-{i}")).await;
        }
        let lines = read(&running).await;
        for line in (0..=round).flat_map(|r| (0..20).map(move |i| format!("{r}-{i}"))) {
            assert!(lines.contains(&line.clone().into_bytes()), "{line} is lost");
        }
        running.into_iter().for_each(stop);
    }
}

/// Guards against two commands that were checked against the same state and are both applied.
#[tokio::test]
async fn one_of_the_commands_that_follow_a_read_is_applied() {
    let root = TempDir::new().unwrap();
    let folders = folders(&root, 1);
    let network = Network::default();
    let running = network.start(options(&folders[0]));
    running.0.wait_until_leader().await.unwrap();
    let index = running.0.read_with_index(|_, index| index).await.unwrap();
    let results = tokio::join!(
        running.0.propose_after(index, b"a".to_vec()),
        running.0.propose_after(index, b"b".to_vec())
    );
    assert_eq!(results, (Ok(b"1".to_vec()), Err(RequestError::Superseded)));
    let (lines, index) = running
        .0
        .read_with_index(|lines, index| (lines.clone(), index))
        .await
        .unwrap();
    assert_eq!(lines, [b"a".to_vec()]);
    let third = running.0.propose_after(index, b"c".to_vec()).await;
    assert_eq!(third, Ok(b"2".to_vec()));
    stop(running);
}

/// Guards against a replacement replica that never receives the entries that were compacted into a
/// snapshot.
#[tokio::test]
async fn new_identity_joins_from_snapshot_and_becomes_voter() {
    let root = TempDir::new().unwrap();
    let folders = folders(&root, 3);
    let network = Network::default();
    let mut running: Vec<_> = folders.iter().map(|f| network.start(options(f))).collect();
    for i in 0..100 {
        propose(&running, &format!("line {i}")).await;
    }
    let lost = running.pop().unwrap();
    let lost_id = lost.0.id();
    stop(lost);
    std::fs::remove_dir_all(&folders[2]).unwrap();
    let new = network.start(options(&folders[2]));
    assert_ne!(new.0.id(), lost_id);
    let id = new.0.id();
    let changes = [
        MemberChange::Remove(lost_id),
        MemberChange::Add(voter(id)),
        MemberChange::Promote(id),
    ];
    for change in changes {
        loop {
            // Refused while the previous change is not committed or the learner lags.
            let _refused = wait_for_leader(&running)
                .await
                .change_members(change.clone())
                .await;
            // This also commits the change if its answer was lost.
            propose(&running, "change").await;
            if is_in_effect(&change, &wait_for_leader(&running).await.members()) {
                break;
            }
        }
    }
    let lines = wait_until_applied(&new.0, 103).await;
    assert!((0..100).all(|i| lines.contains(&format!("line {i}").into_bytes())));
    let mut status = new.0.watch();
    status
        .wait_for(|status| is_voter(&status.members, id))
        .await
        .unwrap();
    running.push(new);
    // A second replica is lost right after the first was replaced: the new voter and one other are
    // the quorum.
    let second = running.remove(0);
    stop(second);
    propose(&running, "after").await;
    running.into_iter().for_each(stop);
}

/// Guards against acknowledging a command that could not be stored.
#[tokio::test]
async fn failed_sync_stops_the_replica_without_acknowledgement() {
    let root = TempDir::new().unwrap();
    let folder = folders(&root, 1).remove(0);
    let mut options = options(&folder);
    // Only the frame of the large command has more than 1000 bytes.
    options.wal.write = |file, buf| {
        io::Write::write_all(file, buf)?;
        if buf.len() > 1000 {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        Ok(())
    };
    let (handle, thread) = Network::default().start(options);
    handle.wait_until_leader().await.unwrap();
    assert_eq!(handle.propose(b"small".to_vec()).await, Ok(b"1".to_vec()));
    let answer = handle.propose(vec![0; 1000]).await;
    assert_eq!(answer, Err(RequestError::Lost));
    let end = thread.join().unwrap();
    assert!(
        matches!(
            end,
            Err(Error::File {
                step: "write segment",
                ..
            })
        ),
        "{end:?}"
    );
    assert_eq!(
        handle.propose(b"later".to_vec()).await,
        Err(RequestError::Stopped)
    );
}

/// Guards against a replica that creates its group again after its data folder was deleted.
#[test]
fn wiped_replica_cannot_bootstrap_again() {
    let root = TempDir::new().unwrap();
    let folder = root.path().join("a");
    let voters = [voter(identity(&folder).unwrap())];
    wal::bootstrap(&folder, &voters).unwrap();
    assert!(matches!(
        wal::bootstrap(&folder, &voters),
        Err(Error::Invalid { .. })
    ));
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(matches!(
        wal::bootstrap(&folder, &voters),
        Err(Error::Invalid { .. })
    ));
}
