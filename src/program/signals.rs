//! Signals of a program, and the end of the process when its grace time is nearly over.
//!
//! A thread of its own receives the signals, so that a shutdown also begins and ends in time while
//! the thread of the program is busy or blocked, for example by a disk or by a log that nobody reads.

use {
    super::{invalid, runtime},
    crate::{error::Result, events::Event, log_event, shutdown::exit_deadline},
    std::{
        future::pending,
        process,
        sync::mpsc,
        thread,
        time::{Duration, Instant},
    },
    tokio::{
        signal::unix::{Signal, SignalKind, signal},
        sync::watch,
        time::sleep_until,
    },
};

/// Longest time for which the exit waits until its event has been written.
const LOG_TIMEOUT: Duration = Duration::from_millis(100);

/// Signals that a process has received.
#[derive(Clone, Copy, Debug, Default)]
struct Received {
    /// Time of the first signal that requests a shutdown.
    stopped_at: Option<Instant>,
    /// Number of signals that request a shutdown.
    stops: u64,
    /// Number of signals to read the settings again.
    reloads: u64,
}

/// The signals for a graceful shutdown and for reading the settings again.
#[derive(Debug)]
pub(super) struct Signals {
    received: watch::Receiver<Received>,
    /// Number of signals to read the settings again that have been returned.
    reloaded: u64,
}

impl Signals {
    /// Starts the thread that receives the signals. With `grace`, it ends the process a little before
    /// that time has passed since the first signal that requests a shutdown.
    pub(super) fn start(grace: Option<Duration>) -> Result<Self> {
        let (tx, received) = watch::channel(Received::default());
        let runtime = runtime()?;
        let handlers = {
            let _context = runtime.enter();
            Handlers::new()?
        };
        thread::Builder::new()
            .name("signals".to_owned())
            .spawn(move || runtime.block_on(handlers.run(grace, &tx)))
            .map_err(|e| invalid("signals", &e.to_string()))?;
        Ok(Self {
            received,
            reloaded: 0,
        })
    }

    /// Returns the time of the first signal that requested a shutdown; `None` if there was none.
    pub(super) fn stopped_at(&self) -> Option<Instant> {
        self.received.borrow().stopped_at
    }

    /// Waits for the next signal; returns its time if it requests a shutdown, `None` if the settings
    /// are to be read again.
    pub(super) async fn next(&mut self) -> Option<Instant> {
        let reloaded = self.reloaded;
        let received = self
            .wait_for(|received| received.stops > 0 || received.reloads > reloaded)
            .await;
        self.reloaded = received.reloads;
        received.stopped_at
    }

    /// Waits for the first signal that requests a shutdown; returns its time.
    pub(super) async fn stop(&mut self) -> Instant {
        let received = self.wait_for(|received| received.stops > 0).await;
        received.stopped_at.unwrap_or_else(Instant::now)
    }

    /// Waits for the second signal that requests a shutdown.
    pub(super) async fn second_stop(&mut self) {
        self.wait_for(|received| received.stops > 1).await;
    }

    async fn wait_for(&mut self, condition: impl FnMut(&Received) -> bool) -> Received {
        match self.received.wait_for(condition).await {
            Ok(received) => *received,
            // The thread that sends runs as long as the process.
            Err(_closed) => pending().await,
        }
    }
}

/// Receivers of the signals in their own runtime.
struct Handlers {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Handlers {
    fn new() -> Result<Self> {
        let listen_for = |kind| signal(kind).map_err(|e| invalid("signal", &e.to_string()));
        Ok(Self {
            terminate: listen_for(SignalKind::terminate())?,
            interrupt: listen_for(SignalKind::interrupt())?,
            hangup: listen_for(SignalKind::hangup())?,
        })
    }

    async fn run(mut self, grace: Option<Duration>, tx: &watch::Sender<Received>) {
        let mut exit_at = None;
        loop {
            let is_stop = tokio::select! {
                _ = self.terminate.recv() => true,
                _ = self.interrupt.recv() => true,
                _ = self.hangup.recv() => false,
                () = reached(exit_at) => exit(),
            };
            let now = Instant::now();
            tx.send_modify(|received| {
                if is_stop {
                    received.stops += 1;
                    received.stopped_at.get_or_insert(now);
                } else {
                    received.reloads += 1;
                }
            });
            let stopped_at = tx.borrow().stopped_at;
            exit_at = stopped_at.and_then(|at| Some(exit_deadline(at, grace?)));
        }
    }
}

async fn reached(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time.into()).await,
        None => pending().await,
    }
}

/// Ends the process, which was asked to. The event is written by another thread, since a log that
/// nobody reads may block it.
fn exit() -> ! {
    let (written_tx, written) = mpsc::channel();
    let writer = thread::Builder::new().spawn(move || {
        log_event!(Event::StopCut, reason = "the grace time is nearly over");
        // The process may exit first.
        let _exits = written_tx.send(());
    });
    if writer.is_ok() {
        // After the timeout the event is lost.
        let _lost = written.recv_timeout(LOG_TIMEOUT);
    }
    process::exit(0);
}
