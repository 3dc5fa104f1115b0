//! Credits for single calls, for children whose share is too small for a token bucket.

use {
    super::{Answer, ShareAllocator},
    crate::limits::{
        Child, MILLI, MIN_ANNOUNCED_WAIT, SHORTAGE_DELAY, SHORTAGE_GAP, Share, relay::is_jump,
    },
    std::time::{Duration, Instant},
};

/// Demand at which an account counts as beyond its limit, as a multiple of the share of the data centre. An
/// account below its limit whose demand moves to one data centre has twice its share there.
const MIN_OVERLOAD: u64 = 3;
/// Longest wait that is announced; the share of the data centre may have changed by then.
const MAX_ANNOUNCED_WAIT: Duration = Duration::from_secs(2);

impl ShareAllocator {
    /// Issues credits to waiting children, round robin and one at a time.
    pub(super) fn issue_credits(&mut self, now: Instant, answers: &mut Vec<Answer>) {
        while let Some(child) = self.next_waiting_child() {
            let from_parent =
                self.parent_credits.0 > 0 && self.parent_credits.1.is_some_and(|until| now < until);
            if !from_parent && !self.credit_bucket.try_take(now) {
                break;
            }
            self.is_starting = false;
            let (answer_to, share) = self.answer(&child, 1, now);
            if from_parent {
                self.parent_credits.0 -= 1;
            }
            merge(answers, answer_to, share);
            self.waiting_calls -= 1;
            let waiting_calls = self.children.get_mut(&child).map_or(0, |state| {
                state.waiting_calls -= 1;
                state.waiting_calls
            });
            self.credit_queue.pop_front();
            if waiting_calls > 0 {
                self.credit_queue.push_back(child);
            }
        }
        // Unrequested credits are discarded, so that they do not accumulate beyond the burst.
        if self.credit_queue.is_empty() {
            let (count, until) = self.parent_credits;
            if self.policy.keeps_idle && until.is_some_and(|until| now < until) {
                self.credit_bucket.add_calls(count, now);
            }
            self.parent_credits = (0, None);
        }
    }

    /// Sets the time until the next credit in the first answer, if it has none and credits have been
    /// short for a while.
    pub(super) fn announce_wait(&mut self, now: Instant, answers: &mut [Answer]) {
        let allocated = self.available(now).rate * MIN_OVERLOAD;
        let is_overloaded = self.demand > allocated && is_jump(self.demand, allocated);
        if !self.policy.announces_waits || !is_overloaded || self.credit_queue.is_empty() {
            return;
        }
        let series = self
            .shortage
            .filter(|(_, latest)| now < *latest + SHORTAGE_GAP);
        let first = series.map_or(now, |(first, _)| first);
        self.shortage = Some((first, now));
        let rate = self.unleased(now).rate.max(1);
        let expected = Duration::from_millis(self.waiting_calls * MILLI * 1_000 / rate);
        if now < first + SHORTAGE_DELAY || expected < MIN_ANNOUNCED_WAIT {
            return;
        }
        if let Some((child, share)) = answers.first_mut()
            && share.credits == 0
            && let Some(state) = self.children.get(child)
            && state.waiting_calls > 0
        {
            share.credit_ms = expected.min(MAX_ANNOUNCED_WAIT).as_millis() as u64;
        }
    }

    fn next_waiting_child(&mut self) -> Option<Child> {
        while let Some(child) = self.credit_queue.front() {
            if self
                .children
                .get(child)
                .is_some_and(|s| s.waiting_calls > 0)
            {
                return Some(child.clone());
            }
            self.credit_queue.pop_front();
        }
        None
    }
}

/// Adds a share to the answers; replaces an earlier one for the same child and adds its credits.
fn merge(answers: &mut Vec<Answer>, child: Child, mut share: Share) {
    if let Some((_, old)) = answers.iter_mut().find(|(known, _)| *known == child) {
        share.credits += old.credits;
        *old = share;
    } else {
        answers.push((child, share));
    }
}
