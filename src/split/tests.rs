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

/// Guards against shares that drift from the weights.
#[test]
fn shares_follow_the_weights() {
    let (a, b, none) = (grant("a", 90), grant("b", 10), grant("c", 0));
    let grants = [&a, &b, &none];
    for random in [0, 7, u64::MAX] {
        let mut splits = Splits::default();
        let mut of_b = 0;
        for _ in 0..1000 {
            let chosen = splits.choose(&grants, random).expect("a grant");
            assert_ne!(chosen.service.as_str(), "c");
            of_b += u32::from(chosen.service.as_str() == "b");
        }
        assert!((98..=102).contains(&of_b), "b has {of_b} of 1000 calls");
    }
}

/// Guards against a lookup that fails when there is nothing to split.
#[test]
fn a_single_grant_takes_all() {
    let only = grant("a", 5);
    let mut splits = Splits::default();
    assert_eq!(splits.choose(&[&only], 1), Some(&only));
    assert_eq!(splits.choose(&[], 1), None);
}
