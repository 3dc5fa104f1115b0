//! Processor time and bytes of a data centre relay and of a leaf in the tree.

use {
    super::{
        micros, timed,
        tree::{self, DATA_CENTRES, Daemon, TICK, endpoint, member, received},
    },
    anvilbeam::{
        endpoints::{Epoch, Stamp},
        model::Version,
        relays::{
            DataCentreSummary, Effect, Event, MemberReport, Report, Role, Subscribe, Summary,
        },
        tree_wire::Frame,
        versions::{Change, ConfigStore, split_delta},
        wire,
    },
    std::{
        hint::black_box,
        time::{Duration, Instant},
    },
};

const GRANTS: usize = 5_000;
const ENDPOINTS: usize = 2_275;
const ROUNDS: usize = 5;
const TICKS_PER_ROUND: usize = 10;
/// Seconds that a leaf is measured for.
const SECONDS: usize = 100;

/// Processor time of a relay, and what it sends.
#[derive(Debug, Default)]
struct Cost {
    decode: Duration,
    reports: Duration,
    ticks: Duration,
    encode: Duration,
    bytes: usize,
    frames: usize,
}

pub fn run() {
    let store = tree::store(GRANTS);
    println!(
        "data centre relay, {GRANTS} grants, {DATA_CENTRES} sets: processor time for one second (us), by the number of children"
    );
    println!(
        "children  decode reports  handle reports   ticks  encode frames    all  % of one  B/s sent"
    );
    for children in [50, 150, 325] {
        let mut relay = relay(&store, children);
        round(&mut relay, children, &mut Cost::default());
        let mut cost = Cost::default();
        for _ in 0..ROUNDS {
            round(&mut relay, children, &mut cost);
        }
        let each = |time| micros(time, ROUNDS);
        let all = each(cost.decode + cost.reports + cost.ticks + cost.encode);
        println!(
            "{children:>8} {:>15.0} {:>15.0} {:>7.0} {:>14.0} {all:>6.0} {:>9.2} {:>9}",
            each(cost.decode),
            each(cost.reports),
            each(cost.ticks),
            each(cost.encode),
            all / 1e4,
            cost.bytes / ROUNDS,
        );
    }
    println!(
        "one edit of one grant at a data centre relay: apply and frames (us), encode all frames (us), bytes sent"
    );
    for children in [50, 150, 325] {
        edit(&mut store.clone(), children);
    }
    leaf(&store);
}

/// A data centre relay with children that have reported.
fn relay(store: &ConfigStore, children: usize) -> Daemon {
    let epoch = Epoch::granted(1, 1);
    let mut relay = Daemon::start(Role::DataCentreRelay { epoch }, store, ENDPOINTS);
    // The set starts once the parent has shown for 2 s that it knows none.
    for _ in 0..3 {
        pass(&mut relay, Duration::from_secs(1));
    }
    let positions = relay.uplink.directory().positions();
    for child in 1..=children {
        // Spread out as by the admission of subscriptions.
        relay.now += Duration::from_millis(2);
        let req = Subscribe {
            daemon: member(child, 0).daemon,
            level: 3,
            stream: child as u64,
            version: store.version(),
            positions: positions.clone(),
        };
        relay.step(Event::Subscribe(req));
        relay.step(Event::Report(report(child, 1, store.version())));
    }
    assert_eq!(relay.uplink.children().len(), children, "all are admitted");
    relay
}

/// Lets time pass with the parent's heartbeats.
fn pass(daemon: &mut Daemon, time: Duration) {
    let end = daemon.now + time;
    let beat = daemon.heartbeat();
    daemon.step(Event::Update(beat));
    while daemon.now < end {
        daemon.now += TICK;
        daemon.step(Event::Tick);
    }
}

fn report(child: usize, number: u64, version: Version) -> Report {
    let member = member(child, 0);
    let mut summary = Summary::default();
    summary.add(&DataCentreSummary::of_daemon(
        &member.daemon,
        &member.data_centre,
        version,
        None,
    ));
    let stamp = Stamp {
        incarnation: 1,
        number,
    };
    let members = vec![MemberReport {
        daemon: member.daemon.clone(),
        stamp,
        endpoints: vec![endpoint(child, 0)],
    }];
    Report {
        member,
        role: Role::Leaf,
        stream: child as u64,
        last_frame: number,
        version,
        members,
        sets: Vec::new(),
        summary,
    }
}

