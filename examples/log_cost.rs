//! Measures what the replicated log costs: latency and throughput of proposals to three replicas
//! in one process, each with its own data folder.
//!
//! Run with `cargo run --release --example log_cost [FOLDER]`; the folder must be on the disk that
//! is to be measured. Without it a new folder in the current one is used and removed.

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

/// Bytes of one command; about an idempotency key with a short answer.
const COMMAND_BYTES: usize = 200;
/// Time for each row of the table.
const MEASURE: Duration = Duration::from_secs(4);
/// Time before each measurement.
const WARM_UP: Duration = Duration::from_millis(500);
const CONCURRENT: [usize; 3] = [1, 16, 256];
const REPLICAS: usize = 3;

/// Bytes applied so far.
type State = u64;
type Running = Vec<(Handle<State>, JoinHandle<Result<()>>)>;

fn main() -> Result<()> {
    let folder = std::env::args()
        .nth(1)
        .map_or_else(|| PathBuf::from("log-cost.tmp"), PathBuf::from);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    let running = start(&folder)?;
    runtime.block_on(measure(&running));
    for (handle, thread) in running {
        handle.stop();
        thread.join().expect("the replica does not panic")?;
    }
    if let Err(e) = std::fs::remove_dir_all(&folder) {
        eprintln!("remove {}: {e}", folder.display());
    }
    Ok(())
}

fn start(root: &Path) -> Result<Running> {
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
    let mut running = Running::new();
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
        running.push((handle, thread));
    }
    Ok(running)
}

async fn measure(running: &Running) {
    println!("concurrent  proposals/s  p50 ms  p99 ms  p99.9 ms  max ms  failed");
    for concurrent in CONCURRENT {
        let leader = leader(running).await;
        let start = Instant::now() + WARM_UP;
        let end = start + MEASURE;
        let tasks: Vec<_> = (0..concurrent)
            .map(|_| tokio::spawn(propose(leader.clone(), start, end)))
            .collect();
        let mut micros = histogram();
        let mut failed = 0;
        for task in tasks {
            let (part, failures) = task.await.expect("the task does not panic");
            micros.add(part).expect("the histograms are alike");
            failed += failures;
        }
        let ms = |quantile| micros.value_at_quantile(quantile) as f64 / 1000.0;
        println!(
            "{concurrent:>10}  {:>11.0}  {:>6.2}  {:>6.2}  {:>8.2}  {:>6.2}  {failed:>6}",
            micros.len() as f64 / MEASURE.as_secs_f64(),
            ms(0.5),
            ms(0.99),
            ms(0.999),
            micros.max() as f64 / 1000.0,
        );
    }
}

async fn leader(running: &Running) -> Handle<State> {
    loop {
        let leads = |handle: &Handle<State>| handle.status().role == Role::Leader;
        if let Some((handle, _)) = running.iter().find(|(handle, _)| leads(handle)) {
            return handle.clone();
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Microseconds up to a minute.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(60_000_000, 3).expect("the bounds are in order")
}

/// Proposes one command after the other; records those that end between `start` and `end`.
async fn propose(leader: Handle<State>, start: Instant, end: Instant) -> (Histogram<u64>, u64) {
    let mut micros = histogram();
    let mut failed = 0;
    loop {
        let sent = Instant::now();
        let answer = leader.propose(vec![7; COMMAND_BYTES]).await;
        let now = Instant::now();
        if now >= end {
            return (micros, failed);
        }
        if now < start {
            continue;
        }
        match answer {
            Ok(_) => micros.saturating_record((now - sent).as_micros() as u64),
            Err(_) => failed += 1,
        }
    }
}
