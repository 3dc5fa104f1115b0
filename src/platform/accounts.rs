//! Conversion of the platform's tenants to the plans and grants that store accounts, and back.

use {
    super::configuration::rank_of,
    crate::{
        accounts::{self, Account, Accounts, check_account_name},
        lists::{Lists, MAX_CAPACITY},
        model::{Config, Digest, Grant, GrantKey, Plan, Rank, Region, Terms},
    },
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

/// Member of a configuration with the tenants.
const TENANTS: &str = "Tenants";
/// Member of a route that needs no key.
const ALLOW_ANONYMOUS: &str = "AllowAnonymous";
/// Maximum number of keys of all tenants together; a plan with all of them fits into one message.
const MAX_KEYS: usize = 100_000;
/// Maximum length of a key in bytes.
const MAX_KEY: usize = 1024;

/// Tenant as the operator sends it. Unknown members are kept with the document.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Tenant {
    name: String,
    api_keys: Vec<String>,
    #[serde(default)]
    priority: Option<u32>,
    #[serde(default)]
    rate_per_s: Option<f64>,
    #[serde(default)]
    burst: Option<f64>,
}

/// Parts of a tenant that its grant cannot hold, stored as JSON in the note of the grant.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct TenantNote {
    burst: u32,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    priority: Option<u32>,
}

/// Part of the note of a route's grant that concerns accounts.
#[derive(Deserialize)]
struct RouteNote {
    rest: IndexMap<String, Value>,
}

/// Adds the accounts of the document with the unknown members `rest` to the lists.
///
/// # Errors
/// The index of the tenant and what is wrong with it; never a key.
pub(super) fn add_accounts(
    lists: &mut Lists,
    rest: &IndexMap<String, Value>,
    home_region: &str,
) -> Result<(), String> {
    let tenants = match rest.get(TENANTS) {
        None | Some(Value::Null) => return Ok(()),
        Some(Value::Array(tenants)) => tenants,
        Some(_) => return Err("the tenants are not a list".to_owned()),
    };
    // The first use of each key.
    let mut keys: IndexMap<String, usize> = IndexMap::new();
    for (index, value) in tenants.iter().enumerate() {
        let added = add_account(lists, value, home_region, index, &mut keys);
        added.map_err(|e| format!("tenant {index}: {e}"))?;
    }
    Ok(())
}

fn add_account(
    lists: &mut Lists,
    value: &Value,
    home_region: &str,
    index: usize,
    keys: &mut IndexMap<String, usize>,
) -> Result<(), String> {
    let tenant = Tenant::deserialize(value).map_err(|e| shape_error(value, &e))?;
    check_account_name(&tenant.name)?;
    let plan = accounts::plan_of(&tenant.name);
    if lists.plans.contains_key(&plan) {
        return Err(format!("another tenant is named {:?}", tenant.name));
    }
    let mut key_hashes = IndexSet::new();
    for (number, key) in tenant.api_keys.iter().enumerate() {
        if key.is_empty() || key.len() > MAX_KEY || !key.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(format!(
                "key {number} is not 1 to {MAX_KEY} visible ASCII characters"
            ));
        }
        if let Some(first) = keys.insert(key.clone(), index) {
            return Err(format!("key {number} is also a key of tenant {first}"));
        }
        key_hashes.insert(Digest::of(key.as_bytes()));
    }
    if keys.len() > MAX_KEYS {
        return Err(format!("the tenants have more than {MAX_KEYS} keys"));
    }
    let note = TenantNote {
        burst: whole_number("Burst", tenant.burst)?,
        priority: tenant.priority,
    };
    let grant = Grant {
        plan: plan.clone(),
        service: accounts::QUOTA_SERVICE.into(),
        servers: Vec::new(),
        capacity: whole_number("RatePerS", tenant.rate_per_s)?,
        rank: tenant.priority.map_or(Rank::Normal, rank_of),
        path: accounts::quota_key(plan.clone()).path,
        terms: Terms {
            note: Some(serde_json::to_string(&note).map_err(|e| e.to_string())?),
            ..Terms::default()
        },
    };
    lists.grants.insert(grant.key(), grant);
    let plan = Plan {
        name: plan,
        key_hashes: key_hashes.into_iter().collect(),
        home_region: Region::from(home_region),
    };
    lists.plans.insert(plan.name.clone(), plan);
    Ok(())
}

/// Describes a tenant of the wrong shape without its keys, which the error of the parser may quote.
fn shape_error(value: &Value, e: &serde_json::Error) -> String {
    let text = e.to_string();
    if text.contains("missing field") {
        return text;
    }
    let name = value.get("Name").and_then(Value::as_str).unwrap_or("?");
    format!(
        "{name:?}: expected a Name, a list of ApiKeys, and whole numbers Priority, RatePerS and Burst"
    )
}

fn whole_number(member: &str, value: Option<f64>) -> Result<u32, String> {
    let value = value.unwrap_or_default();
    if value.fract() != 0.0 || !(0.0..=f64::from(MAX_CAPACITY)).contains(&value) {
        return Err(format!(
            "{member} {value} is not a whole number from 0 to {MAX_CAPACITY}"
        ));
    }
    Ok(value as u32)
}

/// Checks the member of a route that says whether it needs a key.
///
/// # Errors
/// The member is neither true nor false.
pub(super) fn check_open(rest: &IndexMap<String, Value>) -> Result<(), String> {
    match rest.get(ALLOW_ANONYMOUS) {
        None | Some(Value::Bool(_)) => Ok(()),
        Some(other) => Err(format!("{ALLOW_ANONYMOUS} is {other}, not true or false")),
    }
}

/// Returns the burst of the account whose quota `grant` stores.
pub fn account_burst(grant: &Grant) -> u32 {
    let note = grant.terms.note.as_deref().unwrap_or_default();
    serde_json::from_str::<TenantNote>(note).map_or(0, |note| note.burst)
}

/// Returns the accounts of a configuration; `None` if it has none.
pub(super) fn read_accounts(cfg: &Config) -> Option<Accounts> {
    let mut accounts = Vec::new();
    for plan in cfg.plans.values() {
        if accounts::account_of(plan.name.as_str()).is_none() {
            continue;
        }
        let grant = cfg.grants.get(&accounts::quota_key(plan.name.clone()));
        let note = grant.and_then(|grant| grant.terms.note.as_deref());
        let note = note.unwrap_or_default();
        let note = serde_json::from_str(note).unwrap_or_else(|e| {
            log::error!("{}: the note of its grant cannot be read: {e}", plan.name);
            TenantNote {
                burst: 0,
                priority: None,
            }
        });
        let account = Account {
            plan: plan.name.clone(),
            rate: grant.map_or(0, |grant| grant.capacity),
            burst: note.burst,
            rank: note.priority.map(rank_of),
        };
        accounts.push((account, plan.key_hashes.clone()));
    }
    if accounts.is_empty() {
        return None;
    }
    let open = cfg.grants.iter().filter(|(_, grant)| is_open(grant));
    let open: Vec<GrantKey> = open.map(|(key, _)| key.clone()).collect();
    Some(Accounts::new(accounts.into_iter(), open.into_iter()))
}

fn is_open(grant: &Grant) -> bool {
    let note = grant.terms.note.as_deref();
    let note = note.filter(|note| note.contains(ALLOW_ANONYMOUS));
    let note = note.and_then(|note| serde_json::from_str::<RouteNote>(note).ok());
    note.is_some_and(|note| note.rest.get(ALLOW_ANONYMOUS) == Some(&Value::Bool(true)))
}
