//! No process becomes its own ancestor, whatever control answers and however messages cross.

use {
    anvilbeam::{endpoints::Epoch, model::*, relays::*},
    proptest::{prelude::*, test_runner::RngSeed},
    std::time::{Duration, Instant},
};

const DAEMONS: usize = 5;

fn member(daemon: usize) -> Member {
    Member {
        daemon: format!("daemon-{daemon}").as_str().into(),
        address: ([10, 0, 0, daemon as u8], 7000).into(),
        data_centre: "dc-1".into(),
        region: "region-1".into(),
    }
}

fn number(name: &DaemonName) -> usize {
    name.as_str()["daemon-".len()..].parse().unwrap()
}

#[derive(Clone, Debug)]
enum Step {
    /// Control names a parent and a level, as several leaders with different tables could.
    Place {
        daemon: usize,
        parent: usize,
        level: u8,
    },
    /// No control replica answers.
    Outage(usize),
    Deliver(prop::sample::Index),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..DAEMONS, 0..DAEMONS, 2..4_u8).prop_map(|(daemon, parent, level)| Step::Place { daemon, parent, level }),
        2 => (0..DAEMONS).prop_map(Step::Outage),
        8 => any::<prop::sample::Index>().prop_map(Step::Deliver),
        1 => (100..900_u64).prop_map(Step::Wait),
    ]
}

struct Net {
    now: Instant,
    random: u64,
    daemons: Vec<Uplink>,
    messages: Vec<(usize, Event)>,
}

impl Net {
    fn new() -> Self {
        let now = Instant::now();
        let daemons = (0..DAEMONS)
            .map(|n| Uplink::new(member(n), 1, 1, now))
            .collect();
        let mut net = Self {
            now,
            random: 1,
            daemons,
            messages: vec![],
        };
        for n in 0..DAEMONS {
            let members = (0..DAEMONS)
                .map(|n| (member(n).daemon, member(n).address))
                .collect();
            net.step(n, Event::Members(members));
        }
        net
    }

    fn step(&mut self, daemon: usize, event: Event) -> Option<u32> {
        self.random += 1;
        let mut asked = None;
        for effect in self.daemons[daemon].step(self.now, self.random, event) {
            let message = match effect {
                Effect::AskControl { control, .. } => {
                    asked = Some(control);
                    continue;
                }
                Effect::SubscribeDaemon { name, req, .. } => (number(&name), Event::Subscribe(req)),
                Effect::Answer {
                    child,
                    stream,
                    reply,
                } => (
                    number(&child),
                    Event::Subscribed {
                        stream,
                        reply: Some(reply),
                    },
                ),
                Effect::Report(report) => {
                    let Some((Some(parent), _)) = self.daemons[daemon].parent() else {
                        continue;
                    };
                    (number(parent), Event::Report(report))
                }
                Effect::Update { child, update } => (number(&child), Event::Update(update)),
                Effect::DropChildren(children) => {
                    let lost = children
                        .into_iter()
                        .map(|(child, stream)| (number(&child), Event::StreamLost { stream }));
                    self.messages.extend(lost);
                    continue;
                }
                _ => continue,
            };
            self.messages.push(message);
        }
        asked
    }

    /// Waits until the daemon asks control, and answers.
    fn answer(&mut self, daemon: usize, reply: Option<&AttachReply>) {
        for _ in 0..40 {
            if let Some(control) = self.step(daemon, Event::Tick) {
                self.step(
                    daemon,
                    Event::Attach {
                        control,
                        reply: reply.cloned(),
                    },
                );
                return;
            }
            self.now += Duration::from_millis(50);
        }
    }

