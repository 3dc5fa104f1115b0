mod former_record;

use {
    super::*,
    crate::{
        endpoints::{Directory, Origin, Record, Stamp},
        model::{Config, Plan, Version},
        versions::{Change, ConfigStore},
        wire,
    },
    proptest::{prelude::*, test_runner::RngSeed},
    std::{collections::BTreeMap, net::SocketAddr, time::Instant},
};

fn member(daemon: usize, data_centre: usize) -> Member {
    Member {
        daemon: format!("daemon-{daemon}").as_str().into(),
        address: ([10, 0, 0, daemon as u8], 7000).into(),
        data_centre: format!("dc-{data_centre}").as_str().into(),
        region: format!("region-{}", data_centre / 2).as_str().into(),
    }
}

fn replica(n: u8) -> SocketAddr {
    ([10, 1, 0, n], 7000).into()
}

fn replica_ref(n: u8) -> ReplicaRef {
    ReplicaRef {
        address: replica(n),
        data_centre: format!("dc-{n}").as_str().into(),
        region: format!("region-{}", n / 2).as_str().into(),
        leads: n == 0,
    }
}

fn subscribe(daemon: usize, level: u8, stream: u64) -> Subscribe {
    Subscribe {
        member: member(daemon, 0),
        replica: false,
        level,
        stream,
        version: Version(0),
        digests: vec![],
        records: vec![],
        room: 2,
        needs_path: false,
        compares: false,
    }
}

fn report(daemon: usize, stream: u64, number: u64) -> Report {
    Report {
        daemon: member(daemon, 0).daemon,
        stream,
        number,
        last_frame: 0,
        version: Version(1),
        records: vec![],
        lost: vec![],
        other_records: vec![],
        room: 0,
        summary: Summary::default(),
    }
}

const fn accepted() -> SubscribeReply {
    SubscribeReply::Accepted {
        detached_ms: 0,
        digests: Vec::new(),
    }
}

/// Returns a store at version 1.
fn edited_store() -> ConfigStore {
    let mut store = ConfigStore::with_config(Config::default());
    let plan = Plan {
        name: "a".into(),
        key_hashes: vec![],
        home_region: "r".into(),
    };
    let change = Change {
        plans: vec![plan],
        ..Change::default()
    };
    store.edit(&change).unwrap();
    store
}

fn record(daemon: usize, number: u64) -> Record {
    Record {
        daemon: member(daemon, 0).daemon,
        stamp: Stamp {
            incarnation: 1,
            number,
            lapsed: false,
        },
        endpoints: vec![],
    }
}

/// Returns the frames that are due, with their decoded contents.
fn frames(
    children: &mut Children,
    store: &ConfigStore,
    directory: &Directory,
    now: Instant,
) -> Vec<(Update, Contents)> {
    let view = View {
        store,
        directory,
        replicas: &[],
        replica_changes: 0,
        detached_ms: 0,
    };
    let frames = children.frames(view, now).unwrap();
    let decoded = frames.into_iter().map(|(_, update)| {
        let contents = wire::decode(&update.contents).unwrap();
        (update, contents)
    });
    decoded.collect()
}

/// Guards against a thundering herd: refused daemons retry at the admitted rate.
#[test]
fn refused_connections_come_back_at_the_admitted_rate() {
    let start = Instant::now();
    let mut admission = Admission::new(400, start);
    let mut arrivals = vec![start; 325];
    let mut sent: BTreeMap<u128, u32> = BTreeMap::new();
    let mut last = start;
    while !arrivals.is_empty() {
        arrivals.sort();
        let at = arrivals.remove(0);
        *sent
            .entry(at.duration_since(start).as_millis() / 100)
            .or_default() += 1;
        match admission.admit(at) {
            Ok(()) => last = at,
            Err(wait) => arrivals.push(at + wait),
        }
    }
    assert!(
        last < start + Duration::from_secs(1),
        "all are admitted within 1 s"
    );
    let later: Vec<_> = sent.into_iter().skip(1).map(|(_, count)| count).collect();
    assert!(
        later.iter().all(|count| *count <= 80),
        "requests in each 100 ms: {later:?}"
    );
}

