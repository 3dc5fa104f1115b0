//! Measures convergence, control bytes and restarts of a whole fleet.
//!
//! Run with `cargo run --release --example measures [DAEMONS ...]`; it ends by itself within two
//! minutes for the default sizes. The last table is service by rank with and without floods, as
//! the example `policy` prints it. Added latency is measured by the example `added_latency`.

mod fleet;
mod node;
mod pipe;
mod restart;
#[path = "../policy/server.rs"]
mod server;
#[path = "../policy/sim.rs"]
mod sim;
mod steady;
#[path = "../policy/table.rs"]
mod table;

use {
    self::fleet::Fleet,
    anvilbeam::body::BoxError,
    hdrhistogram::Histogram,
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    tokio::{
        runtime::{Builder, Handle},
        time::sleep,
    },
};

const FLEETS: [usize; 3] = [8, 40, 120];
/// Edits of one measurement.
const EDITS: u64 = 25;
/// Pauses between two edits grow by this, so that they fall on all phases of the heartbeats.
const PAUSE_STEP: Duration = Duration::from_millis(37);
const SHORTEST_PAUSE: Duration = Duration::from_millis(120);
/// Interval at which the versions in force are read.
const POLL: Duration = Duration::from_micros(500);
/// Longest wait for one edit.
const LONGEST: Duration = Duration::from_secs(20);

fn main() -> Result<(), BoxError> {
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .map(|size| size.parse())
        .collect::<Result<_, _>>()?;
    let sizes = if sizes.is_empty() {
        FLEETS.to_vec()
    } else {
        sizes
    };
    // The forwarders and the announcing servers are no part of what is measured.
    let pipes = Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()?;
    let outer = Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()?;
    explain();
    for daemons in sizes {
        outer.block_on(measure(daemons, pipes.handle()))?;
    }
    // Closes what is left without waiting for connections.
    pipes.shutdown_background();
    outer.shutdown_background();
    println!("\nservice by rank, virtual time");
    table::print();
    Ok(())
}

fn explain() {
    println!(
        "1 control replica, 2 regions, 4 data centres, {} plans and grants; one edit changes one grant.\n\
         All processes are threads of this one, on loopback: the network takes no time, the threads\n\
         share {} processors, and a stalled thread shows as latency. Versions in force are read each\n\
         {} us. Bytes are TCP payload with HTTP/2 framing and pings, counted by forwarders; TCP and\n\
         IP headers come on top.",
        fleet::GRANTS,
        thread::available_parallelism().map_or(0, usize::from),
        POLL.as_micros(),
    );
}

async fn measure(daemons: usize, pipes: &Handle) -> Result<(), BoxError> {
    let before = node::resident();
    let start = Instant::now();
    let mut fleet = Fleet::start(daemons, pipes).await?;
    println!(
        "\n== {daemons} daemons: all current {:.2} s after the start, {:.2} MB resident each",
        start.elapsed().as_secs_f64(),
        (node::resident() - before) / 1e6 / daemons as f64,
    );
    // The first endpoint sets have spread by then.
    sleep(Duration::from_secs(4)).await;
    let rates = steady::measure(&fleet).await;
    let mark = steady::Mark::of(&fleet);
    let edited = edits(&mut fleet).await?;
    edited.print();
    steady::print_edits(&fleet, &mark, &rates, EDITS);
    restart::measure(&mut fleet, &rates).await
}

/// Times of all edits in microseconds.
struct Edited {
    accepted: Histogram<u64>,
    in_force: Histogram<u64>,
    late: u64,
}

impl Edited {
    fn print(&self) {
        let row = |what: &str, times: &Histogram<u64>| {
            let ms = |quantile| times.value_at_quantile(quantile) as f64 / 1e3;
            println!(
                "{what:<44} p50 {:>8.1}  p99 {:>8.1}  max {:>8.1} ms  of {}",
                ms(0.5),
                ms(0.99),
                times.max() as f64 / 1e3,
                times.len(),
            );
        };
        row("request to answer of the operators' port", &self.accepted);
        row("request to in force at each daemon", &self.in_force);
        if self.late > 0 {
            println!("not in force within {LONGEST:?}: {}", self.late);
        }
    }
}

async fn edits(fleet: &mut Fleet) -> Result<Edited, BoxError> {
    let mut edited = Edited {
        accepted: Histogram::new(3)?,
        in_force: Histogram::new(3)?,
        late: 0,
    };
    for edit in 0..EDITS {
        sleep(SHORTEST_PAUSE + PAUSE_STEP * (edit as u32 % 8)).await;
        let start = Instant::now();
        let daemons = fleet.daemons();
        let target = anvilbeam::model::Version(fleet.version().0 + 1);
        let watching = tokio::task::spawn_blocking(move || watch(&daemons, target, start));
        fleet.edit().await?;
        edited.accepted.record(start.elapsed().as_micros() as u64)?;
        let times = watching.await?;
        edited.late += (fleet.members.len() - times.len()) as u64;
        for time in times {
            edited.in_force.record(time.as_micros() as u64)?;
        }
    }
    Ok(edited)
}

/// Times from `start` until `target` is in force at each daemon.
fn watch(
    daemons: &[Arc<anvilbeam::daemon::Daemon>],
    target: anvilbeam::model::Version,
    start: Instant,
) -> Vec<Duration> {
    let mut times = Vec::new();
    let mut behind: Vec<_> = daemons.iter().collect();
    while !behind.is_empty() && start.elapsed() < LONGEST {
        behind.retain(|daemon| {
            let current = daemon.in_force() >= Some(target);
            if current {
                times.push(start.elapsed());
            }
            !current
        });
        thread::sleep(POLL);
    }
    times
}