    fn run(&mut self, step: &Step) {
        match step {
            Step::Place {
                daemon,
                parent,
                level,
            } if daemon != parent => {
                let Member {
                    daemon: name,
                    address,
                    ..
                } = member(*parent);
                let epoch = Epoch::granted(1, self.random);
                let role = if *level == 2 {
                    Role::DataCentreRelay { epoch }
                } else {
                    Role::Leaf
                };
                let parent = Parent::Daemon { name, address };
                let reply = AttachReply::Attached(Attached {
                    parent,
                    role,
                    floor: Some(Version(0)),
                    term: 1,
                });
                self.answer(*daemon, Some(&reply));
            }
            Step::Outage(daemon) => self.answer(*daemon, None),
            Step::Deliver(at) if !self.messages.is_empty() => {
                let (to, event) = self.messages.remove(at.index(self.messages.len()));
                self.step(to, event);
            }
            Step::Place { .. } | Step::Deliver(_) => {}
            Step::Wait(ms) => {
                self.now += Duration::from_millis(*ms);
                for n in 0..DAEMONS {
                    self.step(n, Event::Tick);
                }
            }
        }
    }

    /// Delivers all messages in order, but for those to a process that is gone.
    fn deliver_all(&mut self, gone: usize) {
        while !self.messages.is_empty() {
            let (to, event) = self.messages.remove(0);
            if to != gone {
                self.step(to, event);
            }
        }
    }

    /// The parent with which a daemon agrees on a stream.
    fn parent(&self, daemon: usize) -> Option<usize> {
        let (name, stream) = self.daemons[daemon].parent()?;
        let parent = number(name?);
        let agreed = self.daemons[parent]
            .children()
            .stream(&member(daemon).daemon);
        (agreed == Some(stream)).then_some(parent)
    }

    fn loops(&self) -> Option<usize> {
        let is_own_ancestor = |first: &usize| {
            let mut at = self.parent(*first);
            for _ in 0..DAEMONS {
                if at == Some(*first) {
                    return true;
                }
                at = at.and_then(|at| self.parent(at));
            }
            false
        };
        (0..DAEMONS).find(is_own_ancestor)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x6c6f_6f70),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    })]

    /// Guards against loops over any number of hops from contradicting or crossing answers.
    #[test]
    fn no_daemon_is_its_own_ancestor(steps in prop::collection::vec(step(), 1..80)) {
        let mut net = Net::new();
        for step in &steps {
            net.run(step);
            prop_assert_eq!(net.loops(), None);
        }
    }
}

/// Guards against a loop of three daemons that are told at once to subscribe at each other.
#[test]
fn a_ring_of_three_is_not_closed() {
    let mut net = Net::new();
    for (daemon, parent) in [(0, 1), (1, 2), (2, 0)] {
        net.run(&Step::Place {
            daemon,
            parent,
            level: 3,
        });
    }
    while !net.messages.is_empty() {
        let (to, event) = net.messages.remove(0);
        net.step(to, event);
        assert_eq!(net.loops(), None);
    }
}

/// Guards against a former relay that keeps its children when it becomes a leaf, and then takes
/// one of them as the interim parent.
#[test]
fn a_former_relay_does_not_follow_its_own_child() {
    let mut net = Net::new();
    let mut order: Vec<_> = (0..DAEMONS).collect();
    order.sort_by_key(|n| interim_hash(&"dc-1".into(), &member(*n).daemon));
    let (child, relay, gone) = (order[0], order[1], order[2]);
    net.run(&Step::Place {
        daemon: relay,
        parent: gone,
        level: 2,
    });
    net.messages.clear();
    net.run(&Step::Place {
        daemon: child,
        parent: relay,
        level: 3,
    });
    net.deliver_all(gone);
    assert_eq!(net.parent(child), Some(relay));
    // The child doesn't hear that the relay has dropped it.
    net.run(&Step::Place {
        daemon: relay,
        parent: gone,
        level: 3,
    });
    net.messages
        .retain(|(_, event)| !matches!(event, Event::StreamLost { .. }));
    for _ in 0..40 {
        net.now += Duration::from_millis(100);
        net.step(child, Event::Tick);
        if let Some(control) = net.step(relay, Event::Tick) {
            let reply = None;
            net.step(relay, Event::Attach { control, reply });
        }
        net.deliver_all(gone);
        assert_eq!(net.loops(), None);
    }
    assert_eq!(net.parent(relay), Some(child));
}
