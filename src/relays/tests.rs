use {
    super::*,
    crate::{
        endpoints::Epoch,
        model::{DaemonName, DataCentre, Version},
        versions::{Change, ConfigStore},
        wire,
    },
    proptest::{prelude::*, test_runner::RngSeed},
    std::{collections::BTreeMap, time::Instant},
};

fn member(daemon: usize, data_centre: usize) -> Member {
    Member {
        daemon: format!("daemon-{daemon}").as_str().into(),
        address: ([10, 0, 0, daemon as u8], 7000).into(),
        data_centre: format!("dc-{data_centre}").as_str().into(),
        region: format!("region-{}", data_centre / 2).as_str().into(),
    }
}

fn attach(member: Member) -> Attach {
    Attach {
        member,
        version: Version(0),
        role: Role::Leaf,
        newest_epoch: None,
        failed_parent: None,
    }
}

fn subscribe(level: u8, stream: u64) -> Subscribe {
    Subscribe {
        daemon: "daemon-1".into(),
        level,
        stream,
        version: Version(0),
        positions: vec![],
    }
}

fn attached(reply: AttachReply) -> Attached {
    match reply {
        AttachReply::Attached(attached) => attached,
        other => panic!("not attached: {other:?}"),
    }
}

fn report(member: Member, role: Role) -> Report {
    let mut part =
        DataCentreSummary::of_daemon(&member.daemon, &member.data_centre, Version(1), None);
    part.relay = role.epoch().map(|epoch| RelayRef {
        daemon: member.daemon.clone(),
        address: member.address,
        epoch,
    });
    Report {
        member,
        role,
        stream: 1,
        last_frame: 0,
        version: Version(1),
        members: vec![],
        sets: vec![],
        summary: Summary {
            data_centres: vec![part],
        },
    }
}

/// Guards against two relays in one data centre, and against a region relay that doesn't have the
/// lease of its data centre.
#[test]
fn the_first_daemon_of_a_data_centre_is_its_relay() {
    let start = Instant::now();
    let now = start + NEW_LEADER_GRACE;
    let mut table = RelayTable::new(1, start);
    let first = attached(table.attach(&attach(member(1, 0)), None, now));
    assert!(matches!(first.role, Role::RegionRelay { .. }));
    let second = attached(table.attach(&attach(member(2, 0)), None, now));
    assert_eq!(second.role, Role::Leaf);
    assert!(matches!(second.parent, Parent::Daemon { name, .. } if name.as_str() == "daemon-1"));
    let other = attached(table.attach(&attach(member(3, 1)), None, now));
    assert!(
        matches!(other.role, Role::DataCentreRelay { epoch } if Some(epoch) > first.role.epoch())
    );
    assert_eq!(table.relays().count(), 2);
}

/// Guards against the replacement of a relay that still reports because one child says that it has
/// failed, and against a failed relay that keeps its lease.
#[test]
fn a_relay_is_replaced_when_it_no_longer_reports() {
    let start = Instant::now();
    let mut now = start + NEW_LEADER_GRACE;
    let mut table = RelayTable::new(1, start);
    let relay = attached(table.attach(&attach(member(1, 0)), None, now));
    now += Duration::from_secs(2);
    table.report(&report(member(1, 0), relay.role), now);
    let mut orphan = attach(member(2, 0));
    let daemon = "daemon-1".into();
    orphan.failed_parent = Some(FailedParent {
        daemon,
        failures: 1,
    });
    now += Duration::from_secs(1);
    assert_eq!(attached(table.attach(&orphan, None, now)).role, Role::Leaf);
    now += MISSED_REPORT_AFTER;
    let next = attached(table.attach(&orphan, None, now));
    assert!(next.role.epoch() > relay.role.epoch());
    let old = Attach {
        role: relay.role,
        ..attach(member(1, 0))
    };
    assert_eq!(attached(table.attach(&old, None, now)).role, Role::Leaf);
}

