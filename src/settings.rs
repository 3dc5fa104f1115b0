//! Settings of the programs: one YAML file each, loaded once at start.

mod control;
mod daemon;
mod units;

#[cfg(test)]
mod tests;

pub use {
    control::{Control, Group, Operator, Replica},
    daemon::Daemon,
    units::{Human, parse_duration, parse_size},
};

use {
    crate::{
        dialect::Dialect,
        error::{Error, Result},
        lists::check_name,
        platform, yaml,
    },
    log::LevelFilter,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_with::serde_as,
    std::{fmt, fs, path::Path},
};

/// Largest settings file in bytes.
pub const MAX_SETTINGS: usize = 1024 * 1024;

/// Shortest token in characters; a shorter one can be guessed.
pub const MIN_TOKEN: usize = 16;

/// Text that must not appear in logs.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// The text itself.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Secret {
    fn from(text: &str) -> Self {
        Self(text.to_owned())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// What is logged, and how.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Least important level that is written: `error`, `warn`, `info`, `debug`, `trace` or `off`.
    #[serde_as(as = "Human")]
    pub level: LevelFilter,
    /// Form of a line.
    pub format: LogFormat,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            format: LogFormat::Text,
        }
    }
}

/// Form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Time, level, target and message.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

/// What callers, backend servers and operators speak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Interface {
    /// The interface of this project.
    #[default]
    Own,
    /// The interface of the Bureau's platform, besides our own for operators.
    Platform,
}

impl Interface {
    /// Headers and rules towards callers and backend servers.
    pub const fn dialect(self) -> Dialect {
        match self {
            Self::Own => Dialect::native(),
            Self::Platform => platform::dialect(),
        }
    }
}

/// How versions and endpoint sets reach a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TreeShape {
    /// Through the relays of the region and the data centre.
    #[default]
    Relayed,
    /// From the leader of the config group; for meshes of some hundred daemons.
    Direct,
}

/// A setting that does not fit the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wrong {
    /// The key, such as `operator_address`.
    pub key: &'static str,
    /// What is wrong, with the value.
    pub reason: String,
}

impl Wrong {
    fn new(key: &'static str, reason: impl Into<String>) -> Self {
        Self {
            key,
            reason: reason.into(),
        }
    }
}

/// Reads and parses a settings file, then applies `finish`, which may refuse a key.
fn load<T: DeserializeOwned>(
    path: &Path,
    finish: impl FnOnce(&mut T, &Path) -> std::result::Result<(), Wrong>,
) -> Result<T> {
    let text = read(path, MAX_SETTINGS)?;
    parse(path, &text, finish)
}

fn parse<T: DeserializeOwned>(
    path: &Path,
    text: &str,
    finish: impl FnOnce(&mut T, &Path) -> std::result::Result<(), Wrong>,
) -> Result<T> {
    let mut settings = yaml::parse(text).map_err(|fault| refused(path, text, fault))?;
    // Paths in the file are relative to the file, so that a folder of settings can be moved.
    let folder = path.parent().unwrap_or(Path::new(""));
    finish(&mut settings, folder).map_err(|wrong| Error::Invalid {
        place: match line_of(text, wrong.key) {
            Some(line) => format!("{}:{line}: {}", path.display(), wrong.key),
            None => format!("{}: {}", path.display(), wrong.key),
        },
        reason: wrong.reason,
    })?;
    Ok(settings)
}

/// Reads a text file of at most `limit` bytes.
fn read(path: &Path, limit: usize) -> Result<String> {
    let failed = |source| Error::File {
        step: "read settings",
        path: path.to_owned(),
        source,
    };
    let size = fs::metadata(path).map_err(failed)?.len();
    if size > limit as u64 {
        return Err(Error::TooLarge {
            step: "read settings",
            size: usize::try_from(size).unwrap_or(usize::MAX),
            limit,
        });
    }
    fs::read_to_string(path).map_err(failed)
}

/// Line of a top-level key, from 1.
fn line_of(text: &str, key: &str) -> Option<usize> {
    let is_key = |line: &str| {
        line.strip_prefix(key)
            .is_some_and(|rest| rest.trim_start().starts_with(':'))
    };
    text.lines().position(is_key).map(|index| index + 1)
}

fn refused(path: &Path, text: &str, mut fault: yaml::Fault) -> Error {
    let index = usize::try_from(fault.line.saturating_sub(1)).unwrap_or(usize::MAX);
    let line = text.lines().nth(index).unwrap_or_default();
    // The error goes to the log, where no token may stand.
    if line.contains("token") {
        fault.found = None;
    }
    let place = format!("{}:{}:{}", path.display(), fault.line, fault.column);
    // The parser places a missing key at another key, and names the missing one itself.
    let key = key_of(line).filter(|_| !fault.reason.contains("missing field"));
    Error::Invalid {
        place: key.map_or(place.clone(), |key| format!("{place}: {key}")),
        reason: fault.to_string(),
    }
}

/// The key at the start of a line.
fn key_of(line: &str) -> Option<&str> {
    let (key, _) = line.trim_start_matches([' ', '-']).split_once(':')?;
    let is_key = key.chars().all(|c| c.is_ascii_alphanumeric() || c == '_');
    (is_key && !key.is_empty()).then_some(key)
}

/// Takes the token from `token` or from the file that `file` names.
/// Reads a token from a file that the command line names, relative to the working directory.
///
/// # Errors
/// The file can't be read.
pub fn read_token(path: &Path) -> Result<Secret> {
    read(path, MAX_SETTINGS).map(|text| Secret::from(text.trim()))
}

fn take_token(
    token: &mut Option<Secret>,
    file: Option<&Path>,
    folder: &Path,
) -> std::result::Result<(), Wrong> {
    let Some(file) = file else {
        return Ok(());
    };
    if token.is_some() {
        let reason = "mesh_token is set too; keep one of the two";
        return Err(Wrong::new("mesh_token_file", reason));
    }
    let text = read(&folder.join(file), MAX_SETTINGS)
        .map_err(|e| Wrong::new("mesh_token_file", e.to_string()))?;
    *token = Some(Secret::from(text.trim()));
    Ok(())
}

fn check_token(token: Option<&Secret>) -> std::result::Result<(), Wrong> {
    let Some(token) = token else {
        let reason = "is missing; set it or mesh_token_file";
        return Err(Wrong::new("mesh_token", reason));
    };
    let text = token.reveal();
    if text.chars().count() < MIN_TOKEN {
        let reason = format!("is shorter than {MIN_TOKEN} characters");
        return Err(Wrong::new("mesh_token", reason));
    }
    // The token travels in an HTTP header.
    if !text.chars().all(|c| c.is_ascii_graphic()) {
        let reason = "contains a character other than visible ASCII";
        return Err(Wrong::new("mesh_token", reason));
    }
    Ok(())
}

fn named(key: &'static str, name: &str) -> std::result::Result<(), Wrong> {
    check_name(name).map_err(|reason| Wrong::new(key, reason))
}
