//! No daemon becomes its own ancestor in the tree, whatever its sources answer and in whichever order
//! messages arrive.

use {
    anvilbeam::{model::*, relays::*},
    proptest::{prelude::*, test_runner::RngSeed},
    std::{
        collections::HashMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
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

fn control() -> SocketAddr {
    ([10, 0, 1, 0], 7000).into()
}

fn index_of(name: &DaemonName) -> usize {
    name.as_str()["daemon-".len()..].parse().unwrap()
}

fn index_at(address: SocketAddr) -> Option<usize> {
    (0..DAEMONS).find(|n| member(*n).address == address)
}

#[derive(Clone, Debug)]
enum Step {
    /// Control is full and names this daemon in its place; replicas with different children may
    /// contradict each other.
    Redirect { daemon: usize, source: usize },
    /// The source of this daemon fails, and control is out of reach.
    SourceLost(usize),
    /// Delivers one of the messages in flight.
    Deliver(prop::sample::Index),
    /// Advances time by so many milliseconds.
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..DAEMONS, 0..DAEMONS)
            .prop_map(|(daemon, source)| Step::Redirect { daemon, source }),
        2 => (0..DAEMONS).prop_map(Step::SourceLost),
        8 => any::<prop::sample::Index>().prop_map(Step::Deliver),
        1 => (100..900_u64).prop_map(Step::Advance),
    ]
}

struct Network {
    now: Instant,
    rng_state: u64,
    daemons: Vec<Uplink>,
    messages: Vec<(usize, StreamEvent)>,
    /// Subscriptions at control that have no answer yet, by daemon.
    at_control: HashMap<usize, u64>,
}

impl Network {
    /// Creates daemons that know the floor and each other, and subscribe at control.
    fn new() -> Self {
        let now = Instant::now();
        let daemons = (0..DAEMONS).map(|n| Uplink::new(member(n), 1, vec![control()], now));
        let mut network = Self {
            now,
            rng_state: 1,
            daemons: daemons.collect(),
            messages: vec![],
            at_control: HashMap::new(),
        };
        for n in 0..DAEMONS {
            network.step(n, Event::Tick);
            let reply = Some(AttachReply::Attached {
                floor: Some(Version(0)),
                replicas: vec![],
            });
            let address = control();
            network.step(n, Event::Attached { address, reply });
        }
        network
    }

    fn step(&mut self, daemon: usize, event: Event) {
        self.rng_state += 1;
        for effect in self.daemons[daemon].step(self.now, self.rng_state, event) {
            let message = match effect {
                Effect::Subscribe { address, req } => {
                    let Some(source) = index_at(address) else {
                        self.at_control.insert(daemon, req.stream);
                        continue;
                    };
                    (source, StreamEvent::Subscribe(*req))
                }
                Effect::Answer {
                    child,
                    stream,
                    reply,
                } => {
                    let reply = Some(reply);
                    (index_of(&child), StreamEvent::Subscribed { stream, reply })
                }
                Effect::Report(report) => {
                    let source = self.daemons[daemon].source();
                    let Some(source) = source.and_then(|(address, _)| index_at(address)) else {
                        continue;
                    };
                    (source, StreamEvent::Report(*report))
                }
                Effect::Update { child, update } => (index_of(&child), StreamEvent::Update(update)),
                Effect::DropChildren(children) => {
                    let ended = children
                        .into_iter()
                        .map(|(child, stream)| (index_of(&child), StreamEvent::Lost { stream }));
                    self.messages.extend(ended);
                    continue;
                }
                _ => continue,
            };
            self.messages.push(message);
        }
    }

    /// Advances time until the daemon has subscribed at control, and redirects it.
    fn redirect(&mut self, daemon: usize, source: usize) {
        let next = vec![SourceRef {
            daemon: member(source).daemon,
            address: member(source).address,
        }];
        for _ in 0..40 {
            if let Some(stream) = self.at_control.remove(&daemon) {
                let reply = Some(SubscribeReply::Full { next });
                let event = StreamEvent::Subscribed { stream, reply };
                return self.step(daemon, Event::Stream(event));
            }
            self.lose_source(daemon);
            self.now += Duration::from_millis(50);
            self.step(daemon, Event::Tick);
        }
    }

    fn lose_source(&mut self, daemon: usize) {
        if let Some((_, stream)) = self.daemons[daemon].source() {
            let reply = None;
            let event = StreamEvent::Subscribed { stream, reply };
            self.step(daemon, Event::Stream(event));
        }
    }

    fn run(&mut self, step: &Step) {
        match step {
            Step::Redirect { daemon, source } if daemon != source => {
                self.redirect(*daemon, *source);
            }
            Step::SourceLost(daemon) => self.lose_source(*daemon),
            Step::Deliver(choice) if !self.messages.is_empty() => {
                let (to, event) = self.messages.remove(choice.index(self.messages.len()));
                self.step(to, Event::Stream(event));
            }
            Step::Redirect { .. } | Step::Deliver(_) => {}
            Step::Advance(ms) => {
                self.now += Duration::from_millis(*ms);
                for n in 0..DAEMONS {
                    self.step(n, Event::Tick);
                }
            }
        }
    }

    /// Delivers all messages in order.
    fn deliver_all(&mut self) {
        while !self.messages.is_empty() {
            let (to, event) = self.messages.remove(0);
            self.step(to, Event::Stream(event));
        }
    }

    /// Returns the source of a daemon, if that serves the same stream.
    fn source(&self, daemon: usize) -> Option<usize> {
        let (address, stream) = self.daemons[daemon].source()?;
        let source = index_at(address)?;
        let accepted_stream = self.daemons[source]
            .children()
            .stream(&member(daemon).daemon);
        (accepted_stream == Some(stream)).then_some(source)
    }

    /// Returns a daemon that is its own ancestor.
    fn daemon_in_cycle(&self) -> Option<usize> {
        let is_own_ancestor = |first: &usize| {
            let mut ancestor = self.source(*first);
            for _ in 0..DAEMONS {
                if ancestor == Some(*first) {
                    return true;
                }
                ancestor = ancestor.and_then(|ancestor| self.source(ancestor));
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

/// Guards against a cycle of three daemons that control names to each other at the same time.
#[test]
fn three_simultaneous_subscriptions_form_no_cycle() {
    let mut network = Network::new();
    for (daemon, source) in [(0, 1), (1, 2), (2, 0)] {
        network.run(&Step::Redirect { daemon, source });
    }
    for _ in 0..200 {
        if network.messages.is_empty() {
            network.run(&Step::Advance(100));
        } else {
            let (to, event) = network.messages.remove(0);
            network.step(to, Event::Stream(event));
        }
        assert_eq!(network.daemon_in_cycle(), None);
    }
}

/// Guards against a cycle when a daemon is named a child of its own as its source, and the message
/// about the end of that child's stream is lost.
#[test]
fn a_source_forms_no_cycle_with_its_child() {
    let mut network = Network::new();
    network.run(&Step::Redirect {
        daemon: 1,
        source: 0,
    });
    network.deliver_all();
    assert_eq!(network.source(1), Some(0));
    network.run(&Step::Redirect {
        daemon: 0,
        source: 1,
    });
    for _ in 0..100 {
        network
            .messages
            .retain(|(_, event)| !matches!(event, StreamEvent::Lost { .. }));
        network.deliver_all();
        assert_eq!(network.daemon_in_cycle(), None);
        network.run(&Step::Advance(100));
    }
}
