//! Simulates the load on one service of 6 backend servers with 20 slots each, under three
//! scheduling policies, in virtual time.
//!
//! Run with `cargo run --release --example policy`.

mod server;
mod sim;
mod table;

fn main() {
    table::print();
}
