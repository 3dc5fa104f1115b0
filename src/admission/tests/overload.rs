//! Calls that can no longer be answered as soon as they are wanted.

use {
    super::*,
    std::collections::{BTreeMap, BTreeSet},
};

const SERVICE: Duration = Duration::from_millis(60);
const WANTED: Duration = Duration::from_millis(250);
const DEADLINE: Duration = Duration::from_secs(1);

fn arrive_wanted(
    admission: &mut Admission,
    id: u64,
    wanted: Duration,
    now: Instant,
) -> Vec<Effect> {
    let call = Call {
        id,
        rank: Rank::Normal,
        plan: &PlanName::from("shop"),
        weight: 10,
        deadline: now + DEADLINE,
        wanted: Some(now + wanted),
    };
    admission.arrive(&call, now)
}

/// An admission that knows the service time of the plan.
fn known(slots: u32) -> (Admission, Instant) {
    let mut admission = Admission::new(slots);
    let now = measure(
        &mut admission,
        Rank::Normal,
        "shop",
        SERVICE,
        Instant::now(),
    );
    (admission, now)
}

/// Guards against a queue in plain order, which answers nearly every call late as soon as more
/// calls come than the server can run.
#[test]
fn most_calls_are_in_time_under_overload() {
    const SLOTS: u32 = 9;
    // 1.2 times what the slots can run.
    let gap = SERVICE.mul_f64(1.0 / (f64::from(SLOTS) * 1.2));
    let (mut admission, start) = known(SLOTS);
    let mut running: BTreeSet<(Instant, u64)> = BTreeSet::new();
    let mut arrived: BTreeMap<u64, Instant> = BTreeMap::new();
    let (mut in_time, mut answered, calls) = (0, 0, 2_000);
    for id in 0..calls {
        let now = start + gap * id as u32;
        let mut effects = Vec::new();
        while let Some((at, ended)) = running.first().copied().filter(|(at, _)| *at <= now) {
            running.pop_first();
            answered += 1;
            in_time += u32::from(at <= arrived[&ended] + WANTED);
            let started = admission.finish(ended, Outcome::Done, at);
            let started = started.iter().filter_map(|effect| match effect {
                Effect::Start(id) => Some((at + SERVICE, *id)),
                Effect::Refuse { .. } => None,
            });
            running.extend(started);
        }
        arrived.insert(id, now);
        effects.extend(arrive_wanted(&mut admission, id, WANTED, now));
        for effect in effects {
            if let Effect::Start(id) = effect {
                running.insert((now + SERVICE, id));
            }
        }
    }
    // The slots can run five of six; the queue that builds up at first costs a few.
    let share = f64::from(in_time) / calls as f64;
    assert!(share > 0.75, "{in_time} in time, {answered} answered");
}

/// Guards against calls that are put behind and never started, though slots are free again.
#[test]
fn a_late_call_starts_when_no_other_waits() {
    let (mut admission, now) = known(1);
    assert_eq!(
        arrive_wanted(&mut admission, 1, WANTED, now),
        [Effect::Start(1)]
    );
    assert_eq!(arrive_wanted(&mut admission, 2, SERVICE, now), []);
    assert_eq!(arrive_wanted(&mut admission, 3, WANTED, now), []);
    let now = now + SERVICE;
    let effects = admission.finish(1, Outcome::Done, now);
    assert_eq!(
        effects,
        [Effect::Start(3)],
        "the second one is late already"
    );
    assert_eq!(admission.waiting_of(Rank::Normal), 1);
    let now = now + SERVICE;
    assert_eq!(admission.finish(3, Outcome::Done, now), [Effect::Start(2)]);
}

/// Guards against calls that are put behind and forgotten when their deadline passes, their caller
/// leaves or the server drains.
#[test]
fn a_late_call_is_refused_like_any_other() {
    let late = |end: &dyn Fn(&mut Admission, Instant) -> Vec<Effect>| {
        let (mut admission, now) = known(1);
        arrive_wanted(&mut admission, 1, WANTED, now);
        arrive_wanted(&mut admission, 2, SERVICE, now);
        arrive_wanted(&mut admission, 3, WANTED, now);
        let now = now + SERVICE;
        admission.finish(1, Outcome::Done, now);
        let effects = end(&mut admission, now);
        assert_eq!(admission.waiting_of(Rank::Normal), 0);
        reason(&effects, 2)
    };
    let expired = late(&|admission, now| admission.tick(now + DEADLINE));
    assert_eq!(expired, Some(Reason::Expired));
    let drained = late(&|admission, now| admission.drain(now));
    assert_eq!(drained, Some(Reason::Draining));
    assert_eq!(late(&|admission, now| admission.cancel(2, now)), None);
}
