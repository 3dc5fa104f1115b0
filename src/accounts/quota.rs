//! Quota of an account at one daemon: the part that needs no share, and the decision on a request that
//! finds neither.
//!
//! Addressed load: one account at many times its rate, and an account below its rate whose requests
//! move between daemons. The rate R, most of the burst B and most of the slack are distributed by
//! `crate::capacity` as shares under leases, which the relays of the data centres use to issue credits:
//! together they admit at most 5.5 R + 0.6 B + 18 requests in 5 s. 0.3 B is divided among the daemons in
//! advance: each has a part that needs no message, so that it serves without a relay: a reserve that a
//! share fills with what it earns while its own bucket is full, and that gains a little without a share.
//! Without what the shares earn, all reserves together admit at most 0.35 B requests in 5 s. The total
//! stays below 1.1 (5 R + B) + 20, with 0.15 B + 2 requests left for daemons that know different numbers
//! of daemons.

use {
    super::Account,
    crate::{
        capacity::MAX_WAIT,
        limits::{Bucket, MILLI, Quota, SHORTAGE_DELAY, SHORTAGE_GAP},
        model::{DaemonName, Digest, PlanName, UNLIMITED},
    },
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Window over which the demand of a daemon is averaged. With half a second, daemons that get a few
/// requests a second lost their share between two of them.
pub const DEMAND_WINDOW: Duration = Duration::from_secs(2);
/// Part of the burst that all reserves together hold, in thousandths.
const RESERVE: u64 = 300;
/// Part of the burst that all reserves together gain in a second, in thousandths.
const GAIN: u64 = 10;
/// Time after the start of a daemon in which it uses no part: it does not know all daemons yet.
const START_DELAY: Duration = Duration::from_secs(5);
/// A daemon that is out of contact still counts for one to two times this time, since it also uses its
/// part.
const COUNT_MEMORY: Duration = Duration::from_mins(5);
/// Time after which a request waits for more than one exchange with the relay of its data centre.
const EXCHANGE_TIME: Duration = Duration::from_millis(100);
/// Requests of an account beyond its quota that wait at one daemon, so that it still requests credit.
const MAX_WAITING_BEYOND: usize = 1;
/// Least and longest time over which the retries of refused requests are spread.
const SPREAD: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));
/// Time without requests after which a part is dropped; it would be full again by then.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Number of accounts with parts above which idle ones are dropped.
const SWEEP_ABOVE: usize = 1_024;

/// Share of an account at this daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareView {
    /// Rate in thousandths of a request per second; 0 without a valid share.
    pub rate: u64,
    /// What the share has earned while its bucket was full, in billionths of a request.
    pub spill_nano: u64,
    /// Demand that the daemon reported last, in thousandths of a request per second.
    pub demand: u64,
    /// Time at which the share admits the next request; `None` if unknown.
    pub next: Option<Instant>,
    /// Number of requests that wait for credit.
    pub waiting: usize,
    /// Time since which the first of them waits; `None` if none does.
    pub waiting_since: Option<Instant>,
}

/// Decision on a request that finds no credit at this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// The account may be below its limit: the request waits for a share.
    Wait,
    /// The account is beyond its limit: the request is refused and may be sent again at this time.
    Refuse(Instant),
}

/// Parts of all accounts at one daemon.
///
/// ```
/// use anvilbeam::accounts::{Account, plan_of, quota::Quotas};
/// use std::time::{Duration, Instant};
///
/// let start = Instant::now();
/// let mut quotas = Quotas::new("daemon-1".into(), start);
/// quotas.set_daemons(10, start);
/// let account = Account { plan: plan_of("depot"), rate: 100, burst: 100, rank: None };
/// assert!(!quotas.try_take(&account, 0, start), "the part of a daemon that starts is empty");
/// let later = start + Duration::from_secs(60);
/// let taken = (0..100).filter(|_| quotas.try_take(&account, 0, later)).count();
/// assert_eq!(taken, 3, "a tenth of 30% of the burst");
/// ```
#[derive(Debug)]
pub struct Quotas {
    me: DaemonName,
    started: Instant,
    /// Largest numbers of daemons in the current and the previous period, and the start of the current.
    daemons: (u64, u64, Instant),
    parts: HashMap<PlanName, Part>,
}

#[derive(Debug)]
struct Part {
    bucket: Bucket,
    /// Burst of the account and number of daemons from which the bucket was computed.
    basis: (u32, u64),
    /// First and latest shortage of the current series.
    shortage: Option<(Instant, Instant)>,
    last_used: Instant,
}

impl Quotas {
    /// Creates the parts of a daemon that starts.
    pub fn new(me: DaemonName, now: Instant) -> Self {
        Self {
            me,
            started: now,
            daemons: (1, 1, now),
            parts: HashMap::new(),
        }
    }

    /// Sets the number of daemons that are known now.
    pub fn set_daemons(&mut self, count: u64, now: Instant) {
        let (current, previous, since) = &mut self.daemons;
        if now >= *since + COUNT_MEMORY {
            (*previous, *current, *since) = (*current, 1, now);
        }
        *current = count.max(*current);
    }

