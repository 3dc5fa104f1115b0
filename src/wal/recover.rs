//! Recovery of the state from a data folder on start.

use {
    super::{
        Options, Segment,
        folder::{file_error, sync},
        frame::{Frame, HEADER_BYTES, Record, frame_at, intact_after},
        snapshot,
    },
    crate::{
        error::{Error, Result},
        events::Event,
        log_event,
        raft::{Entry, HardState, Position, ReplicaId, Stored},
        wire,
    },
    std::{
        collections::VecDeque,
        fs::{self, File},
        path::Path,
    },
};

/// Largest segment that is read, in bytes; a full segment and one more batch fit.
const MAX_SEGMENT: u64 = 1024 * 1024 * 1024;

/// Contents of a data folder.
#[derive(Clone, Debug)]
pub struct Recovered {
    /// Identity of the folder.
    pub id: ReplicaId,
    /// Stored state of the replica.
    pub stored: Stored,
}

/// State of the log after the records read so far.
#[derive(Debug, Default)]
struct Replay {
    /// `None` before the first state record.
    id: Option<ReplicaId>,
    hard: HardState,
    /// Position before the first entry; the term is 0 if it is unknown.
    base: Position,
    entries: VecDeque<Entry>,
}

/// Result of reading a folder.
#[derive(Debug)]
pub(super) struct Contents {
    pub(super) recovered: Recovered,
    pub(super) segments: VecDeque<Segment>,
    /// Number of the last segment; 0 if there is none.
    pub(super) sequence: u64,
    /// Position to which the stored log must be reset because it does not continue the snapshot;
    /// `None` if it does.
    pub(super) reset: Option<Position>,
}

/// Reads a folder; an empty one gets the identity `new_id`.
pub(super) fn read(folder: &Path, new_id: ReplicaId) -> Result<Contents> {
    let snapshot = snapshot::load(folder)?;
    let paths = snapshot::files(folder, "log")?;
    let mut replay = Replay::default();
    let mut segments = VecDeque::new();
    let mut sequence = 0;
    for (i, path) in paths.iter().enumerate() {
        let number = segment_number(path)?;
        if i > 0 && number != sequence + 1 {
            let reason = format!("segment {}, which precedes it, is missing", sequence + 1);
            return Err(corrupt(path, 0, reason));
        }
        sequence = number;
        let last = i + 1 == paths.len();
        segments.push_back(read_segment(path, last, &mut replay)?);
    }
    let written = segments.iter().any(|segment: &Segment| segment.bytes > 0);
    if replay.id.is_none() && (snapshot.is_some() || written) {
        return Err(corrupt(
            folder,
            0,
            "no segment has a record with the identity".to_owned(),
        ));
    }
    let base = snapshot.as_ref().map_or(Position::default(), |s| s.at);
    if replay.base.index > base.index {
        let reason = format!(
            "entries {} to {} are missing",
            base.index + 1,
            replay.base.index
        );
        return Err(corrupt(folder, 0, reason));
    }
    let (id, mut hard) = (replay.id.unwrap_or(new_id), replay.hard);
    let continuation = replay.entries_after(base);
    // A crash between storing the leader's snapshot and resetting the log leaves the old log.
    let reset = continuation.is_none().then_some(base);
    let entries = continuation.unwrap_or_default();
    // The same crash can leave a term that is older than the snapshot's.
    let term = entries.last().map_or(base.term, |entry| entry.at.term);
    if term > hard.term {
        hard = HardState {
            term,
            vote: None,
            ..hard
        };
    }
    let stored = Stored {
        hard,
        snapshot,
        entries,
    };
    Ok(Contents {
        recovered: Recovered { id, stored },
        segments,
        sequence,
        reset,
    })
}

fn corrupt(path: &Path, offset: usize, reason: String) -> Error {
    Error::Corrupt {
        path: path.to_owned(),
        offset: offset as u64,
        reason,
    }
}

fn segment_number(path: &Path) -> Result<u64> {
    path.file_stem()
        .and_then(|name| name.to_str()?.parse().ok())
        .ok_or_else(|| corrupt(path, 0, "the file name is not a number".to_owned()))
}

