use {
    super::*,
    crate::model::ServerState,
    proptest::{prelude::*, test_runner::RngSeed},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Instant,
    },
};

fn endpoint(daemon: u8, state: ServerState) -> Endpoint {
    Endpoint {
        server: format!("server-{daemon}").as_str().into(),
        service: "charts".into(),
        daemon: name(daemon),
        address: ([10, 0, 0, daemon], 7000).into(),
        data_centre: "dc-1".into(),
        region: "lothian".into(),
        slots: 10,
        state,
        incarnation: 1,
    }
}

fn name(daemon: u8) -> DaemonName {
    format!("daemon-{daemon}").as_str().into()
}

const fn stamp(number: u64) -> Stamp {
    Stamp {
        incarnation: 1,
        number,
        lapsed: false,
    }
}

fn record(daemon: u8, number: u64) -> Record {
    Record {
        daemon: name(daemon),
        stamp: stamp(number),
        endpoints: vec![endpoint(daemon, ServerState::Serving)],
    }
}

fn daemons(directory: &Directory) -> Vec<String> {
    let mut names: Vec<_> = directory
        .iter()
        .map(|endpoint| endpoint.daemon.to_string())
        .collect();
    names.sort();
    names
}

/// Returns a directory with the records of daemons 1 and 2, which are children.
fn with_two_children(now: Instant) -> Directory {
    let mut directory = Directory::default();
    for daemon in [1, 2] {
        let child = name(daemon);
        let origin = Origin::Child(&child);
        directory.apply(record(daemon, 1), origin, now).unwrap();
    }
    directory
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x656e_6470),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a result that depends on the order, the number or the path of the records. The
    /// oracle is the newest stamp of each daemon.
    #[test]
    fn the_newest_record_of_each_daemon_stays(
        records in prop::collection::vec((0..6_u8, 0..8_u64, any::<bool>(), any::<bool>()), 1..80),
    ) {
        let now = Instant::now();
        let mut directory = Directory::default();
        let mut newest: BTreeMap<u8, Stamp> = BTreeMap::new();
        for (daemon, number, lapsed, from_child) in records {
            let stamp = Stamp { lapsed, ..stamp(number) };
            let endpoints = if lapsed { vec![] } else { vec![endpoint(daemon, ServerState::Serving)] };
            let record = Record { daemon: name(daemon), stamp, endpoints };
            let child = name(daemon);
            let origin = if from_child { Origin::Child(&child) } else { Origin::Elsewhere };
            directory.apply(record, origin, now).unwrap();
            let held = newest.entry(daemon).or_insert(stamp);
            *held = stamp.max(*held);
        }
        for (daemon, stamp) in &newest {
            prop_assert_eq!(directory.get(&name(*daemon)).unwrap().stamp, *stamp);
        }
        let serving: Vec<_> = newest
            .iter()
            .filter(|(_, stamp)| !stamp.lapsed)
            .map(|(daemon, _)| name(*daemon).to_string())
            .collect();
        prop_assert_eq!(daemons(&directory), serving);
    }

    /// Guards against a change that a child never gets, or gets twice: it reads the changes from time
    /// to time, and its copy has to equal the directory.
    #[test]
    fn changes_since_any_point_lead_to_the_same_state(
        steps in prop::collection::vec((0..6_u8, 1..9_u64, any::<bool>()), 1..80),
    ) {
        let now = Instant::now();
        let (mut directory, mut copy, mut seen) = (Directory::default(), Directory::default(), 0);
        for (daemon, number, read) in steps {
            directory.apply(record(daemon, number), Origin::Elsewhere, now).unwrap();
            if !read {
                continue;
            }
            let mut names = BTreeSet::new();
            for change in directory.changes_since(seen) {
                prop_assert!(names.insert(change.record.daemon.clone()), "sent twice");
                copy.apply(Record::clone(change.record), Origin::Elsewhere, now).unwrap();
            }
            seen = directory.last_change();
            prop_assert_eq!(copy.digest(), directory.digest());
            prop_assert_eq!(daemons(&copy), daemons(&directory));
        }
    }

    /// Guards against two processes whose records differ but whose digests don't tell which, and
    /// against sending all records after a small difference.
    #[test]
    fn digests_tell_the_records_that_differ(
        common in 1..200_u8,
        changed in prop::collection::btree_set(0..200_u8, 1..4),
    ) {
        let now = Instant::now();
        let (mut here, mut there) = (Directory::default(), Directory::default());
        for daemon in 0..common {
            here.apply(record(daemon, 1), Origin::Elsewhere, now).unwrap();
            there.apply(record(daemon, 1), Origin::Elsewhere, now).unwrap();
        }
        prop_assert_eq!(here.digest(), there.digest());
        prop_assert_eq!(here.differing(there.digests()).count(), 0);
        for daemon in &changed {
            here.apply(record(*daemon, 2), Origin::Elsewhere, now).unwrap();
        }
        prop_assert!(here.digest() != there.digest());
        let digests = *there.digests();
        let differing: Vec<_> = here.differing(&digests).cloned().collect();
        // Each of the 64 buckets holds a few of up to 200 records.
        prop_assert!(differing.len() <= changed.len() * 16, "{} of {common}", differing.len());
        for record in differing {
            there.apply(Record::clone(&record), Origin::Elsewhere, now).unwrap();
        }
        prop_assert_eq!(here.digest(), there.digest());
    }
}

