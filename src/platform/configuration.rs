//! Configurations of the platform as the two lists: a host is a plan, a route is a grant of it.

use {
    super::units::{Hex, Millis},
    crate::{
        edits::Origin,
        lists::{Lists, check_name, check_path, check_plan_name},
        model::{Config, Grant, PathPrefix, Plan, PlanName, Rank, Terms, UNLIMITED, Work},
    },
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    serde_json::Value,
    serde_with::serde_as,
};

/// Longest timeout of a route, in milliseconds: ten minutes.
const MAX_TIMEOUT_MS: u64 = 600_000;
/// A wanted latency this far above the timeout is a mistake, in milliseconds: one minute.
const MAX_TARGET_EXCESS_MS: u64 = 60_000;
/// Home region of the plans; their grants tell the kind of work, so no claims group is asked.
const HOME_REGION: &str = "any";

/// A configuration as the operator sends it and reads it back.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Document {
    /// The operator's number of this configuration.
    #[serde_as(as = "Hex")]
    version: u64,
    routes: Vec<Route>,
    services: Vec<Service>,
    /// The operator's number of the configuration that this one replaces.
    #[serde_as(as = "Hex")]
    base_version: u64,
    /// Members that we keep and give back.
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
    /// Kind of work.
    #[serde(rename = "RouteType")]
    work: Work,
    #[serde_as(as = "Millis")]
    timeout: u64,
    #[serde_as(as = "Option<Millis>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    target_latency: Option<u64>,
    /// 0 is the most urgent.
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

/// What a route says besides the grants made of it, kept in the note of each of them.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Note {
    /// Place among the weighted targets.
    target: usize,
    /// The operator's number of the rank, of which there may be more than we have ranks.
    priority: u32,
    rest: IndexMap<String, Value>,
}

/// What a configuration says besides its routes.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Extra {
    base_version: u64,
    services: Vec<Service>,
    rest: IndexMap<String, Value>,
}

/// A configuration that can be put in force.
#[derive(Clone, Debug)]
pub struct Decoded {
    /// The two lists.
    pub lists: Lists,
    /// The operator's number, and what the lists can't hold.
    pub origin: Origin,
    /// The operator's number of the configuration that this one replaces.
    pub base: u64,
}

/// Decodes and checks the body of a configuration.
///
/// # Errors
/// Names what is wrong.
pub fn decode(body: &[u8]) -> Result<Decoded, String> {
    let document: Document = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let services: IndexSet<&str> = document.services.iter().map(|s| s.name.as_str()).collect();
    let mut lists = Lists::default();
    let mut places = IndexSet::new();
    for (at, route) in document.routes.iter().enumerate() {
        check_route(route, &services).map_err(|e| format!("route {at}: {e}"))?;
        if !places.insert((route.host.as_str(), route.path_prefix.as_str())) {
            let (host, path) = (&route.host, &route.path_prefix);
            return Err(format!("route {at}: {host}{path} has a route already"));
        }
        let plan = plan_of(&route.host);
        for grant in grants_of(route, &plan.name)? {
            lists.grants.insert(grant.key(), grant);
        }
        lists.plans.insert(plan.name.clone(), plan);
    }
    lists.plans.sort_unstable_keys();
    lists.grants.sort_unstable_keys();
    let extra = Extra {
        base_version: document.base_version,
        services: document.services,
        rest: document.rest,
    };
    Ok(Decoded {
        lists,
        origin: Origin {
            number: document.version,
            extra: serde_json::to_string(&extra).map_err(|e| e.to_string())?,
        },
        base: document.base_version,
    })
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
    let targets = targets_of(route)?;
    for (service, _) in &targets {
        check_name(service).map_err(|e| format!("service: {e}"))?;
        if !services.contains(service) {
            return Err(format!("service {service:?} is unknown"));
        }
    }
    if targets.iter().all(|(_, weight)| *weight == Some(0)) {
        return Err("the weights add up to 0".to_owned());
    }
    if route.timeout > MAX_TIMEOUT_MS {
        let timeout = route.timeout;
        return Err(format!("timeout {timeout} ms is above {MAX_TIMEOUT_MS} ms"));
    }
    let target = route.target_latency.unwrap_or_default();
    if target >= route.timeout + MAX_TARGET_EXCESS_MS {
        let timeout = route.timeout;
        return Err(format!(
            "latency {target} ms is too far above the timeout of {timeout} ms"
        ));
    }
    if route.max_attempts == 0 {
        return Err("no attempt is allowed".to_owned());
    }
    Ok(())
}

/// Services of a route, with their weights if calls are split.
fn targets_of(route: &Route) -> Result<Vec<(&str, Option<u32>)>, String> {
    match (&route.service, &route.weighted_targets) {
        (Some(service), None) => Ok(vec![(service, None)]),
        (None, Some(targets)) => Ok(targets
            .iter()
            .map(|target| (target.service.as_str(), Some(target.weight)))
            .collect()),
        _ => Err("needs either one service or weighted ones".to_owned()),
    }
}

fn grants_of(route: &Route, plan: &PlanName) -> Result<Vec<Grant>, String> {
    let targets = targets_of(route)?;
    let grants = targets
        .iter()
        .enumerate()
        .map(|(target, (service, weight))| {
            let note = Note {
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
                    note: Some(serde_json::to_string(&note).map_err(|e| e.to_string())?),
                },
            })
        });
    grants.collect()
}

const fn rank_of(priority: u32) -> Rank {
    match priority {
        0 => Rank::Urgent,
        1 => Rank::High,
        2 => Rank::Normal,
        _ => Rank::Low,
    }
}

/// Renders a configuration as the operator sent it.
///
/// # Errors
/// Names the grant that did not come from this interface.
pub fn render(cfg: &Config, origin: &Origin) -> Result<Vec<u8>, String> {
    let extra: Extra = serde_json::from_str(&origin.extra).map_err(|e| e.to_string())?;
    let mut routes: IndexMap<(&PlanName, &PathPrefix), Vec<(Note, &Grant)>> = IndexMap::new();
    for grant in cfg.grants.values() {
        let note = grant.terms.note.as_deref().unwrap_or_default();
        let note: Note = serde_json::from_str(note)
            .map_err(|e| format!("grant of {} at {}: {e}", grant.plan, grant.path))?;
        let place = (&grant.plan, &grant.path);
        routes.entry(place).or_default().push((note, grant));
    }
    let document = Document {
        version: origin.number,
        routes: routes.into_values().filter_map(route_of).collect(),
        services: extra.services,
        base_version: extra.base_version,
        rest: extra.rest,
    };
    serde_json::to_vec(&document).map_err(|e| e.to_string())
}

fn route_of(mut grants: Vec<(Note, &Grant)>) -> Option<Route> {
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
