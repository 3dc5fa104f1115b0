//! Measures how processor time, memory and message sizes of the reducers and encodings grow with
//! the fleet.
//!
//! Run with `cargo run --release --example slopes [memory|claims|edits|calls|limits|connections]`.
//! All code runs on one thread, and without sockets except in `connections`.
//! Resident memory is correct only when `memory` and `claims` run alone, since a later measurement
//! reuses memory that an earlier one has freed.

mod calls;
mod claims;
mod connections;
mod edits;
mod limits;
mod memory;
mod tree;

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

fn main() {
    let selected = std::env::args().nth(1);
    let measurements: [(&str, fn()); 6] = [
        ("memory", memory::run),
        ("claims", claims::run),
        ("edits", edits::run),
        ("calls", calls::run),
        ("limits", limits::run),
        ("connections", connections::run),
    ];
    for (name, run) in measurements {
        if selected.as_ref().is_none_or(|selected| selected == name) {
            run();
            println!();
        }
    }
}

/// Runs `f` and returns its run time and its result.
fn timed<T>(f: impl FnOnce() -> T) -> (Duration, T) {
    let start = Instant::now();
    let out = black_box(f());
    (start.elapsed(), out)
}

/// Returns the mean in microseconds of `runs` runs that took `time` together.
fn micros(time: Duration, runs: usize) -> f64 {
    time.as_secs_f64() * 1e6 / runs as f64
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> f64 {
    const PAGE: f64 = 4_096.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0.0) * PAGE
}
