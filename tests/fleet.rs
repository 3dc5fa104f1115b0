//! Distribution tree of 30, 300 and 2,600 daemons in virtual time, with the links and processors of a
//! deployment: join of all, loss of a source at each level, a change of the leader in a storm of
//! edits, daemons that come and go. Each counts what a source sends.

mod tree;

use {
    anvilbeam::{
        edits::EditReply,
        relays::{CONTROL_CHILDREN, DAEMON_CHILDREN, Uplink},
    },
    std::time::Duration,
    tree::{Limits, Node, Shape, TICK, Traffic, Tree, sample_change},
};

const SIZES: [usize; 3] = [30, 300, 2_600];

/// Links in bytes per second: 3.78 Mbit/s at a daemon and 170 Mbit/s at control.
const DAEMON_LINK: f64 = 3.78e6 / 8.0;
const CONTROL_LINK: f64 = 170e6 / 8.0;

/// Time within which a version must be in force everywhere.
const APPLY_TIME: Duration = Duration::from_millis(2_500);

/// Time within which all daemons must be ready after all processes have started at once.
const JOIN_TIME: Duration = Duration::from_secs(8);

/// Share of a link and of a processor that distribution may use over a few seconds.
const MAX_SHARE: f64 = 0.5;

const fn shape(daemons: usize) -> Shape {
    Shape {
        controls: 5,
        daemons,
        data_centres: 8,
        regions: 2,
        control_children: CONTROL_CHILDREN,
        daemon_children: DAEMON_CHILDREN,
        // All records of the largest fleet at all daemons would take gigabytes.
        announcing: if daemons > 1_000 { 20 } else { 1 },
    }
}

/// Starts all processes at once, with the limits of a deployment and one version accepted.
fn start(daemons: usize, seed: u64) -> Tree {
    let mut tree = Tree::new(shape(daemons), seed);
    tree.daemon_limits = Limits {
        cores: Some(0.1),
        link: Some(DAEMON_LINK),
    };
    tree.control_limits = Limits {
        cores: Some(0.3),
        link: Some(CONTROL_LINK),
    };
    edit(&mut tree, 1);
    tree
}

fn edit(tree: &mut Tree, n: u8) {
    let base = tree.newest_version();
    let reply = tree.edit(u128::from(base.0) << 8, base, sample_change(n));
    let version = base.next();
    assert_eq!(reply, EditReply::Accepted { version });
}

fn run(tree: &mut Tree, time: Duration) {
    for _ in 0..time.as_millis() / TICK.as_millis() {
        tree.tick();
    }
}

/// Runs until all daemons have the newest version in force; returns the time that it took.
fn run_until_current(tree: &mut Tree, limit: Duration) -> Duration {
    let start = tree.now;
    while !tree.lagging().is_empty() {
        let lagging = tree.lagging().len();
        assert!(
            tree.now < start + limit,
            "{lagging} daemons lag after {limit:?}"
        );
        tree.tick();
    }
    tree.now - start
}

/// Checks that no process has sent or handled more in `time` than a share of its link and processor.
fn check_work(tree: &Tree, time: Duration, what: &str) {
    let seconds = time.as_secs_f64();
    for (node, traffic) in &tree.traffic {
        let (link, cores) = match node {
            Node::Control(_) => (CONTROL_LINK, 0.3),
            Node::Daemon(_) => (DAEMON_LINK, 0.1),
        };
        let Traffic {
            messages,
            bytes,
            handled,
        } = *traffic;
        let link_share = bytes as f64 / seconds / link;
        let processor_share = handled as f64 * 150e-6 / seconds / cores;
        assert!(
            link_share < MAX_SHARE && processor_share < MAX_SHARE,
            "{what}: {node:?} used {link_share:.2} of its link and {processor_share:.2} of its \
             processor in {seconds:.1} s, with {messages} messages sent and {handled} received"
        );
    }
}

/// Checks that daemons in different places know the endpoints of all others but the lost one.
fn check_records(tree: &Tree, lost: Option<usize>) {
    let announcing = tree.shape.daemons.div_ceil(tree.shape.announcing);
    for daemon in [1, tree.shape.daemons / 2 + 1, tree.shape.daemons - 2] {
        if Some(daemon) != lost {
            let mut known = tree.known_daemons(daemon);
            known.retain(|n| Some(*n) != lost);
            let missing =
                usize::from(lost.is_some_and(|n| n.is_multiple_of(tree.shape.announcing)));
            assert_eq!(known.len(), announcing - missing, "at daemon {daemon}");
        }
    }
}

/// Returns the numbers of children of all control replicas and of all daemons.
fn children(tree: &Tree) -> (Vec<usize>, Vec<usize>) {
    let daemons =
        |children: &anvilbeam::relays::Children| children.len() - children.replicas().count();
    let controls = tree.controls.iter();
    let controls = controls.map(|control| daemons(control.hub.children()));
    let relays = tree.running_daemons();
    let relays = relays.map(|(_, uplink)| uplink.children().len());
    (controls.collect(), relays.collect())
}

fn joined(daemons: usize, seed: u64) -> Tree {
    let mut tree = start(daemons, seed);
    run_until_current(&mut tree, JOIN_TIME);
    run(&mut tree, Duration::from_secs(3));
    tree.traffic.clear();
    tree
}

