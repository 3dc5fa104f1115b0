//! Process of the fleet, simulated by a thread with a runtime of its own.

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

/// Running process. Dropping it stops it without a graceful shutdown, like a crash.
#[derive(Debug)]
pub struct Node<T> {
    /// Value that `start` returned, through which the process is observed.
    pub inner: T,
    schedstat_path: PathBuf,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl<T: Send + 'static> Node<T> {
    /// Starts a thread with a runtime and runs `start` on it; returns once it has completed.
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
                let started = start().await.map(|inner| (inner, schedstat_path()));
                if tx.send(started).is_ok() {
                    drop(stopped.await);
                }
            });
        };
        let thread = thread::Builder::new().name(name.to_owned()).spawn(body)?;
        let (inner, schedstat_path) = rx.recv()??;
        Ok(Self {
            inner,
            schedstat_path,
            stop: Some(stop),
            thread: Some(thread),
        })
    }
}

impl<T> Node<T> {
    /// Returns the processor time of the thread so far.
    pub fn cpu(&self) -> Duration {
        read_cpu_time(&self.schedstat_path)
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

fn schedstat_path() -> PathBuf {
    let this = fs::read_link("/proc/thread-self").unwrap_or_default();
    PathBuf::from("/proc").join(this).join("schedstat")
}

/// Reads the first field of a `schedstat` file: the nanoseconds spent on a processor.
fn read_cpu_time(path: &std::path::Path) -> Duration {
    let text = fs::read_to_string(path).unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|nanos| nanos.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}

/// Returns the processor time of all threads of this process with `name`.
pub fn cpu_of_threads(name: &str) -> Duration {
    let Ok(threads) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    threads
        .flatten()
        .map(|entry| entry.path())
        .filter(|path| fs::read_to_string(path.join("comm")).is_ok_and(|comm| comm.trim() == name))
        .map(|path| read_cpu_time(&path.join("schedstat")))
        .sum()
}

/// Returns the resident memory of this process in bytes.
pub fn resident_bytes() -> f64 {
    const PAGE: f64 = 4_096.0;
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0.0) * PAGE
}
