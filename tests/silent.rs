//! Connections between daemons that go silent while new ones work.

mod support;

use {
    http::StatusCode,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    support::{Mesh, grants, plans},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// Forwards connections; those of an earlier generation stay open but carry nothing.
#[derive(Clone, Default)]
struct Forwarder {
    generation: Arc<AtomicU64>,
}

impl Forwarder {
    async fn run(self, listen: SocketAddr, to: SocketAddr) {
        let listener = TcpListener::bind(listen).await.unwrap();
        loop {
            let (from, _) = listener.accept().await.unwrap();
            let Ok(to) = TcpStream::connect(to).await else {
                continue;
            };
            let (from_read, from_write) = from.into_split();
            let (to_read, to_write) = to.into_split();
            tokio::spawn(self.clone().pump(from_read, to_write));
            tokio::spawn(self.clone().pump(to_read, from_write));
        }
    }

    async fn pump(self, mut from: impl AsyncReadExt + Unpin, mut to: impl AsyncWriteExt + Unpin) {
        let own = self.generation.load(Ordering::SeqCst);
        let mut buf = vec![0; 16 * 1024];
        while let Ok(size @ 1..) = from.read(&mut buf).await {
            if self.generation.load(Ordering::SeqCst) != own {
                // Swallows what comes and keeps both ends open.
                continue;
            }
            if to.write_all(&buf[..size]).await.is_err() {
                return;
            }
        }
    }

    fn silence(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}

/// Guards against calls that wait for a silent connection until their deadline, and against an
/// order that is sent twice because its connection went silent.
#[tokio::test]
async fn silent_connections_are_replaced() {
    let mut mesh = Mesh::start(1);
    let entry = mesh.add("r1-a", "other", 4);
    let (peer, advertised) = (mesh.port(), mesh.port());
    let forwarder = Forwarder::default();
    tokio::spawn(forwarder.clone().run(advertised, peer));
    mesh.add_behind("r1-a", "roll", 4, peer, advertised);
    mesh.put(&plans(&["clerks"]), &grants(&[("clerks", "roll", "")]))
        .await;
    mesh.await_candidates(entry, "clerks", "roll", 1).await;

    for round in 0..3 {
        let path = format!("/entry?round={round}");
        let answer = mesh.call(entry, "GET", "roll", &path, "clerks-key").await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        forwarder.silence();
        // The first call after the silence must get its answer over a new connection.
        let answer = mesh.call(entry, "GET", "roll", &path, "clerks-key").await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        assert_eq!(answer.echo().path, path);
    }

    let key = "order-1";
    forwarder.silence();
    let first = mesh.order(entry, key, "/order").await;
    let again = mesh.order(entry, key, "/order").await;
    for answer in [&first, &again] {
        let held = matches!(answer.outcome(), Some("unknown" | "not-run"));
        assert!(answer.status == StatusCode::OK || held, "{answer:?}");
    }
    assert!(mesh.runs_of(key) <= 1);
    mesh.until_orders_go_on(entry, "order-2").await;
}
