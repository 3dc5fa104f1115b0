//! Client accounts: which account a request belongs to, its quota and its weight.
//!
//! Addressed load: callers that share the mesh and of which one sends far more than usual, with a key
//! that may have been revoked. The functions are pure; `crate::daemon` executes their decisions.
//!
//! An account is stored as a plan whose name begins with [`PLAN_PREFIX`], with the hashes of its keys,
//! and one grant for [`QUOTA_SERVICE`] whose capacity is the rate of the account. Neither name is valid
//! for a plan or service of an operator, so the records cannot collide, and what is written to disk and
//! sent to other processes is unchanged while there are no accounts.
//!
//! See `docs/design/accounts.md`.

pub mod quota;
#[cfg(test)]
mod tests;

use {
    crate::model::{Digest, GrantKey, PathPrefix, PlanName, Rank, ServiceName, UNLIMITED, Version},
    http::{HeaderMap, header},
    std::{
        collections::{HashMap, HashSet},
        str::FromStr,
        sync::Arc,
    },
};

/// Begin of the name of the plan that stores an account.
pub const PLAN_PREFIX: &str = "account:";
/// Service of the grant that stores the quota of an account.
pub const QUOTA_SERVICE: &str = "account:quota";
/// Maximum length of the name of an account in bytes.
pub const MAX_NAME: usize = 63;

/// Returns the plan that stores the account `name`.
pub fn plan_of(name: &str) -> PlanName {
    PlanName::from(format!("{PLAN_PREFIX}{name}").as_str())
}

/// Returns the name of the account that `plan` stores; `None` for the plan of an operator.
///
/// ```
/// use anvilbeam::accounts::{account_of, plan_of};
/// assert_eq!(account_of(plan_of("depot").as_str()), Some("depot"));
/// assert_eq!(account_of("offices.example"), None);
/// ```
pub fn account_of(plan: &str) -> Option<&str> {
    plan.strip_prefix(PLAN_PREFIX)
}

/// Returns the key of the grant that stores the quota of the account of `plan`.
pub fn quota_key(plan: PlanName) -> GrantKey {
    GrantKey {
        plan,
        service: ServiceName::from(QUOTA_SERVICE),
        path: PathPrefix::default(),
    }
}

/// Checks the name of an account: 1 to 63 visible ASCII characters, so that it is a header value.
///
/// # Errors
/// What is wrong with `name`.
pub fn check_account_name(name: &str) -> Result<(), String> {
    if name.is_empty() || name.len() > MAX_NAME {
        let length = name.len();
        return Err(format!(
            "name of {length} bytes, expected 1 to {MAX_NAME} bytes"
        ));
    }
    if !name.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(format!(
            "name {name:?} contains a character that is not visible ASCII"
        ));
    }
    Ok(())
}

/// One account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Plan that stores the account.
    pub plan: PlanName,
    /// Requests per second over all daemons; [`UNLIMITED`] sets no limit.
    pub rate: u32,
    /// Requests beyond the rate that may run at once.
    pub burst: u32,
    /// Rank of the requests; `None` keeps the rank of the grant.
    pub rank: Option<Rank>,
}

impl Account {
    /// Returns the name of the account.
    pub fn name(&self) -> &str {
        account_of(self.plan.as_str()).unwrap_or_default()
    }
}

/// All accounts of a configuration, and the grants that need no key.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    by_plan: HashMap<PlanName, Arc<Account>>,
    by_key: HashMap<Digest, Arc<Account>>,
    open: HashSet<GrantKey>,
    /// Sum of the weights.
    total_weight: u32,
    /// Weight of an account without a limit.
    unlimited_weight: u32,
}

/// What a request says about its account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credentials {
    /// There is no `authorization` header.
    Absent,
    /// The header is repeated, or holds no key.
    Invalid,
    /// The digest of the key.
    Key(Digest),
}

impl Credentials {
    /// Reads the credentials of a request.
    ///
    /// ```
    /// use anvilbeam::{accounts::Credentials, model::Digest};
    /// let mut headers = http::HeaderMap::new();
    /// assert_eq!(Credentials::read(&headers), Credentials::Absent);
    /// headers.insert("authorization", "Bearer k1".parse().unwrap());
    /// assert_eq!(Credentials::read(&headers), Credentials::Key(Digest::of(b"k1")));
    /// headers.append("authorization", "Bearer k1".parse().unwrap());
    /// assert_eq!(Credentials::read(&headers), Credentials::Invalid);
    /// ```
    pub fn read(headers: &HeaderMap) -> Self {
        let mut values = headers.get_all(header::AUTHORIZATION).iter();
        let Some(value) = values.next() else {
            return Self::Absent;
        };
        let text = value.to_str().ok().filter(|_| values.next().is_none());
        let Some((scheme, key)) = text.and_then(|text| text.split_once(' ')) else {
            return Self::Invalid;
        };
        let key = key.trim();
        if !scheme.eq_ignore_ascii_case("bearer") || key.is_empty() {
            return Self::Invalid;
        }
        Self::Key(Digest::of(key.as_bytes()))
    }
}

