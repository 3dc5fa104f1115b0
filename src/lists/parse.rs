//! Parsing and validation of both lists together, since grants refer to plans.

use {
    super::{
        GrantLocations, List, Lists, Location, MAX_ATTEMPTS, MAX_CAPACITY, MAX_GRANTS, MAX_PLANS,
        MAX_PROBLEMS, MAX_WEIGHT, Problem, check_name, check_path, check_plan_name,
    },
    crate::{
        model::{
            Digest, Grant, GrantKey, PathPrefix, Plan, PlanName, Rank, Terms, UNLIMITED, Work,
        },
        settings::parse_duration,
        yaml,
    },
    indexmap::IndexMap,
    serde::{Deserialize, de::DeserializeOwned},
    serde_saphyr::Spanned,
    std::collections::{HashMap, HashSet},
};

/// Maximum number of bytes of a value that a message quotes.
const MAX_QUOTED_BYTES: usize = 80;

/// A scalar as text, with its location. Values are parsed after the document, so that one invalid
/// value does not prevent the report of the next.
type Text = Spanned<String>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlansFile {
    plans: Vec<PlanEntry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlanEntry {
    name: Text,
    key_hashes: Vec<Text>,
    home_region: Text,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GrantsFile {
    grants: Vec<GrantEntry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GrantEntry {
    plan: Text,
    service: Text,
    path: Option<Text>,
    servers: Option<Spanned<Vec<Text>>>,
    capacity: Option<Text>,
    rank: Text,
    weight: Option<Text>,
    work: Option<Text>,
    timeout: Option<Text>,
    target_latency: Option<Text>,
    attempts: Option<Text>,
    note: Option<Text>,
}

/// Parses and validates both lists together.
///
/// ```
/// use anvilbeam::lists::parse_lists;
/// let plans = "plans: [{ name: depot, key_hashes: [], home_region: lothian }]";
/// let grants = "grants: [{ plan: depot, service: stock, capacity: 50, rank: high }]";
/// assert_eq!(parse_lists(plans, grants).unwrap().grants[0].capacity, 50);
///
/// let problems = parse_lists("plans: []", grants).unwrap_err();
/// assert_eq!(problems[0].reason, "plan \"depot\" is not in plans.yaml");
/// ```
///
/// # Errors
/// All problems up to [`MAX_PROBLEMS`], those of the plans first, sorted by location; then one that
/// states the number of further problems, if there are any. A syntax error, an unknown key or a
/// missing key ends the parsing of its list, so later problems of that list are not reported.
pub fn parse_lists(plans: &str, grants: &str) -> Result<Lists, Vec<Problem>> {
    let mut problems = Vec::new();
    let plans_file = parse_yaml::<PlansFile>(List::Plans, plans, MAX_PLANS, &mut problems);
    let grants_file = parse_yaml::<GrantsFile>(List::Grants, grants, MAX_GRANTS, &mut problems);

    // `None` if the plans can't be parsed; otherwise each grant would be reported for a missing plan.
    let plan_names: Option<HashSet<String>> = plans_file
        .as_ref()
        .map(|file| file.plans.iter().map(|p| p.name.value.clone()).collect());
    let plans = plans_file.map_or_else(IndexMap::new, |file| check_plans(file, &mut problems));
    let (grants, locations) = grants_file.map_or_else(Default::default, |file| {
        check_grants(file, plan_names.as_ref(), &mut problems)
    });

    if problems.is_empty() {
        return Ok(Lists {
            plans,
            grants,
            locations,
        });
    }
    problems.sort();
    if problems.len() > MAX_PROBLEMS {
        let reason = format!("{} more problems", problems.len() - MAX_PROBLEMS);
        problems.truncate(MAX_PROBLEMS);
        problems.push(Location::default().problem(List::Grants, reason));
    }
    Err(problems)
}

fn parse_yaml<T: DeserializeOwned>(
    list: List,
    text: &str,
    limit: usize,
    problems: &mut Vec<Problem>,
) -> Option<T> {
    if text.len() > limit {
        let reason = format!("{} bytes exceed the limit of {limit}", text.len());
        problems.push(Location { line: 1, column: 1 }.problem(list, reason));
        return None;
    }
    yaml::parse(text)
        .map_err(|e| {
            let location = Location {
                line: e.line,
                column: e.column,
            };
            problems.push(location.problem(list, e.to_string()));
        })
        .ok()
}

fn check_plans(file: PlansFile, problems: &mut Vec<Problem>) -> IndexMap<PlanName, Plan> {
    let mut plans = IndexMap::with_capacity(file.plans.len());
    let mut first_lines = HashMap::new();
    let mut key_owners = HashMap::new();
    for entry in file.plans {
        let mut report =
            |location, reason| problems.push(Location::problem(location, List::Plans, reason));
        let name = entry.name.value.as_str();
        if let Err(reason) = check_plan_name(name) {
            report(location(&entry.name), reason);
        }
        if let Err(reason) = check_name(&entry.home_region.value) {
            report(
                location(&entry.home_region),
                format!("home_region: {reason}"),
            );
        }
        if let Some(line) = first_lines.insert(name.to_owned(), location(&entry.name).line) {
            let reason = format!("plan {:?} is already on line {line}", truncate(name));
            report(location(&entry.name), reason);
        }
        let mut key_hashes = Vec::with_capacity(entry.key_hashes.len());
        for text in &entry.key_hashes {
            let Some(hash) = parse_hash(&text.value) else {
                let value = truncate(&text.value);
                let reason = format!("key hash {value:?} is not 64 hexadecimal digits");
                report(location(text), reason);
                continue;
            };
            if let Some(owner) = key_owners.insert(hash, name.to_owned()) {
                let reason = format!("key hash {hash} already belongs to plan {owner:?}");
                report(location(text), reason);
            }
            key_hashes.push(hash);
        }
        let plan = Plan {
            name: name.into(),
            key_hashes,
            home_region: entry.home_region.value.as_str().into(),
        };
        plans.insert(plan.name.clone(), plan);
    }
    plans.sort_unstable_keys();
    plans
}

/// The grants and the locations of their names.
type Grants = (
    IndexMap<GrantKey, Grant>,
    IndexMap<GrantKey, GrantLocations>,
);

fn check_grants(
    file: GrantsFile,
    plan_names: Option<&HashSet<String>>,
    problems: &mut Vec<Problem>,
) -> Grants {
    let mut grants = IndexMap::with_capacity(file.grants.len());
    let mut locations = IndexMap::with_capacity(file.grants.len());
    let mut first_lines = HashMap::new();
    for entry in file.grants {
        let grant = check_grant(&entry, plan_names, problems);
        let key = grant.key();
        if let Some(line) = first_lines.insert(key.clone(), location(&entry.plan).line) {
            let reason = format!(
                "grant of service {:?} to plan {:?} is already on line {line}",
                truncate(&entry.service.value),
                truncate(&entry.plan.value)
            );
            problems.push(location(&entry.plan).problem(List::Grants, reason));
        }
        let servers = entry.servers.as_ref().map_or(&[][..], |list| &list.value);
        let name_locations = GrantLocations {
            service: location(&entry.service),
            servers: servers.iter().map(location).collect(),
        };
        locations.insert(key.clone(), name_locations);
        grants.insert(key, grant);
    }
    grants.sort_unstable_keys();
    (grants, locations)
}

fn check_grant(
    entry: &GrantEntry,
    plan_names: Option<&HashSet<String>>,
    problems: &mut Vec<Problem>,
) -> Grant {
    let mut report =
        |location, reason| problems.push(Location::problem(location, List::Grants, reason));
    let plan = entry.plan.value.as_str();
    if let Err(reason) = check_plan_name(plan) {
        report(location(&entry.plan), reason);
    } else if plan_names.is_some_and(|names| !names.contains(plan)) {
        let reason = format!("plan {plan:?} is not in plans.yaml");
        report(location(&entry.plan), reason);
    }
    if let Err(reason) = check_name(&entry.service.value) {
        report(location(&entry.service), reason);
    }
    let servers = entry.servers.as_ref().map_or(&[][..], |list| &list.value);
    // Otherwise, removing the last name of a list would widen the grant to all backend servers.
    if let Some(list) = entry.servers.as_ref().filter(|list| list.value.is_empty()) {
        let reason = "servers is empty; remove the key to grant all backend servers".to_owned();
        report(location(list), reason);
    }
    let mut names = HashSet::new();
    for server in servers {
        if let Err(reason) = check_name(&server.value) {
            report(location(server), reason);
        } else if !names.insert(server.value.as_str()) {
            let reason = format!("backend server {:?} is named twice", server.value);
            report(location(server), reason);
        }
    }
    let capacity = entry.capacity.as_ref().map_or(UNLIMITED, |text| {
        parse_capacity(&text.value).unwrap_or_else(|| {
            let value = truncate(&text.value);
            let reason = format!(
                "capacity {value:?} is not a whole number from 1 to {MAX_CAPACITY} calls/s"
            );
            report(location(text), reason);
            1
        })
    });
    let path = entry
        .path
        .as_ref()
        .map_or_else(PathPrefix::default, |text| {
            if let Err(reason) = check_path(&text.value) {
                report(location(text), reason);
            }
            text.value.as_str().into()
        });
    let rank = entry.rank.value.parse().unwrap_or_else(|_| {
        let value = truncate(&entry.rank.value);
        let reason = format!("rank {value:?} is not urgent, high, normal or low");
        report(location(&entry.rank), reason);
        Rank::Low
    });
    Grant {
        plan: plan.into(),
        service: entry.service.value.as_str().into(),
        servers: servers.iter().map(|s| s.value.as_str().into()).collect(),
        capacity,
        rank,
        path,
        terms: check_terms(entry, problems),
    }
}

fn check_terms(entry: &GrantEntry, problems: &mut Vec<Problem>) -> Terms {
    let mut report = |text: &Text, name: &str, expected: &str| {
        let value = truncate(&text.value);
        let reason = format!("{name} {value:?} is not {expected}");
        problems.push(location(text).problem(List::Grants, reason));
    };
    let mut number = |text: &Option<Text>, name: &str, max: u32| {
        let text = text.as_ref()?;
        let value = parse_number(&text.value).filter(|n| (1..=max).contains(n));
        if value.is_none() {
            report(text, name, &format!("a whole number from 1 to {max}"));
        }
        value
    };
    let weight = number(&entry.weight, "weight", MAX_WEIGHT);
    let attempts = number(&entry.attempts, "attempts", MAX_ATTEMPTS);
    let mut duration = |text: &Option<Text>, name: &str| {
        let text = text.as_ref()?;
        match parse_duration(&text.value) {
            Ok(duration) => Some(duration.as_millis() as u64),
            Err(_reason) => {
                report(text, name, "a duration such as 500ms or 3s");
                None
            }
        }
    };
    let timeout_ms = duration(&entry.timeout, "timeout");
    let target_ms = duration(&entry.target_latency, "target_latency");
    let work = entry.work.as_ref().and_then(|text| {
        let work = text.value.parse::<Work>().ok();
        if work.is_none() {
            report(text, "work", "safe, unsafe, upload or download");
        }
        work
    });
    Terms {
        weight,
        work,
        timeout_ms,
        target_ms,
        attempts,
        note: entry.note.as_ref().map(|text| text.value.clone()),
    }
}

fn location<T>(spanned: &Spanned<T>) -> Location {
    Location {
        line: spanned.referenced.line(),
        column: spanned.referenced.column(),
    }
}

fn parse_number(text: &str) -> Option<u32> {
    // `u32::from_str` would also accept a leading plus sign, which no other tool writes.
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    digits.then(|| text.parse::<u32>().ok()).flatten()
}

fn parse_capacity(text: &str) -> Option<u32> {
    let capacity = parse_number(text)?;
    (1..=MAX_CAPACITY).contains(&capacity).then_some(capacity)
}

fn parse_hash(text: &str) -> Option<Digest> {
    let bytes = text.as_bytes();
    if bytes.len() != 64 {
        return None;
    }
    let mut hash = [0; 32];
    for (byte, pair) in hash.iter_mut().zip(bytes.chunks_exact(2)) {
        let high = char::from(pair[0]).to_digit(16)?;
        let low = char::from(pair[1]).to_digit(16)?;
        *byte = (high * 16 + low) as u8;
    }
    Some(Digest(hash))
}

/// Truncates `text` to [`MAX_QUOTED_BYTES`], at a character boundary.
fn truncate(text: &str) -> &str {
    let mut end = text.len().min(MAX_QUOTED_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}
