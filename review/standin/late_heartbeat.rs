//! A daemon is restarted, its backend server takes its leave, and a heartbeat that was sent before
//! arrives late.

use {
    super::{
        Verdict, http,
        mesh::{self, Daemon, Document, Mesh},
        messages,
        record::Record,
        upstream::{self, Upstream},
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const SERVICES: [&str; 2] = ["desk", "office"];
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
const CLIENTS: usize = 8;
/// Delay of the heartbeat on its way.
const HEARTBEAT_DELAY: Duration = Duration::from_secs(3);
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
const CONTACT: Duration = Duration::from_secs(3);
/// Time that the server goes on after its leave has been acknowledged.
const SERVES_ON: Duration = Duration::from_secs(8);

pub fn run(record: &Record, with_trouble: bool) -> Result<Verdict, String> {
    let mut mesh = Mesh::start(5)?;
    let document = Document {
        version: 1,
        base: 0,
        services: &SERVICES,
        route_type: "unsafe",
        idle_timeout_ms: 15_000,
        header_timeout_ms: 3_000,
    };
    mesh.put_until_accepted(record, &document.text())?;
    let leaving_daemon = mesh.start_daemon("sidecar-desk-1", "desk")?;
    let other_daemon = mesh.start_daemon("sidecar-desk-2", "desk")?;
    let entry = mesh.start_daemon("sidecar-office", "office")?;
    for daemon in [&leaving_daemon, &other_daemon, &entry] {
        mesh::await_ready(daemon)?;
    }
    let leaving = Upstream::start("i-desk-1", "desk", &leaving_daemon)?;
    let _other = Upstream::start("i-desk-2", "desk", &other_daemon)?;
    let _office = Upstream::start("i-office", "office", &entry)?;
    await_server(&entry, &leaving)?;
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| start_client(client, entry, Arc::clone(&stop)))
        .collect();
    thread::sleep(Duration::from_secs(1));
    // The server sends no heartbeat between the restart and its leave but the late one.
    leaving.stop_heartbeats();

    let mut in_touch_from = Instant::now();
    if with_trouble {
        record.line("the daemon beside i-desk-1 is killed and started again");
        mesh.restart_daemon("sidecar-desk-1")?;
        mesh::await_ready(&leaving_daemon)?;
        in_touch_from = Instant::now() + CONTACT;
        let (path, body) = heartbeat(&leaving);
        record.line(&format!("i-desk-1 sends PUT {path}: {body}; it is delayed"));
        let control = leaving_daemon.control;
        thread::spawn(move || {
            thread::sleep(HEARTBEAT_DELAY);
            http::send(control, "PUT", &path, &[], &body, Duration::from_secs(1))
        });
    }
    let path = format!("/anvilbeam/instances/{}", leaving.id);
    let body = messages::fill("leave", &[("born", &leaving.born.to_string())]);
    let answer = http::send(
        leaving_daemon.control,
        "DELETE",
        &path,
        &[],
        &body,
        Duration::from_secs(1),
    );
    let status = answer.map_err(|e| e.to_string())?.status();
    record.line(&format!("i-desk-1 sends DELETE {path}: {status}"));
    let acknowledged = Instant::now();
    thread::sleep(SERVES_ON);
    leaving.end();
    record.line("i-desk-1 ends");
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::SeqCst);
    let mut statuses = Vec::new();
    for client in clients {
        statuses.extend(client.join().map_err(|_| "a client failed".to_owned())?);
    }

    let late_from = (acknowledged + DRAIN_TIMEOUT).max(in_touch_from);
    let mut broken = 0;
    for run in leaving.runs() {
        let late = run.at > late_from;
        let mark = if late { "BROKEN: " } else { "" };
        broken += usize::from(late);
        let after = run.at.saturating_duration_since(acknowledged).as_secs_f64();
        record.line(&format!(
            "{mark}i-desk-1 ran {}, {after:.3} s after the acknowledgement",
            run.id
        ));
    }
    let runs = leaving.runs();
    for (id, status) in statuses.iter().filter(|(_, status)| *status != 200) {
        let ran = runs.iter().any(|run| run.id == *id);
        let place = if ran {
            "had begun to run on i-desk-1"
        } else {
            "had not run there"
        };
        record.line(&format!("request {id} was answered {status} and {place}"));
    }
    record.line(&format!(
        "{broken} requests reached i-desk-1 later than DrainTimeout"
    ));
    Ok(if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends requests to the desk until `stop`; returns the status of each.
fn start_client(
    client: usize,
    entry: Daemon,
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<Vec<(String, u16)>> {
    thread::spawn(move || {
        let mut statuses = Vec::new();
        while !stop.load(Ordering::SeqCst) {
            let id = format!("c{client}-{}", statuses.len());
            let status = upstream::call(&entry, "desk.example", &id, None);
            statuses.push((id, status));
            thread::sleep(REQUEST_INTERVAL);
        }
        statuses
    })
}

/// Returns the next heartbeat of a server: path and body.
fn heartbeat(server: &Upstream) -> (String, String) {
    let address = server.address.to_string();
    let (sequence, born) = (
        (server.last_sequence() + 1).to_string(),
        server.born.to_string(),
    );
    let values = [
        ("service", "desk"),
        ("address", &address),
        ("sequence", &sequence),
        ("born", &born),
    ];
    let body = messages::fill("heartbeat", &values);
    (format!("/anvilbeam/instances/{}", server.id), body)
}

/// Waits until the server gets requests from the entry daemon.
fn await_server(entry: &Daemon, server: &Upstream) -> Result<(), String> {
    for index in 0..200 {
        upstream::call(entry, "desk.example", &format!("warm{index}"), None);
        if !server.runs().is_empty() {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Err("the server gets no requests".to_owned())
}
