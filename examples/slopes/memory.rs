//! Resident memory of what one daemon holds of the mesh.

use {
    super::{
        resident,
        tree::{Daemon, store},
    },
    anvilbeam::{
        announce::ANNOUNCE_LEASE,
        daemon::{event::Event as CallEvent, state::State},
        relays::Role,
        routes::{Location, Snapshot},
    },
    std::sync::Arc,
};

const COPIES: usize = 12;

pub fn run() {
    println!("memory of one daemon's copy (MB): lists and endpoint sets; with routes and balancer");
    println!("grants endpoints    copy  with routes");
    // Kept, since memory that is freed would be used again and hide the growth.
    let mut kept = Vec::new();
    for (grants, endpoints) in [
        (500, 100),
        (2_000, 100),
        (5_000, 100),
        (500, 1_000),
        (500, 2_600),
        (2_000, 1_000),
        (5_000, 2_600),
    ] {
        kept.push(measure(grants, endpoints));
    }
}

fn measure(grants: usize, endpoints: usize) -> (Vec<Daemon>, Vec<State>) {
    let store = store(grants);
    let before = resident();
    let daemons: Vec<_> = (0..COPIES)
        .map(|_| Daemon::start(Role::Leaf, &store, endpoints))
        .collect();
    let copies = resident() - before;
    let states: Vec<_> = daemons.iter().map(routes).collect();
    let all = resident() - before;
    let each = |bytes: f64| bytes / COPIES as f64 / 1e6;
    println!(
        "{grants:>6} {endpoints:>9} {:>7.2} {:>12.2}",
        each(copies),
        each(all)
    );
    (daemons, states)
}

fn routes(daemon: &Daemon) -> State {
    let config = daemon.uplink.in_force().expect("a version is in force");
    let here = Location {
        data_centre: "dc-0".into(),
        region: "region-0".into(),
    };
    let snapshot = Snapshot::build(Arc::clone(config), daemon.uplink.directory().iter(), here);
    let mut state = State::new(ANNOUNCE_LEASE);
    state.handle(CallEvent::RoutesChanged(Arc::new(snapshot)), daemon.now, 7);
    state
}
