//! Transport of the messages between the replicas of a group.

use {
    crate::{
        peer::{self, Client},
        raft::{Member, Message},
        replica::Handle,
    },
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    indexmap::IndexMap,
    std::{
        net::SocketAddr,
        sync::{Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{runtime::Handle as Runtime, sync::mpsc},
};

/// Path of the peer port that takes messages of other replicas.
pub const RAFT_PATH: &str = "/raft";
/// Messages that wait for one replica; more are dropped, since the log sends them again.
const QUEUE: usize = 256;
/// Largest number of messages in one request.
const BATCH: usize = 32;
/// Bytes of log entries after which a request is closed; one more message still fits.
const BATCH_BYTES: usize = 1024 * 1024;
/// Longest wait for the other replica to take a request.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// A function that sends a message to a replica without waiting.
pub(super) fn sender(client: Client) -> impl Fn(&Member, Message) + Send + 'static {
    let runtime = Runtime::current();
    let queues: Mutex<IndexMap<SocketAddr, mpsc::Sender<Message>>> = Mutex::default();
    move |to, message| {
        let mut queues = queues.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = queues.entry(to.address).or_insert_with(|| {
            let (tx, rx) = mpsc::channel(QUEUE);
            runtime.spawn(deliver(client.clone(), to.address, rx));
            tx
        });
        if queue.try_send(message).is_err() {
            log::debug!("message to replica {} dropped: the queue is full", to.name);
        }
    }
}

async fn deliver(client: Client, address: SocketAddr, mut rx: mpsc::Receiver<Message>) {
    while let Some(first) = rx.recv().await {
        let mut batch = vec![first];
        let mut bytes = size(&batch[0]);
        while batch.len() < BATCH && bytes < BATCH_BYTES {
            let Ok(message) = rx.try_recv() else {
                break;
            };
            bytes += size(&message);
            batch.push(message);
        }
        let deadline = Instant::now() + SEND_TIMEOUT;
        let sent = client
            .request::<_, ()>("send log messages", address, RAFT_PATH, &batch, deadline)
            .await;
        if let Err(e) = sent {
            log::debug!("{e}");
        }
    }
}

fn size(message: &Message) -> usize {
    crate::wire::encode(message).map_or(BATCH_BYTES, |buf| buf.len())
}

/// Takes messages that another replica sent.
pub(super) async fn receive<S: Send + 'static>(
    handle: &Handle<S>,
    req: Request<Incoming>,
) -> Response<crate::body::Body> {
    match peer::read_message::<Vec<Message>>(req).await {
        Ok(messages) => {
            for message in messages {
                handle.deliver(message.from.id, message);
            }
            peer::message_response(&())
        }
        Err(e) => {
            log::warn!("log messages refused: {e}");
            peer::empty_response(StatusCode::BAD_REQUEST)
        }
    }
}
