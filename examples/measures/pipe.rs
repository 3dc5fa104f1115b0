//! A TCP forwarder that counts the bytes between a process and those that connect to it.

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
    /// From the process that connected.
    pub up: u64,
    /// To the process that connected.
    pub down: u64,
}

impl Bytes {
    /// Bytes since `earlier`.
    pub const fn since(self, earlier: Self) -> Self {
        Self {
            up: self.up - earlier.up,
            down: self.down - earlier.down,
        }
    }

    /// Both directions together.
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

/// A running forwarder; it refuses connections once it is dropped.
#[derive(Debug)]
pub struct Pipe {
    /// Where it listens.
    pub address: SocketAddr,
    counts: Arc<Counts>,
    accepting: JoinHandle<()>,
}

impl Pipe {
    /// Listens on a free port of the loopback interface.
    pub fn start(runtime: &Handle) -> Result<Self, BoxError> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let counts = Arc::<Counts>::default();
        let shared = Arc::clone(&counts);
        let accepting = runtime.spawn(async move {
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
            accepting,
        })
    }

    /// Sets the process that connections lead to; done once, when its port is known.
    pub fn lead_to(&self, target: SocketAddr) {
        self.counts.target.get_or_init(|| target);
    }

    /// Bytes so far.
    pub fn bytes(&self) -> Bytes {
        Bytes {
            up: self.counts.up.load(Ordering::Relaxed),
            down: self.counts.down.load(Ordering::Relaxed),
        }
    }
}

impl Drop for Pipe {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn forward(near: TcpStream, counts: Arc<Counts>) {
    let Some(target) = counts.target.get() else {
        return;
    };
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    serve::set_socket_options(&near);
    serve::set_socket_options(&far);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    // An error in one direction ends both, as it would without the forwarder.
    let ended = tokio::try_join!(
        copy(near_read, far_write, &counts.up),
        copy(far_read, near_write, &counts.down),
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
