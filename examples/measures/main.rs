//! Measures convergence, control bytes and restarts of a whole fleet.
//!
//! Run with `cargo run --release --example measures [DAEMONS ...]`; it ends within two minutes for
//! the default sizes. The last table is that of the example `policy`: service by rank with and
//! without floods. Added latency is measured by the example `added_latency`.

mod fleet;
mod node;
mod proxy;
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

/// Daemons of each fleet that is measured by default.
const FLEET_SIZES: [usize; 3] = [8, 40, 120];
/// Edits per fleet.
const EDITS: u64 = 25;
/// Increment of the pause between edits, so that they fall on all phases of the heartbeats.
const PAUSE_STEP: Duration = Duration::from_millis(37);
/// Shortest pause between edits.
const MIN_PAUSE: Duration = Duration::from_millis(120);
/// Interval at which the versions in force are polled.
const POLL_INTERVAL: Duration = Duration::from_micros(500);
/// Maximum wait until an edit is in force at all daemons.
const EDIT_TIMEOUT: Duration = Duration::from_secs(20);

fn main() -> Result<(), BoxError> {
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .map(|size| size.parse())
        .collect::<Result<_, _>>()?;
    let sizes = if sizes.is_empty() {
        FLEET_SIZES.to_vec()
    } else {
        sizes
    };
    // The proxies and the announcing servers run apart from the daemons, whose processor time is
    // measured.
    let proxy_runtime = Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()?;
    let main_runtime = Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()?;
    print_setup();
    for daemons in sizes {
        main_runtime.block_on(measure(daemons, proxy_runtime.handle()))?;
    }
    // Stops the remaining tasks without waiting for connections to close.
    proxy_runtime.shutdown_background();
    main_runtime.shutdown_background();
    println!("\nservice by rank, virtual time");
    table::print();
    Ok(())
}

fn print_setup() {
    println!(
        "1 control replica, 2 regions, 4 data centres, {} plans and grants; one edit changes one grant.\n\
         All processes are threads of this one, on loopback: the network takes no time, the threads\n\
         share {} processors, and a stalled thread shows as latency. Versions in force are read each\n\
         {} us. Bytes are TCP payload with HTTP/2 framing and pings, counted by proxies; TCP and\n\
         IP headers come on top.",
        fleet::GRANTS,
        thread::available_parallelism().map_or(0, usize::from),
        POLL_INTERVAL.as_micros(),
    );
}

async fn measure(daemons: usize, proxy_runtime: &Handle) -> Result<(), BoxError> {
    let memory_before = node::resident_bytes();
    let start = Instant::now();
    let mut fleet = Fleet::start(daemons, proxy_runtime).await?;
    println!(
        "\n== {daemons} daemons: all current {:.2} s after the start, {:.2} MB resident each",
        start.elapsed().as_secs_f64(),
        (node::resident_bytes() - memory_before) / 1e6 / daemons as f64,
    );
    // Waits until the first endpoint sets have reached all daemons.
    sleep(Duration::from_secs(4)).await;
    let rates = steady::measure(&fleet).await;
    let counters_before = steady::FleetCounters::of(&fleet);
    let latencies = measure_edits(&mut fleet).await?;
    latencies.print();
    steady::print_edits(&fleet, &counters_before, &rates, EDITS);
    restart::measure(&mut fleet, &rates).await
}

/// Latencies of all edits in microseconds.
struct EditLatencies {
    accepted: Histogram<u64>,
    in_force: Histogram<u64>,
    /// Daemons at which an edit was not in force within [`EDIT_TIMEOUT`], over all edits.
    timed_out: u64,
}

impl EditLatencies {
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
        if self.timed_out > 0 {
            println!("not in force within {EDIT_TIMEOUT:?}: {}", self.timed_out);
        }
    }
}

async fn measure_edits(fleet: &mut Fleet) -> Result<EditLatencies, BoxError> {
    let mut latencies = EditLatencies {
        accepted: Histogram::new(3)?,
        in_force: Histogram::new(3)?,
        timed_out: 0,
    };
    for edit in 0..EDITS {
        sleep(MIN_PAUSE + PAUSE_STEP * (edit as u32 % 8)).await;
        let start = Instant::now();
        let daemons = fleet.daemons();
        let target = anvilbeam::model::Version(fleet.version().0 + 1);
        let watch_task = tokio::task::spawn_blocking(move || await_all(&daemons, target, start));
        fleet.edit().await?;
        latencies
            .accepted
            .record(start.elapsed().as_micros() as u64)?;
        let times = watch_task.await?;
        latencies.timed_out += (fleet.members.len() - times.len()) as u64;
        for time in times {
            latencies.in_force.record(time.as_micros() as u64)?;
        }
    }
    Ok(latencies)
}

/// Waits until `target` is in force at all daemons, at most until [`EDIT_TIMEOUT`] after `start`.
/// Returns the time after `start` of each daemon that has it in force.
fn await_all(
    daemons: &[Arc<anvilbeam::daemon::Daemon>],
    target: anvilbeam::model::Version,
    start: Instant,
) -> Vec<Duration> {
    let mut times = Vec::new();
    let mut lagging: Vec<_> = daemons.iter().collect();
    while !lagging.is_empty() && start.elapsed() < EDIT_TIMEOUT {
        lagging.retain(|daemon| {
            let current = daemon.in_force() >= Some(target);
            if current {
                times.push(start.elapsed());
            }
            !current
        });
        thread::sleep(POLL_INTERVAL);
    }
    times
}
