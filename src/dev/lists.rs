//! The lists of the `dev` mesh.

use crate::model::Digest;

/// Name, service and rank of each plan.
const PLANS: [(&str, &str, &str); 4] = [
    ("clerks", "roll-consultation", "urgent"),
    ("boards", "issuance", "high"),
    ("filings", "records", "normal"),
    ("ledgers", "records", "low"),
];

/// Returns the key that authenticates callers of a plan.
pub(super) fn key(plan: &str) -> String {
    format!("{plan}-key")
}

/// Returns each plan with its service.
pub(super) fn services_by_plan() -> impl Iterator<Item = (&'static str, &'static str)> {
    PLANS.iter().map(|(plan, service, _)| (*plan, *service))
}

/// Returns the list of plans as YAML.
pub(super) fn plans() -> String {
    let entry = |(plan, ..): &(&str, &str, &str)| {
        let hash = Digest::of(key(plan).as_bytes());
        format!("- {{ name: {plan}, key_hashes: [{hash}], home_region: region-1 }}\n")
    };
    format!("plans:\n{}", PLANS.iter().map(entry).collect::<String>())
}

/// Returns the list of grants as YAML. `clerks` may use only `servers`, or all servers if empty.
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
