use {
    super::*,
    crate::{
        model::{DaemonName, DataCentre, Region, ServerState},
        routes::{Candidates, Location},
        seeded::seeded,
    },
    proptest::prelude::*,
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
    std::collections::BTreeMap,
};

mod policy;
mod relief;

const SERVERS: u8 = 6;

fn name(server: u8) -> ServerName {
    ServerName::from(&*format!("v{server}"))
}

fn service() -> ServiceName {
    ServiceName::from("s")
}

/// Servers 0 and 1 are in the own data centre, 2 and 3 in the own region, 4 and 5 in another.
fn endpoint(server: u8, incarnation: u64, draining: bool) -> Arc<Endpoint> {
    let place = usize::from(server / 2);
    Arc::new(Endpoint {
        server: name(server),
        service: service(),
        daemon: DaemonName::from("d"),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: DataCentre::from(["a1", "a2", "b1"][place]),
        region: Region::from(["a", "a", "b"][place]),
        slots: 4,
        state: [ServerState::Serving, ServerState::Draining][usize::from(draining)],
        incarnation,
    })
}

fn here() -> Location {
    Location {
        data_centre: DataCentre::from("a1"),
        region: Region::from("a"),
    }
}

#[derive(Clone, Debug)]
enum Event {
    /// Announce as a new start, or mark as draining.
    Announce(u8, bool),
    Withdraw(u8),
    Pick {
        granted: Vec<u8>,
        exclude: Vec<u8>,
        random: u64,
    },
    Finish(prop::sample::Index, Outcome, u64),
    /// Many equal ends for one server, as a broken one produces.
    Break(u8),
    Hint(u8, f64),
    Pass(u64),
}

/// Oracle: what is announced, by incarnation and draining.
#[derive(Clone, Debug, Default)]
struct World {
    announced: BTreeMap<u8, (u64, bool)>,
    starts: u64,
    millis: u64,
}

impl World {
    fn endpoints(&self) -> Vec<Arc<Endpoint>> {
        let all = self.announced.iter();
        all.map(|(server, (incarnation, draining))| endpoint(*server, *incarnation, *draining))
            .collect()
    }
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        2 => Just(Outcome::Succeeded),
        2 => Just(Outcome::Failed),
        1 => Just(Outcome::Unreachable),
        1 => (0u64..5000).prop_map(|ms| Outcome::Overloaded { retry_after: Duration::from_millis(ms) }),
        1 => Just(Outcome::Neutral),
    ]
}

impl ReferenceStateMachine for World {
    type State = Self;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Self> {
        let announced = (0..SERVERS).map(|server| (server, (0, false)));
        let announced = announced.collect();
        Just(Self {
            announced,
            ..Self::default()
        })
        .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Event> {
        let servers = || prop::collection::vec(0..SERVERS, 0..5);
        prop_oneof![
            1 => (0..SERVERS, any::<bool>()).prop_map(|(s, d)| Event::Announce(s, d)),
            1 => (0..SERVERS).prop_map(Event::Withdraw),
            8 => (servers(), servers(), any::<u64>()).prop_map(|(granted, exclude, random)| Event::Pick { granted, exclude, random }),
            6 => (any::<prop::sample::Index>(), outcome(), 0u64..2000).prop_map(|(i, o, l)| Event::Finish(i, o, l)),
            4 => (0..SERVERS).prop_map(Event::Break),
            1 => (0..SERVERS, 0.0f64..2.0).prop_map(|(s, l)| Event::Hint(s, l)),
            2 => (0u64..9000).prop_map(Event::Pass),
        ]
        .boxed()
    }

    fn apply(mut state: Self, transition: &Event) -> Self {
        let world = &mut state;
        match transition {
            Event::Announce(server, draining) => {
                world.starts += 1;
                let same = world.announced.get(server).filter(|_| *draining);
                let start = same.map_or(world.starts, |(start, _)| *start);
                world.announced.insert(*server, (start, *draining));
            }
            Event::Withdraw(server) => {
                world.announced.remove(server);
            }
            Event::Pass(millis) => world.millis += millis,
            _ => {}
        }
        state
    }
}

struct BalanceTest {
    origin: Instant,
    balancer: Balancer,
    running: Vec<Choice>,
}

impl StateMachineTest for BalanceTest {
    type SystemUnderTest = Self;
    type Reference = World;

