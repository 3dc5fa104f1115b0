//! Reads files with lists, and reads and writes the line that states their version.

use {
    super::{CommandError, Exit},
    crate::{
        error::Error,
        lists::{Lists, MAX_GRANTS, MAX_PLANS, parse_lists},
        operator_api::EditRequest,
        options::Files,
    },
    std::{fs, path::Path},
};

/// Prefix of the first line of a file that `get` wrote; the version follows.
const VERSION_PREFIX: &str = "# version ";

/// Texts of new lists, as read from files. `None` keeps the current list.
#[derive(Debug)]
pub(super) struct NewLists {
    pub(super) plans: Option<String>,
    pub(super) grants: Option<String>,
}

impl NewLists {
    pub(super) fn request(self, edit_id: String, base_version: u64) -> EditRequest {
        EditRequest {
            edit_id,
            base_version,
            plans: self.plans,
            grants: self.grants,
        }
    }

    /// Returns the version in the first line of the files, which must be the same in both.
    pub(super) fn base_version(&self) -> Result<u64, CommandError> {
        let advice = "pass --base VERSION, or start from a file that `anvilbeam plans get` or \
                      `anvilbeam grants get` wrote";
        let texts = [self.plans.as_deref(), self.grants.as_deref()];
        let mut versions = texts.iter().flatten().map(|text| parse_version(text));
        let Some(Some(base)) = versions.next() else {
            let reason = "the first line states no version, and --base is absent";
            return Err(CommandError::new(Exit::Usage, reason, advice));
        };
        match versions.next() {
            None => Ok(base),
            Some(other) if other == Some(base) => Ok(base),
            Some(other) => {
                let other = other.map_or("none".to_owned(), |version| version.to_string());
                let reason = format!("plans are from version {base}, grants from {other}");
                Err(CommandError::new(Exit::Usage, reason, advice))
            }
        }
    }
}

/// Prepends a line that states the version to `text`.
pub(super) fn prepend_version(version: u64, text: &str) -> String {
    format!("{VERSION_PREFIX}{version}\n{text}")
}

fn parse_version(text: &str) -> Option<u64> {
    let line = text.lines().next()?;
    line.strip_prefix(VERSION_PREFIX)?.trim().parse().ok()
}

pub(super) fn read_files(files: &Files) -> Result<NewLists, CommandError> {
    let read = |path: &Option<_>, limit| {
        let path: Option<&std::path::PathBuf> = path.as_ref();
        path.map(|path| read_file(path, limit)).transpose()
    };
    Ok(NewLists {
        plans: read(&files.plans, MAX_PLANS)?,
        grants: read(&files.grants, MAX_GRANTS)?,
    })
}

fn read_file(path: &Path, limit: usize) -> Result<String, CommandError> {
    let file_error = |source| Error::File {
        step: "read",
        path: path.to_owned(),
        source,
    };
    let size = fs::metadata(path).map_err(file_error)?.len();
    if size > limit as u64 {
        let reason = format!(
            "{}: {size} bytes exceed the limit of {limit}",
            path.display()
        );
        return Err(CommandError::new(
            Exit::Invalid,
            reason,
            "pass a smaller file",
        ));
    }
    Ok(fs::read_to_string(path).map_err(file_error)?)
}

pub(super) fn parse_both(plans: &str, grants: &str) -> Result<Lists, CommandError> {
    parse_lists(plans, grants).map_err(|problems| CommandError::invalid(&problems))
}