/// Guards against a loop in the tree: a process accepts only children of a higher level.
#[test]
fn a_source_refuses_a_child_of_its_own_level() {
    let now = Instant::now();
    let directory = Directory::default();
    let mut children = Children::new(8, CONTROL_COPY_RATE, now);
    let mut req = subscribe(1, 3, 1);
    assert_eq!(
        children.subscribe(&req, 3, &directory, now),
        SubscribeReply::WrongLevel { level: 3 }
    );
    req.level = 4;
    assert_eq!(children.subscribe(&req, 3, &directory, now), accepted());
    assert_eq!(children.stream(&"daemon-1".into()), Some(1));
}

/// Guards against a source that feeds more children than its processor and link carry, and against
/// one that sends all others to the same child.
#[test]
fn a_full_source_names_children_with_room() {
    let now = Instant::now();
    let directory = Directory::default();
    let mut children = Children::new(2, CONTROL_COPY_RATE, now);
    for daemon in [1, 2] {
        let req = subscribe(daemon, 1, 1);
        assert_eq!(children.subscribe(&req, 0, &directory, now), accepted());
    }
    let mut first = Vec::new();
    for daemon in 3..8 {
        let reply = children.subscribe(&subscribe(daemon, 1, 1), 0, &directory, now);
        let SubscribeReply::Full { next } = reply else {
            panic!("daemon {daemon} got {reply:?}");
        };
        first.extend(next.first().map(|source| source.daemon.to_string()));
    }
    first.sort();
    assert_eq!(first, ["daemon-1", "daemon-1", "daemon-2", "daemon-2"]);
}

/// Guards against sending the same change again with each heartbeat.
#[test]
fn a_current_child_gets_heartbeats_only() {
    let now = Instant::now();
    let mut children = Children::new(8, CONTROL_COPY_RATE, now);
    let (store, directory) = (edited_store(), Directory::default());
    children.subscribe(&subscribe(1, 1, 1), 0, &directory, now);
    let first = frames(&mut children, &store, &directory, now);
    assert!(first[0].1.config.is_some());
    assert!(frames(&mut children, &store, &directory, now + HEARTBEAT / 2).is_empty());
    let heartbeats = frames(&mut children, &store, &directory, now + HEARTBEAT);
    assert_eq!(heartbeats.len(), 1);
    assert!(heartbeats[0].1.config.is_none() && heartbeats[0].0.number == 2);
}

/// Guards against a frame for each change of an endpoint: changes of many daemons within a short time
/// reach each child in one batch. A child does not get its own record back.
#[test]
fn changes_of_many_records_reach_a_child_in_one_batch() {
    let now = Instant::now();
    let mut children = Children::new(300, CONTROL_COPY_RATE, now);
    let (store, mut directory) = (edited_store(), Directory::default());
    for daemon in 0..295 {
        let req = Subscribe {
            version: Version(1),
            ..subscribe(daemon, 1, 1)
        };
        let at = now + Duration::from_millis(2) * daemon as u32;
        assert_eq!(children.subscribe(&req, 0, &directory, at), accepted());
    }
    let now = now + Duration::from_secs(1);
    frames(&mut children, &store, &directory, now);
    let mut sent = 0;
    let mut at = now;
    for daemon in 0..295 {
        at += Duration::from_millis(1);
        let child = member(daemon, 0).daemon;
        let origin = Origin::Child(&child);
        directory.apply(record(daemon, 1), origin, at).unwrap();
        for (_, contents) in frames(&mut children, &store, &directory, at) {
            sent += usize::from(!contents.records.is_empty());
        }
    }
    let batches = 295 / RECORD_INTERVAL.as_millis() as usize + 1;
    assert!(sent <= batches * 295, "{sent} frames with records");
    assert!(sent >= 295 - 1, "{sent} frames with records");
}

/// Guards against a duplicate subscription that resets the sequence numbers: the child would drop
/// the changes in these frames as duplicates and keep an old version.
#[test]
fn a_repeated_subscription_keeps_the_sequence_numbers() {
    let now = Instant::now();
    let mut children = Children::new(8, CONTROL_COPY_RATE, now);
    let (store, directory) = (edited_store(), Directory::default());
    let mut req = subscribe(1, 3, 7);
    children.subscribe(&req, 2, &directory, now);
    assert_eq!(
        frames(&mut children, &store, &directory, now)[0].0.number,
        1
    );
    assert_eq!(children.subscribe(&req, 2, &directory, now), accepted());
    req.stream = 6;
    assert_eq!(children.subscribe(&req, 2, &directory, now), accepted());
    let next = frames(&mut children, &store, &directory, now + HEARTBEAT);
    assert_eq!((next[0].0.stream, next[0].0.number), (7, 2));
    let ahead = Report {
        last_frame: 3,
        ..report(1, 7, 1)
    };
    assert!(
        !children.report(&ahead, now),
        "the child is ahead of what was sent"
    );
    assert!(children.is_empty());
}

