//! Measures the cost of the entry daemon's routing decisions, and simulates how its balancing and
//! retry policies affect callers.
//!
//! Costs are wall-clock times; policy figures come from a simulation in virtual time with a fixed
//! seed. Run with `cargo run --release --example routing_cost`.

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
    policy::simulate_balancing();
    policy::simulate_retry_chains();
}

fn local_location() -> Location {
    Location {
        data_centre: DataCentre::from("r0-dc0"),
        region: Region::from("r0"),
    }
}

fn service(n: usize) -> ServiceName {
    ServiceName::from(&*format!("service-{n:03}"))
}

/// Returns endpoint `n`. Endpoints are spread over 2 regions with 4 data centres each.
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

/// Returns a configuration with one plan per ten grants; every fourth grant names three servers.
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
        let service_index = (n * 11) % SERVICES;
        let named_servers = if n % 4 == 0 { 3 } else { 0 };
        let servers = (0..named_servers).map(|k| endpoint(service_index + k * SERVICES).server);
        let grant = Grant {
            plan: name(n / 10),
            service: service(service_index),
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

/// Returns the median of [`RUNS`] run times.
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
            let build = || Snapshot::build(Arc::clone(&config), announced.iter(), local_location());
            let snapshot = build();
            let changed_service = service(0);
            let service_endpoints: Vec<_> = announced
                .iter()
                .filter(|e| e.service == changed_service)
                .collect();
            let full_build = median(|| drop(black_box(build())));
            let config_update =
                median(|| drop(black_box(snapshot.with_config(Arc::clone(&config)))));
            let service_update = median(|| {
                drop(black_box(snapshot.with_service(
                    &changed_service,
                    service_endpoints.iter().copied(),
                )));
            });
            println!(
                "{endpoints:>9} {grants:>6} {:>8.0} {:>9.0} {:>11.1} {:>15}",
                micros(full_build),
                micros(config_update),
                micros(service_update),
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
    let snapshot = Snapshot::build(Arc::clone(&config), announced.iter(), local_location());
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
    let route_and_pick = median(|| {
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
    let nanos_per_call = |time: Duration| time.as_secs_f64() * 1e9 / f64::from(CALLS);
    println!("\nper call, 2600 endpoints, 5000 grants, one thread:");
    println!("authenticate {:.0} ns", nanos_per_call(authenticate));
    println!("route {:.0} ns", nanos_per_call(lookup));
    println!(
        "pick + outcome {:.0} ns",
        nanos_per_call(route_and_pick) - nanos_per_call(lookup)
    );
    println!(
        "sync of the balancer with a new snapshot {:.0} us",
        micros(sync)
    );
}