fn read_segment(path: &Path, last: bool, replay: &mut Replay) -> Result<Segment> {
    let size = fs::metadata(path)
        .map_err(file_error("read size", path))?
        .len();
    if size > MAX_SEGMENT {
        return Err(corrupt(
            path,
            0,
            format!("the size of {size} bytes exceeds the limit of {MAX_SEGMENT} bytes"),
        ));
    }
    let file = fs::read(path).map_err(file_error("read segment", path))?;
    let mut offset = 0;
    let mut highest_index = 0;
    loop {
        match frame_at(&file, offset) {
            Frame::End => break,
            Frame::Intact(payload) => {
                let records: Vec<Record> =
                    wire::decode(payload).map_err(|e| corrupt(path, offset, e.to_string()))?;
                for record in records {
                    let index = replay
                        .apply(record)
                        .map_err(|reason| corrupt(path, offset, reason))?;
                    highest_index = highest_index.max(index);
                }
                offset += HEADER_BYTES + payload.len();
            }
            Frame::Damaged(reason) => {
                if !last || intact_after(&file, offset) {
                    return Err(corrupt(path, offset, reason.to_owned()));
                }
                truncate(path, offset)?;
                break;
            }
        }
    }
    Ok(Segment {
        path: path.to_owned(),
        last_index: highest_index,
        bytes: offset as u64,
    })
}

/// Truncates a segment to `offset`, the end of its last intact frame.
fn truncate(path: &Path, offset: usize) -> Result<()> {
    log_event!(Event::LogTruncated, file = path.display(), offset = offset);
    let file = File::options()
        .write(true)
        .open(path)
        .map_err(file_error("open segment", path))?;
    file.set_len(offset as u64)
        .and_then(|()| file.sync_all())
        .map_err(file_error("truncate segment", path))?;
    let synced = |folder| sync(folder, &Options::default());
    path.parent().map_or(Ok(()), synced)
}

impl Replay {
    /// Applies a record and returns its index, 0 if it has none.
    ///
    /// # Errors
    /// Why the record cannot follow the earlier ones.
    fn apply(&mut self, record: Record) -> std::result::Result<u64, String> {
        match record {
            Record::State(id, hard) => {
                if self.id.is_some_and(|known| known != id) {
                    return Err(format!("the identity differs from earlier records: {id}"));
                }
                self.id = Some(id);
                self.hard = hard;
                Ok(0)
            }
            Record::Reset(position) => {
                self.base = position;
                self.entries.clear();
                Ok(position.index)
            }
            Record::Entry(entry) => self.apply_entry(entry),
        }
    }

    fn apply_entry(&mut self, entry: Entry) -> std::result::Result<u64, String> {
        let index = entry.at.index;
        if index == 0 {
            return Err("an entry has index 0; the first index is 1".to_owned());
        }
        let end = self.base.index + self.entries.len() as u64;
        let is_first_entry = self.entries.is_empty() && self.base == Position::default();
        // The segments with the entries before this one may have been removed.
        if index <= self.base.index || is_first_entry {
            let previous = index - 1;
            self.base = Position {
                index: previous,
                term: 0,
            };
            self.entries.clear();
        } else if index > end + 1 {
            return Err(format!(
                "entry {index} follows entry {end}; the entries between them are missing"
            ));
        }
        self.entries
            .truncate((index - 1 - self.base.index) as usize);
        self.entries.push_back(entry);
        Ok(index)
    }

    /// Returns the entries after the snapshot at `position`; `None` if the log does not continue
    /// it.
    fn entries_after(mut self, position: Position) -> Option<Vec<Entry>> {
        let skip = (position.index - self.base.index) as usize;
        let continues = match skip.checked_sub(1) {
            None => self.base.term == position.term,
            Some(offset) => self.entries.get(offset).is_some_and(|e| e.at == position),
        };
        if !continues {
            return None;
        }
        self.entries.drain(..skip);
        Some(self.entries.into())
    }
}
