//! Configuration shared by all property tests.

use proptest::{prelude::ProptestConfig, test_runner::RngSeed};

/// Returns a configuration with a fixed `seed`; `PROPTEST_CASES` sets the number of cases.
pub(crate) fn seeded(seed: u64) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
