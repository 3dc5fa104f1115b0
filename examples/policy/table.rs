//! Table of the results by rank.

use {
    crate::{
        server::POLICIES,
        sim::{self, CAPACITY, PLANS, RankResult, SCENARIOS, Scenario},
    },
    anvilbeam::{admission::FLOORS, model::Rank},
    std::time::Duration,
    strum::IntoEnumIterator as _,
};

const SEED: u64 = 20;
/// Simulated time that is measured in each run.
const MEASURED_TIME: Duration = Duration::from_secs(10);

/// Simulates all scenarios under all policies and prints a row for each rank.
pub fn print() {
    println!(
        "{:<13} {:<7} {:<7} {:>9} {:>9} {:>8} {:>8} {:>9} {:>7}  in time/s by plan (offered)",
        "load",
        "policy",
        "rank",
        "offered/s",
        "in time",
        "p50 ms",
        "p99 ms",
        "goodput/s",
        "floor/s"
    );
    for scenario in &SCENARIOS {
        for (policy, name) in POLICIES {
            let results = sim::run(policy, scenario, SEED, MEASURED_TIME);
            for (rank, result) in Rank::iter().zip(&results) {
                print_row(scenario, name, rank, result);
            }
        }
        println!();
    }
}

fn print_row(scenario: &Scenario, policy: &str, rank: Rank, result: &RankResult) {
    let seconds = MEASURED_TIME.as_secs_f64();
    let plans: Vec<String> = (0..PLANS.len())
        .map(|plan| {
            let per_second = |count: u64| count as f64 / seconds;
            format!(
                "{} {:.0} ({:.0})",
                PLANS[plan].0,
                per_second(result.in_time_by_plan[plan]),
                per_second(result.offered_by_plan[plan])
            )
        })
        .collect();
    println!(
        "{:<13} {:<7} {:<7} {:>9.0} {:>8.2}% {:>8.1} {:>8.1} {:>9.0} {:>7.0}  {}",
        scenario.name,
        policy,
        rank.to_string(),
        result.offered as f64 / seconds,
        result.in_time_fraction() * 100.0,
        result.quantile_ms(0.5),
        result.quantile_ms(0.99),
        result.in_time as f64 / seconds,
        FLOORS[rank.index()] * CAPACITY,
        plans.join(", "),
    );
}