/// Guards against the endpoints of a dead child that stay, and against those of a child that lapse
/// although it returns within its lease.
#[test]
fn the_record_of_a_lost_child_lapses_after_its_lease() {
    let start = Instant::now();
    let mut directory = with_two_children(start);
    directory.child_lost(&name(1), start);
    directory.child_lost(&name(2), start);
    let almost = start + ENDPOINT_LEASE.saturating_sub(Duration::from_millis(1));
    assert!(directory.expire(almost).is_empty());
    let child = name(2);
    let origin = Origin::Child(&child);
    directory.apply(record(2, 1), origin, almost).unwrap();
    let lapsed = directory.expire(start + ENDPOINT_LEASE);
    assert_eq!(lapsed.removed.len(), 1);
    assert_eq!(daemons(&directory), ["daemon-2"]);
    assert!(directory.get(&name(1)).unwrap().stamp.lapsed);
}

/// Guards against a process that takes its own pause for the silence of its children.
#[test]
fn a_pause_of_the_process_extends_the_leases() {
    let start = Instant::now();
    let mut directory = with_two_children(start);
    directory.child_lost(&name(1), start);
    let pause = Duration::from_secs(8);
    directory.extend_leases(pause);
    assert!(directory.expire(start + pause).is_empty());
    assert_eq!(
        directory
            .expire(start + pause + ENDPOINT_LEASE)
            .removed
            .len(),
        1
    );
}

/// Guards against a source that removes the endpoints of daemons behind a child that it has lost:
/// they may be subscribed elsewhere. Only the root decides, after its lease.
#[test]
fn only_the_root_lets_records_behind_a_lost_child_lapse() {
    let start = Instant::now();
    let relay = name(1);
    for root in [false, true] {
        let mut directory = Directory::default();
        if root {
            directory.start_leases(start);
        }
        let origin = Origin::Child(&relay);
        directory.apply(record(3, 1), origin, start).unwrap();
        directory.child_lost(&relay, start);
        assert!(directory.expire(start + ENDPOINT_LEASE).is_empty());
        let lapsed = directory.expire(start + TAKEOVER_LEASE);
        assert_eq!(lapsed.removed.len(), usize::from(root));
        let lost = directory.changes_since(0).any(|change| change.lost);
        assert_eq!(lost, !root, "the source has to learn it, the root has none");
    }
}

