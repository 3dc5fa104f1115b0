//! Measures the cost of distributing versions and endpoints.
//!
//! Run with `cargo run --release --example distribution_cost`.

mod reconnect;

use {
    anvilbeam::{
        endpoints::{Directory, EndpointDelta, Epoch, OwnedSet, Stamp},
        model::{Config, Digest, Endpoint, Grant, Plan, Rank, ServerState, Terms, Version},
        relays::{
            ADMITTED_PER_SECOND, DataCentreSummary, FULL_COPIES_PER_SECOND, Member, MemberReport,
            Report, Role, Summary, Update,
        },
        versions::{Change, ConfigDelta, ConfigStore, split_delta},
        wire,
    },
    std::{
        hint::black_box,
        time::{Duration, Instant},
    },
};

const EDITS_PER_DAY: f64 = 3_700.0;
const RESTARTS_PER_DAY: f64 = 890.0;
const DAY: f64 = 86_400.0;
const DATA_CENTRES: usize = 8;

fn main() {
    measure_versions();
    let endpoint_delta_bytes = measure_endpoint_sets();
    print_traffic(endpoint_delta_bytes);
    let full = store_of(5_000);
    let copy_us = mean_micros(|| wire::encode(&full.delta_since(Version(0))));
    reconnect::reconnect(
        "a data centre, full copies",
        325,
        FULL_COPIES_PER_SECOND,
        copy_us,
    );
    let answer_us = mean_micros(|| wire::encode(&full.delta_since(full.version())));
    reconnect::reconnect(
        "the fleet, attach answers",
        2_600,
        ADMITTED_PER_SECOND,
        answer_us.max(50.0),
    );
}

