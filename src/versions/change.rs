//! Changes to the lists of plans and grants, their validation and its errors.

use {
    crate::model::{Config, Digest, Grant, GrantKey, Plan, PlanName, Version},
    serde::{Deserialize, Serialize},
    std::{
        collections::{HashMap, HashSet},
        fmt,
    },
};

/// Maximum number of plans, and of grants, in a configuration; ten times the design size.
pub const MAX_RECORDS: usize = 50_000;

/// Maximum total length of the names and keys in one record, in bytes; keeps each record within one
/// message.
pub const MAX_RECORD_BYTES: usize = 256 * 1024;

/// Upserts and removals of plans and grants.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Plans that are new or have changed.
    pub plans: Vec<Plan>,
    /// Plans that no longer exist.
    pub removed_plans: Vec<PlanName>,
    /// Grants that are new or have changed.
    pub grants: Vec<Grant>,
    /// Grants that no longer exist.
    pub removed_grants: Vec<GrantKey>,
}

impl Change {
    /// Returns the number of records that are upserted or removed.
    pub const fn len(&self) -> usize {
        self.plans.len() + self.removed_plans.len() + self.grants.len() + self.removed_grants.len()
    }

    /// Returns whether nothing is upserted or removed.
    pub const fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Identifies one record of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A plan.
    Plan(PlanName),
    /// A grant.
    Grant(GrantKey),
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Plan(name) => write!(f, "plan {name:?}"),
            Self::Grant(key) => write!(f, "grant of {:?} to plan {:?}", key.service, key.plan),
        }
    }
}

/// Reason why a delta or an edit was not applied; the store is unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyError {
    /// The delta doesn't produce a newer version.
    NotNewer {
        /// Version in the store.
        current: Version,
        /// Version that the delta produces.
        to: Version,
    },
    /// The delta applies to another version.
    WrongBase {
        /// Version in the store.
        current: Version,
        /// Version to which the delta applies.
        from: Version,
        /// Version that the delta produces.
        to: Version,
    },
    /// The digest of the result differs from the digest in the delta.
    Digest {
        /// Version that the delta produces.
        to: Version,
        /// Digest in the delta.
        expected: Digest,
        /// Digest of the result.
        actual: Digest,
    },
    /// A record of the change is invalid.
    Record {
        /// Version that the change would have produced.
        to: Version,
        /// The record.
        record: Record,
        /// Why the record is invalid.
        reason: &'static str,
    },
    /// The change contains no records.
    Empty {
        /// Version that the change would have produced.
        to: Version,
    },
    /// A list of the result would contain more records than [`MAX_RECORDS`].
    TooMany {
        /// Version that the change would have produced.
        to: Version,
        /// Number of plans or grants in the result.
        records: usize,
    },
}

impl fmt::Display for ApplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotNewer { current, to } => {
                write!(f, "version {to} is not newer than version {current}")
            }
            Self::WrongBase { current, from, to } => write!(
                f,
                "delta from version {from} to {to} does not apply to version {current}"
            ),
            Self::Digest {
                to,
                expected,
                actual,
            } => write!(
                f,
                "version {to} has digest {actual}, but the delta expects {expected}"
            ),
            Self::Record { to, record, reason } => write!(f, "version {to}: {record} {reason}"),
            Self::Empty { to } => write!(f, "version {to}: the change contains no records"),
            Self::TooMany { to, records } => write!(
                f,
                "version {to}: {records} records of one list exceed the limit of {MAX_RECORDS}"
            ),
        }
    }
}

impl std::error::Error for ApplyError {}

