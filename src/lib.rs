//! anvilbeam distributes the configuration of a service mesh and routes its calls.

pub mod error;
pub mod model;
pub mod raft;
pub mod replica;
pub mod wal;
pub mod wire;
