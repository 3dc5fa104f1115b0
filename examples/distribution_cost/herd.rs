//! Daemons that reconnect at once, in virtual time.

use {
    anvilbeam::relays::{ANSWER_TIMEOUT, Admission, FIRST_ATTACH_JITTER},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// How a daemon waits before it connects again.
#[derive(Clone, Copy, Debug)]
enum Wait {
    Fixed,
    Jitter,
    /// Full jitter, and a source that admits at a bounded rate.
    Admission,
}

/// Requests to one source, counted for each 100 ms.
#[derive(Debug, Default)]
struct Herd {
    asked: BTreeMap<u128, usize>,
    served: BTreeMap<u128, usize>,
    last: Duration,
    random: u64,
}

/// Prints the load of `herd` daemons that reconnect at once at a source that serves one after
/// the other, each in `serve` microseconds, and admits `rate` per second.
pub fn reconnect(what: &str, herd: usize, rate: u32, serve: f64) {
    println!(
        "{herd} reconnect ({what}, {serve:.0} us each): peak requests and peak served in 100 ms, requests, seconds until all are served"
    );
    for wait in [Wait::Fixed, Wait::Jitter, Wait::Admission] {
        let run = Herd::run(wait, herd, rate, Duration::from_secs_f64(serve / 1e6));
        let requests: usize = run.asked.values().sum();
        let (asked, served) = (peak(&run.asked), peak(&run.served));
        let last = run.last.as_secs_f64();
        println!("{wait:>10?} {asked:>6} {served:>6} {requests:>6} {last:>6.2}");
    }
}

fn peak(counts: &BTreeMap<u128, usize>) -> usize {
    counts.values().copied().max().unwrap_or(0)
}

impl Herd {
    fn run(wait: Wait, herd: usize, rate: u32, serve: Duration) -> Self {
        let mut run = Self {
            random: 7,
            ..Self::default()
        };
        let start = Instant::now();
        let mut admission = Admission::new(rate, start);
        let mut free = Duration::ZERO;
        let mut coming: BTreeSet<_> = (0..herd).map(|daemon| (run.wait(wait), daemon)).collect();
        while let Some((at, daemon)) = coming.pop_first() {
            *run.asked.entry(at.as_millis() / 100).or_default() += 1;
            if matches!(wait, Wait::Admission)
                && let Err(later) = admission.admit(start + at)
            {
                coming.insert((at + later, daemon));
                continue;
            }
            *run.served.entry(at.as_millis() / 100).or_default() += 1;
            free = free.max(at) + serve;
            if free > at + ANSWER_TIMEOUT {
                // The daemon has given up; the work for it is lost.
                let again = at + ANSWER_TIMEOUT + run.wait(wait);
                coming.insert((again, daemon));
            } else {
                run.last = run.last.max(free);
            }
        }
        run
    }

    fn wait(&mut self, wait: Wait) -> Duration {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let share = (self.random >> 11) as f64 / (1_u64 << 53) as f64;
        match wait {
            Wait::Fixed => FIRST_ATTACH_JITTER,
            Wait::Jitter | Wait::Admission => FIRST_ATTACH_JITTER.mul_f64(share),
        }
    }
}
