//! Store of one configuration, the version of the last change of each record, and the tombstones
//! of removed records.

use {
    super::{
        change::{ApplyError, Change, MAX_RECORDS, check_edit, check_references},
        delta::ConfigDelta,
        digest::{RecordSum, grant_hash, plan_hash},
    },
    crate::model::{Config, Digest, GrantKey, PlanName, Version},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashSet},
        sync::Arc,
    },
};

/// Maximum number of tombstones of each list; above it, the older half is discarded. At 3,700 edits
/// a day that each remove one record, a child may be disconnected for half a day to a day before it
/// needs a full copy.
pub const MAX_TOMBSTONES: usize = 4_096;

/// Configuration at one version, with the history needed to make deltas from older versions.
///
/// ```
/// use anvilbeam::{model::*, versions::{Change, ConfigStore}};
/// let plan = Plan { name: "bureau".into(), key_hashes: vec![], home_region: "fukuoka".into() };
/// let mut control = ConfigStore::with_config(Config::default());
/// control.edit(&Change { plans: vec![plan], ..Change::default() }).unwrap();
/// let mut daemon = ConfigStore::new();
/// daemon.raise_floor(Version(1));
/// assert!(daemon.in_force().is_none());
/// daemon.apply(&control.delta_since(daemon.version()).unwrap()).unwrap();
/// assert_eq!(daemon.in_force().unwrap().version, Version(1));
/// ```
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ConfigStore {
    config: Arc<Config>,
    sum: RecordSum,
    /// Version of the last change of each plan.
    plan_changed: IndexMap<PlanName, Version>,
    /// Version of the last change of each grant.
    grant_changed: IndexMap<GrantKey, Version>,
    /// Tombstones: the version that removed each plan.
    removed_plans: BTreeMap<PlanName, Version>,
    /// Tombstones: the version that removed each grant.
    removed_grants: BTreeMap<GrantKey, Version>,
    /// Oldest version since which all removals have a tombstone.
    tombstones_since: Version,
    /// Minimum version that may be in force; `None` if unknown.
    floor: Option<Version>,
}

impl ConfigStore {
    /// Creates the empty store of a process without stored state. No version is in force until a
    /// floor is set and reached.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates the store of a configuration that is known to be current, as at control; it is in
    /// force at once.
    pub fn with_config(config: Config) -> Self {
        let sum = RecordSum::of(&config);
        let version = config.version;
        let plans = config.plans.keys().map(|name| (name.clone(), version));
        let grants = config.grants.keys().map(|key| (key.clone(), version));
        Self {
            plan_changed: plans.collect(),
            grant_changed: grants.collect(),
            sum,
            tombstones_since: version,
            floor: Some(Version(0)),
            config: Arc::new(config),
            ..Self::default()
        }
    }

    /// Returns the stored version, in force or not.
    pub fn version(&self) -> Version {
        self.config.version
    }

    /// Returns the stored configuration, in force or not.
    pub const fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the digest of the stored configuration.
    pub fn digest(&self) -> Digest {
        self.sum.digest(self.version())
    }

    /// Raises the floor, which is the minimum version that may be in force.
    ///
    /// The floor only delays a process that starts. Once a version is in force, a higher floor
    /// doesn't revoke it, because refusing all calls would be worse than routing by a version that
    /// is about to be replaced.
    pub fn raise_floor(&mut self, version: Version) {
        if self.in_force().is_none() {
            self.floor = self.floor.max(Some(version));
        }
    }

    /// Returns the floor; `None` if it is unknown.
    pub const fn floor(&self) -> Option<Version> {
        self.floor
    }

    /// Returns the configuration in force; `None` until a floor is known and reached.
    pub fn in_force(&self) -> Option<&Arc<Config>> {
        let floor = self.floor?;
        (self.version() >= floor).then_some(&self.config)
    }