/// Guards against a daemon that gets no frames after a restart because the clock of its VM was set
/// back: its streams have lower numbers than before.
#[test]
fn a_restart_with_an_earlier_clock_opens_a_new_stream() {
    let now = Instant::now();
    let mut children = Children::new(8, CONTROL_COPY_RATE, now);
    let (store, directory) = (edited_store(), Directory::default());
    for incarnation in [9, 4] {
        let stream = incarnation << STREAM_BITS | 1;
        children.subscribe(&subscribe(1, 1, stream), 0, &directory, now);
        let first = frames(&mut children, &store, &directory, now);
        assert_eq!((first[0].0.stream, first[0].0.number), (stream, 1));
        assert!(first[0].1.config.is_some());
    }
}

/// Guards against a source that was frozen and takes its children for lost, because their reports
/// still wait to be read.
#[test]
fn a_pause_of_the_source_extends_the_leases_of_its_children() {
    let start = Instant::now();
    let mut children = Children::new(8, CONTROL_COPY_RATE, start);
    children.subscribe(&subscribe(1, 1, 1), 0, &Directory::default(), start);
    let thawed = start + RELAY_LEASE * 2;
    let expired = children.expire(thawed);
    assert_eq!(expired.pause, Some(RELAY_LEASE * 2));
    assert!(expired.children.is_empty());
    let mut now = thawed;
    while now < thawed + RELAY_LEASE {
        assert_eq!(children.len(), 1);
        now += MAX_PAUSE / 2;
        children.expire(now);
    }
    assert!(children.is_empty(), "a child that stays silent is lost");
}

/// Guards against a report that is delayed and takes back what a later one has said.
#[test]
fn a_delayed_report_is_ignored() {
    let now = Instant::now();
    let mut children = Children::new(8, CONTROL_COPY_RATE, now);
    children.subscribe(&subscribe(1, 1, 1), 0, &Directory::default(), now);
    let part = |version| {
        let Member {
            daemon,
            data_centre,
            region,
            ..
        } = member(1, 0);
        let part =
            DataCentreSummary::of_daemon(&daemon, (&data_centre, &region), Version(version), None);
        Summary {
            data_centres: vec![part],
        }
    };
    for (number, version) in [(2, 5), (1, 4)] {
        let report = Report {
            summary: part(version),
            ..report(1, 1, number)
        };
        assert!(children.report(&report, now));
    }
    assert_eq!(children.summary().lowest(), Some(Version(5)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x7265_6c61),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a summary whose size grows with the number of daemons, or that loses the
    /// lowest version.
    #[test]
    fn a_summary_is_bounded_and_exact(versions in prop::collection::vec((0..3_usize, 0..50_u64), 1..200)) {
        let mut summary = Summary::default();
        for (n, (dc, version)) in versions.iter().enumerate() {
            let member = member(n, *dc);
            let part = DataCentreSummary::of_daemon(&member.daemon, (&member.data_centre, &member.region), Version(*version), Some("slow"));
            let mut single = Summary::default();
            single.add(&part);
            summary.merge(&single);
        }
        prop_assert_eq!(summary.daemons() as usize, versions.len());
        prop_assert_eq!(summary.lowest(), versions.iter().map(|(_, version)| Version(*version)).min());
        let routing = versions.iter().map(|(_, version)| *version).filter(|version| *version > 0);
        prop_assert_eq!(summary.lowest_routing(), routing.min().map(Version));
        for part in &summary.data_centres {
            prop_assert!(part.lagging.len() <= MAX_LAGGING);
            prop_assert_eq!(part.lagging.first().map(|lagging| lagging.version), Some(part.lowest));
        }
        prop_assert!(wire::encode(&summary).unwrap().len() < 8_192);
    }
}

/// Answers the attach request of a daemon and returns the effects.
fn attach(uplink: &mut Uplink, now: Instant, floor: Option<Version>, count: u8) -> Vec<Effect> {
    let effects = uplink.step(now, 1, Event::Tick);
    let Some(Effect::Attach { address, .. }) = effects.first() else {
        panic!("no attach request: {effects:?}");
    };
    let reply = AttachReply::Attached {
        floor,
        replicas: (0..count).map(replica_ref).collect(),
    };
    let event = Event::Attached {
        address: *address,
        reply: Some(reply),
    };
    uplink.step(now, 2, event)
}

fn subscription(effects: &[Effect]) -> Option<(SocketAddr, u64)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Subscribe { address, req } => Some((*address, req.stream)),
        _ => None,
    })
}

