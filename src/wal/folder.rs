//! Bootstrap and lock of the data folder, and helpers for its files.

use {
    super::{Batch, Options, Wal},
    crate::{
        error::{Error, Result},
        raft::{HardState, MAX_MEMBERS, Member, MemberRole, Position, ReplicaId, Snapshot},
    },
    std::{
        fs::{self, File},
        io,
        path::Path,
    },
};

/// Creates a group by writing its first voters into the folder of one of them.
///
/// It must be run once on each voter with the same list. The list names the identities of the
/// folders, so a replica that lost its disk, and with it its identity, is refused.
///
/// ```
/// use anvilbeam::{raft::{Member, MemberRole, ReplicaId}, wal};
/// let folder = tempfile::tempdir().unwrap();
/// let (wal, recovered) =
///     wal::Wal::open(folder.path(), wal::Options::default(), ReplicaId(7)).unwrap();
/// drop(wal);
/// let voter = Member {
///     id: recovered.id,
///     name: "a".to_owned(),
///     address: "127.0.0.1:1".parse().unwrap(),
///     role: MemberRole::Voter,
/// };
/// wal::bootstrap(folder.path(), &[voter.clone()]).unwrap();
/// assert!(wal::bootstrap(folder.path(), &[voter]).is_err());
/// ```
///
/// # Errors
/// [`Error::Invalid`] if the list does not name the folder's identity as a voter or is too long, or
/// if the folder already belongs to a group; [`Error::File`] and [`Error::Corrupt`] as in
/// [`Wal::open`].
pub fn bootstrap(folder: &Path, voters: &[Member]) -> Result<()> {
    let invalid = |reason: String| Error::Invalid {
        location: folder.display().to_string(),
        reason,
    };
    let fresh = ReplicaId(rand::random::<u64>().max(1));
    let (mut wal, recovered) = Wal::open(folder, Options::default(), fresh)?;
    let listed = voters
        .iter()
        .any(|m| m.id == wal.id() && m.role == MemberRole::Voter);
    if !listed || voters.len() > MAX_MEMBERS {
        let reason = format!(
            "the list of voters must name replica {} and have at most {MAX_MEMBERS} members",
            wal.id()
        );
        return Err(invalid(reason));
    }
    if recovered.stored.hard != HardState::default() || recovered.stored.snapshot.is_some() {
        let reason = format!("replica {} already belongs to a group", wal.id());
        return Err(invalid(reason));
    }
    let snapshot = Snapshot {
        at: Position::default(),
        members: voters.to_vec(),
        ..Snapshot::default()
    };
    wal.save(Batch {
        install: Some(&snapshot),
        hard: Some(HardState::bootstrapped(voters)),
        ..Batch::default()
    })
}

/// Creates the folder if it is missing and locks it until the returned file is closed.
pub(super) fn lock(folder: &Path) -> Result<File> {
    fs::create_dir_all(folder).map_err(file_error("create folder", folder))?;
    if let Some(parent) = folder
        .canonicalize()
        .map_err(file_error("resolve folder", folder))?
        .parent()
    {
        sync(parent, &Options::default())?;
    }
    let path = folder.join("lock");
    let file = File::create(&path).map_err(file_error("create lock", &path))?;
    file.try_lock()
        .map_err(|e| file_error("lock folder", &path)(e.into()))?;
    Ok(file)
}

/// Makes file creations, renames and removals in `folder` durable.
pub(super) fn sync(folder: &Path, options: &Options) -> Result<()> {
    (options.sync_folder)(folder).map_err(file_error("sync folder", folder))
}

/// Makes the contents of a file durable that another process may have written.
pub(super) fn sync_file(path: &Path, options: &Options) -> Result<()> {
    let file = File::options()
        .write(true)
        .open(path)
        .map_err(file_error("open segment", path))?;
    (options.sync)(&file).map_err(file_error("sync segment", path))
}

pub(super) fn remove(path: &Path) -> Result<()> {
    fs::remove_file(path).map_err(file_error("remove file", path))
}

/// Returns a function that adds the failed step and the file to an I/O error.
pub(super) fn file_error(step: &'static str, path: &Path) -> impl FnOnce(io::Error) -> Error {
    let path = path.to_owned();
    move |source| Error::File { step, path, source }
}
