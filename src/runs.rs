//! Runs on the own backend server, and the calls that they make.
//!
//! A run that makes calls to another service fails with them. While that service rejects calls, such
//! runs only take slots, and add calls to those that are rejected. [`Runs`] learns by route how many
//! calls a run makes and how many of them fail, and rejects requests before they run while more than
//! [`MAX_REFUSED_PERCENT`](crate::balance::MAX_REFUSED_PERCENT) of the calls that they would need fail.
//! It also tells how many of the runs are repeats, whose calls are repeats too.
//!
//! No header says which run makes a call, so a call counts for all routes with a run, in proportion.

use {
    crate::balance::Shedding,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

#[cfg(test)]
mod tests;

/// Mean age of the runs over which the calls for each run are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Largest number of routes that are remembered. Only granted routes are added, so callers can't add
/// any.
const MAX_ROUTES: usize = 256;

/// A call that waits for a slot of the own backend server or holds one.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Number of its route.
    pub route: u32,
    /// Whether it is made by another run.
    pub inner: bool,
    /// Whether an earlier attempt may have reached a backend server.
    pub repeated: bool,
}

/// Calls that the runs of one route make.
#[derive(Clone, Copy, Debug)]
struct Needs {
    at: Instant,
    runs: f64,
    calls: f64,
    failures: Shedding,
}

impl Needs {
    fn new(now: Instant) -> Self {
        Self {
            at: now,
            runs: 0.0,
            calls: 0.0,
            failures: Shedding::new(now),
        }
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let factor = (-age / WINDOW.as_secs_f64()).exp();
        self.runs *= factor;
        self.calls *= factor;
        self.at = now;
    }

    /// Mean number of calls that a run makes.
    fn calls_per_run(&self) -> f64 {
        self.calls / self.runs.max(1.0)
    }
}

/// Calls that wait or run on the own backend server, and what the runs of each route need.
///
/// ```
/// use anvilbeam::runs::{Run, Runs};
/// let now = std::time::Instant::now();
/// let mut runs = Runs::default();
/// runs.queued(1, Run { route: 7, inner: false, repeated: true });
/// assert_eq!(runs.repeated_share(), 0.0);
/// runs.started(1, now);
/// assert_eq!(runs.repeated_share(), 1.0);
/// assert!(!runs.rejects(7, now));
/// ```
#[derive(Debug, Default)]
pub struct Runs {
    waiting: HashMap<u64, Run>,
    running: HashMap<u64, Run>,
    needs: HashMap<u32, Needs>,
}

impl Runs {
    /// Records a call that waits for a slot.
    pub fn queued(&mut self, id: u64, run: Run) {
        self.waiting.insert(id, run);
    }

    /// Records that a call got its slot; ids of other calls are ignored.
    pub fn started(&mut self, id: u64, now: Instant) {
        let Some(run) = self.waiting.remove(&id) else {
            return;
        };
        self.running.insert(id, run);
        if let Some(needs) = self.needs.get_mut(&run.route) {
            needs.decay(now);
            needs.runs += 1.0;
        }
    }

    /// Records that a call ended or was refused.
    pub fn ended(&mut self, id: u64) {
        self.waiting.remove(&id);
        self.running.remove(&id);
    }

    /// Returns the share of the runs that are repeats: the probability that a call which one of them
    /// makes would not have been made without a repeat.
    pub fn repeated_share(&self) -> f64 {
        let (mut repeated, mut all) = (0.0, 0.0);
        for run in self.callers() {
            repeated += f64::from(u8::from(run.repeated));
            all += 1.0;
        }
        if all > 0.0 { repeated / all } else { 0.0 }
    }

    /// Records a call that one of the runs makes.
    pub fn called(&mut self, now: Instant) {
        self.for_each_route(now, |needs, share| {
            needs.calls += share;
            needs.failures.arrived(share, now);
        });
    }

    /// Records that a call which one of the runs made was rejected or failed.
    pub fn call_failed(&mut self, now: Instant) {
        self.for_each_route(now, |needs, share| needs.failures.refused(share, now));
    }

    /// Returns whether the calls that runs of a route make are being rejected.
    pub fn is_failing(&mut self, route: u32, now: Instant) -> bool {
        let needs = self.needs.get_mut(&route);
        needs.is_some_and(|needs| !needs.failures.allows(now))
    }

    /// Decides whether a request of a route is rejected because of the calls that it would make. The
    /// calls that a rejected one would have made count as arrivals, so some requests pass as probes.
    pub fn rejects(&mut self, route: u32, now: Instant) -> bool {
        let Some(needs) = self.needs.get_mut(&route) else {
            return false;
        };
        if needs.failures.allows(now) {
            return false;
        }
        let calls = needs.calls_per_run();
        needs.failures.arrived(calls, now);
        true
    }

    /// Returns the runs that may make calls. Runs for other runs hardly ever do, so they count only
    /// if there are no others.
    fn callers(&self) -> impl Iterator<Item = &Run> {
        let all_inner = self.running.values().all(|run| run.inner);
        let running = self.running.values();
        running.filter(move |run| all_inner || !run.inner)
    }

    /// Calls `f` for each route with a run that may have made a call, with its share of these runs.
    fn for_each_route(&mut self, now: Instant, f: impl Fn(&mut Needs, f64)) {
        let mut counts: HashMap<u32, f64> = HashMap::new();
        for run in self.callers() {
            *counts.entry(run.route).or_default() += 1.0;
        }
        let all: f64 = counts.values().sum();
        if self.needs.len() + counts.len() > MAX_ROUTES {
            self.needs.clear();
        }
        for (route, count) in counts {
            let entry = self.needs.entry(route);
            // The runs that were counted before the first call are unknown, but there were some.
            let needs = entry.or_insert_with(|| Needs {
                runs: count,
                ..Needs::new(now)
            });
            needs.decay(now);
            f(needs, count / all);
        }
    }
}