/// Guards against a daemon that waits for seconds between requests to two control replicas; a version
/// must be in force within 2 s of its acceptance wherever control is reachable.
#[test]
fn a_daemon_tries_all_control_replicas_within_two_seconds() {
    const REPLICAS: u8 = 5;
    let start = Instant::now();
    for seed in 0..50 {
        let mut uplink = Uplink::new(member(1, 0), 1, vec![replica(0)], start);
        let mut tried = Vec::new();
        let mut effects = attach(&mut uplink, start, Some(Version(0)), REPLICAS);
        for tick in 0..20 {
            let now = start + Duration::from_millis(100 * tick);
            while let Some((address, stream)) = subscription(&effects) {
                tried.push(address);
                let reply = None;
                let event = Event::Stream(StreamEvent::Subscribed { stream, reply });
                effects = uplink.step(now, seed * 1_000 + tick, event);
            }
            effects = uplink.step(now, seed * 1_000 + tick, Event::Tick);
        }
        let all = (0..REPLICAS).all(|n| tried.contains(&replica(n)));
        assert!(all, "seed {seed}: tried {tried:?}");
    }
}

/// Guards against control bytes between regions: a daemon uses the replica of its data centre, or
/// else one of its region, and returns to it after a failure.
#[test]
fn a_daemon_prefers_the_nearest_replica() {
    let start = Instant::now();
    let mut uplink = Uplink::new(member(1, 3), 1, vec![replica(0)], start);
    let effects = attach(&mut uplink, start, Some(Version(0)), 5);
    let (address, stream) = subscription(&effects).unwrap();
    assert_eq!(address, replica(3));
    let reply = None;
    let event = Event::Stream(StreamEvent::Subscribed { stream, reply });
    uplink.step(start, 3, event);
    let later = start + Duration::from_millis(500);
    let effects = uplink.step(later, 4, Event::Tick);
    let (address, stream) = subscription(&effects).unwrap();
    assert_eq!(address, replica(2), "the other replica of the region");
    let reply = Some(accepted());
    let event = Event::Stream(StreamEvent::Subscribed { stream, reply });
    uplink.step(later, 5, event);
    let mut now = later;
    let mut number = 0;
    while now < later + Duration::from_secs(25) {
        now += HEARTBEAT;
        number += 1;
        let contents = wire::encode(&Contents::default()).unwrap().into();
        let update = Update {
            stream,
            number,
            detached_ms: 0,
            contents,
        };
        uplink.step(now, 6, Event::Stream(StreamEvent::Update(update)));
        let effects = uplink.step(now, number, Event::Tick);
        if let Some((address, _)) = subscription(&effects) {
            assert_eq!(address, replica(3));
            return;
        }
    }
    panic!("the daemon stays at the farther replica");
}

/// Guards against a daemon that gets its floor from a replica that is partitioned from its group.
#[test]
fn a_daemon_subscribes_only_after_a_confirmed_floor() {
    let start = Instant::now();
    let mut uplink = Uplink::new(member(1, 0), 1, vec![replica(0), replica(1)], start);
    let effects = attach(&mut uplink, start, None, 2);
    assert_eq!(subscription(&effects), None);
    let later = start + Duration::from_secs(1);
    let effects = attach(&mut uplink, later, Some(Version(1)), 2);
    assert!(subscription(&effects).is_some(), "{effects:?}");
}

