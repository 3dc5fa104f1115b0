//! The data folder of a replica: log segments and snapshots.
//!
//! A segment is a sequence of frames, each with records of one batch:
//! `length: u32, CRC-32 of length and payload: u32, payload`, big endian. The first frame of each
//! segment repeats the identity and the hard state, so that older segments can be removed.
//!
//! A batch is synced before the next one is written, so a crash can only damage frames of the last
//! batch, which was never acknowledged. The last segment is synced on opening, before the next one is
//! created. The last segment is truncated at a damaged frame that no
//! intact one follows. A damaged frame before an intact one is reported as corruption. A last frame
//! that was damaged after its sync cannot be distinguished from an incomplete write, so it is
//! truncated too.

mod folder;
mod frame;
mod recover;
mod snapshot;

#[cfg(test)]
mod tests;

pub use {folder::bootstrap, recover::Recovered};

use {
    crate::{
        error::{Error, Result},
        raft::{Entry, HardState, Position, ReplicaId, Snapshot},
    },
    frame::{Record, encode_frames},
    std::{
        collections::VecDeque,
        fs::File,
        io::{self, Write as _},
        path::{Path, PathBuf},
    },
};

/// Limits of a data folder, and the functions that write to it.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Size in bytes at which a segment is complete and the next one is started.
    pub segment_bytes: u64,
    /// Writes a whole buffer; tests replace it to make writes fail.
    pub write: fn(&mut File, &[u8]) -> io::Result<()>,
    /// Makes a file durable; tests replace it to make syncs fail.
    pub sync: fn(&File) -> io::Result<()>,
    /// Makes file creations, renames and removals in a folder durable; tests replace it to lose
    /// them.
    pub sync_folder: fn(&Path) -> io::Result<()>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            segment_bytes: 16 * 1024 * 1024,
            write: |file, buf| file.write_all(buf),
            sync: File::sync_data,
            sync_folder: |folder| File::open(folder)?.sync_all(),
        }
    }
}

/// Changes that are stored together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Batch<'a> {
    /// Snapshot from the leader that replaces the stored one; `None` if there is none.
    pub install: Option<&'a Snapshot>,
    /// Position after which the log starts again, without its stored entries; `None` keeps them.
    pub reset: Option<Position>,
    /// Term, vote and group; `None` if they are unchanged.
    pub hard: Option<HardState>,
    /// Entries to append. Stored entries from the first one's index on are dropped.
    pub entries: &'a [Entry],
}

/// A segment file.
#[derive(Debug)]
struct Segment {
    path: PathBuf,
    /// Highest index of an entry or a reset in it; 0 if there is none.
    last_index: u64,
    bytes: u64,
}

/// The open data folder of one replica.
#[derive(Debug)]
pub struct Wal {
    folder: PathBuf,
    options: Options,
    id: ReplicaId,
    hard: HardState,
    /// Complete segments, oldest first.
    segments: VecDeque<Segment>,
    /// Segment that is written to.
    current: Segment,
    /// Open file of `current`.
    file: File,
    /// Held while the folder is open, so that no second replica writes to it.
    _lock: File,
    /// Number of `current`.
    sequence: u64,
    /// Size of the stored snapshots in bytes.
    snapshot_bytes: u64,
    /// Whether a write or sync has failed, after which the contents of the file are unknown.
    failed: bool,
}

impl Wal {
    /// Opens a data folder, or creates it with the identity `new_id`.
    ///
    /// ```
    /// use anvilbeam::{raft::ReplicaId, wal::{Options, Wal}};
    /// let folder = tempfile::tempdir().unwrap();
    /// let (wal, recovered) = Wal::open(folder.path(), Options::default(), ReplicaId(7)).unwrap();
    /// assert_eq!(recovered.id, ReplicaId(7));
    /// drop(wal);
    /// let (_, recovered) = Wal::open(folder.path(), Options::default(), ReplicaId(8)).unwrap();
    /// assert_eq!(recovered.id, ReplicaId(7));
    /// ```
    ///
    /// # Errors
    /// [`Error::File`], or [`Error::Corrupt`] with the file and the offset of the damage.
    pub fn open(folder: &Path, options: Options, new_id: ReplicaId) -> Result<(Self, Recovered)> {
        let lock = folder::lock(folder)?;
        let contents = recover::read(folder, new_id)?;
        if let Some(last) = contents.segments.back() {
            // The replica treats what it has read as durable, but a process that was killed before
            // its sync leaves intact frames as well.
            folder::sync_file(&last.path, &options)?;
        }
        let recovered = contents.recovered;
        let hard = recovered.stored.hard;
        let sequence = contents.sequence + 1;
        let (file, current) = create_segment(folder, sequence, &options)?;
        let mut wal = Self {
            folder: folder.to_owned(),
            options,
            id: recovered.id,
            hard,
            segments: contents.segments,
            current,
            file,
            _lock: lock,
            sequence,
            snapshot_bytes: snapshot::bytes(folder)?,
            failed: false,
        };
        let mut records = vec![wal.state_record()];
        if let Some(position) = contents.reset {
            records.push(Record::Reset(position));
            wal.current.last_index = position.index;
        }
        wal.write(&records)?;
        wal.sync()?;
        Ok((wal, recovered))
    }

