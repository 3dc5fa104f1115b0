//! Checks the command line into a typed struct.

mod commands;

#[cfg(test)]
mod tests;

use {
    crate::{
        cli::{Cli, NOTES},
        error::{Error, Result},
        lists::{List, check_name},
        settings::Secret,
    },
    gumdrop::Options as _,
    std::{fs, net::SocketAddr, path::PathBuf, str::FromStr, time::Duration},
};

/// Longest wait of `put --wait` unless the operator sets another.
const DEFAULT_WAIT: Duration = Duration::from_secs(30);

/// Longest edit id in bytes.
const MAX_EDIT_ID: usize = 64;

/// Options with a value that may stand after the command, too.
const GLOBAL: [&str; 3] = ["--control", "--token-file", "--output"];

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parsed {
    /// Print this text and stop.
    Print(String),
    /// Run a command.
    Run(Options),
}

/// Checked options.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The command.
    pub command: Command,
    /// Operator addresses of the control replicas; empty for commands that need none.
    pub control: Vec<SocketAddr>,
    /// The operator's token; none for commands that need none.
    pub token: Option<Secret>,
    /// Form of results.
    pub output: Output,
}

/// Form of results.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Output {
    /// Text in columns.
    #[default]
    Table,
    /// One JSON value.
    Json,
}

/// Files that hold new lists; at least one is set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Files {
    /// The plans.
    pub plans: Option<PathBuf>,
    /// The grants.
    pub grants: Option<PathBuf>,
}

/// An edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// The new lists.
    pub files: Files,
    /// Version that the files were made from; none: the files name it.
    pub base: Option<u64>,
    /// Id of the edit; none: a random one.
    pub edit_id: Option<String>,
    /// How long to wait until the version is in force everywhere; none: not at all.
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
        /// The plan that calls.
        plan: String,
        /// The service that it calls.
        service: String,
        /// Local address of the daemon.
        daemon: SocketAddr,
    },
    /// Show the replicas.
    MembersList {
        /// Replica of the group that is meant; the config group without it.
        of: Option<SocketAddr>,
    },
    /// Add a replica.
    MembersAdd {
        /// Its name.
        name: String,
        /// Its peer address.
        address: SocketAddr,
        /// Replica of the group that is meant; the config group without it.
        of: Option<SocketAddr>,
    },
    /// Remove a replica.
    MembersRemove {
        /// Its name.
        name: String,
        /// Its id.
        id: Option<u64>,
        /// Replica of the group that is meant; the config group without it.
        of: Option<SocketAddr>,
    },
    /// Run all roles in this process.
    Dev {
        /// Whether to check a few answers and stop.
        check: bool,
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
/// [`Error::Invalid`] names the option; the token file may not be readable.
pub fn parse(args: &[String], env: impl Fn(&str) -> Option<String>) -> Result<Parsed> {
    let args = globals_first(args);
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
    let local = matches!(
        options.command,
        Command::Dev { .. } | Command::Explain { .. }
    );
    if !local {
        options.control = control(cli.control.or_else(|| env("ANVILBEAM_CONTROL")))?;
        options.token = Some(token(cli.token_file, env("ANVILBEAM_TOKEN"))?);
    }
    Ok(Parsed::Run(options))
}

/// Moves the global options to the front: the parser takes them only before the command.
fn globals_first(args: &[String]) -> Vec<String> {
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
        if !GLOBAL.contains(&key) {
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

/// Help of the innermost command on the command line.
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
        return format!("{text}\n{NOTES}\n");
    }
    text
}

fn control(text: Option<String>) -> Result<Vec<SocketAddr>> {
    let Some(text) = text else {
        return Err(invalid(
            "--control",
            "is missing; set it or ANVILBEAM_CONTROL",
        ));
    };
    text.split(',')
        .map(|part| value("--control", Some(part.trim().to_owned()), "ip:port"))
        .collect()
}

fn token(file: Option<String>, from_env: Option<String>) -> Result<Secret> {
    let text = match file {
        Some(file) => fs::read_to_string(&file).map_err(|source| Error::File {
            step: "read --token-file",
            path: file.into(),
            source,
        })?,
        None => from_env
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

fn name(option: &str, text: Option<String>) -> Result<String> {
    let text = text.ok_or_else(|| invalid(option, "is missing"))?;
    check_name(&text).map_err(|reason| invalid(option, reason))?;
    Ok(text)
}

fn value<T: FromStr>(option: &str, text: Option<String>, form: &str) -> Result<T> {
    let text = text.ok_or_else(|| invalid(option, "is missing"))?;
    text.parse()
        .ok()
        .ok_or_else(|| invalid(option, format!("{text:?} is not {form}")))
}

fn invalid(place: &str, reason: impl Into<String>) -> Error {
    Error::Invalid {
        place: place.to_owned(),
        reason: reason.into(),
    }
}
