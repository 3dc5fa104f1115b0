//! Hedged requests: a second attempt of a call whose answer is late.
//!
//! An idempotent call with a target latency is also sent to another backend server when half of
//! that latency has passed without an answer. The first answer wins; the other attempt is
//! cancelled.

use {
    super::{
        attempt::{Forwarding, Sent},
        event::{Effect, Event},
        pending::Pending,
    },
    crate::{balance::Choice, call::Call, events::Event as LogEvent, log_event},
    std::{pin::pin, time::Instant},
    tokio::{select, time::timeout_at},
};

/// Fraction of the target latency after which a call is hedged; the second attempt needs the rest.
const HEDGE_SHARE: f64 = 0.5;
/// Multiple of the typical latency of the service before which a call is never hedged.
const USUAL_FACTOR: f64 = 1.5;

/// An attempt in flight: the call, the chosen server and the guard that reports cancellation.
pub(super) struct Leg<'a> {
    pub(super) call: Box<Call>,
    pub(super) choice: Choice,
    pub(super) pending: Pending<'a>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Winner {
    First,
    Second,
}

impl<'a> Forwarding<'a> {
    /// Runs the first attempt, and a second one if the answer is late; returns the attempt whose
    /// result counts, with its result.
    pub(super) async fn race(&mut self, first: Leg<'a>) -> (Leg<'a>, Sent) {
        let req = self.request(self.tried.len() > 1, &first.call);
        let Some(late) = self.late_at(&first.call) else {
            let sent = self.send(req, &first.call, &first.choice).await;
            return (first, sent);
        };
        let this = &*self;
        let (second, winner, sent) = {
            let mut sending = pin!(this.send(req, &first.call, &first.choice));
            match timeout_at(late.into(), &mut sending).await {
                Ok(sent) => (None, Winner::First, sent),
                Err(_late) => match this.second_leg(&first) {
                    None => (None, Winner::First, sending.await),
                    Some(second) => {
                        let (winner, sent) = this.decide(sending, &second).await;
                        (Some(second), winner, sent)
                    }
                },
            }
        };
        let Some(second) = second else {
            return (first, sent);
        };
        self.tried.push(second.choice.endpoint.server.clone());
        let (mut loser, winner) = match winner {
            Winner::First => (second, first),
            Winner::Second => (first, second),
        };
        if let Some(choice) = loser.pending.end() {
            loser.pending.release(&choice);
        }
        (winner, sent)
    }

    /// Waits for the first answer of two attempts; a failure counts only if both fail.
    async fn decide(
        &self,
        mut first: std::pin::Pin<&mut impl Future<Output = Sent>>,
        second: &Leg<'a>,
    ) -> (Winner, Sent) {
        let req = self.request(true, &second.call);
        let mut other = pin!(self.send(req, &second.call, &second.choice));
        select! {
            sent = &mut first => match sent {
                Sent::Answer(_) => (Winner::First, sent),
                Sent::Failure(_) => (Winner::Second, other.await),
            },
            sent = &mut other => match sent {
                Sent::Answer(_) => (Winner::Second, sent),
                Sent::Failure(_) => (Winner::First, first.await),
            },
        }
    }

    /// Returns when the call is hedged; `None` if it has no target latency or must not be sent to
    /// a second server.
    fn late_at(&self, call: &Call) -> Option<Instant> {
        let now = Instant::now();
        let target = call.wanted?.saturating_duration_since(now);
        if !call.idempotent || !self.replay.is_whole() || call.attempts <= self.attempts() {
            return None;
        }
        let usual = self.shared.state().balancer().usual_latency(&call.service);
        let usual = usual.unwrap_or_default().mul_f64(USUAL_FACTOR);
        Some(now + target.mul_f64(HEDGE_SHARE).max(usual))
    }

    fn second_leg(&self, first: &Leg<'a>) -> Option<Leg<'a>> {
        let event = Event::Late {
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
        self.shared.metrics.retry();
        Some(Leg {
            pending: Pending::new(self.shared, choice.clone()),
            call,
            choice,
        })
    }
}
