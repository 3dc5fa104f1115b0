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
pub(super) const HEADER_BYTES: usize = 8;
/// Largest size of the entries in one frame in bytes, unless a single entry is larger. The payload
/// stays below [`wire::MAX_MESSAGE`] even with the largest entry.
const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Record {
    /// Identity and hard state of the replica.
    State(ReplicaId, HardState),
    /// Drops all entries; the log continues after this position.
    Reset(Position),
    /// Appends an entry after dropping those from its index on.
    Entry(Entry),
}

/// Result of reading the frame at an offset of a file.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Frame<'a> {
    /// Payload of an intact frame.
    Intact(&'a [u8]),
    /// The file ends at the offset.
    End,
    /// There is no intact frame; the reason.
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
        if bytes > 0 && bytes + size > MAX_FRAME_BYTES {
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
    let Some(mut header) = rest.get(..HEADER_BYTES) else {
        return Frame::Damaged("the header is cut off");
    };
    let size = header.get_u32() as usize;
    let expected = header.get_u32();
    if size == 0 || size > wire::MAX_MESSAGE {
        return Frame::Damaged("the length is out of range");
    }
    let Some(payload) = rest.get(HEADER_BYTES..HEADER_BYTES + size) else {
        return Frame::Damaged("the payload is cut off");
    };
    if checksum(payload) != expected {
        return Frame::Damaged("the checksum does not match");
    }
    Frame::Intact(payload)
}

/// Returns whether an intact frame starts anywhere after `offset`.
pub(super) fn intact_after(file: &[u8], offset: usize) -> bool {
    (offset + 1..file.len()).any(|start| matches!(frame_at(file, start), Frame::Intact(_)))
}

/// Returns the CRC-32 of the length and the payload. With the length, a block of zeros is not a
/// valid empty frame.
fn checksum(payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(payload.len() as u32).to_be_bytes());
    hasher.update(payload);
    hasher.finalize()
}