    /// Returns one delta from `version` to the stored version; `None` if `version` is not older.
    ///
    /// It is a full copy if tombstones since `version` have been discarded.
    pub fn delta_since(&self, version: Version) -> Option<ConfigDelta> {
        if version >= self.version() {
            return None;
        }
        let full = version < self.tombstones_since || version == Version(0);
        let change = if full {
            self.full_change()
        } else {
            self.changes_since(version)
        };
        Some(ConfigDelta {
            from: version,
            to: self.version(),
            digest: self.digest(),
            full,
            change,
        })
    }

    fn full_change(&self) -> Change {
        Change {
            plans: self.config.plans.values().cloned().collect(),
            grants: self.config.grants.values().cloned().collect(),
            ..Change::default()
        }
    }

    fn changes_since(&self, version: Version) -> Change {
        let newer = |changed: Option<&Version>| changed.is_some_and(|changed| *changed > version);
        let plans = self.config.plans.values();
        let grants = self.config.grants.iter();
        Change {
            plans: plans
                .filter(|plan| newer(self.plan_changed.get(&plan.name)))
                .cloned()
                .collect(),
            removed_plans: removed_since(&self.removed_plans, version),
            grants: grants
                .filter(|(key, _)| newer(self.grant_changed.get(*key)))
                .map(|(_, grant)| grant.clone())
                .collect(),
            removed_grants: removed_since(&self.removed_grants, version),
        }
    }

    /// Applies a delta and returns the new configuration.
    ///
    /// # Errors
    /// [`ApplyError`], with the versions or the record; the store is unchanged.
    pub fn apply(&mut self, delta: &ConfigDelta) -> Result<Arc<Config>, ApplyError> {
        let (current, to) = (self.version(), delta.to);
        if to <= current {
            return Err(ApplyError::NotNewer { current, to });
        }
        if delta.full {
            return self.replace(delta);
        }
        let from = delta.from;
        if from != current {
            return Err(ApplyError::WrongBase { current, from, to });
        }
        check_references(&self.config, &delta.change, to)?;
        let sum = self.sum_after(&delta.change);
        check_digest(delta, &sum)?;
        self.commit(&delta.change, to, sum);
        Ok(Arc::clone(&self.config))
    }

    /// Creates the next version from a change, at control.
    ///
    /// # Errors
    /// [`ApplyError`], with the version and the record; the store is unchanged.
    pub fn edit(&mut self, change: &Change) -> Result<Arc<Config>, ApplyError> {
        let to = self.version().next();
        check_references(&self.config, change, to)?;
        check_edit(&self.config, change, to)?;
        let sum = self.sum_after(change);
        for records in self.sizes_after(change) {
            if records > MAX_RECORDS {
                return Err(ApplyError::TooMany { to, records });
            }
        }
        self.commit(change, to, sum);
        Ok(Arc::clone(&self.config))
    }

    /// Returns whether a store that was loaded from a snapshot is consistent: the order of the
    /// records, the plan of each grant, and the digest.
    pub(crate) fn is_intact(&self) -> bool {
        let cfg = &self.config;
        cfg.plans.keys().is_sorted()
            && cfg.grants.keys().is_sorted()
            && cfg.plans.iter().all(|(name, plan)| *name == plan.name)
            && cfg.grants.iter().all(|(key, grant)| *key == grant.key())
            && cfg
                .grants
                .keys()
                .all(|key| cfg.plans.contains_key(&key.plan))
            && RecordSum::of(cfg) == self.sum
    }

    fn replace(&mut self, delta: &ConfigDelta) -> Result<Arc<Config>, ApplyError> {
        let empty = Config::default();
        check_references(&empty, &delta.change, delta.to)?;
        let mut next = Self {
            floor: self.floor,
            ..Self::default()
        };
        let sum = next.sum_after(&delta.change);
        check_digest(delta, &sum)?;
        next.commit(&delta.change, delta.to, sum);
        // A full copy contains no tombstones of earlier removals.
        next.tombstones_since = delta.to;
        *self = next;
        Ok(Arc::clone(&self.config))
    }

