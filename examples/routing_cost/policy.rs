//! Simulations of the balancer and the retry policy in virtual time.

use {
    super::{SEED, SERVICES, endpoint, local_location},
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

/// Fault of the affected servers, which are the first ones.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Reports no load and fails each call at once.
    FastFailing,
    /// Takes ten times as long for each call.
    Slow,
    /// As `Slow`, with one server in each data centre; the network takes no time.
    SlowAloneInDataCentre,
    /// Restarts 20 s after the start and takes ten times as long for 5 s.
    Cold,
    /// One call in 50 takes 50 times as long.
    LongCalls,
    /// One call in 20 fails.
    Noise,
}

/// Name, number of affected servers, fault, and calls per second.
type Case = (&'static str, usize, Fault, f64);

const CASES: [Case; 11] = [
    ("no fault", 0, Fault::None, 200.0),
    ("1 of 6 fast-failing", 1, Fault::FastFailing, 200.0),
    ("1 of 6 fast-failing, quiet", 1, Fault::FastFailing, 10.0),
    ("4 of 6 fast-failing", 4, Fault::FastFailing, 200.0),
    ("1 of 6 slow", 1, Fault::Slow, 200.0),
    ("1 of 6 slow, quiet", 1, Fault::Slow, 10.0),
    (
        "1 of 6 slow, alone in DC",
        1,
        Fault::SlowAloneInDataCentre,
        10.0,
    ),
    ("1 of 6 cold", 1, Fault::Cold, 200.0),
    ("1 in 50 calls long", 6, Fault::LongCalls, 200.0),
    ("1 in 50 calls long, quiet", 6, Fault::LongCalls, 10.0),
    ("1 in 20 calls fails", 6, Fault::Noise, 200.0),
];

const SERVERS: usize = 6;
const SLOTS: usize = 4;
/// Simulated time in seconds.
const SIMULATED_S: f64 = 60.0;
/// Mean service time in seconds.
const MEAN_SERVICE_TIME_S: f64 = 0.02;
/// Latency in seconds above which a call counts as late.
const LATE_S: f64 = 0.08;

/// Results of one simulation; latencies are in seconds.
#[derive(Debug, Default)]
struct Results {
    failed: u64,
    late: u64,
    on_first_server: u64,
    ejections: u64,
    latencies: Vec<f64>,
}

pub(super) fn simulate_balancing() {
    println!("\nbalance, virtual time, seed {SEED:#x}: 6 servers with 4 slots and a queue,");
    println!(
        "service time 10 to 30 ms, {SIMULATED_S} s; late is over {} ms",
        LATE_S * 1e3
    );
    println!(
        "case                       calls/s choice  failed   late on_first  mean_ms   p99_ms ejections"
    );
    for case in CASES {
        for use_balancer in [false, true] {
            print_case(&case, use_balancer);
        }
    }
}

fn print_case(case: &Case, use_balancer: bool) {
    let mut results = simulate(case, use_balancer);
    results.latencies.sort_by(f64::total_cmp);
    let count = results.latencies.len();
    let percent = |part: u64| part as f64 / count as f64 * 100.0;
    println!(
        "{:<26} {:>7} {:<6} {:>6.2}% {:>5.2}% {:>7.2}% {:>8.1} {:>8.1} {:>9}",
        case.0,
        case.3,
        if use_balancer { "ours" } else { "random" },
        percent(results.failed),
        percent(results.late),
        percent(results.on_first_server),
        results.latencies.iter().sum::<f64>() / count as f64 * 1e3,
        results.latencies[count * 99 / 100] * 1e3,
        results.ejections,
    );
}

/// Calls in progress, whose outcomes the balancer does not have yet.
#[derive(Debug, Default)]
struct Pending {
    /// End in nanoseconds since the start, and index in `running`.
    ends: BinaryHeap<Reverse<(u64, usize)>>,
    running: Vec<Option<(Choice, Outcome, f64)>>,
}

impl Pending {
    fn add(&mut self, end: f64, choice: Choice, outcome: Outcome, latency: f64) {
        let end = (end * 1e9) as u64;
        self.ends.push(Reverse((end, self.running.len())));
        self.running.push(Some((choice, outcome, latency)));
    }

    /// Records all outcomes up to `now` in `balancer` and returns the number of ejections.
    fn settle(&mut self, balancer: &mut Balancer, origin: Instant, now: f64) -> u64 {
        let mut ejections = 0;
        while let Some(Reverse((end, id))) = self.ends.pop() {
            if end as f64 / 1e9 > now {
                self.ends.push(Reverse((end, id)));
                break;
            }
            let Some((choice, outcome, latency)) = self.running[id].take() else {
                continue;
            };
            let latency = Duration::from_secs_f64(latency);
            let change = balancer.record_outcome(
                &choice,
                outcome,
                latency,
                origin + Duration::from_nanos(end),
            );
            ejections += u64::from(matches!(change, Some(Change::Ejected { .. })));
        }
        ejections
    }
}

/// Returns the service time of a call on `server` in seconds, or `None` if it fails at once.
fn draw_service_time(case: &Case, server: usize, now: f64, rng: &mut StdRng) -> Option<f64> {
    let normal = MEAN_SERVICE_TIME_S * rng.random_range(0.5..1.5);
    let roll: f64 = rng.random();
    if server >= case.1 {
        return Some(normal);
    }
    match case.2 {
        Fault::FastFailing => None,
        Fault::Noise if roll < 0.05 => None,
        Fault::Slow | Fault::SlowAloneInDataCentre => Some(normal * 10.0),
        Fault::Cold if (20.0..25.0).contains(&now) => Some(normal * 10.0),
        Fault::LongCalls if roll < 0.02 => Some(normal * 50.0),
        _ => Some(normal),
    }
}

fn simulate(case: &Case, use_balancer: bool) -> Results {
    let origin = Instant::now();
    let mut servers: Vec<_> = (0..SERVERS).map(|n| make_server(case, n, 1)).collect();
    let announced = servers.iter().map(AsRef::as_ref);
    let snapshot = Snapshot::build(Arc::default(), announced, local_location());
    let mut balancer = Balancer::default();
    balancer.sync(&snapshot, origin);
    let mut rng = StdRng::seed_from_u64(SEED);
    // Seconds after the start at which each slot becomes free.
    let mut free_at = [[0.0f64; SLOTS]; SERVERS];
    let mut pending = Pending::default();
    let mut results = Results::default();
    for call in 0..(case.3 * SIMULATED_S) as u64 {
        let now = call as f64 / case.3;
        let at = origin + Duration::from_secs_f64(now);
        results.ejections += pending.settle(&mut balancer, origin, now);
        if case.2 == Fault::Cold && now >= 20.0 && servers[0].incarnation == 1 {
            servers[0] = make_server(case, 0, 2);
            balancer.sync_service(&servers[0].service, &servers, at);
        }
        balancer.record_load_hint(&servers[0].server, 0.0, at);
        let random = rng.random();
        let candidates = Candidates::new(&local_location(), &servers);
        let choice = use_balancer
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
        let service_time = draw_service_time(case, server, now, &mut rng);
        let latency = service_time.map_or(0.001, |service_time| {
            let [first, rest @ ..] = &mut free_at[server];
            let slot = rest
                .iter_mut()
                .fold(first, |a, b| if *b < *a { b } else { a });
            *slot = slot.max(now) + service_time;
            *slot - now
        });
        results.failed += u64::from(service_time.is_none());
        results.late += u64::from(latency > LATE_S);
        results.on_first_server += u64::from(server == 0);
        results.latencies.push(latency);
        if let Some(choice) = choice {
            let outcome = service_time.map_or(Outcome::Failed, |_| Outcome::Succeeded);
            pending.add(now + latency, choice, outcome, latency);
        }
    }
    results
}

/// Returns server `n`, in the local data centre unless the case puts each server in another one.
fn make_server(case: &Case, n: usize, incarnation: u64) -> Arc<Endpoint> {
    let stride = if case.2 == Fault::SlowAloneInDataCentre {
        1
    } else {
        8
    };
    let mut server = endpoint(n * SERVICES * stride);
    server.slots = SLOTS as u32;
    server.incarnation = incarnation;
    Arc::new(server)
}

/// Simulates a call through `depth` levels to a leaf that always fails, and counts the leaf calls.
/// Returns whether the failure is marked as already retried; without `marks`, no level marks
/// retries or failures.
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
        unsent: 0,
        max_attempts: anvilbeam::retry::MAX_ATTEMPTS,
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

pub(super) fn simulate_retry_chains() {
    let now = Instant::now();
    println!("\nleaf calls per top call when the leaf always fails:");
    println!("depth  plain ({MAX_ATTEMPTS} sends per level)  ours");
    for depth in [1, 2, 4, 8, 12, 23] {
        let mut marked = 0;
        call_chain(depth, false, true, now, &mut marked);
        // Without marks the calls grow exponentially with the depth, so deep chains are not run.
        let unmarked = if depth <= 8 {
            let mut unmarked = 0;
            call_chain(depth, false, false, now, &mut unmarked);
            format!("{unmarked} (run)")
        } else {
            let formula = u64::from(MAX_ATTEMPTS).pow(depth as u32);
            format!("{formula} (by formula, not run)")
        };
        println!("{depth:>5}  {unmarked:>34}  {marked}");
    }
}
