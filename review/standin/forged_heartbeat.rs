//! A heartbeat of another writer, in which fields are missing, arrives at a daemon.

use {
    super::{
        Verdict, http,
        mesh::{self, Document, Mesh},
        messages,
        record::Record,
        upstream::{self, Upstream},
    },
    std::{thread, time::Duration},
};

const SERVICES: [&str; 2] = ["desk", "office"];
/// Interval of the requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// By how much the number of the foreign heartbeat is above that of the server's last one.
const SEQUENCE_STEP: u64 = 3;
/// Requests to each service, before and after the heartbeat.
const REQUESTS: usize = 120;

pub fn run(record: &Record, with_trouble: bool) -> Result<Verdict, String> {
    let mut mesh = Mesh::start(5)?;
    let document = Document {
        version: 1,
        base: 0,
        services: &SERVICES,
        route_type: "safe",
        idle_timeout_ms: 15_000,
        header_timeout_ms: 3_000,
    };
    mesh.put_until_accepted(record, &document.text())?;
    let desk = mesh.start_daemon("sidecar-desk", "desk")?;
    let office = mesh.start_daemon("sidecar-office", "office")?;
    mesh::await_ready(&desk)?;
    mesh::await_ready(&office)?;
    let desk_server = Upstream::start("i-desk", "desk", &desk)?;
    let office_server = Upstream::start("i-office", "office", &office)?;
    await_service(&desk, &office)?;
    for index in 0..REQUESTS {
        if index == REQUESTS / 3 && with_trouble {
            forge(record, &desk, &desk_server);
        }
        upstream::call(&desk, "office.example", &format!("o{index}"), Some(record));
        upstream::call(&office, "desk.example", &format!("d{index}"), Some(record));
        thread::sleep(REQUEST_INTERVAL);
    }
    let mut broken = 0;
    for (server, service) in [(&desk_server, "desk"), (&office_server, "office")] {
        for run in server.runs() {
            let wrong = run.host != format!("{service}.example");
            let mark = if wrong { "BROKEN: " } else { "" };
            broken += usize::from(wrong);
            record.line(&format!(
                "{mark}{} of service {service} ran {} for host {}, caller service {}",
                server.id, run.id, run.host, run.caller_service
            ));
        }
    }
    record.line(&format!(
        "{broken} requests were run by a service that no route names for them"
    ));
    Ok(if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Waits until each service answers at the other machine.
pub fn await_service(desk: &mesh::Daemon, office: &mesh::Daemon) -> Result<(), String> {
    for _ in 0..200 {
        let served = upstream::call(desk, "office.example", "warm-o", None) == 200
            && upstream::call(office, "desk.example", "warm-d", None) == 200;
        if served {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Err("the services are not answered".to_owned())
}

/// Sends the heartbeat of another writer to the daemon beside the desk: the zone, the version of the
/// software and the remaining time of the cold start are missing.
fn forge(record: &Record, desk: &mesh::Daemon, server: &Upstream) {
    let (address, born) = (server.address, server.born);
    let sequence = server.last_sequence() + SEQUENCE_STEP;
    let (address, sequence, born) = (address.to_string(), sequence.to_string(), born.to_string());
    let values = [
        ("service", "office"),
        ("address", &address),
        ("sequence", &sequence),
        ("born", &born),
    ];
    let body = messages::fill("foreign-heartbeat", &values);
    let path = format!("/anvilbeam/instances/{}", server.id);
    let answer = http::send(
        desk.control,
        "PUT",
        &path,
        &[],
        &body,
        Duration::from_secs(1),
    );
    let status = answer.map_or(0, |answer| answer.status());
    record.line(&format!(
        "PUT {path} at {}: {body} -> {status}",
        desk.control
    ));
}
