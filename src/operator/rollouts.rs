//! Commands that order and follow rollouts.

use {
    super::{Client, CommandError, CommandResult, Exit, print, show},
    crate::{
        operator_api::{ROLLOUTS, RolloutRequest, RolloutResponse},
        options::{Output, RolloutAction},
    },
    http::StatusCode,
    std::{io::Write, time::Duration},
    tokio::time::sleep,
};

/// Time between two reads of the progress.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

pub(super) async fn run(
    client: &Client,
    action: &RolloutAction,
    format: Output,
    out: &mut impl Write,
    diagnostics: &mut impl Write,
) -> CommandResult {
    match action {
        RolloutAction::Start(request) => start(client, request, format, out).await,
        RolloutAction::State { service } => {
            let response = read(client, service).await?;
            print(out, format, &response, show::rollout)
        }
        RolloutAction::Follow { service } => {
            follow(client, service, format, out, diagnostics).await
        }
    }
}

async fn start(
    client: &Client,
    request: &RolloutRequest,
    format: Output,
    out: &mut impl Write,
) -> CommandResult {
    let response = client.send(ROLLOUTS, request).await?;
    if response.status == StatusCode::CONFLICT {
        let advice = "wait for its end; `anvilbeam rollout follow` shows its progress";
        return Err(CommandError::new(
            Exit::Conflict,
            response.error().reason,
            advice,
        ));
    }
    let response: RolloutResponse = response.json()?;
    print(out, format, &response, show::rollout)
}

async fn read(client: &Client, service: &str) -> Result<RolloutResponse, CommandError> {
    client.get(&format!("{ROLLOUTS}?service={service}")).await
}

/// Writes each change of the progress to `diagnostics` and the final state to `out`.
async fn follow(
    client: &Client,
    service: &str,
    format: Output,
    out: &mut impl Write,
    diagnostics: &mut impl Write,
) -> CommandResult {
    let mut before = None;
    loop {
        let response = read(client, service).await?;
        if response.state != "running" {
            print(out, format, &response, show::rollout)?;
            if response.state == "succeeded" {
                return Ok(());
            }
            let reason = format!("version {} was rolled back", response.version);
            let advice = "see event 903 in the log of the leader for the reason";
            return Err(CommandError::new(Exit::Failed, reason, advice));
        }
        let text = show::rollout(&response);
        if before.as_ref() != Some(&text) {
            // The command goes on if standard error is closed.
            let _written = diagnostics.write_all(text.as_bytes());
            before = Some(text);
        }
        sleep(FOLLOW_INTERVAL).await;
    }
}