/// Guards against a record that lapses at the root because its daemon has moved to another child.
#[test]
fn a_daemon_that_moves_to_another_child_is_not_lost() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.start_leases(start);
    let (old, new) = (name(1), name(2));
    for child in [&old, &new] {
        directory
            .apply(record(3, 1), Origin::Child(child), start)
            .unwrap();
    }
    // The former child tells late that the daemon has left it.
    directory.lost_by(&old, &name(3), stamp(1), start);
    assert!(directory.expire(start + TAKEOVER_LEASE * 2).is_empty());
    directory.lost_by(&new, &name(3), stamp(1), start);
    assert_eq!(directory.expire(start + TAKEOVER_LEASE).removed.len(), 1);
}

/// Guards against a delayed record that brings back what has lapsed, and against a lapsed record that
/// hides a daemon that runs.
#[test]
fn a_lapsed_record_yields_to_a_newer_one_only() {
    let start = Instant::now();
    let mut directory = with_two_children(start);
    directory.child_lost(&name(1), start);
    directory.expire(start + ENDPOINT_LEASE);
    directory
        .apply(record(1, 1), Origin::Elsewhere, start)
        .unwrap();
    assert_eq!(daemons(&directory), ["daemon-2"]);
    directory
        .apply(record(1, 2), Origin::Elsewhere, start)
        .unwrap();
    assert_eq!(daemons(&directory), ["daemon-1", "daemon-2"]);
}

/// Guards against a delayed record that resets the draining state.
#[test]
fn a_late_record_does_not_undo_draining() {
    let now = Instant::now();
    let mut directory = Directory::default();
    let draining = Record {
        endpoints: vec![endpoint(1, ServerState::Draining)],
        ..record(1, 2)
    };
    for record in [record(1, 1), draining, record(1, 1)] {
        directory.apply(record, Origin::Elsewhere, now).unwrap();
    }
    let states: Vec<_> = directory.iter().map(|endpoint| endpoint.state).collect();
    assert_eq!(states, [ServerState::Draining]);
}

/// Guards against a partition that empties the routes of the side that is cut off from the root.
#[test]
fn records_outlive_a_partition_of_an_hour() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory
        .apply(record(1, 1), Origin::Elsewhere, start)
        .unwrap();
    assert!(directory.expire(start + Duration::from_hours(1)).is_empty());
    assert_eq!(daemons(&directory), ["daemon-1"]);
}

/// Guards against lapsed records that use memory for ever.
#[test]
fn a_lapsed_record_is_dropped_in_the_end() {
    let start = Instant::now();
    let mut directory = with_two_children(start);
    let before = directory.digest();
    directory
        .apply(record(3, 1), Origin::Child(&name(3)), start)
        .unwrap();
    directory.child_lost(&name(3), start);
    let lapsed = start + ENDPOINT_LEASE;
    directory.expire(lapsed);
    assert_eq!(directory.len(), 3);
    directory.expire(lapsed + LAPSED_RETENTION);
    assert_eq!(directory.len(), 2);
    assert_eq!(directory.digest(), before);
}

/// Guards against a record with endpoints of another daemon, or of any size.
#[test]
fn an_invalid_record_is_refused() {
    let now = Instant::now();
    let mut directory = with_two_children(now);
    let foreign = Record {
        endpoints: vec![endpoint(2, ServerState::Serving)],
        ..record(1, 2)
    };
    let large = Record {
        endpoints: vec![endpoint(1, ServerState::Serving); MAX_REPORTED_ENDPOINTS + 1],
        ..record(1, 2)
    };
    let lapsed = Record {
        stamp: stamp(2).lapsed(),
        ..record(1, 2)
    };
    for invalid in [foreign, large, lapsed] {
        let refused = directory.apply(invalid, Origin::Elsewhere, now);
        assert!(refused.is_err(), "{refused:?}");
    }
    assert_eq!(daemons(&directory), ["daemon-1", "daemon-2"]);
}
