//! YAML parsing with resource limits and error positions, for the lists and the settings.

use {
    serde::{Serialize, de::DeserializeOwned},
    serde_saphyr::{
        MergeKeyPolicy, Options, RenderOptions, SerializeError, SnippetMode, UserMessageFormatter,
    },
    std::fmt,
};

/// Maximum length in characters of the text that an error quotes.
const MAX_EXCERPT_CHARS: usize = 40;

/// A syntax error, or a value that does not have the type of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    /// Line, counted from 1; 0 when the parser reports no position.
    pub line: u64,
    /// Column, counted from 1; 0 when the parser reports no position.
    pub column: u64,
    /// What is wrong.
    pub reason: String,
    /// Text at the position, which may be secret; `None` when there is none to quote.
    pub excerpt: Option<String>,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.excerpt {
            Some(excerpt) => write!(f, "{}, at {excerpt:?}", self.reason),
            None => f.write_str(&self.reason),
        }
    }
}

/// Parses one YAML document. Aliases and merge keys are rejected, since they let a short text
/// expand to a large one.
///
/// ```
/// use anvilbeam::yaml;
/// assert_eq!(yaml::parse::<Vec<u8>>("[1, 2]").unwrap(), [1, 2]);
/// assert_eq!(yaml::parse::<Vec<u8>>("- 1\n- x").unwrap_err().line, 2);
/// ```
///
/// # Errors
/// The first [`ParseError`] in the text.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, ParseError> {
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
        // The parser buffers at most 32 comment lines; a list may contain longer comments.
        emit_comments: false,
    };
    serde_saphyr::from_str_with_options(text, options).map_err(|e| to_parse_error(text, &e))
}

/// Formats `value` as YAML.
///
/// # Errors
/// The reason why `value` has no YAML form.
pub fn render<T: Serialize>(value: &T) -> Result<String, SerializeError> {
    serde_saphyr::to_string(value)
}

/// Converts an error of the parser; removes the position that its message repeats.
fn to_parse_error(text: &str, e: &serde_saphyr::Error) -> ParseError {
    let mut options = RenderOptions::new(&UserMessageFormatter);
    options.snippets = SnippetMode::Off;
    let message = e.render_with_options(options);
    let (line, column) = e
        .location()
        .map_or((0, 0), |loc| (loc.line(), loc.column()));
    let suffix = format!(" at line {line}, column {column}");
    let prefix = format!("line {line} column {column}: ");
    let reason = message
        .strip_suffix(&suffix)
        .or_else(|| message.strip_prefix(&prefix))
        .unwrap_or(&message);
    ParseError {
        line,
        column,
        reason: reason.to_owned(),
        excerpt: excerpt_at(text, line, column),
    }
}

/// Returns the text from a position to the end of its line, shortened to [`MAX_EXCERPT_CHARS`].
fn excerpt_at(text: &str, line: u64, column: u64) -> Option<String> {
    let line = usize::try_from(line).ok()?.checked_sub(1)?;
    let column = usize::try_from(column).ok()?.checked_sub(1)?;
    let rest = text.lines().nth(line)?.chars().skip(column);
    let excerpt: String = rest.take(MAX_EXCERPT_CHARS).collect();
    let excerpt = excerpt.trim();
    (!excerpt.is_empty()).then(|| excerpt.to_owned())
}
