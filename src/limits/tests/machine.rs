//! State machine test: two levels of parents, with lost, late and duplicate messages and restarts.

use {
    super::{
        super::{
            Allocation, Answer, Child, Demand, LeasePolicy, Limiter, Quota, Relay, Share,
            ShareAllocator,
        },
        CallWindow,
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
    std::time::{Duration, Instant},
};

const RELAYS: usize = 2;
const DAEMONS: usize = 4;
const REGIONS: [&str; RELAYS] = ["0", "1"];

#[derive(Clone, Debug)]
enum Event {
    /// Calls arrive at a daemon; those that are not admitted wait.
    Calls {
        daemon: usize,
        count: u32,
    },
    /// Sends all reports that are due.
    Reports,
    /// Delivers a message; `duplicate` keeps a copy of it in transit.
    Deliver {
        pick: usize,
        duplicate: bool,
    },
    /// Completes some rounds of reports and answers, except for one partitioned daemon.
    Rounds {
        count: u32,
        partitioned: usize,
    },
    Lose {
        pick: usize,
    },
    Advance {
        ms: u64,
    },
    RestartDaemon {
        daemon: usize,
    },
    RestartRelay {
        relay: usize,
    },
    RestartRoot,
    /// Connects a relay to the current root.
    Attach {
        relay: usize,
    },
}

struct Events;

impl ReferenceStateMachine for Events {
    type State = u32;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<u32> {
        prop::sample::select(vec![1, 10, 100, 10_000]).boxed()
    }

    fn transitions(_: &u32) -> BoxedStrategy<Event> {
        let advance = prop_oneof![8 => 1_u64..300, 1 => 300_u64..3_000, 1 => 9_000_u64..12_000];
        prop_oneof![
            20 => (0..DAEMONS, 1_u32..200)
                .prop_map(|(daemon, count)| Event::Calls { daemon, count }),
            20 => Just(Event::Reports),
            20 => (any::<usize>(), any::<bool>())
                .prop_map(|(pick, duplicate)| Event::Deliver { pick, duplicate }),
            30 => (1_u32..8, 0..DAEMONS * 2)
                .prop_map(|(count, partitioned)| Event::Rounds { count, partitioned }),
            4 => any::<usize>().prop_map(|pick| Event::Lose { pick }),
            30 => advance.prop_map(|ms| Event::Advance { ms }),
            1 => (0..DAEMONS).prop_map(|daemon| Event::RestartDaemon { daemon }),
            1 => (0..RELAYS).prop_map(|relay| Event::RestartRelay { relay }),
            1 => Just(Event::RestartRoot),
            3 => (0..RELAYS).prop_map(|relay| Event::Attach { relay }),
        ]
        .boxed()
    }

    fn apply(state: u32, _: &Event) -> u32 {
        state
    }
}

/// Messages carry the run of the parent, so that those of an earlier run are dropped as with a
/// closed connection.
#[derive(Clone, Debug)]
enum Message {
    ToRoot(u64, Child, Demand),
    ToRelay(u64, usize, Child, Demand),
    FromRoot(u64, Child, Share),
    FromRelay(u64, usize, Child, Share),
}

#[derive(Debug)]
struct Sut {
    capacity: u32,
    now: Instant,
    root: ShareAllocator,
    root_run: u64,
    known_root: [u64; RELAYS],
    relays: Vec<(u64, Relay)>,
    daemons: Vec<(u64, Limiter, u32)>,
    messages: Vec<Message>,
    window: CallWindow,
}

impl Sut {
    fn new(capacity: u32) -> Self {
        let now = Instant::now();
        let policy = LeasePolicy::regions(RELAYS as u64);
        Self {
            capacity,
            now,
            root: ShareAllocator::new(policy, Allocation::root(capacity), now),
            root_run: 0,
            known_root: [0; RELAYS],
            relays: (0..RELAYS)
                .map(|_| (0, Relay::new(LeasePolicy::relay(), now)))
                .collect(),
            daemons: (0..DAEMONS).map(|_| (0, Limiter::new(now), 0)).collect(),
            messages: Vec::new(),
            window: CallWindow::default(),
        }
    }

    fn run(&mut self, event: &Event) {
        match event {
            Event::Calls { daemon, count } => self.call(*daemon, *count),
            Event::Reports => self.reports(),
            Event::Deliver { pick, duplicate } if !self.messages.is_empty() => {
                let at = pick % self.messages.len();
                let message = self.messages[at].clone();
                if !duplicate {
                    self.messages.remove(at);
                }
                self.deliver(message);
            }
            Event::Rounds { count, partitioned } => {
                for _ in 0..*count {
                    self.round(*partitioned);
                }
            }
            Event::Lose { pick } if !self.messages.is_empty() => {
                self.messages.remove(pick % self.messages.len());
            }
            Event::Deliver { .. } | Event::Lose { .. } => {}
            Event::Advance { ms } => self.now += Duration::from_millis(*ms),
            Event::RestartDaemon { daemon } => {
                let run = self.daemons[*daemon].0 + 1;
                self.daemons[*daemon] = (run, Limiter::new(self.now), 0);
            }
            Event::RestartRelay { relay } => {
                let run = self.relays[*relay].0 + 1;
                self.relays[*relay] = (run, Relay::new(LeasePolicy::relay(), self.now));
                self.known_root[*relay] = self.root_run;
                for daemon in (0..DAEMONS).filter(|daemon| daemon % RELAYS == *relay) {
                    self.daemons[daemon].1.detach(self.now);
                }
            }
            Event::RestartRoot => {
                self.root_run += 1;
                let policy = LeasePolicy::regions(RELAYS as u64);
                let allocation = Allocation::root(self.capacity);
                self.root = ShareAllocator::restarted(policy, allocation, &REGIONS, self.now);
            }
            Event::Attach { relay } => {
                if self.known_root[*relay] != self.root_run {
                    self.known_root[*relay] = self.root_run;
                    self.relays[*relay].1.detach(self.now);
                }
            }
        }
    }

    fn call(&mut self, daemon: usize, count: u32) {
        for _ in 0..count {
            let (_, state, waiting) = &mut self.daemons[daemon];
            if state.try_take(self.now) {
                self.window.record(self.now);
            } else {
                *waiting += 1;
            }
        }
    }

    fn reports(&mut self) {
        let now = self.now;
        for (at, (run, daemon, waiting)) in self.daemons.iter_mut().enumerate() {
            if daemon.report_due(*waiting, now) {
                let demand = daemon.report(*waiting, now);
                let child = Child::new(&at.to_string(), *run);
                let relay = at % RELAYS;
                let parent = self.relays[relay].0;
                self.messages
                    .push(Message::ToRelay(parent, relay, child, demand));
            }
        }
        for at in 0..RELAYS {
            let answers = self.relays[at].1.tick(now);
            self.answer(at, answers);
            let (run, relay) = &mut self.relays[at];
            if relay.report_due(now) {
                let child = Child::new(&at.to_string(), *run);
                let demand = relay.report(now);
                self.messages
                    .push(Message::ToRoot(self.known_root[at], child, demand));
            }
        }
    }

    fn round(&mut self, partitioned: usize) {
        self.reports();
        // Four hops: daemon to relay, relay to root, and back.
        for _ in 0..4 {
            for message in std::mem::take(&mut self.messages) {
                let lost = matches!(&message, Message::FromRelay(_, _, child, _)
                    if child.name.parse() == Ok(partitioned));
                if !lost {
                    self.deliver(message);
                }
            }
        }
        self.now += Duration::from_millis(60);
        self.check();
    }

    fn answer(&mut self, relay: usize, answers: Vec<Answer>) {
        let run = self.relays[relay].0;
        self.messages.extend(
            answers
                .into_iter()
                .map(|(child, share)| Message::FromRelay(run, relay, child, share)),
        );
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::ToRoot(run, child, demand) if run == self.root_run => {
                let answers = self.root.report(&child, &demand, now);
                self.messages.extend(
                    answers
                        .into_iter()
                        .map(|(child, share)| Message::FromRoot(run, child, share)),
                );
            }
            Message::ToRelay(run, at, child, demand) if run == self.relays[at].0 => {
                let answers = self.relays[at].1.child_report(&child, &demand, now);
                self.answer(at, answers);
            }
            Message::FromRoot(run, child, share) => {
                let at: usize = child.name.parse().unwrap();
                if self.relays[at].0 == child.incarnation && self.known_root[at] == run {
                    let answers = self.relays[at].1.apply(&share, now);
                    self.answer(at, answers);
                }
            }
            Message::FromRelay(run, relay, child, share) if run == self.relays[relay].0 => {
                let at: usize = child.name.parse().unwrap();
                if self.daemons[at].0 == child.incarnation {
                    self.receive(at, &share);
                }
            }
            _ => {}
        }
    }

    fn receive(&mut self, at: usize, share: &Share) {
        let (_, daemon, waiting) = &mut self.daemons[at];
        daemon.apply(share, self.now);
        while *waiting > 0 && daemon.retry_take(self.now) {
            *waiting -= 1;
            self.window.record(self.now);
        }
    }

    fn check(&self) {
        let whole = Quota::of_grant(self.capacity);
        let sum = |quotas: Vec<Quota>| quotas.into_iter().fold(Quota::default(), Quota::add);
        let held = sum(self.daemons.iter().map(|d| d.1.valid(self.now)).collect());
        assert!(whole.covers(held), "daemons hold {held:?} of {whole:?}");
        let relays = sum(self.relays.iter().map(|r| r.1.valid(self.now)).collect());
        assert!(whole.covers(relays), "relays hold {relays:?} of {whole:?}");
        self.window.check(self.capacity);
    }
}

struct Machine;

impl StateMachineTest for Machine {
    type SystemUnderTest = Sut;
    type Reference = Events;

    fn init_test(ref_state: &u32) -> Sut {
        Sut::new(*ref_state)
    }

    fn apply(mut state: Sut, _: &u32, transition: Event) -> Sut {
        state.run(&transition);
        state.check();
        state
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(0x11A7),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against valid shares whose sum exceeds the capacity, and against more calls in 10 s
    /// than the capacity allows, under any loss, delay, duplication and restart.
    #[test]
    fn valid_shares_never_exceed_the_capacity(sequential 1..150 => Machine);
}
