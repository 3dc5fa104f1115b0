//! Weighted draws among the candidates of one group.

/// A candidate with its weight in the draw and its cost.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scored {
    /// Position in the group.
    pub(super) at: usize,
    pub(super) weight: f64,
    /// Expected length of the queue after this call.
    pub(super) queue: f64,
    /// Seconds for one call, if known.
    pub(super) latency: Option<f64>,
}

impl Scored {
    /// Whether this candidate is expected to answer sooner than `other`. A latency that is not
    /// known is taken to be that of the other one.
    pub(super) fn beats(&self, other: &Self) -> bool {
        let (Some(own), Some(others)) = (self.latency, other.latency) else {
            return self.queue < other.queue;
        };
        self.queue * own < other.queue * others
    }
}

/// Draws by weight, without the candidate at `skip`.
pub(super) fn draw(scored: &[Scored], skip: Option<usize>, draws: &mut Draws) -> Option<Scored> {
    let open = || scored.iter().filter(|s| Some(s.at) != skip);
    let mut left = draws.unit() * open().map(|s| s.weight).sum::<f64>();
    for candidate in open() {
        left -= candidate.weight;
        if left < 0.0 {
            return Some(*candidate);
        }
    }
    // Rounding may leave a rest after the last candidate.
    open().next_back().copied()
}

/// Random numbers derived from the one passed in (`SplitMix64`).
pub(super) struct Draws(pub(super) u64);

impl Draws {
    /// A number in `0.0..1.0`.
    pub(super) fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
