//! Handle to a running replica.

use {
    super::Status,
    crate::raft::{Answer, MAX_COMMAND, Member, MemberChange, Message, ReplicaId, Role},
    bytes::Bytes,
    std::{
        fmt,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            mpsc::{self, Receiver, Sender},
        },
        time::Instant,
    },
    tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch},
};

/// Maximum memory of unanswered proposals and reads, in units of [`MEMORY_UNIT`].
const MEMORY_UNITS: usize = 64 * 1024;
/// Maximum number of messages in the queue of the thread. Each has up to
/// [`crate::wire::MAX_MESSAGE`] bytes, and a leader sends at most 8 large ones to a follower before
/// it receives a reply.
const MAX_QUEUED_MESSAGES: usize = 256;
/// Bytes in one unit of memory.
const MEMORY_UNIT: usize = 1024;

/// Error of a request to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// Not done: this replica is not the leader. Names the leader if it is known.
    NotLeader(Option<Member>),
    /// The outcome is unknown: the replica lost the leadership or stopped during the request.
    Lost,
    /// Not done, for this reason.
    Refused(String),
    /// Not done: entries were appended to the log after the state was read.
    Superseded,
    /// Not done: the replica has stopped.
    Stopped,
}

impl RequestError {
    pub(super) fn from_answer(answer: Answer) -> Result<(), Self> {
        match answer {
            Answer::Done => Ok(()),
            Answer::NotLeader(leader) => Err(Self::NotLeader(leader)),
            Answer::Lost => Err(Self::Lost),
            Answer::Refused(reason) => Err(Self::Refused(reason)),
            Answer::Superseded => Err(Self::Superseded),
        }
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader(None) => f.write_str("not the leader; the leader is unknown"),
            Self::NotLeader(Some(leader)) => {
                write!(
                    f,
                    "not the leader; the leader is {} at {}",
                    leader.name, leader.address
                )
            }
            Self::Lost => f.write_str("the outcome is unknown"),
            Self::Refused(reason) => write!(f, "refused: {reason}"),
            Self::Superseded => f.write_str("other entries were appended after the state was read"),
            Self::Stopped => f.write_str("the replica has stopped"),
        }
    }
}

impl std::error::Error for RequestError {}

type AnswerSender = oneshot::Sender<Result<Vec<u8>, RequestError>>;
/// Callback of a read; receives the state with the index of the last applied entry, or the reason why
/// it must not be read.
type ReadCallback<S> = Box<dyn FnOnce(Result<(&S, u64), RequestError>) + Send>;

/// Request to the thread. The permits bound the number and the memory of queued requests.
pub(super) enum Request<S> {
    Message(Message, OwnedSemaphorePermit),
    Propose(Bytes, AnswerSender, OwnedSemaphorePermit),
    ProposeAfter(Bytes, u64, AnswerSender, OwnedSemaphorePermit),
    Read(ReadCallback<S>, OwnedSemaphorePermit),
    Local(Box<dyn FnOnce(&S) + Send>, OwnedSemaphorePermit),
    Change(MemberChange, AnswerSender),
    Transfer(ReplicaId, AnswerSender),
    Stop,
}

/// A request that the reducer has not answered yet.
pub(super) enum PendingRequest<S> {
    /// A proposal, change or transfer. A proposal holds its permit until the answer, so that the
    /// memory of uncommitted proposals is bounded too; the others have no permit.
    Answer(AnswerSender, Option<OwnedSemaphorePermit>),
    /// A read, which also holds its permit until the answer.
    Read(ReadCallback<S>, OwnedSemaphorePermit),
}

/// Handle to a running replica. Clones refer to the same replica.
pub struct Handle<S> {
    id: ReplicaId,
    requests: Sender<Request<S>>,
    status: watch::Receiver<Status>,
    contacts: Arc<Mutex<Contacts>>,
    memory_permits: Arc<Semaphore>,
    message_permits: Arc<Semaphore>,
}

/// Last contacts of a replica with others. They stay as they are while its thread waits for the disk.
#[derive(Debug, Default)]
pub(super) struct Contacts {
    /// Last contact with the quorum; see [`crate::raft::Raft::quorum_contact`].
    pub(super) quorum: Option<Instant>,
    /// Last contact with each other member, at the leader.
    pub(super) members: Vec<(ReplicaId, Instant)>,
}

