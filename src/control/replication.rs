//! Transport of Raft messages between the replicas of a group.

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

/// Path of the peer port for Raft messages of other replicas.
pub const RAFT_PATH: &str = "/raft";
/// Capacity of the send queue to one replica in messages. More are dropped, since Raft sends them
/// again.
const QUEUE_CAPACITY: usize = 256;
/// Maximum number of messages in one request.
const MAX_BATCH: usize = 32;
/// Encoded size in bytes at which a batch is full. The message that crosses it still fits into a
/// request.
const BATCH_BYTES: usize = 1024 * 1024;
/// Timeout of one request.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns a function that queues a message for a replica without blocking.
pub(super) fn sender(client: Client) -> impl Fn(&Member, Message) + Send + 'static {
    let runtime = Runtime::current();
    let queues: Mutex<IndexMap<SocketAddr, mpsc::Sender<Message>>> = Mutex::default();
    move |to, message| {
        let mut queues = queues.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = queues.entry(to.address).or_insert_with(|| {
            let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
            runtime.spawn(deliver(client.clone(), to.address, rx));
            tx
        });
        if queue.try_send(message).is_err() {
            log::debug!("message to replica {} dropped: the queue is full", to.name);
        }
    }
}

/// Sends the queued messages of one replica in batches, one request at a time.
async fn deliver(client: Client, address: SocketAddr, mut rx: mpsc::Receiver<Message>) {
    while let Some(first) = rx.recv().await {
        let mut batch = vec![first];
        let mut bytes = encoded_size(&batch[0]);
        while batch.len() < MAX_BATCH && bytes < BATCH_BYTES {
            let Ok(message) = rx.try_recv() else {
                break;
            };
            bytes += encoded_size(&message);
            batch.push(message);
        }
        let deadline = Instant::now() + SEND_TIMEOUT;
        let sent = client
            .request::<_, ()>("send Raft messages", address, RAFT_PATH, &batch, deadline)
            .await;
        if let Err(e) = sent {
            log::debug!("{e}");
        }
    }
}

fn encoded_size(message: &Message) -> usize {
    crate::wire::encode(message).map_or(BATCH_BYTES, |buf| buf.len())
}

/// Delivers the messages in a request of another replica, and answers the request.
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
            log::warn!("Raft messages rejected: {e}");
            peer::empty_response(StatusCode::BAD_REQUEST)
        }
    }
}
