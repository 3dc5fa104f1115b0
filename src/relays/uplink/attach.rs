//! Attach requests to control.

use {
    super::{
        super::{
            ANSWER_TIMEOUT, Attach, AttachReply, Attached, FIRST_ATTACH_JITTER, HEARTBEAT_TIMEOUT,
            MAX_BACKOFF, Parent, Role,
        },
        Effect, Uplink,
        link::Target,
    },
    crate::{endpoints::OwnedSet, model::Version},
    std::time::{Duration, Instant},
};

/// Base of the exponential backoff after failed requests; the bound doubles up to [`MAX_BACKOFF`].
const BACKOFF_BASE: Duration = Duration::from_millis(250);

/// Upper bound of the jitter before the first attach request of a direct daemon; control answers
/// a few hundred requests within it.
const DIRECT_FIRST_JITTER: Duration = Duration::from_millis(250);

/// Base of the exponential backoff of a direct daemon; it doubles once per round of all replicas.
const DIRECT_BACKOFF_BASE: Duration = Duration::from_millis(100);

/// Time since a newer version was seen at a peer after which the parent counts as stale; an edit
/// propagates through the tree in less time.
const STALE_PARENT_AFTER: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    Idle,
    /// A request is due at this time.
    Scheduled(Instant),
    /// A request to replica `control` is in flight.
    InFlight {
        control: u32,
        deadline: Instant,
    },
}

/// State of the attach requests to control.
#[derive(Clone, Debug)]
pub(super) struct ControlRequests {
    pub(super) state: State,
    /// Index of the replica for the next request.
    control: u32,
    /// Consecutive failed requests.
    pub(super) failures: u32,
    /// Consecutive redirects to another replica.
    redirects: u32,
    /// Whether the last answer came from a leader that check-quorum had not confirmed.
    unconfirmed: bool,
}

impl ControlRequests {
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            state: State::Scheduled(now),
            control: 0,
            failures: 0,
            redirects: 0,
            unconfirmed: false,
        }
    }
}

impl Uplink {
    /// Returns whether control is unreachable: as many consecutive requests have failed as there
    /// are replicas.
    pub(super) const fn control_unreachable(&self) -> bool {
        self.control_requests.failures >= self.control_count
    }

    pub(super) fn check_control_requests(&mut self, now: Instant, out: &mut Vec<Effect>) {
        match self.control_requests.state {
            State::Idle if self.needs_parent(now) => {
                let bound = match (&self.link, self.store.floor()) {
                    (None, _) if self.direct => DIRECT_FIRST_JITTER,
                    (None, _) => FIRST_ATTACH_JITTER,
                    (Some(_), None) => BACKOFF_BASE,
                    (Some(_), Some(_)) => MAX_BACKOFF,
                };
                let at = self.jitter(now, bound);
                self.control_requests.state = State::Scheduled(at);
            }
            State::Scheduled(at) if now >= at => self.send_attach(now, out),
            State::InFlight { deadline, .. } if now >= deadline => self.on_attach_failure(now),
            _ => {}
        }
    }

    fn needs_parent(&self, now: Instant) -> bool {
        let Some(link) = &self.link else { return true };
        // Daemons near the root request a new parent first, the levels below only if they are still
        // detached later.
        let detached_limit = HEARTBEAT_TIMEOUT * u32::from(self.level);
        let detached = self
            .detached_since
            .is_some_and(|since| now >= since + detached_limit);
        let stale = self
            .peers
            .newer_since()
            .is_some_and(|since| now >= since + STALE_PARENT_AFTER);
        // A region relay keeps sending requests to all replicas in turn, because its parent may be
        // an old leader that is partitioned from its group. There are few region relays.
        let region_relay = matches!(self.role, Role::RegionRelay { .. });
        (region_relay && !self.direct)
            || link.interim
            || detached
            || stale
            || self.control_requests.unconfirmed
            || self.newer_epoch.is_some()
    }

    /// Schedules a request after full jitter, unless one is in flight.
    pub(super) fn schedule_attach(&mut self, now: Instant) {
        if !matches!(self.control_requests.state, State::InFlight { .. }) {
            let bound = if self.direct {
                DIRECT_FIRST_JITTER
            } else {
                FIRST_ATTACH_JITTER
            };
            let at = self.jitter(now, bound);
            self.control_requests.state = State::Scheduled(at);
        }
    }

