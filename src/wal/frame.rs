//! Frames of records in a segment or a snapshot file.

use {
    crate::{
        error::Result,
        raft::{Entry, HardState, Position, ReplicaId},
        wire,
    },
    bytes::{Buf as _, BufMut as _},
    serde::{Deserialize, Serialize},
};

/// Bytes before the payload: length and CRC-32.
pub(super) const HEADER: usize = 8;
/// Entry bytes in one frame; with the largest entry the payload stays below
/// [`wire::MAX_MESSAGE`].
const FRAME_BYTES: usize = 2 * 1024 * 1024;

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Record {
    /// Identity and hard state of the replica.
    State(ReplicaId, HardState),
    /// The log is dropped and continues after this position.
    Reset(Position),
    /// An entry; later ones are dropped.
    Entry(Entry),
}

/// What stands at an offset of a file.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Frame<'a> {
    /// An intact payload.
    Intact(&'a [u8]),
    /// The end of the file.
    End,
    /// No intact frame; why.
    Damaged(&'static str),
}

/// Encodes records as frames of bounded size.
pub(super) fn encode_frames(records: &[Record]) -> Result<Vec<u8>> {
    let mut buf = Vec::new();
    let mut start = 0;
    let mut bytes = 0;
    for (i, record) in records.iter().enumerate() {
        let size = match record {
            Record::Entry(entry) => entry.size(),
            _ => 64,
        };
        if bytes > 0 && bytes + size > FRAME_BYTES {
            put_frame(&mut buf, &wire::encode(&&records[start..i])?);
            start = i;
            bytes = 0;
        }
        bytes += size;
    }
    put_frame(&mut buf, &wire::encode(&&records[start..])?);
    Ok(buf)
}

/// Appends a frame with `payload`.
pub(super) fn put_frame(buf: &mut Vec<u8>, payload: &[u8]) {
    buf.put_u32(payload.len() as u32);
    buf.put_u32(checksum(payload));
    buf.put_slice(payload);
}

/// Reads the frame at `offset`.
pub(super) fn frame_at(file: &[u8], offset: usize) -> Frame<'_> {
    let rest = &file[offset..];
    if rest.is_empty() {
        return Frame::End;
    }
    let Some(mut header) = rest.get(..HEADER) else {
        return Frame::Damaged("the header is cut off");
    };
    let size = header.get_u32() as usize;
    let expected = header.get_u32();
    if size == 0 || size > wire::MAX_MESSAGE {
        return Frame::Damaged("the length is out of range");
    }
    let Some(payload) = rest.get(HEADER..HEADER + size) else {
        return Frame::Damaged("the payload is cut off");
    };
    if checksum(payload) != expected {
        return Frame::Damaged("the checksum does not match");
    }
    Frame::Intact(payload)
}

/// Whether an intact frame stands anywhere after `offset`.
pub(super) fn intact_after(file: &[u8], offset: usize) -> bool {
    (offset + 1..file.len()).any(|at| matches!(frame_at(file, at), Frame::Intact(_)))
}

/// CRC-32 of the length and the payload; a block of zeros never passes as an empty frame.
fn checksum(payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(payload.len() as u32).to_be_bytes());
    hasher.update(payload);
    hasher.finalize()
}
