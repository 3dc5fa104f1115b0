use {
    super::*,
    crate::model::{Grant, Plan, Rank, Terms},
    proptest::{prelude::*, test_runner::RngSeed},
};

fn command(edit_id: u128, base: u64, name: &str) -> EditCommand {
    let plans = vec![Plan {
        name: name.into(),
        key_hashes: vec![Digest::of(name.as_bytes())],
        home_region: "lothian".into(),
    }];
    EditCommand {
        edit_id: EditId(edit_id),
        base: Version(base),
        change: Change {
            plans,
            ..Change::default()
        },
        time: 1,
        interface_data: None,
    }
}

const fn accepted(version: u64) -> EditReply {
    let version = Version(version);
    EditReply::Accepted { version }
}

const fn repeated(version: u64) -> EditReply {
    let version = Version(version);
    EditReply::Repeated { version }
}

fn apply_next(state: &mut State, command: &EditCommand) -> EditReply {
    let index = state.applied() + 1;
    wire::decode(&apply(state, index, &wire::encode(command).unwrap())).unwrap()
}

/// Guards against accepting two edits of the same base version, and against a resend that is
/// accepted twice or gets another version.
#[test]
fn racing_edits_are_accepted_once() {
    let mut state = State::default();
    let (first, second) = (command(1, 0, "a"), command(2, 0, "b"));
    assert_eq!(apply_next(&mut state, &first), accepted(1));
    assert_eq!(
        apply_next(&mut state, &second),
        EditReply::Conflict {
            current: Version(1)
        }
    );
    let third = command(3, 1, "c");
    assert_eq!(apply_next(&mut state, &third), accepted(2));
    assert_eq!(apply_next(&mut state, &first), repeated(1));
    assert_eq!(state.store().version(), Version(2));
}

/// Guards against a refused edit that changes the state.
#[test]
fn an_invalid_edit_changes_nothing() {
    let mut state = State::default();
    apply_next(&mut state, &command(1, 0, "a"));
    let digest = state.store().digest();
    let mut invalid_edit = command(2, 1, "b");
    invalid_edit.change.grants.push(Grant {
        plan: "missing".into(),
        service: "charts".into(),
        servers: vec![],
        capacity: 1,
        rank: Rank::Low,
        path: "/".into(),
        terms: Terms::default(),
    });
    let reply = apply_next(&mut state, &invalid_edit);
    let reason =
        "version 2: grant of \"charts\" to plan \"missing\" refers to a plan that does not exist";
    assert_eq!(
        reply,
        EditReply::Invalid {
            reason: reason.to_owned()
        }
    );
    assert_eq!(state.store().digest(), digest);
    assert_eq!(apply_next(&mut state, &command(2, 1, "b")), accepted(2));
}

/// Guards against unbounded growth, and against accepting an edit again once it is no longer
/// remembered.
#[test]
fn remembered_edits_are_bounded() {
    let mut state = State::default();
    for n in 0..=MAX_REMEMBERED_EDITS as u64 {
        let reply = apply_next(&mut state, &command(u128::from(n), n, "a"));
        assert_eq!(
            reply,
            EditReply::Accepted {
                version: Version(n + 1)
            }
        );
    }
    assert!(state.accepted_edits.len() <= MAX_REMEMBERED_EDITS);
    let current = Version(MAX_REMEMBERED_EDITS as u64 + 1);
    assert_eq!(
        apply_next(&mut state, &command(0, 0, "a")),
        EditReply::Conflict { current }
    );
    let last = current.0 - 1;
    let reply = apply_next(&mut state, &command(u128::from(last), last, "a"));
    assert_eq!(reply, EditReply::Repeated { version: current });
}

/// Guards against applying a log entry a second time after a restart.
#[test]
fn an_entry_is_applied_once() {
    let mut state = State::default();
    let buf = wire::encode(&command(1, 0, "a")).unwrap();
    apply(&mut state, 5, &buf);
    let other = wire::encode(&command(2, 1, "b")).unwrap();
    let reply: EditReply = wire::decode(&apply(&mut state, 5, &other)).unwrap();
    assert!(matches!(reply, EditReply::Invalid { .. }));
    assert_eq!(state.store().version(), Version(1));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x6564_6974),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against replicas that differ after a restart from a snapshot, and against edits that
    /// are lost or accepted twice. The reference model is a list of accepted ids.
    #[test]
    fn replicas_agree_and_ids_are_accepted_once(
        edits in prop::collection::vec((0..12_u128, 0..3_u64, 0..5_u8, any::<bool>()), 1..60),
    ) {
        let mut leader = State::default();
        let mut follower = State::default();
        let mut accepted_ids: Vec<u128> = Vec::new();
        for (id, behind, name, restart) in edits {
            let current = accepted_ids.len() as u64;
            let command = command(id, current.saturating_sub(behind), &name.to_string());
            let expected = match accepted_ids.iter().position(|known| *known == id) {
                Some(at) => EditReply::Repeated { version: Version(at as u64 + 1) },
                None if command.base.0 != current => EditReply::Conflict { current: Version(current) },
                None => {
                    accepted_ids.push(id);
                    EditReply::Accepted { version: Version(current + 1) }
                }
            };
            prop_assert_eq!(apply_next(&mut leader, &command), expected.clone());
            prop_assert_eq!(apply_next(&mut follower, &command), expected);
            if restart {
                follower = restore(&snapshot(&follower).unwrap()).unwrap();
            }
        }
        prop_assert_eq!(snapshot(&leader).unwrap(), snapshot(&follower).unwrap());
    }

    /// Guards against a panic or an inconsistent state on corrupted commands and snapshots.
    #[test]
    fn damaged_bytes_are_refused(random_bytes in prop::collection::vec(any::<u8>(), 0..200), at in any::<prop::sample::Index>(), bit in 0..8_u8) {
        let mut state = State::default();
        apply_next(&mut state, &command(1, 0, "a"));
        let before = state.store().digest();
        let reply = apply(&mut state, 2, &random_bytes);
        prop_assert!(wire::decode::<EditReply>(&reply).is_ok());
        prop_assert_eq!(state.store().digest(), before);
        prop_assert!(restore(&random_bytes).is_err());
        let mut damaged = snapshot(&state).unwrap();
        let at = at.index(damaged.len());
        damaged[at] ^= 1 << bit;
        if let Ok(restored) = restore(&damaged) {
            prop_assert!(restored.store().is_intact());
        }
    }
}
