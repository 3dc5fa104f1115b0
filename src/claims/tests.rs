use {
    super::*,
    indexmap::IndexSet,
    proptest::{
        prelude::*,
        test_runner::{Config as ProptestConfig, RngSeed},
    },
};

const SEED: u64 = 0x00C1_A135;
const KEYS: u8 = 3;
const ATTEMPTS: u128 = 6;

#[derive(Clone, Debug)]
enum Step {
    Claim { key: u8, attempt: u128 },
    Finish { key: u8, attempt: u128 },
    Release { key: u8, attempt: u128 },
    Restart,
    Wait { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let key = 0..KEYS;
    let attempt = 0..ATTEMPTS;
    prop_oneof![
        4 => (key.clone(), attempt.clone()).prop_map(|(key, attempt)| Step::Claim { key, attempt }),
        2 => (key.clone(), attempt.clone()).prop_map(|(key, attempt)| Step::Finish { key, attempt }),
        2 => (key, attempt).prop_map(|(key, attempt)| Step::Release { key, attempt }),
        1 => Just(Step::Restart),
        1 => (0..ANSWER_LIFETIME_MS).prop_map(|ms| Step::Wait { ms }),
    ]
}

fn claim_key(key: u8) -> ClaimKey {
    ClaimKey::new(&"boards".into(), &format!("order-{key}"))
}

fn answer() -> StoredAnswer {
    StoredAnswer {
        status: 201,
        headers: Vec::new(),
        body: Some(b"printed".to_vec()),
    }
}

fn claim(key: u8, attempt: u128, now_ms: u64) -> Command {
    Command::Claim {
        key: claim_key(key),
        attempt: Attempt(attempt),
        request: Digest::of(&[key]),
        owner: "d1".into(),
        now_ms,
    }
}

/// Model of the daemons: an attempt that was granted has run unless it was released.
#[derive(Default)]
struct Oracle {
    running: IndexMap<u8, IndexSet<u128>>,
    released: IndexSet<u128>,
    done: IndexSet<u8>,
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against two attempts of one key that may both run, which claims, answers, releases
    /// and restarts in an unexpected order could allow.
    #[test]
    fn one_try_runs_for_each_key(steps in prop::collection::vec(step(), 1..60)) {
        let mut claims = Claims::default();
        let mut oracle = Oracle::default();
        let mut now_ms = 1_000;
        for step in steps {
            match step {
                Step::Claim { key, attempt } => {
                    // Each attempt id is used with one key only.
                    let attempt = attempt * u128::from(KEYS) + u128::from(key);
                    let reply = claims.execute(claim(key, attempt, now_ms));
                    match reply {
                        Reply::Granted => {
                            prop_assert!(!oracle.released.contains(&attempt));
                            prop_assert!(!oracle.done.contains(&key));
                            let running = oracle.running.entry(key).or_default();
                            running.insert(attempt);
                            prop_assert_eq!(running.len(), 1);
                        }
                        Reply::Done(_) => prop_assert!(oracle.done.contains(&key)),
                        Reply::Released => prop_assert!(oracle.released.contains(&attempt)),
                        Reply::Pending { .. } => prop_assert!(!oracle.running[&key].is_empty()),
                        other => prop_assert!(false, "unexpected {other:?}"),
                    }
                }
                Step::Finish { key, attempt } => {
                    let attempt = attempt * u128::from(KEYS) + u128::from(key);
                    if !oracle.running.get(&key).is_some_and(|r| r.contains(&attempt)) {
                        continue;
                    }
                    let reply = claims.execute(Command::Finish {
                        key: claim_key(key),
                        attempt: Attempt(attempt),
                        answer: answer(),
                        now_ms,
                    });
                    prop_assert_eq!(reply, Reply::Recorded);
                    oracle.done.insert(key);
                }
                Step::Release { key, attempt } => {
                    let attempt = attempt * u128::from(KEYS) + u128::from(key);
                    let reply = claims.execute(Command::Release {
                        key: claim_key(key),
                        attempt: Attempt(attempt),
                        now_ms,
                    });
                    if reply == Reply::Recorded {
                        oracle.released.insert(attempt);
                        if let Some(running) = oracle.running.get_mut(&key) {
                            running.swap_remove(&attempt);
                        }
                    } else {
                        prop_assert!(oracle.done.contains(&key));
                    }
                }
                Step::Restart => {
                    let restored = restore(&snapshot(&claims).unwrap()).unwrap();
                    prop_assert_eq!(&restored, &claims);
                    claims = restored;
                }
                Step::Wait { ms } => {
                    // Limited so that no key and no released attempt expires.
                    now_ms = (now_ms + ms).min(RELEASE_LIFETIME_MS);
                }
            }
        }
    }

    /// Guards against a panic on bytes that are not a valid command or snapshot.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut claims = Claims::default();
        apply(&mut claims, 1, &bytes);
        drop(restore(&bytes));
    }
}

/// Guards against unbounded memory growth from keys and answers that never expire.
#[test]
fn keys_and_answers_expire() {
    let mut claims = Claims::default();
    assert_eq!(claims.execute(claim(0, 1, 0)), Reply::Granted);
    claims.execute(Command::Finish {
        key: claim_key(0),
        attempt: Attempt(1),
        answer: answer(),
        now_ms: 0,
    });
    let Reply::Done(kept) = claims.execute(claim(0, 2, ANSWER_LIFETIME_MS)) else {
        panic!("the key must still be stored");
    };
    assert_eq!((kept.status, kept.body), (201, None));
    assert_eq!(claims.execute(claim(0, 3, KEY_LIFETIME_MS)), Reply::Granted);
    assert_eq!(claims.len(), 1);
}

/// Guards against a stored answer that is returned for a different request with the same key.
#[test]
fn a_key_reused_for_another_request_is_refused() {
    let mut claims = Claims::default();
    claims.execute(claim(0, 1, 0));
    let other = Command::Claim {
        key: claim_key(0),
        attempt: Attempt(2),
        request: Digest::of(b"other"),
        owner: "d2".into(),
        now_ms: 0,
    };
    assert_eq!(claims.execute(other), Reply::Mismatch);
}
