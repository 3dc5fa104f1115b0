//! Error type of the crate. Each error names the operation that failed and the peer or file
//! involved.

use std::{error::Error as StdError, fmt, io, net::SocketAddr, path::PathBuf};

/// Result with the [`Error`] of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// An error in any part of the crate.
#[derive(Debug)]
pub enum Error {
    /// A message could not be encoded or decoded.
    Codec {
        /// Operation on the message that failed.
        step: &'static str,
        /// Why it failed.
        reason: String,
    },
    /// A message or a file is larger than the limit.
    TooLarge {
        /// Operation that failed.
        step: &'static str,
        /// Size in bytes.
        size: usize,
        /// Limit in bytes.
        limit: usize,
    },
    /// A socket could not be bound.
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why it failed.
        source: io::Error,
    },
    /// A call to another process failed.
    Peer {
        /// Operation that the peer was asked for.
        step: &'static str,
        /// Address of the peer.
        peer: String,
        /// Why it failed.
        reason: String,
    },
    /// A file could not be read or written.
    File {
        /// Operation on the file that failed.
        step: &'static str,
        /// The file.
        path: PathBuf,
        /// Why it failed.
        source: io::Error,
    },
    /// A file contains invalid data.
    Corrupt {
        /// The file.
        path: PathBuf,
        /// Offset in bytes at which the first invalid data begins.
        offset: u64,
        /// What is wrong.
        reason: String,
    },
    /// A settings file, a list or an option contains a value that is not allowed.
    Invalid {
        /// File or option, with line and column where known.
        location: String,
        /// What is wrong, with the value.
        reason: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Codec { step, reason } => write!(f, "{step}: {reason}"),
            Self::TooLarge { step, size, limit } => {
                write!(f, "{step}: {size} bytes exceed the limit of {limit}")
            }
            Self::Bind { address, source } => write!(f, "bind {address}: {source}"),
            Self::Peer { step, peer, reason } => write!(f, "{step} at {peer}: {reason}"),
            Self::File { step, path, source } => {
                write!(f, "{step} {}: {source}", path.display())
            }
            Self::Corrupt {
                path,
                offset,
                reason,
            } => write!(
                f,
                "{} is corrupt at offset {offset}: {reason}",
                path.display()
            ),
            Self::Invalid { location, reason } => write!(f, "{location}: {reason}"),
        }
    }
}

impl StdError for Error {
    fn source(&self) -> Option<&(dyn StdError + 'static)> {
        match self {
            Self::Bind { source, .. } | Self::File { source, .. } => Some(source),
            _ => None,
        }
    }
}

/// Returns the texts of an error and all its sources, separated by `: `.
///
/// ```
/// use anvilbeam::error::{Error, error_chain};
/// let source = std::io::Error::other("in use");
/// let e = Error::Bind { address: ([127, 0, 0, 1], 80).into(), source };
/// assert_eq!(error_chain(&e), "bind 127.0.0.1:80: in use: in use");
/// ```
pub fn error_chain(e: &dyn StdError) -> String {
    let mut text = e.to_string();
    let mut cause = e.source();
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}
