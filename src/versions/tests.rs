use {
    super::*,
    crate::{model::*, wire},
    proptest::{prelude::*, test_runner::RngSeed},
    std::collections::BTreeMap,
};

fn plan(name: u8, key: u16) -> Plan {
    Plan {
        name: format!("plan-{name}").as_str().into(),
        key_hashes: vec![Digest::of(&[&[name][..], &key.to_le_bytes()].concat())],
        home_region: "fukuoka".into(),
    }
}

fn grant(plan: u8, service: u8, capacity: u32) -> Grant {
    Grant {
        plan: format!("plan-{plan}").as_str().into(),
        service: format!("service-{service}").as_str().into(),
        servers: vec!["server-1".into()],
        capacity,
        rank: Rank::Normal,
        path: "/".into(),
        terms: Terms::default(),
    }
}

fn set_plans(plans: Vec<Plan>) -> Change {
    Change {
        plans,
        ..Change::default()
    }
}

fn set_grants(grants: Vec<Grant>) -> Change {
    Change {
        grants,
        ..Change::default()
    }
}

/// Edit at control, or catch-up of a child.
#[derive(Clone, Debug)]
enum Step {
    Plan(u8, u16),
    Grant(u8, u8, u32),
    /// Removes the grants of the plan as well.
    RemovePlan(u8),
    RemoveGrant(u8, u8),
    /// Applies the delta of control.
    CatchUp(usize),
    /// Applies the delta of another child.
    PeerCatchUp(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0..6_u8, any::<u16>()).prop_map(|(name, key)| Step::Plan(name, key)),
        4 => (0..6_u8, 0..4_u8, 0..9_u32).prop_map(|(p, s, c)| Step::Grant(p, s, c)),
        1 => (0..6_u8).prop_map(Step::RemovePlan),
        1 => (0..6_u8, 0..4_u8).prop_map(|(p, s)| Step::RemoveGrant(p, s)),
        3 => (0..3_usize).prop_map(Step::CatchUp),
        1 => (0..3_usize).prop_map(Step::PeerCatchUp),
    ]
}

fn change_of(cfg: &Config, step: &Step) -> Change {
    let mut change = Change::default();
    match step {
        Step::Plan(name, key) => change.plans.push(plan(*name, *key)),
        Step::Grant(p, s, c) => change.grants.push(grant(*p, *s, *c)),
        Step::RemovePlan(name) => {
            let name = plan(*name, 0).name;
            let grants = cfg.grants.keys().filter(|key| key.plan == name);
            change.removed_grants = grants.cloned().collect();
            change.removed_plans.push(name);
        }
        Step::RemoveGrant(p, s) => change.removed_grants.push(grant(*p, *s, 0).key()),
        Step::CatchUp(_) | Step::PeerCatchUp(_) => {}
    }
    change
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x7645_7273),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a delta that omits a change or a removal, against a digest that depends on
    /// the sequence of deltas by which a version was reached, and against records out of order.
    #[test]
    fn deltas_rebuild_the_accepted_version(steps in prop::collection::vec(step(), 1..60)) {
        let mut control = ConfigStore::with_config(Config::default());
        let mut children = vec![ConfigStore::new(); 3];
        let mut accepted = BTreeMap::from([(Version(0), Config::default())]);
        for step in &steps {
            if let Step::CatchUp(child) | Step::PeerCatchUp(child) = step {
                // Another child may supply the delta, as below a relay.
                let sources = [control.clone(), children[(child + 1) % 3].clone()];
                let child = &mut children[*child];
                child.raise_floor(Version(1));
                let source = &sources[usize::from(matches!(step, Step::PeerCatchUp(_)))];
                if let Some(delta) = source.delta_since(child.version()) {
                    let before = child.version();
                    let cfg = child.apply(&delta).unwrap();
                    prop_assert!(cfg.version > before);
                }
                prop_assert_eq!(&**child.config(), &accepted[&child.version()]);
                prop_assert_eq!(child.digest(), digest_of(child.config()));
                prop_assert!(child.is_intact());
                continue;
            }
            let before = (**control.config()).clone();
            if let Ok(cfg) = control.edit(&change_of(&before, step)) {
                accepted.insert(cfg.version, (*cfg).clone());
            } else {
                prop_assert_eq!(&**control.config(), &before);
            }
        }
    }

    /// Guards against a delta that is applied in part, and against a store that changes when a
    /// delta fails.
    #[test]
    fn a_damaged_delta_changes_nothing(
        steps in prop::collection::vec(step(), 4..40), which in any::<prop::sample::Index>(),
    ) {
        let mut control = ConfigStore::with_config(Config::default());
        for step in &steps {
            let change = change_of(control.config(), step);
            drop(control.edit(&change));
        }
        let mut child = ConfigStore::new();
        let Some(mut delta) = control.delta_since(child.version()) else { return Ok(()) };
        if delta.change.is_empty() {
            return Ok(());
        }
        let at = which.index(delta.change.plans.len().max(1));
        if delta.change.plans.is_empty() {
            delta.change.grants.pop();
        } else {
            delta.change.plans[at].home_region = "kumamoto".into();
        }
        let before = child.clone();
        let refused = matches!(child.apply(&delta), Err(ApplyError::Digest { .. } | ApplyError::Record { .. }));
        prop_assert!(refused);
        prop_assert_eq!(child.config(), before.config());
        prop_assert_eq!(child.digest(), before.digest());
    }
}

fn edited(versions: u16) -> ConfigStore {
    let mut control = ConfigStore::with_config(Config::default());
    for key in 0..versions {
        let plans = vec![plan((key % 200) as u8, key)];
        control.edit(&set_plans(plans)).unwrap();
    }
    control
}

