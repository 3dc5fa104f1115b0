//! Runs the operators' commands against the control replicas and the daemons.

mod client;
mod edit;
mod files;
mod show;

#[cfg(test)]
mod tests;

pub use client::{Client, Limits};

use {
    crate::{
        error::Error,
        lists::{List, Problem, diff},
        operator_api::{
            self, ExplainAnswer, ListsAnswer, MemberAction, MemberRequest, MembersAnswer,
            StatusAnswer, ValidateAnswer,
        },
        options::{Command, Files, Options, Output},
    },
    files::{check_both, read_files},
    http::StatusCode,
    serde::Serialize,
    std::{fmt, io::Write},
};

/// Exit codes of `anvilbeam`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command is done.
    Done = 0,
    /// The command failed.
    Failed = 1,
    /// The options are wrong.
    Usage = 2,
    /// The lists changed since the base version.
    Conflict = 3,
    /// A list is not valid.
    Invalid = 4,
    /// No control replica, or not the daemon, could be reached.
    Unreachable = 5,
    /// The edit is accepted, but not in force everywhere in time.
    NotInForce = 6,
}

/// A command that did not succeed: the exit code, what went wrong, and what to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Exit code of the program.
    pub exit: Exit,
    /// What went wrong.
    pub reason: String,
    /// What the operator can do.
    pub advice: String,
}

impl Failure {
    fn new(exit: Exit, reason: impl Into<String>, advice: impl Into<String>) -> Self {
        Self {
            exit,
            reason: reason.into(),
            advice: advice.into(),
        }
    }

    fn invalid(problems: &[Problem]) -> Self {
        let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
        let reason = format!("the lists are not valid\n{}", lines.join("\n"));
        let advice = "correct the lines named and run the command again; nothing changed";
        Self::new(Exit::Invalid, reason, advice)
    }
}

impl From<Error> for Failure {
    fn from(e: Error) -> Self {
        Self::new(
            Exit::Failed,
            e.to_string(),
            "check the file and its permissions",
        )
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "error: {}\nnext: {}", self.reason, self.advice)
    }
}

type Outcome = std::result::Result<(), Failure>;

/// Runs one command: the result goes to `out`, all other text to `notes`. [`Command::Dev`] is not a
/// client command and fails here.
pub async fn run(options: &Options, out: &mut impl Write, notes: &mut impl Write) -> Exit {
    let client = Client::new(&options.control, options.token.clone(), Limits::default());
    run_with(&client, options, out, notes).await
}

/// As [`run`], with a client that the caller has set up.
pub async fn run_with(
    client: &Client,
    options: &Options,
    out: &mut impl Write,
    notes: &mut impl Write,
) -> Exit {
    let Err(failure) = dispatch(client, options, out, notes).await else {
        return Exit::Done;
    };
    // Standard error may be closed; the exit code still tells the outcome.
    let _written = writeln!(notes, "{failure}");
    failure.exit
}

async fn dispatch(
    client: &Client,
    options: &Options,
    out: &mut impl Write,
    notes: &mut impl Write,
) -> Outcome {
    let form = options.output;
    match &options.command {
        Command::Get(list) => get(client, *list, form, out).await,
        Command::Put(edit) => edit::put(client, edit, form, out, notes).await,
        Command::Diff(files) => compare(client, files, form, out).await,
        Command::Validate(files) => validate(client, files, form, out).await,
        Command::Status => {
            let answer: StatusAnswer = client.get(operator_api::STATUS).await?;
            print(out, form, &answer, show::status)
        }
        Command::Explain {
            plan,
            service,
            daemon,
        } => {
            let path = format!("{}?plan={plan}&service={service}", operator_api::EXPLAIN);
            let answer: ExplainAnswer = client.get_from(*daemon, &path).await?;
            print(out, form, &answer, show::explain)
        }
        Command::MembersList { of } => {
            let path = match of {
                Some(of) => format!("{}?of={of}", operator_api::MEMBERS),
                None => operator_api::MEMBERS.to_owned(),
            };
            let answer: MembersAnswer = client.get(&path).await?;
            print(out, form, &answer, show::members)
        }
        Command::MembersAdd { name, address, of } => {
            let request = MemberRequest {
                action: MemberAction::Add,
                name: name.clone(),
                address: Some(address.to_string()),
                id: None,
                of: of.map(|of| of.to_string()),
            };
            change_members(client, &request, form, out).await
        }
        Command::MembersRemove { name, id, of } => {
            let request = MemberRequest {
                action: MemberAction::Remove,
                name: name.clone(),
                address: None,
                id: *id,
                of: of.map(|of| of.to_string()),
            };
            change_members(client, &request, form, out).await
        }
        Command::Dev { .. } => Err(Failure::new(
            Exit::Failed,
            "dev is not a client command",
            "run it through the program anvilbeam",
        )),
    }
}

async fn get(client: &Client, list: List, form: Output, out: &mut impl Write) -> Outcome {
    let answer: ListsAnswer = client.get(operator_api::LISTS).await?;
    let text = match list {
        List::Plans => &answer.plans,
        List::Grants => &answer.grants,
    };
    if form == Output::Json {
        let version = answer.version;
        let value = serde_json::json!({ "version": version, (list.to_string()): text });
        return write_out(out, &format!("{value}\n"));
    }
    write_out(out, &files::with_version(answer.version, text))
}

async fn compare(client: &Client, files: &Files, form: Output, out: &mut impl Write) -> Outcome {
    let new = read_files(files)?;
    let current: ListsAnswer = client.get(operator_api::LISTS).await?;
    let old = check_both(&current.plans, &current.grants)?;
    let plans = new.plans.as_deref().unwrap_or(&current.plans);
    let grants = new.grants.as_deref().unwrap_or(&current.grants);
    let new = check_both(plans, grants)?;
    let changes = diff(&old, &new);
    print(out, form, &changes, |changes| show::changes(changes))
}

async fn validate(client: &Client, files: &Files, form: Output, out: &mut impl Write) -> Outcome {
    let new = read_files(files)?;
    let request = new.request(String::new(), 0);
    let answer: ValidateAnswer = client.post(operator_api::VALIDATE, &request).await?;
    print(out, form, &answer, show::validation)?;
    if answer.problems.is_empty() {
        return Ok(());
    }
    let reason = format!("{} problems", answer.problems.len());
    Err(Failure::new(
        Exit::Invalid,
        reason,
        "correct the lines named and validate again",
    ))
}

async fn change_members(
    client: &Client,
    request: &MemberRequest,
    form: Output,
    out: &mut impl Write,
) -> Outcome {
    let answer = client.post_once(operator_api::MEMBERS, request).await?;
    if answer.status == StatusCode::CONFLICT {
        let advice = "run `anvilbeam members list`; one change must be complete before the next";
        return Err(Failure::new(Exit::Conflict, answer.error().reason, advice));
    }
    let members: MembersAnswer = answer.json()?;
    print(out, form, &members, show::members)
}

/// Writes a result in the form that the operator asked for.
fn print<T: Serialize>(
    out: &mut impl Write,
    form: Output,
    value: &T,
    table: impl Fn(&T) -> String,
) -> Outcome {
    let text = match form {
        Output::Table => table(value),
        Output::Json => format!("{}\n", serde_json::json!(value)),
    };
    write_out(out, &text)
}

fn write_out(out: &mut impl Write, text: &str) -> Outcome {
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    written.map_err(|e| {
        let reason = format!("write to standard output: {e}");
        Failure::new(Exit::Failed, reason, "check where the output goes")
    })
}
