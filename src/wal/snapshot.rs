//! Snapshot files, `<index>.snapshot`: a frame with the [`Header`], then frames with the contents.

use {
    super::{
        Options,
        folder::{file_error, remove, sync},
        frame::{Frame, frame_at, put_frame},
    },
    crate::{
        error::{Error, Result},
        raft::{MAX_SNAPSHOT, Member, Position, Snapshot},
        wire,
    },
    bytes::Bytes,
    std::{
        fs::{self, File},
        path::{Path, PathBuf},
    },
};

/// Largest part of the contents in one frame, in bytes.
const PART_BYTES: usize = 1024 * 1024;
/// Suffix of a complete file.
const SUFFIX: &str = "snapshot";
/// Suffix of a file that is still being written.
const PARTIAL_SUFFIX: &str = "partial";

/// First frame: position, members and size of the contents in bytes.
type Header = (Position, Vec<Member>, u64);

/// Returns the files with `suffix`, sorted by name.
pub(super) fn files(folder: &Path, suffix: &str) -> Result<Vec<PathBuf>> {
    let mut paths = Vec::new();
    for entry in fs::read_dir(folder).map_err(file_error("read folder", folder))? {
        let path = entry.map_err(file_error("read folder", folder))?.path();
        if path.extension().is_some_and(|found| found == suffix) {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

/// Returns the size of the stored snapshots in bytes.
pub(super) fn bytes(folder: &Path) -> Result<u64> {
    files(folder, SUFFIX)?.iter().try_fold(0, |sum, path| {
        let metadata = fs::metadata(path).map_err(file_error("read size", path))?;
        Ok(sum + metadata.len())
    })
}

/// Stores a snapshot durably, then removes older ones.
pub(super) fn store(folder: &Path, options: &Options, snapshot: &Snapshot) -> Result<()> {
    let path = folder.join(format!("{:020}.{SUFFIX}", snapshot.at.index));
    let partial = path.with_extension(PARTIAL_SUFFIX);
    let mut file = File::create(&partial).map_err(file_error("create snapshot", &partial))?;
    let header: Header = (
        snapshot.at,
        snapshot.members.clone(),
        snapshot.data.len() as u64,
    );
    let mut buf = Vec::new();
    put_frame(&mut buf, &wire::encode(&header)?);
    for part in snapshot.data.chunks(PART_BYTES) {
        put_frame(&mut buf, part);
        (options.write)(&mut file, &buf).map_err(file_error("write snapshot", &partial))?;
        buf.clear();
    }
    (options.write)(&mut file, &buf).map_err(file_error("write snapshot", &partial))?;
    (options.sync)(&file).map_err(file_error("sync snapshot", &partial))?;
    fs::rename(&partial, &path).map_err(file_error("rename snapshot", &path))?;
    sync(folder, options)?;
    for old in files(folder, SUFFIX)? {
        if old < path {
            remove(&old)?;
        }
    }
    Ok(())
}

/// Reads the latest snapshot, `None` if there is none. Removes files that a crash left incomplete.
pub(super) fn load(folder: &Path) -> Result<Option<Snapshot>> {
    for partial in files(folder, PARTIAL_SUFFIX)? {
        remove(&partial)?;
    }
    let Some(path) = files(folder, SUFFIX)?.pop() else {
        return Ok(None);
    };
    let size = fs::metadata(&path)
        .map_err(file_error("read size", &path))?
        .len();
    let corrupt = |offset: usize, reason: &str| Error::Corrupt {
        path: path.clone(),
        offset: offset as u64,
        reason: reason.to_owned(),
    };
    if size > MAX_SNAPSHOT * 2 {
        return Err(corrupt(0, "the file is larger than a snapshot can be"));
    }
    let file = fs::read(&path).map_err(file_error("read snapshot", &path))?;
    let payload_at = |offset: usize| match frame_at(&file, offset) {
        Frame::Intact(payload) => Ok(payload),
        Frame::End => Err(corrupt(offset, "the file ends early")),
        Frame::Damaged(reason) => Err(corrupt(offset, reason)),
    };
    let payload = payload_at(0)?;
    let (position, members, total): Header =
        wire::decode(payload).map_err(|e| corrupt(0, &e.to_string()))?;
    let mut offset = super::frame::HEADER_BYTES + payload.len();
    let mut data = Vec::new();
    while (data.len() as u64) < total {
        let payload = payload_at(offset)?;
        data.extend_from_slice(payload);
        offset += super::frame::HEADER_BYTES + payload.len();
    }
    if data.len() as u64 != total || offset != file.len() {
        return Err(corrupt(
            offset,
            "the size of the contents differs from the header",
        ));
    }
    Ok(Some(Snapshot {
        at: position,
        members,
        data: Bytes::from(data),
    }))
}
