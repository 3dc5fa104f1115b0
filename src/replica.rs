//! A running Raft replica: one thread that passes events to the reducer and executes its effects.
//!
//! The thread processes all queued events as one batch, writes the new state to disk, syncs once,
//! and only then sends messages, applies entries and answers requests. If a write or a sync fails,
//! the thread ends with the error and nothing in the batch is acknowledged.

mod handle;
mod options;

#[cfg(test)]
mod tests;

pub use {
    handle::{Handle, RequestError},
    options::{Options, StateMachine, Status},
};

use {
    crate::{
        error::{Error, Result},
        events::Event as LogEvent,
        log_event,
        raft::{
            Answer, Effects, Entry, Event, MAX_SNAPSHOT, Member, MemberRole, Message, Payload,
            Raft, ReplicaId, Snapshot,
        },
        wal::{self, Batch, Wal},
    },
    bytes::Bytes,
    handle::{Contacts, PendingRequest, Request},
    indexmap::IndexMap,
    std::{
        sync::{
            Arc, Mutex, PoisonError,
            mpsc::{Receiver, RecvTimeoutError},
        },
        thread,
        time::Instant,
    },
    tokio::sync::watch,
};

/// Maximum number of events in one batch; bounds the delay of the reducer's timer.
const MAX_BATCH_EVENTS: usize = 1024;

/// State of the replica's thread.
struct Replica<S, F> {
    raft: Raft,
    wal: Wal,
    state_machine: StateMachine<S>,
    send: F,
    requests: Receiver<Request<S>>,
    status: watch::Sender<Status>,
    /// Last contacts, for the handles.
    contacts: Arc<Mutex<Contacts>>,
    /// Unanswered requests by number.
    pending: IndexMap<u64, PendingRequest<S>>,
    next_number: u64,
    /// Index of the last applied entry.
    applied: u64,
    /// Size in bytes of the entries that were applied since the last snapshot.
    bytes_since_snapshot: usize,
    /// Size in bytes of applied entries after which a snapshot is taken.
    snapshot_after: usize,
    stop: bool,
}

/// Starts a replica on its data folder. `send` queues a message for delivery and must not block;
/// messages may be lost.
///
/// The thread ends when [`Handle::stop`] is called, when all handles are dropped, or with the error
/// of a failed write.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// use anvilbeam::{raft::{Member, MemberRole, ReplicaId}, replica, wal};
/// let folder = tempfile::tempdir().unwrap();
/// let address = "127.0.0.1:1".parse().unwrap();
/// let id = replica::identity(folder.path()).unwrap();
/// let me = Member { id, name: "a".to_owned(), address, role: MemberRole::Voter };
/// wal::bootstrap(folder.path(), &[me]).unwrap();
/// let state_machine = replica::StateMachine {
///     state: 0_u64,
///     apply: |sum, _, command| {
///         *sum += command.len() as u64;
///         sum.to_string().into_bytes()
///     },
///     snapshot: |sum| anvilbeam::wire::encode(sum),
///     restore: |buf| anvilbeam::wire::decode(buf),
/// };
/// let options = replica::Options::new("a", address, folder.path().to_owned());
/// let (handle, thread) = replica::start(options, state_machine, |_, _| ()).unwrap();
/// handle.wait_until_leader().await.unwrap();
/// assert_eq!(handle.propose(b"abc".to_vec()).await.unwrap(), b"3");
/// assert_eq!(handle.read(|sum| *sum).await.unwrap(), 3);
/// handle.stop();
/// thread.join().unwrap().unwrap();
/// # });
/// ```
///
/// # Errors
/// [`Error::File`] or [`Error::Corrupt`] if the data folder cannot be opened, or the error of
/// `restore`.
pub fn start<S, F>(
    options: Options,
    mut state_machine: StateMachine<S>,
    send: F,
) -> Result<(Handle<S>, thread::JoinHandle<Result<()>>)>
where
    S: Send + 'static,
    F: Fn(&Member, Message) + Send + 'static,
{
    let (wal, recovered) = Wal::open(&options.folder, options.wal, random_id())?;
    let snapshot = recovered.stored.snapshot.as_ref();
    let applied = snapshot.map_or(0, |snapshot| snapshot.at.index);
    if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.at.index > 0) {
        state_machine.state = (state_machine.restore)(&snapshot.data)?;
    }
    let me = Member {
        id: recovered.id,
        name: options.name,
        address: options.address,
        role: MemberRole::Voter,
    };
    let now = Instant::now();
    let raft = Raft::new(options.raft, me, recovered.stored, now, rand::random());
    let status = watch::Sender::new(current_status(&raft, applied, wal.bytes()));
    let contacts = Arc::default();
    let (handle, requests) = Handle::new(recovered.id, status.subscribe(), Arc::clone(&contacts));
    let replica = Replica {
        raft,
        wal,
        state_machine,
        send,
        requests,
        status,
        contacts,
        pending: IndexMap::new(),
        next_number: 0,
        applied,
        bytes_since_snapshot: 0,
        snapshot_after: options.snapshot_after,
        stop: false,
    };
    let folder = options.folder;
    let thread = thread::Builder::new()
        .name("replica".to_owned())
        .spawn(move || replica.run())
        .map_err(|source| Error::File {
            step: "start replica",
            path: folder,
            source,
        })?;
    Ok((handle, thread))
}

