//! anvilbeam distributes the configuration of a service mesh and routes its calls.

pub mod body;
pub mod claims;
pub mod error;
pub mod model;
pub mod peer;
pub mod serve;
pub mod wire;
