//! Adapter to the Bureau's platform: translates its headers, heartbeats and configurations.
//!
//! Nothing outside this module knows the platform's names. It decides nothing: what it decodes
//! becomes announcements, replacements of the two lists and a dialect.

mod configuration;
mod headers;
mod heartbeat;
mod operators;
#[cfg(test)]
mod tests;
mod units;
mod upstream;

pub use {
    configuration::{Decoded, decode, render},
    headers::dialect,
    heartbeat::{Heartbeat, decode_heartbeat},
};
pub(crate) use {operators::operator_routes, upstream::upstream_routes};
