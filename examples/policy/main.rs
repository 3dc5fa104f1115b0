//! Measures the policy under load in virtual time: one service of 6 backend servers with 20
//! slots each, under three policies. `cargo run --release --example policy`.

mod server;
mod sim;
mod table;

fn main() {
    table::print();
}
