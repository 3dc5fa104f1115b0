//! Stream of versions over a link on which a large frame takes longer than the time without
//! heartbeats after which a parent counts as failed.

use {
    anvilbeam::{
        body::{self, Body},
        daemon::{self, Daemon},
        model::{Config, Plan, Version},
        peer,
        relays::{
            AttachReply, Contents, HEARTBEAT_TIMEOUT, ReplicaRef, Report, ReportReply, Subscribe,
            SubscribeReply, Update,
        },
        serve::{self, STREAM_WINDOW, Server},
        settings,
        tree_wire::{ATTACH_PATH, Frame, REPORT_PATH, SUBSCRIBE_PATH},
        versions::{Change, ConfigStore, split_delta},
        wire,
    },
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    std::{
        net::SocketAddr,
        path::Path,
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

const TOKEN: &str = "token-of-the-slow-stream-test";
/// Pieces in which the frame with the version arrives.
const PIECES: u32 = 10;
/// Timeout of a wait for an expected state; reached only when a process hangs.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Starts a control replica that sends its only version slowly, and counts the subscriptions.
async fn start_control(subscriptions: Arc<AtomicU32>) -> Server {
    let listener = serve::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let handler = move |req| answer(req, address, Arc::clone(&subscriptions));
    peer::serve_peers(listener, TOKEN, STREAM_WINDOW, handler).unwrap()
}

async fn answer(
    req: Request<Incoming>,
    address: SocketAddr,
    subscriptions: Arc<AtomicU32>,
) -> Response<Body> {
    match req.uri().path() {
        ATTACH_PATH => peer::message_response(&AttachReply::Attached {
            floor: Some(Version(1)),
            replicas: vec![ReplicaRef {
                address,
                data_centre: "r1-a".into(),
                region: "r1".into(),
                leads: true,
            }],
        }),
        SUBSCRIBE_PATH => {
            subscriptions.fetch_add(1, Ordering::SeqCst);
            let req: Subscribe = peer::read_message(req).await.unwrap();
            slow_stream(req.stream)
        }
        REPORT_PATH => {
            let _report: Report = peer::read_message(req).await.unwrap();
            peer::message_response(&ReportReply {
                known: true,
                version: Version(1),
                age_ms: Some(0),
            })
        }
        _ => peer::empty_response(StatusCode::NOT_FOUND),
    }
}

/// Answers a subscription with a frame whose pieces arrive over 2.5 times the heartbeat timeout.
fn slow_stream(stream: u64) -> Response<Body> {
    let (tx, streamed) = body::channel(PIECES as usize);
    let reply = wire::encode_frame(&Frame::Reply(SubscribeReply::Accepted {
        detached_ms: 0,
        digests: vec![],
    }))
    .unwrap();
    let update = wire::encode_frame(&Frame::Update(Box::new(first_version(stream)))).unwrap();
    tokio::spawn(async move {
        let size = update.len().div_ceil(PIECES as usize);
        tx.send(reply).await.unwrap();
        for piece in update.chunks(size) {
            sleep(HEARTBEAT_TIMEOUT / 4).await;
            if tx.send(piece.to_vec().into()).await.is_err() {
                return;
            }
        }
        // The stream stays open.
        tx.closed().await;
    });
    Response::new(streamed)
}

fn first_version(stream: u64) -> Update {
    let mut store = ConfigStore::with_config(Config::default());
    let plan = Plan {
        name: "bureau".into(),
        key_hashes: vec![],
        home_region: "r1".into(),
    };
    let change = Change {
        plans: vec![plan],
        ..Change::default()
    };
    store.edit(&change).unwrap();
    let parts = split_delta(store.delta_since(Version(0)).unwrap()).unwrap();
    let contents = Contents {
        config: parts.into_iter().next(),
        ..Contents::default()
    };
    Update {
        stream,
        number: 1,
        detached_ms: 0,
        contents: wire::encode(&contents).unwrap().into(),
    }
}

/// Guards against a daemon that drops its parent in the middle of a large frame and starts again.
#[tokio::test]
async fn a_parent_is_kept_while_a_large_frame_arrives() {
    let subscriptions = Arc::new(AtomicU32::new(0));
    let control = start_control(Arc::clone(&subscriptions)).await;
    let text = format!(
        "name: daemon-1\nregion: r1\ndata_centre: r1-a\ncaller_address: 127.0.0.1:0\n\
         local_address: 127.0.0.1:0\npeer_address: 127.0.0.1:0\ncontrol: [{}]\n\
         mesh_token: {TOKEN}\n",
        control.address()
    );
    let cfg = settings::Daemon::parse(Path::new("daemon.yaml"), &text).unwrap();
    let listeners = daemon::Listeners::bind(&cfg).await.unwrap();
    let daemon = Daemon::start(cfg, listeners).unwrap();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while daemon.in_force() != Some(Version(1)) {
        let count = subscriptions.load(Ordering::SeqCst);
        assert!(
            Instant::now() < deadline,
            "no version after {count} subscriptions"
        );
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(subscriptions.load(Ordering::SeqCst), 1);
}
