//! The daemon beside each backend server.

mod attempt;
mod entry;
pub mod event;
mod order;
mod owner;
pub mod shared;
pub mod state;
