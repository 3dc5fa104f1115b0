//! anvilbeam distributes the configuration of a service mesh and routes its calls.

pub mod admission;
pub mod announce;
pub mod backend;
pub mod balance;
pub mod body;
pub mod call;
pub mod claim_client;
pub mod claims;
pub mod daemon;
pub mod error;
pub mod lists;
pub mod model;
pub mod operator_api;
pub mod peer;
pub mod raft;
pub mod refusal;
pub mod replica;
pub mod retry;
pub mod routes;
pub mod serve;
pub mod settings;
pub mod stand_in;
pub mod wal;
pub mod wire;
pub mod yaml;
