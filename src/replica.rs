//! A running replica: one thread that feeds the reducer and carries out its effects.
//!
//! The thread takes the events that wait as one batch, stores what the reducer hands out, syncs
//! once, and only then sends messages, applies entries and answers. If a write or a sync fails,
//! the thread ends with the error and nothing of the batch is acknowledged.

mod handle;
mod options;

#[cfg(test)]
mod tests;

pub use {
    handle::{Handle, ProposeError},
    options::{Machine, Options, Status},
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
    handle::{Request, Waiting},
    indexmap::IndexMap,
    std::{
        sync::mpsc::{Receiver, RecvTimeoutError},
        thread,
        time::Instant,
    },
    tokio::sync::watch,
};

/// Most events in one batch; bounds the time between two checks of the deadline.
const BATCH_EVENTS: usize = 1024;

/// The thread's side of a replica.
struct Replica<S, F> {
    raft: Raft,
    wal: Wal,
    machine: Machine<S>,
    send: F,
    requests: Receiver<Request<S>>,
    status: watch::Sender<Status>,
    /// Requests that wait for an answer of the reducer, by their number.
    waiting: IndexMap<u64, Waiting<S>>,
    next_number: u64,
    applied: u64,
    /// Bytes of entries applied since the last snapshot.
    since_snapshot: usize,
    snapshot_after: usize,
    stop: bool,
}

