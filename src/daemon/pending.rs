//! Attempts whose end the reducer does not know yet.

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

/// An attempt whose end the reducer does not know yet; it counts as cancelled when dropped.
pub(super) struct Pending<'a> {
    shared: &'a Shared,
    choice: Option<Choice>,
    pub(super) since: Instant,
}

impl<'a> Pending<'a> {
    pub(super) fn new(shared: &'a Shared, choice: Choice) -> Self {
        Self {
            shared,
            choice: Some(choice),
            since: Instant::now(),
        }
    }

    pub(super) fn end(&mut self) -> Option<Choice> {
        self.choice.take()
    }
}

impl Pending<'_> {
    /// Ends an attempt that was never sent; it tells nothing about the server.
    pub(super) fn release(&self, choice: &Choice) {
        let attempt = Attempt {
            choice,
            outcome: balance::Outcome::Neutral,
            since: self.since,
            load: None,
        };
        self.shared.dispatch(None, Event::Answered(attempt));
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if let Some(choice) = self.choice.take() {
            log_event!(
                LogEvent::CallCancelled,
                server = choice.endpoint.server,
                rank = choice.rank,
            );
            self.shared
                .metrics
                .call(choice.rank, CallOutcome::Cancelled);
            let attempt = Attempt {
                choice: &choice,
                outcome: balance::Outcome::Neutral,
                since: self.since,
                load: None,
            };
            self.shared.dispatch(None, Event::Answered(attempt));
        }
    }
}
