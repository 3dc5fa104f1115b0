//! anvilbeam distributes the configuration of a service mesh and routes its calls.

pub mod admission;
pub mod announce;
pub mod api;
pub mod backend;
pub mod balance;
pub mod body;
pub mod call;
pub mod capacity;
pub mod claim_client;
pub mod claims;
pub mod cli;
pub mod control;
pub mod daemon;
pub mod dev;
pub mod edits;
pub mod endpoints;
pub mod error;
pub mod events;
pub mod http_client;
pub mod limits;
pub mod lists;
pub mod logging;
pub mod metrics;
pub mod model;
pub mod operator;
pub mod operator_api;
pub mod options;
pub mod peer;
pub mod program;
pub mod raft;
pub mod refusal;
pub mod relays;
pub mod replica;
pub mod retry;
pub mod routes;
pub mod serve;
pub mod settings;
pub mod stand_in;
pub mod suspects;
pub mod tree_wire;
pub mod versions;
pub mod wal;
pub mod wire;
pub mod yaml;

#[cfg(test)]
mod seeded;