fn catch_up(child: &mut ConfigStore, source: &ConfigStore) {
    let delta = source.delta_since(child.version()).unwrap();
    child.apply(&delta).unwrap();
}

/// Guards against a catch-up that sends each missed version separately.
#[test]
fn one_delta_covers_hundreds_of_versions() {
    let mut control = edited(300);
    let mut child = ConfigStore::new();
    catch_up(&mut child, &control);
    for capacity in 0..400 {
        let grants = vec![grant(1, 1, capacity)];
        control.edit(&set_grants(grants)).unwrap();
    }
    let delta = control.delta_since(child.version()).unwrap();
    assert!(!delta.full);
    assert_eq!(delta.change.len(), 1);
    child.apply(&delta).unwrap();
    assert_eq!(child.digest(), control.digest());
}

/// Guards against a delta without the removals whose tombstones have been discarded.
#[test]
fn a_full_copy_is_sent_when_tombstones_do_not_reach_back() {
    let mut control = ConfigStore::with_config(Config::default());
    let plans = vec![plan(1, 1)];
    control.edit(&set_plans(plans)).unwrap();
    let many: Vec<_> = (0..=MAX_TOMBSTONES)
        .map(|n| Grant {
            service: n.to_string().as_str().into(),
            ..grant(1, 1, 1)
        })
        .collect();
    control.edit(&set_grants(many.clone())).unwrap();
    let mut child = ConfigStore::new();
    catch_up(&mut child, &control);
    let removed_grants = many.iter().map(Grant::key).collect();
    control
        .edit(&Change {
            removed_grants,
            ..Change::default()
        })
        .unwrap();
    let delta = control.delta_since(child.version()).unwrap();
    assert!(delta.full);
    assert_eq!(child.apply(&delta).unwrap().grants.len(), 0);
}

/// Guards against a return to an older version, and against a delta that is applied to another
/// version than its base.
#[test]
fn a_delta_never_goes_back_and_names_the_versions() {
    let control = edited(20);
    let old = edited(10);
    let mut child = ConfigStore::new();
    catch_up(&mut child, &control);
    let mut back = old.delta_since(Version(0)).unwrap();
    let error = child.apply(&back).unwrap_err();
    assert_eq!(error.to_string(), "version 10 is not newer than version 20");
    (back.from, back.to, back.full) = (Version(9), Version(30), false);
    let error = child.apply(&back).unwrap_err();
    assert_eq!(
        error.to_string(),
        "delta from version 9 to 30 does not apply to version 20"
    );
    assert!(old.delta_since(child.version()).is_none());
}

/// Guards against a starting process that routes by an older version than the one in force at its
/// peers.
#[test]
fn nothing_is_in_force_below_the_floor() {
    let control = edited(5);
    let mut child = ConfigStore::new();
    assert!(child.in_force().is_none());
    child
        .apply(&edited(3).delta_since(Version(0)).unwrap())
        .unwrap();
    assert!(child.in_force().is_none(), "no floor is known");
    child.raise_floor(Version(5));
    child.raise_floor(Version(2));
    assert!(child.in_force().is_none());
    catch_up(&mut child, &control);
    assert_eq!(child.in_force().unwrap().version, Version(5));
    child.raise_floor(Version(9));
    assert!(
        child.in_force().is_some(),
        "a higher floor doesn't revoke a version in force"
    );
}

/// Guards against grants whose plan doesn't exist and against keys that two plans share.
#[test]
fn an_edit_with_wrong_references_is_refused() {
    let mut control = edited(2);
    let cases = [
        (
            set_grants(vec![grant(9, 1, 1)]),
            "version 3: grant of \"service-1\" to plan \"plan-9\" refers to a plan that does not exist",
        ),
        (
            set_plans(vec![Plan {
                name: "other".into(),
                ..plan(1, 1)
            }]),
            "version 3: plan \"other\" has a key hash that occurs twice",
        ),
        (
            Change {
                removed_plans: vec!["plan-0".into(), "plan-0".into()],
                ..Change::default()
            },
            "version 3: plan \"plan-0\" is removed twice",
        ),
        (
            Change::default(),
            "version 3: the change contains no records",
        ),
    ];
    for (change, message) in cases {
        assert_eq!(control.edit(&change).unwrap_err().to_string(), message);
        assert!(control.is_intact());
    }
}

/// Guards against full copies that exceed the size of one message, and against a delta that is
/// applied before all parts have arrived.
#[test]
fn a_large_full_copy_travels_in_parts() {
    let mut control = ConfigStore::with_config(Config::default());
    let plans = (0..150_u8)
        .map(|n| Plan {
            key_hashes: (0..1_000)
                .map(|k| Digest::of(&[&[n][..], &u32::to_le_bytes(k)].concat()))
                .collect(),
            ..plan(n, 0)
        })
        .collect();
    control.edit(&set_plans(plans)).unwrap();
    let delta = control.delta_since(Version(0)).unwrap();
    assert!(wire::encode(&delta).is_err(), "larger than one message");
    let parts = split_delta(delta.clone()).unwrap();
    assert!(
        parts
            .iter()
            .all(|part| wire::encode(part).unwrap().len() < wire::MAX_MESSAGE)
    );
    let mut assembler = DeltaAssembler::default();
    let last = parts.len() - 1;
    for part in &parts[..last] {
        assert!(assembler.push(part.clone()).unwrap().is_none());
    }
    let mut out_of_order = assembler.clone();
    out_of_order.push(parts[1].clone()).unwrap_err();
    assert!(
        out_of_order.push(parts[last].clone()).is_err(),
        "the earlier parts were discarded"
    );
    assert_eq!(assembler.push(parts[last].clone()).unwrap(), Some(delta));
}
