//! Costs of the entry daemon's decisions, and what its policies do to callers.
//!
//! Costs are measured on the clock; policy figures come from a simulation in virtual time with a
//! fixed seed. Run with `cargo run --release --example routing_cost`.

use {
    anvilbeam::{
        balance::{Balancer, Outcome},
        model::{
            Config, DaemonName, DataCentre, Digest, Endpoint, Grant, Plan, PlanName, Rank, Region,
            ServerName, ServerState, ServiceName, Terms, Version,
        },
        routes::{Location, Snapshot},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        hint::black_box,
        sync::Arc,
        time::{Duration, Instant},
    },
};

mod policy;

const SERVICES: usize = 280;
const SEED: u64 = 0x5eed;
/// Runs of each measurement; the median is printed.
const RUNS: usize = 15;

fn main() {
    build_cost();
    call_cost();
    policy::balance();
    policy::chain();
}

fn here() -> Location {
    Location {
        data_centre: DataCentre::from("r0-dc0"),
        region: Region::from("r0"),
    }
}

fn service(n: usize) -> ServiceName {
    ServiceName::from(&*format!("service-{n:03}"))
}

/// Endpoint `n` over 2 regions with 4 data centres each.
fn endpoint(n: usize) -> Endpoint {
    let region = n / SERVICES % 2;
    let data_centre = n / SERVICES / 2 % 4;
    Endpoint {
        server: ServerName::from(&*format!("server-{n:04}")),
        service: service(n % SERVICES),
        daemon: DaemonName::from(&*format!("daemon-{n:04}")),
        address: ([10, 0, (n >> 8) as u8, n as u8], 7000).into(),
        data_centre: DataCentre::from(&*format!("r{region}-dc{data_centre}")),
        region: Region::from(&*format!("r{region}")),
        slots: 20,
        state: ServerState::Serving,
        incarnation: 1,
    }
}

/// One plan for each ten grants; every fourth grant names three servers.
fn config(grants: usize) -> Config {
    let name = |n: usize| PlanName::from(&*format!("plan-{n:04}"));
    let plans = (0..grants / 10).map(|n| {
        let plan = Plan {
            name: name(n),
            key_hashes: vec![Digest::of(&n.to_le_bytes())],
            home_region: Region::from("r0"),
        };
        (plan.name.clone(), plan)
    });
    let grants = (0..grants).map(|n| {
        let at = (n * 11) % SERVICES;
        let named = if n % 4 == 0 { 3 } else { 0 };
        let servers = (0..named).map(|k| endpoint(at + k * SERVICES).server);
        let grant = Grant {
            plan: name(n / 10),
            service: service(at),
            servers: servers.collect(),
            capacity: 100,
            rank: Rank::Normal,
            path: "/".into(),
            terms: Terms::default(),
        };
        (grant.key(), grant)
    });
    Config {
        version: Version(1),
        plans: plans.collect(),
        grants: grants.collect(),
    }
}

fn median(mut run: impl FnMut()) -> Duration {
    let mut times: Vec<_> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            run();
            start.elapsed()
        })
        .collect();
    times.sort();
    times[RUNS / 2]
}

fn build_cost() {
    println!("snapshot, {SERVICES} services, median of {RUNS} runs:");
    println!("endpoints grants build_us config_us endpoint_us bytes_estimated");
    for endpoints in [100, 1000, 2600] {
        let announced: Vec<_> = (0..endpoints).map(endpoint).collect();
        for grants in [500, 2000, 5000] {
            let config = Arc::new(config(grants));
            let build = || Snapshot::build(Arc::clone(&config), announced.iter(), here());
            let snapshot = build();
            let own = service(0);
            let of_service: Vec<_> = announced.iter().filter(|e| e.service == own).collect();
            let whole = median(|| drop(black_box(build())));
            let by_config = median(|| drop(black_box(snapshot.with_config(Arc::clone(&config)))));
            let by_service = median(|| {
                drop(black_box(
                    snapshot.with_service(&own, of_service.iter().copied()),
                ));
            });
            println!(
                "{endpoints:>9} {grants:>6} {:>8.0} {:>9.0} {:>11.1} {:>15}",
                micros(whole),
                micros(by_config),
                micros(by_service),
                snapshot.memory_estimate(),
            );
        }
    }
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn call_cost() {
    const CALLS: u32 = 200_000;
    let config = Arc::new(config(5000));
    let announced: Vec<_> = (0..2600).map(endpoint).collect();
    let snapshot = Snapshot::build(Arc::clone(&config), announced.iter(), here());
    let mut balancer = Balancer::default();
    let start = Instant::now();
    let sync = median(|| balancer.sync(&snapshot, start));
    let keys: Vec<_> = config.grants.keys().collect();
    let mut rng = StdRng::seed_from_u64(SEED);
    let calls: Vec<_> = (0..CALLS).map(|_| rng.random::<u64>()).collect();
    let key = |random: u64| keys[random as usize % keys.len()];
    let lookup = median(|| {
        for random in &calls {
            let key = key(*random);
            black_box(snapshot.route(&key.plan, &key.service).is_ok());
        }
    });
    let whole = median(|| {
        for random in &calls {
            let key = key(*random);
            let Ok(route) = snapshot.route(&key.plan, &key.service) else {
                continue;
            };
            if let Some(choice) = balancer.pick(&route, start, *random, &[]) {
                let latency = Duration::from_millis(10);
                balancer.record_outcome(&choice, Outcome::Succeeded, latency, start);
            }
        }
    });
    let authenticate = median(|| {
        for random in &calls {
            black_box(snapshot.authenticate(black_box("a key of some 24 bytes ..")));
            black_box(random);
        }
    });
    let nanos = |time: Duration| time.as_secs_f64() * 1e9 / f64::from(CALLS);
    println!("\nper call, 2600 endpoints, 5000 grants, one thread:");
    println!("authenticate {:.0} ns", nanos(authenticate));
    println!("route {:.0} ns", nanos(lookup));
    println!("pick + outcome {:.0} ns", nanos(whole) - nanos(lookup));
    println!("sync of the balancer after a swap {:.0} us", micros(sync));
}
