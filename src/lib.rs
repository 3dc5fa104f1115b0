//! anvilbeam distributes the configuration of a service mesh and routes its calls.

pub mod cli;
pub mod error;
pub mod events;
pub mod lists;
pub mod logging;
pub mod metrics;
pub mod model;
pub mod operator;
pub mod operator_api;
pub mod options;
pub mod settings;
pub mod wire;
pub mod yaml;
