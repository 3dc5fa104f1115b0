//! Scenarios for rules that random messages rarely exercise.

use {
    super::super::{
        Allocation, Child, Demand, LEASE, LeasePolicy, Limiter, Quota, REPORT_INTERVAL, Share,
        ShareAllocator,
    },
    std::time::{Duration, Instant},
};

const CAPACITY: u32 = 100;

fn demand(seq: u64, rate: u64, waiting_calls: u32) -> Demand {
    Demand {
        seq,
        applied: 0,
        rate,
        waiting_calls,
        earlier_shares_expired: true,
    }
}

/// Makes `calls` arrive at the daemon, sends its report and returns the answer.
fn exchange_report(
    parent: &mut ShareAllocator,
    limiter: &mut Limiter,
    calls: u32,
    now: Instant,
) -> Share {
    for _ in 0..calls {
        limiter.try_take(now);
    }
    let demand = limiter.report(0, now);
    parent.report(&Child::new("a", 1), &demand, now)[0].1
}

/// Guards against a new leader that leases quota which children still hold from the old leader.
#[test]
fn new_leader_waits_until_the_leases_of_the_old_one_have_ended() {
    let start = Instant::now();
    let policy = LeasePolicy::regions(2);
    let mut root =
        ShareAllocator::restarted(policy, Allocation::root(CAPACITY), &["a", "b"], start);
    let child = Child::new("a", 1);
    let early = root.report(&child, &demand(1, 500_000, 0), start);
    assert_eq!(early[0].1.quota, Quota::default());
    let late = root.report(&child, &demand(2, 500_000, 0), start + LEASE);
    // A quarter of the capacity is reserved for each region until it confirms a share.
    let rate = late[0].1.quota.rate;
    assert!((49_000..=50_000).contains(&rate), "{rate}");
}

/// Guards against a late copy of a larger share that replaces the confirmed smaller one.
#[test]
fn late_copy_of_an_earlier_share_is_ignored() {
    let start = Instant::now();
    let mut parent = ShareAllocator::new(LeasePolicy::relay(), Allocation::root(CAPACITY), start);
    let mut limiter = Limiter::new(start);
    let high = exchange_report(&mut parent, &mut limiter, 500, start);
    parent.report(&Child::new("b", 1), &demand(1, 4_000_000, 0), start);
    let low = exchange_report(&mut parent, &mut limiter, 0, start + REPORT_INTERVAL);
    assert!(low.quota.rate < high.quota.rate);
    limiter.apply(&low, start + REPORT_INTERVAL);
    limiter.apply(&high, start + REPORT_INTERVAL);
    assert_eq!(limiter.valid(start + REPORT_INTERVAL), low.quota);
}

/// Guards against credits that accumulate while messages are delayed and are then spent together
/// with current ones.
#[test]
fn credits_of_a_late_answer_are_not_used() {
    let start = Instant::now();
    let mut parent = ShareAllocator::new(LeasePolicy::relay(), Allocation::root(CAPACITY), start);
    let now = start + LEASE;
    let share = |parent: &mut ShareAllocator, limiter: &mut Limiter| {
        let demand = Demand {
            rate: 0,
            ..limiter.report(5, now)
        };
        parent.report(&Child::new("a", 1), &demand, now)[0].1
    };
    let mut limiter = Limiter::new(now);
    let answer = share(&mut parent, &mut limiter);
    assert_eq!(answer.credits, 5);
    limiter.apply(&answer, now + Duration::from_millis(50));
    assert!(limiter.try_take(now + Duration::from_millis(50)));
    assert!(
        !limiter.try_take(now + Duration::from_millis(150)),
        "an expired credit was spent"
    );

    let mut late = Limiter::new(now);
    late.apply(&answer, now + Duration::from_millis(50));
    assert!(
        !late.try_take(now + Duration::from_millis(50)),
        "a credit of an unknown report was spent"
    );
}

/// Guards against a duplicate report that is answered with credits a second time.
#[test]
fn duplicate_report_gets_no_second_answer() {
    let start = Instant::now();
    let mut parent = ShareAllocator::new(LeasePolicy::relay(), Allocation::root(CAPACITY), start);
    let child = Child::new("a", 1);
    let now = start + LEASE;
    assert_eq!(parent.report(&child, &demand(1, 0, 3), now).len(), 1);
    assert_eq!(parent.report(&child, &demand(1, 0, 3), now), []);
}

/// Guards against a dead child whose share is never reclaimed.
#[test]
fn unreachable_child_loses_its_share_and_then_its_guarantee() {
    let start = Instant::now();
    let mut parent = ShareAllocator::new(LeasePolicy::relay(), Allocation::root(CAPACITY), start);
    parent.report(&Child::new("a", 1), &demand(1, 500_000, 0), start);
    assert!(parent.committed().rate >= 98_000);
    parent.tick(start + LEASE);
    assert_eq!(
        parent.committed().rate,
        49_500,
        "half of its share stays reserved"
    );
    parent.tick(start + LeasePolicy::relay().guarantee_ttl);
    assert_eq!(parent.committed(), Quota::default());
}
