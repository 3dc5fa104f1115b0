//! anvilbeam distributes the configuration of a service mesh and routes its calls.

pub mod admission;
pub mod error;
pub mod limits;
pub mod model;
pub mod wire;
