//! Hedged requests: a second attempt of a call whose answer is late.
//!
//! An idempotent call with a target latency is also sent to another backend server when half of
//! that latency has passed without an answer. The first answer wins; the other attempt is
//! cancelled.
//!
//! A download is only sent again when its server has been silent for much longer than usual, since a
//! second copy of a large answer costs more link time than an early answer is worth. The first attempt
//! goes on: silence alone does not show that the server has stopped working on it.

#[cfg(test)]
mod tests;

use {
    super::{
        attempt::Forwarder,
        event::{Effect, Event},
        pending::PendingAttempt,
        send_result::SendResult,
    },
    crate::{balance::Choice, call::Call, events::Event as LogEvent, log_event, model::Work},
    std::{
        pin::pin,
        time::{Duration, Instant},
    },
    tokio::{select, time::timeout_at},
};

/// Fraction of the target latency after which a call is hedged; the second attempt needs the rest.
const HEDGE_FRACTION: f64 = 0.5;
/// Multiple of the typical latency of the service before which a call is never hedged.
const TYPICAL_LATENCY_FACTOR: f64 = 1.5;
/// Multiple of the typical latency after which the server of a download counts as silent. Servers are
/// slower by a factor of 2.5 for some time, and the estimate needs several calls to follow.
const SILENCE_FACTOR: f64 = 6.0;
/// Shortest silence that counts, above pauses of a process.
const MIN_SILENCE: Duration = Duration::from_secs(1);

/// An attempt in flight: the call, the chosen server and the guard that reports cancellation.
pub(super) struct AttemptInFlight<'a> {
    pub(super) call: Box<Call>,
    pub(super) choice: Choice,
    pub(super) pending: PendingAttempt<'a>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Winner {
    First,
    Second,
}

impl<'a> Forwarder<'a> {
    /// Runs the first attempt, and a second one if the answer is late; returns the attempt whose
    /// result counts, with its result.
    pub(super) async fn send_hedged(
        &mut self,
        first: AttemptInFlight<'a>,
    ) -> (AttemptInFlight<'a>, SendResult) {
        let req = self.build_request(self.tried.len() > self.unsent + 1, &first.call);
        let Some(hedge_at) = self.hedge_at(&first.call) else {
            let result = self.send(req, &first.call, &first.choice).await;
            return (first, result);
        };
        let forwarder = &*self;
        let (second, winner, result) = {
            let mut sending = pin!(forwarder.send(req, &first.call, &first.choice));
            match timeout_at(hedge_at.into(), &mut sending).await {
                Ok(result) => (None, Winner::First, result),
                Err(_elapsed) => match forwarder.start_hedge(&first) {
                    None => (None, Winner::First, sending.await),
                    Some(second) => {
                        let (winner, result) = forwarder.first_answer(sending, &second).await;
                        (Some(second), winner, result)
                    }
                },
            }
        };
        let Some(second) = second else {
            return (first, result);
        };
        self.tried.push(second.choice.endpoint.server.clone());
        let (mut loser, winner) = match winner {
            Winner::First => (second, first),
            Winner::Second => (first, second),
        };
        if let Some(choice) = loser.pending.disarm() {
            loser.pending.report_neutral(&choice);
        }
        (winner, result)
    }

    /// Waits for the first answer of two attempts; a failure counts only if both fail.
    async fn first_answer(
        &self,
        mut first: std::pin::Pin<&mut impl Future<Output = SendResult>>,
        second: &AttemptInFlight<'a>,
    ) -> (Winner, SendResult) {
        let req = self.build_request(true, &second.call);
        let mut other = pin!(self.send(req, &second.call, &second.choice));
        select! {
            result = &mut first => match result {
                SendResult::Answer(_) => (Winner::First, result),
                SendResult::Failure(failed) => match other.await {
                    SendResult::Failure(later) if !later.may_hide(&failed) => {
                        (Winner::First, SendResult::Failure(failed))
                    }
                    result => (Winner::Second, result),
                },
            },
            result = &mut other => match result {
                SendResult::Answer(_) => (Winner::Second, result),
                SendResult::Failure(failed) => match first.await {
                    SendResult::Failure(later) if !later.may_hide(&failed) => {
                        (Winner::Second, SendResult::Failure(failed))
                    }
                    result => (Winner::First, result),
                },
            },
        }
    }

    /// Returns when the call is hedged; `None` if it has no target latency or must not be sent to
    /// a second server.
    fn hedge_at(&self, call: &Call) -> Option<Instant> {
        let now = Instant::now();
        let target = call.soft_deadline?.saturating_duration_since(now);
        if !call.idempotent
            || !self.request_body.is_buffered()
            || call.max_attempts <= self.attempts_made()
        {
            return None;
        }
        let typical = self
            .shared
            .state()
            .balancer()
            .typical_latency(&call.service);
        Some(now + hedge_delay(call.work, target, typical.unwrap_or_default()))
    }

    /// Returns the number of attempts so far.
    fn attempts_made(&self) -> u32 {
        u32::try_from(self.tried.len()).unwrap_or(u32::MAX)
    }

    fn start_hedge(&self, first: &AttemptInFlight<'a>) -> Option<AttemptInFlight<'a>> {
        let event = Event::HedgeDue {
            id: self.id,
            call: &first.call,
            tried: &self.tried,
        };
        let Some(Effect::Forward { call, choice, .. }) = self.shared.dispatch(Some(self.id), event)
        else {
            return None;
        };
        log_event!(
            LogEvent::CallRetried,
            request = self.request_id(),
            call = self.id,
            plan = call.plan,
            service = call.service,
            cause = "late",
            server = choice.endpoint.server,
        );
        self.shared.metrics.record_retry();
        Some(AttemptInFlight {
            pending: PendingAttempt::new(self.shared, choice.clone()),
            call,
            choice,
        })
    }
}

/// Returns the time after which a call with the target latency `target` is sent to a second server,
/// while `typical` is the typical latency of the service.
fn hedge_delay(work: Option<Work>, target: Duration, typical: Duration) -> Duration {
    if work == Some(Work::Download) {
        return typical.mul_f64(SILENCE_FACTOR).max(MIN_SILENCE);
    }
    let by_target = target.mul_f64(HEDGE_FRACTION);
    by_target.max(typical.mul_f64(TYPICAL_LATENCY_FACTOR))
}
