//! The data folder of a replica: log segments and snapshots.
//!
//! A segment is a sequence of frames, each the records of one batch:
//! `length: u32, CRC-32 of length and payload: u32, payload`, big endian. The first frame of each
//! segment repeats the identity and the hard state, so that older segments can be removed.
//!
//! A batch is synced before the next one is written, so a crash can only damage the last frame of
//! the last segment; that frame was never acknowledged and is cut off. A damaged frame before an
//! intact one is corruption. A last frame that was damaged after it was synced cannot be told
//! apart from one that a crash cut off.

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

/// Limits of a data folder, and the calls that write to it.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Size in bytes from which a new segment is started.
    pub segment_bytes: u64,
    /// Writes a whole buffer; tests replace it to make writes fail.
    pub write: fn(&mut File, &[u8]) -> io::Result<()>,
    /// Makes a file durable; tests replace it to make syncs fail.
    pub sync: fn(&File) -> io::Result<()>,
    /// Makes created, renamed and removed names of a folder durable; tests replace it to lose them.
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

/// What one batch stores.
#[derive(Clone, Copy, Debug, Default)]
pub struct Batch<'a> {
    /// Snapshot that the leader sent.
    pub install: Option<&'a Snapshot>,
    /// Position to which the log is reset, without any entries.
    pub reset: Option<Position>,
    /// Term, vote and group.
    pub hard: Option<HardState>,
    /// Entries; the log ends with them.
    pub entries: &'a [Entry],
}

/// A segment that is complete.
#[derive(Debug)]
struct Segment {
    path: PathBuf,
    /// Highest index in it; 0 if there is none.
    last: u64,
    bytes: u64,
}

/// The open data folder of one replica.
#[derive(Debug)]
pub struct Wal {
    folder: PathBuf,
    options: Options,
    id: ReplicaId,
    hard: HardState,
    /// Older segments, oldest first.
    segments: VecDeque<Segment>,
    /// The segment that is written to.
    current: Segment,
    file: File,
    /// Held while the folder is open, so that no second replica writes to it.
    _lock: File,
    sequence: u64,
    snapshot_bytes: u64,
    /// A write has failed, so the end of the file is unknown.
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
        let mut records = vec![wal.head()];
        if let Some(position) = contents.reset {
            records.push(Record::Reset(position));
            wal.current.last = position.index;
        }
        wal.write(&records)?;
        wal.sync()?;
        Ok((wal, recovered))
    }

    /// Stores a batch and makes it durable with one sync of the log.
    ///
    /// # Errors
    /// [`Error::File`]; nothing of the batch may be acknowledged, and the folder takes no more
    /// batches until it is opened again.
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
            self.roll()?;
        }
        let reset = batch.reset.map_or(0, |at| at.index);
        let last = batch.entries.last().map_or(0, |entry| entry.at.index);
        self.current.last = self.current.last.max(reset).max(last);
        self.write(&records)?;
        self.sync()?;
        if batch.install.is_some() {
            self.remove_old(reset)?;
        }
        Ok(())
    }

    /// Stores a snapshot of this replica's state machine and removes what it replaces.
    ///
    /// # Errors
    /// [`Error::File`].
    pub fn compact(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.store_snapshot(snapshot)?;
        self.roll()?;
        self.remove_old(snapshot.at.index)
    }

    /// Size of the log segments in bytes.
    pub fn log_bytes(&self) -> u64 {
        let older: u64 = self.segments.iter().map(|segment| segment.bytes).sum();
        older + self.current.bytes
    }

    /// Size of all files in bytes.
    pub fn bytes(&self) -> u64 {
        self.log_bytes() + self.snapshot_bytes
    }

    /// Identity of the folder.
    pub const fn id(&self) -> ReplicaId {
        self.id
    }

    const fn head(&self) -> Record {
        Record::State(self.id, self.hard)
    }

    fn write(&mut self, records: &[Record]) -> Result<()> {
        let buf = encode_frames(records)?;
        let done = if self.failed {
            Err(io::Error::other("an earlier write failed"))
        } else {
            (self.options.write)(&mut self.file, &buf)
        };
        self.current.bytes += buf.len() as u64;
        self.checked("write segment", done)
    }

    fn sync(&mut self) -> Result<()> {
        let done = (self.options.sync)(&self.file);
        self.checked("sync segment", done)
    }

    fn checked(&mut self, step: &'static str, done: io::Result<()>) -> Result<()> {
        done.map_err(|source| {
            self.failed = true;
            Error::File {
                step,
                path: self.current.path.clone(),
                source,
            }
        })
    }

    fn roll(&mut self) -> Result<()> {
        let (file, segment) = create_segment(&self.folder, self.sequence + 1, &self.options)?;
        self.sequence += 1;
        self.file = file;
        let full = std::mem::replace(&mut self.current, segment);
        self.segments.push_back(full);
        self.write(&[self.head()])
    }

    fn store_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        snapshot::store(&self.folder, &self.options, snapshot)?;
        self.snapshot_bytes = snapshot::bytes(&self.folder)?;
        Ok(())
    }

    /// Removes segments that end before `index`. The entry at `index` stays: it shows on opening
    /// that the log continues the snapshot.
    fn remove_old(&mut self, index: u64) -> Result<()> {
        self.sync()?;
        while let Some(old) = self.segments.pop_front_if(|old| old.last < index) {
            folder::remove(&old.path)?;
            // One by one: a loss of power may undo some of several removals, which leaves a gap.
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
        last: 0,
        bytes: 0,
    };
    Ok((file, segment))
}