/// Starts a replica on its data folder. `send` hands a message over for delivery and must not
/// block; a message may be lost.
///
/// The thread ends when [`Handle::stop`] is called, when all handles are gone, or with the error
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
/// let machine = replica::Machine {
///     state: 0_u64,
///     apply: |sum, _, command| {
///         *sum += command.len() as u64;
///         sum.to_string().into_bytes()
///     },
///     snapshot: |sum| anvilbeam::wire::encode(sum),
///     restore: |buf| anvilbeam::wire::decode(buf),
/// };
/// let options = replica::Options::new("a", address, folder.path().to_owned());
/// let (handle, thread) = replica::start(options, machine, |_, _| ()).unwrap();
/// handle.leads().await.unwrap();
/// assert_eq!(handle.propose(b"abc".to_vec()).await.unwrap(), b"3");
/// assert_eq!(handle.read(|sum| *sum).await.unwrap(), 3);
/// handle.stop();
/// thread.join().unwrap().unwrap();
/// # });
/// ```
///
/// # Errors
/// [`Error::File`] or [`Error::Corrupt`] from the data folder, or the error of `restore`.
pub fn start<S, F>(
    options: Options,
    mut machine: Machine<S>,
    send: F,
) -> Result<(Handle<S>, thread::JoinHandle<Result<()>>)>
where
    S: Send + 'static,
    F: Fn(&Member, Message) + Send + 'static,
{
    let (wal, recovered) = Wal::open(&options.folder, options.wal, new_id())?;
    let snapshot = recovered.stored.snapshot.as_ref();
    let applied = snapshot.map_or(0, |snapshot| snapshot.at.index);
    if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.at.index > 0) {
        machine.state = (machine.restore)(&snapshot.data)?;
    }
    let me = Member {
        id: recovered.id,
        name: options.name,
        address: options.address,
        role: MemberRole::Voter,
    };
    let now = Instant::now();
    let raft = Raft::new(options.raft, me, recovered.stored, now, rand::random());
    let status = watch::Sender::new(status_of(&raft, applied, wal.bytes()));
    let (handle, requests) = Handle::new(recovered.id, status.subscribe());
    let replica = Replica {
        raft,
        wal,
        machine,
        send,
        requests,
        status,
        waiting: IndexMap::new(),
        next_number: 0,
        applied,
        since_snapshot: 0,
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

/// Identity of a data folder, which is created if it is missing. The replica must not be running.
///
/// # Errors
/// [`Error::File`] or [`Error::Corrupt`].
pub fn identity(folder: &std::path::Path) -> Result<ReplicaId> {
    let (wal, _) = Wal::open(folder, wal::Options::default(), new_id())?;
    Ok(wal.id())
}

fn new_id() -> ReplicaId {
    ReplicaId(rand::random::<u64>().max(1))
}

fn status_of(raft: &Raft, applied_index: u64, bytes: u64) -> Status {
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
            log::error!("replica {} stops: {e}", self.wal.id());
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
                Ok(request) => self.take_batch(request),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            // The batch comes first: a heartbeat that waited during a slow sync counts.
            let now = Instant::now();
            if self.raft.deadline() <= now {
                self.raft.step(Event::Tick, now, rand::random());
            }
            let effects = self.raft.flush(now);
            self.carry_out(effects)?;
            self.compact(now)?;
            self.publish();
        }
        Ok(())
    }

    fn take_batch(&mut self, first: Request<S>) {
        self.take(first);
        for _ in 1..BATCH_EVENTS {
            match self.requests.try_recv() {
                Ok(request) => self.take(request),
                Err(_) => return,
            }
        }
    }

    fn take(&mut self, request: Request<S>) {
        let number = self.next_number;
        self.next_number += 1;
        let event = match request {
            Request::Message(message, permit) => {
                drop(permit);
                Event::Message(message)
            }
            Request::Propose(command, answer, permit) => {
                let waiting = Waiting::Answer(answer, Some(permit));
                self.waiting.insert(number, waiting);
                Event::Propose(number, command)
            }
            Request::Read(run, permit) => {
                self.waiting.insert(number, Waiting::Read(run, permit));
                Event::Read(number)
            }
            Request::Change(change, answer) => {
                self.waiting.insert(number, Waiting::Answer(answer, None));
                Event::Change(number, change)
            }
            Request::Transfer(to, answer) => {
                self.waiting.insert(number, Waiting::Answer(answer, None));
                Event::Transfer(number, to)
            }
            Request::Local(run, permit) => {
                run(&self.machine.state);
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

    /// Carries out the effects of a batch in their order.
    fn carry_out(&mut self, effects: Effects) -> Result<()> {
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
            self.machine.state = (self.machine.restore)(&snapshot.data)?;
            self.applied = snapshot.at.index;
            self.since_snapshot = 0;
        }
        for (entry, number) in effects.apply {
            self.apply(&entry, number);
        }
        for (number, answer) in effects.answers {
            if let Some(waiting) = self.waiting.swap_remove(&number) {
                waiting.answer(answer, &self.machine.state);
            }
        }
        Ok(())
    }

    fn apply(&mut self, entry: &Entry, number: Option<u64>) {
        let out = match &entry.payload {
            Payload::Command(command) => {
                (self.machine.apply)(&mut self.machine.state, entry.at.index, command)
            }
            Payload::Empty | Payload::Members(_) => Vec::new(),
        };
        self.applied = entry.at.index;
        self.since_snapshot += entry.size();
        let waiting = number.and_then(|number| self.waiting.swap_remove(&number));
        if let Some(Waiting::Answer(answer, permit)) = waiting {
            drop(permit);
            // The proposer may have gone away.
            let _gone = answer.send(Ok(out));
        }
    }

    /// Replaces the applied part of the log by a snapshot once it is large enough.
    fn compact(&mut self, now: Instant) -> Result<()> {
        if self.since_snapshot < self.snapshot_after || self.raft.is_sending_snapshot(now) {
            return Ok(());
        }
        self.since_snapshot = 0;
        let Some(record) = self.raft.snapshot_at(self.applied) else {
            return Ok(());
        };
        let data = (self.machine.snapshot)(&self.machine.state)?;
        if data.len() as u64 > MAX_SNAPSHOT {
            log::error!("snapshot of {} bytes exceeds {MAX_SNAPSHOT}", data.len());
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
            .step(Event::Compacted(snapshot), now, rand::random());
        Ok(())
    }

    fn publish(&self) {
        let new = status_of(&self.raft, self.applied, self.wal.bytes());
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

impl<S> Waiting<S> {
    fn answer(self, answer: Answer, state: &S) {
        match self {
            Self::Read(run, permit) => {
                drop(permit);
                run(ProposeError::of(answer).map(|()| state));
            }
            Self::Answer(to, permit) => {
                drop(permit);
                // The proposer may have gone away.
                let _gone = to.send(ProposeError::of(answer).map(|()| Vec::new()));
            }
        }
    }
}
