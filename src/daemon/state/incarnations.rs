//! What is remembered of the latest starts of the backend servers beside a daemon, so that a delayed
//! heartbeat does not bring one back.

use {
    crate::{
        announce::Announcement,
        model::{ServerName, ServerState},
    },
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Largest number of starts, and of servers that have left, that are remembered. Heartbeats are
/// delayed by seconds at most, so older ones are not needed.
const MAX_REMEMBERED: usize = 32;

/// Longest delay of a heartbeat, with a wide margin. Heartbeats that are out of order for longer come
/// from a server that runs, and something else was wrong: an odd heartbeat of another writer, or the
/// time of day at which a server left that did not tell its incarnation.
const MAX_DELAY: Duration = Duration::from_secs(30);

/// Incarnation of a server that does not tell it.
const UNNAMED: u64 = 0;

/// The latest starts of the backend servers beside a daemon, and their last known state.
///
/// They outlive the announcements: a lease ends and a server becomes unreachable without a promise
/// that it gets no more calls, but a server that has left or is draining has that promise.
#[derive(Debug, Default)]
pub(super) struct Incarnations {
    /// Oldest first.
    known: VecDeque<Start>,
    /// Servers that left without telling their incarnation, oldest first.
    unnamed: VecDeque<UnnamedDeparture>,
}

#[derive(Debug)]
struct Start {
    server: ServerName,
    incarnation: u64,
    /// Highest sequence number of its heartbeats, and when that came; `None` if it sends none.
    latest: Option<(u64, Instant)>,
    draining: bool,
    /// Whether it has left.
    left: bool,
    /// When a later start took its place.
    replaced_at: Option<Instant>,
}

impl Start {
    /// Returns whether a heartbeat that arrives now with this number has been delayed.
    fn is_delayed(&self, sequence: u64, now: Instant) -> bool {
        let is_recent = |at: Instant| now < at + MAX_DELAY;
        let older = self
            .latest
            .is_some_and(|(latest, at)| sequence <= latest && is_recent(at));
        older || self.replaced_at.is_some_and(is_recent)
    }
}

/// Departure of a server whose incarnation is unknown; it was started before `unix_ms`.
#[derive(Debug)]
struct UnnamedDeparture {
    server: ServerName,
    /// Time of day in milliseconds since the Unix epoch.
    unix_ms: u64,
    forget_at: Instant,
}

impl Incarnations {
    /// Records the latest heartbeat of a server.
    pub(super) fn record(&mut self, announcement: &Announcement, sequence: u64, now: Instant) {
        let known = self.entry(&announcement.server, announcement.incarnation);
        known.latest = Some((sequence, now));
        known.replaced_at = None;
        known.draining |= announcement.state == ServerState::Draining;
    }

    /// Records that a start of a server is draining.
    pub(super) fn record_draining(&mut self, server: &ServerName, incarnation: u64) {
        self.entry(server, incarnation).draining = true;
    }

    /// Records that a start of a server has left.
    pub(super) fn record_departure(&mut self, server: &ServerName, incarnation: u64) {
        self.entry(server, incarnation).left = true;
    }

    /// Records that a later start, of this or another server, has taken the place of a start.
    pub(super) fn record_replaced(&mut self, server: &ServerName, incarnation: u64, now: Instant) {
        self.entry(server, incarnation).replaced_at = Some(now);
    }

    /// Records at time of day `unix_ms` that a server has left that did not tell its incarnation.
    pub(super) fn record_unnamed_departure(
        &mut self,
        server: ServerName,
        unix_ms: u64,
        now: Instant,
    ) {
        for known in self.known.iter_mut().filter(|known| known.server == server) {
            known.left = true;
        }
        if self.unnamed.len() >= MAX_REMEMBERED {
            self.unnamed.pop_front();
        }
        self.unnamed.push_back(UnnamedDeparture {
            server,
            unix_ms,
            forget_at: now + MAX_DELAY,
        });
    }

    /// Forgets a server that is gone if it does not tell its incarnation: its next start could not be
    /// told from the one that is over.
    pub(super) fn forget_unnamed(&mut self, server: &ServerName) {
        self.known
            .retain(|known| known.server != *server || known.incarnation != UNNAMED || known.left);
    }

    /// Returns whether the announcement with this sequence number comes from a start that is over, or was
    /// delayed.
    pub(super) fn is_stale(
        &self,
        announcement: &Announcement,
        sequence: u64,
        now: Instant,
    ) -> bool {
        let Announcement {
            server,
            incarnation,
            ..
        } = announcement;
        let departed = |departure: &UnnamedDeparture| {
            departure.server == *server
                && *incarnation <= departure.unix_ms
                && now < departure.forget_at
        };
        let known = self.get(server, *incarnation);
        self.unnamed.iter().any(departed)
            || known.is_some_and(|known| known.left || known.is_delayed(sequence, now))
    }

    /// Returns whether the start of the server has announced that it is draining, which is final.
    pub(super) fn is_draining(&self, server: &ServerName, incarnation: u64) -> bool {
        self.get(server, incarnation)
            .is_some_and(|known| known.draining)
    }

    fn get(&self, server: &ServerName, incarnation: u64) -> Option<&Start> {
        let mut known = self.known.iter();
        known.find(|known| known.server == *server && known.incarnation == incarnation)
    }

    /// Returns the entry of a start as the latest one.
    fn entry(&mut self, server: &ServerName, incarnation: u64) -> &mut Start {
        let same = |known: &Start| known.server == *server && known.incarnation == incarnation;
        let position = self.known.iter().position(same);
        let known = position.and_then(|position| self.known.remove(position));
        if self.known.len() >= MAX_REMEMBERED {
            self.known.pop_front();
        }
        self.known.push_back(known.unwrap_or_else(|| Start {
            server: server.clone(),
            incarnation,
            latest: None,
            draining: false,
            left: false,
            replaced_at: None,
        }));
        let last = self.known.len() - 1;
        &mut self.known[last]
    }
}
