//! Bytes and processor time by role, in steady state and for edits.

use {
    super::{fleet::Fleet, node, pipe::Bytes},
    anvilbeam::{
        metrics::{Direction, Link},
        relays::Role,
    },
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Time of the measurement.
const STEADY: Duration = Duration::from_secs(6);
const LEVELS: [&str; 3] = ["region relay", "data centre relay", "leaf"];

/// Counters of one daemon.
#[derive(Clone, Copy, Debug, Default)]
struct Counters {
    level: usize,
    parent_in: u64,
    parent_out: u64,
    children: Bytes,
    cpu: Duration,
}

/// Counters of the fleet at one time.
#[derive(Debug)]
pub struct Mark {
    at: Instant,
    daemons: Vec<Counters>,
    to_control: Vec<Bytes>,
    control_cpu: Duration,
}

/// Bytes per second.
#[derive(Debug)]
pub struct Rates {
    /// At control, received and sent.
    pub control: [f64; 2],
    /// Share of a processor that control uses.
    pub control_cpu: f64,
    /// All daemons and control together.
    total: f64,
    /// Between the regions.
    crossing: f64,
}

impl Mark {
    /// The counters now.
    pub fn of(fleet: &Fleet) -> Self {
        let daemons = fleet.members.iter().map(|member| {
            let daemon = &member.node.inner;
            Counters {
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
            to_control: (0..fleet.to_control.len())
                .map(|region| fleet.control_bytes(region))
                .collect(),
            control_cpu: fleet.control.cpu() + node::cpu_of_threads("replica"),
        }
    }

    fn total(&self) -> u64 {
        let daemons = self.daemons.iter().map(|daemon| daemon.children.total());
        daemons.sum::<u64>()
            + self
                .to_control
                .iter()
                .map(|bytes| bytes.total())
                .sum::<u64>()
    }

    /// Rates since `since`; the total is of no use when daemons were restarted in between.
    pub fn rates(&self, since: &Self) -> Rates {
        let seconds = (self.at - since.at).as_secs_f64();
        let control = self
            .to_control
            .iter()
            .zip(&since.to_control)
            .map(|(now, before)| now.since(*before));
        let control = control.fold(Bytes::default(), |sum, part| Bytes {
            up: sum.up + part.up,
            down: sum.down + part.down,
        });
        let crossing = self.to_control[1].since(since.to_control[1]).total();
        Rates {
            control: [control.up as f64 / seconds, control.down as f64 / seconds],
            control_cpu: self
                .control_cpu
                .saturating_sub(since.control_cpu)
                .as_secs_f64()
                / seconds,
            total: (self.total().saturating_sub(since.total())) as f64 / seconds,
            crossing: crossing as f64 / seconds,
        }
    }

    /// Bytes per second, each as received and sent by the daemons of each role.
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
            let mean = |value: fn(&Counters) -> f64| {
                let sum: f64 = pairs.iter().map(|(now, was)| value(now) - value(was)).sum();
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

/// Prints the rates without any edit.
pub async fn measure(fleet: &Fleet) -> Rates {
    let before = Mark::of(fleet);
    sleep(STEADY).await;
    let now = Mark::of(fleet);
    now.print(&before);
    let rates = now.rates(&before);
    let daemons = fleet.members.len() as f64;
    println!(
        "  control: receives {:.0} B/s, sends {:.0} B/s, {:.2}% of a processor; across regions {:.0} B/s",
        rates.control[0],
        rates.control[1],
        rates.control_cpu * 100.0,
        rates.crossing,
    );
    println!(
        "  whole tree, both directions: {:.0} B/s per daemon",
        rates.total / daemons
    );
    rates
}

/// Prints what `edits` edits since `mark` took beyond the steady rates.
pub fn print_edits(fleet: &Fleet, mark: &Mark, steady: &Rates, edits: u64) {
    let now = Mark::of(fleet);
    let seconds = (now.at - mark.at).as_secs_f64();
    let rates = now.rates(mark);
    let daemons = fleet.members.len() as f64;
    let each = |rate: f64, steady: f64| (rate - steady) * seconds / edits as f64;
    println!(
        "one edit beyond steady: {:.0} bytes per daemon in the whole tree, {:.0} across regions, {:.0} from control, {:.1} ms of processor time at control",
        each(rates.total, steady.total) / daemons,
        each(rates.crossing, steady.crossing),
        each(rates.control[1], steady.control[1]),
        each(rates.control_cpu, steady.control_cpu) * 1e3,
    );
    let cpu: Vec<_> = (0..LEVELS.len())
        .map(|level| {
            let spent = now.daemons.iter().zip(&mark.daemons);
            let spent: Vec<_> = spent
                .filter(|(now, _)| now.level == level)
                .map(|(now, was)| now.cpu.saturating_sub(was.cpu).as_secs_f64())
                .collect();
            let mean = spent.iter().sum::<f64>() / spent.len().max(1) as f64;
            format!("{} {:.2}%", LEVELS[level], mean / seconds * 100.0)
        })
        .collect();
    println!(
        "processor at {:.1} edits per second: {}",
        edits as f64 / seconds,
        cpu.join(", ")
    );
}
