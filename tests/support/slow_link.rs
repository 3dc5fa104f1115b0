//! TCP proxy that acts as a slow network link with a deep buffer in front of a daemon.

use {
    super::Mesh,
    bytes::Bytes,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpSocket, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::{OwnedSemaphorePermit, Semaphore, mpsc},
        time::{sleep, sleep_until},
    },
};

/// Bytes of one connection that the link takes before it has delivered them.
const WINDOW: usize = 64 * 1024;
/// Receive buffer of a connection in bytes. Without a limit, Linux lets it grow to megabytes, which
/// would add to the window.
const RECEIVE_BUFFER: u32 = 32 * 1024;
/// Largest part of a connection's data that is queued as a whole, in bytes.
const SEGMENT: usize = 4 * 1024;
/// Connections that wait to be accepted.
const BACKLOG: u32 = 128;
/// Bytes per second below which the link carries no request bodies, only pings and reports.
const QUIET_RATE: u64 = 32 * 1024;

type Delivery = (Bytes, OwnedSemaphorePermit);

/// Data in the queue of the link.
struct Segment {
    arrived: Instant,
    data: Delivery,
    to: mpsc::UnboundedSender<Delivery>,
}

/// Link to one address. All connections share one queue, which is released at a fixed rate in order
/// of arrival; the other direction is not limited.
pub struct SlowLink {
    carried: Arc<AtomicU64>,
}

impl SlowLink {
    /// Accepts connections on `listen` and forwards them to `to` at `rate` bytes per second.
    pub fn start(listen: SocketAddr, to: SocketAddr, rate: u64) -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
        socket.bind(listen).unwrap();
        let listener = socket.listen(BACKLOG).unwrap();
        let carried = Arc::new(AtomicU64::new(0));
        let (queue, segments) = mpsc::unbounded_channel();
        tokio::spawn(release(segments, rate, Arc::clone(&carried)));
        tokio::spawn(async move {
            loop {
                let (from, _) = listener.accept().await.unwrap();
                if let Ok(to) = TcpStream::connect(to).await {
                    forward(from, to, queue.clone());
                }
            }
        });
        Self { carried }
    }

    /// Waits until the link has delivered all request bodies in its queue.
    pub async fn wait_until_quiet(&self) {
        loop {
            let before = self.carried.load(Ordering::Relaxed);
            sleep(Duration::from_secs(1)).await;
            if self.carried.load(Ordering::Relaxed) - before < QUIET_RATE {
                return;
            }
        }
    }
}

/// Releases queued data at `rate` bytes per second.
async fn release(
    mut segments: mpsc::UnboundedReceiver<Segment>,
    rate: u64,
    carried: Arc<AtomicU64>,
) {
    let mut free_at = Instant::now();
    while let Some(segment) = segments.recv().await {
        let size = segment.data.0.len() as u64;
        let duration = Duration::from_nanos(size * 1_000_000_000 / rate);
        free_at = free_at.max(segment.arrived) + duration;
        if free_at > Instant::now() {
            sleep_until(free_at.into()).await;
        }
        carried.fetch_add(size, Ordering::Relaxed);
        // Fails only if the receiving daemon has closed the connection.
        let _closed = segment.to.send(segment.data);
    }
}

fn forward(from: TcpStream, to: TcpStream, queue: mpsc::UnboundedSender<Segment>) {
    from.set_nodelay(true).unwrap();
    to.set_nodelay(true).unwrap();
    let (from_read, mut from_write) = from.into_split();
    let (mut to_read, to_write) = to.into_split();
    let (tx, rx) = mpsc::unbounded_channel();
    tokio::spawn(enqueue(from_read, queue, tx));
    tokio::spawn(deliver(rx, to_write));
    tokio::spawn(async move {
        // Ends with either connection.
        let _closed = tokio::io::copy(&mut to_read, &mut from_write).await;
    });
}

async fn enqueue(
    mut from: OwnedReadHalf,
    queue: mpsc::UnboundedSender<Segment>,
    to: mpsc::UnboundedSender<Delivery>,
) {
    let window = Arc::new(Semaphore::new(WINDOW));
    let mut buf = vec![0; SEGMENT];
    while let Ok(size @ 1..) = from.read(&mut buf).await {
        let arrived = Instant::now();
        let permit = Arc::clone(&window).acquire_many_owned(size as u32).await;
        let segment = Segment {
            arrived,
            data: (Bytes::copy_from_slice(&buf[..size]), permit.unwrap()),
            to: to.clone(),
        };
        if queue.send(segment).is_err() {
            return;
        }
    }
}

/// Writes released data to the daemon; closes the connection after the last of it.
async fn deliver(mut released: mpsc::UnboundedReceiver<Delivery>, mut to: OwnedWriteHalf) {
    while let Some((bytes, _permit)) = released.recv().await {
        if to.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

impl Mesh {
    /// Starts a daemon and a backend server of `service` behind a link of `rate` bytes per second;
    /// returns the link and the address of the daemon on it.
    pub fn add_daemon_behind_link(
        &mut self,
        service: &str,
        slots: u32,
        rate: u64,
    ) -> (SlowLink, SocketAddr) {
        let (peer, advertised) = (self.port(), self.port());
        let link = SlowLink::start(advertised, peer, rate);
        self.add_daemon_advertising("r1-a", service, slots, peer, advertised);
        (link, advertised)
    }
}