    /// Stores a batch and makes it durable with one sync of the log.
    ///
    /// # Errors
    /// [`Error::File`]; nothing of the batch may be acknowledged. After a failed write or sync of a
    /// segment, later batches fail until the folder is opened again.
    pub fn save(&mut self, batch: Batch<'_>) -> Result<()> {
        if let Some(snapshot) = batch.install {
            self.store_snapshot(snapshot)?;
        }
        let mut records = Vec::with_capacity(batch.entries.len() + 2);
        records.extend(batch.reset.map(Record::Reset));
        if let Some(hard) = batch.hard {
            self.hard = hard;
            records.push(Record::State(self.id, hard));
        }
        records.extend(batch.entries.iter().cloned().map(Record::Entry));
        if records.is_empty() {
            return Ok(());
        }
        if self.current.bytes >= self.options.segment_bytes {
            self.start_segment()?;
        }
        let reset_index = batch.reset.map_or(0, |position| position.index);
        let last_index = batch.entries.last().map_or(0, |entry| entry.at.index);
        self.current.last_index = self.current.last_index.max(reset_index).max(last_index);
        self.write(&records)?;
        self.sync()?;
        if batch.install.is_some() {
            self.remove_segments_before(reset_index)?;
        }
        Ok(())
    }

    /// Stores a snapshot of this replica's state machine and removes the files that it replaces.
    ///
    /// # Errors
    /// [`Error::File`].
    pub fn compact(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.store_snapshot(snapshot)?;
        self.start_segment()?;
        self.remove_segments_before(snapshot.at.index)
    }

    /// Returns the size of the log segments in bytes.
    pub fn log_bytes(&self) -> u64 {
        let older: u64 = self.segments.iter().map(|segment| segment.bytes).sum();
        older + self.current.bytes
    }

    /// Returns the size of the log segments and snapshots in bytes.
    pub fn bytes(&self) -> u64 {
        self.log_bytes() + self.snapshot_bytes
    }

    /// Returns the identity of the folder.
    pub const fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the record with which each segment starts.
    const fn state_record(&self) -> Record {
        Record::State(self.id, self.hard)
    }

    fn write(&mut self, records: &[Record]) -> Result<()> {
        let buf = encode_frames(records)?;
        let done = if self.failed {
            Err(io::Error::other("an earlier write or sync failed"))
        } else {
            (self.options.write)(&mut self.file, &buf)
        };
        self.current.bytes += buf.len() as u64;
        self.record_failure("write segment", done)
    }

    fn sync(&mut self) -> Result<()> {
        let done = (self.options.sync)(&self.file);
        self.record_failure("sync segment", done)
    }

    /// Marks the folder as failed if `done` is an error.
    fn record_failure(&mut self, step: &'static str, done: io::Result<()>) -> Result<()> {
        done.map_err(|source| {
            self.failed = true;
            Error::File {
                step,
                path: self.current.path.clone(),
                source,
            }
        })
    }

    /// Completes the current segment and starts the next one.
    fn start_segment(&mut self) -> Result<()> {
        let (file, segment) = create_segment(&self.folder, self.sequence + 1, &self.options)?;
        self.sequence += 1;
        self.file = file;
        let complete = std::mem::replace(&mut self.current, segment);
        self.segments.push_back(complete);
        self.write(&[self.state_record()])
    }

    fn store_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        snapshot::store(&self.folder, &self.options, snapshot)?;
        self.snapshot_bytes = snapshot::bytes(&self.folder)?;
        Ok(())
    }

    /// Removes segments that end before `index`. The segment with the entry at `index` stays, since
    /// the entry shows on opening that the log continues the snapshot.
    fn remove_segments_before(&mut self, index: u64) -> Result<()> {
        self.sync()?;
        while let Some(old) = self.segments.pop_front_if(|old| old.last_index < index) {
            folder::remove(&old.path)?;
            // Each removal is synced before the next one, since a power failure could undo some of
            // several removals and leave a gap.
            folder::sync(&self.folder, &self.options)?;
        }
        Ok(())
    }
}

fn create_segment(folder: &Path, sequence: u64, options: &Options) -> Result<(File, Segment)> {
    let path = folder.join(format!("{sequence:020}.log"));
    let file = File::create_new(&path).map_err(|source| Error::File {
        step: "create segment",
        path: path.clone(),
        source,
    })?;
    folder::sync(folder, options)?;
    let segment = Segment {
        path,
        last_index: 0,
        bytes: 0,
    };
    Ok((file, segment))
}