/// Returns the identity of a data folder, which is created if it does not exist. The replica must
/// not be running.
///
/// # Errors
/// [`Error::File`] or [`Error::Corrupt`] if the data folder cannot be opened.
pub fn identity(folder: &std::path::Path) -> Result<ReplicaId> {
    let (wal, _) = Wal::open(folder, wal::Options::default(), random_id())?;
    Ok(wal.id())
}

fn random_id() -> ReplicaId {
    ReplicaId(rand::random::<u64>().max(1))
}

fn current_status(raft: &Raft, applied_index: u64, bytes: u64) -> Status {
    Status {
        id: raft.me().id,
        group: raft.hard_state().group,
        role: raft.role(),
        term: raft.term(),
        leader: raft.leader().cloned(),
        commit_index: raft.commit_index(),
        applied_index,
        members: raft.members().to_vec(),
        bytes,
    }
}

impl<S, F: Fn(&Member, Message)> Replica<S, F> {
    fn run(mut self) -> Result<()> {
        let done = self.run_batches();
        if let Err(e) = &done {
            log::error!("replica {} stopped after an error: {e}", self.wal.id());
        }
        done
    }

    fn run_batches(&mut self) -> Result<()> {
        while !self.stop {
            let wait = self
                .raft
                .deadline()
                .saturating_duration_since(Instant::now());
            match self.requests.recv_timeout(wait) {
                Ok(request) => self.process_batch(request),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            // The timer is checked after the batch, so that a heartbeat that was queued during a
            // slow sync prevents an election.
            let now = Instant::now();
            if self.raft.deadline() <= now {
                self.raft.step(Event::Tick, now, rand::random());
            }
            let effects = self.raft.flush(now);
            self.execute(effects)?;
            self.compact(now)?;
            self.publish_status();
        }
        Ok(())
    }

    fn process_batch(&mut self, first: Request<S>) {
        self.process_request(first);
        for _ in 1..MAX_BATCH_EVENTS {
            match self.requests.try_recv() {
                Ok(request) => self.process_request(request),
                Err(_) => return,
            }
        }
    }

    fn process_request(&mut self, request: Request<S>) {
        let number = self.next_number;
        self.next_number += 1;
        let event = match request {
            Request::Message(message, permit) => {
                drop(permit);
                Event::Message(message)
            }
            Request::Propose(command, answer, permit) => {
                let pending = PendingRequest::Answer(answer, Some(permit));
                self.pending.insert(number, pending);
                Event::Propose(number, command)
            }
            Request::ProposeAfter(command, index, answer, permit) => {
                let pending = PendingRequest::Answer(answer, Some(permit));
                self.pending.insert(number, pending);
                Event::ProposeAfter(number, command, index)
            }
            Request::Read(run, permit) => {
                self.pending
                    .insert(number, PendingRequest::Read(run, permit));
                Event::Read(number)
            }
            Request::Change(change, answer) => {
                self.pending
                    .insert(number, PendingRequest::Answer(answer, None));
                Event::Change(number, change)
            }
            Request::Transfer(to, answer) => {
                self.pending
                    .insert(number, PendingRequest::Answer(answer, None));
                Event::Transfer(number, to)
            }
            Request::Local(run, permit) => {
                run(&self.state_machine.state);
                drop(permit);
                return;
            }
            Request::Stop => {
                self.stop = true;
                return;
            }
        };
        self.raft.step(event, Instant::now(), rand::random());
    }

    /// Executes the effects of a batch in order.
    fn execute(&mut self, effects: Effects) -> Result<()> {
        self.wal.save(Batch {
            install: effects.install.as_ref(),
            reset: effects.reset,
            hard: effects.hard,
            entries: &effects.entries,
        })?;
        for (to, message) in effects.send {
            (self.send)(&to, message);
        }
        if let Some(snapshot) = effects.install {
            log_event!(
                LogEvent::SnapshotInstalled,
                id = self.wal.id(),
                index = snapshot.at.index
            );
            self.state_machine.state = (self.state_machine.restore)(&snapshot.data)?;
            self.applied = snapshot.at.index;
            self.bytes_since_snapshot = 0;
        }
        for (entry, number) in effects.apply {
            self.apply(&entry, number);
        }
        for (number, answer) in effects.answers {
            if let Some(pending) = self.pending.swap_remove(&number) {
                pending.answer(answer, &self.state_machine.state, self.applied);
            }
        }
        Ok(())
    }

    fn apply(&mut self, entry: &Entry, number: Option<u64>) {
        let out = match &entry.payload {
            Payload::Command(command) => {
                (self.state_machine.apply)(&mut self.state_machine.state, entry.at.index, command)
            }
            Payload::Empty | Payload::Members(_) => Vec::new(),
        };
        self.applied = entry.at.index;
        self.bytes_since_snapshot += entry.size();
        let pending = number.and_then(|number| self.pending.swap_remove(&number));
        if let Some(PendingRequest::Answer(answer, permit)) = pending {
            drop(permit);
            // The proposer may no longer be waiting.
            let _gone = answer.send(Ok(out));
        }
    }

    /// Writes a snapshot and compacts the log if enough entries were applied since the last one.
    fn compact(&mut self, now: Instant) -> Result<()> {
        if self.bytes_since_snapshot < self.snapshot_after || self.raft.is_sending_snapshot(now) {
            return Ok(());
        }
        self.bytes_since_snapshot = 0;
        let Some(record) = self.raft.snapshot_at(self.applied) else {
            return Ok(());
        };
        let data = (self.state_machine.snapshot)(&self.state_machine.state)?;
        if data.len() as u64 > MAX_SNAPSHOT {
            log::error!(
                "no snapshot written: its size of {} bytes exceeds the maximum of {MAX_SNAPSHOT}",
                data.len()
            );
            return Ok(());
        }
        let snapshot = Snapshot {
            data: Bytes::from(data),
            ..record
        };
        self.wal.compact(&snapshot)?;
        log_event!(
            LogEvent::SnapshotWritten,
            id = self.wal.id(),
            index = self.applied
        );
        self.raft
            .step(Event::SnapshotStored(snapshot), now, rand::random());
        Ok(())
    }

    fn publish_status(&self) {
        *self.contacts.lock().unwrap_or_else(PoisonError::into_inner) = Contacts {
            quorum: self.raft.quorum_contact(Instant::now()),
            members: self.raft.member_contacts(),
        };
        let new = current_status(&self.raft, self.applied, self.wal.bytes());
        self.status.send_if_modified(|old| {
            if (old.role, old.term) != (new.role, new.term) {
                log::info!("replica {} is {} in term {}", new.id, new.role, new.term);
            }
            let modified = *old != new;
            *old = new;
            modified
        });
    }
}

impl<S> PendingRequest<S> {
    fn answer(self, answer: Answer, state: &S, applied: u64) {
        match self {
            Self::Read(run, permit) => {
                drop(permit);
                run(RequestError::from_answer(answer).map(|()| (state, applied)));
            }
            Self::Answer(to, permit) => {
                drop(permit);
                // The proposer may no longer be waiting.
                let _gone = to.send(RequestError::from_answer(answer).map(|()| Vec::new()));
            }
        }
    }
}
