//! Parts of a delta that is larger than one message. The receiver applies the delta only when all
//! parts have arrived.

use {
    super::{Change, ConfigDelta},
    crate::{
        error::{Error, Result},
        model::{Digest, Version},
    },
    serde::{Deserialize, Serialize},
};

/// Maximum size of a part in bytes, unless a single record exceeds it. A record has at most
/// [`super::MAX_RECORD_BYTES`] and some framing, so a part is much smaller than the largest message.
pub const PART_BYTES: usize = 1024 * 1024;

/// Maximum number of parts of one delta; limits the buffer of a receiver to about 24 MiB.
pub const MAX_PARTS: u32 = 24;

/// One part of a delta; most deltas have one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaPart {
    /// Index of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// Delta with the records of this part; its other fields are the same in all parts.
    pub delta: ConfigDelta,
}

/// Splits a delta into parts that each fit into a message.
///
/// # Errors
/// [`Error::TooLarge`] if it needs more than [`MAX_PARTS`] parts.
pub fn split_delta(delta: ConfigDelta) -> Result<Vec<DeltaPart>> {
    let ConfigDelta {
        from,
        to,
        digest,
        full,
        change,
    } = delta;
    let mut parts = vec![Change::default()];
    let mut size = 0;
    for plan in change.plans {
        let bytes = plan.name.as_str().len()
            + plan.home_region.as_str().len()
            + plan.key_hashes.len() * size_of::<Digest>();
        part_for(&mut parts, &mut size, bytes).plans.push(plan);
    }
    for name in change.removed_plans {
        part_for(&mut parts, &mut size, name.as_str().len())
            .removed_plans
            .push(name);
    }
    for grant in change.grants {
        let names: usize = grant
            .servers
            .iter()
            .map(|name| name.as_str().len() + 8)
            .sum();
        let bytes = names + grant.plan.as_str().len() + grant.service.as_str().len();
        part_for(&mut parts, &mut size, bytes).grants.push(grant);
    }
    for key in change.removed_grants {
        let bytes = key.plan.as_str().len() + key.service.as_str().len();
        part_for(&mut parts, &mut size, bytes)
            .removed_grants
            .push(key);
    }
    let count = parts.len() as u32;
    if count > MAX_PARTS {
        return Err(Error::TooLarge {
            step: "split delta",
            size: parts.len() * PART_BYTES,
            limit: MAX_PARTS as usize * PART_BYTES,
        });
    }
    let numbered = (0..).zip(parts);
    Ok(numbered
        .map(|(part, change)| DeltaPart {
            part,
            parts: count,
            delta: ConfigDelta {
                from,
                to,
                digest,
                full,
                change,
            },
        })
        .collect())
}

/// Returns the part for a record of `bytes`; opens a new part if the last one is full.
fn part_for<'a>(parts: &'a mut Vec<Change>, size: &mut usize, bytes: usize) -> &'a mut Change {
    // Framing of one record: lengths, capacity and rank.
    const OVERHEAD: usize = 32;
    *size += bytes + OVERHEAD;
    if *size > PART_BYTES {
        parts.push(Change::default());
        *size = bytes + OVERHEAD;
    }
    let last = parts.len() - 1;
    &mut parts[last]
}

/// Reassembles one delta from its parts, which have to arrive in order.
#[derive(Clone, Debug, Default)]
pub struct DeltaAssembler {
    /// Index of the next part.
    next: u32,
    /// Parts so far; `None` before the first.
    delta: Option<ConfigDelta>,
}

impl DeltaAssembler {
    /// Adds the next part; returns the delta once all parts have arrived.
    ///
    /// The first part of a delta discards an incomplete one.
    ///
    /// # Errors
    /// [`Error::Codec`] if the part doesn't follow the parts so far, which are discarded then.
    pub fn push(&mut self, part: DeltaPart) -> Result<Option<ConfigDelta>> {
        let DeltaPart {
            part: number,
            parts,
            delta,
        } = part;
        if number == 0 {
            self.next = 0;
            self.delta = None;
        }
        let follows = |held: &ConfigDelta| {
            (held.from, held.to, held.digest, held.full)
                == (delta.from, delta.to, delta.digest, delta.full)
        };
        let fits = number == self.next && number < parts && parts <= MAX_PARTS;
        if !fits || !self.delta.as_ref().is_none_or(follows) {
            let (from, to, expected) = (delta.from, delta.to, self.next);
            self.next = 0;
            self.delta = None;
            return Err(out_of_order(from, to, (number, parts), expected));
        }
        match &mut self.delta {
            None => self.delta = Some(delta),
            Some(held) => {
                held.change.plans.extend(delta.change.plans);
                held.change.removed_plans.extend(delta.change.removed_plans);
                held.change.grants.extend(delta.change.grants);
                held.change
                    .removed_grants
                    .extend(delta.change.removed_grants);
            }
        }
        self.next += 1;
        if self.next < parts {
            return Ok(None);
        }
        self.next = 0;
        Ok(self.delta.take())
    }
}

fn out_of_order(from: Version, to: Version, got: (u32, u32), expected: u32) -> Error {
    let (part, parts) = got;
    Error::Codec {
        step: "reassemble delta",
        reason: format!(
            "got part {part} of {parts} of the delta from version {from} to {to}, expected part {expected}"
        ),
    }
}
