//! Tests of the reducer: a model test on a simulated network. Tests of single rules are in `rules`.

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
    sim::{LinkFaults, Sim},
    std::time::Duration,
};

/// A step of the model test. Replica indexes are taken modulo the size of the group.
#[derive(Clone, Debug)]
enum Transition {
    Run {
        millis: u64,
        link_faults: LinkFaults,
        seed: u64,
    },
    Propose {
        replica: usize,
        count: usize,
    },
    ProposeToLeader {
        count: usize,
    },
    Read {
        replica: usize,
    },
    Crash {
        replica: usize,
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
        replica: usize,
    },
    Repair,
    Remove {
        replica: usize,
    },
    Transfer {
        replica: usize,
    },
}

/// Reference model: only the size of the group. The checks are in [`Sim`].
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
        let replica = 0_usize..5;
        let link_faults =
            (0_u32..25, 0_u32..25).prop_map(|(loss, duplicates)| LinkFaults { loss, duplicates });
        let run = (
            prop_oneof![20_u64..200, 50_u64..1500],
            link_faults,
            any::<u64>(),
        )
            .prop_map(|(millis, link_faults, seed)| Transition::Run {
                millis,
                link_faults,
                seed,
            });
        let crash = any::<(bool, bool)>().prop_map(|(synced, restart)| Crash { synced, restart });
        prop_oneof![
            10 => run,
            2 => (replica.clone(), 1_usize..8)
                .prop_map(|(replica, count)| Transition::Propose { replica, count }),
            5 => (1_usize..8).prop_map(|count| Transition::ProposeToLeader { count }),
            3 => replica.clone().prop_map(|replica| Transition::Read { replica }),
            6 => (replica.clone(), crash)
                .prop_map(|(replica, crash)| Transition::Crash { replica, crash }),
            2 => Just(Transition::Restart),
            2 => any::<u8>().prop_map(|mask| Transition::Partition { mask }),
            1 => (replica.clone(), replica.clone())
                .prop_map(|(from, to)| Transition::CutLink { from, to }),
            2 => Just(Transition::Heal),
            2 => replica.clone().prop_map(|replica| Transition::LoseDisk { replica }),
            5 => Just(Transition::Repair),
            1 => replica.clone().prop_map(|replica| Transition::Remove { replica }),
            1 => replica.prop_map(|replica| Transition::Transfer { replica }),
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
                link_faults,
                seed,
            } => {
                sim.reseed(seed);
                sim.run(Duration::from_millis(millis), link_faults);
            }
            Transition::Propose { replica, count } => {
                sim.propose_all(replica % size, count);
            }
            Transition::ProposeToLeader { count } => {
                let replica = sim.leader().unwrap_or(0);
                sim.propose_all(replica, count);
            }
            Transition::Read { replica } => {
                sim.request(replica % size, Event::Read);
            }
            Transition::Crash { replica, crash } => sim.crash(replica % size, crash),
            Transition::Restart => sim.restart_stopped(),
            Transition::Partition { mask } => sim.partition(mask),
            Transition::CutLink { from, to } => sim.cut_link(from % size, to % size),
            Transition::Heal => sim.heal(),
            Transition::LoseDisk { replica } => {
                sim.lose_disk(replica % size);
            }
            Transition::Repair => sim.repair(),
            Transition::Remove { replica } => remove(sim, replica % size),
            Transition::Transfer { replica } => {
                let to = sim.nodes[replica % size].id;
                let leader = sim.leader().unwrap_or(0);
                sim.request(leader, |number| Event::Transfer(number, to));
            }
        }
        state
    }

    fn teardown(mut state: Sim) {
        state.converge();
    }
}

/// Removes an intact voter. Does nothing while a disk is lost, since the group could then lose its
/// quorum.
fn remove(sim: &mut Sim, replica: usize) {
    let id = sim.nodes[replica].id;
    let Some(leader) = sim.leader() else {
        return;
    };
    let members = sim.raft(leader).map_or(&[][..], Raft::members);
    let intact = members.iter().all(|m| !sim.lost_disks.contains(&m.id));
    let voters = members
        .iter()
        .filter(|m| m.role == MemberRole::Voter)
        .count();
    if intact && voters > 2 {
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

    /// Guards against lost or changed committed entries, two leaders in a term, stale reads and a
    /// group that stops accepting commands, under random combinations of all faults.
    #[test]
    fn group_survives_faults(sequential 1..60 => Replicas);
}