impl<S> Clone for Handle<S> {
    fn clone(&self) -> Self {
        Self {
            id: self.id,
            requests: self.requests.clone(),
            status: self.status.clone(),
            contacts: Arc::clone(&self.contacts),
            memory_permits: Arc::clone(&self.memory_permits),
            message_permits: Arc::clone(&self.message_permits),
        }
    }
}

impl<S> fmt::Debug for Handle<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Handle")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

impl<S: Send + 'static> Handle<S> {
    pub(super) fn new(
        id: ReplicaId,
        status: watch::Receiver<Status>,
        contacts: Arc<Mutex<Contacts>>,
    ) -> (Self, Receiver<Request<S>>) {
        let (tx, rx) = mpsc::channel();
        let handle = Self {
            id,
            requests: tx,
            status,
            contacts,
            memory_permits: Arc::new(Semaphore::new(MEMORY_UNITS)),
            message_permits: Arc::new(Semaphore::new(MAX_QUEUED_MESSAGES)),
        };
        (handle, rx)
    }

    /// Returns the identity of the replica.
    pub const fn id(&self) -> ReplicaId {
        self.id
    }

    /// Appends a command to the log, waits until it is committed and applied on this replica, and
    /// returns the answer of `apply`. If too many proposals are pending, waits for them first.
    ///
    /// # Errors
    /// [`RequestError`]. The command may have been applied, or may be applied later, only after
    /// [`RequestError::Lost`].
    pub async fn propose(&self, command: Vec<u8>) -> Result<Vec<u8>, RequestError> {
        let permit = self.acquire_command_memory(&command).await?;
        let command = Bytes::from(command);
        self.request_answer(|answer| Request::Propose(command, answer, permit))
            .await
    }

    /// As [`Self::propose`], but only if no entry was appended after the one at `index`, to which the
    /// state was read by [`Self::read_with_index`]. The command may therefore depend on that state.
    ///
    /// # Errors
    /// [`RequestError`]; [`RequestError::Superseded`] if there is a later entry, applied or not.
    pub async fn propose_after(
        &self,
        index: u64,
        command: Vec<u8>,
    ) -> Result<Vec<u8>, RequestError> {
        let permit = self.acquire_command_memory(&command).await?;
        let command = Bytes::from(command);
        self.request_answer(|answer| Request::ProposeAfter(command, index, answer, permit))
            .await
    }

    /// Linearizable read: calls `read` with the state after the leader has confirmed its
    /// leadership, so that the state includes all commands that were accepted before the call.
    ///
    /// # Errors
    /// [`RequestError::NotLeader`] or [`RequestError::Stopped`]; `read` was not called.
    pub async fn read<R: Send + 'static>(
        &self,
        read: impl FnOnce(&S) -> R + Send + 'static,
    ) -> Result<R, RequestError> {
        self.read_with_index(|state, _| read(state)).await
    }

    /// As [`Self::read`]; `read` also gets the index of the last entry that the state includes.
    ///
    /// # Errors
    /// See [`Self::read`].
    pub async fn read_with_index<R: Send + 'static>(
        &self,
        read: impl FnOnce(&S, u64) -> R + Send + 'static,
    ) -> Result<R, RequestError> {
        let (tx, rx) = oneshot::channel();
        let run = Box::new(move |state: Result<(&S, u64), RequestError>| {
            // The reader may no longer be waiting.
            let _gone = tx.send(state.map(|(state, index)| read(state, index)));
        });
        let permit = self.acquire_memory(1).await?;
        self.send_request(Request::Read(run, permit))?;
        rx.await.unwrap_or(Err(RequestError::Stopped))
    }

    /// Calls `read` with the state of this replica, which may be stale.
    ///
    /// # Errors
    /// [`RequestError::Stopped`] if the replica has stopped.
    pub async fn read_local<R: Send + 'static>(
        &self,
        read: impl FnOnce(&S) -> R + Send + 'static,
    ) -> Result<R, RequestError> {
        let (tx, rx) = oneshot::channel();
        let run = Box::new(move |state: &S| {
            // The reader may no longer be waiting.
            let _gone = tx.send(read(state));
        });
        let permit = self.acquire_memory(1).await?;
        self.send_request(Request::Local(run, permit))?;
        rx.await.map_err(|_stopped| RequestError::Stopped)
    }

    /// Queues a message from another replica. The message is dropped if too many are queued or if
    /// `from` is not its sender.
    pub fn deliver(&self, from: ReplicaId, message: Message) {
        if message.from.id != from {
            return;
        }
        let Ok(permit) = Arc::clone(&self.message_permits).try_acquire_owned() else {
            log::warn!(
                "replica {} dropped a message because {MAX_QUEUED_MESSAGES} messages are queued",
                self.id
            );
            return;
        };
        // A stopped replica needs no messages.
        let _stopped = self.send_request(Request::Message(message, permit));
    }

    /// Returns the latest member list in the log, committed or not.
    pub fn members(&self) -> Vec<Member> {
        self.status.borrow().members.clone()
    }

    /// Changes the member list and waits until the change is committed.
    ///
    /// # Errors
    /// [`RequestError`]; [`RequestError::Refused`] while another change is not committed, or if a
    /// learner to promote has not caught up.
    pub async fn change_members(&self, change: MemberChange) -> Result<(), RequestError> {
        self.request_answer(|answer| Request::Change(change, answer))
            .await
            .map(|_empty| ())
    }

    /// Transfers the leadership to a voter that has caught up. Does not wait for its election.
    ///
    /// # Errors
    /// [`RequestError`]; [`RequestError::Refused`] if `to` is not a voter that has caught up.
    pub async fn transfer(&self, to: ReplicaId) -> Result<(), RequestError> {
        self.request_answer(|answer| Request::Transfer(to, answer))
            .await
            .map(|_empty| ())
    }

    /// Returns whether the replica has stopped. Its last status stays available.
    pub fn has_stopped(&self) -> bool {
        self.status.has_changed().is_err()
    }

    /// Returns the latest status of the replica.
    pub fn status(&self) -> Status {
        self.status.borrow().clone()
    }

    /// Returns the latest time at which this replica was in contact with the quorum of its group; see
    /// [`crate::raft::Raft::quorum_contact`]. It stays as it is while the thread waits for the disk.
    pub fn quorum_contact(&self) -> Option<Instant> {
        self.contacts().quorum
    }

    /// Returns when this replica last heard from each other member, if it leads. The times stay as they
    /// are while the thread waits for the disk.
    pub fn member_contacts(&self) -> Vec<(ReplicaId, Instant)> {
        self.contacts().members.clone()
    }

    fn contacts(&self) -> MutexGuard<'_, Contacts> {
        self.contacts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a receiver with which status changes can be awaited.
    pub fn watch(&self) -> watch::Receiver<Status> {
        self.status.clone()
    }

    /// Waits until this replica is the leader.
    ///
    /// # Errors
    /// [`RequestError::Stopped`] if the replica has stopped.
    pub async fn wait_until_leader(&self) -> Result<(), RequestError> {
        let mut status = self.status.clone();
        status
            .wait_for(|status| status.role == Role::Leader)
            .await
            .map_or(Err(RequestError::Stopped), |_status| Ok(()))
    }

    /// Stops the thread after the current batch.
    pub fn stop(&self) {
        // The thread may have ended already.
        let _ended = self.send_request(Request::Stop);
    }

    /// Waits until memory for a command is available.
    async fn acquire_command_memory(
        &self,
        command: &[u8],
    ) -> Result<OwnedSemaphorePermit, RequestError> {
        if command.len() > MAX_COMMAND {
            let reason = format!(
                "command of {} bytes exceeds the maximum of {MAX_COMMAND} bytes",
                command.len()
            );
            return Err(RequestError::Refused(reason));
        }
        self.acquire_memory(command.len() / MEMORY_UNIT + 1).await
    }

    /// Waits until memory for a request is available.
    async fn acquire_memory(&self, units: usize) -> Result<OwnedSemaphorePermit, RequestError> {
        Arc::clone(&self.memory_permits)
            .acquire_many_owned(units as u32)
            .await
            .map_err(|_closed| RequestError::Stopped)
    }

    fn send_request(&self, request: Request<S>) -> Result<(), RequestError> {
        self.requests
            .send(request)
            .map_err(|_ended| RequestError::Stopped)
    }

    async fn request_answer(
        &self,
        request: impl FnOnce(AnswerSender) -> Request<S>,
    ) -> Result<Vec<u8>, RequestError> {
        let (tx, rx) = oneshot::channel();
        self.send_request(request(tx))?;
        rx.await.unwrap_or(Err(RequestError::Lost))
    }
}
