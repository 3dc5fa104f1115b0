//! Conversion between the platform's configurations and the two lists: a host is a plan, and each
//! target of a route is a grant of that plan.

use {
    super::{
        accounts::{add_accounts, check_open},
        units::{Hex, Millis},
    },
    crate::{
        accounts::account_of,
        edits::InterfaceData,
        lists::{Lists, check_name, check_path, check_plan_name},
        model::{
            Config, Grant, NO_HOME_REGION, PathPrefix, Plan, PlanName, Rank, Terms, UNLIMITED, Work,
        },
    },
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::Value,
    serde_with::serde_as,
};

/// Maximum timeout of a route in milliseconds: ten minutes.
const MAX_TIMEOUT_MS: u64 = 600_000;
/// A target latency must be less than the timeout plus this many milliseconds (one minute); a
/// higher one is a mistake.
const MAX_TARGET_EXCESS_MS: u64 = 60_000;
/// Home region of all plans. It is never used: their grants set the kind of work, and such calls
/// need no claim.
const HOME_REGION: &str = NO_HOME_REGION;

/// Configuration as the operator sends it and reads it back.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Document {
    /// Version number that the operator gave this configuration.
    #[serde_as(as = "Hex")]
    version: u64,
    routes: Vec<Route>,
    services: Vec<Service>,
    /// Version number of the configuration that this one replaces.
    #[serde_as(as = "Hex")]
    base_version: u64,
    /// Unknown members, which are kept and rendered again.
    #[serde(flatten)]
    rest: IndexMap<String, Value>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Service {
    name: String,
    #[serde(flatten)]
    rest: IndexMap<String, Value>,
}

#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Route {
    host: String,
    path_prefix: String,
    /// Kind of work of the calls.
    #[serde(rename = "RouteType")]
    work: Work,
    #[serde_as(as = "Millis")]
    timeout: u64,
    #[serde_as(as = "Option<Millis>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    target_latency: Option<u64>,
    /// Priority of the calls; 0 is the highest.
    priority: u32,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    service: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    weighted_targets: Option<Vec<WeightedTarget>>,
    max_attempts: u32,
    #[serde(flatten)]
    rest: IndexMap<String, Value>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WeightedTarget {
    service: String,
    weight: u32,
}

/// Parts of a route that a grant cannot hold, stored as JSON in the note of each grant of the
/// route.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct RouteNote {
    /// Index of the grant's service among the weighted targets.
    target: usize,
    /// Priority as the operator sent it; several priorities map to [`Rank::Low`].
    priority: u32,
    rest: IndexMap<String, Value>,
}

/// Parts of a configuration that the lists cannot hold, stored as JSON beside them.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ConfigurationExtra {
    base_version: u64,
    services: Vec<Service>,
    rest: IndexMap<String, Value>,
}

/// A valid configuration, converted to the lists.
#[derive(Clone, Debug)]
pub struct DecodedConfiguration {
    /// The two lists.
    pub lists: Lists,
    /// Version number of the configuration, and the parts that the lists cannot hold.
    pub interface_data: InterfaceData,
    /// Version number of the configuration that this one replaces.
    pub base: u64,
}

/// Decodes and validates a configuration.
///
/// # Errors
/// Returns a description of the first problem.
pub fn decode_configuration(body: &[u8]) -> Result<DecodedConfiguration, String> {
    let document: Document = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let services: IndexSet<&str> = document.services.iter().map(|s| s.name.as_str()).collect();
    let mut lists = Lists::default();
    let mut prefixes = IndexSet::new();
    for (index, route) in document.routes.iter().enumerate() {
        check_route(route, &services).map_err(|e| format!("route {index}: {e}"))?;
        if !prefixes.insert((route.host.as_str(), route.path_prefix.as_str())) {
            let (host, path) = (&route.host, &route.path_prefix);
            return Err(format!(
                "route {index}: another route has the prefix {host}{path}"
            ));
        }
        let plan = plan_of(&route.host);
        for grant in grants_of(route, &plan.name)? {
            lists.grants.insert(grant.key(), grant);
        }
        lists.plans.insert(plan.name.clone(), plan);
    }
    add_accounts(&mut lists, &document.rest, HOME_REGION)?;
    lists.plans.sort_unstable_keys();
    lists.grants.sort_unstable_keys();
    let extra = ConfigurationExtra {
        base_version: document.base_version,
        services: document.services,
        rest: document.rest,
    };
    Ok(DecodedConfiguration {
        lists,
        interface_data: InterfaceData {
            number: document.version,
            extra: readable_json(&extra)?,
        },
        base: document.base_version,
    })
}

/// Returns the JSON text of a value that can be read back: the text may nest deeper than the document that
/// it comes from.
fn readable_json<T: Serialize + DeserializeOwned>(value: &T) -> Result<String, String> {
    let text = serde_json::to_string(value).map_err(|e| e.to_string())?;
    match serde_json::from_str::<T>(&text) {
        Ok(_read) => Ok(text),
        Err(e) => Err(format!("the configuration could not be read back: {e}")),
    }
}

fn plan_of(host: &str) -> Plan {
    Plan {
        name: host.into(),
        key_hashes: Vec::new(),
        home_region: HOME_REGION.into(),
    }
}

