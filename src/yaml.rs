//! Bounded YAML parsing with positions, shared by the lists and the settings.

use {
    serde::{Serialize, de::DeserializeOwned},
    serde_saphyr::{MergeKeyPolicy, Options, RenderOptions, SerializeError, SnippetMode},
};

/// A syntax error, or a value that does not have the type of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line, from 1; 0 when the parser gives no position.
    pub line: u64,
    /// Column, from 1; 0 when the parser gives no position.
    pub column: u64,
    /// What is wrong.
    pub reason: String,
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
    };
    serde_saphyr::from_str_with_options(text, options).map_err(|e| fault(&e))
}

/// Writes `value` as YAML.
///
/// # Errors
/// The reason, when `value` has no YAML form.
pub fn render<T: Serialize>(value: &T) -> Result<String, SerializeError> {
    serde_saphyr::to_string(value)
}

fn fault(e: &serde_saphyr::Error) -> Fault {
    let mut options = RenderOptions::default();
    options.snippets = SnippetMode::Off;
    let text = e.render_with_options(options);
    let (line, column) = e.location().map_or((0, 0), |at| (at.line(), at.column()));
    let suffix = format!(" at line {line}, column {column}");
    let prefix = format!("line {line} column {column}: ");
    let reason = text
        .strip_suffix(&suffix)
        .or_else(|| text.strip_prefix(&prefix))
        .unwrap_or(&text)
        .to_owned();
    Fault {
        line,
        column,
        reason,
    }
}
