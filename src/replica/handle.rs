//! The handle of a running replica.

use {
    super::Status,
    crate::raft::{Answer, MAX_COMMAND, Member, MemberChange, Message, ReplicaId, Role},
    bytes::Bytes,
    std::{
        fmt,
        sync::{
            Arc,
            mpsc::{self, Receiver, Sender},
        },
    },
    tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch},
};

/// Memory for proposals and reads that wait for an answer, in units of [`UNIT`].
const MEMORY_UNITS: usize = 64 * 1024;
/// Messages that wait for the thread; each holds up to [`crate::wire::MAX_MESSAGE`] bytes, and a
/// leader sends at most 8 large ones to a follower before it hears an answer.
const MESSAGES: usize = 256;
/// Bytes in one unit of that memory.
const UNIT: usize = 1024;

/// Why a request was not answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// Not done: this replica does not lead. Names the leader if it is known.
    NotLeader(Option<Member>),
    /// The outcome is unknown: the leadership was lost or the replica stopped meanwhile.
    Lost,
    /// Not done, for this reason.
    Refused(String),
    /// Not done: the replica has stopped.
    Stopped,
}

impl ProposeError {
    pub(super) fn of(answer: Answer) -> Result<(), Self> {
        match answer {
            Answer::Done => Ok(()),
            Answer::NotLeader(leader) => Err(Self::NotLeader(leader)),
            Answer::Lost => Err(Self::Lost),
            Answer::Refused(reason) => Err(Self::Refused(reason)),
        }
    }
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader(None) => f.write_str("not the leader, which is unknown"),
            Self::NotLeader(Some(leader)) => {
                write!(
                    f,
                    "not the leader, which is {} at {}",
                    leader.name, leader.address
                )
            }
            Self::Lost => f.write_str("the outcome is unknown"),
            Self::Refused(reason) => write!(f, "refused: {reason}"),
            Self::Stopped => f.write_str("the replica has stopped"),
        }
    }
}

impl std::error::Error for ProposeError {}

type Answered = oneshot::Sender<Result<Vec<u8>, ProposeError>>;
/// A closure that reads the state, or learns why it may not.
type ReadState<S> = Box<dyn FnOnce(Result<&S, ProposeError>) + Send>;

/// Input of the thread. The permits bound what waits for it.
pub(super) enum Request<S> {
    Message(Message, OwnedSemaphorePermit),
    Propose(Bytes, Answered, OwnedSemaphorePermit),
    Read(ReadState<S>, OwnedSemaphorePermit),
    Local(Box<dyn FnOnce(&S) + Send>, OwnedSemaphorePermit),
    Change(MemberChange, Answered),
    Transfer(ReplicaId, Answered),
    Stop,
}

/// A request that waits for the reducer.
pub(super) enum Waiting<S> {
    /// The permit is held until the answer, so that it bounds the uncommitted proposals too.
    Answer(Answered, Option<OwnedSemaphorePermit>),
    /// As for an answer.
    Read(ReadState<S>, OwnedSemaphorePermit),
}

/// Access to a running replica; clones share it.
pub struct Handle<S> {
    id: ReplicaId,
    requests: Sender<Request<S>>,
    status: watch::Receiver<Status>,
    memory: Arc<Semaphore>,
    messages: Arc<Semaphore>,
}

impl<S> Clone for Handle<S> {
    fn clone(&self) -> Self {
        Self {
            id: self.id,
            requests: self.requests.clone(),
            status: self.status.clone(),
            memory: Arc::clone(&self.memory),
            messages: Arc::clone(&self.messages),
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
    ) -> (Self, Receiver<Request<S>>) {
        let (tx, rx) = mpsc::channel();
        let handle = Self {
            id,
            requests: tx,
            status,
            memory: Arc::new(Semaphore::new(MEMORY_UNITS)),
            messages: Arc::new(Semaphore::new(MESSAGES)),
        };
        (handle, rx)
    }

    /// Identity of the replica.
    pub const fn id(&self) -> ReplicaId {
        self.id
    }

    /// Appends a command and waits until it is committed and applied here; returns the answer of
    /// `apply`. Waits first while too many proposals are queued.
    ///
    /// # Errors
    /// [`ProposeError`]; only after [`ProposeError::Lost`] the command may have been applied, or
    /// be applied later.
    pub async fn propose(&self, command: Vec<u8>) -> Result<Vec<u8>, ProposeError> {
        if command.len() > MAX_COMMAND {
            let reason = format!("command of {} bytes exceeds {MAX_COMMAND}", command.len());
            return Err(ProposeError::Refused(reason));
        }
        let permit = self.permit(command.len() / UNIT + 1).await?;
        let command = Bytes::from(command);
        self.answered(|answer| Request::Propose(command, answer, permit))
            .await
    }

    /// Runs a closure on the state after the leader has confirmed that it still leads, so that
    /// the state holds all commands accepted before the call.
    ///
    /// # Errors
    /// [`ProposeError::NotLeader`] or [`ProposeError::Stopped`]; the closure did not run.
    pub async fn read<R: Send + 'static>(
        &self,
        read: impl FnOnce(&S) -> R + Send + 'static,
    ) -> Result<R, ProposeError> {
        let (tx, rx) = oneshot::channel();
        let run = Box::new(move |state: Result<&S, ProposeError>| {
            // The reader may have gone away.
            let _gone = tx.send(state.map(read));
        });
        let permit = self.permit(1).await?;
        self.request(Request::Read(run, permit))?;
        rx.await.unwrap_or(Err(ProposeError::Stopped))
    }

