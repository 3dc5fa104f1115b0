//! One scenario for each rule that random messages seldom reach.

use {
    super::super::{
        Amount, Child, Demand, Holder, LEASE, Level, REPORT_INTERVAL, Share, Shares, Supply,
    },
    std::time::{Duration, Instant},
};

const CAPACITY: u32 = 100;

fn demand(seq: u64, rate: u64, wants: u32) -> Demand {
    Demand {
        seq,
        applied: 0,
        rate,
        wants,
        settled: true,
    }
}

/// Reports a demand for calls and returns the answer.
fn ask(parent: &mut Shares, holder: &mut Holder, calls: u32, now: Instant) -> Share {
    for _ in 0..calls {
        holder.try_take(now);
    }
    let demand = holder.report(0, now);
    parent.report(&Child::new("a", 1), &demand, now)[0].1
}

/// Guards against a new leader that gives away what children still hold of the old one.
#[test]
fn new_leader_waits_until_the_leases_of_the_old_one_have_ended() {
    let start = Instant::now();
    let level = Level::regions(2);
    let mut root = Shares::restarted(level, Supply::root(CAPACITY), &["a", "b"], start);
    let child = Child::new("a", 1);
    let early = root.report(&child, &demand(1, 500_000, 0), start);
    assert_eq!(early[0].1.amount, Amount::default());
    let late = root.report(&child, &demand(2, 500_000, 0), start + LEASE);
    // A quarter is kept for each region until it confirms a share.
    let rate = late[0].1.amount.rate;
    assert!((49_000..=50_000).contains(&rate), "{rate}");
}

/// Guards against a share that returns after the child has confirmed a lower one.
#[test]
fn late_copy_of_an_earlier_share_is_ignored() {
    let start = Instant::now();
    let mut parent = Shares::new(Level::relay(), Supply::root(CAPACITY), start);
    let mut holder = Holder::new(start);
    let high = ask(&mut parent, &mut holder, 500, start);
    parent.report(&Child::new("b", 1), &demand(1, 4_000_000, 0), start);
    let low = ask(&mut parent, &mut holder, 0, start + REPORT_INTERVAL);
    assert!(low.amount.rate < high.amount.rate);
    holder.apply(&low, start + REPORT_INTERVAL);
    holder.apply(&high, start + REPORT_INTERVAL);
    assert_eq!(holder.valid(start + REPORT_INTERVAL), low.amount);
}

/// Guards against credits that are saved up while messages are late, and then spent together
/// with those of the present.
#[test]
fn credits_of_a_late_answer_are_not_used() {
    let start = Instant::now();
    let mut parent = Shares::new(Level::relay(), Supply::root(CAPACITY), start);
    let now = start + LEASE;
    let share = |parent: &mut Shares, holder: &mut Holder| {
        let demand = Demand {
            rate: 0,
            ..holder.report(5, now)
        };
        parent.report(&Child::new("a", 1), &demand, now)[0].1
    };
    let mut holder = Holder::new(now);
    let answer = share(&mut parent, &mut holder);
    assert_eq!(answer.credits, 5);
    holder.apply(&answer, now + Duration::from_millis(50));
    assert!(holder.try_take(now + Duration::from_millis(50)));
    assert!(
        !holder.try_take(now + Duration::from_millis(150)),
        "spent too late"
    );

    let mut late = Holder::new(now);
    late.apply(&answer, now + Duration::from_millis(50));
    assert!(
        !late.try_take(now + Duration::from_millis(50)),
        "not asked for"
    );
}

/// Guards against a report that is answered twice with credits when it is doubled on the way.
#[test]
fn doubled_report_gets_no_second_answer() {
    let start = Instant::now();
    let mut parent = Shares::new(Level::relay(), Supply::root(CAPACITY), start);
    let child = Child::new("a", 1);
    let now = start + LEASE;
    assert_eq!(parent.report(&child, &demand(1, 0, 3), now).len(), 1);
    assert_eq!(parent.report(&child, &demand(1, 0, 3), now), []);
}

/// Guards against a child that died and keeps its share for ever.
#[test]
fn child_that_is_gone_loses_its_share_and_then_its_part() {
    let start = Instant::now();
    let mut parent = Shares::new(Level::relay(), Supply::root(CAPACITY), start);
    parent.report(&Child::new("a", 1), &demand(1, 500_000, 0), start);
    assert!(parent.committed().rate >= 98_000);
    parent.tick(start + LEASE);
    assert_eq!(parent.committed().rate, 49_500, "half of its share is kept");
    parent.tick(start + Level::relay().hold);
    assert_eq!(parent.committed(), Amount::default());
}
