//! Bounded YAML parsing with positions, shared by the lists and the settings.

use {
    serde::{Serialize, de::DeserializeOwned},
    serde_saphyr::{
        MergeKeyPolicy, Options, RenderOptions, SerializeError, SnippetMode, UserMessageFormatter,
    },
    std::fmt,
};

/// Characters of the text that a message quotes at most.
const MAX_EXCERPT: usize = 40;

/// A syntax error, or a value that does not have the type of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line, from 1; 0 when the parser gives no position.
    pub line: u64,
    /// Column, from 1; 0 when the parser gives no position.
    pub column: u64,
    /// What is wrong.
    pub reason: String,
    /// The text at the position, which may be secret.
    pub found: Option<String>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.found {
            Some(found) => write!(f, "{}, at {found:?}", self.reason),
            None => f.write_str(&self.reason),
        }
    }
}

/// Parses one document. Aliases and merge keys are refused, since a short text could expand to a
/// large one.
///
/// ```
/// use anvilbeam::yaml;
/// assert_eq!(yaml::parse::<Vec<u8>>("[1, 2]").unwrap(), [1, 2]);
/// assert_eq!(yaml::parse::<Vec<u8>>("- 1\n- x").unwrap_err().line, 2);
/// ```
///
/// # Errors
/// The first [`Fault`] of the text.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Fault> {
    // Each node takes at least two bytes of text, and each event belongs to a node or closes one.
    let nodes = text.len() + 16;
    let options: Options = serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_nodes: nodes,
            max_events: nodes * 2,
            max_aliases: 0,
            max_anchors: 0,
            max_depth: 16,
            max_documents: 1,
        },
        merge_keys: MergeKeyPolicy::Error,
        // The parser buffers at most 32 comment lines; a list may explain itself at more length.
        emit_comments: false,
    };
    serde_saphyr::from_str_with_options(text, options).map_err(|e| fault(text, &e))
}

/// Writes `value` as YAML.
///
/// # Errors
/// The reason, when `value` has no YAML form.
pub fn render<T: Serialize>(value: &T) -> Result<String, SerializeError> {
    serde_saphyr::to_string(value)
}

fn fault(text: &str, e: &serde_saphyr::Error) -> Fault {
    let mut options = RenderOptions::new(&UserMessageFormatter);
    options.snippets = SnippetMode::Off;
    let message = e.render_with_options(options);
    let (line, column) = e.location().map_or((0, 0), |at| (at.line(), at.column()));
    let suffix = format!(" at line {line}, column {column}");
    let prefix = format!("line {line} column {column}: ");
    let reason = message
        .strip_suffix(&suffix)
        .or_else(|| message.strip_prefix(&prefix))
        .unwrap_or(&message);
    Fault {
        line,
        column,
        reason: reason.to_owned(),
        found: excerpt(text, line, column),
    }
}

/// What stands at a position, up to the end of its line.
fn excerpt(text: &str, line: u64, column: u64) -> Option<String> {
    let line = usize::try_from(line).ok()?.checked_sub(1)?;
    let column = usize::try_from(column).ok()?.checked_sub(1)?;
    let rest = text.lines().nth(line)?.chars().skip(column);
    let found: String = rest.take(MAX_EXCERPT).collect();
    let found = found.trim();
    (!found.is_empty()).then(|| found.to_owned())
}
