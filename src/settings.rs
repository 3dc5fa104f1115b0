//! Settings of the programs, one YAML file each: types, units, parsing and checks.

mod control;
mod daemon;
mod rollouts;
mod units;

#[cfg(test)]
mod tests;

pub use {
    control::{Control, Group, Operator, Replica},
    daemon::{Daemon, PaceMode, ServerSpeedMode},
    rollouts::{RolloutLimits, Share},
    units::{HumanReadable, Rate, parse_duration, parse_rate, parse_size},
};

use {
    crate::{
        dialect::Dialect,
        error::{Error, Result},
        lists::check_name,
        memory::{DEFAULT_DESCRIPTORS, DEFAULT_MEMORY, MIN_DESCRIPTORS, MIN_MEMORY},
        platform, yaml,
    },
    log::LevelFilter,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_with::serde_as,
    std::{env, fmt, fs, path::Path},
};

/// Maximum size of a settings file or token file in bytes.
pub const MAX_SETTINGS_BYTES: usize = 1024 * 1024;

/// Minimum length of the mesh token in characters; a shorter one can be guessed.
pub const MIN_TOKEN_CHARS: usize = 16;

/// Secret text, such as a token; its `Debug` form hides the text to keep it out of logs.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Returns the secret text.
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

/// Log level and log format.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Least severe level that is logged: `error`, `warn`, `info`, `debug`, `trace` or `off`.
    #[serde_as(as = "HumanReadable")]
    pub level: LevelFilter,
    /// Format of a log line.
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

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Time, level, target and message.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// HTTP interface offered to callers, backend servers and operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Interface {
    /// anvilbeam's own interface.
    #[default]
    Own,
    /// The interface of the Bureau's platform; operators may use anvilbeam's own interface too.
    Platform,
}

impl Interface {
    /// Returns the headers and rules used with callers and backend servers.
    pub const fn dialect(self) -> Dialect {
        match self {
            Self::Own => Dialect::native(),
            Self::Platform => platform::dialect(),
        }
    }
}

/// A setting whose value is not allowed or conflicts with another setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The key, such as `operator_address`.
    pub key: &'static str,
    /// Why the setting is rejected, with the value.
    pub reason: String,
}

impl InvalidSetting {
    fn new(key: &'static str, reason: impl Into<String>) -> Self {
        Self {
            key,
            reason: reason.into(),
        }
    }
}

/// Environment variable with settings that follow those of the file, as YAML.
const FURTHER_SETTINGS: &str = "MESH_FURTHER_SETTINGS";

/// Reads and parses a settings file, then calls `resolve`, which completes and checks the settings.
fn load<T: DeserializeOwned>(
    path: &Path,
    resolve: impl FnOnce(&mut T, &Path) -> std::result::Result<(), InvalidSetting>,
) -> Result<T> {
    let mut text = read(path, MAX_SETTINGS_BYTES)?;
    // Limits of the machine may be known to what starts the process only.
    if let Ok(further) = env::var(FURTHER_SETTINGS) {
        text.push_str(&further);
    }
    parse(path, &text, resolve)
}

