//! No daemon becomes its own ancestor in the tree, whatever control answers and in whichever order
//! messages arrive.

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

fn index_of(name: &DaemonName) -> usize {
    name.as_str()["daemon-".len()..].parse().unwrap()
}

#[derive(Clone, Debug)]
enum Step {
    /// Control assigns a parent and a level; several leaders with different tables may contradict
    /// each other.
    AssignParent {
        daemon: usize,
        parent: usize,
        level: u8,
    },
    /// The attach request of this daemon to control fails.
    ControlUnavailable(usize),
    /// Delivers one of the messages in flight.
    Deliver(prop::sample::Index),
    /// Advances time by so many milliseconds.
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..DAEMONS, 0..DAEMONS, 2..4_u8)
            .prop_map(|(daemon, parent, level)| Step::AssignParent { daemon, parent, level }),
        2 => (0..DAEMONS).prop_map(Step::ControlUnavailable),
        8 => any::<prop::sample::Index>().prop_map(Step::Deliver),
        1 => (100..900_u64).prop_map(Step::Advance),
    ]
}

struct Network {
    now: Instant,
    rng_state: u64,
    daemons: Vec<Uplink>,
    messages: Vec<(usize, Event)>,
}

impl Network {
    fn new() -> Self {
        let now = Instant::now();
        let daemons = (0..DAEMONS)
            .map(|n| Uplink::new(member(n), 1, 1, now))
            .collect();
        let mut network = Self {
            now,
            rng_state: 1,
            daemons,
            messages: vec![],
        };
        for n in 0..DAEMONS {
            let members = (0..DAEMONS)
                .map(|n| (member(n).daemon, member(n).address))
                .collect();
            network.step(n, Event::Members(members));
        }
        network
    }

    /// Applies an event; returns the control replica that the daemon asks for a parent, if any.
    fn step(&mut self, daemon: usize, event: Event) -> Option<u32> {
        self.rng_state += 1;
        let mut attaching = None;
        for effect in self.daemons[daemon].step(self.now, self.rng_state, event) {
            let message = match effect {
                Effect::AskControl { control, .. } => {
                    attaching = Some(control);
                    continue;
                }
                Effect::SubscribeDaemon { name, req, .. } => {
                    (index_of(&name), Event::Subscribe(req))
                }
                Effect::Answer {
                    child,
                    stream,
                    reply,
                } => (
                    index_of(&child),
                    Event::Subscribed {
                        stream,
                        reply: Some(reply),
                    },
                ),
                Effect::Report(report) => {
                    let Some((Some(parent), _)) = self.daemons[daemon].parent() else {
                        continue;
                    };
                    (index_of(parent), Event::Report(report))
                }
                Effect::Update { child, update } => (index_of(&child), Event::Update(update)),
                Effect::DropChildren(children) => {
                    let ended = children
                        .into_iter()
                        .map(|(child, stream)| (index_of(&child), Event::StreamLost { stream }));
                    self.messages.extend(ended);
                    continue;
                }
                _ => continue,
            };
            self.messages.push(message);
        }
        attaching
    }

    /// Advances time until the daemon asks control for a parent, then answers; `None` fails the
    /// request.
    fn answer_attach(&mut self, daemon: usize, reply: Option<&AttachReply>) {
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
            Step::AssignParent {
                daemon,
                parent,
                level,
            } if daemon != parent => {
                let Member {
                    daemon: name,
                    address,
                    ..
                } = member(*parent);
                let epoch = Epoch::granted(1, self.rng_state);
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
                self.answer_attach(*daemon, Some(&reply));
            }
            Step::ControlUnavailable(daemon) => self.answer_attach(*daemon, None),
            Step::Deliver(choice) if !self.messages.is_empty() => {
                let (to, event) = self.messages.remove(choice.index(self.messages.len()));
                self.step(to, event);
            }
            Step::AssignParent { .. } | Step::Deliver(_) => {}
            Step::Advance(ms) => {
                self.now += Duration::from_millis(*ms);
                for n in 0..DAEMONS {
                    self.step(n, Event::Tick);
                }
            }
        }
    }

    /// Delivers all messages in order and drops those to the `crashed` daemon.
    fn deliver_all(&mut self, crashed: usize) {
        while !self.messages.is_empty() {
            let (to, event) = self.messages.remove(0);
            if to != crashed {
                self.step(to, event);
            }
        }
    }

    /// Returns the parent of a daemon, if that parent serves the same stream.
    fn parent(&self, daemon: usize) -> Option<usize> {
        let (name, stream) = self.daemons[daemon].parent()?;
        let parent = index_of(name?);
        let accepted_stream = self.daemons[parent]
            .children()
            .stream(&member(daemon).daemon);
        (accepted_stream == Some(stream)).then_some(parent)
    }

    /// Returns a daemon that is its own ancestor.
    fn daemon_in_cycle(&self) -> Option<usize> {
        let is_own_ancestor = |first: &usize| {
            let mut ancestor = self.parent(*first);
            for _ in 0..DAEMONS {
                if ancestor == Some(*first) {
                    return true;
                }
                ancestor = ancestor.and_then(|ancestor| self.parent(ancestor));
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

    /// Guards against cycles of any length, caused by contradicting answers of control or by
    /// messages that arrive out of order.
    #[test]
    fn no_daemon_is_its_own_ancestor(steps in prop::collection::vec(step(), 1..80)) {
        let mut network = Network::new();
        for step in &steps {
            network.run(step);
            prop_assert_eq!(network.daemon_in_cycle(), None);
        }
    }
}

/// Guards against a cycle of three daemons that control assigns to each other at the same time.
#[test]
fn three_simultaneous_subscriptions_form_no_cycle() {
    let mut network = Network::new();
    for (daemon, parent) in [(0, 1), (1, 2), (2, 0)] {
        network.run(&Step::AssignParent {
            daemon,
            parent,
            level: 3,
        });
    }
    while !network.messages.is_empty() {
        let (to, event) = network.messages.remove(0);
        network.step(to, event);
        assert_eq!(network.daemon_in_cycle(), None);
    }
}

/// Guards against a cycle when a former relay keeps its children as it becomes a leaf, and then
/// subscribes to one of them as its interim parent.
#[test]
fn a_former_relay_forms_no_cycle_with_its_child() {
    let mut network = Network::new();
    let mut order: Vec<_> = (0..DAEMONS).collect();
    order.sort_by_key(|n| interim_hash(&"dc-1".into(), &member(*n).daemon));
    let (child, relay, crashed) = (order[0], order[1], order[2]);
    network.run(&Step::AssignParent {
        daemon: relay,
        parent: crashed,
        level: 2,
    });
    network.messages.clear();
    network.run(&Step::AssignParent {
        daemon: child,
        parent: relay,
        level: 3,
    });
    network.deliver_all(crashed);
    assert_eq!(network.parent(child), Some(relay));
    // The message about the end of the child's stream is lost.
    network.run(&Step::AssignParent {
        daemon: relay,
        parent: crashed,
        level: 3,
    });
    network
        .messages
        .retain(|(_, event)| !matches!(event, Event::StreamLost { .. }));
    for _ in 0..40 {
        network.now += Duration::from_millis(100);
        network.step(child, Event::Tick);
        if let Some(control) = network.step(relay, Event::Tick) {
            let reply = None;
            network.step(relay, Event::Attach { control, reply });
        }
        network.deliver_all(crashed);
        assert_eq!(network.daemon_in_cycle(), None);
    }
    assert_eq!(network.parent(relay), Some(child));
}