/// One second at a relay: each child reports once, spread evenly between the ticks.
fn round(relay: &mut Daemon, children: usize, cost: &mut Cost) {
    let version = relay.uplink.store().version();
    let number = 2 + relay.number;
    let beat = relay.heartbeat();
    relay.step(Event::Update(beat));
    for tick in 0..TICKS_PER_ROUND {
        for child in (1..=children).filter(|child| child % TICKS_PER_ROUND == tick) {
            let buf = wire::encode(&report(child, number, version)).expect("a report fits");
            let (time, report) = timed(|| wire::decode(&buf).expect("it was just encoded"));
            cost.decode += time;
            let (time, effects) = timed(|| relay.step(Event::Report(report)));
            cost.reports += time;
            send(effects, cost);
        }
        relay.now += TICK;
        let (time, effects) = timed(|| relay.step(Event::Tick));
        cost.ticks += time;
        send(effects, cost);
    }
}

/// Encodes what the shell would send.
fn send(effects: Vec<Effect>, cost: &mut Cost) {
    for effect in effects {
        let start = Instant::now();
        let buf = match effect {
            Effect::Update { update, .. } => {
                cost.frames += 1;
                wire::encode_frame(&Frame::Update(Box::new(update)))
            }
            Effect::Report(report) => wire::encode_frame(&report),
            _ => continue,
        };
        cost.bytes += black_box(buf).expect("a frame fits").len();
        cost.encode += start.elapsed();
    }
}

fn edit(store: &mut ConfigStore, children: usize) {
    const EDITS: usize = 20;
    let mut relay = relay(store, children);
    let (mut cost, mut applied) = (Cost::default(), Duration::ZERO);
    for n in 0..EDITS {
        let before = store.version();
        let grants = vec![tree::grant(n * 7, 500 + n as u32)];
        let change = Change {
            grants,
            ..Change::default()
        };
        store.edit(&change).expect("the grant is valid");
        let delta = store.delta_since(before).expect("a grant has changed");
        let part = split_delta(delta).expect("the delta fits").remove(0);
        let update = anvilbeam::relays::Update {
            config: Some(received(&part)),
            ..relay.update()
        };
        let (time, effects) = timed(|| relay.step(Event::Update(update)));
        applied += time;
        send(effects, &mut cost);
    }
    assert_eq!(cost.frames, EDITS * children, "each child gets each edit");
    println!(
        "{children:>8} {:>10.0} {:>10.0} {:>10}",
        micros(applied, EDITS),
        micros(cost.encode, EDITS),
        cost.bytes / EDITS,
    );
}

fn leaf(store: &ConfigStore) {
    let mut leaf = Daemon::start(Role::Leaf, store, ENDPOINTS);
    let mut cost = Cost::default();
    let mut down = 0;
    for _ in 0..SECONDS {
        let frame = Frame::Update(Box::new(leaf.heartbeat()));
        let buf = wire::encode(&frame).expect("a heartbeat fits");
        down += buf.len() + 8;
        let (time, update) = timed(|| match wire::decode(&buf) {
            Ok(Frame::Update(update)) => *update,
            other => panic!("not a heartbeat: {other:?}"),
        });
        cost.decode += time;
        let (time, effects) = timed(|| leaf.step(Event::Update(update)));
        cost.reports += time;
        send(effects, &mut cost);
        for _ in 0..TICKS_PER_ROUND {
            leaf.now += TICK;
            let (time, effects) = timed(|| leaf.step(Event::Tick));
            cost.ticks += time;
            send(effects, &mut cost);
        }
    }
    let all = cost.decode + cost.reports + cost.ticks + cost.encode;
    println!(
        "leaf, one second: {:.0} us without sockets; heartbeat {} B down, report {} B up",
        micros(all, SECONDS),
        down / SECONDS,
        cost.bytes / SECONDS,
    );
}
