//! Inner calls in flight, whose waits do not count in the speed of the own backend server.

use super::{event::Event, shared::Shared};

/// An inner call of a run on the own backend server, until it is dropped.
pub(super) struct InnerCall<'a>(&'a Shared);

impl<'a> InnerCall<'a> {
    pub(super) fn start(shared: &'a Shared) -> Self {
        shared.dispatch(None, Event::InnerCallStarted);
        Self(shared)
    }
}

impl Drop for InnerCall<'_> {
    fn drop(&mut self) {
        self.0.dispatch(None, Event::InnerCallEnded);
    }
}
