//! Result of sending a call to one backend server.

use {
    super::cause::balance_outcome,
    crate::{
        balance::{self, Choice},
        body::Body,
        call::Call,
        load::Load,
        model::Work,
        peer::SendError,
        refusal::{Reason, Refusal},
        retry::Cause,
    },
    http::Response,
    std::time::Instant,
};

/// A failed attempt.
pub(super) struct FailedSend {
    /// Cause by which the retry policy decides on another attempt.
    pub(super) cause: Cause,
    /// Outcome for the load balancer.
    pub(super) outcome: balance::Outcome,
    /// Response to the caller if there is no further attempt.
    pub(super) response: Response<Body>,
    /// Explanation for the log; empty for a refusal of another daemon, which logs it itself.
    pub(super) detail: String,
}

/// Result of an attempt.
pub(super) enum SendResult {
    /// A response that is passed on to the caller.
    Answer(Response<Body>),
    /// A refusal, a transport error, or a server error that may be retried.
    Failure(Box<FailedSend>),
}

impl FailedSend {
    /// Returns the failure with another refusal as the response to the caller.
    pub(super) fn refused(self, refusal: Refusal) -> Self {
        Self {
            response: refusal.response(Instant::now()),
            detail: refusal.detail,
            ..self
        }
    }

    /// Returns the failure to report, given an earlier one of the same call.
    pub(super) fn reported(self, earlier: Option<Box<Self>>) -> Self {
        match earlier {
            Some(earlier) if !self.may_hide(&earlier) => *earlier,
            _ => self,
        }
    }

    /// Returns whether this failure may be reported in place of an earlier one of the same call. If only
    /// this attempt certainly did not run, its refusal would promise too much.
    pub(super) const fn may_hide(&self, earlier: &Self) -> bool {
        !self.cause.is_not_run() || earlier.cause.is_not_run()
    }
}

pub(super) fn failure(cause: Cause, refusal: &Refusal, response: Response<Body>) -> SendResult {
    SendResult::Failure(Box::new(FailedSend {
        cause,
        outcome: balance_outcome(cause, refusal),
        response,
        detail: refusal.detail.clone(),
    }))
}

pub(super) fn peer_failure(e: &SendError, choice: &Choice) -> SendResult {
    let detail = format!("call to daemon {} failed: {e}", choice.endpoint.daemon);
    let (cause, refusal) = match e {
        SendError::NotSent(_) => (
            Cause::ConnectionRefused,
            Refusal::not_run(Reason::ServerUnreachable, detail),
        ),
        SendError::Unknown(_) => (
            Cause::ConnectionLost,
            Refusal::unknown(Reason::Failed, detail),
        ),
        SendError::TimedOut => (Cause::Abandoned, Refusal::unknown(Reason::Deadline, detail)),
    };
    failure(cause, &refusal, refusal.response(Instant::now()))
}

/// Returns the outcome of a failed attempt for the load balancer. A full link refuses downloads only;
/// the reported wait keeps them away, and small calls still go to the server.
pub(super) fn link_outcome(
    call: &Call,
    outcome: balance::Outcome,
    load: Option<&Load>,
) -> balance::Outcome {
    let is_download = call.work == Some(Work::Download);
    let link_in_use = load.is_some_and(|load| !load.answer_wait[call.rank.index()].is_zero());
    match outcome {
        balance::Outcome::Overloaded { .. } if is_download && link_in_use => {
            balance::Outcome::Neutral
        }
        outcome => outcome,
    }
}
