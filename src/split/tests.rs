use super::*;
use crate::model::{Rank, Terms, UNLIMITED};

fn grant(service: &str, weight: u32) -> Grant {
    Grant {
        plan: "clerks".into(),
        service: service.into(),
        servers: Vec::new(),
        capacity: UNLIMITED,
        rank: Rank::Normal,
        path: "/a/".into(),
        terms: Terms {
            weight: Some(weight),
            ..Terms::default()
        },
    }
}

/// Guards against a distribution of calls that drifts from the weights.
#[test]
fn calls_follow_the_weights() {
    let (a, b, unused) = (grant("a", 90), grant("b", 10), grant("c", 0));
    let grants = [&a, &b, &unused];
    for random in [0, 7, u64::MAX] {
        let mut splits = TrafficSplits::default();
        let mut of_b = 0;
        for _ in 0..1000 {
            let chosen = splits.choose(&grants, random).expect("a grant is chosen");
            assert_ne!(chosen.service.as_str(), "c");
            of_b += u32::from(chosen.service.as_str() == "b");
        }
        assert!((98..=102).contains(&of_b), "b has {of_b} of 1000 calls");
    }
}

/// Guards against a choice that fails when there is only one grant or none.
#[test]
fn a_single_grant_gets_all_calls() {
    let only = grant("a", 5);
    let mut splits = TrafficSplits::default();
    assert_eq!(splits.choose(&[&only], 1), Some(&only));
    assert_eq!(splits.choose(&[], 1), None);
}
