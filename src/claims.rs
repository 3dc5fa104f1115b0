//! State machine of a claims group: which idempotency keys were claimed, and with what answer.
//!
//! A key goes from unknown to pending to done, and is removed when its lifetime ends. Before that,
//! a pending key is removed only by a release, which the owner of the attempt sends when it is
//! certain that the request did not run. A released attempt is remembered, so that its claim cannot
//! be granted when it arrives late.

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
/// Connections without traffic are closed after 2 s, so no claim of the attempt arrives later.
pub const RELEASE_LIFETIME_MS: u64 = 10 * 60 * 1000;
/// Largest body that is kept with a key, in bytes.
pub const MAX_STORED_BODY: usize = 16 * 1024;
/// Longest idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Identifies a request: digest of its plan and its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimKey(Digest);

impl ClaimKey {
    /// Returns the key for `plan` and the value of the idempotency key header.
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

/// Identifies one attempt to run a request; a random number that its daemon chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Attempt(pub u128);

/// Stored answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// HTTP headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body; `None` when it was too large or is no longer kept.
    pub body: Option<Vec<u8>>,
}

/// Command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Claims the key for an attempt that is about to run the request.
    Claim {
        /// Key of the request.
        key: ClaimKey,
        /// Attempt that claims the key.
        attempt: Attempt,
        /// Digest of the request; the same key with another digest is an error of the caller.
        request: Digest,
        /// Daemon that runs the attempt.
        owner: DaemonName,
        /// Clock of the leader in milliseconds since 1970.
        now_ms: u64,
    },
    /// Records the answer of an attempt that has run.
    Finish {
        /// Key of the request.
        key: ClaimKey,
        /// Attempt that holds the key.
        attempt: Attempt,
        /// The answer.
        answer: StoredAnswer,
        /// Clock of the leader in milliseconds since 1970.
        now_ms: u64,
    },
    /// Declares that the attempt did not and will not run.
    Release {
        /// Key of the request.
        key: ClaimKey,
        /// Attempt that gives up the key.
        attempt: Attempt,
        /// Clock of the leader in milliseconds since 1970.
        now_ms: u64,
    },
}

impl Command {
    /// Sets the time of the command in milliseconds since 1970. Only the leader does this, since
    /// all replicas must apply a command with the same time.
    pub fn set_time(&mut self, time_ms: u64) {
        match self {
            Self::Claim { now_ms, .. }
            | Self::Finish { now_ms, .. }
            | Self::Release { now_ms, .. } => *now_ms = time_ms,
        }
    }
}

/// Reply to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The attempt may run the request.
    Granted,
    /// The request has run; this was its answer.
    Done(StoredAnswer),
    /// Another attempt holds the key; it may have run.
    Pending {
        /// The daemon that claimed it.
        owner: DaemonName,
    },
    /// The key was used for a different request.
    Mismatch,
    /// The attempt was released before.
    Released,
    /// The answer or the release is recorded.
    Recorded,
    /// The attempt does not hold the key.
    NotHeld,
    /// The command could not be decoded.
    Malformed,
}

/// A claimed key. `answer` is `None` until the attempt has finished.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    attempt: Attempt,
    request: Digest,
    owner: DaemonName,
    answer: Option<StoredAnswer>,
}

/// Expiry time of `subject` in milliseconds since 1970.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Expiry<T> {
    at_ms: u64,
    subject: T,
}

/// State of a claims group: all claimed keys and released attempts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// Latest time of any command in milliseconds since 1970. It never decreases, although the
    /// clock of a new leader may be behind.
    now_ms: u64,
    records: IndexMap<ClaimKey, Record>,
    released: IndexMap<Attempt, ()>,
    key_expiries: VecDeque<Expiry<(ClaimKey, Attempt)>>,
    answer_expiries: VecDeque<Expiry<(ClaimKey, Attempt)>>,
    release_expiries: VecDeque<Expiry<Attempt>>,
}

impl Claims {
    /// Applies one command and returns its reply.
    pub fn execute(&mut self, command: Command) -> Reply {
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

    /// Returns the state of a key without claiming it; `None` if it was never claimed, or the claim
    /// was released or has expired.
    pub fn peek(&self, key: &ClaimKey) -> Option<Reply> {
        let record = self.records.get(key)?;
        Some(match &record.answer {
            Some(answer) => Reply::Done(answer.clone()),
            None => Reply::Pending {
                owner: record.owner.clone(),
            },
        })
    }

    /// Returns the number of stored keys.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no key is stored.
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
        answer.body = answer.body.filter(|body| body.len() <= MAX_STORED_BODY);
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

    /// Advances the time and removes what has expired.
    fn advance(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        while let Some((key, attempt)) = pop_expired(&mut self.key_expiries, self.now_ms) {
            if self.is_held_by(&key, attempt) {
                self.records.swap_remove(&key);
            }
        }
        while let Some((key, attempt)) = pop_expired(&mut self.answer_expiries, self.now_ms) {
            if self.is_held_by(&key, attempt) {
                self.strip_answer(&key);
            }
        }
        while let Some(attempt) = pop_expired(&mut self.release_expiries, self.now_ms) {
            self.released.swap_remove(&attempt);
        }
    }

    fn is_held_by(&self, key: &ClaimKey, attempt: Attempt) -> bool {
        self.records.get(key).is_some_and(|r| r.attempt == attempt)
    }

    /// Drops the headers and the body of a stored answer; the status stays.
    fn strip_answer(&mut self, key: &ClaimKey) {
        let record = self.records.get_mut(key);
        if let Some(answer) = record.and_then(|record| record.answer.as_mut()) {
            answer.body = None;
            answer.headers = Vec::new();
        }
    }
}

/// Returns the reply to a claim of a key that is already claimed.
fn reply_for(record: &Record, attempt: Attempt, request: Digest) -> Reply {
    if record.request != request {
        return Reply::Mismatch;
    }
    match &record.answer {
        Some(answer) => Reply::Done(answer.clone()),
        // The attempt repeats its claim after the reply was lost.
        None if record.attempt == attempt => Reply::Granted,
        None => Reply::Pending {
            owner: record.owner.clone(),
        },
    }
}

/// Removes and returns the first subject if it has expired.
fn pop_expired<T>(expiries: &mut VecDeque<Expiry<T>>, now_ms: u64) -> Option<T> {
    if expiries.front()?.at_ms > now_ms {
        return None;
    }
    expiries.pop_front().map(|expiry| expiry.subject)
}

/// Applies one encoded command and returns the encoded reply.
pub fn apply(claims: &mut Claims, _index: u64, command: &[u8]) -> Vec<u8> {
    let reply = match wire::decode(command) {
        Ok(command) => claims.execute(command),
        Err(e) => {
            log::error!("claims command not decoded: {e}");
            Reply::Malformed
        }
    };
    // Cannot exceed the size limit: a reply is smaller than the command that stored its answer.
    wire::encode(&reply).unwrap_or_default()
}

/// Encodes the state.
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
