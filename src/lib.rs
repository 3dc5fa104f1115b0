//! anvilbeam distributes the configuration of a service mesh and routes its calls.

pub mod edits;
pub mod endpoints;
pub mod error;
pub mod model;
pub mod relays;
pub mod versions;
pub mod wire;