fn parse<T: DeserializeOwned>(
    path: &Path,
    text: &str,
    resolve: impl FnOnce(&mut T, &Path) -> std::result::Result<(), InvalidSetting>,
) -> Result<T> {
    let mut settings = yaml::parse(text).map_err(|e| invalid_file(path, text, e))?;
    // Paths in the file are relative to the file, so that a folder of settings can be moved.
    let folder = path.parent().unwrap_or(Path::new(""));
    resolve(&mut settings, folder).map_err(|invalid| Error::Invalid {
        location: match line_of_key(text, invalid.key) {
            Some(line) => format!("{}:{line}: {}", path.display(), invalid.key),
            None => format!("{}: {}", path.display(), invalid.key),
        },
        reason: invalid.reason,
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

/// Returns the line of a top-level key, counted from 1.
fn line_of_key(text: &str, key: &str) -> Option<usize> {
    let is_key = |line: &str| {
        line.strip_prefix(key)
            .is_some_and(|rest| rest.trim_start().starts_with(':'))
    };
    text.lines().position(is_key).map(|index| index + 1)
}

/// Returns the error for a file that can't be parsed, with line, column and key.
fn invalid_file(path: &Path, text: &str, mut parse_error: yaml::ParseError) -> Error {
    let index = usize::try_from(parse_error.line.saturating_sub(1)).unwrap_or(usize::MAX);
    let line = text.lines().nth(index).unwrap_or_default();
    // The error is logged, and the log must not contain a token.
    if line.contains("token") {
        parse_error.excerpt = None;
    }
    let location = format!(
        "{}:{}:{}",
        path.display(),
        parse_error.line,
        parse_error.column
    );
    // For a missing key the parser reports the position of another key; its message names the
    // missing one.
    let key = key_at_start(line).filter(|_| !parse_error.reason.contains("missing field"));
    Error::Invalid {
        location: key.map_or(location.clone(), |key| format!("{location}: {key}")),
        reason: parse_error.to_string(),
    }
}

/// Returns the key at the start of a line, or `None` if the line does not begin with a key.
fn key_at_start(line: &str) -> Option<&str> {
    let (key, _) = line.trim_start_matches([' ', '-']).split_once(':')?;
    let is_key = key.chars().all(|c| c.is_ascii_alphanumeric() || c == '_');
    (is_key && !key.is_empty()).then_some(key)
}

/// Reads a token from a file given on the command line, relative to the working directory.
///
/// # Errors
/// The file can't be read or is too large.
pub fn read_token_file(path: &Path) -> Result<Secret> {
    read(path, MAX_SETTINGS_BYTES).map(|text| Secret::from(text.trim()))
}

/// Sets `token` from `file`, if one is named, relative to `folder`; setting both is an error.
fn resolve_token(
    token: &mut Option<Secret>,
    file: Option<&Path>,
    folder: &Path,
) -> std::result::Result<(), InvalidSetting> {
    let Some(file) = file else {
        return Ok(());
    };
    if token.is_some() {
        let reason = "mesh_token is set as well; set only one of the two";
        return Err(InvalidSetting::new("mesh_token_file", reason));
    }
    let text = read(&folder.join(file), MAX_SETTINGS_BYTES)
        .map_err(|e| InvalidSetting::new("mesh_token_file", e.to_string()))?;
    *token = Some(Secret::from(text.trim()));
    Ok(())
}

fn check_token(token: Option<&Secret>) -> std::result::Result<(), InvalidSetting> {
    let Some(token) = token else {
        let reason = "is missing; set mesh_token or mesh_token_file";
        return Err(InvalidSetting::new("mesh_token", reason));
    };
    let text = token.reveal();
    if text.chars().count() < MIN_TOKEN_CHARS {
        let reason = format!("is shorter than {MIN_TOKEN_CHARS} characters");
        return Err(InvalidSetting::new("mesh_token", reason));
    }
    // The token travels in an HTTP header.
    if !text.chars().all(|c| c.is_ascii_graphic()) {
        let reason = "contains a character other than visible ASCII";
        return Err(InvalidSetting::new("mesh_token", reason));
    }
    Ok(())
}

/// Checks the limits of a process on memory and descriptors.
fn check_limits(memory: u64, descriptors: u64) -> std::result::Result<(), InvalidSetting> {
    if memory < MIN_MEMORY {
        let reason = format!("{memory} bytes are less than 64MiB");
        return Err(InvalidSetting::new("memory_limit", reason));
    }
    if descriptors < MIN_DESCRIPTORS {
        let reason = format!("{descriptors} is less than {MIN_DESCRIPTORS}");
        return Err(InvalidSetting::new("max_descriptors", reason));
    }
    Ok(())
}

const fn default_memory_limit() -> u64 {
    DEFAULT_MEMORY
}

const fn default_max_descriptors() -> u64 {
    DEFAULT_DESCRIPTORS
}

fn validate_name(key: &'static str, name: &str) -> std::result::Result<(), InvalidSetting> {
    check_name(name).map_err(|reason| InvalidSetting::new(key, reason))
}
