//! Parsing and validation of both lists as one whole.

use {
    super::{
        GrantPlaces, List, Lists, MAX_ATTEMPTS, MAX_CAPACITY, MAX_GRANTS, MAX_PLANS, MAX_PROBLEMS,
        MAX_WEIGHT, Place, Problem, check_name, check_path, check_plan_name,
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

/// Bytes of a value that a message quotes at most.
const MAX_QUOTE: usize = 80;

/// A scalar as written. Values are parsed after the document, so that one wrong value does not
/// hide the next.
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

/// Parses and validates both lists as one whole.
///
/// ```
/// use anvilbeam::lists::check;
/// let plans = "plans: [{ name: depot, key_hashes: [], home_region: lothian }]";
/// let grants = "grants: [{ plan: depot, service: stock, capacity: 50, rank: high }]";
/// assert_eq!(check(plans, grants).unwrap().grants[0].capacity, 50);
///
/// let problems = check("plans: []", grants).unwrap_err();
/// assert_eq!(problems[0].reason, "plan \"depot\" is not in plans.yaml");
/// ```
///
/// # Errors
/// All problems, up to [`MAX_PROBLEMS`], plans first and by position. A syntax error, an unknown
/// key or a missing key ends the reading of its list, so later problems of that list are not seen.
pub fn check(plans: &str, grants: &str) -> Result<Lists, Vec<Problem>> {
    let mut found = Vec::new();
    let plans_file = read::<PlansFile>(List::Plans, plans, MAX_PLANS, &mut found);
    let grants_file = read::<GrantsFile>(List::Grants, grants, MAX_GRANTS, &mut found);

    // Without the plans, each grant would be reported as a grant to a missing plan.
    let names: Option<HashSet<String>> = plans_file
        .as_ref()
        .map(|file| file.plans.iter().map(|p| p.name.value.clone()).collect());
    let plans = plans_file.map_or_else(IndexMap::new, |file| check_plans(file, &mut found));
    let (grants, places) = grants_file.map_or_else(Default::default, |file| {
        check_grants(file, names.as_ref(), &mut found)
    });

    if found.is_empty() {
        return Ok(Lists {
            plans,
            grants,
            places,
        });
    }
    found.sort();
    if found.len() > MAX_PROBLEMS {
        let reason = format!("{} more problems", found.len() - MAX_PROBLEMS);
        found.truncate(MAX_PROBLEMS);
        found.push(Place::default().problem(List::Grants, reason));
    }
    Err(found)
}

fn read<T: DeserializeOwned>(
    list: List,
    text: &str,
    limit: usize,
    found: &mut Vec<Problem>,
) -> Option<T> {
    if text.len() > limit {
        let reason = format!("{} bytes exceed the limit of {limit}", text.len());
        found.push(Place { line: 1, column: 1 }.problem(list, reason));
        return None;
    }
    yaml::parse(text)
        .map_err(|fault| {
            let place = Place {
                line: fault.line,
                column: fault.column,
            };
            found.push(place.problem(list, fault.to_string()));
        })
        .ok()
}

fn check_plans(file: PlansFile, found: &mut Vec<Problem>) -> IndexMap<PlanName, Plan> {
    let mut plans = IndexMap::with_capacity(file.plans.len());
    let mut first_lines = HashMap::new();
    let mut owners = HashMap::new();
    for entry in file.plans {
        let mut report = |place, reason| found.push(Place::problem(place, List::Plans, reason));
        let name = entry.name.value.as_str();
        if let Err(reason) = check_plan_name(name) {
            report(place(&entry.name), reason);
        }
        if let Err(reason) = check_name(&entry.home_region.value) {
            report(place(&entry.home_region), format!("home_region: {reason}"));
        }
        if let Some(line) = first_lines.insert(name.to_owned(), place(&entry.name).line) {
            let reason = format!("plan {:?} is already on line {line}", quote(name));
            report(place(&entry.name), reason);
        }
        let mut key_hashes = Vec::with_capacity(entry.key_hashes.len());
        for text in &entry.key_hashes {
            let Some(hash) = parse_hash(&text.value) else {
                let value = quote(&text.value);
                let reason = format!("key hash {value:?} is not 64 hexadecimal digits");
                report(place(text), reason);
                continue;
            };
            if let Some(owner) = owners.insert(hash, name.to_owned()) {
                let reason = format!("key hash {hash} already belongs to plan {owner:?}");
                report(place(text), reason);
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

type Grants = (IndexMap<GrantKey, Grant>, IndexMap<GrantKey, GrantPlaces>);

fn check_grants(
    file: GrantsFile,
    plans: Option<&HashSet<String>>,
    found: &mut Vec<Problem>,
) -> Grants {
    let mut grants = IndexMap::with_capacity(file.grants.len());
    let mut places = IndexMap::with_capacity(file.grants.len());
    let mut first_lines = HashMap::new();
    for entry in file.grants {
        let grant = check_grant(&entry, plans, found);
        let key = grant.key();
        if let Some(line) = first_lines.insert(key.clone(), place(&entry.plan).line) {
            let reason = format!(
                "grant of service {:?} to plan {:?} is already on line {line}",
                quote(&entry.service.value),
                quote(&entry.plan.value)
            );
            found.push(place(&entry.plan).problem(List::Grants, reason));
        }
        let servers = entry.servers.as_ref().map_or(&[][..], |list| &list.value);
        let at = GrantPlaces {
            service: place(&entry.service),
            servers: servers.iter().map(place).collect(),
        };
        places.insert(key.clone(), at);
        grants.insert(key, grant);
    }
    grants.sort_unstable_keys();
    (grants, places)
}

fn check_grant(
    entry: &GrantEntry,
    plans: Option<&HashSet<String>>,
    found: &mut Vec<Problem>,
) -> Grant {
    let mut report = |place, reason| found.push(Place::problem(place, List::Grants, reason));
    let plan = entry.plan.value.as_str();
    if let Err(reason) = check_plan_name(plan) {
        report(place(&entry.plan), reason);
    } else if plans.is_some_and(|names| !names.contains(plan)) {
        let reason = format!("plan {plan:?} is not in plans.yaml");
        report(place(&entry.plan), reason);
    }
    if let Err(reason) = check_name(&entry.service.value) {
        report(place(&entry.service), reason);
    }
    let servers = entry.servers.as_ref().map_or(&[][..], |list| &list.value);
    // An emptied list would otherwise widen the grant to all servers.
    if let Some(list) = entry.servers.as_ref().filter(|list| list.value.is_empty()) {
        let reason = "servers is empty; remove the key to grant all backend servers".to_owned();
        report(place(list), reason);
    }
    let mut names = HashSet::new();
    for server in servers {
        if let Err(reason) = check_name(&server.value) {
            report(place(server), reason);
        } else if !names.insert(server.value.as_str()) {
            let reason = format!("backend server {:?} is named twice", server.value);
            report(place(server), reason);
        }
    }
    let capacity = entry.capacity.as_ref().map_or(UNLIMITED, |text| {
        parse_capacity(&text.value).unwrap_or_else(|| {
            let value = quote(&text.value);
            let reason = format!(
                "capacity {value:?} is not a whole number from 1 to {MAX_CAPACITY} calls/s"
            );
            report(place(text), reason);
            1
        })
    });
    let path = entry
        .path
        .as_ref()
        .map_or_else(PathPrefix::default, |text| {
            if let Err(reason) = check_path(&text.value) {
                report(place(text), reason);
            }
            text.value.as_str().into()
        });
    let rank = entry.rank.value.parse().unwrap_or_else(|_| {
        let value = quote(&entry.rank.value);
        let reason = format!("rank {value:?} is not urgent, high, normal or low");
        report(place(&entry.rank), reason);
        Rank::Low
    });
    Grant {
        plan: plan.into(),
        service: entry.service.value.as_str().into(),
        servers: servers.iter().map(|s| s.value.as_str().into()).collect(),
        capacity,
        rank,
        path,
        terms: check_terms(entry, found),
    }
}

fn check_terms(entry: &GrantEntry, found: &mut Vec<Problem>) -> Terms {
    let mut report = |text: &Text, name: &str, wanted: &str| {
        let value = quote(&text.value);
        let reason = format!("{name} {value:?} is not {wanted}");
        found.push(place(text).problem(List::Grants, reason));
    };
    let mut number = |text: &Option<Text>, name: &str, most: u32| {
        let text = text.as_ref()?;
        let value = parse_number(&text.value).filter(|n| (1..=most).contains(n));
        if value.is_none() {
            report(text, name, &format!("a whole number from 1 to {most}"));
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
            report(text, "work", "safe, unsafe or upload");
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

fn place<T>(spanned: &Spanned<T>) -> Place {
    Place {
        line: spanned.referenced.line(),
        column: spanned.referenced.column(),
    }
}

fn parse_number(text: &str) -> Option<u32> {
    // `u32::from_str` also takes a leading plus sign, which no other tool writes.
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

/// The start of `text`, short enough for a message.
fn quote(text: &str) -> &str {
    let mut end = text.len().min(MAX_QUOTE);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}