    /// Runs a closure on the state of this replica, which may be old.
    ///
    /// # Errors
    /// [`ProposeError::Stopped`].
    pub async fn local<R: Send + 'static>(
        &self,
        read: impl FnOnce(&S) -> R + Send + 'static,
    ) -> Result<R, ProposeError> {
        let (tx, rx) = oneshot::channel();
        let run = Box::new(move |state: &S| {
            // The reader may have gone away.
            let _gone = tx.send(read(state));
        });
        let permit = self.permit(1).await?;
        self.request(Request::Local(run, permit))?;
        rx.await.map_err(|_stopped| ProposeError::Stopped)
    }

    /// Takes a message of another replica in. It is dropped if too many wait or if `from` is not
    /// its sender.
    pub fn message(&self, from: ReplicaId, message: Message) {
        if message.from.id != from {
            return;
        }
        let Ok(permit) = Arc::clone(&self.messages).try_acquire_owned() else {
            log::warn!("replica {} drops a message: {MESSAGES} wait", self.id);
            return;
        };
        // A replica that has stopped needs no messages.
        let _stopped = self.request(Request::Message(message, permit));
    }

    /// Member list in force.
    pub fn members(&self) -> Vec<Member> {
        self.status.borrow().members.clone()
    }

    /// Changes the member list and waits until the change is committed.
    ///
    /// # Errors
    /// [`ProposeError`]; [`ProposeError::Refused`] while another change is not committed, or for
    /// a learner that has not caught up.
    pub async fn change_members(&self, change: MemberChange) -> Result<(), ProposeError> {
        self.answered(|answer| Request::Change(change, answer))
            .await
            .map(|_empty| ())
    }

    /// Asks a voter that has caught up to take the leadership over.
    ///
    /// # Errors
    /// [`ProposeError`].
    pub async fn transfer(&self, to: ReplicaId) -> Result<(), ProposeError> {
        self.answered(|answer| Request::Transfer(to, answer))
            .await
            .map(|_empty| ())
    }

    /// Whether the replica has ended; its last status stays as it was.
    pub fn has_stopped(&self) -> bool {
        self.status.has_changed().is_err()
    }

    /// What the replica last said of itself.
    pub fn status(&self) -> Status {
        self.status.borrow().clone()
    }

    /// Status whose changes can be awaited.
    pub fn watch(&self) -> watch::Receiver<Status> {
        self.status.clone()
    }

    /// Waits until this replica leads.
    ///
    /// # Errors
    /// [`ProposeError::Stopped`].
    pub async fn leads(&self) -> Result<(), ProposeError> {
        let mut status = self.status.clone();
        status
            .wait_for(|status| status.role == Role::Leader)
            .await
            .map_or(Err(ProposeError::Stopped), |_status| Ok(()))
    }

    /// Ends the thread after the batch at hand.
    pub fn stop(&self) {
        // It may have ended already.
        let _ended = self.request(Request::Stop);
    }

    /// Waits for memory for a request.
    async fn permit(&self, units: usize) -> Result<OwnedSemaphorePermit, ProposeError> {
        Arc::clone(&self.memory)
            .acquire_many_owned(units as u32)
            .await
            .map_err(|_closed| ProposeError::Stopped)
    }

    fn request(&self, request: Request<S>) -> Result<(), ProposeError> {
        self.requests
            .send(request)
            .map_err(|_ended| ProposeError::Stopped)
    }

    async fn answered(
        &self,
        request: impl FnOnce(Answered) -> Request<S>,
    ) -> Result<Vec<u8>, ProposeError> {
        let (tx, rx) = oneshot::channel();
        self.request(request(tx))?;
        rx.await.unwrap_or(Err(ProposeError::Lost))
    }
}
