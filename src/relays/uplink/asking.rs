//! Asking control for a parent.

use {
    super::{
        super::{
            ANSWER, Attach, AttachReply, Attached, FIRST_WAIT, LONGEST_WAIT, Parent, Role, SILENT,
        },
        Effect, Uplink,
        link::Target,
    },
    crate::{endpoints::OwnSet, model::Version},
    std::time::{Duration, Instant},
};

/// Bound of the wait after the first failed request; it doubles up to [`LONGEST_WAIT`].
const RETRY_WAIT: Duration = Duration::from_millis(250);

/// Bound of the wait before a daemon asks for a parent where all of them ask control; control
/// answers some hundred of them within it.
const DIRECT_WAIT: Duration = Duration::from_millis(250);

/// Bound of the wait before such a daemon asks the next control replica.
const DIRECT_RETRY_WAIT: Duration = Duration::from_millis(100);

/// Time for which a newer version must be seen elsewhere before the parent counts as stale: an
/// edit takes less on its way through the tree.
const STALE: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    Idle,
    At(Instant),
    Waiting { control: u32, deadline: Instant },
}

/// Requests to control.
#[derive(Clone, Debug)]
pub(super) struct Asking {
    pub(super) state: State,
    /// Replica that is asked next.
    control: u32,
    /// Failures in a row.
    pub(super) failures: u32,
    redirects: u32,
    /// Whether the leader that answered last could not confirm that it leads.
    unconfirmed: bool,
}

impl Asking {
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            state: State::At(now),
            control: 0,
            failures: 0,
            redirects: 0,
            unconfirmed: false,
        }
    }
}

impl Uplink {
    /// Whether no control replica can be asked: each was asked without success.
    pub(super) const fn control_out(&self) -> bool {
        self.asking.failures >= self.controls
    }

    pub(super) fn check_asking(&mut self, now: Instant, out: &mut Vec<Effect>) {
        match self.asking.state {
            State::Idle if self.needs_parent(now) => {
                let bound = match (&self.link, self.store.floor()) {
                    (None, _) if self.direct => DIRECT_WAIT,
                    (None, _) => FIRST_WAIT,
                    (Some(_), None) => RETRY_WAIT,
                    (Some(_), Some(_)) => LONGEST_WAIT,
                };
                let at = self.jitter(now, bound);
                self.asking.state = State::At(at);
            }
            State::At(at) if now >= at => self.ask(now, out),
            State::Waiting { deadline, .. } if now >= deadline => self.ask_failed(now),
            _ => {}
        }
    }

    fn needs_parent(&self, now: Instant) -> bool {
        let Some(link) = &self.link else { return true };
        // Upper levels ask first; the others only when that doesn't help.
        let patience = SILENT * u32::from(self.level);
        let detached = self
            .detached_since
            .is_some_and(|since| now >= since + patience);
        let stale = self
            .peers
            .newer_since()
            .is_some_and(|since| now >= since + STALE);
        // A region relay goes on asking all replicas in turn, because an old leader that is cut
        // off from its group may still serve it. There are few region relays.
        let leads = matches!(self.role, Role::RegionRelay { .. });
        (leads && !self.direct)
            || link.interim
            || detached
            || stale
            || self.asking.unconfirmed
            || self.superseded.is_some()
    }

    /// Asks after a full-jitter wait, unless a request is on its way.
    pub(super) fn ask_soon(&mut self, now: Instant) {
        if !matches!(self.asking.state, State::Waiting { .. }) {
            let bound = if self.direct { DIRECT_WAIT } else { FIRST_WAIT };
            let at = self.jitter(now, bound);
            self.asking.state = State::At(at);
        }
    }

    fn ask(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let control = self.asking.control % self.controls;
        let deadline = now + ANSWER;
        self.asking.state = State::Waiting { control, deadline };
        let seen = self
            .directory
            .position(&self.me.data_centre)
            .map(|held| held.epoch);
        let attach = Attach {
            member: self.me.clone(),
            version: self.store.in_force().map_or(Version(0), |cfg| cfg.version),
            held: self.role,
            seen: seen.max(self.superseded),
            previous_parent_failed: self.failed_parent.clone(),
        };
        out.push(Effect::AskControl { control, attach });
    }

    fn ask_failed(&mut self, now: Instant) {
        self.asking.failures = self.asking.failures.saturating_add(1);
        self.asking.control = (self.asking.control + 1) % self.controls;
        self.asking.redirects = 0;
        let bound = if self.direct {
            // The leader is one of few, so all of them are asked before the waits grow.
            let rounds = self.asking.failures / self.controls;
            (DIRECT_RETRY_WAIT * 2_u32.pow(rounds.min(4))).min(FIRST_WAIT)
        } else {
            (RETRY_WAIT * 2_u32.pow(self.asking.failures.min(4))).min(LONGEST_WAIT)
        };
        let at = self.jitter(now, bound);
        self.asking.state = State::At(at);
    }

    pub(super) fn answered(
        &mut self,
        now: Instant,
        control: u32,
        reply: Option<AttachReply>,
        out: &mut Vec<Effect>,
    ) {
        if !matches!(self.asking.state, State::Waiting { control: asked, .. } if asked == control) {
            return;
        }
        match reply {
            // A leader of an older term is isolated and doesn't know it yet.
            Some(AttachReply::Attached(attached))
                if attached.term >= self.term && (attached.floor.is_some() || !self.direct) =>
            {
                self.attached(now, control, &attached, out);
            }
            Some(AttachReply::Refused { retry_after_ms }) => {
                let wait = Duration::from_millis(retry_after_ms.into());
                self.asking.failures = 0;
                self.asking.state = State::At(now + wait.min(LONGEST_WAIT * 3));
            }
            Some(AttachReply::NotLeader {
                leader: Some(leader),
            }) if self.asking.redirects < self.controls => {
                self.asking.redirects += 1;
                self.asking.control = leader % self.controls;
                self.asking.state = State::At(now);
            }
            _ => self.ask_failed(now),
        }
    }

    fn attached(&mut self, now: Instant, control: u32, attached: &Attached, out: &mut Vec<Effect>) {
        self.term = attached.term;
        self.asking.state = State::Idle;
        self.asking.redirects = 0;
        self.asking.unconfirmed = attached.floor.is_none();
        // A leader that can't confirm that it leads knows no floor, like one that is out.
        self.asking.failures = match attached.floor {
            Some(_) => 0,
            None => self.asking.failures.saturating_add(1),
        };
        let leads = matches!(attached.role, Role::RegionRelay { .. });
        if leads || self.asking.unconfirmed || self.peers.newer_since().is_some() {
            // Another replica may know more.
            self.asking.control = (control + 1) % self.controls;
        }
        if let Some(floor) = attached.floor {
            self.store.require(floor.max(self.peers.best()));
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
        self.superseded = None;
        self.role = role;
        self.peers.interim_root = false;
        let Some(epoch) = role.epoch() else {
            self.own = None;
            self.starting = None;
            return;
        };
        let starting = self.starting.map(|(epoch, _)| epoch);
        let held = self.own.as_ref().map(OwnSet::epoch).or(starting);
        if held != Some(epoch) {
            self.start_set(now, epoch);
        }
    }
}
