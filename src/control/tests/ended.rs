//! A replica whose thread has ended, as after a failed write.

use {
    super::super::tree::ControlTree,
    crate::{
        body,
        edits::{self, State},
        model::Version,
        raft::{Member, MemberRole},
        relays::Subscribe,
        replica::{self, Options, StateMachine},
        wal,
    },
    std::time::Duration,
    tokio::time::{sleep, timeout},
};

/// Longest wait for the end of a stream; it is looked for ten times a second.
const PATIENCE: Duration = Duration::from_secs(20);

/// Guards against a replica that ended on a full disk as the leader, and whose daemons went on to
/// follow it while the group accepted versions without it.
#[tokio::test]
async fn the_streams_of_an_ended_leader_end() {
    let folder = tempfile::tempdir().unwrap();
    let address = "127.0.0.1:1".parse().unwrap();
    let id = replica::identity(folder.path()).unwrap();
    let me = Member {
        id,
        name: "c1".to_owned(),
        address,
        role: MemberRole::Voter,
    };
    wal::bootstrap(folder.path(), &[me]).unwrap();
    let machine = StateMachine {
        state: State::default(),
        apply: edits::apply,
        snapshot: edits::snapshot,
        restore: edits::restore,
    };
    let options = Options::new("c1", address, folder.path().to_owned());
    let (handle, thread) = replica::start(options, machine, |_, _| ()).unwrap();
    handle.wait_until_leader().await.unwrap();
    let tree = ControlTree::start(handle.clone());
    let subscribe = |stream| Subscribe {
        daemon: "daemon-1".into(),
        level: 1,
        stream,
        version: Version(0),
        positions: Vec::new(),
    };
    let mut stream = 1;
    let mut response = tree.open(&subscribe(stream));
    // The root starts a moment after the replica leads.
    while !response.status().is_success() {
        sleep(Duration::from_millis(10)).await;
        stream += 1;
        response = tree.open(&subscribe(stream));
    }
    handle.stop();
    thread.join().unwrap().unwrap();
    let rest = timeout(PATIENCE, body::collect(response.into_body(), 1 << 20)).await;
    let rest = rest.expect("the stream ends with the replica");
    assert!(!rest.unwrap().is_empty(), "the answer to the subscription");
    let status = tree.open(&subscribe(stream + 1)).status();
    assert!(!status.is_success(), "no new stream is opened");
}