/// Guards against a start of all daemons that overloads a source or takes long, against sources with
/// more children than they can feed, and against daemons that don't learn all endpoints.
#[test]
fn all_daemons_join_at_once() {
    for daemons in SIZES {
        let mut tree = start(daemons, 1);
        let took = run_until_current(&mut tree, JOIN_TIME);
        check_work(&tree, JOIN_TIME, "join");
        run(&mut tree, JOIN_TIME.saturating_sub(took));
        let (controls, relays) = children(&tree);
        assert!(controls.iter().all(|count| *count <= CONTROL_CHILDREN));
        assert!(relays.iter().all(|count| *count <= DAEMON_CHILDREN));
        check_records(&tree, None);
        let summary = tree.controls[0].hub.summary();
        assert_eq!(summary.daemons() as usize, daemons);
        assert_eq!(summary.lowest(), Some(tree.newest_version()));
    }
}

/// Guards against a steady state that costs a daemon or control more than planned: 27 KB/s and 2.7% of
/// a core for a daemon.
#[test]
fn the_steady_state_is_cheap() {
    for daemons in SIZES {
        let mut tree = joined(daemons, 2);
        let time = Duration::from_secs(4);
        run(&mut tree, time);
        let seconds = time.as_secs_f64();
        let (mut busiest, mut most_bytes) = (0.0_f64, 0.0_f64);
        for (node, traffic) in &tree.traffic {
            if matches!(node, Node::Daemon(_)) {
                busiest = busiest.max(traffic.handled as f64 * 150e-6 / seconds);
                most_bytes = most_bytes.max(traffic.bytes as f64 / seconds);
            }
        }
        assert!(busiest < 0.027, "{daemons} daemons: {busiest:.4} cores");
        assert!(most_bytes < 27e3, "{daemons} daemons: {most_bytes:.0} B/s");
        check_work(&tree, time, "steady state");
    }
}

/// Guards against an edit that reaches a level of the tree late, and against a storm of edits in which
/// daemons fall behind or a change of the leader interrupts them.
#[test]
fn edits_are_in_force_in_time_during_a_change_of_the_leader() {
    for daemons in SIZES {
        let mut tree = joined(daemons, 3);
        let begin = tree.now;
        let mut n = 0;
        while tree.now < begin + Duration::from_secs(4) {
            n += 1;
            if tree.leader.is_some() {
                edit(&mut tree, n);
            }
            // The group has no leader between 1 s and 1.8 s.
            match n {
                5 => tree.leader = None,
                9 => tree.change_leader(false),
                _ => {}
            }
            run(&mut tree, TICK * 2);
        }
        run_until_current(&mut tree, APPLY_TIME);
        check_work(&tree, tree.now - begin, "storm");
        check_records(&tree, None);
    }
}

/// Returns a process that feeds others at each level: the leader, another replica, and daemons.
fn sources(tree: &Tree) -> Vec<Node> {
    let mut out = vec![Node::Control(0), Node::Control(1)];
    for level in 1..4 {
        let feeds = |(_, uplink): &(usize, &Uplink)| {
            uplink.level() == level && !uplink.children().is_empty()
        };
        let daemon = tree.running_daemons().find(feeds);
        out.extend(daemon.map(|(n, _)| Node::Daemon(n)));
    }
    out
}

/// Guards against children of a lost source that find another one late or all at the same one, and
/// against endpoints that vanish meanwhile. The source is killed, or falls silent.
#[test]
fn the_loss_of_a_source_at_each_level_is_made_up_in_time() {
    for daemons in SIZES {
        let whole = joined(daemons, 4);
        for silent in [false, true] {
            for source in sources(&whole) {
                let mut tree = whole.clone();
                match source {
                    Node::Control(n) if silent => {
                        tree.frozen.push(source);
                        if n == 0 {
                            tree.change_leader(false);
                        }
                    }
                    Node::Control(n) => {
                        tree.crash_control(n);
                        if n == 0 {
                            tree.change_leader(false);
                        }
                    }
                    Node::Daemon(_) if silent => tree.frozen.push(source),
                    Node::Daemon(n) => tree.crash(n),
                }
                run(&mut tree, TICK * 5);
                edit(&mut tree, 7);
                let lost = match source {
                    Node::Daemon(n) => Some(n),
                    Node::Control(_) => None,
                };
                let begin = tree.now;
                loop {
                    let mut lagging = tree.lagging();
                    lagging.retain(|n| Some(*n) != lost);
                    if lagging.is_empty() {
                        break;
                    }
                    assert!(
                        tree.now < begin + APPLY_TIME,
                        "{daemons} daemons, {source:?} lost, silent {silent}: {} lag",
                        lagging.len()
                    );
                    tree.tick();
                }
                run(&mut tree, Duration::from_secs(2));
                check_work(&tree, Duration::from_secs(4), "loss of a source");
                check_records(&tree, lost);
            }
        }
    }
}

/// Guards against a fleet in which restarts cost more than the change itself: one in ten daemons
/// restarts within five seconds.
#[test]
fn daemons_that_come_and_go_are_known_in_time() {
    for daemons in SIZES {
        let mut tree = joined(daemons, 5);
        let begin = tree.now;
        let restarted = daemons / 10;
        for n in 0..restarted {
            // Spread over all places and levels.
            let daemon = n * 7 % daemons;
            tree.start(daemon);
            let due = begin + Duration::from_secs(5) * (n as u32 + 1) / restarted as u32;
            while tree.now < due {
                tree.tick();
            }
        }
        run_until_current(&mut tree, APPLY_TIME);
        check_work(&tree, tree.now - begin, "restarts");
        run(&mut tree, Duration::from_secs(2));
        check_records(&tree, None);
    }
}
