//! State machine of a claims group: which idempotency keys were claimed, and with what answer.
//!
//! A key goes from unknown to pending to done. A pending key is removed only by a release, which
//! the owner of the attempt sends when it is certain that the request did not run. A released
//! attempt is remembered, so that its claim cannot be granted when it arrives late.

#[cfg(test)]
mod tests;

use {
    crate::{
        error::{Error, Result},
        model::{DaemonName, Digest, PlanName},
        wire,
    },
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Time for which a key is remembered, in milliseconds.
pub const KEY_LIFETIME_MS: u64 = 24 * 60 * 60 * 1000;
/// Time for which an answer is kept with its key, in milliseconds.
pub const ANSWER_LIFETIME_MS: u64 = 10 * 60 * 1000;
/// Time for which a released attempt is remembered, in milliseconds.
///
/// Connections that stay silent are closed after 2 s, so no claim arrives this late.
pub const RELEASE_LIFETIME_MS: u64 = 10 * 60 * 1000;
/// Largest body that is kept with a key, in bytes.
pub const MAX_ANSWER: usize = 16 * 1024;
/// Longest idempotency key in bytes.
pub const MAX_KEY: usize = 255;

/// Identifies a claim: digest of the plan and the idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimKey(Digest);

impl ClaimKey {
    /// The key of `plan` with the text of its header.
    ///
    /// ```
    /// use anvilbeam::claims::ClaimKey;
    /// let key = ClaimKey::new(&"boards".into(), "order-17");
    /// assert_ne!(key, ClaimKey::new(&"clerks".into(), "order-17"));
    /// ```
    pub fn new(plan: &PlanName, key: &str) -> Self {
        // Plan names hold no zero byte, so the pair is unambiguous.
        Self(Digest::of(format!("{plan}\0{key}").as_bytes()))
    }
}

/// Identifies one try to run a request; drawn at random by the daemon that wants to run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Attempt(pub u128);

/// The answer that a request had.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// HTTP headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body; `None` when it was too large or is no longer kept.
    pub body: Option<Vec<u8>>,
}

/// Command of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Asks to run the request with this key.
    Claim {
        /// Which request.
        key: ClaimKey,
        /// Which try.
        attempt: Attempt,
        /// Digest of the request; the same key with another digest is a mistake of the caller.
        request: Digest,
        /// The daemon that wants to run it.
        owner: DaemonName,
        /// Clock of the leader in milliseconds since 1970.
        now_ms: u64,
    },
    /// Records the answer.
    Finish {
        /// Which request.
        key: ClaimKey,
        /// Which try.
        attempt: Attempt,
        /// The answer.
        answer: StoredAnswer,
        /// Clock of the leader in milliseconds since 1970.
        now_ms: u64,
    },
    /// Declares that the try did not and will not run.
    Release {
        /// Which request.
        key: ClaimKey,
        /// Which try.
        attempt: Attempt,
        /// Clock of the leader in milliseconds since 1970.
        now_ms: u64,
    },
}

impl Command {
    /// Sets the clock, which only the leader does.
    pub fn stamp(&mut self, clock_ms: u64) {
        match self {
            Self::Claim { now_ms, .. }
            | Self::Finish { now_ms, .. }
            | Self::Release { now_ms, .. } => *now_ms = clock_ms,
        }
    }
}

/// Reply to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The try may run the request.
    Granted,
    /// The request has run; this was its answer.
    Done(StoredAnswer),
    /// Another try has the key; it may have run.
    Pending {
        /// The daemon that claimed it.
        owner: DaemonName,
    },
    /// The key stands for another request.
    Mismatch,
    /// The try was released before.
    Released,
    /// The answer or the release is recorded.
    Recorded,
    /// The try does not hold the key.
    NotHeld,
    /// The command could not be decoded.
    Malformed,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    attempt: Attempt,
    request: Digest,
    owner: DaemonName,
    answer: Option<StoredAnswer>,
}

/// Something that ends at a time in milliseconds since 1970.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Expiry<T> {
    at_ms: u64,
    subject: T,
}

/// All keys of a claims group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// Highest clock seen; a new leader's clock may be behind.
    now_ms: u64,
    records: IndexMap<ClaimKey, Record>,
    released: IndexMap<Attempt, ()>,
    key_expiries: VecDeque<Expiry<(ClaimKey, Attempt)>>,
    answer_expiries: VecDeque<Expiry<(ClaimKey, Attempt)>>,
    release_expiries: VecDeque<Expiry<Attempt>>,
}

impl Claims {
    /// Runs one command.
    pub fn run(&mut self, command: Command) -> Reply {
        match command {
            Command::Claim {
                key,
                attempt,
                request,
                owner,
                now_ms,
            } => {
                self.advance(now_ms);
                self.claim(key, attempt, request, owner)
            }
            Command::Finish {
                key,
                attempt,
                answer,
                now_ms,
            } => {
                self.advance(now_ms);
                self.finish(key, attempt, answer)
            }
            Command::Release {
                key,
                attempt,
                now_ms,
            } => {
                self.advance(now_ms);
                self.release(key, attempt)
            }
        }
    }

