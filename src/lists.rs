//! Parsing, validation, rendering and comparison of the two lists that operators edit: plans and
//! grants.

mod diff;
mod names;
mod parse;

#[cfg(test)]
mod tests;

pub use {
    diff::{Action, Change, diff},
    names::{check_name, check_path, check_plan_name},
    parse::parse_lists,
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

/// Maximum size of `plans.yaml` in bytes.
pub const MAX_PLANS: usize = 1024 * 1024;

/// Maximum size of `grants.yaml` in bytes.
pub const MAX_GRANTS: usize = 4 * 1024 * 1024;

/// Maximum capacity of a grant in calls per second.
pub const MAX_CAPACITY: u32 = 10_000_000;

/// Maximum number of problems that [`parse_lists`] reports; bounds the response to an invalid file.
pub const MAX_PROBLEMS: usize = 1000;

/// Maximum weight of a grant in a traffic split.
pub const MAX_WEIGHT: u32 = 1_000_000;

/// Maximum value of `attempts` in a grant: the number of backend servers to which one call is sent.
pub const MAX_ATTEMPTS: u32 = 100;

/// Names of the announced backend servers, by service.
pub type AnnouncedServers = BTreeMap<ServiceName, BTreeSet<ServerName>>;

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

/// An invalid or questionable value and its location in the list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Problem {
    /// The list that holds the value.
    pub list: List,
    /// Line, starting at 1; 0 if unknown.
    pub line: u64,
    /// Column, starting at 1; 0 if unknown.
    pub column: u64,
    /// The value and what is wrong with it.
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

/// Line and column of a value, both starting at 1; 0 if unknown.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Location {
    pub(crate) line: u64,
    pub(crate) column: u64,
}

impl Location {
    pub(crate) fn problem(self, list: List, reason: String) -> Problem {
        Problem {
            list,
            line: self.line,
            column: self.column,
            reason,
        }
    }
}

/// Locations of the names in a grant, for warnings.
#[derive(Clone, Debug, Default)]
pub(crate) struct GrantLocations {
    pub(crate) service: Location,
    pub(crate) servers: Vec<Location>,
}

/// Both lists after validation. Locations are ignored in comparisons.
#[derive(Clone, Debug, Default)]
pub struct Lists {
    /// Plans, sorted by name.
    pub plans: IndexMap<PlanName, Plan>,
    /// Grants, sorted by plan, service and path.
    pub grants: IndexMap<GrantKey, Grant>,
    /// Locations of the names in each grant; empty if the lists were not parsed from text.
    pub(crate) locations: IndexMap<GrantKey, GrantLocations>,
}

impl PartialEq for Lists {
    fn eq(&self, other: &Self) -> bool {
        self.plans == other.plans && self.grants == other.grants
    }
}

impl Eq for Lists {}

impl Lists {
    /// Returns the lists of `cfg`, without locations.
    pub fn from_config(cfg: &Config) -> Self {
        Self {
            plans: cfg.plans.clone(),
            grants: cfg.grants.clone(),
            locations: IndexMap::new(),
        }
    }

    /// Returns the lists as the configuration with the given version.
    pub fn into_config(self, version: Version) -> Config {
        Config {
            version,
            plans: self.plans,
            grants: self.grants,
        }
    }
}

/// Returns a warning for each service or backend server in the grants that has not been announced.
/// Such a name is valid: the route exists, and its calls are refused until a server is announced.
pub fn warnings(lists: &Lists, announced: &AnnouncedServers) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (key, grant) in &lists.grants {
        let locations = lists.locations.get(key).cloned().unwrap_or_default();
        let Some(servers) = announced.get(&grant.service) else {
            let reason = format!(
                "service {:?} is not announced by any backend server",
                grant.service
            );
            problems.push(locations.service.problem(List::Grants, reason));
            continue;
        };
        for (index, server) in grant.servers.iter().enumerate() {
            if servers.contains(server) {
                continue;
            }
            let location = locations.servers.get(index).copied().unwrap_or_default();
            let reason = format!(
                "backend server {server:?} is not announced for service {:?}",
                grant.service
            );
            problems.push(location.problem(List::Grants, reason));
        }
    }
    problems
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

/// Renders the plans as canonical YAML, sorted by name.
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

/// Renders the grants as canonical YAML, sorted by plan, service and path.
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
            timeout: grant.terms.timeout_ms.map(format_millis),
            target_latency: grant.terms.target_ms.map(format_millis),
            attempts: grant.terms.attempts,
            note: grant.terms.note.as_deref(),
        })
        .collect();
    grants.sort_by_key(|grant| (grant.plan, grant.service, grant.path));
    to_yaml(&GrantsFile { grants })
}

fn format_millis(ms: u64) -> String {
    format!("{ms}ms")
}

fn to_yaml<T: Serialize>(file: &T) -> String {
    // Structs of strings and numbers can always be serialised, and writing to a `String` can't
    // fail.
    yaml::render(file).expect("lists can be written as YAML")
}
