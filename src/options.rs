//! Parses and validates the command line of `anvilbeam` into typed options.

mod commands;

#[cfg(test)]
mod tests;

use {
    crate::{
        cli::{Cli, HELP_FOOTER},
        error::{Error, Result},
        lists::{List, check_name},
        operator_api::RolloutRequest,
        settings::Secret,
    },
    gumdrop::Options as _,
    std::{fs, net::SocketAddr, path::PathBuf, str::FromStr, time::Duration},
};

/// Default for the maximum wait of `put --wait`.
const DEFAULT_WAIT: Duration = Duration::from_secs(30);

/// Maximum length of an edit id in bytes.
const MAX_EDIT_ID_BYTES: usize = 64;

/// Options with a value that may be given before or after the command.
const GLOBAL_OPTIONS: [&str; 3] = ["--control", "--token-file", "--output"];

/// Result of parsing the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parsed {
    /// Print this text and exit.
    Print(String),
    /// Run a command.
    Run(Options),
}

/// Validated options.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The command.
    pub command: Command,
    /// Operator addresses of the control replicas; empty for commands that need none.
    pub control: Vec<SocketAddr>,
    /// The operator's token; `None` for commands that need none.
    pub token: Option<Secret>,
    /// Output format of results.
    pub output: Output,
}

/// Output format of results.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Output {
    /// Text in columns.
    #[default]
    Table,
    /// One JSON value.
    Json,
}

/// Files that contain new lists; at least one is set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Files {
    /// File with the plans; `None` means the current plans.
    pub plans: Option<PathBuf>,
    /// File with the grants; `None` means the current grants.
    pub grants: Option<PathBuf>,
}

/// An edit of the lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// The new lists.
    pub files: Files,
    /// Version that the files are based on; `None` means the version that the files name.
    pub base: Option<u64>,
    /// Id of the edit; `None` means a random one.
    pub edit_id: Option<String>,
    /// Maximum wait until the version is in force everywhere; `None` means no wait.
    pub wait: Option<Duration>,
}

/// A command with its options.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print a list.
    Get(List),
    /// Replace lists.
    Put(Edit),
    /// Compare files with the lists in force.
    Diff(Files),
    /// Validate files.
    Validate(Files),
    /// Show the state of the mesh.
    Status,
    /// Show how a daemon would route a call.
    Explain {
        /// Plan of the caller.
        plan: String,
        /// Service to call.
        service: String,
        /// Local address of the daemon.
        daemon: SocketAddr,
    },
    /// Show the replicas of a group.
    MembersList {
        /// Peer address of a replica of the group; `None` means the config group.
        of: Option<SocketAddr>,
    },
    /// Add a replica to a group.
    MembersAdd {
        /// Its name.
        name: String,
        /// Its peer address.
        address: SocketAddr,
        /// Peer address of a replica of the group; `None` means the config group.
        of: Option<SocketAddr>,
    },
    /// Remove a replica from a group.
    MembersRemove {
        /// Its name.
        name: String,
        /// Its id; `None` if its name is unambiguous.
        id: Option<u64>,
        /// Peer address of a replica of the group; `None` means the config group.
        of: Option<SocketAddr>,
    },
    /// Order, show or follow a rollout.
    Rollout(RolloutAction),
    /// Run all roles in this process.
    Dev {
        /// Whether to make a few calls and edits, check the answers and exit.
        check: bool,
    },
}

/// What to do with the rollout of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutAction {
    /// Order it.
    Start(RolloutRequest),
    /// Show its state.
    State {
        /// The service.
        service: String,
    },
    /// Show its progress until it has ended.
    Follow {
        /// The service.
        service: String,
    },
}

