//! Encoding of messages between our processes: bincode with a size limit, in length-prefixed frames.

#[cfg(test)]
mod tests;

use {
    crate::error::{Error, Result},
    bytes::{Buf, BufMut, Bytes, BytesMut},
    serde::{Serialize, de::DeserializeOwned},
};

/// Largest message in bytes.
pub const MAX_MESSAGE: usize = 4 * 1024 * 1024;

/// Bytes before the payload of a frame: length and CRC-32, both big endian.
const HEADER: usize = 8;

/// Encodes one message.
///
/// ```
/// use anvilbeam::wire;
/// let buf = wire::encode(&(7_u32, "a")).unwrap();
/// assert_eq!(wire::decode::<(u32, String)>(&buf).unwrap(), (7, "a".to_owned()));
/// ```
///
/// # Errors
/// [`Error::TooLarge`] when the message exceeds [`MAX_MESSAGE`] bytes.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let buf = bincode::serde::encode_to_vec(message, bincode::config::standard()).map_err(|e| {
        Error::Codec {
            step: "encode message",
            reason: e.to_string(),
        }
    })?;
    check_size("encode message", buf.len())?;
    Ok(buf)
}

/// Decodes one message that fills `buf`.
///
/// # Errors
/// [`Error::TooLarge`] or [`Error::Codec`].
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Result<T> {
    check_size("decode message", buf.len())?;
    // The limit bounds what a length field can make the decoder allocate.
    let cfg = bincode::config::standard().with_limit::<MAX_MESSAGE>();
    let (message, used) =
        bincode::serde::decode_from_slice(buf, cfg).map_err(|e| Error::Codec {
            step: "decode message",
            reason: e.to_string(),
        })?;
    if used != buf.len() {
        return Err(Error::Codec {
            step: "decode message",
            reason: format!("{} bytes follow the message", buf.len() - used),
        });
    }
    Ok(message)
}

/// Encodes one message as a frame.
///
/// # Errors
/// See [`encode`].
pub fn encode_frame<T: Serialize>(message: &T) -> Result<Bytes> {
    let payload = encode(message)?;
    let mut buf = BytesMut::with_capacity(HEADER + payload.len());
    buf.put_u32(payload.len() as u32);
    buf.put_u32(crc32fast::hash(&payload));
    buf.put_slice(&payload);
    Ok(buf.freeze())
}

/// Takes the next whole frame off the front of `buf`; `None` while it is incomplete.
///
/// ```
/// use {anvilbeam::wire, bytes::BytesMut};
/// let mut buf = BytesMut::from(&wire::encode_frame(&5_u64).unwrap()[..]);
/// assert_eq!(wire::next_frame::<u64>(&mut buf).unwrap(), Some(5));
/// assert_eq!(wire::next_frame::<u64>(&mut buf).unwrap(), None);
/// ```
///
/// # Errors
/// [`Error::TooLarge`] or [`Error::Codec`]; the stream cannot be used any more.
pub fn next_frame<T: DeserializeOwned>(buf: &mut BytesMut) -> Result<Option<T>> {
    let Some(mut header) = buf.get(..HEADER) else {
        return Ok(None);
    };
    let size = header.get_u32() as usize;
    let checksum = header.get_u32();
    check_size("read frame", size)?;
    if buf.len() < HEADER + size {
        return Ok(None);
    }
    buf.advance(HEADER);
    let payload = buf.split_to(size);
    if crc32fast::hash(&payload) != checksum {
        return Err(Error::Codec {
            step: "read frame",
            reason: format!("checksum of {size} bytes does not match"),
        });
    }
    decode(&payload).map(Some)
}

fn check_size(step: &'static str, size: usize) -> Result<()> {
    if size > MAX_MESSAGE {
        return Err(Error::TooLarge {
            step,
            size,
            limit: MAX_MESSAGE,
        });
    }
    Ok(())
}
