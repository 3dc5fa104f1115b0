//! Sends edits and waits until their version is in force everywhere.

use {
    super::{Client, CommandError, CommandResult, Exit, print, read_files},
    crate::{
        operator_api::{
            ConflictResponse, EDITS, EditResponse, ProblemsResponse, STATUS, StatusResponse,
        },
        options::{Edit, Output},
    },
    http::StatusCode,
    serde::Serialize,
    std::io::Write,
    tokio::time::{Duration, Instant, sleep, timeout_at},
};

/// Interval between polls of the status.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Result of an edit, as printed.
#[derive(Serialize)]
struct PutReport {
    version: u64,
    repeated: bool,
    /// Whether the version was in force everywhere before the timeout; `None` without `--wait`.
    in_force: Option<bool>,
    warnings: Vec<crate::lists::Problem>,
}

pub(super) async fn put(
    client: &Client,
    edit: &Edit,
    format: Output,
    out: &mut impl Write,
    diagnostics: &mut impl Write,
) -> CommandResult {
    let new = read_files(&edit.files)?;
    let base = match edit.base {
        Some(base) => base,
        None => new.base_version()?,
    };
    let id = edit.edit_id.clone().unwrap_or_else(random_id);
    // Printed before the edit is sent: the operator needs the id if the response is lost.
    let _written = writeln!(diagnostics, "edit id {id}, base version {base}");
    let response = send(client, new.request(id, base)).await?;
    for warning in &response.warnings {
        let _written = writeln!(diagnostics, "warning: {warning}");
    }

    let waited = match edit.wait {
        None => Ok(None),
        Some(limit) => wait_in_force(client, response.version, limit)
            .await
            .map(|()| Some(true)),
    };
    let report = PutReport {
        version: response.version,
        repeated: response.repeated,
        in_force: waited.as_ref().map_or(Some(false), |in_force| *in_force),
        warnings: response.warnings,
    };
    print(out, format, &report, render_report)?;
    waited.map(|_| ())
}

fn render_report(report: &PutReport) -> String {
    let repeated = if report.repeated {
        " (accepted before under this edit id)"
    } else {
        ""
    };
    let state = match report.in_force {
        None => "accepted",
        Some(true) => "in force everywhere",
        Some(false) => "accepted, not in force everywhere yet",
    };
    format!("version {} {state}{repeated}\n", report.version)
}

async fn send(
    client: &Client,
    request: crate::operator_api::EditRequest,
) -> Result<EditResponse, CommandError> {
    let (id, base) = (&request.edit_id, request.base_version);
    let response = client.send(EDITS, &request).await.map_err(|error| {
        let advice = format!(
            "the edit may have been accepted; send it again with --base {base} --edit-id {id}, \
             which applies it at most once ({})",
            error.advice
        );
        CommandError { advice, ..error }
    })?;
    match response.status {
        StatusCode::CONFLICT => {
            let conflict: ConflictResponse = response.parse()?;
            let current = conflict.current_version;
            let reason = format!("conflict: base version {base}, current version {current}");
            let advice = "get the current lists, merge the change (`anvilbeam diff` shows the \
                          differences) and put them again";
            Err(CommandError::new(Exit::Conflict, reason, advice))
        }
        StatusCode::UNPROCESSABLE_ENTITY => {
            let invalid: ProblemsResponse = response.parse()?;
            Err(CommandError::invalid(&invalid.problems))
        }
        _ => response.json(),
    }
}

/// Waits up to `limit` until all daemons have `version` in force.
async fn wait_in_force(client: &Client, version: u64, limit: Duration) -> CommandResult {
    let deadline = Instant::now() + limit;
    // The deadline doesn't apply to the first request, so that the error names the lagging daemons.
    let mut response = client.get::<StatusResponse>(STATUS).await;
    let last_status = loop {
        let text = match response.map(|status| describe_lagging(&status, version)) {
            Ok(None) => return Ok(()),
            Ok(Some(text)) => text,
            Err(error) => error.reason,
        };
        if Instant::now() + POLL_INTERVAL >= deadline {
            break text;
        }
        sleep(POLL_INTERVAL).await;
        response = match timeout_at(deadline, client.get(STATUS)).await {
            Ok(response) => response,
            Err(_elapsed) => break text,
        };
    };
    let reason =
        format!("version {version} is accepted, but not in force everywhere: {last_status}");
    let advice = "distribution continues; run `anvilbeam status` to see the lagging daemons";
    Err(CommandError::new(Exit::NotInForce, reason, advice))
}

/// Describes the data centres in which `version` is not in force; `None` if it is in force
/// everywhere.
fn describe_lagging(status: &StatusResponse, version: u64) -> Option<String> {
    // A new leader has no reports of daemons yet, so a status without daemons is inconclusive.
    if status
        .data_centres
        .iter()
        .all(|data_centre| data_centre.daemons == 0)
    {
        return Some("no daemon has reported to the leader".to_owned());
    }
    let lagging: Vec<_> = status
        .data_centres
        .iter()
        .filter(|data_centre| data_centre.daemons > 0 && data_centre.in_force_min < version)
        .map(|data_centre| {
            let names: Vec<_> = data_centre
                .lagging
                .iter()
                .map(|d| d.daemon.as_str())
                .collect();
            format!(
                "{} has version {} ({})",
                data_centre.data_centre,
                data_centre.in_force_min,
                names.join(", ")
            )
        })
        .collect();
    (!lagging.is_empty()).then(|| lagging.join("; "))
}

fn random_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}
