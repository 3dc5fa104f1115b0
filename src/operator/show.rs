//! Renders results as text in columns.

use crate::{
    lists::Change,
    operator_api::{
        ExplainGrant, ExplainResponse, Member, MembersResponse, RolloutResponse, StatusResponse,
        ValidateResponse,
    },
};

pub(super) fn status(response: &StatusResponse) -> String {
    let leader = response.leader.as_deref().unwrap_or("none");
    let mut text = format!("version {}, leader {leader}\n\n", response.version);
    text += &member_table(&response.members, response.leader.as_deref());
    let mut rows = vec![header_row(&[
        "DATA CENTRE",
        "REGION",
        "DAEMONS",
        "LOWEST",
        "HIGHEST",
        "LAGGING",
    ])];
    for data_centre in &response.data_centres {
        rows.push(vec![
            data_centre.data_centre.clone(),
            data_centre.region.clone(),
            data_centre.daemons.to_string(),
            data_centre.in_force_min.to_string(),
            data_centre.in_force_max.to_string(),
            data_centre.lagging.len().to_string(),
        ]);
    }
    text.push('\n');
    text += &table(&rows);
    let lagging = response.data_centres.iter().flat_map(|data_centre| {
        data_centre.lagging.iter().map(|daemon| {
            format!(
                "lagging: {} in {} has version {}: {}\n",
                daemon.daemon, data_centre.data_centre, daemon.version, daemon.reason
            )
        })
    });
    text.extend(lagging);
    text
}

pub(super) fn members(response: &MembersResponse) -> String {
    member_table(&response.members, response.leader.as_deref())
}

pub(super) fn rollout(response: &RolloutResponse) -> String {
    let RolloutResponse {
        service,
        version,
        state,
        share_percent,
        progress,
        ..
    } = response;
    let separator = if progress.is_empty() { "" } else { ", " };
    format!("{service} {version}: {state}, {share_percent}% of the calls{separator}{progress}\n")
}

pub(super) fn explain(response: &ExplainResponse) -> String {
    let mut text = format!(
        "{}: {} (version {})\n",
        response.decision, response.reason, response.version
    );
    text.extend(response.grant.as_ref().map(grant_line));
    if response.candidates.is_empty() {
        return text;
    }
    let mut rows = vec![header_row(&["SERVER", "DATA CENTRE", "USABLE", "REASON"])];
    for candidate in &response.candidates {
        rows.push(vec![
            candidate.server.clone(),
            candidate.data_centre.clone(),
            yes_or_no(candidate.usable),
            candidate.reason.clone(),
        ]);
    }
    text + "\n" + &table(&rows)
}

fn grant_line(grant: &ExplainGrant) -> String {
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

pub(super) fn validation(response: &ValidateResponse) -> String {
    if response.problems.is_empty() && response.warnings.is_empty() {
        return "valid\n".to_owned();
    }
    let problems = response.problems.iter().map(|p| format!("problem: {p}"));
    let warnings = response.warnings.iter().map(|p| format!("warning: {p}"));
    let lines: Vec<_> = problems.chain(warnings).collect();
    lines.join("\n") + "\n"
}

fn member_table(members: &[Member], leader: Option<&str>) -> String {
    let mut rows = vec![header_row(&["MEMBER", "ADDRESS", "ID", "VOTES", "LEADER"])];
    for member in members {
        rows.push(vec![
            member.name.clone(),
            member.address.clone(),
            member.id.to_string(),
            yes_or_no(member.voter),
            yes_or_no(leader == Some(member.name.as_str())),
        ]);
    }
    table(&rows)
}

fn header_row(cells: &[&str]) -> Vec<String> {
    cells.iter().map(|&cell| cell.to_owned()).collect()
}

fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

/// Renders rows with columns that are as wide as their widest cell and two spaces apart.
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
