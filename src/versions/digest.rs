//! Digest of a configuration, kept incrementally.
//!
//! A full SHA-256 over 5,000 plans and 5,000 grants encodes and hashes everything for each
//! change. The digest is instead taken over the sum of the records' hashes modulo 2^256, which a
//! change of one record updates with two record hashes. The sum doesn't resist an attacker who
//! chooses the records, but all senders prove with the mesh token that they belong to the mesh;
//! it guards against lost, repeated and mixed-up records.

use {
    crate::model::{Config, Digest, Grant, Plan, Terms, Version},
    serde::{Deserialize, Serialize},
    sha2::{Digest as _, Sha256},
};

/// Order-independent sum of the records' hashes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordSum {
    limbs: [u64; 4],
    records: u64,
}

impl RecordSum {
    /// Sum over all records of `cfg`.
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

    /// Digest of the configuration `version` whose records have this sum.
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

/// Digest of a configuration, computed from all of its records.
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
    text(&mut hash, plan.name.as_str());
    text(&mut hash, plan.home_region.as_str());
    length(&mut hash, plan.key_hashes.len());
    plan.key_hashes.iter().for_each(|key| hash.update(key.0));
    limbs(hash)
}

pub(super) fn grant_hash(grant: &Grant) -> [u64; 4] {
    let mut hash = Sha256::new();
    hash.update(b"grant");
    text(&mut hash, grant.plan.as_str());
    text(&mut hash, grant.service.as_str());
    length(&mut hash, grant.servers.len());
    for server in &grant.servers {
        text(&mut hash, server.as_str());
    }
    hash.update(grant.capacity.to_le_bytes());
    hash.update([grant.rank.index() as u8]);
    text(&mut hash, grant.path.as_str());
    terms(&mut hash, &grant.terms);
    limbs(hash)
}

/// Lengths keep the boundaries between fields unambiguous.
fn terms(hash: &mut Sha256, terms: &Terms) {
    let Terms {
        weight,
        work,
        timeout_ms,
        target_ms,
        attempts,
        note,
    } = terms;
    number(hash, weight.map(u64::from));
    number(hash, work.map(|work| work as u64));
    number(hash, *timeout_ms);
    number(hash, *target_ms);
    number(hash, attempts.map(u64::from));
    text(hash, note.as_deref().unwrap_or_default());
}

fn number(hash: &mut Sha256, value: Option<u64>) {
    hash.update([u8::from(value.is_some())]);
    hash.update(value.unwrap_or_default().to_le_bytes());
}

fn length(hash: &mut Sha256, len: usize) {
    hash.update((len as u64).to_le_bytes());
}

fn text(hash: &mut Sha256, value: &str) {
    length(hash, value.len());
    hash.update(value);
}

fn limbs(hash: Sha256) -> [u64; 4] {
    let bytes: [u8; 32] = hash.finalize().into();
    let mut out = [0; 4];
    for (limb, chunk) in out.iter_mut().zip(bytes.chunks_exact(8)) {
        *limb = chunk
            .iter()
            .fold(0, |sum, byte| (sum << 8) | u64::from(*byte));
    }
    out
}
