//! Simulation in virtual time: three regions with two data centres each and many daemons.

use {
    super::{
        super::{
            Allocation, Answer, Child, Demand, LeasePolicy, Limiter, Relay, Share, ShareAllocator,
        },
        CallWindow,
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

const REGIONS: usize = 3;
const CENTRES: usize = 6;
const STEP: Duration = Duration::from_millis(5);
/// One-way latency between the root and a region; inside a region it is one step.
const REGION_LATENCY: Duration = Duration::from_millis(15);
/// Maximum time that a call waits for a credit.
const MAX_CALL_WAIT: Duration = Duration::from_secs(1);
/// A call with less time left does not request a credit.
const MIN_WAIT: Duration = Duration::from_millis(150);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Node {
    Root,
    Region(usize),
    Centre(usize),
    Daemon(usize),
}

#[derive(Debug)]
enum Body {
    Demand(Demand),
    Share(Share),
}

struct Daemon {
    limiter: Limiter,
    /// Arrival times of the waiting calls.
    waiting: Vec<Instant>,
    /// Calls per second.
    load: f64,
    /// Calls that are due, as a fraction.
    due: f64,
    served: u32,
}

struct Tree {
    now: Instant,
    root: ShareAllocator,
    regions: Vec<Relay>,
    centres: Vec<Relay>,
    daemons: Vec<Daemon>,
    in_transit: BTreeMap<(Instant, u64), (Node, Node, Body)>,
    sent: u64,
    partitioned_region: Option<usize>,
    window: CallWindow,
}

impl Tree {
    fn new(capacity: u32, daemons: usize) -> Self {
        let now = Instant::now();
        let relays = |count| {
            (0..count)
                .map(|_| Relay::new(LeasePolicy::relay(), now))
                .collect()
        };
        Self {
            now,
            root: ShareAllocator::new(
                LeasePolicy::regions(REGIONS as u64),
                Allocation::root(capacity),
                now,
            ),
            regions: relays(REGIONS),
            centres: relays(CENTRES),
            daemons: (0..daemons)
                .map(|at| Daemon {
                    limiter: Limiter::new(now),
                    waiting: Vec::new(),
                    load: 0.0,
                    // Spreads the first calls of the daemons over time.
                    due: (at as f64 * 0.618).fract(),
                    served: 0,
                })
                .collect(),
            in_transit: BTreeMap::new(),
            sent: 0,
            partitioned_region: None,
            window: CallWindow::default(),
        }
    }

    fn send(&mut self, from: Node, to: Node, body: Body) {
        let region = match (from, to) {
            (Node::Root, Node::Region(at)) | (Node::Region(at), Node::Root) => Some(at),
            _ => None,
        };
        if region.is_some() && region == self.partitioned_region {
            return;
        }
        let delay = if region.is_some() {
            REGION_LATENCY
        } else {
            STEP
        };
        self.sent += 1;
        self.in_transit
            .insert((self.now + delay, self.sent), (from, to, body));
    }

    fn answer(&mut self, from: Node, answers: Vec<Answer>) {
        for (child, share) in answers {
            let at = child.name.parse().unwrap();
            let to = match from {
                Node::Root => Node::Region(at),
                Node::Region(_) => Node::Centre(at),
                _ => Node::Daemon(at),
            };
            self.send(from, to, Body::Share(share));
        }
    }

    fn receive(&mut self, from: Node, to: Node, body: &Body) {
        let now = self.now;
        let child = |at: usize| Child::new(&at.to_string(), 1);
        let answers = match (to, from, body) {
            (Node::Root, Node::Region(at), Body::Demand(demand)) => {
                self.root.report(&child(at), demand, now)
            }
            (Node::Region(to), Node::Centre(at), Body::Demand(demand)) => {
                self.regions[to].child_report(&child(at), demand, now)
            }
            (Node::Centre(to), Node::Daemon(at), Body::Demand(demand)) => {
                self.centres[to].child_report(&child(at), demand, now)
            }
            (Node::Region(at), _, Body::Share(share)) => self.regions[at].apply(share, now),
            (Node::Centre(at), _, Body::Share(share)) => self.centres[at].apply(share, now),
            (Node::Daemon(at), _, Body::Share(share)) => {
                self.daemons[at].limiter.apply(share, now);
                Vec::new()
            }
            other => panic!("unexpected message: {other:?}"),
        };
        self.answer(to, answers);
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some(entry) = self
            .in_transit
            .first_entry()
            .filter(|e| e.key().0 <= self.now)
        {
            let (from, to, body) = entry.remove();
            self.receive(from, to, &body);
        }
        self.step_daemons();
        for at in 0..CENTRES {
            let answers = self.centres[at].tick(self.now);
            self.answer(Node::Centre(at), answers);
            if self.centres[at].report_due(self.now) {
                let demand = self.centres[at].report(self.now);
                let to = Node::Region(at / 2);
                self.send(Node::Centre(at), to, Body::Demand(demand));
            }
        }
        for at in 0..REGIONS {
            let answers = self.regions[at].tick(self.now);
            self.answer(Node::Region(at), answers);
            if self.regions[at].report_due(self.now) {
                let demand = self.regions[at].report(self.now);
                self.send(Node::Region(at), Node::Root, Body::Demand(demand));
            }
        }
        let answers = self.root.tick(self.now);
        self.answer(Node::Root, answers);
    }

    fn step_daemons(&mut self) {
        let now = self.now;
        let mut reports = Vec::new();
        for (at, daemon) in self.daemons.iter_mut().enumerate() {
            daemon.waiting.retain(|since| now < *since + MAX_CALL_WAIT);
            while !daemon.waiting.is_empty() && daemon.limiter.retry_take(now) {
                daemon.waiting.remove(0);
                daemon.served += 1;
                self.window.record(now);
            }
            daemon.due += daemon.load * STEP.as_secs_f64();
            while daemon.due >= 1.0 {
                daemon.due -= 1.0;
                if daemon.limiter.try_take(now) {
                    daemon.served += 1;
                    self.window.record(now);
                } else if daemon.waiting.len() < 50 {
                    daemon.waiting.push(now);
                }
            }
            let can_wait = |since: &&Instant| now + MIN_WAIT < **since + MAX_CALL_WAIT;
            let waiting_calls = daemon.waiting.iter().filter(can_wait).count() as u32;
            if daemon.limiter.report_due(waiting_calls, now) {
                reports.push((at, daemon.limiter.report(waiting_calls, now)));
            }
        }
        for (at, demand) in reports {
            let to = Node::Centre(at % CENTRES);
            self.send(Node::Daemon(at), to, Body::Demand(demand));
        }
    }

    /// Runs for `seconds` and returns the admitted calls per second.
    fn run(&mut self, seconds: u32) -> f64 {
        self.daemons.iter_mut().for_each(|daemon| daemon.served = 0);
        for _ in 0..seconds * 200 {
            self.step();
        }
        let served: u32 = self.daemons.iter().map(|daemon| daemon.served).sum();
        f64::from(served) / f64::from(seconds)
    }

    fn load(&mut self, load: impl Fn(usize) -> f64) {
        for (at, daemon) in self.daemons.iter_mut().enumerate() {
            daemon.load = load(at);
        }
    }

    fn served_in(&self, region: usize) -> u32 {
        let inside = |at: &usize| at % CENTRES / 2 == region;
        let daemons = self.daemons.iter().enumerate();
        daemons
            .filter(|(at, _)| inside(at))
            .map(|(_, d)| d.served)
            .sum()
    }
}

/// Guards against using less or more than the capacity when many daemons share it, down to a
/// fraction of a call per second for each.
#[test]
fn demand_everywhere_gets_the_whole_capacity() {
    for capacity in [10, 100, 3_000] {
        let mut tree = Tree::new(capacity, 300);
        tree.load(|_| f64::from(capacity) * 2.0 / 300.0);
        tree.run(3);
        let rate = tree.run(10);
        assert!(rate >= 0.95 * f64::from(capacity), "{rate} of {capacity}");
        tree.window.check(capacity);
    }
}

/// Guards against capacity that stays leased to daemons without demand.
#[test]
fn demand_on_one_daemon_gets_the_whole_capacity_within_two_seconds() {
    for capacity in [10, 1_000] {
        let mut tree = Tree::new(capacity, 60);
        tree.load(|_| f64::from(capacity) * 2.0 / 60.0);
        tree.run(3);
        tree.load(|at| {
            if at == 7 {
                f64::from(capacity) * 3.0
            } else {
                0.0
            }
        });
        tree.run(2);
        let rate = tree.run(10);
        assert!(rate >= 0.95 * f64::from(capacity), "{rate} of {capacity}");
        tree.window.check(capacity);
    }
}

/// Guards against a partitioned region that loses its guaranteed quota, against calls beyond the
/// capacity during the partition, and against the rest of its share staying unused.
#[test]
fn region_that_is_cut_off_keeps_its_part() {
    for capacity in [10, 600] {
        let mut tree = Tree::new(capacity, 30);
        tree.load(|_| f64::from(capacity) / 10.0);
        tree.run(5);
        tree.partitioned_region = Some(1);
        tree.run(3);
        let rate = tree.run(30);
        let part = f64::from(tree.served_in(1)) / 30.0 / f64::from(capacity);
        assert!(
            (0.13..0.25).contains(&part),
            "the partitioned region uses {part} of {capacity}"
        );
        assert!(rate >= 0.95 * f64::from(capacity), "{rate} of {capacity}");
        tree.partitioned_region = None;
        tree.run(2);
        let rate = tree.run(10);
        let part = f64::from(tree.served_in(1)) / 10.0 / f64::from(capacity);
        assert!(
            part > 0.3,
            "the reconnected region gets {part} of {capacity}"
        );
        assert!(rate >= 0.95 * f64::from(capacity), "{rate} of {capacity}");
        tree.window.check(capacity);
    }
}

/// Guards against a new daemon that has to wait until the lease of another daemon expires.
#[test]
fn new_daemon_gets_calls_at_once() {
    let mut tree = Tree::new(1_000, 60);
    tree.load(|at| if at == 0 { 5_000.0 } else { 0.0 });
    tree.run(3);
    tree.load(|at| if at < 2 { 5_000.0 } else { 0.0 });
    tree.daemons.iter_mut().for_each(|daemon| daemon.served = 0);
    for _ in 0..40 {
        tree.step();
    }
    let served = tree.daemons[1].served;
    assert!(
        served > 0,
        "no call of the new daemon was admitted within 200 ms"
    );
}

/// Guards against endless reports about grants without demand.
#[test]
fn grant_without_demand_is_not_reported() {
    let mut tree = Tree::new(100, 60);
    tree.run(2);
    assert_eq!(tree.sent, 0);
    tree.load(|_| 1.0);
    tree.run(2);
    tree.load(|_| 0.0);
    tree.run(5);
    let before = tree.sent;
    tree.run(5);
    assert_eq!(
        tree.sent, before,
        "messages were sent long after the last call"
    );
}