    /// What is known of a key, without claiming it; `None` when no try holds or held it.
    pub fn peek(&self, key: &ClaimKey) -> Option<Reply> {
        let record = self.records.get(key)?;
        Some(match &record.answer {
            Some(answer) => Reply::Done(answer.clone()),
            None => Reply::Pending {
                owner: record.owner.clone(),
            },
        })
    }

    /// Count of keys that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn claim(
        &mut self,
        key: ClaimKey,
        attempt: Attempt,
        request: Digest,
        owner: DaemonName,
    ) -> Reply {
        if self.released.contains_key(&attempt) {
            return Reply::Released;
        }
        if let Some(record) = self.records.get(&key) {
            return reply_for(record, attempt, request);
        }
        self.key_expiries.push_back(Expiry {
            at_ms: self.now_ms + KEY_LIFETIME_MS,
            subject: (key, attempt),
        });
        let record = Record {
            attempt,
            request,
            owner,
            answer: None,
        };
        self.records.insert(key, record);
        Reply::Granted
    }

    fn finish(&mut self, key: ClaimKey, attempt: Attempt, mut answer: StoredAnswer) -> Reply {
        let Some(record) = self
            .records
            .get_mut(&key)
            .filter(|record| record.attempt == attempt)
        else {
            return Reply::NotHeld;
        };
        if record.answer.is_some() {
            return Reply::Recorded;
        }
        answer.body = answer.body.filter(|body| body.len() <= MAX_ANSWER);
        record.answer = Some(answer);
        self.answer_expiries.push_back(Expiry {
            at_ms: self.now_ms + ANSWER_LIFETIME_MS,
            subject: (key, attempt),
        });
        Reply::Recorded
    }

    fn release(&mut self, key: ClaimKey, attempt: Attempt) -> Reply {
        let held = self.records.get(&key).filter(|r| r.attempt == attempt);
        if held.is_some_and(|record| record.answer.is_some()) {
            return Reply::NotHeld;
        }
        if held.is_some() {
            self.records.swap_remove(&key);
        }
        if self.released.insert(attempt, ()).is_none() {
            self.release_expiries.push_back(Expiry {
                at_ms: self.now_ms + RELEASE_LIFETIME_MS,
                subject: attempt,
            });
        }
        Reply::Recorded
    }

    fn advance(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        while let Some((key, attempt)) = pop_due(&mut self.key_expiries, self.now_ms) {
            if self.holds(&key, attempt) {
                self.records.swap_remove(&key);
            }
        }
        while let Some((key, attempt)) = pop_due(&mut self.answer_expiries, self.now_ms) {
            if self.holds(&key, attempt) {
                self.drop_body(&key);
            }
        }
        while let Some(attempt) = pop_due(&mut self.release_expiries, self.now_ms) {
            self.released.swap_remove(&attempt);
        }
    }

    fn holds(&self, key: &ClaimKey, attempt: Attempt) -> bool {
        self.records.get(key).is_some_and(|r| r.attempt == attempt)
    }

    fn drop_body(&mut self, key: &ClaimKey) {
        let record = self.records.get_mut(key);
        if let Some(answer) = record.and_then(|record| record.answer.as_mut()) {
            answer.body = None;
            answer.headers = Vec::new();
        }
    }
}

fn reply_for(record: &Record, attempt: Attempt, request: Digest) -> Reply {
    if record.request != request {
        return Reply::Mismatch;
    }
    match &record.answer {
        Some(answer) => Reply::Done(answer.clone()),
        // The same try asks again after a lost reply.
        None if record.attempt == attempt => Reply::Granted,
        None => Reply::Pending {
            owner: record.owner.clone(),
        },
    }
}

fn pop_due<T>(expiries: &mut VecDeque<Expiry<T>>, now_ms: u64) -> Option<T> {
    if expiries.front()?.at_ms > now_ms {
        return None;
    }
    expiries.pop_front().map(|expiry| expiry.subject)
}

/// Applies one encoded command; the reply is encoded too.
pub fn apply(claims: &mut Claims, _index: u64, command: &[u8]) -> Vec<u8> {
    let reply = match wire::decode(command) {
        Ok(command) => claims.run(command),
        Err(e) => {
            log::error!("claims command: {e}");
            Reply::Malformed
        }
    };
    // A reply is smaller than the command that brought the answer.
    wire::encode(&reply).unwrap_or_default()
}

/// Encodes all keys.
///
/// # Errors
/// [`Error::Codec`].
pub fn snapshot(claims: &Claims) -> Result<Vec<u8>> {
    bincode::serde::encode_to_vec(claims, bincode::config::standard()).map_err(|e| Error::Codec {
        step: "encode claims",
        reason: e.to_string(),
    })
}

/// Decodes what [`snapshot`] encoded.
///
/// # Errors
/// [`Error::Codec`].
pub fn restore(buf: &[u8]) -> Result<Claims> {
    let decoded = bincode::serde::decode_from_slice(buf, bincode::config::standard());
    let (claims, _) = decoded.map_err(|e| Error::Codec {
        step: "decode claims",
        reason: e.to_string(),
    })?;
    Ok(claims)
}
