//! Files with lists, and the line that names their version.

use {
    super::{Exit, Failure},
    crate::{
        error::Error,
        lists::{Lists, MAX_GRANTS, MAX_PLANS, check},
        operator_api::EditRequest,
        options::Files,
    },
    std::{fs, path::Path},
};

/// Start of the first line of a file that `get` wrote.
const VERSION_LINE: &str = "# version ";

/// New lists as read from files.
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

    /// The version that the first lines of the files name.
    pub(super) fn base(&self) -> Result<u64, Failure> {
        let advice = "pass --base VERSION, or start from a file that `anvilbeam plans get` or \
                      `anvilbeam grants get` wrote";
        let texts = [self.plans.as_deref(), self.grants.as_deref()];
        let mut found = texts.iter().flatten().map(|text| version_of(text));
        let Some(Some(base)) = found.next() else {
            let reason = "the first line names no version, and --base is absent";
            return Err(Failure::new(Exit::Usage, reason, advice));
        };
        match found.next() {
            None => Ok(base),
            Some(other) if other == Some(base) => Ok(base),
            Some(other) => {
                let other = other.map_or("none".to_owned(), |version| version.to_string());
                let reason = format!("plans are from version {base}, grants from {other}");
                Err(Failure::new(Exit::Usage, reason, advice))
            }
        }
    }
}

/// `text` after a line that names its version.
pub(super) fn with_version(version: u64, text: &str) -> String {
    format!("{VERSION_LINE}{version}\n{text}")
}

fn version_of(text: &str) -> Option<u64> {
    let line = text.lines().next()?;
    line.strip_prefix(VERSION_LINE)?.trim().parse().ok()
}

pub(super) fn read_files(files: &Files) -> Result<NewLists, Failure> {
    let read = |path: &Option<_>, limit| {
        let path: Option<&std::path::PathBuf> = path.as_ref();
        path.map(|path| read_file(path, limit)).transpose()
    };
    Ok(NewLists {
        plans: read(&files.plans, MAX_PLANS)?,
        grants: read(&files.grants, MAX_GRANTS)?,
    })
}

fn read_file(path: &Path, limit: usize) -> Result<String, Failure> {
    let failed = |source| Error::File {
        step: "read",
        path: path.to_owned(),
        source,
    };
    let size = fs::metadata(path).map_err(failed)?.len();
    if size > limit as u64 {
        let reason = format!(
            "{}: {size} bytes exceed the limit of {limit}",
            path.display()
        );
        return Err(Failure::new(Exit::Invalid, reason, "pass a smaller file"));
    }
    Ok(fs::read_to_string(path).map_err(failed)?)
}

pub(super) fn check_both(plans: &str, grants: &str) -> Result<Lists, Failure> {
    check(plans, grants).map_err(|problems| Failure::invalid(&problems))
}
