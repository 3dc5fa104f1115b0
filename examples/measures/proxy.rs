//! TCP proxy that counts the bytes between a process and its clients.

use {
    anvilbeam::{body::BoxError, serve},
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::{
            Arc, OnceLock,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        runtime::Handle,
        task::JoinHandle,
    },
};

/// Bytes forwarded so far, with HTTP/2 framing and without TCP and IP headers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bytes {
    /// From the clients.
    pub up: u64,
    /// To the clients.
    pub down: u64,
}

impl Bytes {
    /// Returns the bytes forwarded since `earlier`.
    pub const fn since(self, earlier: Self) -> Self {
        Self {
            up: self.up - earlier.up,
            down: self.down - earlier.down,
        }
    }

    /// Returns the bytes of both directions.
    pub const fn total(self) -> u64 {
        self.up + self.down
    }
}

#[derive(Debug, Default)]
struct Counts {
    target: OnceLock<SocketAddr>,
    up: AtomicU64,
    down: AtomicU64,
}

/// Running proxy; refuses connections once it is dropped.
#[derive(Debug)]
pub struct CountingProxy {
    /// Address that it listens on.
    pub address: SocketAddr,
    counts: Arc<Counts>,
    accept_task: JoinHandle<()>,
}

impl CountingProxy {
    /// Listens on a free port of the loopback interface.
    pub fn start(runtime: &Handle) -> Result<Self, BoxError> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let counts = Arc::<Counts>::default();
        let shared = Arc::clone(&counts);
        let accept_task = runtime.spawn(async move {
            let Ok(listener) = TcpListener::from_std(listener) else {
                return;
            };
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, Arc::clone(&shared)));
            }
        });
        Ok(Self {
            address,
            counts,
            accept_task,
        })
    }

    /// Sets the process to connect to, once its port is known. Later calls have no effect.
    pub fn set_target(&self, target: SocketAddr) {
        self.counts.target.get_or_init(|| target);
    }

    /// Returns the bytes forwarded so far.
    pub fn bytes(&self) -> Bytes {
        Bytes {
            up: self.counts.up.load(Ordering::Relaxed),
            down: self.counts.down.load(Ordering::Relaxed),
        }
    }
}

impl Drop for CountingProxy {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

async fn forward(client: TcpStream, counts: Arc<Counts>) {
    let Some(target) = counts.target.get() else {
        return;
    };
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    serve::set_socket_options(&client);
    serve::set_socket_options(&server);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    // An error in one direction closes both, as it would without the proxy.
    let ended = tokio::try_join!(
        copy(client_read, server_write, &counts.up),
        copy(server_read, client_write, &counts.down),
    );
    drop(ended);
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    count: &AtomicU64,
) -> std::io::Result<()> {
    let mut buf = vec![0; 16 * 1024];
    loop {
        let read = from.read(&mut buf).await?;
        if read == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buf[..read]).await?;
        count.fetch_add(read as u64, Ordering::Relaxed);
    }
}
