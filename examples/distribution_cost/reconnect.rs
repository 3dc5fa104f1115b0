//! Simulation of daemons that reconnect at the same time, in virtual time.

use {
    anvilbeam::relays::{ANSWER_TIMEOUT, Admission, FIRST_ATTACH_JITTER},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Policy for the wait before a daemon connects again.
#[derive(Clone, Copy, Debug)]
enum ReconnectPolicy {
    /// The same wait for all daemons.
    Fixed,
    /// Full jitter.
    Jitter,
    /// Full jitter, and a server that admits requests at a limited rate.
    Admission,
}

/// Requests to one server, by interval of 100 ms.
#[derive(Debug, Default)]
struct Simulation {
    requests: BTreeMap<u128, usize>,
    served: BTreeMap<u128, usize>,
    /// Virtual time at which the last daemon was served.
    last_served: Duration,
    rng_state: u64,
}

/// Simulates `daemons` daemons that reconnect at the same time to one server, under each policy,
/// and prints the load. The server processes one request at a time, in `service_us` microseconds
/// each; only the policy with admission limits the requests, to `rate` per second.
pub fn reconnect(label: &str, daemons: usize, rate: u32, service_us: f64) {
    println!(
        "{daemons} reconnect ({label}, {service_us:.0} us each): peak requests and peak served in 100 ms, requests, seconds until all are served"
    );
    for policy in [
        ReconnectPolicy::Fixed,
        ReconnectPolicy::Jitter,
        ReconnectPolicy::Admission,
    ] {
        let run = Simulation::run(
            policy,
            daemons,
            rate,
            Duration::from_secs_f64(service_us / 1e6),
        );
        let requests: usize = run.requests.values().sum();
        let (peak_requests, peak_served) = (peak(&run.requests), peak(&run.served));
        let last_served = run.last_served.as_secs_f64();
        println!(
            "{policy:>10?} {peak_requests:>6} {peak_served:>6} {requests:>6} {last_served:>6.2}"
        );
    }
}

fn peak(counts: &BTreeMap<u128, usize>) -> usize {
    counts.values().copied().max().unwrap_or(0)
}

impl Simulation {
    fn run(policy: ReconnectPolicy, daemons: usize, rate: u32, service_time: Duration) -> Self {
        let mut run = Self {
            rng_state: 7,
            ..Self::default()
        };
        let start = Instant::now();
        let mut admission = Admission::new(rate, start);
        let mut server_free_at = Duration::ZERO;
        let mut next_requests: BTreeSet<_> = (0..daemons)
            .map(|daemon| (run.draw_wait(policy), daemon))
            .collect();
        while let Some((at, daemon)) = next_requests.pop_first() {
            *run.requests.entry(at.as_millis() / 100).or_default() += 1;
            if matches!(policy, ReconnectPolicy::Admission)
                && let Err(retry_after) = admission.admit(start + at)
            {
                next_requests.insert((at + retry_after, daemon));
                continue;
            }
            *run.served.entry(at.as_millis() / 100).or_default() += 1;
            server_free_at = server_free_at.max(at) + service_time;
            if server_free_at > at + ANSWER_TIMEOUT {
                // The daemon's request has timed out; the work for it is lost.
                let retry_at = at + ANSWER_TIMEOUT + run.draw_wait(policy);
                next_requests.insert((retry_at, daemon));
            } else {
                run.last_served = run.last_served.max(server_free_at);
            }
        }
        run
    }

    fn draw_wait(&mut self, policy: ReconnectPolicy) -> Duration {
        self.rng_state = self
            .rng_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let fraction = (self.rng_state >> 11) as f64 / (1_u64 << 53) as f64;
        match policy {
            ReconnectPolicy::Fixed => FIRST_ATTACH_JITTER,
            ReconnectPolicy::Jitter | ReconnectPolicy::Admission => {
                FIRST_ATTACH_JITTER.mul_f64(fraction)
            }
        }
    }
}
