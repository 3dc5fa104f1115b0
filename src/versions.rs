//! Versions of the configuration: one store for control, relays and daemons, deltas between
//! versions, digests and the floor below which nothing is in force.

mod change;
mod delta;
mod digest;
mod parts;
mod store;

#[cfg(test)]
mod tests;

pub use self::{
    change::{ApplyError, Change, MAX_RECORD, MAX_RECORDS, Record},
    delta::ConfigDelta,
    digest::{RecordSum, digest_of},
    parts::{DeltaPart, MAX_PARTS, PART_BYTES, Parts, split},
    store::{ConfigStore, MAX_TOMBSTONES},
};
