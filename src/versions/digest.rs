//! Digest of a configuration, updated incrementally.
//!
//! A SHA-256 over the whole configuration would encode and hash 5,000 plans and 5,000 grants for
//! each change. The digest is therefore computed from the sum of the record hashes modulo 2^256; a
//! change of one record updates the sum with two record hashes. The sum is not collision-resistant
//! against an attacker who chooses the records, but all senders authenticate with the mesh token.
//! It detects lost, duplicated and mixed-up records.

use {
    crate::model::{Config, Digest, Grant, Plan, Terms, Version},
    serde::{Deserialize, Serialize},
    sha2::{Digest as _, Sha256},
};

/// Sum of the record hashes modulo 2^256, independent of their order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordSum {
    /// The sum as four words, least significant first.
    limbs: [u64; 4],
    /// Number of records.
    records: u64,
}

impl RecordSum {
    /// Returns the sum over all records of `cfg`.
    pub fn of(cfg: &Config) -> Self {
        let mut sum = Self::default();
        cfg.plans.values().for_each(|plan| sum.add(plan_hash(plan)));
        cfg.grants
            .values()
            .for_each(|grant| sum.add(grant_hash(grant)));
        sum
    }

    pub(super) fn add(&mut self, hash: [u64; 4]) {
        let mut carry = false;
        for (limb, part) in self.limbs.iter_mut().zip(hash) {
            let (partial, first) = limb.overflowing_add(part);
            let (total, second) = partial.overflowing_add(u64::from(carry));
            *limb = total;
            carry = first || second;
        }
        self.records = self.records.wrapping_add(1);
    }

    pub(super) fn subtract(&mut self, hash: [u64; 4]) {
        let mut borrow = false;
        for (limb, part) in self.limbs.iter_mut().zip(hash) {
            let (partial, first) = limb.overflowing_sub(part);
            let (total, second) = partial.overflowing_sub(u64::from(borrow));
            *limb = total;
            borrow = first || second;
        }
        self.records = self.records.wrapping_sub(1);
    }

    /// Returns the digest of the configuration `version` whose records have this sum.
    pub fn digest(&self, version: Version) -> Digest {
        let mut hash = Sha256::new();
        hash.update(version.0.to_le_bytes());
        hash.update(self.records.to_le_bytes());
        for limb in self.limbs {
            hash.update(limb.to_le_bytes());
        }
        Digest(hash.finalize().into())
    }
}

/// Returns the digest of a configuration, computed from all of its records.
///
/// ```
/// use anvilbeam::{model::Config, versions};
/// let cfg = Config::default();
/// assert_eq!(versions::digest_of(&cfg), versions::RecordSum::of(&cfg).digest(cfg.version));
/// ```
pub fn digest_of(cfg: &Config) -> Digest {
    RecordSum::of(cfg).digest(cfg.version)
}

pub(super) fn plan_hash(plan: &Plan) -> [u64; 4] {
    let mut hash = Sha256::new();
    hash.update(b"plan");
    hash_text(&mut hash, plan.name.as_str());
    hash_text(&mut hash, plan.home_region.as_str());
    hash_length(&mut hash, plan.key_hashes.len());
    plan.key_hashes.iter().for_each(|key| hash.update(key.0));
    into_limbs(hash)
}

pub(super) fn grant_hash(grant: &Grant) -> [u64; 4] {
    let mut hash = Sha256::new();
    hash.update(b"grant");
    hash_text(&mut hash, grant.plan.as_str());
    hash_text(&mut hash, grant.service.as_str());
    hash_length(&mut hash, grant.servers.len());
    for server in &grant.servers {
        hash_text(&mut hash, server.as_str());
    }
    hash.update(grant.capacity.to_le_bytes());
    hash.update([grant.rank.index() as u8]);
    hash_text(&mut hash, grant.path.as_str());
    hash_terms(&mut hash, &grant.terms);
    into_limbs(hash)
}

/// Hashes the terms of a grant. Lengths of texts and presence flags of numbers keep the field
/// boundaries unambiguous.
fn hash_terms(hash: &mut Sha256, terms: &Terms) {
    let Terms {
        weight,
        work,
        timeout_ms,
        target_ms,
        attempts,
        note,
    } = terms;
    hash_optional(hash, weight.map(u64::from));
    hash_optional(hash, work.map(|work| work as u64));
    hash_optional(hash, *timeout_ms);
    hash_optional(hash, *target_ms);
    hash_optional(hash, attempts.map(u64::from));
    hash_text(hash, note.as_deref().unwrap_or_default());
}

fn hash_optional(hash: &mut Sha256, value: Option<u64>) {
    hash.update([u8::from(value.is_some())]);
    hash.update(value.unwrap_or_default().to_le_bytes());
}

fn hash_length(hash: &mut Sha256, len: usize) {
    hash.update((len as u64).to_le_bytes());
}

fn hash_text(hash: &mut Sha256, value: &str) {
    hash_length(hash, value.len());
    hash.update(value);
}

fn into_limbs(hash: Sha256) -> [u64; 4] {
    let bytes: [u8; 32] = hash.finalize().into();
    let mut out = [0; 4];
    for (limb, chunk) in out.iter_mut().zip(bytes.chunks_exact(8)) {
        *limb = chunk
            .iter()
            .fold(0, |sum, byte| (sum << 8) | u64::from(*byte));
    }
    out
}
