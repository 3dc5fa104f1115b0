//! The lists of `dev`: one plan for each kind of work.

use crate::model::Digest;

/// Plans with the service that they use and its rank.
const PLANS: [(&str, &str, &str); 4] = [
    ("clerks", "roll-consultation", "urgent"),
    ("boards", "issuance", "high"),
    ("filings", "records", "normal"),
    ("ledgers", "records", "low"),
];

/// Key that proves a plan.
pub(super) fn key(plan: &str) -> String {
    format!("{plan}-key")
}

/// Each plan with the service that it may use.
pub(super) fn grants_of_all() -> impl Iterator<Item = (&'static str, &'static str)> {
    PLANS.iter().map(|(plan, service, _)| (*plan, *service))
}

/// The first list.
pub(super) fn plans() -> String {
    let entry = |(plan, ..): &(&str, &str, &str)| {
        let hash = Digest::of(key(plan).as_bytes());
        format!("- {{ name: {plan}, key_hashes: [{hash}], home_region: region-1 }}\n")
    };
    format!("plans:\n{}", PLANS.iter().map(entry).collect::<String>())
}

/// The second list; `clerks` may use only `servers`, or all if there are none.
pub(super) fn grants(servers: &[&str]) -> String {
    let entry = |(plan, service, rank): &(&str, &str, &str)| {
        let servers = if *plan == "clerks" && !servers.is_empty() {
            format!("servers: [{}], ", servers.join(", "))
        } else {
            String::new()
        };
        format!(
            "- {{ plan: {plan}, service: {service}, {servers}capacity: 20000, rank: {rank} }}\n"
        )
    };
    format!("grants:\n{}", PLANS.iter().map(entry).collect::<String>())
}