fn check_route(route: &Route, services: &IndexSet<&str>) -> Result<(), String> {
    check_plan_name(&route.host).map_err(|e| format!("host: {e}"))?;
    check_path(&route.path_prefix)?;
    check_open(&route.rest)?;
    let targets = targets_of(route)?;
    for (service, _) in &targets {
        check_name(service).map_err(|e| format!("service: {e}"))?;
        if !services.contains(service) {
            return Err(format!("service {service:?} is not listed in the services"));
        }
    }
    if targets.iter().all(|(_, weight)| *weight == Some(0)) {
        return Err("the sum of the weights is 0".to_owned());
    }
    if route.timeout > MAX_TIMEOUT_MS {
        let timeout = route.timeout;
        return Err(format!("timeout {timeout} ms exceeds {MAX_TIMEOUT_MS} ms"));
    }
    let target = route.target_latency.unwrap_or_default();
    if target >= route.timeout + MAX_TARGET_EXCESS_MS {
        let timeout = route.timeout;
        return Err(format!(
            "target latency {target} ms is not below the timeout of {timeout} ms + {MAX_TARGET_EXCESS_MS} ms"
        ));
    }
    if route.max_attempts == 0 {
        return Err("max attempts is 0, expected at least 1".to_owned());
    }
    Ok(())
}

/// Returns the services of a route, each with its weight if the route has weighted targets.
fn targets_of(route: &Route) -> Result<Vec<(&str, Option<u32>)>, String> {
    match (&route.service, &route.weighted_targets) {
        (Some(service), None) => Ok(vec![(service, None)]),
        (None, Some(targets)) => Ok(targets
            .iter()
            .map(|target| (target.service.as_str(), Some(target.weight)))
            .collect()),
        _ => Err("expected either a service or weighted targets".to_owned()),
    }
}

fn grants_of(route: &Route, plan: &PlanName) -> Result<Vec<Grant>, String> {
    let targets = targets_of(route)?;
    let grants = targets
        .iter()
        .enumerate()
        .map(|(target, (service, weight))| {
            let note = RouteNote {
                target,
                priority: route.priority,
                rest: route.rest.clone(),
            };
            Ok(Grant {
                plan: plan.clone(),
                service: (*service).into(),
                servers: Vec::new(),
                capacity: UNLIMITED,
                rank: rank_of(route.priority),
                path: route.path_prefix.as_str().into(),
                terms: Terms {
                    weight: *weight,
                    work: Some(route.work),
                    timeout_ms: Some(route.timeout),
                    target_ms: route.target_latency,
                    attempts: Some(route.max_attempts),
                    note: Some(readable_json(&note)?),
                },
            })
        });
    grants.collect()
}

pub(super) const fn rank_of(priority: u32) -> Rank {
    match priority {
        0 => Rank::Urgent,
        1 => Rank::High,
        2 => Rank::Normal,
        _ => Rank::Low,
    }
}

/// Renders a configuration in the form in which the operator sent it.
///
/// # Errors
/// Describes the grant, or the `interface_data`, that was not created by [`decode_configuration`].
pub fn render_configuration(
    cfg: &Config,
    interface_data: &InterfaceData,
) -> Result<Vec<u8>, String> {
    let extra: ConfigurationExtra =
        serde_json::from_str(&interface_data.extra).map_err(|e| e.to_string())?;
    let mut routes: IndexMap<(&PlanName, &PathPrefix), Vec<(RouteNote, &Grant)>> = IndexMap::new();
    let of_route = |grant: &&Grant| account_of(grant.plan.as_str()).is_none();
    for grant in cfg.grants.values().filter(of_route) {
        let note = grant.terms.note.as_deref().unwrap_or_default();
        let note: RouteNote = serde_json::from_str(note)
            .map_err(|e| format!("grant of {} at {}: {e}", grant.plan, grant.path))?;
        let prefix = (&grant.plan, &grant.path);
        routes.entry(prefix).or_default().push((note, grant));
    }
    let document = Document {
        version: interface_data.number,
        routes: routes.into_values().filter_map(route_of).collect(),
        services: extra.services,
        base_version: extra.base_version,
        rest: extra.rest,
    };
    serde_json::to_vec(&document).map_err(|e| e.to_string())
}

fn route_of(mut grants: Vec<(RouteNote, &Grant)>) -> Option<Route> {
    grants.sort_by_key(|(note, _)| note.target);
    let targets = grants.iter().filter_map(|(_, grant)| {
        Some(WeightedTarget {
            service: grant.service.to_string(),
            weight: grant.terms.weight?,
        })
    });
    let targets: Vec<_> = targets.collect();
    let (note, grant) = grants.into_iter().next()?;
    let terms = &grant.terms;
    let single = targets.is_empty().then(|| grant.service.to_string());
    Some(Route {
        host: grant.plan.to_string(),
        path_prefix: grant.path.to_string(),
        work: terms.work?,
        timeout: terms.timeout_ms?,
        target_latency: terms.target_ms,
        priority: note.priority,
        service: single,
        weighted_targets: (!targets.is_empty()).then_some(targets),
        max_attempts: terms.attempts?,
        rest: note.rest,
    })
}
