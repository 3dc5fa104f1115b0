//! Tests of the distributed rate limit: invariants under random messages, and a whole tree in
//! virtual time.

mod machine;
mod rules;
mod tree;

use std::{collections::VecDeque, time::Instant};

/// Admitted calls of all daemons, checked against the capacity over each window of 10 s.
#[derive(Debug, Default)]
struct CallWindow {
    calls: VecDeque<Instant>,
    max_calls: usize,
}

impl CallWindow {
    fn record(&mut self, now: Instant) {
        self.calls.push_back(now);
        let start = now.checked_sub(std::time::Duration::from_secs(10));
        while self
            .calls
            .front()
            .is_some_and(|at| start.is_some_and(|start| *at <= start))
        {
            self.calls.pop_front();
        }
        self.max_calls = self.max_calls.max(self.calls.len());
    }

    fn check(&self, capacity: u32) {
        let bound = f64::from(capacity) * 10.0 * 1.05 + 1.0;
        assert!(
            self.max_calls as f64 <= bound,
            "{} calls in 10 s, the capacity is {capacity} per second",
            self.max_calls
        );
    }
}
