//! Results as text in columns.

use crate::{
    lists::Change,
    operator_api::{
        ExplainAnswer, ExplainGrant, Member, MembersAnswer, StatusAnswer, ValidateAnswer,
    },
};

pub(super) fn status(answer: &StatusAnswer) -> String {
    let leader = answer.leader.as_deref().unwrap_or("none");
    let mut text = format!("version {}, leader {leader}\n\n", answer.version);
    text += &member_table(&answer.members, answer.leader.as_deref());
    let mut rows = vec![row(&[
        "DATA CENTRE",
        "REGION",
        "DAEMONS",
        "LOWEST",
        "HIGHEST",
        "LAGGING",
    ])];
    for place in &answer.data_centres {
        rows.push(vec![
            place.data_centre.clone(),
            place.region.clone(),
            place.daemons.to_string(),
            place.in_force_min.to_string(),
            place.in_force_max.to_string(),
            place.lagging.len().to_string(),
        ]);
    }
    text.push('\n');
    text += &table(&rows);
    let lagging = answer.data_centres.iter().flat_map(|place| {
        place.lagging.iter().map(|daemon| {
            format!(
                "lagging: {} in {} has version {}: {}\n",
                daemon.daemon, place.data_centre, daemon.version, daemon.reason
            )
        })
    });
    text.extend(lagging);
    text
}

pub(super) fn members(answer: &MembersAnswer) -> String {
    member_table(&answer.members, answer.leader.as_deref())
}

pub(super) fn explain(answer: &ExplainAnswer) -> String {
    let mut text = format!(
        "{}: {} (version {})\n",
        answer.decision, answer.reason, answer.version
    );
    text.extend(answer.grant.as_ref().map(grant));
    if answer.candidates.is_empty() {
        return text;
    }
    let mut rows = vec![row(&["SERVER", "DATA CENTRE", "USABLE", "REASON"])];
    for candidate in &answer.candidates {
        rows.push(vec![
            candidate.server.clone(),
            candidate.data_centre.clone(),
            yes(candidate.usable),
            candidate.reason.clone(),
        ]);
    }
    text + "\n" + &table(&rows)
}

fn grant(grant: &ExplainGrant) -> String {
    let servers = if grant.servers.is_empty() {
        "all".to_owned()
    } else {
        grant.servers.join(", ")
    };
    format!(
        "grant: rank {}, capacity {} calls/s, servers {servers}\n",
        grant.rank, grant.capacity
    )
}

pub(super) fn changes(changes: &[Change]) -> String {
    if changes.is_empty() {
        return "no differences\n".to_owned();
    }
    let lines: Vec<_> = changes.iter().map(ToString::to_string).collect();
    lines.join("\n") + "\n"
}

pub(super) fn validation(answer: &ValidateAnswer) -> String {
    if answer.problems.is_empty() && answer.warnings.is_empty() {
        return "valid\n".to_owned();
    }
    let problems = answer.problems.iter().map(|p| format!("problem: {p}"));
    let warnings = answer.warnings.iter().map(|p| format!("warning: {p}"));
    let lines: Vec<_> = problems.chain(warnings).collect();
    lines.join("\n") + "\n"
}

fn member_table(members: &[Member], leader: Option<&str>) -> String {
    let mut rows = vec![row(&["MEMBER", "ADDRESS", "ID", "VOTES", "LEADER"])];
    for member in members {
        rows.push(vec![
            member.name.clone(),
            member.address.clone(),
            member.id.to_string(),
            yes(member.voter),
            yes(leader == Some(member.name.as_str())),
        ]);
    }
    table(&rows)
}

fn row(cells: &[&str]) -> Vec<String> {
    cells.iter().map(|&cell| cell.to_owned()).collect()
}

fn yes(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

/// Lines with columns of equal width, two spaces apart.
fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.first().map_or(0, Vec::len);
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].chars().count());
        cells.max().unwrap_or(0)
    };
    let widths: Vec<_> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let cells: Vec<_> = cells
            .map(|(cell, &width)| format!("{cell:width$}"))
            .collect();
        text += cells.join("  ").trim_end();
        text.push('\n');
    }
    text
}
