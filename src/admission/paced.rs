//! Limit on the slots by the answers of the backend server, with the setting `pace: answers`.

use {
    super::{Admission, Effect},
    crate::pace::{Change, Pace, Reply},
    std::time::{Duration, Instant},
};

impl Admission {
    /// Lets the answers of the server set the limit instead of the time since its start.
    ///
    /// ```
    /// use anvilbeam::admission::Admission;
    /// let now = std::time::Instant::now();
    /// let mut admission = Admission::new(12).with_pace();
    /// admission.server_started(None, now);
    /// assert_eq!(admission.limit(now), 4);
    /// ```
    #[must_use]
    pub fn with_pace(mut self) -> Self {
        self.limit.pace = Some(Pace::new(self.limit.slots()));
        self.limit.paced = true;
        self
    }

    /// Puts the pace by answers in force, which has followed them since [`Self::with_pace`], or the
    /// time since the start.
    pub const fn set_paced(&mut self, paced: bool) {
        self.limit.paced = paced && self.limit.pace.is_some();
    }

    /// Begins with a server that has just started; `warm_up` is its hint about its remaining
    /// warm-up. Also ends a drain.
    pub fn server_started(&mut self, warm_up: Option<Duration>, now: Instant) {
        if let Some(pace) = &mut self.limit.pace {
            pace.start(warm_up, now);
        }
        match (self.limit.paced, warm_up) {
            // The server reports its cold start itself, so the ramp opens all of its slots.
            (true, _) | (false, Some(_)) => self.end_drain(),
            (false, None) => self.cold_start(now),
        }
    }

    /// Handles a later hint of the server that started last about its remaining warm-up.
    pub fn server_hinted(&mut self, warm_up: Option<Duration>, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let (Some(pace), Some(Duration::ZERO)) = (&mut self.limit.pace, warm_up) {
            pace.warmed(now);
            if !self.limit.paced {
                return effects;
            }
            self.advance(now, &mut effects);
            self.dispatch(now, &mut effects);
        }
        effects
    }

    /// Handles the reaction of the server to a running call, whose slot is not free yet.
    pub fn replied(&mut self, id: u64, reply: Reply, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.note_reply(id, reply, now);
        if !self.limit.paced {
            return effects;
        }
        self.advance(now, &mut effects);
        self.dispatch(now, &mut effects);
        effects
    }

    /// Returns the pace; `None` while it is not in force.
    pub fn pace(&self) -> Option<&Pace> {
        self.limit.pace.as_ref().filter(|_| self.limit.paced)
    }

    /// Returns the changes of the pace since the last time.
    pub fn take_pace_changes(&mut self) -> Vec<Change> {
        let changes = self.limit.pace.as_mut().map(Pace::take_changes);
        changes.filter(|_| self.limit.paced).unwrap_or_default()
    }

    /// Passes the reaction of the server to a call on to the pace; only the first one counts.
    pub(super) fn note_reply(&mut self, id: u64, reply: Reply, now: Instant) {
        if let (Some(pace), Some(entry)) = (&mut self.limit.pace, self.calls.get(&id)) {
            pace.replied(id, (entry.rank, &entry.plan), reply, now);
        }
    }
}
