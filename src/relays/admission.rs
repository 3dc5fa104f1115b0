//! Rate limit of connections, with a retry delay for each refused connection.

use std::time::{Duration, Instant};

/// Divisor of the rate per second that gives the burst. It keeps the connections of any 100 ms
/// below twice the steady rate.
const BURST_DIVISOR: u32 = 20;

/// Maximum retry delay. An overestimated backlog would otherwise delay daemons for long.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Rate limiter that returns a retry delay for each refused connection.
///
/// Each refused connection gets a distinct later time to retry, up to a maximum delay, so the
/// retries arrive at the admitted rate instead of all at once.
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
    /// Time between two connections at the steady rate.
    interval: Duration,
    /// Number of connections that are admitted at once after an idle time.
    burst: u32,
    /// Earliest time for the next connection at the steady rate; it may lie ahead of the clock by
    /// the burst.
    next: Instant,
    /// Latest retry time that was given to a refused connection.
    last_retry: Instant,
}

impl Admission {
    /// Creates a limiter that admits up to `rate` connections per second.
    pub fn new(rate: u32, now: Instant) -> Self {
        Self {
            interval: Duration::from_secs(1) / rate.max(1),
            burst: (rate / BURST_DIVISOR).max(1),
            next: now,
            last_retry: now,
        }
    }

    /// Sets the number of connections that are admitted per second from now on.
    pub fn set_rate(&mut self, rate: u32) {
        self.interval = Duration::from_secs(1) / rate.max(1);
        self.burst = (rate / BURST_DIVISOR).max(1);
    }

    /// Admits a connection if the rate allows it.
    ///
    /// # Errors
    /// The delay after which the refused connection may retry.
    pub fn admit(&mut self, now: Instant) -> Result<(), Duration> {
        if self.next <= now + self.interval * (self.burst - 1) {
            self.next = self.next.max(now) + self.interval;
            return Ok(());
        }
        self.last_retry = self.last_retry.max(self.next).max(now) + self.interval;
        Err(self.last_retry.duration_since(now).min(MAX_RETRY_DELAY))
    }
}