    fn init_test(ref_state: &World) -> Self {
        let origin = Instant::now();
        let mut balancer = Balancer::default();
        balancer.sync_service(&service(), &ref_state.endpoints(), origin);
        Self {
            origin,
            balancer,
            running: Vec::new(),
        }
    }

    fn apply(mut state: Self, ref_state: &World, transition: Event) -> Self {
        let (test, world) = (&mut state, ref_state);
        let now = test.origin + Duration::from_millis(world.millis);
        match transition {
            Event::Announce(..) | Event::Withdraw(_) => {
                test.balancer
                    .sync_service(&service(), &world.endpoints(), now);
            }
            Event::Pick {
                granted,
                exclude,
                random,
            } => test.pick(world, &granted, &exclude, random, now),
            Event::Finish(index, outcome, millis) => {
                if !test.running.is_empty() {
                    let choice = test.running.swap_remove(index.index(test.running.len()));
                    let latency = Duration::from_millis(millis);
                    test.balancer.outcome(&choice, outcome, latency, now);
                }
            }
            Event::Break(server) => {
                let only = world.endpoints().into_iter();
                let only: Vec<_> = only.filter(|e| e.server == name(server)).collect();
                let only = Candidates::new(&here(), &only);
                for random in 0..8 {
                    let choice = test.balancer.pick_from(
                        &only,
                        Wanted::small(Rank::Normal),
                        now,
                        random,
                        &[],
                    );
                    if let Some(choice) = choice {
                        let latency = Duration::from_millis(1);
                        test.balancer
                            .outcome(&choice, Outcome::Failed, latency, now);
                    }
                }
            }
            Event::Hint(server, load) => test.balancer.hint_load(&name(server), load, now),
            Event::Pass(_) => {}
        }
        state
    }

    fn check_invariants(state: &Self, ref_state: &World) {
        let (test, world) = (state, ref_state);
        let ejected = test.balancer.ejected(&service());
        assert!(
            ejected * 2 <= world.announced.len(),
            "{ejected} of {} ejected",
            world.announced.len()
        );
        for (server, (incarnation, _)) in &world.announced {
            let own = |c: &&Choice| {
                c.endpoint.server == name(*server) && c.endpoint.incarnation == *incarnation
            };
            let running = test.running.iter().filter(own).count();
            assert_eq!(test.balancer.outstanding(&name(*server)) as usize, running);
        }
    }
}

impl BalanceTest {
    fn pick(&mut self, world: &World, granted: &[u8], exclude: &[u8], random: u64, now: Instant) {
        let granted: Vec<_> = granted.iter().copied().map(name).collect();
        let excluded: Vec<_> = exclude.iter().copied().map(name).collect();
        let endpoints: Vec<_> = world
            .endpoints()
            .into_iter()
            .filter(|e| granted.contains(&e.server))
            .collect();
        let allowed: Vec<_> = endpoints
            .iter()
            .filter(|e| e.state == ServerState::Serving && !excluded.contains(&e.server))
            .collect();
        let candidates = Candidates::new(&here(), &endpoints);
        let choice = self.balancer.pick_from(
            &candidates,
            Wanted::small(Rank::Normal),
            now,
            random,
            &excluded,
        );
        match choice {
            Some(choice) => {
                assert!(allowed.contains(&&choice.endpoint), "picked {choice:?}");
                self.running.push(choice);
            }
            None => assert!(allowed.is_empty(), "nothing picked of {allowed:?}"),
        }
    }
}

prop_state_machine! {
    #![proptest_config(seeded(0x5eed_0005))]

    /// Guards against a service left empty by ejections, more than half of it ejected, a call to
    /// a draining, excluded or ungranted server, and counts of outstanding calls that drift.
    #[test]
    fn picks_stay_within_the_rules(sequential 1..150 => BalanceTest);
}
