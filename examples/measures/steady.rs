//! Bytes and processor time by role, in steady state and per edit.

use {
    super::{fleet::Fleet, node, proxy::Bytes},
    anvilbeam::{
        metrics::{Direction, Link},
        relays::Role,
    },
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Duration of the steady-state measurement.
const STEADY: Duration = Duration::from_secs(6);
/// Names of the levels of the tree, from the top.
const LEVELS: [&str; 3] = ["region relay", "data centre relay", "leaf"];

/// Counters of one daemon.
#[derive(Clone, Copy, Debug, Default)]
struct DaemonCounters {
    /// Index in [`LEVELS`].
    level: usize,
    parent_in: u64,
    parent_out: u64,
    children: Bytes,
    cpu: Duration,
}

/// Counters of the fleet at one instant.
#[derive(Debug)]
pub struct FleetCounters {
    at: Instant,
    daemons: Vec<DaemonCounters>,
    /// Between control and the daemons of each region.
    control_bytes: Vec<Bytes>,
    control_cpu: Duration,
}

/// Rates between two readings; bytes are per second.
#[derive(Debug)]
pub struct Rates {
    /// Received and sent by control.
    pub control: [f64; 2],
    /// Fraction of one processor that control uses.
    pub control_cpu: f64,
    /// Whole tree, both directions.
    total: f64,
    /// Between the regions, both directions.
    cross_region: f64,
}

impl FleetCounters {
    /// Reads the counters of `fleet`.
    pub fn of(fleet: &Fleet) -> Self {
        let daemons = fleet.members.iter().map(|member| {
            let daemon = &member.node.inner;
            DaemonCounters {
                level: match daemon.role() {
                    Role::RegionRelay { .. } => 0,
                    Role::DataCentreRelay { .. } => 1,
                    Role::Leaf => 2,
                },
                parent_in: daemon
                    .metrics()
                    .control_bytes_total(Link::Parent, Direction::In),
                parent_out: daemon
                    .metrics()
                    .control_bytes_total(Link::Parent, Direction::Out),
                children: member.children.bytes(),
                cpu: member.node.cpu(),
            }
        });
        Self {
            at: Instant::now(),
            daemons: daemons.collect(),
            control_bytes: (0..fleet.control_proxies.len())
                .map(|region| fleet.control_bytes(region))
                .collect(),
            control_cpu: fleet.control.cpu() + node::cpu_of_threads("replica"),
        }
    }

    fn total(&self) -> u64 {
        let daemons = self.daemons.iter().map(|daemon| daemon.children.total());
        daemons.sum::<u64>()
            + self
                .control_bytes
                .iter()
                .map(|bytes| bytes.total())
                .sum::<u64>()
    }

    /// Returns the rates since `since`. The total is meaningless if daemons restarted in between.
    pub fn rates(&self, since: &Self) -> Rates {
        let seconds = (self.at - since.at).as_secs_f64();
        let control = self
            .control_bytes
            .iter()
            .zip(&since.control_bytes)
            .map(|(now, before)| now.since(*before));
        let control = control.fold(Bytes::default(), |sum, part| Bytes {
            up: sum.up + part.up,
            down: sum.down + part.down,
        });
        let cross_region = self.control_bytes[1].since(since.control_bytes[1]).total();
        Rates {
            control: [control.up as f64 / seconds, control.down as f64 / seconds],
            control_cpu: self
                .control_cpu
                .saturating_sub(since.control_cpu)
                .as_secs_f64()
                / seconds,
            total: (self.total().saturating_sub(since.total())) as f64 / seconds,
            cross_region: cross_region as f64 / seconds,
        }
    }

    /// Prints the mean bytes per second and processor time of the daemons of each level.
    fn print(&self, since: &Self) {
        let seconds = (self.at - since.at).as_secs_f64();
        println!(
            "steady                count   from parent     to parent   from children   to children   processor"
        );
        println!(
            "                              payload B/s   payload B/s         TCP B/s       TCP B/s   % of one"
        );
        for (level, name) in LEVELS.iter().enumerate() {
            let pairs: Vec<_> = self
                .daemons
                .iter()
                .zip(&since.daemons)
                .filter(|(now, _)| now.level == level)
                .collect();
            let count = pairs.len();
            let mean = |value: fn(&DaemonCounters) -> f64| {
                let sum: f64 = pairs
                    .iter()
                    .map(|(now, earlier)| value(now) - value(earlier))
                    .sum();
                sum / count.max(1) as f64 / seconds
            };
            println!(
                "  {name:<18} {count:>6} {:>13.0} {:>13.0} {:>15.0} {:>13.0} {:>11.2}",
                mean(|c| c.parent_in as f64),
                mean(|c| c.parent_out as f64),
                mean(|c| c.children.up as f64),
                mean(|c| c.children.down as f64),
                mean(|c| c.cpu.as_secs_f64()) * 100.0,
            );
        }
    }
}

/// Measures, prints and returns the rates without edits.
pub async fn measure(fleet: &Fleet) -> Rates {
    let before = FleetCounters::of(fleet);
    sleep(STEADY).await;
    let now = FleetCounters::of(fleet);
    now.print(&before);
    let rates = now.rates(&before);
    let daemons = fleet.members.len() as f64;
    println!(
        "  control: receives {:.0} B/s, sends {:.0} B/s, {:.2}% of a processor; across regions {:.0} B/s",
        rates.control[0],
        rates.control[1],
        rates.control_cpu * 100.0,
        rates.cross_region,
    );
    println!(
        "  whole tree, both directions: {:.0} B/s per daemon",
        rates.total / daemons
    );
    rates
}

/// Prints the cost per edit beyond the steady rates, for `edits` edits since `before`.
pub fn print_edits(fleet: &Fleet, before: &FleetCounters, steady: &Rates, edits: u64) {
    let now = FleetCounters::of(fleet);
    let seconds = (now.at - before.at).as_secs_f64();
    let rates = now.rates(before);
    let daemons = fleet.members.len() as f64;
    let each = |rate: f64, steady: f64| (rate - steady) * seconds / edits as f64;
    println!(
        "one edit beyond steady: {:.0} bytes per daemon in the whole tree, {:.0} across regions, {:.0} from control, {:.1} ms of processor time at control",
        each(rates.total, steady.total) / daemons,
        each(rates.cross_region, steady.cross_region),
        each(rates.control[1], steady.control[1]),
        each(rates.control_cpu, steady.control_cpu) * 1e3,
    );
    let cpu: Vec<_> = (0..LEVELS.len())
        .map(|level| {
            let cpu_times = now.daemons.iter().zip(&before.daemons);
            let cpu_times: Vec<_> = cpu_times
                .filter(|(now, _)| now.level == level)
                .map(|(now, earlier)| now.cpu.saturating_sub(earlier.cpu).as_secs_f64())
                .collect();
            let mean = cpu_times.iter().sum::<f64>() / cpu_times.len().max(1) as f64;
            format!("{} {:.2}%", LEVELS[level], mean / seconds * 100.0)
        })
        .collect();
    println!(
        "processor at {:.1} edits per second: {}",
        edits as f64 / seconds,
        cpu.join(", ")
    );
}