/// The key of a request belongs to no account, or the request has none although it needs one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownKey;

/// Account of one call, as the entry daemon sends it to the owner daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallAccount {
    /// Plan that stores the account.
    pub plan: PlanName,
    /// Weight of the account among the calls of a rank.
    pub weight: u32,
    /// Digest of the key of the request.
    pub key: Digest,
    /// Version by which the key was found.
    pub version: Version,
}

impl CallAccount {
    /// Returns the name of the account.
    pub fn name(&self) -> &str {
        account_of(self.plan.as_str()).unwrap_or_default()
    }

    /// Returns the text by which daemons send it to each other.
    ///
    /// ```
    /// use anvilbeam::{accounts::{CallAccount, plan_of}, model::{Digest, Version}};
    /// let key = Digest::of(b"k1");
    /// let account = CallAccount { plan: plan_of("depot"), weight: 7, key, version: Version(3) };
    /// assert_eq!(account.to_text().parse(), Ok(account));
    /// ```
    pub fn to_text(&self) -> String {
        let Self {
            weight,
            key,
            version: Version(version),
            ..
        } = self;
        format!("{weight} {version} {key} {}", self.name())
    }
}

/// The text is not that of a [`CallAccount`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidCallAccount;

impl FromStr for CallAccount {
    type Err = InvalidCallAccount;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse = || {
            let mut parts = text.splitn(4, ' ');
            let weight = parts.next()?.parse().ok()?;
            let version = Version(parts.next()?.parse().ok()?);
            let key = digest_of(parts.next()?)?;
            let plan = plan_of(parts.next().filter(|name| !name.is_empty())?);
            Some(Self {
                plan,
                weight,
                key,
                version,
            })
        };
        parse().ok_or(InvalidCallAccount)
    }
}

fn digest_of(text: &str) -> Option<Digest> {
    let mut bytes = [0; 32];
    if text.len() != 2 * bytes.len() || !text.is_ascii() {
        return None;
    }
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(Digest(bytes))
}

impl Accounts {
    /// Creates the accounts with the digests of their keys, and the grants that need no key.
    pub fn new(
        accounts: impl Iterator<Item = (Account, Vec<Digest>)>,
        open: impl Iterator<Item = GrantKey>,
    ) -> Self {
        let mut all = Self {
            open: open.collect(),
            ..Self::default()
        };
        for (account, keys) in accounts {
            let account = Arc::new(account);
            for key in keys {
                all.by_key.insert(key, Arc::clone(&account));
            }
            all.by_plan.insert(account.plan.clone(), account);
        }
        let rates = || all.by_plan.values().map(|account| account.rate);
        all.unlimited_weight = rates().max().unwrap_or_default().max(1);
        let weights = all.by_plan.values().map(|account| all.weight(account));
        all.total_weight = weights.fold(0, u32::saturating_add).max(1);
        all
    }

    /// Returns whether there is no account.
    pub fn is_empty(&self) -> bool {
        self.by_plan.is_empty()
    }

    /// Returns the account that `plan` stores.
    pub fn get(&self, plan: &PlanName) -> Option<&Arc<Account>> {
        self.by_plan.get(plan)
    }

    /// Returns the weight of the calls that belong to no account, as many as of all accounts together:
    /// calls that backend servers make for the accounts share it.
    pub const fn total_weight(&self) -> u32 {
        self.total_weight
    }

    fn weight(&self, account: &Account) -> u32 {
        match account.rate {
            UNLIMITED => self.unlimited_weight,
            rate => rate,
        }
    }

    /// Determines the account of a request under `grant` by one hash lookup, and its rank; `None` if it
    /// belongs to no account and is served. `version` is that of the configuration.
    ///
    /// # Errors
    /// [`UnknownKey`] if the request must be rejected.
    pub fn identify(
        &self,
        credentials: Credentials,
        grant: &GrantKey,
        version: Version,
    ) -> Result<Option<(CallAccount, Option<Rank>)>, UnknownKey> {
        let account = match credentials {
            Credentials::Key(key) => self.by_key.get(&key).map(|account| (account, key)),
            Credentials::Absent | Credentials::Invalid => None,
        };
        if let Some((account, key)) = account {
            let call = CallAccount {
                plan: account.plan.clone(),
                weight: self.weight(account),
                key,
                version,
            };
            return Ok(Some((call, account.rank)));
        }
        // The grants for calls that backend servers make are open, since such calls carry no key.
        if self.open.contains(grant) {
            return Ok(None);
        }
        Err(UnknownKey)
    }

    /// Returns whether a call that has waited may still be sent. A process with an older version than
    /// that by which the key was found knows nothing newer, and keeps the decision.
    pub fn still_allows(&self, call: &CallAccount, version: Version) -> bool {
        let owner = self.by_key.get(&call.key);
        version <= call.version || owner.is_some_and(|account| account.plan == call.plan)
    }
}
