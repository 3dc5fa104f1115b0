//! Tests of the capacity shares: random messages against sums, and a whole tree in virtual
//! time.

mod machine;
mod rules;
mod tree;

use std::{collections::VecDeque, time::Instant};

/// Calls of the whole mesh, checked against the capacity over each window of 10 s.
#[derive(Debug, Default)]
struct Window {
    calls: VecDeque<Instant>,
    most: usize,
}

impl Window {
    fn note(&mut self, now: Instant) {
        self.calls.push_back(now);
        let start = now.checked_sub(std::time::Duration::from_secs(10));
        while self
            .calls
            .front()
            .is_some_and(|at| start.is_some_and(|start| *at <= start))
        {
            self.calls.pop_front();
        }
        self.most = self.most.max(self.calls.len());
    }

    fn check(&self, capacity: u32) {
        let bound = f64::from(capacity) * 10.0 * 1.05 + 1.0;
        assert!(
            self.most as f64 <= bound,
            "{} calls in 10 s, the capacity is {capacity} per second",
            self.most
        );
    }
}
