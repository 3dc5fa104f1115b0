//! anvilbeam distributes the configuration of a service mesh and routes its calls.

pub mod announce;
pub mod backend;
pub mod balance;
pub mod body;
pub mod call;
pub mod claim_client;
pub mod claims;
pub mod admission;
pub mod error;
pub mod lists;
pub mod model;
pub mod operator_api;
pub mod peer;
pub mod refusal;
pub mod retry;
pub mod routes;
pub mod serve;
pub mod settings;
pub mod stand_in;
pub mod raft;
pub mod replica;
pub mod wal;
pub mod wire;
pub mod yaml;
