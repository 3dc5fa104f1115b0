//! One process of the fleet, on a thread and a runtime of its own.

use {
    anvilbeam::body::BoxError,
    std::{
        fs,
        path::PathBuf,
        sync::mpsc,
        thread::{self, JoinHandle},
        time::Duration,
    },
    tokio::{runtime::Builder, sync::oneshot},
};

/// A process that runs until it is dropped, which ends it without any notice, like a crash.
#[derive(Debug)]
pub struct Node<T> {
    /// What the process gives access to.
    pub inner: T,
    schedstat: PathBuf,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl<T: Send + 'static> Node<T> {
    /// Starts a thread with a runtime and runs `start` on it.
    pub fn start<F>(
        name: &str,
        start: impl FnOnce() -> F + Send + 'static,
    ) -> Result<Self, BoxError>
    where
        F: Future<Output = Result<T, BoxError>>,
    {
        let (tx, rx) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let body = move || {
            let runtime = match Builder::new_current_thread().enable_all().build() {
                Ok(runtime) => runtime,
                Err(e) => return drop(tx.send(Err(e.into()))),
            };
            // Dropping the runtime after this closes all sockets at once.
            runtime.block_on(async move {
                let started = start().await.map(|inner| (inner, schedstat()));
                if tx.send(started).is_ok() {
                    drop(stopped.await);
                }
            });
        };
        let thread = thread::Builder::new().name(name.to_owned()).spawn(body)?;
        let (inner, schedstat) = rx.recv()??;
        Ok(Self {
            inner,
            schedstat,
            stop: Some(stop),
            thread: Some(thread),
        })
    }
}

impl<T> Node<T> {
    /// Processor time of the thread so far.
    pub fn cpu(&self) -> Duration {
        cpu_of(&self.schedstat)
    }
}

impl<T> Drop for Node<T> {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            eprintln!("a thread of the fleet panicked");
        }
    }
}

fn schedstat() -> PathBuf {
    let this = fs::read_link("/proc/thread-self").unwrap_or_default();
    PathBuf::from("/proc").join(this).join("schedstat")
}

/// First field of a `schedstat` file: nanoseconds on a processor.
fn cpu_of(path: &std::path::Path) -> Duration {
    let text = fs::read_to_string(path).unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|nanos| nanos.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}

/// Processor time of all threads of this process with `name`.
pub fn cpu_of_threads(name: &str) -> Duration {
    let Ok(threads) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    threads
        .flatten()
        .map(|entry| entry.path())
        .filter(|path| fs::read_to_string(path.join("comm")).is_ok_and(|comm| comm.trim() == name))
        .map(|path| cpu_of(&path.join("schedstat")))
        .sum()
}

/// Resident memory of this process in bytes.
pub fn resident() -> f64 {
    const PAGE: f64 = 4_096.0;
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0.0) * PAGE
}