    fn sum_after(&self, change: &Change) -> RecordSum {
        let mut sum = self.sum;
        let named = change.plans.iter().map(|plan| &plan.name);
        for name in named.chain(&change.removed_plans) {
            if let Some(old) = self.config.plans.get(name) {
                sum.subtract(plan_hash(old));
            }
        }
        for old in change
            .grants
            .iter()
            .map(crate::model::Grant::key)
            .chain(change.removed_grants.iter().cloned())
        {
            if let Some(old) = self.config.grants.get(&old) {
                sum.subtract(grant_hash(old));
            }
        }
        change
            .plans
            .iter()
            .for_each(|plan| sum.add(plan_hash(plan)));
        change
            .grants
            .iter()
            .for_each(|grant| sum.add(grant_hash(grant)));
        sum
    }

    fn sizes_after(&self, change: &Change) -> [usize; 2] {
        let cfg = &self.config;
        let new_plans = change
            .plans
            .iter()
            .filter(|plan| !cfg.plans.contains_key(&plan.name));
        let new_grants = change
            .grants
            .iter()
            .filter(|grant| !cfg.grants.contains_key(&grant.key()));
        [
            (cfg.plans.len() + new_plans.count()).saturating_sub(change.removed_plans.len()),
            (cfg.grants.len() + new_grants.count()).saturating_sub(change.removed_grants.len()),
        ]
    }

    /// Applies a change that has passed all checks.
    fn commit(&mut self, change: &Change, to: Version, sum: RecordSum) {
        let cfg = Arc::make_mut(&mut self.config);
        cfg.version = to;
        let removed: HashSet<_> = change.removed_plans.iter().collect();
        if !removed.is_empty() {
            cfg.plans.retain(|name, _| !removed.contains(name));
        }
        let removed: HashSet<_> = change.removed_grants.iter().collect();
        if !removed.is_empty() {
            cfg.grants.retain(|key, _| !removed.contains(key));
        }
        let (plans, grants) = (cfg.plans.len(), cfg.grants.len());
        for plan in &change.plans {
            cfg.plans.insert(plan.name.clone(), plan.clone());
            self.plan_changed.insert(plan.name.clone(), to);
            self.removed_plans.remove(&plan.name);
        }
        for grant in &change.grants {
            let key = grant.key();
            cfg.grants.insert(key.clone(), grant.clone());
            self.removed_grants.remove(&key);
            self.grant_changed.insert(key, to);
        }
        // New records were appended: one sort of a nearly sorted list costs less than an insertion
        // in the middle for each record.
        if cfg.plans.len() > plans {
            cfg.plans.sort_keys();
        }
        if cfg.grants.len() > grants {
            cfg.grants.sort_keys();
        }
        for name in &change.removed_plans {
            self.plan_changed.swap_remove(name);
            self.removed_plans.insert(name.clone(), to);
        }
        for key in &change.removed_grants {
            self.grant_changed.swap_remove(key);
            self.removed_grants.insert(key.clone(), to);
        }
        self.sum = sum;
        let dropped = prune(&mut self.removed_plans).max(prune(&mut self.removed_grants));
        self.tombstones_since = self.tombstones_since.max(dropped);
    }
}

fn check_digest(delta: &ConfigDelta, sum: &RecordSum) -> Result<(), ApplyError> {
    let (to, expected) = (delta.to, delta.digest);
    let actual = sum.digest(to);
    if actual != expected {
        return Err(ApplyError::Digest {
            to,
            expected,
            actual,
        });
    }
    Ok(())
}

fn removed_since<K: Clone + Ord>(removed: &BTreeMap<K, Version>, version: Version) -> Vec<K> {
    let newer = removed.iter().filter(|(_, at)| **at > version);
    newer.map(|(key, _)| key.clone()).collect()
}

/// Discards the older half of the tombstones if there are more than [`MAX_TOMBSTONES`]; returns the
/// newest version among the discarded ones, or 0 if there are none.
fn prune<K: Clone + Ord>(removed: &mut BTreeMap<K, Version>) -> Version {
    if removed.len() <= MAX_TOMBSTONES {
        return Version(0);
    }
    let mut versions: Vec<_> = removed.values().copied().collect();
    versions.sort_unstable();
    let last = versions[versions.len() / 2];
    removed.retain(|_, at| *at > last);
    last
}
