//! Parsing, validation, rendering and comparison of the two lists that operators edit.

mod diff;
mod names;
mod parse;

#[cfg(test)]
mod tests;

pub use {
    diff::{Action, Change, diff},
    names::{check_name, check_path, check_plan_name},
    parse::check,
};

use {
    crate::{
        model::{
            Config, Grant, GrantKey, Plan, PlanName, Rank, ServerName, ServiceName, UNLIMITED,
            Version, Work,
        },
        yaml,
    },
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
    },
    strum::Display,
};

/// Largest `plans.yaml` in bytes.
pub const MAX_PLANS: usize = 1024 * 1024;

/// Largest `grants.yaml` in bytes.
pub const MAX_GRANTS: usize = 4 * 1024 * 1024;

/// Largest capacity of a grant in calls per second.
pub const MAX_CAPACITY: u32 = 10_000_000;

/// Most problems that [`check`] reports; keeps the answer to a wrong file short.
pub const MAX_PROBLEMS: usize = 1000;

/// Largest weight of a grant.
pub const MAX_WEIGHT: u32 = 1_000_000;

/// Most backend servers to which a grant may let one call be sent.
pub const MAX_ATTEMPTS: u32 = 100;

/// Services that backend servers have announced, each with the names of those servers.
pub type Announced = BTreeMap<ServiceName, BTreeSet<ServerName>>;

/// One of the two lists.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum List {
    /// `plans.yaml`.
    Plans,
    /// `grants.yaml`.
    Grants,
}

/// A value that is wrong or doubtful, and where it stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Problem {
    /// The list that holds the value.
    pub list: List,
    /// Line, from 1; 0 when unknown.
    pub line: u64,
    /// Column, from 1; 0 when unknown.
    pub column: u64,
    /// What is wrong, with the value.
    pub reason: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            list,
            line,
            column,
            reason,
        } = self;
        write!(f, "{list}.yaml:{line}:{column}: {reason}")
    }
}

/// Line and column of a value, both from 1; 0 when unknown.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Place {
    pub(crate) line: u64,
    pub(crate) column: u64,
}

impl Place {
    pub(crate) fn problem(self, list: List, reason: String) -> Problem {
        Problem {
            list,
            line: self.line,
            column: self.column,
            reason,
        }
    }
}

/// Where the names of a grant stand.
#[derive(Clone, Debug, Default)]
pub(crate) struct GrantPlaces {
    pub(crate) service: Place,
    pub(crate) servers: Vec<Place>,
}

/// Both lists after validation. Compared by content; positions do not count.
#[derive(Clone, Debug, Default)]
pub struct Lists {
    /// Plans, sorted by name.
    pub plans: IndexMap<PlanName, Plan>,
    /// Grants, sorted by plan and service.
    pub grants: IndexMap<GrantKey, Grant>,
    pub(crate) places: IndexMap<GrantKey, GrantPlaces>,
}

impl PartialEq for Lists {
    fn eq(&self, other: &Self) -> bool {
        self.plans == other.plans && self.grants == other.grants
    }
}

impl Eq for Lists {}

impl Lists {
    /// The lists of `cfg`, without positions.
    pub fn from_config(cfg: &Config) -> Self {
        Self {
            plans: cfg.plans.clone(),
            grants: cfg.grants.clone(),
            places: IndexMap::new(),
        }
    }

    /// The configuration that these lists form under `version`.
    pub fn into_config(self, version: Version) -> Config {
        Config {
            version,
            plans: self.plans,
            grants: self.grants,
        }
    }
}

/// Names in the grants that no backend server has announced. They are allowed: the route is kept
/// and refuses calls until such a server appears.
pub fn warnings(lists: &Lists, announced: &Announced) -> Vec<Problem> {
    let mut found = Vec::new();
    for (key, grant) in &lists.grants {
        let places = lists.places.get(key).cloned().unwrap_or_default();
        let Some(servers) = announced.get(&grant.service) else {
            let reason = format!(
                "service {:?} is not announced by any backend server",
                grant.service
            );
            found.push(places.service.problem(List::Grants, reason));
            continue;
        };
        for (index, server) in grant.servers.iter().enumerate() {
            if servers.contains(server) {
                continue;
            }
            let place = places.servers.get(index).copied().unwrap_or_default();
            let reason = format!(
                "backend server {server:?} is not announced for service {:?}",
                grant.service
            );
            found.push(place.problem(List::Grants, reason));
        }
    }
    found
}

#[derive(Serialize)]
struct PlansFile<'a> {
    plans: Vec<&'a Plan>,
}

#[derive(Serialize)]
struct GrantsFile<'a> {
    grants: Vec<GrantEntry<'a>>,
}

#[derive(Serialize)]
struct GrantEntry<'a> {
    plan: &'a str,
    service: &'a str,
    #[serde(skip_serializing_if = "is_root")]
    path: &'a str,
    #[serde(skip_serializing_if = "<[ServerName]>::is_empty")]
    servers: &'a [ServerName],
    #[serde(skip_serializing_if = "is_unlimited")]
    capacity: u32,
    rank: Rank,
    #[serde(skip_serializing_if = "Option::is_none")]
    weight: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    work: Option<Work>,
    #[serde(skip_serializing_if = "Option::is_none")]
    timeout: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    target_latency: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    attempts: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    note: Option<&'a str>,
}

fn is_root(path: &str) -> bool {
    path == "/"
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes the field by reference"
)]
const fn is_unlimited(capacity: &u32) -> bool {
    *capacity == UNLIMITED
}

/// The plans as canonical YAML, sorted by name.
///
/// ```
/// use anvilbeam::lists::{Lists, render_plans};
/// assert_eq!(render_plans(&Lists::default()), "plans: []\n");
/// ```
pub fn render_plans(lists: &Lists) -> String {
    let mut plans: Vec<_> = lists.plans.values().collect();
    plans.sort_by(|a, b| a.name.cmp(&b.name));
    to_yaml(&PlansFile { plans })
}

/// The grants as canonical YAML, sorted by plan and service.
pub fn render_grants(lists: &Lists) -> String {
    let mut grants: Vec<_> = lists
        .grants
        .values()
        .map(|grant| GrantEntry {
            plan: grant.plan.as_str(),
            service: grant.service.as_str(),
            path: grant.path.as_str(),
            servers: &grant.servers,
            capacity: grant.capacity,
            rank: grant.rank,
            weight: grant.terms.weight,
            work: grant.terms.work,
            timeout: grant.terms.timeout_ms.map(millis),
            target_latency: grant.terms.target_ms.map(millis),
            attempts: grant.terms.attempts,
            note: grant.terms.note.as_deref(),
        })
        .collect();
    grants.sort_by_key(|grant| (grant.plan, grant.service, grant.path));
    to_yaml(&GrantsFile { grants })
}

fn millis(ms: u64) -> String {
    format!("{ms}ms")
}

fn to_yaml<T: Serialize>(file: &T) -> String {
    // Structs of strings and numbers always have a YAML form, and a `String` accepts all writes.
    yaml::render(file).expect("lists have a YAML form")
}
