//! Processor time of a daemon's reducers per call.

use {
    super::{
        micros, timed,
        tree::{Daemon, grant, store},
    },
    anvilbeam::{
        accounts::Credentials,
        admission,
        announce::{ANNOUNCE_LEASE, Announcement, HeartbeatInfo},
        balance,
        daemon::{
            event::{Attempt, Effect, Event, RequestHead, Target},
            state::State,
        },
        model::ServerState,
        routes::{Location, Snapshot},
    },
    http::Method,
    std::{sync::Arc, time::Duration},
};

const CALLS: usize = 200_000;

pub fn run() {
    println!(
        "reducers per call (us): entry daemon (key, route, choice, outcome), owner daemon (slot taken and returned)"
    );
    println!("grants endpoints   entry   owner");
    for (grants, endpoints) in [(500, 100), (2_000, 1_000), (5_000, 2_600)] {
        let daemon = Daemon::start(&store(grants), endpoints);
        let config = daemon.uplink.in_force().expect("a version is in force");
        let location = Location {
            data_centre: "dc-0".into(),
            region: "region-0".into(),
        };
        let directory = daemon.uplink.directory();
        let snapshot = Snapshot::build(Arc::clone(config), directory.iter(), location);
        let mut state = State::new(ANNOUNCE_LEASE);
        state.handle(Event::RoutesChanged(Arc::new(snapshot)), daemon.now, 7);
        announce_server(&mut state, &daemon);
        let (entry, call) = entry_cost(&mut state, &daemon, grants);
        let owner = owner_cost(&mut state, &daemon, call);
        println!("{grants:>6} {endpoints:>9} {entry:>7.2} {owner:>7.2}");
    }
}

fn announce_server(state: &mut State, daemon: &Daemon) {
    let announcement = Announcement {
        server: "server-0000".into(),
        service: grant(0, 1).service,
        address: ([127, 0, 0, 1], 9).into(),
        slots: 20,
        state: ServerState::Serving,
        incarnation: 1,
    };
    state.handle(
        Event::Announced(&announcement, HeartbeatInfo::default()),
        daemon.now,
        7,
    );
}

/// Returns the microseconds per call at the entry daemon, and its first routed call.
fn entry_cost(state: &mut State, daemon: &Daemon, grants: usize) -> (f64, anvilbeam::call::Call) {
    let now = daemon.now;
    let targets: Vec<_> = (0..100.min(grants))
        .map(|n| (format!("key-{n}"), grant(n, 1).service))
        .collect();
    let mut first_call = None;
    let mut forwarded = 0;
    let (time, ()) = timed(|| {
        for n in 0..CALLS {
            let (key, service) = &targets[n % targets.len()];
            let head = RequestHead {
                target: Target::Service {
                    key,
                    service: service.clone(),
                },
                path: "/",
                deadline: now + Duration::from_secs(5),
                depth: 0,
                method: &Method::GET,
                idempotency_key: Ok(None),
                streamed: false,
                large_body: false,
                credentials: Credentials::Absent,
                caller: std::net::Ipv4Addr::LOCALHOST.into(),
            };
            // The odd multiplier spreads consecutive numbers over the whole range of `u64`.
            let random = (n as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let event = Event::Arrived {
                id: n as u64,
                head: &head,
            };
            for effect in state.handle(event, now, random) {
                let Effect::Forward { call, choice, .. } = effect else {
                    continue;
                };
                forwarded += 1;
                let attempt = Attempt {
                    choice: &choice,
                    outcome: balance::Outcome::Succeeded,
                    start: now,
                    load: None,
                };
                state.handle(Event::AttemptEnded(attempt), now, random);
                if n == 0 {
                    first_call = Some(*call);
                }
            }
        }
    });
    assert!(forwarded > 0, "calls are routed");
    let call = first_call.expect("the first call is routed");
    (micros(time, forwarded), call)
}

/// Returns the microseconds per call at the owner daemon.
fn owner_cost(state: &mut State, daemon: &Daemon, call: anvilbeam::call::Call) -> f64 {
    let now = daemon.now + Duration::from_secs(1);
    let call = anvilbeam::call::Call {
        server: None,
        deadline: now + Duration::from_secs(5),
        ..call
    };
    let mut started = 0;
    let (time, ()) = timed(|| {
        for id in 0..CALLS as u64 {
            let effects = state.handle(Event::SlotRequested { id, call: &call }, now, 7);
            started += effects
                .iter()
                .filter(|effect| matches!(effect, Effect::Start { .. }))
                .count();
            let outcome = admission::Outcome::Done;
            state.handle(Event::SlotDone { id, outcome }, now, 7);
        }
    });
    assert_eq!(started, CALLS, "each call gets the free slot");
    micros(time, CALLS)
}
