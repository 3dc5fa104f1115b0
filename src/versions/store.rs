//! The store: one configuration, when each record changed, and what was removed.

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

/// Most removed records that are remembered. At 3,700 edits a day that each remove one record,
/// a child may be away for a day before it needs a full copy.
pub const MAX_TOMBSTONES: usize = 4_096;

/// Configuration at one version, with what is needed to bring others up to it.
///
/// ```
/// use anvilbeam::{model::*, versions::{Change, ConfigStore}};
/// let plan = Plan { name: "bureau".into(), key_hashes: vec![], home_region: "fukuoka".into() };
/// let mut control = ConfigStore::with_config(Config::default());
/// control.edit(&Change { plans: vec![plan], ..Change::default() }).unwrap();
/// let mut daemon = ConfigStore::new();
/// daemon.require(Version(1));
/// assert!(daemon.in_force().is_none());
/// daemon.apply(&control.delta_since(daemon.version()).unwrap()).unwrap();
/// assert_eq!(daemon.in_force().unwrap().version, Version(1));
/// ```
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ConfigStore {
    config: Arc<Config>,
    sum: RecordSum,
    plan_changed: IndexMap<PlanName, Version>,
    grant_changed: IndexMap<GrantKey, Version>,
    removed_plans: BTreeMap<PlanName, Version>,
    removed_grants: BTreeMap<GrantKey, Version>,
    /// Oldest version from which a delta knows all removals.
    reach: Version,
    floor: Option<Version>,
}

impl ConfigStore {
    /// Empty store of a process that starts without a disk. Nothing is in force until a floor is
    /// set and reached.
    pub fn new() -> Self {
        Self::default()
    }

    /// Store over a configuration that is known to be current, as on control; in force at once.
    pub fn with_config(config: Config) -> Self {
        let sum = RecordSum::of(&config);
        let version = config.version;
        let plans = config.plans.keys().map(|name| (name.clone(), version));
        let grants = config.grants.keys().map(|key| (key.clone(), version));
        Self {
            plan_changed: plans.collect(),
            grant_changed: grants.collect(),
            sum,
            reach: version,
            floor: Some(Version(0)),
            config: Arc::new(config),
            ..Self::default()
        }
    }

    /// The version held, in force or not.
    pub fn version(&self) -> Version {
        self.config.version
    }

    /// The configuration held, in force or not.
    pub const fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Digest of the configuration held.
    pub fn digest(&self) -> Digest {
        self.sum.digest(self.version())
    }

    /// Raises the floor: the version that must be reached before anything is in force.
    ///
    /// It only holds back a process that starts. Once a version is in force, a higher floor
    /// doesn't withdraw it, because refusing all calls would be worse than routing by a version
    /// that is about to be replaced.
    pub fn require(&mut self, version: Version) {
        if self.in_force().is_none() {
            self.floor = self.floor.max(Some(version));
        }
    }

    /// The floor, if one is known.
    pub const fn floor(&self) -> Option<Version> {
        self.floor
    }

    /// The configuration in force; `None` until a floor is known and reached.
    pub fn in_force(&self) -> Option<&Arc<Config>> {
        let floor = self.floor?;
        (self.version() >= floor).then_some(&self.config)
    }

    /// One delta that brings a child from `version` to the version held; `None` when the child
    /// is current or ahead.
    ///
    /// It is a full copy when the removals since `version` are no longer known.
    pub fn delta_since(&self, version: Version) -> Option<ConfigDelta> {
        if version >= self.version() {
            return None;
        }
        let full = version < self.reach || version == Version(0);
        let change = if full {
            self.everything()
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

    fn everything(&self) -> Change {
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
            removed_plans: keys_after(&self.removed_plans, version),
            grants: grants
                .filter(|(key, _)| newer(self.grant_changed.get(*key)))
                .map(|(_, grant)| grant.clone())
                .collect(),
            removed_grants: keys_after(&self.removed_grants, version),
        }
    }

    /// Applies a delta and returns the new configuration.
    ///
    /// # Errors
    /// [`ApplyError`] names the versions and the record; the store is unchanged.
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

    /// Makes the next version from a change, on control.
    ///
    /// # Errors
    /// [`ApplyError`] names the version and the record; the store is unchanged.
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

    /// Checks a store that was read back from a snapshot: order, references and digest.
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
        // What was removed before the full copy was made is not known.
        next.reach = delta.to;
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

    /// Writes a change that has passed all checks.
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
        // New records were appended; one sort of a nearly sorted list costs less than an
        // insertion in the middle for each.
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
        self.reach = self.reach.max(dropped);
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

fn keys_after<K: Clone + Ord>(removed: &BTreeMap<K, Version>, version: Version) -> Vec<K> {
    let newer = removed.iter().filter(|(_, at)| **at > version);
    newer.map(|(key, _)| key.clone()).collect()
}

/// Drops the oldest half of too many tombstones; returns the newest version among them.
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
