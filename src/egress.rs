//! Admission and scheduling of large answers on the link of one VM.
//!
//! Load addressed: answers of tens to hundreds of kilobytes whose sum exceeds the link of the few
//! VMs that serve them. Small answers, pings and control messages to the same VMs then wait behind
//! those bytes, miss their deadlines, and the requests that wait for them fill the slots of other
//! servers.
//!
//! [`Link`] keeps an account of the bytes that admitted downloads have not sent yet. A download is
//! refused before it runs if the bytes ahead of it exceed a bounded wait, derived from its target
//! latency. Bodies leave in parts, paced below the rate of the link, so that any other message waits
//! for one or two parts at most.

mod schedule;
mod sizes;
#[cfg(test)]
mod tests;

pub use self::schedule::Schedule;

use {
    self::sizes::Sizes,
    crate::model::{PathPrefix, PlanName, Rank},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Share of the link's rate for the bodies of downloads; the rest is for small answers, requests,
/// pings and control traffic.
pub const USABLE_SHARE: f64 = 0.85;
/// Largest part of a body in bytes: one HTTP/2 frame. Smaller bodies are not paced.
pub const MAX_PART: usize = 16 * 1024;
/// Smallest part of a body in bytes, for slow links.
const MIN_PART: usize = 2 * 1024;
/// Time that a part occupies a slow link: a small message waits for two parts at most.
const PART_TIME: Duration = Duration::from_millis(20);
/// Share of the time between the expected end of a run and the target latency that a download may
/// wait for the link. A fixed wait of 0.4 s proved right for a target of 1 s.
const MAX_WAIT_SHARE: f64 = 0.35;
/// Longest wait for the link, which bounds the memory for answers that wait: 2 MB on a link of
/// 14 Mbit/s.
const MAX_WAIT: Duration = Duration::from_millis(1_500);
/// Time left for the way of the last bytes to the caller.
const DELIVERY_MARGIN: Duration = Duration::from_millis(100);
/// Time after which the bytes of a body whose reader does not take them are not counted as being
/// ahead of other bodies.
const STALL_TIME: Duration = Duration::from_millis(500);
/// Largest distance over which the returns of refused callers are spread; callers with a later
/// deadline are rare.
const MAX_RETURN_SPREAD: Duration = Duration::from_secs(5);

/// A download that asks for a share of the link.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Call ID, unique for the lifetime of the [`Link`].
    pub id: u64,
    /// Plan of the call; with `path` it identifies the route.
    pub plan: &'a PlanName,
    /// Path prefix of the grant.
    pub path: &'a PathPrefix,
    /// Rank of the call.
    pub rank: Rank,
    /// Time by which the call must be answered.
    pub deadline: Instant,
    /// Time after which the answer is worth less; `None` if only `deadline` counts.
    pub soft_deadline: Option<Instant>,
    /// Time at which the backend server is expected to have answered.
    pub ready_at: Instant,
}

impl Arrival<'_> {
    fn due(&self) -> Instant {
        self.soft_deadline
            .map_or(self.deadline, |soft| soft.min(self.deadline))
    }
}

/// Refusal of a download that has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkFull {
    /// Time that the link needs for the bytes ahead of the call.
    pub wait: Duration,
    /// Time at which there is expected to be room for the call.
    pub retry_at: Instant,
}

/// Returns how long the bytes ahead of a download may occupy the link, counted from `now`, for an
/// answer that is due at `due` and expected from the backend server at `ready_at`.
///
/// Bytes that are sent while the call runs do not delay it, so the time until `ready_at` is part of
/// the bound.
///
/// ```
/// use {anvilbeam::egress::max_wait, std::time::{Duration, Instant}};
/// let now = Instant::now();
/// let (ready_at, due) = (now + Duration::from_millis(200), now + Duration::from_millis(1_200));
/// let wait = max_wait(ready_at, due, now);
/// assert!(wait > Duration::from_millis(400) && wait < Duration::from_secs(1));
/// ```
pub fn max_wait(ready_at: Instant, due: Instant, now: Instant) -> Duration {
    let ready_in = ready_at.saturating_duration_since(now);
    let left = due.saturating_duration_since(ready_at);
    let wait = left.saturating_sub(DELIVERY_MARGIN);
    ready_in + wait.mul_f64(MAX_WAIT_SHARE).min(MAX_WAIT)
}

/// An admitted download.
#[derive(Debug)]
struct Answer {
    plan: PlanName,
    path: PathPrefix,
    rank: Rank,
    due: Instant,
    /// Bytes that are not sent yet, estimated until the size is known.
    unsent: u64,
    /// Whether `unsent` is an estimate.
    estimated: bool,
    sent: u64,
    /// Time of the last part, while the reader has not asked for the next one.
    idle_since: Option<Instant>,
}

/// Account and schedule of the large answers that one VM sends.
///
/// ```
/// use anvilbeam::{egress::{Arrival, Link}, model::{PathPrefix, PlanName, Rank}};
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let (plan, path) = (PlanName::from("reports"), PathPrefix::default());
/// let arrival = |id| Arrival {
///     id,
///     plan: &plan,
///     path: &path,
///     rank: Rank::Normal,
///     deadline: now + Duration::from_secs(4),
///     soft_deadline: Some(now + Duration::from_secs(1)),
///     ready_at: now + Duration::from_millis(150),
/// };
/// let mut link = Link::new(100_000);
/// assert!(link.admit(&arrival(1), now).is_ok());
/// let full = link.admit(&arrival(2), now).unwrap_err();
/// assert!(full.retry_at > now);
/// link.end(1, false, now);
/// assert!(link.admit(&arrival(2), now).is_ok());
/// ```
#[derive(Debug)]
pub struct Link {
    /// Rate for the bodies of downloads in bytes per second.
    usable: f64,
    part: usize,
    sizes: Sizes,
    answers: HashMap<u64, Answer>,
    schedule: Schedule,
    /// Time at which the latest refused caller was told to return.
    returns_until: Option<Instant>,
}

