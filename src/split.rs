//! Split of the calls of one plan and path among its grants, by their weights.
//!
//! Smooth weighted round robin: each grant gains credit by its weight, the richest one is chosen
//! and pays the sum. The shares are exact over any run of calls. The first credits are random, so
//! that daemons with few calls don't all begin with the same grant.

#[cfg(test)]
mod tests;

use {
    crate::model::{Grant, GrantKey, PathPrefix, PlanName},
    std::collections::HashMap,
};

/// Splits that are kept; rarely used paths start over when there are more.
const MAX_SPLITS: usize = 4096;

/// Credits of the grants of each split.
#[derive(Debug, Default)]
pub struct Splits {
    credits: HashMap<(PlanName, PathPrefix), Credits>,
}

#[derive(Debug, Default)]
struct Credits {
    /// Grants and weights that the credits are for; a change of either starts over.
    of: Vec<(GrantKey, u32)>,
    credits: Vec<i64>,
}

impl Splits {
    /// Chooses one of the grants of one plan and path; grants of weight 0 are never chosen.
    pub fn choose<'a>(&mut self, grants: &[&'a Grant], random: u64) -> Option<&'a Grant> {
        let (first, rest) = grants.split_first()?;
        if rest.is_empty() {
            return Some(first);
        }
        if self.credits.len() >= MAX_SPLITS {
            self.credits.clear();
        }
        let key = (first.plan.clone(), first.path.clone());
        let split = self.credits.entry(key).or_default();
        if !split.matches(grants) {
            *split = Credits::new(grants, random);
        }
        split.next().and_then(|at| grants.get(at).copied())
    }
}

fn weight(grant: &Grant) -> u32 {
    grant.terms.weight.unwrap_or(1)
}

impl Credits {
    fn new(grants: &[&Grant], random: u64) -> Self {
        let of: Vec<_> = grants.iter().map(|g| (g.key(), weight(g))).collect();
        let total: i64 = of.iter().map(|(_, weight)| i64::from(*weight)).sum();
        let mut next = random;
        let credits = of.iter().map(|_| {
            next = next.rotate_left(17).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            (next >> 33).cast_signed() % total.max(1)
        });
        let credits = credits.collect();
        Self { of, credits }
    }

    fn matches(&self, grants: &[&Grant]) -> bool {
        let same = |((key, held), grant): (&(GrantKey, u32), &&Grant)| {
            *held == weight(grant) && key.service == grant.service
        };
        self.of.len() == grants.len() && self.of.iter().zip(grants).all(same)
    }

    fn next(&mut self) -> Option<usize> {
        let total: i64 = self.of.iter().map(|(_, weight)| i64::from(*weight)).sum();
        for (credit, (_, weight)) in self.credits.iter_mut().zip(&self.of) {
            *credit += i64::from(*weight);
        }
        let usable = self.of.iter().enumerate().filter(|(_, (_, w))| *w > 0);
        let (at, _) = usable.max_by_key(|(at, _)| self.credits[*at])?;
        self.credits[at] -= total;
        Some(at)
    }
}