/// Guards against a daemon that treats the end of a refused stream as the loss of its source: it
/// would subscribe elsewhere instead of after the retry delay.
#[test]
fn a_refused_subscription_is_sent_again_after_its_stream_has_ended() {
    let start = Instant::now();
    let mut uplink = Uplink::new(member(1, 0), 1, vec![replica(0)], start);
    let effects = attach(&mut uplink, start, Some(Version(1)), 3);
    let (first, stream) = subscription(&effects).unwrap();
    let reply = Some(SubscribeReply::Refused { retry_after_ms: 30 });
    let event = Event::Stream(StreamEvent::Subscribed { stream, reply });
    uplink.step(start, 3, event);
    let lost = Event::Stream(StreamEvent::Lost { stream });
    uplink.step(start, 4, lost);
    let due = start + Duration::from_millis(30);
    let effects = uplink.step(due, 5, Event::Tick);
    assert_eq!(
        subscription(&effects).map(|(address, _)| address),
        Some(first)
    );
}

/// Guards against a daemon that answers by version 0, which is no configuration: it would refuse what
/// the first edit is about to allow.
#[test]
fn version_0_is_never_in_force() {
    let start = Instant::now();
    let mut uplink = Uplink::new(member(1, 0), 1, vec![replica(0)], start);
    attach(&mut uplink, start, Some(Version(0)), 1);
    assert!(uplink.store().floor().is_some());
    assert!(uplink.in_force().is_none());
}

/// Guards against a daemon that takes its version for the newest although its source has told nothing
/// for long, and against one that never knows it.
#[test]
fn a_report_tells_since_when_the_version_is_the_newest() {
    let start = Instant::now();
    let mut uplink = Uplink::new(member(1, 0), 1, vec![replica(0)], start);
    let effects = attach(&mut uplink, start, Some(Version(0)), 1);
    let (_, stream) = subscription(&effects).unwrap();
    let reply = Some(accepted());
    let event = Event::Stream(StreamEvent::Subscribed { stream, reply });
    uplink.step(start, 3, event);
    assert_eq!(uplink.current_at(), None);
    let sent = start + Duration::from_millis(100);
    let effects = uplink.step(sent, 4, Event::Confirm);
    let number = effects.iter().find_map(|effect| match effect {
        Effect::Report(report) => Some(report.number),
        _ => None,
    });
    let answer = |number, version, age_ms| {
        Event::Stream(StreamEvent::Reported {
            stream,
            number,
            reply: ReportReply {
                known: true,
                version,
                age_ms,
            },
        })
    };
    let late = sent + Duration::from_millis(700);
    uplink.step(late, 5, answer(number.unwrap(), Version(0), Some(40)));
    let expected = start + Duration::from_millis(60);
    assert_eq!(uplink.current_at(), Some(expected));
    // A newer version at the source is not here yet.
    let effects = uplink.step(late, 6, Event::Confirm);
    let number = effects.iter().find_map(|effect| match effect {
        Effect::Report(report) => Some(report.number),
        _ => None,
    });
    uplink.step(late, 7, answer(number.unwrap(), Version(1), Some(0)));
    assert_eq!(uplink.current_at(), Some(expected));
}

/// Guards against a replica that loses the others from its list when it is cut off from them: its
/// daemons would have no other source.
#[test]
fn a_replica_that_is_cut_off_still_names_the_others() {
    let now = Instant::now();
    let mut hub = Hub::new(member(0, 0), 1, Config::default(), now);
    let group: Vec<_> = (0..3).map(|n| member(n, 0).address).collect();
    hub.set_group(group.clone());
    let leads = Leadership {
        leads: true,
        leader: Some(group[0]),
        contact: Some(now),
    };
    hub.tick(now, 1, leads);
    for n in [1, 2] {
        let req = Subscribe {
            replica: true,
            level: 0,
            ..subscribe(n, 0, 1)
        };
        hub.handle(now, 2, StreamEvent::Subscribe(req));
    }
    for n in [1, 2] {
        let child = member(n, 0).daemon;
        hub.handle(now, 3, StreamEvent::ChildLost { child, stream: 1 });
    }
    let listed: Vec<_> = hub
        .replicas()
        .iter()
        .map(|replica| replica.address)
        .collect();
    assert_eq!(listed, group);
    hub.set_group(group[..2].to_vec());
    hub.tick(now, 4, leads);
    assert_eq!(hub.replicas().len(), 2, "a removed member is not listed");
}