    /// Takes one request from the part of an account, after adding `spill_nano` of its share; returns
    /// whether there was one.
    pub fn try_take(&mut self, account: &Account, spill_nano: u64, now: Instant) -> bool {
        let is_usable = now >= self.started + START_DELAY;
        let part = self.part(account, now);
        part.bucket.add(spill_nano, now);
        is_usable && part.bucket.try_take(now)
    }

    /// Returns the credit of a request that did not run.
    pub fn give_back(&mut self, account: &Account, now: Instant) {
        self.part(account, now).bucket.give_back(now);
    }

    /// Decides on a request that finds no credit; `random` spreads the retries.
    ///
    /// A daemon whose share is less than its demand may be short only because its share is still at
    /// another daemon. The account is beyond its limit if that lasts.
    pub fn on_shortage(
        &mut self,
        account: &Account,
        share: &ShareView,
        now: Instant,
        random: u64,
    ) -> Shortage {
        let part = self.part(account, now);
        let series = part
            .shortage
            .filter(|(_, latest)| now.saturating_duration_since(*latest) <= SHORTAGE_GAP);
        let first = series.map_or(now, |(first, _)| first);
        // Without a share each request takes one exchange with the relay and is not short of credit.
        let is_slow = share
            .waiting_since
            .is_some_and(|since| now >= since + EXCHANGE_TIME);
        let is_short = share.rate < share.demand && (is_slow || series.is_some());
        let latest = series.map_or(now, |(_, latest)| if is_slow { now } else { latest });
        part.shortage = is_short.then_some((first, latest));
        let is_beyond = is_short && now >= first + SHORTAGE_DELAY;
        if is_beyond && share.waiting >= MAX_WAITING_BEYOND || is_too_late(account, share) {
            return Shortage::Refuse(retry_at(share, now, random));
        }
        Shortage::Wait
    }

    fn known_daemons(&self) -> u64 {
        let (current, previous, _) = self.daemons;
        current.max(previous)
    }

    fn part(&mut self, account: &Account, now: Instant) -> &mut Part {
        if self.parts.len() >= SWEEP_ABOVE && !self.parts.contains_key(&account.plan) {
            self.parts
                .retain(|_, part| now < part.last_used + IDLE_TIMEOUT);
        }
        let daemons = self.known_daemons();
        let basis = (account.burst, daemons);
        let quota = || part_of(account, &self.me, daemons);
        let part = self
            .parts
            .entry(account.plan.clone())
            .or_insert_with(|| Part {
                // A daemon that ran before the first request has saved up its part.
                bucket: Bucket::filled_since(quota(), self.started + START_DELAY, now),
                basis,
                shortage: None,
                last_used: now,
            });
        if part.basis != basis {
            part.bucket.reconfigure(quota(), now);
            part.basis = basis;
        }
        part.last_used = now;
        part
    }
}

/// Returns the part of an account at the daemon `me` of `daemons`.
///
/// Where the burst is less than one request for each daemon, only some daemons have a part, selected by
/// a hash: a bucket below one request admits none, and one request for each daemon exceeds the quota.
pub fn part_of(account: &Account, me: &DaemonName, daemons: u64) -> Quota {
    if account.rate == UNLIMITED {
        return Quota::default();
    }
    let daemons = daemons.max(1);
    let burst = u64::from(account.burst);
    let total = Quota {
        rate: burst * GAIN,
        burst: burst * RESERVE,
    };
    if total.burst >= daemons * MILLI {
        return Quota {
            rate: total.rate / daemons,
            burst: total.burst / daemons,
        };
    }
    // Two standard deviations below the total, since the number of selected daemons varies.
    let holders = total.burst as f64 / MILLI as f64;
    let selected = (holders - 2.0 * holders.sqrt()) / daemons as f64;
    let Digest(hash) = Digest::of(format!("{} {me}", account.plan).as_bytes());
    let point = f64::from(u32::from_be_bytes([hash[0], hash[1], hash[2], hash[3]]));
    if point / f64::from(u32::MAX) >= selected {
        return Quota::default();
    }
    Quota {
        rate: (total.rate as f64 / holders) as u64,
        burst: MILLI,
    }
}

/// Returns whether the daemon holds nearly the whole rate, and those that wait use it for longer than a
/// request waits.
fn is_too_late(account: &Account, share: &ShareView) -> bool {
    let holds_all = share.rate >= u64::from(account.rate) * MILLI * 9 / 10;
    holds_all && share.waiting as u64 * MILLI >= share.rate * MAX_WAIT.as_secs()
}

/// Returns when a refused request may be sent again: once there is credit, spread over a time that
/// grows with the part of the demand that the share does not cover.
pub fn retry_at(share: &ShareView, now: Instant, random: u64) -> Instant {
    let (least, longest) = SPREAD;
    let uncovered = 1.0 - share.rate as f64 / share.demand.max(1) as f64;
    let spread = longest.mul_f64(uncovered.clamp(0.0, 1.0)).max(least);
    let position = (random % 1_024) as f64 / 1_024.0;
    share.next.unwrap_or(now).max(now) + spread.mul_f64(position)
}
