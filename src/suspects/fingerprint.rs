//! Identity of a request over its resends.

use {
    serde::{Deserialize, Serialize},
    sha2::{Digest as _, Sha256},
    std::fmt,
};

/// Bytes of a body that count for its fingerprint.
pub const BODY_PREFIX: usize = 1024;

/// What tells two requests to the same path apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Identity<'a> {
    /// Its idempotency key.
    Key(&'a str),
    /// The first bytes of its body.
    Body(&'a [u8]),
    /// Nothing is known, or there is nothing.
    Unknown,
}

/// The parts of a request that its fingerprint covers.
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
    /// What else identifies it.
    pub identity: Identity<'a>,
}

/// Digest that a request and its resends share.
///
/// Half of a SHA-256: still 128 bits against a request made to collide, at half the report size.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// Fingerprint of `request`.
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
        let (kind, identity) = match request.identity {
            Identity::Key(key) => (b"k", key.as_bytes()),
            Identity::Body(body) => (b"b", &body[..body.len().min(BODY_PREFIX)]),
            Identity::Unknown => (b"u", &[][..]),
        };
        let mut hasher = Sha256::new();
        let texts = [request.plan, request.service, request.method, request.path];
        let parts = texts.into_iter().map(str::as_bytes);
        for part in parts.chain([&kind[..], identity]) {
            // Lengths keep two requests apart whose parts are cut differently.
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let digest: [u8; 32] = hasher.finalize().into();
        let mut half = [0; 16];
        half.copy_from_slice(&digest[..16]);
        Self(half)
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
