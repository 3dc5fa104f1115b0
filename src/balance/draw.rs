//! Weighted random selection among the candidates of one group.

/// A candidate with its weight in the draw and its expected cost.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scored {
    /// Index in the group.
    pub(super) index: usize,
    pub(super) weight: f64,
    /// Outstanding calls including this one.
    pub(super) queue_length: f64,
    /// Expected latency of a call in seconds; `None` without samples.
    pub(super) latency: Option<f64>,
}

impl Scored {
    /// Whether this candidate is expected to answer sooner than `other`. An unknown latency is
    /// assumed to equal that of the other candidate.
    pub(super) fn is_faster_than(&self, other: &Self) -> bool {
        let (Some(own), Some(others)) = (self.latency, other.latency) else {
            return self.queue_length < other.queue_length;
        };
        self.queue_length * own < other.queue_length * others
    }
}

/// Draws a candidate with a probability in proportion to its weight, without the one at `skip`.
pub(super) fn draw(scored: &[Scored], skip: Option<usize>, rng: &mut SplitMix64) -> Option<Scored> {
    let remaining = || scored.iter().filter(|s| Some(s.index) != skip);
    let mut left = rng.next_unit() * remaining().map(|s| s.weight).sum::<f64>();
    for candidate in remaining() {
        left -= candidate.weight;
        if left < 0.0 {
            return Some(*candidate);
        }
    }
    // Rounding errors may leave a remainder after the last candidate.
    remaining().next_back().copied()
}

/// Pseudorandom number generator, seeded with the number passed in.
pub(super) struct SplitMix64(pub(super) u64);

impl SplitMix64 {
    /// Returns the next number in `0.0..1.0`.
    pub(super) fn next_unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
