//! Processor time and bytes sent of a data centre relay and of a leaf in the tree.

use {
    super::{
        micros, timed,
        tree::{self, DATA_CENTRES, Daemon, TICK, endpoint, member, received_copy},
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
/// Simulated seconds for which a relay is measured.
const RELAY_SECONDS: usize = 5;
const TICKS_PER_SECOND: usize = 10;
/// Simulated seconds for which a leaf is measured.
const LEAF_SECONDS: usize = 100;

/// Processor time of a daemon by activity, and what it sends.
#[derive(Debug, Default)]
struct Cost {
    decode: Duration,
    /// Handling of received reports or updates.
    messages: Duration,
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
        let mut relay = start_relay(&store, children);
        simulate_second(&mut relay, children, &mut Cost::default());
        let mut cost = Cost::default();
        for _ in 0..RELAY_SECONDS {
            simulate_second(&mut relay, children, &mut cost);
        }
        let micros_per_second = |time| micros(time, RELAY_SECONDS);
        let total = micros_per_second(cost.decode + cost.messages + cost.ticks + cost.encode);
        println!(
            "{children:>8} {:>15.0} {:>15.0} {:>7.0} {:>14.0} {total:>6.0} {:>9.2} {:>9}",
            micros_per_second(cost.decode),
            micros_per_second(cost.messages),
            micros_per_second(cost.ticks),
            micros_per_second(cost.encode),
            total / 1e4,
            cost.bytes / RELAY_SECONDS,
        );
    }
    println!(
        "one edit of one grant at a data centre relay: apply and frames (us), encode all frames (us), bytes sent"
    );
    for children in [50, 150, 325] {
        measure_edits(&mut store.clone(), children);
    }
    measure_leaf(&store);
}

/// Starts a data centre relay whose children have subscribed and reported.
fn start_relay(store: &ConfigStore, children: usize) -> Daemon {
    let epoch = Epoch::granted(1, 1);
    let mut relay = Daemon::start(Role::DataCentreRelay { epoch }, store, ENDPOINTS);
    // The relay starts a set of its own after 2 s if its parent has none for the data centre.
    for _ in 0..3 {
        advance(&mut relay, Duration::from_secs(1));
    }
    let positions = relay.uplink.directory().positions();
    for child in 1..=children {
        // Spaced out, since subscriptions are admitted at a limited rate.
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
    assert_eq!(
        relay.uplink.children().len(),
        children,
        "all children are admitted"
    );
    relay
}

/// Applies a heartbeat of the parent, then advances the daemon's time by `time`.
fn advance(daemon: &mut Daemon, time: Duration) {
    let end = daemon.now + time;
    let heartbeat = daemon.next_heartbeat();
    daemon.step(Event::Update(heartbeat));
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

/// Simulates one second at a relay. Each child reports once; the reports are spread evenly over
/// the ticks.
fn simulate_second(relay: &mut Daemon, children: usize, cost: &mut Cost) {
    let version = relay.uplink.store().version();
    let number = 2 + relay.number;
    let heartbeat = relay.next_heartbeat();
    relay.step(Event::Update(heartbeat));
    for tick in 0..TICKS_PER_SECOND {
        for child in (1..=children).filter(|child| child % TICKS_PER_SECOND == tick) {
            let buf = wire::encode(&report(child, number, version)).expect("a report fits");
            let (time, report) = timed(|| wire::decode(&buf).expect("the report was just encoded"));
            cost.decode += time;
            let (time, effects) = timed(|| relay.step(Event::Report(report)));
            cost.messages += time;
            add_effects(effects, cost);
        }
        relay.now += TICK;
        let (time, effects) = timed(|| relay.step(Event::Tick));
        cost.ticks += time;
        add_effects(effects, cost);
    }
}

/// Encodes the messages in `effects` and adds their cost; the I/O layer would send them.
fn add_effects(effects: Vec<Effect>, cost: &mut Cost) {
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

fn measure_edits(store: &mut ConfigStore, children: usize) {
    const EDITS: usize = 20;
    let mut relay = start_relay(store, children);
    let (mut cost, mut apply_time) = (Cost::default(), Duration::ZERO);
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
            config: Some(received_copy(&part)),
            ..relay.next_update()
        };
        let (time, effects) = timed(|| relay.step(Event::Update(update)));
        apply_time += time;
        add_effects(effects, &mut cost);
    }
    assert_eq!(
        cost.frames,
        EDITS * children,
        "each child is sent each edit"
    );
    println!(
        "{children:>8} {:>10.0} {:>10.0} {:>10}",
        micros(apply_time, EDITS),
        micros(cost.encode, EDITS),
        cost.bytes / EDITS,
    );
}

fn measure_leaf(store: &ConfigStore) {
    let mut leaf = Daemon::start(Role::Leaf, store, ENDPOINTS);
    let mut cost = Cost::default();
    let mut bytes_down = 0;
    for _ in 0..LEAF_SECONDS {
        let frame = Frame::Update(Box::new(leaf.next_heartbeat()));
        let buf = wire::encode(&frame).expect("a heartbeat fits");
        // A frame has a header of 8 bytes.
        bytes_down += buf.len() + 8;
        let (time, update) = timed(|| match wire::decode(&buf) {
            Ok(Frame::Update(update)) => *update,
            other => panic!("expected a heartbeat, decoded {other:?}"),
        });
        cost.decode += time;
        let (time, effects) = timed(|| leaf.step(Event::Update(update)));
        cost.messages += time;
        add_effects(effects, &mut cost);
        for _ in 0..TICKS_PER_SECOND {
            leaf.now += TICK;
            let (time, effects) = timed(|| leaf.step(Event::Tick));
            cost.ticks += time;
            add_effects(effects, &mut cost);
        }
    }
    let total = cost.decode + cost.messages + cost.ticks + cost.encode;
    println!(
        "leaf, one second: {:.0} us without sockets; heartbeat {} B down, report {} B up",
        micros(total, LEAF_SECONDS),
        bytes_down / LEAF_SECONDS,
        cost.bytes / LEAF_SECONDS,
    );
}