/// Guards against a new leader that replaces all relays or grants epochs that are not newer.
#[test]
fn a_new_leader_keeps_the_relays_of_the_old_one() {
    let start = Instant::now();
    let mut old = RelayTable::new(1, start);
    let relay = attached(old.attach(&attach(member(1, 0)), None, start + NEW_LEADER_GRACE));
    let now = start + Duration::from_secs(10);
    let mut table = RelayTable::new(2, now);
    let reply = table.attach(&attach(member(2, 0)), None, now);
    assert!(
        matches!(reply, AttachReply::Refused { retry_after_ms } if u128::from(retry_after_ms) > NEW_LEADER_GRACE.as_millis())
    );
    let again = Attach {
        role: relay.role,
        ..attach(member(1, 0))
    };
    assert_eq!(attached(table.attach(&again, None, now)).role, relay.role);
    let fresh = attached(table.attach(&attach(member(3, 1)), None, now + NEW_LEADER_GRACE));
    assert!(fresh.role.epoch() > relay.role.epoch());
    let informed = Attach {
        newest_epoch: fresh.role.epoch(),
        ..again
    };
    assert!(attached(table.attach(&informed, None, now)).role.epoch() > fresh.role.epoch());
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
fn a_parent_refuses_a_child_of_its_own_level() {
    let now = Instant::now();
    let mut children = Children::new(now);
    let mut req = subscribe(3, 1);
    assert_eq!(
        children.subscribe(&req, 3, now),
        SubscribeReply::WrongLevel { level: 3 }
    );
    req.level = 4;
    assert_eq!(children.subscribe(&req, 3, now), SubscribeReply::Accepted);
    assert_eq!(children.stream(&"daemon-1".into()), Some(1));
}

/// Guards against a parent that renews the lease of a relay that has died.
#[test]
fn summary_omits_a_relay_that_missed_a_report() {
    let now = Instant::now();
    let mut children = Children::new(now);
    let relay = member(1, 0);
    let req = subscribe(2, 1);
    children.subscribe(&req, 1, now);
    let epoch = Epoch::granted(1, 1);
    assert!(children.report(&report(relay, Role::DataCentreRelay { epoch }), now));
    let named = |children: &Children, at| children.summary(at).data_centres[0].relay.is_some();
    assert!(named(&children, now + HEARTBEAT));
    assert!(!named(&children, now + MISSED_REPORT_AFTER));
}

/// Guards against sending the same change again with each heartbeat.
#[test]
fn a_current_child_gets_heartbeats_only() {
    let now = Instant::now();
    let mut children = Children::new(now);
    let mut store = ConfigStore::with_config(crate::model::Config::default());
    let plan = crate::model::Plan {
        name: "a".into(),
        key_hashes: vec![],
        home_region: "r".into(),
    };
    store
        .edit(&Change {
            plans: vec![plan],
            ..Change::default()
        })
        .unwrap();
    let req = subscribe(1, 1);
    children.subscribe(&req, 0, now);
    let directory = crate::endpoints::Directory::default();
    let mut frames = |at| children.frames(&store, &directory, 0, at).unwrap();
    assert!(frames(now)[0].1.config.is_some());
    assert!(frames(now + HEARTBEAT / 2).is_empty());
    let heartbeats = frames(now + HEARTBEAT);
    assert!(heartbeats[0].1.config.is_none() && heartbeats[0].1.number == 2);
}

/// Guards against a duplicate subscription that resets the sequence numbers: the child would drop
/// the changes in these frames as duplicates and keep an old version.
#[test]
fn a_repeated_subscription_keeps_the_sequence_numbers() {
    let now = Instant::now();
    let mut children = Children::new(now);
    let store = ConfigStore::with_config(crate::model::Config::default());
    let directory = crate::endpoints::Directory::default();
    let mut req = subscribe(3, 7);
    children.subscribe(&req, 2, now);
    assert_eq!(
        children.frames(&store, &directory, 0, now).unwrap()[0]
            .1
            .number,
        1
    );
    assert_eq!(children.subscribe(&req, 2, now), SubscribeReply::Accepted);
    req.stream = 6;
    assert_eq!(children.subscribe(&req, 2, now), SubscribeReply::Accepted);
    let next = children
        .frames(&store, &directory, 0, now + HEARTBEAT)
        .unwrap();
    assert_eq!((next[0].1.stream, next[0].1.number), (7, 2));
    let ahead = Report {
        stream: 7,
        last_frame: 3,
        ..report(member(1, 0), Role::Leaf)
    };
    assert!(
        !children.report(&ahead, now),
        "the child has processed frames that were not sent"
    );
    assert!(children.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x7375_6d6d),
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
            let part = DataCentreSummary::of_daemon(&member.daemon, &member.data_centre, Version(*version), Some("slow"));
            let mut single = Summary::default();
            single.add(&part);
            summary.merge(&single);
        }
        prop_assert_eq!(summary.daemons() as usize, versions.len());
        prop_assert_eq!(summary.lowest(), versions.iter().map(|(_, version)| Version(*version)).min());
        for part in &summary.data_centres {
            prop_assert!(part.lagging.len() <= MAX_LAGGING);
            prop_assert_eq!(part.lagging.first().map(|lagging| lagging.version), Some(part.lowest));
        }
        prop_assert!(wire::encode(&summary).unwrap().len() < 8_192);
    }

    /// Guards against epochs that decrease when leaders and relays change.
    #[test]
    fn epochs_only_increase(events in prop::collection::vec((0..6_usize, any::<bool>(), 0..2_500_u64), 1..60)) {
        let mut now = Instant::now();
        let mut term = 1;
        let mut table = RelayTable::new(term, now);
        let mut newest: BTreeMap<DataCentre, (Epoch, DaemonName)> = BTreeMap::new();
        for (daemon, change, wait) in events {
            now += Duration::from_millis(wait);
            if change {
                term += 1;
                table = RelayTable::new(term, now);
                now += NEW_LEADER_GRACE;
            }
            let member = member(daemon, daemon % 2);
            let AttachReply::Attached(attached) = table.attach(&attach(member.clone()), None, now) else { continue };
            let Some(epoch) = attached.role.epoch() else { continue };
            let held = newest.insert(member.data_centre, (epoch, member.daemon));
            prop_assert!(held.is_none_or(|(held, _)| held < epoch));
        }
    }
}

