//! Runs the commands of operators against the control replicas and the daemons.

mod client;
mod edit;
mod files;
mod rollouts;
mod show;

#[cfg(test)]
mod tests;

pub use client::{Client, Timeouts};

use {
    crate::{
        error::Error,
        lists::{List, Problem, diff},
        operator_api::{
            self, ExplainResponse, ListsResponse, MemberAction, MemberRequest, MembersResponse,
            StatusResponse, ValidateResponse,
        },
        options::{Command, Files, Options, Output},
    },
    files::{parse_both, read_files},
    http::StatusCode,
    serde::Serialize,
    std::{fmt, io::Write},
};

/// Exit codes of `anvilbeam`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command failed.
    Failed = 1,
    /// The options or their values are invalid.
    Usage = 2,
    /// The base version of the edit is not current, or the membership change conflicts with another
    /// one.
    Conflict = 3,
    /// A list is invalid.
    Invalid = 4,
    /// No control replica responded as leader, the daemon did not respond, or the response to a
    /// membership change was lost.
    Unreachable = 5,
    /// The edit was accepted, but its version was not in force everywhere before the timeout.
    NotInForce = 6,
}

/// Error of a command, with the exit code and what the operator can do about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandError {
    /// Exit code of the program.
    pub exit: Exit,
    /// What failed.
    pub reason: String,
    /// What the operator can do about it.
    pub advice: String,
}

impl CommandError {
    fn new(exit: Exit, reason: impl Into<String>, advice: impl Into<String>) -> Self {
        Self {
            exit,
            reason: reason.into(),
            advice: advice.into(),
        }
    }

    fn invalid(problems: &[Problem]) -> Self {
        let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
        let reason = format!("the lists are invalid\n{}", lines.join("\n"));
        let advice = "correct the listed lines and run the command again; nothing was changed";
        Self::new(Exit::Invalid, reason, advice)
    }
}

impl From<Error> for CommandError {
    fn from(e: Error) -> Self {
        Self::new(
            Exit::Failed,
            e.to_string(),
            "check the path and the permissions of the file",
        )
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "error: {}\nnext: {}", self.reason, self.advice)
    }
}

type CommandResult = std::result::Result<(), CommandError>;

/// Runs one command. Writes the result to `out`, and warnings and errors to `diagnostics`.
/// [`Command::Dev`] is not a client command and returns an error.
pub async fn run(options: &Options, out: &mut impl Write, diagnostics: &mut impl Write) -> Exit {
    let client = Client::new(&options.control, options.token.clone(), Timeouts::default());
    run_with_client(&client, options, out, diagnostics).await
}

/// Like [`run`], with the given client.
pub async fn run_with_client(
    client: &Client,
    options: &Options,
    out: &mut impl Write,
    diagnostics: &mut impl Write,
) -> Exit {
    let Err(error) = dispatch(client, options, out, diagnostics).await else {
        return Exit::Done;
    };
    // A write to standard error fails if it is closed; the exit code still reports the error.
    let _written = writeln!(diagnostics, "{error}");
    error.exit
}

