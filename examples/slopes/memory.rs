//! Resident memory of one daemon's lists, endpoint sets and routing state.

use {
    super::{
        resident_bytes,
        tree::{Daemon, store},
    },
    anvilbeam::{
        announce::ANNOUNCE_LEASE,
        daemon::{event::Event as CallEvent, state::State},
        routes::{Location, Snapshot},
    },
    std::sync::Arc,
};

/// Daemons over which the memory is averaged.
const COPIES: usize = 12;

pub fn run() {
    println!("memory of one daemon's copy (MB): lists and endpoint sets; with routes and balancer");
    println!("grants endpoints    copy  with routes");
    // Retained, since reuse of freed memory would hide the growth.
    let mut retained = Vec::new();
    for (grants, endpoints) in [
        (500, 100),
        (2_000, 100),
        (5_000, 100),
        (500, 1_000),
        (500, 2_600),
        (2_000, 1_000),
        (5_000, 2_600),
    ] {
        retained.push(measure(grants, endpoints));
    }
}

fn measure(grants: usize, endpoints: usize) -> (Vec<Daemon>, Vec<State>) {
    let store = store(grants);
    let before = resident_bytes();
    let daemons: Vec<_> = (0..COPIES)
        .map(|_| Daemon::start(&store, endpoints))
        .collect();
    let copies = resident_bytes() - before;
    let states: Vec<_> = daemons.iter().map(routing_state).collect();
    let with_routes = resident_bytes() - before;
    let each = |bytes: f64| bytes / COPIES as f64 / 1e6;
    println!(
        "{grants:>6} {endpoints:>9} {:>7.2} {:>12.2}",
        each(copies),
        each(with_routes)
    );
    (daemons, states)
}

/// Returns the routing state of a daemon that holds the lists and sets of `daemon`.
fn routing_state(daemon: &Daemon) -> State {
    let config = daemon.uplink.in_force().expect("a version is in force");
    let location = Location {
        data_centre: "dc-0".into(),
        region: "region-0".into(),
    };
    let snapshot = Snapshot::build(
        Arc::clone(config),
        daemon.uplink.directory().iter(),
        location,
    );
    let mut state = State::new(ANNOUNCE_LEASE);
    state.handle(CallEvent::RoutesChanged(Arc::new(snapshot)), daemon.now, 7);
    state
}
