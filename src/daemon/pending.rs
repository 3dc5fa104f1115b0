//! Drop guard that reports cancelled attempts to the reducer.

use {
    super::{
        event::{Attempt, Event},
        shared::Shared,
    },
    crate::{
        balance::{self, Choice},
        events::Event as LogEvent,
        log_event,
        metrics::Outcome as CallOutcome,
    },
    std::time::Instant,
};

/// An attempt whose end is not yet reported to the reducer; reports it as cancelled when dropped.
pub(super) struct PendingAttempt<'a> {
    shared: &'a Shared,
    choice: Option<Choice>,
    pub(super) start: Instant,
}

impl<'a> PendingAttempt<'a> {
    pub(super) fn new(shared: &'a Shared, choice: Choice) -> Self {
        Self {
            shared,
            choice: Some(choice),
            start: Instant::now(),
        }
    }

    pub(super) fn disarm(&mut self) -> Option<Choice> {
        self.choice.take()
    }
}

impl PendingAttempt<'_> {
    /// Releases a server that was chosen for a call that is not sent.
    pub(super) fn release(shared: &Shared, choice: Choice) {
        let mut pending = PendingAttempt::new(shared, choice);
        if let Some(choice) = pending.disarm() {
            pending.report_neutral(&choice);
        }
    }

    /// Reports the end of an attempt that says nothing about the server: it was never sent, or
    /// the other attempt of a hedged call was used.
    pub(super) fn report_neutral(&self, choice: &Choice) {
        let attempt = Attempt {
            choice,
            outcome: balance::Outcome::Neutral,
            start: self.start,
            load: None,
        };
        self.shared.dispatch(None, Event::AttemptEnded(attempt));
    }
}

impl Drop for PendingAttempt<'_> {
    fn drop(&mut self) {
        if let Some(choice) = self.choice.take() {
            log_event!(
                LogEvent::CallCancelled,
                server = choice.endpoint.server,
                rank = choice.rank,
            );
            self.shared
                .metrics
                .record_call(choice.rank, CallOutcome::Cancelled);
            let attempt = Attempt {
                choice: &choice,
                outcome: balance::Outcome::Neutral,
                start: self.start,
                load: None,
            };
            self.shared.dispatch(None, Event::AttemptEnded(attempt));
        }
    }
}
