//! Choice of the source of a daemon.
//!
//! A daemon prefers the control replicas of its data centre, then those of its region. Among equally
//! near ones, rendezvous hashing spreads the daemons evenly.

use {
    super::{MAX_BACKOFF, Member, RECONNECT_JITTER, ReplicaRef, SourceRef, node::Source},
    sha2::{Digest as _, Sha256},
    std::{
        collections::VecDeque,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Base of the exponential backoff after failed attempts; it doubles once per round of all replicas.
const BACKOFF_BASE: Duration = Duration::from_millis(100);

/// Time for which a source that has failed is tried last.
const EXCLUSION_TIME: Duration = Duration::from_secs(5);

/// Maximum number of redirections in a row.
const MAX_REDIRECTIONS: u8 = 16;

/// Bounds of the time between two checks for a nearer source.
const MIN_NEARER_CHECK: Duration = Duration::from_secs(10);
const MAX_NEARER_CHECK: Duration = Duration::from_mins(5);

/// Bounds of the time between two rounds in search of a source with a path to the config group.
const MIN_SEARCH: Duration = Duration::from_secs(2);
const MAX_SEARCH: Duration = Duration::from_secs(30);

/// Returns the rendezvous hash of a member of a place, which orders the members of each place
/// differently.
///
/// ```
/// use anvilbeam::relays::rendezvous_hash;
/// assert_eq!(rendezvous_hash("dc-1", "daemon-1"), rendezvous_hash("dc-1", "daemon-1"));
/// assert_ne!(rendezvous_hash("dc-1", "daemon-1"), rendezvous_hash("dc-1", "daemon-2"));
/// ```
pub fn rendezvous_hash(place: &str, member: &str) -> u64 {
    let mut hash = Sha256::new();
    hash.update((place.len() as u64).to_be_bytes());
    hash.update(place);
    hash.update(member);
    let bytes = hash.finalize();
    bytes
        .iter()
        .take(8)
        .fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
}

/// Source to try next, and the level for it.
pub(super) struct Candidate {
    pub(super) source: Source,
    pub(super) level: u8,
}

/// Sources that a daemon knows.
#[derive(Clone, Debug)]
pub(super) struct Sources {
    /// Control replicas from the settings, used while no others are known.
    configured: Vec<SocketAddr>,
    /// Control replicas with their distance, the nearest first.
    ranked: Vec<(SocketAddr, u8)>,
    /// Processes named by a source without room.
    redirects: VecDeque<SourceRef>,
    redirections: u8,
    /// Position in the ranking of the next replica to try.
    next: usize,
    /// Consecutive attempts at sources that could not be reached.
    pub(super) failures: u32,
    /// Consecutive attempts that did not succeed, whatever the reason.
    attempts: u32,
    /// Earliest time for the next attempt.
    pub(super) retry_at: Instant,
    /// Source that failed last, and until when it is tried last.
    excluded: Option<(SocketAddr, Instant)>,
    next_nearer_check: Instant,
    nearer_check_interval: Duration,
    /// Refusals in a row by sources without a path to the config group.
    detached_refusals: usize,
    pub(super) next_search: Instant,
    search_interval: Duration,
}

impl Sources {
    pub(super) fn new(member: &Member, mut configured: Vec<SocketAddr>, now: Instant) -> Self {
        configured.sort_by_key(|address| rendezvous(member, *address));
        Self {
            configured,
            ranked: Vec::new(),
            redirects: VecDeque::new(),
            redirections: 0,
            next: 0,
            failures: 0,
            attempts: 0,
            retry_at: now,
            excluded: None,
            next_nearer_check: now + MIN_NEARER_CHECK,
            nearer_check_interval: MIN_NEARER_CHECK,
            detached_refusals: 0,
            next_search: now,
            search_interval: MIN_SEARCH,
        }
    }

    /// Replaces the control replicas from the settings; returns whether they changed.
    pub(super) fn set_configured(
        &mut self,
        member: &Member,
        mut configured: Vec<SocketAddr>,
    ) -> bool {
        configured.sort_by_key(|address| rendezvous(member, *address));
        let changed = self.configured != configured;
        self.configured = configured;
        changed
    }

    /// Returns the control replicas from the settings.
    pub(super) fn configured(&self) -> &[SocketAddr] {
        &self.configured
    }

    /// Ranks the control replicas for a daemon.
    pub(super) fn rank(&mut self, member: &Member, replicas: &[ReplicaRef]) {
        let distance = |replica: &ReplicaRef| {
            u8::from(replica.data_centre != member.data_centre)
                + u8::from(replica.region != member.region)
        };
        let mut ranked: Vec<_> = replicas
            .iter()
            .map(|replica| (replica.address, distance(replica)))
            .collect();
        ranked.sort_by_key(|(address, distance)| (*distance, rendezvous(member, *address)));
        self.ranked = ranked;
    }

    /// Returns the number of control replicas to try.
    pub(super) fn count(&self) -> usize {
        if self.ranked.is_empty() {
            self.configured.len()
        } else {
            self.ranked.len()
        }
    }

    /// Returns whether a source without room has named others that are not tried yet.
    pub(super) fn is_redirected(&self) -> bool {
        !self.redirects.is_empty()
    }

    /// Returns the source to try next.
    pub(super) fn next(&mut self, now: Instant) -> Option<Candidate> {
        if let Some(source) = self.redirects.pop_front() {
            return Some(Candidate {
                source: Source {
                    daemon: Some(source.daemon),
                    address: source.address,
                },
                level: self.redirections + 1,
            });
        }
        self.redirections = 0;
        self.excluded.take_if(|(_, until)| now >= *until);
        let count = self.count();
        let excluded = self.excluded.map(|(address, _)| address);
        let address = |n: usize| match self.ranked.get(n) {
            Some((address, _)) => *address,
            None => self.configured[n],
        };
        let order = (0..count).map(|step| (self.next + step) % count);
        let mut usable = order.filter(|n| count == 1 || Some(address(*n)) != excluded);
        let n = usable.next()?;
        let address = address(n);
        self.next = n + 1;
        Some(Candidate {
            source: Source {
                daemon: None,
                address,
            },
            level: 1,
        })
    }

    /// Records that a source has accepted the daemon.
    pub(super) fn accepted(&mut self) {
        self.failures = 0;
        self.attempts = 0;
        self.next = 0;
        self.redirections = 0;
        self.redirects.clear();
        self.detached_refusals = 0;
    }

    /// Records that a source failed, and schedules the next attempt. `random` selects a point of the
    /// jitter.
    pub(super) fn failed(
        &mut self,
        source: &Source,
        was_accepted: bool,
        now: Instant,
        random: u64,
    ) {
        self.excluded = Some((source.address, now + EXCLUSION_TIME));
        if was_accepted {
            self.retry_at = now + jitter(RECONNECT_JITTER, random);
            return;
        }
        self.failures = self.failures.saturating_add(1);
        self.retry(now, random);
    }

    /// Schedules the next attempt after one that did not succeed.
    fn retry(&mut self, now: Instant, random: u64) {
        if !self.redirects.is_empty() {
            self.retry_at = now;
            return;
        }
        self.attempts = self.attempts.saturating_add(1);
        let rounds = self.attempts / self.count().max(1) as u32;
        let bound = (BACKOFF_BASE * 2_u32.pow(rounds.min(5))).min(MAX_BACKOFF);
        self.retry_at = now + jitter(bound, random);
    }

    /// Tries a source that has ended its stream once more before others.
    pub(super) fn try_again(&mut self, source: SourceRef) {
        self.redirections = 1;
        self.redirects.push_front(source);
    }

    /// Records that a source has no room and named others.
    pub(super) fn redirected(&mut self, next: Vec<SourceRef>, now: Instant, random: u64) {
        self.failures = 0;
        self.redirections = self.redirections.saturating_add(1);
        if !next.is_empty() && self.redirections <= MAX_REDIRECTIONS {
            self.redirects = next.into();
        }
        self.retry(now, random);
    }

    /// Records that a source has no path to the config group. Returns whether all sources said so:
    /// the next one is then used in spite of it.
    pub(super) fn is_detached(&mut self, source: &Source, now: Instant) -> bool {
        self.excluded = Some((source.address, now + EXCLUSION_TIME));
        self.detached_refusals += 1;
        self.retry_at = now;
        self.detached_refusals >= self.count()
    }

    /// Leaves a source without a path to the config group, and schedules the next such search.
    pub(super) fn begin_search(&mut self, source: &Source, now: Instant, random: u64) {
        self.excluded = Some((source.address, now + EXCLUSION_TIME));
        self.next = 0;
        self.detached_refusals = 0;
        self.next_search = now + self.search_interval + jitter(self.search_interval, random);
        self.search_interval = (self.search_interval * 2).min(MAX_SEARCH);
    }

    /// Records that the source has a path to the config group.
    pub(super) const fn end_search(&mut self, now: Instant) {
        self.search_interval = MIN_SEARCH;
        self.next_search = now;
    }

    /// Returns the nearest control replica from time to time while the daemon uses a farther one.
    pub(super) fn nearer(&mut self, source: &Source, now: Instant, random: u64) -> Option<Source> {
        if now < self.next_nearer_check {
            return None;
        }
        let interval = self.nearer_check_interval;
        self.next_nearer_check = now + interval + jitter(interval, random);
        let used = self.ranked.iter().find(|(a, _)| *a == source.address)?.1;
        let (address, distance) = *self.ranked.first()?;
        if distance >= used {
            self.nearer_check_interval = MIN_NEARER_CHECK;
            return None;
        }
        self.nearer_check_interval = (interval * 2).min(MAX_NEARER_CHECK);
        Some(Source {
            daemon: None,
            address,
        })
    }
}

fn rendezvous(member: &Member, address: SocketAddr) -> u64 {
    rendezvous_hash(&address.to_string(), member.daemon.as_str())
}

/// Returns a duration below `bound` (full jitter).
pub(super) fn jitter(bound: Duration, random: u64) -> Duration {
    let nanos = u64::try_from(bound.as_nanos()).unwrap_or(u64::MAX).max(1);
    Duration::from_nanos(random % nanos)
}
