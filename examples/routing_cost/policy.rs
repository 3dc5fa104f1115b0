//! Policy figures, simulated in virtual time.

use {
    super::{SEED, SERVICES, endpoint, here},
    anvilbeam::{
        balance::{Balancer, CallProfile, Change, Choice, Outcome},
        model::{Endpoint, Rank, ServerName},
        retry::{Body, Budget, Call, Cause, Decision, Failure, MAX_ATTEMPTS, decide},
        routes::{Candidates, Snapshot},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::BinaryHeap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// What is wrong with the first servers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Reports no load and fails at once.
    Lying,
    /// Takes ten times as long.
    Slow,
    /// As `Slow`, with one server in each data centre; the network takes no time.
    SlowAlone,
    /// Is new 20 s after the start and takes ten times as long for 5 s.
    Cold,
    /// One call in 50 takes 50 times as long.
    LongCalls,
    /// One call in 20 fails.
    Noise,
}

/// Name, number of servers with the fault, fault, calls per second.
type Case = (&'static str, usize, Fault, f64);

const CASES: [Case; 11] = [
    ("all good", 0, Fault::None, 200.0),
    ("1 of 6 lying", 1, Fault::Lying, 200.0),
    ("1 of 6 lying, quiet", 1, Fault::Lying, 10.0),
    ("4 of 6 lying", 4, Fault::Lying, 200.0),
    ("1 of 6 slow", 1, Fault::Slow, 200.0),
    ("1 of 6 slow, quiet", 1, Fault::Slow, 10.0),
    ("1 of 6 slow, alone in DC", 1, Fault::SlowAlone, 10.0),
    ("1 of 6 cold", 1, Fault::Cold, 200.0),
    ("1 in 50 calls long", 6, Fault::LongCalls, 200.0),
    ("1 in 50 calls long, quiet", 6, Fault::LongCalls, 10.0),
    ("1 in 20 calls fails", 6, Fault::Noise, 200.0),
];

const SERVERS: usize = 6;
const SLOTS: usize = 4;
const SIMULATED: f64 = 60.0;
/// Mean service time in seconds.
const SERVICE_TIME: f64 = 0.02;
/// Calls slower than this count as late.
const LATE: f64 = 0.08;

#[derive(Debug, Default)]
struct Figures {
    failed: u64,
    late: u64,
    on_first: u64,
    ejections: u64,
    latencies: Vec<f64>,
}

pub(super) fn balance() {
    println!("\nbalance, virtual time, seed {SEED:#x}: 6 servers with 4 slots and a queue,");
    println!(
        "service time 10 to 30 ms, {SIMULATED} s; late is over {} ms",
        LATE * 1e3
    );
    println!(
        "case                       calls/s choice  failed   late on_first  mean_ms   p99_ms ejections"
    );
    for case in CASES {
        for ours in [false, true] {
            print_case(&case, ours);
        }
    }
}

fn print_case(case: &Case, ours: bool) {
    let mut figures = simulate(case, ours);
    figures.latencies.sort_by(f64::total_cmp);
    let count = figures.latencies.len();
    let percent = |part: u64| part as f64 / count as f64 * 100.0;
    println!(
        "{:<26} {:>7} {:<6} {:>6.2}% {:>5.2}% {:>7.2}% {:>8.1} {:>8.1} {:>9}",
        case.0,
        case.3,
        if ours { "ours" } else { "random" },
        percent(figures.failed),
        percent(figures.late),
        percent(figures.on_first),
        figures.latencies.iter().sum::<f64>() / count as f64 * 1e3,
        figures.latencies[count * 99 / 100] * 1e3,
        figures.ejections,
    );
}

/// Outcomes still to come, by their time in nanoseconds.
#[derive(Debug, Default)]
struct Pending {
    ends: BinaryHeap<Reverse<(u64, usize)>>,
    running: Vec<Option<(Choice, Outcome, f64)>>,
}

impl Pending {
    fn add(&mut self, end: f64, choice: Choice, outcome: Outcome, took: f64) {
        let end = (end * 1e9) as u64;
        self.ends.push(Reverse((end, self.running.len())));
        self.running.push(Some((choice, outcome, took)));
    }

    /// Tells `balancer` all ends up to `now`; returns the number of ejections.
    fn settle(&mut self, balancer: &mut Balancer, origin: Instant, now: f64) -> u64 {
        let mut ejections = 0;
        while let Some(Reverse((end, id))) = self.ends.pop() {
            if end as f64 / 1e9 > now {
                self.ends.push(Reverse((end, id)));
                break;
            }
            let Some((choice, outcome, took)) = self.running[id].take() else {
                continue;
            };
            let took = Duration::from_secs_f64(took);
            let change =
                balancer.record_outcome(&choice, outcome, took, origin + Duration::from_nanos(end));
            ejections += u64::from(matches!(change, Some(Change::Ejected { .. })));
        }
        ejections
    }
}

/// Work in seconds of a call on `server`, or `None` if it fails at once.
fn work(case: &Case, server: usize, now: f64, rng: &mut StdRng) -> Option<f64> {
    let normal = SERVICE_TIME * rng.random_range(0.5..1.5);
    let luck: f64 = rng.random();
    if server >= case.1 {
        return Some(normal);
    }
    match case.2 {
        Fault::Lying => None,
        Fault::Noise if luck < 0.05 => None,
        Fault::Slow | Fault::SlowAlone => Some(normal * 10.0),
        Fault::Cold if (20.0..25.0).contains(&now) => Some(normal * 10.0),
        Fault::LongCalls if luck < 0.02 => Some(normal * 50.0),
        _ => Some(normal),
    }
}

fn simulate(case: &Case, ours: bool) -> Figures {
    let origin = Instant::now();
    let mut servers: Vec<_> = (0..SERVERS).map(|n| server(case, n, 1)).collect();
    let announced = servers.iter().map(AsRef::as_ref);
    let snapshot = Snapshot::build(Arc::default(), announced, here());
    let mut balancer = Balancer::default();
    balancer.sync(&snapshot, origin);
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut free = [[0.0f64; SLOTS]; SERVERS];
    let mut pending = Pending::default();
    let mut figures = Figures::default();
    for call in 0..(case.3 * SIMULATED) as u64 {
        let now = call as f64 / case.3;
        let at = origin + Duration::from_secs_f64(now);
        figures.ejections += pending.settle(&mut balancer, origin, now);
        if case.2 == Fault::Cold && now >= 20.0 && servers[0].incarnation == 1 {
            servers[0] = server(case, 0, 2);
            balancer.sync_service(&servers[0].service, &servers, at);
        }
        balancer.record_load_hint(&servers[0].server, 0.0, at);
        let random = rng.random();
        let candidates = Candidates::new(&here(), &servers);
        let choice = ours
            .then(|| {
                balancer.pick_from(
                    &candidates,
                    CallProfile::small(Rank::Normal),
                    at,
                    random,
                    &[],
                )
            })
            .flatten();
        let server = match &choice {
            Some(choice) => {
                let chosen = |e: &Arc<Endpoint>| e.server == choice.endpoint.server;
                servers.iter().position(chosen).unwrap_or_default()
            }
            None => rng.random_range(0..SERVERS),
        };
        let work = work(case, server, now, &mut rng);
        let took = work.map_or(0.001, |work| {
            let [first, rest @ ..] = &mut free[server];
            let slot = rest
                .iter_mut()
                .fold(first, |a, b| if *b < *a { b } else { a });
            *slot = slot.max(now) + work;
            *slot - now
        });
        figures.failed += u64::from(work.is_none());
        figures.late += u64::from(took > LATE);
        figures.on_first += u64::from(server == 0);
        figures.latencies.push(took);
        if let Some(choice) = choice {
            let outcome = work.map_or(Outcome::Failed, |_| Outcome::Succeeded);
            pending.add(now + took, choice, outcome, took);
        }
    }
    figures
}

/// Server `n`, in the own data centre unless the case spreads the servers.
fn server(case: &Case, n: usize, incarnation: u64) -> Arc<Endpoint> {
    let data_centres = if case.2 == Fault::SlowAlone { 1 } else { 8 };
    let mut server = endpoint(n * SERVICES * data_centres);
    server.slots = SLOTS as u32;
    server.incarnation = incarnation;
    Arc::new(server)
}

/// Calls a chain of `depth` levels whose leaf always fails; returns whether the failure is marked.
fn call_chain(
    depth: usize,
    is_retry: bool,
    marks: bool,
    now: Instant,
    leaf_calls: &mut u64,
) -> bool {
    if depth == 0 {
        *leaf_calls += 1;
        return false;
    }
    let mut call = Call {
        idempotent: true,
        attempts: anvilbeam::retry::MAX_ATTEMPTS,
        other_server_available: false,
        deadline: now + Duration::from_mins(1),
        body: Body::Replayable,
        tried: Vec::new(),
        is_retry,
    };
    let mut budget = Budget::new(now);
    loop {
        let resend = marks && (is_retry || !call.tried.is_empty());
        let retried_downstream = call_chain(depth - 1, resend, marks, now, leaf_calls);
        call.tried.push(ServerName::from("server"));
        let failure = Failure {
            cause: Cause::NotRun,
            retried_downstream,
        };
        if let Decision::GiveUp(reason) = decide(&failure, &call, &mut budget, now, SEED) {
            return marks && (retried_downstream || reason.sets_retried_header());
        }
    }
}

pub(super) fn chain() {
    let now = Instant::now();
    println!("\nleaf calls per top call when the leaf always fails:");
    println!("depth  plain ({MAX_ATTEMPTS} sends per level)  ours");
    for depth in [1, 2, 4, 8, 12, 23] {
        let mut ours = 0;
        call_chain(depth, false, true, now, &mut ours);
        // Deep plain chains cannot be run to their end.
        let plain = if depth <= 8 {
            let mut plain = 0;
            call_chain(depth, false, false, now, &mut plain);
            format!("{plain} (run)")
        } else {
            let formula = u64::from(MAX_ATTEMPTS).pow(depth as u32);
            format!("{formula} (by formula, not run)")
        };
        println!("{depth:>5}  {plain:>34}  {ours}");
    }
}
