//! Bytes and processor time of dividing a grant's capacity into shares.

use {
    super::{micros, timed},
    anvilbeam::{
        limits::{Allocation, Child, Demand, LeasePolicy, REPORT_INTERVAL, Relay, ShareAllocator},
        wire,
    },
    std::time::Instant,
};

const ROUNDS: u64 = 40;

pub fn run() {
    println!(
        "capacity of one grant: children with demand, us per report at a data centre relay, bytes of report and of share"
    );
    for children in [50, 150, 325] {
        measure(children);
    }
}

fn measure(children: usize) {
    let mut now = Instant::now();
    let relay_child = Child::new("dc-0", 1);
    let mut parent = ShareAllocator::new(LeasePolicy::relay(), Allocation::root(100_000), now);
    let mut relay = Relay::new(LeasePolicy::relay(), now);
    let names: Vec<_> = (0..children)
        .map(|n| Child::new(&format!("daemon-{n:04}"), 1))
        .collect();
    let mut applied_shares = vec![0; children];
    let mut report_time = std::time::Duration::ZERO;
    let (mut report_bytes, mut share_bytes, mut shares_sent) = (0, 0, 0);
    for seq in 1..=ROUNDS {
        let demand = relay.report(now);
        for (_, share) in parent.report(&relay_child, &demand, now) {
            relay.apply(&share, now);
        }
        for n in 0..children {
            let demand = Demand {
                seq,
                applied: applied_shares[n],
                rate: 100_000 + n as u64,
                waiting_calls: 0,
                earlier_shares_expired: true,
            };
            report_bytes += wire::encode(&demand).expect("a report fits").len();
            let (time, shares) = timed(|| relay.child_report(&names[n], &demand, now));
            report_time += time;
            for (child, share) in shares {
                share_bytes += wire::encode(&share).expect("a share fits").len();
                shares_sent += 1;
                if child == names[n] {
                    applied_shares[n] = share.number;
                }
            }
        }
        now += REPORT_INTERVAL;
        relay.tick(now);
        parent.tick(now);
    }
    let reports = children * ROUNDS as usize;
    println!(
        "{children:>8} {:>8.2} {:>6} {:>6}   {:.2} shares per report",
        micros(report_time, reports),
        report_bytes / reports,
        share_bytes / shares_sent.max(1),
        shares_sent as f64 / reports as f64,
    );
}
