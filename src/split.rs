//! Weighted distribution of the calls of one plan and path among its grants.
//!
//! Smooth weighted round robin: for each call, every grant gains its weight as credit, and the
//! grant with the most credit is chosen and pays the sum of all weights. Any sequence of calls follows
//! the weights to within a few calls. The initial credits are random, so that daemons with
//! few calls don't all begin with the same grant.

#[cfg(test)]
mod tests;

use {
    crate::model::{Grant, GrantKey, PathPrefix, PlanName},
    std::collections::HashMap,
};

/// Maximum number of stored splits; when it is reached, all are discarded.
const MAX_SPLITS: usize = 4096;

/// Round-robin state for each plan and path.
#[derive(Debug, Default)]
pub struct TrafficSplits {
    splits: HashMap<(PlanName, PathPrefix), WeightedRoundRobin>,
}

#[derive(Debug, Default)]
struct WeightedRoundRobin {
    /// Grants with their weights; a change of either resets the credits.
    weights: Vec<(GrantKey, u32)>,
    /// Credit of each grant, in the order of `weights`.
    credits: Vec<i64>,
}

impl TrafficSplits {
    /// Chooses one of the `grants` of one plan and path; `None` if none can be chosen.
    ///
    /// Among several grants, one of weight 0 is never chosen. `random` seeds the initial credits.
    pub fn choose<'a>(&mut self, grants: &[&'a Grant], random: u64) -> Option<&'a Grant> {
        let (first, rest) = grants.split_first()?;
        if rest.is_empty() {
            return Some(first);
        }
        if self.splits.len() >= MAX_SPLITS {
            self.splits.clear();
        }
        let key = (first.plan.clone(), first.path.clone());
        let split = self.splits.entry(key).or_default();
        if !split.matches(grants) {
            *split = WeightedRoundRobin::new(grants, random);
        }
        split
            .next_index()
            .and_then(|index| grants.get(index).copied())
    }
}

fn weight(grant: &Grant) -> u32 {
    grant.terms.weight.unwrap_or(1)
}

impl WeightedRoundRobin {
    fn new(grants: &[&Grant], random: u64) -> Self {
        let weights: Vec<_> = grants.iter().map(|g| (g.key(), weight(g))).collect();
        let total: i64 = weights.iter().map(|(_, weight)| i64::from(*weight)).sum();
        let mut next = random;
        let credits = weights.iter().map(|_| {
            next = next.rotate_left(17).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            (next >> 33).cast_signed() % total.max(1)
        });
        let credits = credits.collect();
        Self { weights, credits }
    }

    fn matches(&self, grants: &[&Grant]) -> bool {
        let same = |((key, previous), grant): (&(GrantKey, u32), &&Grant)| {
            *previous == weight(grant) && key.service == grant.service
        };
        self.weights.len() == grants.len() && self.weights.iter().zip(grants).all(same)
    }

    fn next_index(&mut self) -> Option<usize> {
        let total: i64 = self
            .weights
            .iter()
            .map(|(_, weight)| i64::from(*weight))
            .sum();
        for (credit, (_, weight)) in self.credits.iter_mut().zip(&self.weights) {
            *credit += i64::from(*weight);
        }
        let usable = self.weights.iter().enumerate().filter(|(_, (_, w))| *w > 0);
        let (index, _) = usable.max_by_key(|(index, _)| self.credits[*index])?;
        self.credits[index] -= total;
        Some(index)
    }
}