/// Runs `f` for about 0.2 s and returns the mean time in microseconds.
fn mean_micros<T>(mut f: impl FnMut() -> T) -> f64 {
    let start = Instant::now();
    let mut runs = 0_u32;
    while start.elapsed() < Duration::from_millis(200) {
        black_box(f());
        runs += 1;
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(runs)
}

fn plan(n: usize) -> Plan {
    Plan {
        name: format!("customer-plan-{n:05}").as_str().into(),
        key_hashes: vec![
            Digest::of(&n.to_le_bytes()),
            Digest::of(&(!n).to_le_bytes()),
        ],
        home_region: "kumamoto".into(),
    }
}

fn grant(n: usize, capacity: u32) -> Grant {
    Grant {
        plan: plan(n).name,
        service: format!("service-{:03}", n % 280).as_str().into(),
        servers: (0..3)
            .map(|k| format!("server-{:04}", n % 860 + k).as_str().into())
            .collect(),
        capacity,
        rank: Rank::Normal,
        path: "/".into(),
        terms: Terms::default(),
    }
}

fn store_of(grants: usize) -> ConfigStore {
    let mut store = ConfigStore::with_config(Config::default());
    let change = Change {
        plans: (0..grants).map(plan).collect(),
        grants: (0..grants).map(|n| grant(n, 1)).collect(),
        ..Change::default()
    };
    store.edit(&change).expect("the plans and grants are valid");
    store
}

/// Creates `versions` versions, each of which changes one grant.
fn apply_edits(store: &mut ConfigStore, grants: usize, versions: usize) {
    for n in 0..versions {
        // The stride has no factor in common with `grants`, so it visits all grants, out of order.
        let grants = vec![grant(n * 7_919 % grants, 2 + n as u32)];
        store
            .edit(&Change {
                grants,
                ..Change::default()
            })
            .expect("the grant is valid");
    }
}

/// Returns the encoded bytes of all parts of `delta`.
fn encoded_size(delta: ConfigDelta) -> usize {
    let parts = split_delta(delta).expect("the delta fits into parts");
    parts
        .iter()
        .map(|part| {
            wire::encode(part)
                .expect("a part fits into a message")
                .len()
        })
        .sum()
}

fn measure_versions() {
    println!(
        "config: plans and grants, versions missed, bytes, make us, encode us, decode us, apply us, records"
    );
    for grants in [500, 2_000, 5_000] {
        for missed in [1, 100, 1_000] {
            let mut control = store_of(grants);
            let mut child = ConfigStore::new();
            let first = control
                .delta_since(Version(0))
                .expect("the store is not empty");
            child.apply(&first).expect("the copy is intact");
            apply_edits(&mut control, grants, missed);
            print_row(grants, &missed.to_string(), &control, &child);
        }
        print_row(grants, "all", &store_of(grants), &ConfigStore::new());
        measure_digests(grants);
        measure_memory(grants);
    }
}

fn print_row(grants: usize, missed: &str, control: &ConfigStore, child: &ConfigStore) {
    let make = || {
        control
            .delta_since(child.version())
            .expect("the child is behind")
    };
    let delta = make();
    let buf = wire::encode(&delta).expect("the delta fits into a message");
    let encode = mean_micros(|| wire::encode(&delta));
    let decode = mean_micros(|| wire::decode::<ConfigDelta>(&buf));
    // A reader holds the old snapshot, so each apply copies the configuration; the time of the
    // clone itself is subtracted.
    let copy = mean_micros(|| child.clone());
    let apply = mean_micros(|| child.clone().apply(&delta).expect("the delta is intact")) - copy;
    let records = delta.change.len();
    let (bytes, make) = (encoded_size(delta), mean_micros(make));
    println!(
        "{grants:>6} {missed:>6} {bytes:>8} {make:>8.0} {encode:>8.0} {decode:>8.0} {apply:>8.0} {records:>6}"
    );
}

fn measure_digests(grants: usize) {
    let store = store_of(grants);
    let incremental_sum = mean_micros(|| store.digest());
    let record_sum = mean_micros(|| anvilbeam::versions::digest_of(store.config()));
    let full_hash = mean_micros(|| {
        let cfg = bincode::config::standard();
        let buf = bincode::serde::encode_to_vec(&**store.config(), cfg)
            .expect("the configuration can be encoded");
        Digest::of(&buf)
    });
    println!(
        "{grants:>6} digest: incremental sum {incremental_sum:.1} us, sum over all records {record_sum:.0} us, hash over all bytes {full_hash:.0} us"
    );
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> f64 {
    const PAGE: f64 = 4_096.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0.0) * PAGE
}

fn measure_memory(grants: usize) {
    const COPIES: usize = 40;
    let buf = wire::encode(&store_of(grants).delta_since(Version(0)))
        .expect("the delta fits into a message");
    let before = resident_bytes();
    let copy = || {
        let delta = wire::decode::<Option<ConfigDelta>>(&buf).expect("the delta was just encoded");
        let mut store = ConfigStore::new();
        store
            .apply(&delta.expect("the store is not empty"))
            .expect("the copy is intact");
        store
    };
    let stores: Vec<_> = (0..COPIES).map(|_| copy()).collect();
    let each = (resident_bytes() - before) / COPIES as f64;
    println!("{grants:>6} memory of one store: {:.2} MB", each / 1e6);
    drop(stores);
}

fn endpoint(n: usize, data_centre: usize) -> Endpoint {
    Endpoint {
        server: format!("server-{n:04}").as_str().into(),
        service: format!("service-{:03}", n % 280).as_str().into(),
        daemon: format!("daemon-{n:04}").as_str().into(),
        address: ([10, data_centre as u8, (n / 256) as u8, n as u8], 7_000).into(),
        data_centre: format!("dc-{data_centre}").as_str().into(),
        region: format!("region-{}", data_centre / 4).as_str().into(),
        slots: 20,
        state: ServerState::Serving,
        incarnation: 1 << 40,
    }
}

fn report(own: &mut OwnedSet, endpoint: &Endpoint, number: u64, now: Instant) {
    let stamp = Stamp {
        incarnation: 1,
        number,
    };
    own.report(&endpoint.daemon, stamp, std::slice::from_ref(endpoint), now)
        .expect("the endpoint belongs to the set");
}

/// Measures endpoint sets; returns the encoded bytes of a delta with one changed endpoint.
fn measure_endpoint_sets() -> usize {
    const CHANGES: u64 = 2_000;
    println!(
        "endpoints: number in one set, delta bytes, full bytes, make full us, apply full us, apply delta us"
    );
    let now = Instant::now();
    let mut delta_bytes = 0;
    for number in [100, 1_000, 2_600] {
        let mut own = OwnedSet::new("dc-0".into(), Epoch::granted(3, 12), now);
        (0..number).for_each(|n| report(&mut own, &endpoint(n, 0), 1, now));
        let full = own
            .delta_since(Epoch::default(), 0)
            .expect("the set is not empty");
        let mut directory = Directory::default();
        directory.apply(&full, now).expect("the set is newer");
        let bytes = |delta: &EndpointDelta| {
            wire::encode(delta)
                .expect("a set fits into a message")
                .len()
        };
        let make = mean_micros(|| own.delta_since(Epoch::default(), 0));
        let apply = mean_micros(|| Directory::default().apply(&full, now));
        let mut spent = Duration::ZERO;
        for step in 0..CHANGES {
            let mut changed = endpoint(number / 2, 0);
            changed.incarnation += step;
            let position = own.position();
            report(&mut own, &changed, 2 + step, now);
            if let Some(delta) = own.delta_since(position.epoch, position.seq) {
                let start = Instant::now();
                directory
                    .apply(&delta, now)
                    .expect("the update is the next one");
                spent += start.elapsed();
                delta_bytes = bytes(&delta);
            }
        }
        let step = spent.as_secs_f64() * 1e6 / CHANGES as f64;
        println!(
            "{number:>6} {delta_bytes:>6} {:>8} {make:>8.0} {apply:>8.0} {step:>8.1}",
            bytes(&full)
        );
    }
    delta_bytes
}

/// Prints the bytes per second that one daemon receives and sends.
fn print_traffic(endpoint_delta_bytes: usize) {
    let grants = 5_000;
    let mut control = store_of(grants);
    let version = control.version();
    apply_edits(&mut control, grants, 1);
    let delta = control.delta_since(version).expect("a grant has changed");
    let edit_delta_bytes = encoded_size(delta);
    let now = Instant::now();
    let position =
        |n: usize| OwnedSet::new(endpoint(0, n).data_centre, Epoch::granted(3, 12), now).position();
    let positions = (0..DATA_CENTRES).map(position).collect();
    let frame = Update {
        stream: 1 << 33,
        number: 100_000,
        detached_ms: 0,
        config: None,
        sets: vec![],
        positions: Some(positions),
    };
    let heartbeat_bytes = wire::encode_frame(&frame).expect("a heartbeat fits").len();
    let Endpoint {
        daemon,
        address,
        data_centre,
        region,
        ..
    } = endpoint(7, 0);
    let mut summary = Summary::default();
    summary.add(&DataCentreSummary::of_daemon(
        &daemon,
        &data_centre,
        version,
        None,
    ));
    let stamp = Stamp {
        incarnation: 1 << 40,
        number: 100_000,
    };
    let members = vec![MemberReport {
        daemon: daemon.clone(),
        stamp,
        endpoints: vec![endpoint(7, 0)],
    }];
    let member = Member {
        daemon,
        address,
        data_centre,
        region,
    };
    let report = Report {
        member,
        role: Role::Leaf,
        stream: 1 << 33,
        last_frame: 100_000,
        version,
        members,
        sets: vec![],
        summary,
    };
    let report_bytes = wire::encode_frame(&report).expect("a report fits").len();
    // A frame adds about 40 bytes to each change. A restart removes an endpoint and adds it again.
    let frame_overhead = 40.0;
    let edits = (edit_delta_bytes as f64 + frame_overhead) * EDITS_PER_DAY / DAY;
    let restarts = 2.0 * (endpoint_delta_bytes as f64 + frame_overhead) * RESTARTS_PER_DAY / DAY;
    println!(
        "one daemon: edits {edits:.1} B/s, restarts {restarts:.1} B/s, heartbeats {heartbeat_bytes} B/s, down {:.0} B/s, reports up {report_bytes} B/s",
        edits + restarts + heartbeat_bytes as f64
    );
}