impl Link {
    /// Returns the account of an idle link that carries `rate` bytes per second.
    pub fn new(rate: u64) -> Self {
        let usable = rate.max(1) as f64 * USABLE_SHARE;
        let part = (usable * PART_TIME.as_secs_f64()) as usize;
        Self {
            usable,
            part: part.clamp(MIN_PART, MAX_PART),
            sizes: Sizes::default(),
            answers: HashMap::new(),
            schedule: Schedule::new(usable),
            returns_until: None,
        }
    }

    /// Returns the size of a part in bytes.
    pub const fn part_size(&self) -> usize {
        self.part
    }

    /// Returns the number of admitted downloads that have not ended.
    pub fn admitted(&self) -> usize {
        self.answers.len()
    }

    /// Returns the bytes that admitted downloads have not sent, estimated for those whose size is
    /// not known.
    pub fn unsent(&self) -> u64 {
        self.answers.values().map(|answer| answer.unsent).sum()
    }

    /// Returns the time that the link needs for the bytes ahead of a new download of `rank`.
    pub fn wait(&self, rank: Rank, now: Instant) -> Duration {
        let ahead = |answer: &&Answer| answer.rank <= rank && !answer.is_stalled(now);
        let ahead = self.answers.values().filter(ahead);
        self.time_for(ahead.map(|answer| answer.unsent).sum())
    }

    fn time_for(&self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.usable)
    }

    /// Admits a download and reserves the expected size of its answer.
    ///
    /// An idle link refuses nothing. Otherwise the bytes ahead of the call must be sent within
    /// [`max_wait`], and its own bytes before its deadline.
    ///
    /// # Errors
    /// [`LinkFull`] if the call would be late. Refused calls are told to return one after the other,
    /// so that there is room for each of them.
    pub fn admit(&mut self, arrival: &Arrival<'_>, now: Instant) -> Result<(), LinkFull> {
        let size = self.sizes.expected(arrival.plan, arrival.path);
        let wait = self.wait(arrival.rank, now);
        let bound = max_wait(arrival.ready_at, arrival.due(), now);
        let sent_at = arrival.ready_at.max(now + wait) + self.time_for(size);
        let in_time = wait <= bound && sent_at + DELIVERY_MARGIN <= arrival.deadline;
        if !wait.is_zero() && !in_time {
            let room_at = now + wait.saturating_sub(bound);
            let retry_at = self.spread_return(room_at, size, now);
            return Err(LinkFull { wait, retry_at });
        }
        let answer = Answer {
            plan: arrival.plan.clone(),
            path: arrival.path.clone(),
            rank: arrival.rank,
            due: arrival.due(),
            unsent: size,
            estimated: true,
            sent: 0,
            idle_since: None,
        };
        self.answers.insert(arrival.id, answer);
        Ok(())
    }

    /// Returns when a refused caller should return: at `room_at`, or after the callers that were
    /// refused before.
    fn spread_return(&mut self, room_at: Instant, size: u64, now: Instant) -> Instant {
        let after_others = self.returns_until.unwrap_or(now);
        let retry_at = room_at.max(after_others).min(now + MAX_RETURN_SPREAD) + self.time_for(size);
        self.returns_until = Some(retry_at);
        retry_at
    }

    /// Records that the backend server answered, with the exact size of the body if it is known.
    pub fn answered(&mut self, id: u64, size: Option<u64>) {
        if let Some(answer) = self.answers.get_mut(&id)
            && let Some(size) = size
        {
            answer.unsent = size.saturating_sub(answer.sent);
            answer.estimated = false;
        }
    }

    /// Counts an answer of `bytes` that is sent at once, ahead of all parts.
    pub fn sent_at_once(&mut self, id: u64, bytes: u64, now: Instant) {
        self.schedule.charge(bytes, now);
        if let Some(answer) = self.answers.get_mut(&id) {
            answer.unsent = 0;
            answer.sent = bytes;
        }
    }

    /// Asks for the next `bytes` of the body of answer `id`; [`Link::grant`] grants them.
    pub fn request_part(&mut self, id: u64, bytes: usize) {
        if let Some(answer) = self.answers.get_mut(&id) {
            answer.idle_since = None;
            self.schedule
                .request(id, answer.rank, answer.due, bytes as u64);
        }
    }

    /// Returns the next answer that may send the part it asked for; `None` if none may at `now`.
    pub fn grant(&mut self, now: Instant) -> Option<u64> {
        let (id, bytes) = self.schedule.grant(now)?;
        if let Some(answer) = self.answers.get_mut(&id) {
            answer.unsent = answer.unsent.saturating_sub(bytes);
            answer.sent += bytes;
            answer.idle_since = Some(now);
        }
        Some(id)
    }

    /// Returns the time at which [`Link::grant`] must be called next; `None` if nothing waits.
    pub fn next_grant_at(&self, now: Instant) -> Option<Instant> {
        self.schedule.next_grant_at(now)
    }

    /// Ends a call and releases what it reserved. `complete` tells that the whole answer was handed
    /// to the connection, so that its size is a sample for later calls.
    pub fn end(&mut self, id: u64, complete: bool, now: Instant) {
        self.schedule.cancel(id);
        if let Some(answer) = self.answers.remove(&id)
            && complete
        {
            self.sizes
                .record(&answer.plan, &answer.path, answer.sent, now);
        }
    }
}

impl Answer {
    fn is_stalled(&self, now: Instant) -> bool {
        self.idle_since
            .is_some_and(|since| since + STALL_TIME <= now)
    }
}
