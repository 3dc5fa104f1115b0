//! Order and pace in which parts of large answers leave.

use {
    crate::model::Rank,
    std::{
        collections::{BTreeSet, HashMap},
        time::{Duration, Instant},
    },
};

/// Of this many parts, one goes to the body that is due first, whatever its rank. A constant load of
/// higher ranks would otherwise stop an admitted answer for good.
const ANY_RANK_TURN: u64 = 4;
/// Link time that may be made up for when a timer fires late.
const MAX_CATCH_UP: Duration = Duration::from_millis(20);

/// A request for a part.
#[derive(Clone, Copy, Debug)]
struct Request {
    rank: Rank,
    due: Instant,
    bytes: u64,
}

/// Parts that wait for the link: the highest rank first, then the earliest due time.
///
/// ```
/// use {anvilbeam::{egress::Schedule, model::Rank}, std::time::{Duration, Instant}};
/// let now = Instant::now();
/// let due = now + Duration::from_secs(1);
/// let mut schedule = Schedule::new(100_000.0);
/// schedule.request(1, Rank::Low, due, 10_000);
/// schedule.request(2, Rank::High, due, 10_000);
/// assert_eq!(schedule.grant(now), Some((2, 10_000)));
/// assert_eq!(schedule.grant(now), None);
/// let next = schedule.next_grant_at(now).unwrap();
/// assert_eq!(schedule.grant(next), Some((1, 10_000)));
/// ```
#[derive(Debug)]
pub struct Schedule {
    /// Bytes per second.
    rate: f64,
    /// Time at which the link has sent all parts that were granted; `None` before the first one.
    free_at: Option<Instant>,
    waiting: HashMap<u64, Request>,
    by_order: BTreeSet<(Rank, Instant, u64)>,
    by_due: BTreeSet<(Instant, u64)>,
    grants: u64,
}

impl Schedule {
    /// Returns the schedule of an idle link on which parts leave at `rate` bytes per second.
    pub fn new(rate: f64) -> Self {
        Self {
            rate,
            free_at: None,
            waiting: HashMap::new(),
            by_order: BTreeSet::new(),
            by_due: BTreeSet::new(),
            grants: 0,
        }
    }

    /// Adds a request of body `id` for a part; a body has at most one, further ones are ignored.
    pub fn request(&mut self, id: u64, rank: Rank, due: Instant, bytes: u64) {
        if self.waiting.contains_key(&id) {
            return;
        }
        self.waiting.insert(id, Request { rank, due, bytes });
        self.by_order.insert((rank, due, id));
        self.by_due.insert((due, id));
    }

    /// Removes the request of body `id`.
    pub fn cancel(&mut self, id: u64) {
        if let Some(request) = self.waiting.remove(&id) {
            self.by_order.remove(&(request.rank, request.due, id));
            self.by_due.remove(&(request.due, id));
        }
    }

    /// Returns the body that may send its part now, with the bytes of the part.
    pub fn grant(&mut self, now: Instant) -> Option<(u64, u64)> {
        if self.free_at.is_some_and(|free_at| free_at > now) {
            return None;
        }
        let id = self.next()?;
        let bytes = self.waiting.get(&id)?.bytes;
        self.cancel(id);
        self.grants += 1;
        self.charge(bytes, now);
        Some((id, bytes))
    }

    fn next(&self) -> Option<u64> {
        if (self.grants + 1).is_multiple_of(ANY_RANK_TURN) {
            return self.by_due.first().map(|(_, id)| *id);
        }
        self.by_order.first().map(|(.., id)| *id)
    }

    /// Counts bytes that leave without a request.
    pub fn charge(&mut self, bytes: u64, now: Instant) {
        let earliest = now.checked_sub(MAX_CATCH_UP).unwrap_or(now);
        let start = self.free_at.unwrap_or(now).max(earliest);
        self.free_at = Some(start + Duration::from_secs_f64(bytes as f64 / self.rate));
    }

    /// Returns the time of the next grant, `now` at the earliest; `None` if nothing waits.
    pub fn next_grant_at(&self, now: Instant) -> Option<Instant> {
        let free_at = self.free_at.unwrap_or(now).max(now);
        (!self.waiting.is_empty()).then_some(free_at)
    }
}
