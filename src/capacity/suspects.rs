//! Daemons that did not answer as a parent, and are not asked for a while.
//!
//! Addressed load: many daemons that are killed at once and return within seconds. Their endpoints are
//! still announced then, so the daemons of a data centre would ask a dead relay until it returns.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Time for which a daemon is not asked. It is longer than a restart, since each change of the relay
/// costs a lease.
const AVOID_TIME: Duration = Duration::from_secs(15);
/// Failures in a row, without an answer between them, after which a daemon is avoided. One alone may be
/// a single connection that was closed.
const MAX_FAILURES: u32 = 2;
/// Time after which earlier failures do not count.
const FAILURE_MEMORY: Duration = Duration::from_secs(2);
/// Maximum number of daemons that are remembered.
const MAX_SUSPECTS: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Suspect {
    failures: u32,
    last_failure: Instant,
    /// End of the time for which it is avoided; `None` below [`MAX_FAILURES`].
    until: Option<Instant>,
}

/// Peer addresses of the daemons that failed as a parent.
///
/// ```
/// use anvilbeam::capacity::Suspects;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let relay = "10.0.0.1:7000".parse().unwrap();
/// let mut suspects = Suspects::default();
/// suspects.record_failure(relay, now);
/// assert!(!suspects.is_avoided(&relay, now), "one failure");
/// suspects.record_failure(relay, now);
/// assert!(suspects.is_avoided(&relay, now));
/// assert!(!suspects.is_avoided(&relay, now + Duration::from_secs(20)));
/// ```
#[derive(Debug, Default)]
pub struct Suspects {
    all: HashMap<SocketAddr, Suspect>,
    changes: u64,
}

impl Suspects {
    /// Records that a request to the daemon failed, or that its stream ended; returns whether it is
    /// avoided from now on.
    pub fn record_failure(&mut self, address: SocketAddr, now: Instant) -> bool {
        if self.all.len() >= MAX_SUSPECTS && !self.all.contains_key(&address) {
            return false;
        }
        let suspect = self.all.entry(address).or_insert(Suspect {
            failures: 0,
            last_failure: now,
            until: None,
        });
        if now >= suspect.last_failure + FAILURE_MEMORY {
            suspect.failures = 0;
        }
        suspect.failures += 1;
        suspect.last_failure = now;
        if suspect.failures < MAX_FAILURES || suspect.until.is_some() {
            return false;
        }
        suspect.until = Some(now + AVOID_TIME);
        self.changes += 1;
        true
    }

    /// Records an answer of the daemon. It does not end the time for which the daemon is avoided.
    pub fn record_answer(&mut self, address: SocketAddr) {
        if self.all.get(&address).is_some_and(|s| s.until.is_none()) {
            self.all.remove(&address);
        }
    }

    /// Returns whether the daemon is not asked at `now`.
    pub fn is_avoided(&self, address: &SocketAddr, now: Instant) -> bool {
        let until = self.all.get(address).and_then(|suspect| suspect.until);
        until.is_some_and(|until| now < until)
    }

    /// Forgets what has expired; returns the number of changes so far of the daemons to avoid.
    pub fn changes(&mut self, now: Instant) -> u64 {
        let before = self.all.len();
        self.all.retain(|_, suspect| {
            let end = suspect.last_failure + FAILURE_MEMORY;
            suspect.until.unwrap_or(end) > now
        });
        if self.all.len() < before {
            self.changes += 1;
        }
        self.changes
    }
}