/// Checks that each record occurs only once in `change` and that the plan of each grant exists in
/// the result.
pub(super) fn check_references(
    cfg: &Config,
    change: &Change,
    to: Version,
) -> Result<(), ApplyError> {
    let fail = |record, reason| Err(ApplyError::Record { to, record, reason });
    let mut plans = HashSet::with_capacity(change.plans.len());
    for plan in &change.plans {
        if !plans.insert(&plan.name) {
            return fail(Record::Plan(plan.name.clone()), "occurs twice");
        }
    }
    let mut removed = HashSet::with_capacity(change.removed_plans.len());
    for name in &change.removed_plans {
        if !removed.insert(name) {
            return fail(Record::Plan(name.clone()), "is removed twice");
        }
    }
    if let Some(name) = removed.iter().find(|name| plans.contains(*name)) {
        return fail(Record::Plan((*name).clone()), "is both set and removed");
    }
    let mut grants = HashSet::with_capacity(change.grants.len());
    for grant in &change.grants {
        let key = grant.key();
        let known = plans.contains(&grant.plan)
            || (cfg.plans.contains_key(&grant.plan) && !removed.contains(&grant.plan));
        if !known {
            return fail(Record::Grant(key), "refers to a plan that does not exist");
        }
        if !grants.insert(key.clone()) {
            return fail(Record::Grant(key), "occurs twice");
        }
    }
    let mut removed_grants = HashSet::with_capacity(change.removed_grants.len());
    for key in &change.removed_grants {
        if !removed_grants.insert(key) {
            return fail(Record::Grant(key.clone()), "is removed twice");
        }
    }
    if let Some(key) = removed_grants.iter().find(|key| grants.contains(**key)) {
        return fail(Record::Grant((*key).clone()), "is both set and removed");
    }
    for name in removed {
        let remaining = grants_of(cfg, name).find(|key| !removed_grants.contains(key));
        if let Some(key) = remaining {
            return fail(
                Record::Grant(key.clone()),
                "refers to a plan that is removed",
            );
        }
    }
    Ok(())
}

/// Checks the rules for edits: the change contains records of limited size, removes only existing
/// records, and no two plans share a key. Deltas are made from accepted edits and keep these rules.
pub(super) fn check_edit(cfg: &Config, change: &Change, to: Version) -> Result<(), ApplyError> {
    let fail = |record, reason| Err(ApplyError::Record { to, record, reason });
    if change.is_empty() {
        return Err(ApplyError::Empty { to });
    }
    for plan in &change.plans {
        let size = plan.key_hashes.len() * size_of::<Digest>()
            + plan.name.as_str().len()
            + plan.home_region.as_str().len();
        if size > MAX_RECORD_BYTES {
            return fail(Record::Plan(plan.name.clone()), "is too large");
        }
    }
    for grant in &change.grants {
        let names: usize = grant
            .servers
            .iter()
            .map(|name| name.as_str().len() + 8)
            .sum();
        let fixed = grant.plan.as_str().len() + grant.service.as_str().len();
        let note = grant.terms.note.as_ref().map_or(0, String::len);
        if names + fixed + grant.path.as_str().len() + note > MAX_RECORD_BYTES {
            return fail(Record::Grant(grant.key()), "is too large");
        }
    }
    let missing = |name: &&PlanName| !cfg.plans.contains_key(*name);
    if let Some(name) = change.removed_plans.iter().find(missing) {
        return fail(Record::Plan(name.clone()), "is removed but does not exist");
    }
    let missing = |key: &&GrantKey| !cfg.grants.contains_key(*key);
    if let Some(key) = change.removed_grants.iter().find(missing) {
        return fail(Record::Grant(key.clone()), "is removed but does not exist");
    }
    check_keys(cfg, change, to)
}

fn check_keys(cfg: &Config, change: &Change, to: Version) -> Result<(), ApplyError> {
    if change.plans.is_empty() {
        return Ok(());
    }
    let replaced: HashSet<_> = change.plans.iter().map(|plan| &plan.name).collect();
    let removed: HashSet<_> = change.removed_plans.iter().collect();
    let kept = cfg
        .plans
        .values()
        .filter(|plan| !replaced.contains(&plan.name) && !removed.contains(&plan.name));
    let mut owners = HashMap::new();
    for plan in kept.chain(&change.plans) {
        for key in &plan.key_hashes {
            if owners.insert(key, &plan.name).is_some() {
                let record = Record::Plan(plan.name.clone());
                let reason = "has a key hash that occurs twice";
                return Err(ApplyError::Record { to, record, reason });
            }
        }
    }
    Ok(())
}

/// Returns the keys of the grants of one plan. Requires grants that are sorted by plan.
fn grants_of<'a>(cfg: &'a Config, plan: &'a PlanName) -> impl Iterator<Item = &'a GrantKey> {
    let first = cfg.grants.partition_point(|key, _| key.plan < *plan);
    (first..cfg.grants.len())
        .filter_map(|i| cfg.grants.get_index(i))
        .map(|(key, _)| key)
        .take_while(move |key| key.plan == *plan)
}
