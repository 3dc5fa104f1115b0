//! Adapter for the Bureau's platform: translates its headers, heartbeats and configurations into a
//! dialect, announcements and replacements of the two lists.
//!
//! The platform's names are used in this module only. It makes no routing or admission decisions.

mod accounts;
mod configuration;
mod headers;
mod heartbeat;
mod operators;
mod rollouts;
#[cfg(test)]
mod tests;
mod units;
mod upstream;

pub use accounts::account_burst;
pub use {
    configuration::{DecodedConfiguration, decode_configuration, render_configuration},
    headers::dialect,
    heartbeat::{Heartbeat, decode_heartbeat},
};
pub(crate) use {operators::operator_routes, upstream::upstream_routes};
