//! Connections between daemons that stop carrying data without being closed, while new ones work.

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

/// Forwards TCP connections; those of an earlier generation stay open but carry no data.
#[derive(Clone, Default)]
struct Proxy {
    generation: Arc<AtomicU64>,
}

impl Proxy {
    async fn run(self, listen: SocketAddr, to: SocketAddr) {
        let listener = TcpListener::bind(listen).await.unwrap();
        loop {
            let (from, _) = listener.accept().await.unwrap();
            let Ok(to) = TcpStream::connect(to).await else {
                continue;
            };
            let (from_read, from_write) = from.into_split();
            let (to_read, to_write) = to.into_split();
            tokio::spawn(self.clone().forward(from_read, to_write));
            tokio::spawn(self.clone().forward(to_read, from_write));
        }
    }

    async fn forward(
        self,
        mut from: impl AsyncReadExt + Unpin,
        mut to: impl AsyncWriteExt + Unpin,
    ) {
        let opened_in = self.generation.load(Ordering::SeqCst);
        let mut buf = vec![0; 16 * 1024];
        while let Ok(size @ 1..) = from.read(&mut buf).await {
            if self.generation.load(Ordering::SeqCst) != opened_in {
                // Discards the data and keeps both ends open.
                continue;
            }
            if to.write_all(&buf[..size]).await.is_err() {
                return;
            }
        }
    }

    fn silence_open_connections(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}

/// Guards against calls that wait on a silent connection until their deadline, and against an order
/// that runs twice because it was sent again when its connection went silent.
#[tokio::test]
async fn silent_connections_are_replaced() {
    let mut mesh = Mesh::start(1);
    let entry = mesh.add_daemon("r1-a", "other", 4);
    let (peer, advertised) = (mesh.port(), mesh.port());
    let proxy = Proxy::default();
    tokio::spawn(proxy.clone().run(advertised, peer));
    mesh.add_daemon_advertising("r1-a", "roll", 4, peer, advertised);
    mesh.put(&plans(&["clerks"]), &grants(&[("clerks", "roll", "")]))
        .await;
    mesh.wait_for_candidates(entry, "clerks", "roll", 1).await;

    for round in 0..3 {
        let path = format!("/entry?round={round}");
        let answer = mesh.call(entry, "GET", "roll", &path, "clerks-key").await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        proxy.silence_open_connections();
        // The first call on a silent connection must succeed over a new one.
        let answer = mesh.call(entry, "GET", "roll", &path, "clerks-key").await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        assert_eq!(answer.echo().path, path);
    }

    let key = "order-1";
    proxy.silence_open_connections();
    let first = mesh.order(entry, key, "/order").await;
    let resent = mesh.order(entry, key, "/order").await;
    for answer in [&first, &resent] {
        let refused = matches!(answer.outcome(), Some("unknown" | "not-run"));
        assert!(answer.status == StatusCode::OK || refused, "{answer:?}");
    }
    assert!(mesh.runs_of(key) <= 1);
    mesh.wait_until_order_succeeds(entry, "order-2").await;
}
