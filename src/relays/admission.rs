//! Admission of connections at a bounded rate.

use std::time::{Duration, Instant};

/// Share of a second's connections that are admitted at once after a quiet time. It keeps each
/// 100 ms below twice the steady rate.
const BURST_SHARE: u32 = 20;

/// Longest time to which a refused connection is put off, so that an overestimated backlog
/// doesn't keep daemons away for long.
const LONGEST: Duration = Duration::from_secs(5);

/// Admits connections at a bounded rate and tells the others when to come back.
///
/// Each refused connection is promised a later slot of its own, so the returning ones come at
/// the admitted rate instead of all at once.
///
/// ```
/// use {anvilbeam::relays::Admission, std::time::Instant};
/// let now = Instant::now();
/// let mut admission = Admission::new(100, now);
/// let refused = (0..50).filter(|_| admission.admit(now).is_err()).count();
/// assert_eq!(refused, 45);
/// ```
#[derive(Clone, Debug)]
pub struct Admission {
    interval: Duration,
    burst: u32,
    /// When the next connection may be admitted without using up the burst.
    next: Instant,
    /// Up to when slots are promised to refused connections.
    promised: Instant,
}

impl Admission {
    /// Admits up to `rate` connections per second.
    pub fn new(rate: u32, now: Instant) -> Self {
        Self {
            interval: Duration::from_secs(1) / rate.max(1),
            burst: (rate / BURST_SHARE).max(1),
            next: now,
            promised: now,
        }
    }

    /// Admits a connection.
    ///
    /// # Errors
    /// The wait after which the refused connection is to come back.
    pub fn admit(&mut self, now: Instant) -> Result<(), Duration> {
        if self.next <= now + self.interval * (self.burst - 1) {
            self.next = self.next.max(now) + self.interval;
            return Ok(());
        }
        self.promised = self.promised.max(self.next).max(now) + self.interval;
        Err(self.promised.duration_since(now).min(LONGEST))
    }
}
