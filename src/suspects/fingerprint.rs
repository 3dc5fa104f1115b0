//! Fingerprint that identifies a request across retries.

use {
    serde::{Deserialize, Serialize},
    sha2::{Digest as _, Sha256},
    std::fmt,
};

/// Number of leading bytes of the body that the fingerprint covers.
pub const BODY_PREFIX: usize = 1024;

/// Distinguishes requests with the same plan, service, method and path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Identity<'a> {
    /// Idempotency key of the request.
    Key(&'a str),
    /// Body of the request; only the first `BODY_PREFIX` bytes are used.
    Body(&'a [u8]),
    /// No idempotency key or body is known.
    Unknown,
}

/// Parts of a request that the fingerprint covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request<'a> {
    /// Name of the plan.
    pub plan: &'a str,
    /// Name of the service.
    pub service: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path with query.
    pub path: &'a str,
    /// Idempotency key or body.
    pub identity: Identity<'a>,
}

/// Digest that is equal for a request and its retries.
///
/// SHA-256 truncated to 128 bits: still resists deliberate collisions, at half the report size.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// Computes the fingerprint of `request`.
    ///
    /// ```
    /// use anvilbeam::suspects::{Fingerprint, Identity, Request};
    /// let first = Request {
    ///     plan: "p",
    ///     service: "s",
    ///     method: "POST",
    ///     path: "/orders",
    ///     identity: Identity::Key("k1"),
    /// };
    /// let other = Request { identity: Identity::Key("k2"), ..first };
    /// assert_ne!(Fingerprint::of(&first), Fingerprint::of(&other));
    /// ```
    pub fn of(request: &Request<'_>) -> Self {
        let (tag, identity) = match request.identity {
            Identity::Key(key) => (b"k", key.as_bytes()),
            Identity::Body(body) => (b"b", &body[..body.len().min(BODY_PREFIX)]),
            Identity::Unknown => (b"u", &[][..]),
        };
        let mut hasher = Sha256::new();
        let texts = [request.plan, request.service, request.method, request.path];
        let parts = texts.into_iter().map(str::as_bytes);
        for part in parts.chain([&tag[..], identity]) {
            // The length prefix separates requests whose concatenated parts are equal.
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let digest: [u8; 32] = hasher.finalize().into();
        let mut truncated = [0; 16];
        truncated.copy_from_slice(&digest[..16]);
        Self(truncated)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