    fn send_attach(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let control = self.control_requests.control % self.control_count;
        let deadline = now + ANSWER_TIMEOUT;
        self.control_requests.state = State::InFlight { control, deadline };
        let newest_epoch = self
            .directory
            .position(&self.member.data_centre)
            .map(|held| held.epoch);
        let attach = Attach {
            member: self.member.clone(),
            version: self.store.in_force().map_or(Version(0), |cfg| cfg.version),
            role: self.role,
            newest_epoch: newest_epoch.max(self.newer_epoch),
            failed_parent: self.failed_parent.clone(),
        };
        out.push(Effect::AskControl { control, attach });
    }

    fn on_attach_failure(&mut self, now: Instant) {
        self.control_requests.failures = self.control_requests.failures.saturating_add(1);
        self.control_requests.control = (self.control_requests.control + 1) % self.control_count;
        self.control_requests.redirects = 0;
        let bound = if self.direct {
            // All replicas are tried before the backoff grows, because one of them is the leader.
            let rounds = self.control_requests.failures / self.control_count;
            (DIRECT_BACKOFF_BASE * 2_u32.pow(rounds.min(4))).min(FIRST_ATTACH_JITTER)
        } else {
            (BACKOFF_BASE * 2_u32.pow(self.control_requests.failures.min(4))).min(MAX_BACKOFF)
        };
        let at = self.jitter(now, bound);
        self.control_requests.state = State::Scheduled(at);
    }

    pub(super) fn on_attach_reply(
        &mut self,
        now: Instant,
        control: u32,
        reply: Option<AttachReply>,
        out: &mut Vec<Effect>,
    ) {
        if !matches!(self.control_requests.state, State::InFlight { control: pending, .. } if pending == control)
        {
            return;
        }
        match reply {
            // An answer of an older term counts as a failure: its leader is partitioned and has not
            // stepped down yet. So does the answer of an unconfirmed leader to a direct daemon.
            Some(AttachReply::Attached(attached))
                if attached.term >= self.term && (attached.floor.is_some() || !self.direct) =>
            {
                self.on_attached(now, control, &attached, out);
            }
            Some(AttachReply::Refused { retry_after_ms }) => {
                let wait = Duration::from_millis(retry_after_ms.into());
                self.control_requests.failures = 0;
                self.control_requests.state = State::Scheduled(now + wait.min(MAX_BACKOFF * 3));
            }
            Some(AttachReply::NotLeader {
                leader: Some(leader),
            }) if self.control_requests.redirects < self.control_count => {
                self.control_requests.redirects += 1;
                self.control_requests.control = leader % self.control_count;
                self.control_requests.state = State::Scheduled(now);
            }
            _ => self.on_attach_failure(now),
        }
    }

    fn on_attached(
        &mut self,
        now: Instant,
        control: u32,
        attached: &Attached,
        out: &mut Vec<Effect>,
    ) {
        self.term = attached.term;
        self.control_requests.state = State::Idle;
        self.control_requests.redirects = 0;
        self.control_requests.unconfirmed = attached.floor.is_none();
        // An unconfirmed leader supplies no floor, so its answer counts as a failed request.
        self.control_requests.failures = match attached.floor {
            Some(_) => 0,
            None => self.control_requests.failures.saturating_add(1),
        };
        let region_relay = matches!(attached.role, Role::RegionRelay { .. });
        if region_relay || self.control_requests.unconfirmed || self.peers.newer_since().is_some() {
            // Sends the next request to another replica, which may have newer state.
            self.control_requests.control = (control + 1) % self.control_count;
        }
        if let Some(floor) = attached.floor {
            self.store.raise_floor(floor.max(self.peers.highest()));
        }
        self.set_role(now, attached.role);
        let target = match &attached.parent {
            Parent::Control => Target::Control(control),
            Parent::Daemon { name, address } => Target::Daemon {
                name: name.clone(),
                address: *address,
            },
        };
        let level = attached.role.level();
        let kept = |link: &mut super::Link| {
            link.interim = false;
            link.target == target
        };
        if self.level == level && self.link.as_mut().is_some_and(kept) {
            return;
        }
        self.connect(now, target, level, false, out);
    }

    pub(super) fn set_role(&mut self, now: Instant, role: Role) {
        self.newer_epoch = None;
        self.role = role;
        self.peers.interim_root = false;
        let Some(epoch) = role.epoch() else {
            self.own_set = None;
            self.pending_epoch = None;
            return;
        };
        let pending_epoch = self.pending_epoch.map(|(epoch, _)| epoch);
        let held = self.own_set.as_ref().map(OwnedSet::epoch).or(pending_epoch);
        if held != Some(epoch) {
            self.start_set(now, epoch);
        }
    }
}