async fn dispatch(
    client: &Client,
    options: &Options,
    out: &mut impl Write,
    diagnostics: &mut impl Write,
) -> CommandResult {
    let format = options.output;
    match &options.command {
        Command::Get(list) => get(client, *list, format, out).await,
        Command::Put(edit) => edit::put(client, edit, format, out, diagnostics).await,
        Command::Diff(files) => diff_files(client, files, format, out).await,
        Command::Validate(files) => validate(client, files, format, out).await,
        Command::Status => {
            let response: StatusResponse = client.get(operator_api::STATUS).await?;
            print(out, format, &response, show::status)
        }
        Command::Explain {
            plan,
            service,
            daemon,
        } => {
            let path = format!("{}?plan={plan}&service={service}", operator_api::EXPLAIN);
            let response: ExplainResponse = client.get_from_daemon(*daemon, &path).await?;
            print(out, format, &response, show::explain)
        }
        Command::MembersList { of } => {
            let path = match of {
                Some(of) => format!("{}?of={of}", operator_api::MEMBERS),
                None => operator_api::MEMBERS.to_owned(),
            };
            let response: MembersResponse = client.get(&path).await?;
            print(out, format, &response, show::members)
        }
        Command::MembersAdd { name, address, of } => {
            let request = MemberRequest {
                action: MemberAction::Add,
                name: name.clone(),
                address: Some(address.to_string()),
                id: None,
                of: of.map(|of| of.to_string()),
            };
            change_members(client, &request, format, out).await
        }
        Command::MembersRemove { name, id, of } => {
            let request = MemberRequest {
                action: MemberAction::Remove,
                name: name.clone(),
                address: None,
                id: *id,
                of: of.map(|of| of.to_string()),
            };
            change_members(client, &request, format, out).await
        }
        Command::Rollout(action) => rollouts::run(client, action, format, out, diagnostics).await,
        Command::Dev { .. } => Err(CommandError::new(
            Exit::Failed,
            "dev is not a client command",
            "run `anvilbeam dev`",
        )),
    }
}

async fn get(client: &Client, list: List, format: Output, out: &mut impl Write) -> CommandResult {
    let response: ListsResponse = client.get(operator_api::LISTS).await?;
    let text = match list {
        List::Plans => &response.plans,
        List::Grants => &response.grants,
    };
    if format == Output::Json {
        let version = response.version;
        let value = serde_json::json!({ "version": version, (list.to_string()): text });
        return write_out(out, &format!("{value}\n"));
    }
    write_out(out, &files::prepend_version(response.version, text))
}

async fn diff_files(
    client: &Client,
    files: &Files,
    format: Output,
    out: &mut impl Write,
) -> CommandResult {
    let new = read_files(files)?;
    let current: ListsResponse = client.get(operator_api::LISTS).await?;
    let old = parse_both(&current.plans, &current.grants)?;
    let plans = new.plans.as_deref().unwrap_or(&current.plans);
    let grants = new.grants.as_deref().unwrap_or(&current.grants);
    let new = parse_both(plans, grants)?;
    let changes = diff(&old, &new);
    print(out, format, &changes, |changes| show::changes(changes))
}

async fn validate(
    client: &Client,
    files: &Files,
    format: Output,
    out: &mut impl Write,
) -> CommandResult {
    let new = read_files(files)?;
    let request = new.request(String::new(), 0);
    let response: ValidateResponse = client.post(operator_api::VALIDATE, &request).await?;
    print(out, format, &response, show::validation)?;
    if response.problems.is_empty() {
        return Ok(());
    }
    let reason = format!("{} problems", response.problems.len());
    Err(CommandError::new(
        Exit::Invalid,
        reason,
        "correct the listed lines and validate again",
    ))
}

async fn change_members(
    client: &Client,
    request: &MemberRequest,
    format: Output,
    out: &mut impl Write,
) -> CommandResult {
    let response = client.post_once(operator_api::MEMBERS, request).await?;
    if response.status == StatusCode::CONFLICT {
        let advice =
            "run `anvilbeam members list`; a membership change must complete before the next one";
        return Err(CommandError::new(
            Exit::Conflict,
            response.error().reason,
            advice,
        ));
    }
    let members: MembersResponse = response.json()?;
    print(out, format, &members, show::members)
}

/// Writes a result in the requested format.
fn print<T: Serialize>(
    out: &mut impl Write,
    format: Output,
    value: &T,
    render_table: impl Fn(&T) -> String,
) -> CommandResult {
    let text = match format {
        Output::Table => render_table(value),
        Output::Json => format!("{}\n", serde_json::json!(value)),
    };
    write_out(out, &text)
}

fn write_out(out: &mut impl Write, text: &str) -> CommandResult {
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    written.map_err(|e| {
        let reason = format!("write to standard output: {e}");
        CommandError::new(Exit::Failed, reason, "check the destination of the output")
    })
}
