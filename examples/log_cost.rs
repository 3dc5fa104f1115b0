//! Measures the cost of the replicated log: latency and throughput of proposals to three replicas
//! in one process, each with its own data folder.
//!
//! Run with `cargo run --release --example log_cost [FOLDER]`; the folder must be on the disk to
//! measure, and is removed at the end. The default is `log-cost.tmp` in the current folder.

use {
    anvilbeam::{
        error::Result,
        raft::{Member, MemberRole, Message, ReplicaId, Role},
        replica::{self, Handle, Options, StateMachine},
        wal, wire,
    },
    hdrhistogram::Histogram,
    std::{
        collections::HashMap,
        net::SocketAddr,
        path::{Path, PathBuf},
        sync::{Arc, Mutex, PoisonError},
        thread::JoinHandle,
        time::{Duration, Instant},
    },
};

/// Size of one command in bytes, about that of an idempotency key with a short answer.
const COMMAND_BYTES: usize = 200;
/// Measured time per row of the table.
const MEASURED_TIME: Duration = Duration::from_secs(4);
/// Duration of the load before each measurement.
const WARM_UP: Duration = Duration::from_millis(500);
/// Number of concurrent proposers, by row of the table.
const CONCURRENCY_LEVELS: [usize; 3] = [1, 16, 256];
const REPLICAS: usize = 3;

/// Bytes of commands applied so far.
type State = u64;
type Replicas = Vec<(Handle<State>, JoinHandle<Result<()>>)>;

fn main() -> Result<()> {
    let folder = std::env::args()
        .nth(1)
        .map_or_else(|| PathBuf::from("log-cost.tmp"), PathBuf::from);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    let replicas = start(&folder)?;
    runtime.block_on(measure(&replicas));
    for (handle, thread) in replicas {
        handle.stop();
        thread.join().expect("the replica does not panic")?;
    }
    if let Err(e) = std::fs::remove_dir_all(&folder) {
        eprintln!("cannot remove {}: {e}", folder.display());
    }
    Ok(())
}

fn start(root: &Path) -> Result<Replicas> {
    let folders: Vec<_> = (0..REPLICAS).map(|i| root.join(i.to_string())).collect();
    let address = |i: usize| SocketAddr::from(([127, 0, 0, 1], i as u16 + 1));
    let mut voters = Vec::new();
    for (i, folder) in folders.iter().enumerate() {
        voters.push(Member {
            id: replica::identity(folder)?,
            name: i.to_string(),
            address: address(i),
            role: MemberRole::Voter,
        });
    }
    let handles: Arc<Mutex<HashMap<ReplicaId, Handle<State>>>> = Arc::default();
    let mut replicas = Replicas::new();
    for (i, folder) in folders.into_iter().enumerate() {
        wal::bootstrap(&folder, &voters)?;
        let peers = Arc::clone(&handles);
        let send = move |to: &Member, message: Message| {
            let peers = peers.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(peer) = peers.get(&to.id) {
                peer.deliver(message.from.id, message);
            }
        };
        let machine = StateMachine {
            state: 0,
            apply: |bytes, _, command| {
                *bytes += command.len() as u64;
                Vec::new()
            },
            snapshot: wire::encode,
            restore: wire::decode,
        };
        let options = Options::new(&i.to_string(), address(i), folder);
        let (handle, thread) = replica::start(options, machine, send)?;
        let mut map = handles.lock().unwrap_or_else(PoisonError::into_inner);
        map.insert(handle.id(), handle.clone());
        replicas.push((handle, thread));
    }
    Ok(replicas)
}

async fn measure(replicas: &Replicas) {
    println!("concurrent  proposals/s  p50 ms  p99 ms  p99.9 ms  max ms  failed");
    for concurrency in CONCURRENCY_LEVELS {
        let leader = leader(replicas).await;
        let start = Instant::now() + WARM_UP;
        let end = start + MEASURED_TIME;
        let tasks: Vec<_> = (0..concurrency)
            .map(|_| tokio::spawn(propose(leader.clone(), start, end)))
            .collect();
        let mut latencies = histogram();
        let mut failed = 0;
        for task in tasks {
            let (part, failures) = task.await.expect("the task does not panic");
            latencies
                .add(part)
                .expect("the histograms have the same bounds");
            failed += failures;
        }
        let ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1000.0;
        println!(
            "{concurrency:>10}  {:>11.0}  {:>6.2}  {:>6.2}  {:>8.2}  {:>6.2}  {failed:>6}",
            latencies.len() as f64 / MEASURED_TIME.as_secs_f64(),
            ms(0.5),
            ms(0.99),
            ms(0.999),
            latencies.max() as f64 / 1000.0,
        );
    }
}

/// Waits for a leader and returns its handle.
async fn leader(replicas: &Replicas) -> Handle<State> {
    loop {
        let is_leader = |handle: &Handle<State>| handle.status().role == Role::Leader;
        if let Some((handle, _)) = replicas.iter().find(|(handle, _)| is_leader(handle)) {
            return handle.clone();
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns a histogram of latencies in microseconds, up to one minute.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(60_000_000, 3).expect("the bounds are in order")
}

/// Proposes one command after the other until `end`. Returns the latencies in microseconds, and the
/// number of failures, of the proposals that end between `start` and `end`.
async fn propose(leader: Handle<State>, start: Instant, end: Instant) -> (Histogram<u64>, u64) {
    let mut latencies = histogram();
    let mut failed = 0;
    loop {
        let sent = Instant::now();
        let answer = leader.propose(vec![7; COMMAND_BYTES]).await;
        let now = Instant::now();
        if now >= end {
            return (latencies, failed);
        }
        if now < start {
            continue;
        }
        match answer {
            Ok(_) => latencies.saturating_record((now - sent).as_micros() as u64),
            Err(_) => failed += 1,
        }
    }
}