/// Guards against a daemon that waits for seconds between requests to two control replicas after
/// the loss of its parent; a version must be in force within 2 s of its acceptance wherever control
/// is reachable.
#[test]
fn a_direct_daemon_asks_all_control_replicas_within_two_seconds() {
    const REPLICAS: u32 = 5;
    let start = Instant::now();
    for seed in 0..50 {
        let mut uplink = Uplink::new(member(1, 0), 1, REPLICAS, start).direct();
        let mut asked = Vec::new();
        for tick in 0..20 {
            let now = start + Duration::from_millis(100 * tick);
            for effect in uplink.step(now, seed * 1_000 + tick, Event::Tick) {
                let Effect::AskControl { control, .. } = effect else {
                    continue;
                };
                asked.push(control);
                let reply = Some(AttachReply::NotLeader { leader: None });
                uplink.step(now, seed, Event::Attach { control, reply });
            }
        }
        let all = (0..REPLICAS).all(|control| asked.contains(&control));
        assert!(all, "seed {seed}: asked {asked:?}");
    }
}

/// Guards against a daemon that gets versions from a leader that is partitioned from its group.
#[test]
fn a_direct_daemon_follows_confirmed_leaders_only() {
    let start = Instant::now();
    let mut uplink = Uplink::new(member(1, 0), 1, 3, start).direct();
    let later = start + Duration::from_secs(1);
    let asked = uplink.step(later, 1, Event::Tick);
    let Some(Effect::AskControl { control, .. }) = asked.first() else {
        panic!("no request to control: {asked:?}");
    };
    let attached = Attached {
        parent: Parent::Control,
        role: Role::RegionRelay {
            epoch: Epoch::granted(1, 1),
        },
        floor: None,
        term: 1,
    };
    let reply = Some(AttachReply::Attached(attached));
    let control = *control;
    let effects = uplink.step(later, 2, Event::Attach { control, reply });
    let subscribes = |effect: &Effect| matches!(effect, Effect::SubscribeControl { .. });
    assert!(!effects.iter().any(subscribes), "{effects:?}");
}

/// Guards against a daemon that treats the end of a refused stream as the loss of its parent: it
/// would send an attach request instead of the subscription after the retry delay.
#[test]
fn a_refused_subscription_is_sent_again_after_its_stream_has_ended() {
    let start = Instant::now();
    let later = start + Duration::from_secs(1);
    let mut uplink = Uplink::new(member(1, 0), 1, 3, start).direct();
    uplink.step(later, 1, Event::Tick);
    let attached = Attached {
        parent: Parent::Control,
        role: Role::RegionRelay {
            epoch: Epoch::granted(1, 1),
        },
        floor: Some(Version(1)),
        term: 1,
    };
    let reply = Some(AttachReply::Attached(attached));
    let effects = uplink.step(later, 2, Event::Attach { control: 0, reply });
    let stream = effects.iter().find_map(|effect| match effect {
        Effect::SubscribeControl { req, .. } => Some(req.stream),
        _ => None,
    });
    let stream = stream.expect("the daemon subscribes");
    let reply = Some(SubscribeReply::Refused { retry_after_ms: 30 });
    uplink.step(later, 3, Event::Subscribed { stream, reply });
    uplink.step(later, 4, Event::StreamLost { stream });
    let due = later + Duration::from_millis(30);
    let effects = uplink.step(due, 5, Event::Tick);
    let subscribes = |effect: &Effect| matches!(effect, Effect::SubscribeControl { .. });
    assert!(effects.iter().any(subscribes), "{effects:?}");
}