/// Parses the arguments after the program's name. `env` looks up an environment variable.
///
/// ```
/// use anvilbeam::options::{Command, Parsed, parse};
/// let args = ["status", "--control", "127.0.0.1:7001"].map(str::to_owned);
/// let env = |name: &str| (name == "ANVILBEAM_TOKEN").then(|| "0123456789abcdef".to_owned());
/// let Parsed::Run(options) = parse(&args, env).unwrap() else { panic!() };
/// assert_eq!(options.command, Command::Status);
/// ```
///
/// # Errors
/// [`Error::Invalid`] names the invalid option; [`Error::File`] if the token file can't be read.
pub fn parse(args: &[String], env: impl Fn(&str) -> Option<String>) -> Result<Parsed> {
    let args = move_globals_first(args);
    let cli = Cli::parse_args_default(&args).map_err(|e| invalid("options", e.to_string()))?;
    if cli.help_requested() {
        return Ok(Parsed::Print(help(&cli)));
    }
    if cli.version {
        let text = concat!("anvilbeam ", env!("CARGO_PKG_VERSION"), "\n");
        return Ok(Parsed::Print(text.to_owned()));
    }
    let Some(command) = cli.command else {
        return Err(invalid("command", "is missing; see anvilbeam --help"));
    };
    let command = commands::check_command(command)?;
    let output = match cli.output.as_deref() {
        None | Some("table") => Output::Table,
        Some("json") => Output::Json,
        Some(other) => {
            return Err(invalid(
                "--output",
                format!("{other:?} is not table or json"),
            ));
        }
    };
    let mut options = Options {
        command,
        control: Vec::new(),
        token: None,
        output,
    };
    let needs_no_control = matches!(
        options.command,
        Command::Dev { .. } | Command::Explain { .. }
    );
    if !needs_no_control {
        options.control = parse_control(cli.control.or_else(|| env("ANVILBEAM_CONTROL")))?;
        options.token = Some(read_token(cli.token_file, env("ANVILBEAM_TOKEN"))?);
    }
    Ok(Parsed::Run(options))
}

/// Moves the global options to the front, since the parser accepts them only before the command.
fn move_globals_first(args: &[String]) -> Vec<String> {
    let mut first = Vec::new();
    let mut others = Vec::new();
    let mut args = args.iter();
    while let Some(arg) = args.next() {
        if arg == "--" {
            others.push(arg.clone());
            others.extend(args.cloned());
            break;
        }
        let key = arg.split('=').next().unwrap_or_default();
        if !GLOBAL_OPTIONS.contains(&key) {
            others.push(arg.clone());
            continue;
        }
        first.push(arg.clone());
        if key == arg {
            first.extend(args.next().cloned());
        }
    }
    first.extend(others);
    first
}

/// Returns the help of the innermost command on the command line.
fn help(cli: &Cli) -> String {
    let mut path = "anvilbeam".to_owned();
    let mut innermost: &dyn gumdrop::Options = cli;
    while let Some(command) = innermost.command() {
        innermost = command;
        if let Some(name) = command.command_name() {
            path.push(' ');
            path.push_str(name);
        }
    }
    let usage = innermost.self_usage();
    let Some(commands) = innermost.self_command_list() else {
        return format!("Usage: {path} [OPTIONS]\n\n{usage}\n");
    };
    let text = format!("Usage: {path} [OPTIONS] COMMAND\n\n{usage}\n\nCommands:\n{commands}\n");
    if cli.command.is_none() {
        return format!("{text}\n{HELP_FOOTER}\n");
    }
    text
}

/// Parses `--control`: addresses separated by commas.
fn parse_control(text: Option<String>) -> Result<Vec<SocketAddr>> {
    let Some(text) = text else {
        return Err(invalid(
            "--control",
            "is missing; set it or ANVILBEAM_CONTROL",
        ));
    };
    text.split(',')
        .map(|part| parse_value("--control", Some(part.trim().to_owned()), "ip:port"))
        .collect()
}

/// Reads the operator's token from `file`, or uses `env_token` if `file` is `None`.
fn read_token(file: Option<String>, env_token: Option<String>) -> Result<Secret> {
    let text = match file {
        Some(file) => fs::read_to_string(&file).map_err(|source| Error::File {
            step: "read --token-file",
            path: file.into(),
            source,
        })?,
        None => env_token
            .ok_or_else(|| invalid("--token-file", "is missing; set it or ANVILBEAM_TOKEN"))?,
    };
    let text = text.trim();
    // The token travels in an HTTP header.
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_graphic()) {
        let reason = "the token is empty or contains a character other than visible ASCII";
        return Err(invalid("--token-file", reason));
    }
    Ok(Secret::from(text))
}

/// Checks that a required option is a valid name.
fn parse_name(option: &str, text: Option<String>) -> Result<String> {
    let text = text.ok_or_else(|| invalid(option, "is missing"))?;
    check_name(&text).map_err(|reason| invalid(option, reason))?;
    Ok(text)
}

/// Parses a required option; `form` describes the expected value in errors.
fn parse_value<T: FromStr>(option: &str, text: Option<String>, form: &str) -> Result<T> {
    let text = text.ok_or_else(|| invalid(option, "is missing"))?;
    text.parse()
        .ok()
        .ok_or_else(|| invalid(option, format!("{text:?} is not {form}")))
}

fn invalid(location: &str, reason: impl Into<String>) -> Error {
    Error::Invalid {
        location: location.to_owned(),
        reason: reason.into(),
    }
}
