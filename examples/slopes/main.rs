//! Measures how cost and size grow with the fleet, on the real reducers and encodings.
//!
//! Run with `cargo run --release --example slopes [memory|claims|relay|edits|calls|limits|connections]`.
//! All code runs on one thread, and but for `connections` without sockets.
//! Resident memory is right only when `memory` and `claims` run alone, since a later part uses
//! again what an earlier one has freed.

mod calls;
mod claims;
mod connections;
mod edits;
mod limits;
mod memory;
mod relay;
mod tree;

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

fn main() {
    let only = std::env::args().nth(1);
    let parts: [(&str, fn()); 7] = [
        ("memory", memory::run),
        ("claims", claims::run),
        ("relay", relay::run),
        ("edits", edits::run),
        ("calls", calls::run),
        ("limits", limits::run),
        ("connections", connections::run),
    ];
    for (name, run) in parts {
        if only.as_ref().is_none_or(|only| only == name) {
            run();
            println!();
        }
    }
}

/// Time that `f` takes, and what it returns.
fn timed<T>(f: impl FnOnce() -> T) -> (Duration, T) {
    let start = Instant::now();
    let out = black_box(f());
    (start.elapsed(), out)
}

/// Microseconds of `time` shared by `number` runs.
fn micros(time: Duration, number: usize) -> f64 {
    time.as_secs_f64() * 1e6 / number as f64
}

/// Resident memory of this process in bytes.
fn resident() -> f64 {
    const PAGE: f64 = 4_096.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0.0) * PAGE
}
