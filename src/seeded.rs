//! Configuration that all property tests share.

use proptest::{prelude::ProptestConfig, test_runner::RngSeed};

/// A fixed `seed`; the number of cases comes from `PROPTEST_CASES`.
pub(crate) fn seeded(seed: u64) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
