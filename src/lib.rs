//! anvilbeam distributes the configuration of a service mesh and routes its calls.

pub mod balance;
pub mod error;
pub mod model;
pub mod retry;
pub mod routes;
#[cfg(test)]
mod seeded;
pub mod suspects;
pub mod wire;
