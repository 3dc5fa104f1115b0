//! Versions of the configuration: the store of control replicas and daemons, deltas between
//! versions, digests, and the floor, which is the minimum version that may be in force.

mod change;
mod delta;
mod digest;
mod parts;
mod store;

#[cfg(test)]
mod tests;

pub use self::{
    change::{ApplyError, Change, MAX_RECORD_BYTES, MAX_RECORDS, Record},
    delta::ConfigDelta,
    digest::{RecordSum, digest_of},
    parts::{DeltaAssembler, DeltaPart, MAX_PARTS, PART_BYTES, split_delta},
    store::{ConfigStore, MAX_TOMBSTONES},
};
