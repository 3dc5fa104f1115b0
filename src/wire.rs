//! Encoding of messages between processes: bincode with a size limit, and frames with a length and
//! a checksum.

#[cfg(test)]
mod tests;

use {
    crate::error::{Error, Result},
    bytes::{Buf, BufMut, Bytes, BytesMut},
    serde::{Serialize, de::DeserializeOwned},
};

/// Maximum size of an encoded message in bytes.
pub const MAX_MESSAGE: usize = 4 * 1024 * 1024;

/// Size of a frame header in bytes: length and CRC-32 of the payload, each a big-endian `u32`.
const HEADER_LEN: usize = 8;

/// Encodes one message.
///
/// ```
/// use anvilbeam::wire;
/// let buf = wire::encode(&(7_u32, "a")).unwrap();
/// assert_eq!(wire::decode::<(u32, String)>(&buf).unwrap(), (7, "a".to_owned()));
/// ```
///
/// # Errors
/// [`Error::TooLarge`] if the encoded message exceeds [`MAX_MESSAGE`] bytes; [`Error::Codec`] if it
/// cannot be encoded.
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

/// Decodes one message from the whole of `buf`.
///
/// # Errors
/// [`Error::TooLarge`] if `buf` exceeds [`MAX_MESSAGE`] bytes; [`Error::Codec`] if it is not
/// exactly one message.
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Result<T> {
    check_size("decode message", buf.len())?;
    // Without the limit, a corrupt length field could make the decoder allocate any amount.
    let cfg = bincode::config::standard().with_limit::<MAX_MESSAGE>();
    let (message, used) =
        bincode::serde::decode_from_slice(buf, cfg).map_err(|e| Error::Codec {
            step: "decode message",
            reason: e.to_string(),
        })?;
    if used != buf.len() {
        return Err(Error::Codec {
            step: "decode message",
            reason: format!("{} unexpected bytes after the message", buf.len() - used),
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
    let mut buf = BytesMut::with_capacity(HEADER_LEN + payload.len());
    buf.put_u32(payload.len() as u32);
    buf.put_u32(crc32fast::hash(&payload));
    buf.put_slice(&payload);
    Ok(buf.freeze())
}

/// Removes the first frame from `buf` and decodes it; `None` if the frame is incomplete.
///
/// ```
/// use {anvilbeam::wire, bytes::BytesMut};
/// let mut buf = BytesMut::from(&wire::encode_frame(&5_u64).unwrap()[..]);
/// assert_eq!(wire::next_frame::<u64>(&mut buf).unwrap(), Some(5));
/// assert_eq!(wire::next_frame::<u64>(&mut buf).unwrap(), None);
/// ```
///
/// # Errors
/// [`Error::TooLarge`] or [`Error::Codec`] for an invalid frame. The rest of the stream cannot be
/// decoded after that.
pub fn next_frame<T: DeserializeOwned>(buf: &mut BytesMut) -> Result<Option<T>> {
    let Some(mut header) = buf.get(..HEADER_LEN) else {
        return Ok(None);
    };
    let size = header.get_u32() as usize;
    let checksum = header.get_u32();
    check_size("read frame", size)?;
    if buf.len() < HEADER_LEN + size {
        return Ok(None);
    }
    buf.advance(HEADER_LEN);
    let payload = buf.split_to(size);
    if crc32fast::hash(&payload) != checksum {
        return Err(Error::Codec {
            step: "read frame",
            reason: format!("CRC-32 of the {size} byte payload does not match"),
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

/// Serializes byte strings as one block instead of a sequence of numbers.
pub(crate) mod byte_string {
    use {
        bytes::Bytes,
        serde::{Deserializer, Serializer, de},
        std::fmt,
    };

    pub(crate) fn serialize<S: Serializer>(bytes: &Bytes, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(bytes)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Bytes, D::Error> {
        struct Visitor;

        impl de::Visitor<'_> for Visitor {
            type Value = Bytes;

            fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str("a byte string")
            }

            fn visit_bytes<E: de::Error>(self, v: &[u8]) -> Result<Bytes, E> {
                Ok(Bytes::copy_from_slice(v))
            }

            fn visit_byte_buf<E: de::Error>(self, v: Vec<u8>) -> Result<Bytes, E> {
                Ok(Bytes::from(v))
            }
        }

        from.deserialize_byte_buf(Visitor)
    }
}
