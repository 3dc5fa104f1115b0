//! Edits, and the wait until they are in force everywhere.

use {
    super::{Client, Exit, Failure, Outcome, print, read_files},
    crate::{
        operator_api::{ConflictAnswer, EDITS, EditAnswer, ProblemsAnswer, STATUS, StatusAnswer},
        options::{Edit, Output},
    },
    http::StatusCode,
    serde::Serialize,
    std::io::Write,
    tokio::time::{Duration, Instant, sleep, timeout_at},
};

/// Time between two looks at the status.
const POLL: Duration = Duration::from_millis(200);

/// Result of an edit.
#[derive(Serialize)]
struct Report {
    version: u64,
    repeated: bool,
    /// None when the operator did not ask to wait.
    in_force: Option<bool>,
    warnings: Vec<crate::lists::Problem>,
}

pub(super) async fn put(
    client: &Client,
    edit: &Edit,
    form: Output,
    out: &mut impl Write,
    notes: &mut impl Write,
) -> Outcome {
    let new = read_files(&edit.files)?;
    let base = match edit.base {
        Some(base) => base,
        None => new.base()?,
    };
    let id = edit.edit_id.clone().unwrap_or_else(random_id);
    // Named before the edit is sent: the operator needs it if the answer is lost.
    let _written = writeln!(notes, "edit id {id}, base version {base}");
    let answer = send(client, new.request(id, base)).await?;
    for warning in &answer.warnings {
        let _written = writeln!(notes, "warning: {warning}");
    }

    let waited = match edit.wait {
        None => Ok(None),
        Some(limit) => wait(client, answer.version, limit)
            .await
            .map(|()| Some(true)),
    };
    let report = Report {
        version: answer.version,
        repeated: answer.repeated,
        in_force: waited.as_ref().map_or(Some(false), |found| *found),
        warnings: answer.warnings,
    };
    print(out, form, &report, describe)?;
    waited.map(|_| ())
}

fn describe(report: &Report) -> String {
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
) -> Result<EditAnswer, Failure> {
    let (id, base) = (&request.edit_id, request.base_version);
    let answer = client.send(EDITS, &request).await.map_err(|failure| {
        let advice = format!(
            "the edit may have been accepted; send it again with --base {base} --edit-id {id}, \
             which never edits twice ({})",
            failure.advice
        );
        Failure { advice, ..failure }
    })?;
    match answer.status {
        StatusCode::CONFLICT => {
            let conflict: ConflictAnswer = answer.parse()?;
            let current = conflict.current_version;
            let reason = format!("conflict: base version {base}, current version {current}");
            let advice = "get the current lists, merge the change (`anvilbeam diff` shows the \
                          differences) and put them again";
            Err(Failure::new(Exit::Conflict, reason, advice))
        }
        StatusCode::UNPROCESSABLE_ENTITY => {
            let found: ProblemsAnswer = answer.parse()?;
            Err(Failure::invalid(&found.problems))
        }
        _ => answer.json(),
    }
}

/// Waits until all daemons have `version` in force.
async fn wait(client: &Client, version: u64, limit: Duration) -> Outcome {
    let deadline = Instant::now() + limit;
    // The first look is not cut short, so that the report names the daemons that are behind.
    let mut answer = client.get::<StatusAnswer>(STATUS).await;
    let seen = loop {
        let text = match answer.map(|status| behind(&status, version)) {
            Ok(None) => return Ok(()),
            Ok(Some(text)) => text,
            Err(failure) => failure.reason,
        };
        if Instant::now() + POLL >= deadline {
            break text;
        }
        sleep(POLL).await;
        answer = match timeout_at(deadline, client.get(STATUS)).await {
            Ok(answer) => answer,
            Err(_elapsed) => break text,
        };
    };
    let reason = format!("version {version} is accepted, but not in force everywhere: {seen}");
    let advice = "the version will still be distributed; run `anvilbeam status` to see where";
    Err(Failure::new(Exit::NotInForce, reason, advice))
}

/// Where `version` is not in force; none when it is in force everywhere.
fn behind(status: &StatusAnswer, version: u64) -> Option<String> {
    // A new leader knows no daemons yet, so an empty status says nothing.
    if status.data_centres.iter().all(|place| place.daemons == 0) {
        return Some("no daemon has reported to the leader".to_owned());
    }
    let late: Vec<_> = status
        .data_centres
        .iter()
        .filter(|place| place.daemons > 0 && place.in_force_min < version)
        .map(|place| {
            let names: Vec<_> = place.lagging.iter().map(|d| d.daemon.as_str()).collect();
            format!(
                "{} has version {} ({})",
                place.data_centre,
                place.in_force_min,
                names.join(", ")
            )
        })
        .collect();
    (!late.is_empty()).then(|| late.join("; "))
}

fn random_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}
