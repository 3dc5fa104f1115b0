//! Comparison of two versions of the lists.

use {
    super::{List, Lists},
    crate::model::{Digest, Grant, Plan, ServerName},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, fmt},
    strum::Display,
};

/// How an entry differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Action {
    /// Only the new lists contain the entry.
    Added,
    /// Only the old lists contain the entry.
    Removed,
    /// Both contain the entry, with different values.
    Changed,
}

/// One difference between two versions. `Display` writes one line of text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// List that differs.
    pub list: List,
    /// How the entry differs.
    pub action: Action,
    /// Name of the plan.
    pub plan: String,
    /// Name of the service of a grant; `None` for a plan.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Values of an added entry, or old and new values such as `capacity 50 -> 80`; empty for a
    /// removed entry, and for a grant of which only the terms have changed.
    pub details: Vec<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let marker = match self.action {
            Action::Added => '+',
            Action::Removed => '-',
            Action::Changed => '~',
        };
        match &self.service {
            Some(service) => write!(f, "{marker} grant {} -> {service}", self.plan)?,
            None => write!(f, "{marker} plan {}", self.plan)?,
        }
        if self.details.is_empty() {
            return Ok(());
        }
        write!(f, ": {}", self.details.join(", "))
    }
}

/// Returns the differences from `old` to `new`: plans sorted by name, then grants sorted by plan,
/// service and path.
///
/// ```
/// use anvilbeam::lists::{parse_lists, diff};
/// let plans = "plans: [{ name: depot, key_hashes: [], home_region: lothian }]";
/// let old = parse_lists("plans: []", "grants: []").unwrap();
/// let new = parse_lists(plans, "grants: []").unwrap();
/// let changes = diff(&old, &new);
/// assert_eq!(changes[0].to_string(), "+ plan depot: home_region lothian, 0 keys");
/// ```
pub fn diff(old: &Lists, new: &Lists) -> Vec<Change> {
    let plans: BTreeSet<_> = old.plans.keys().chain(new.plans.keys()).collect();
    let plans = plans.into_iter().filter_map(|name| {
        let (action, details) = compare(
            old.plans.get(name),
            new.plans.get(name),
            describe_plan,
            compare_plans,
        )?;
        Some(Change {
            list: List::Plans,
            action,
            plan: name.to_string(),
            service: None,
            details,
        })
    });
    let grants: BTreeSet<_> = old.grants.keys().chain(new.grants.keys()).collect();
    let grants = grants.into_iter().filter_map(|key| {
        let (action, details) = compare(
            old.grants.get(key),
            new.grants.get(key),
            describe_grant,
            compare_grants,
        )?;
        Some(Change {
            list: List::Grants,
            action,
            plan: key.plan.to_string(),
            service: Some(key.service.to_string()),
            details,
        })
    });
    plans.chain(grants).collect()
}

fn compare<T: PartialEq>(
    old: Option<&T>,
    new: Option<&T>,
    describe: impl Fn(&T) -> Vec<String>,
    compare: impl Fn(&T, &T) -> Vec<String>,
) -> Option<(Action, Vec<String>)> {
    match (old, new) {
        (None, None) => None,
        (None, Some(new)) => Some((Action::Added, describe(new))),
        (Some(_), None) => Some((Action::Removed, Vec::new())),
        (Some(old), Some(new)) if old == new => None,
        (Some(old), Some(new)) => Some((Action::Changed, compare(old, new))),
    }
}

fn describe_plan(plan: &Plan) -> Vec<String> {
    vec![
        format!("home_region {}", plan.home_region),
        format!("{} keys", plan.key_hashes.len()),
    ]
}

fn compare_plans(old: &Plan, new: &Plan) -> Vec<String> {
    let mut details = Vec::new();
    if old.home_region != new.home_region {
        details.push(format!(
            "home_region {} -> {}",
            old.home_region, new.home_region
        ));
    }
    let old_keys: BTreeSet<_> = old.key_hashes.iter().collect();
    let new_keys: BTreeSet<_> = new.key_hashes.iter().collect();
    let added = new_keys.difference(&old_keys);
    details.extend(added.map(|hash| format!("key {} added", short_hash(hash))));
    let removed = old_keys.difference(&new_keys);
    details.extend(removed.map(|hash| format!("key {} removed", short_hash(hash))));
    if details.is_empty() {
        details.push("keys in another order".to_owned());
    }
    details
}

fn describe_grant(grant: &Grant) -> Vec<String> {
    vec![
        format!("servers {}", format_servers(grant)),
        format!("capacity {}", grant.capacity),
        format!("rank {}", grant.rank),
    ]
}

fn compare_grants(old: &Grant, new: &Grant) -> Vec<String> {
    let mut details = Vec::new();
    if old.servers != new.servers {
        details.push(format!(
            "servers {} -> {}",
            format_servers(old),
            format_servers(new)
        ));
    }
    if old.capacity != new.capacity {
        details.push(format!("capacity {} -> {}", old.capacity, new.capacity));
    }
    if old.rank != new.rank {
        details.push(format!("rank {} -> {}", old.rank, new.rank));
    }
    details
}

fn format_servers(grant: &Grant) -> String {
    if grant.servers.is_empty() {
        return "all".to_owned();
    }
    let names: Vec<_> = grant.servers.iter().map(ServerName::as_str).collect();
    names.join("+")
}

/// Returns the first 8 hexadecimal digits, which suffice to tell the keys of one plan apart.
fn short_hash(hash: &Digest) -> String {
    hash.to_string()[..8].to_owned()
}
