//! Tests of the reducer: a model test on a simulated network; single rules are in `rules`.

mod faults;
mod node;
mod rules;
mod sim;

use {
    super::{Event, MemberChange, MemberRole, Raft},
    node::Crash,
    proptest::{
        prelude::*,
        test_runner::{Config as ProptestConfig, RngSeed},
    },
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
    sim::{Sim, Weather},
    std::time::Duration,
};

/// One thing that happens to the group. Slots are taken modulo the size of the group.
#[derive(Clone, Debug)]
enum Transition {
    Run {
        millis: u64,
        weather: Weather,
        seed: u64,
    },
    Propose {
        slot: usize,
        count: usize,
    },
    ProposeToLeader {
        count: usize,
    },
    Read {
        slot: usize,
    },
    Crash {
        slot: usize,
        crash: Crash,
    },
    Restart,
    Partition {
        mask: u8,
    },
    CutLink {
        from: usize,
        to: usize,
    },
    Heal,
    LoseDisk {
        slot: usize,
    },
    Repair,
    Remove {
        slot: usize,
    },
    Transfer {
        slot: usize,
    },
}

/// The reference: only the size of the group; the oracle is in [`Sim`].
#[derive(Clone, Debug)]
struct Group {
    size: usize,
}

impl ReferenceStateMachine for Group {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        (3_usize..=5).prop_map(|size| Self { size }).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        let slot = 0_usize..5;
        let weather =
            (0_u32..25, 0_u32..25).prop_map(|(loss, duplicates)| Weather { loss, duplicates });
        let run = (
            prop_oneof![20_u64..200, 50_u64..1500],
            weather,
            any::<u64>(),
        )
            .prop_map(|(millis, weather, seed)| Transition::Run {
                millis,
                weather,
                seed,
            });
        let crash = any::<(bool, bool)>().prop_map(|(synced, restart)| Crash { synced, restart });
        prop_oneof![
            10 => run,
            2 => (slot.clone(), 1_usize..8)
                .prop_map(|(slot, count)| Transition::Propose { slot, count }),
            5 => (1_usize..8).prop_map(|count| Transition::ProposeToLeader { count }),
            3 => slot.clone().prop_map(|slot| Transition::Read { slot }),
            6 => (slot.clone(), crash).prop_map(|(slot, crash)| Transition::Crash { slot, crash }),
            2 => Just(Transition::Restart),
            2 => any::<u8>().prop_map(|mask| Transition::Partition { mask }),
            1 => (slot.clone(), slot.clone())
                .prop_map(|(from, to)| Transition::CutLink { from, to }),
            2 => Just(Transition::Heal),
            2 => slot.clone().prop_map(|slot| Transition::LoseDisk { slot }),
            5 => Just(Transition::Repair),
            1 => slot.clone().prop_map(|slot| Transition::Remove { slot }),
            1 => slot.prop_map(|slot| Transition::Transfer { slot }),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Transition) -> Self {
        state
    }
}

struct Replicas;

impl StateMachineTest for Replicas {
    type SystemUnderTest = Sim;
    type Reference = Group;

    fn init_test(ref_state: &Group) -> Sim {
        Sim::new(ref_state.size)
    }

    fn apply(mut state: Sim, _: &Group, transition: Transition) -> Sim {
        let sim = &mut state;
        let size = sim.nodes.len();
        match transition {
            Transition::Run {
                millis,
                weather,
                seed,
            } => {
                sim.reseed(seed);
                sim.run(Duration::from_millis(millis), weather);
            }
            Transition::Propose { slot, count } => {
                sim.propose_all(slot % size, count);
            }
            Transition::ProposeToLeader { count } => {
                let slot = sim.leader().unwrap_or(0);
                sim.propose_all(slot, count);
            }
            Transition::Read { slot } => {
                sim.request(slot % size, Event::Read);
            }
            Transition::Crash { slot, crash } => sim.crash(slot % size, crash),
            Transition::Restart => sim.restart_stopped(),
            Transition::Partition { mask } => sim.partition(mask),
            Transition::CutLink { from, to } => sim.cut_link(from % size, to % size),
            Transition::Heal => sim.heal(),
            Transition::LoseDisk { slot } => {
                sim.lose_disk(slot % size);
            }
            Transition::Repair => sim.repair(),
            Transition::Remove { slot } => remove(sim, slot % size),
            Transition::Transfer { slot } => {
                let to = sim.nodes[slot % size].id;
                let leader = sim.leader().unwrap_or(0);
                sim.request(leader, |number| Event::Transfer(number, to));
            }
        }
        state
    }

    fn teardown(mut state: Sim) {
        state.settle();
    }
}

/// Removes a sound voter. Not while a disk is lost: the group would rightly lose its quorum.
fn remove(sim: &mut Sim, slot: usize) {
    let id = sim.nodes[slot].id;
    let Some(leader) = sim.leader() else {
        return;
    };
    let members = sim.raft(leader).map_or(&[][..], Raft::members);
    let sound = members.iter().all(|m| !sim.lost.contains(&m.id));
    let voters = members
        .iter()
        .filter(|m| m.role == MemberRole::Voter)
        .count();
    if sound && voters > 2 {
        sim.request(leader, |number| {
            Event::Change(number, MemberChange::Remove(id))
        });
    }
}

fn cases(default: u32) -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES").ok();
    ProptestConfig {
        cases: cases.and_then(|text| text.parse().ok()).unwrap_or(default),
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(cases(800))]

    /// Guards against lost or changed committed entries, two leaders in a term, stale confirmed
    /// reads and a group that stops accepting commands, under all faults together.
    #[test]
    fn group_survives_faults(sequential 1..60 => Replicas);
}
