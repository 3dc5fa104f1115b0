//! An acknowledged departure is gone when all processes are killed right after it.

#[path = "../standin-2/mesh.rs"]
mod mesh;

use mesh::{Bounds, Call, Mesh, Node, Record, Route, Signal, Upstream, ms};
use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const CORES: usize = 5;
const SIDES: usize = 4;
const HOST: &str = "desk.example";
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// From the kill of all processes to their next start.
const DOWN: Duration = Duration::from_millis(820);
/// From the acknowledged departure to the arrival of the heartbeat that was sent just before it.
const LATE: Duration = Duration::from_millis(2_000);
/// How long the upstream serves after its departure was acknowledged.
const SERVES_ON: Duration = Duration::from_millis(13_000);

fn case(record: &Record, trouble: bool) -> io::Result<bool> {
    let bounds = Bounds { grace_s: 6, memory_mb: 260 };
    let mut mesh = Mesh::new(record.clone(), CORES, &["desk"; SIDES], bounds)?;
    mesh.start_all()?;
    let mut upstreams = Vec::new();
    for side in 0..SIDES {
        let work = Arc::new(|_: &mesh::Received| (ms(20), b"done".to_vec()));
        let upstream = Upstream::start(mesh.app(side), "desk", &mesh.zone(side), work)?;
        upstream.announce(mesh.heartbeats(side));
        upstreams.push(upstream);
    }
    mesh.configure(&[Route::new(HOST, "/desk/", "safe", "desk", 1_000)], &["desk"])?;
    mesh.await_ready(ms(15_000))?;
    thread::sleep(CONTACT + ms(1_000));

    // Clients at the other machines; side 3 is in the zone of side 0.
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = [1, 2, 3, 3, 3, 3, 3, 3]
        .into_iter()
        .map(|side| {
            let (stop, record, address) = (Arc::clone(&stop), record.clone(), mesh.outbound(side));
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let call = Call::new("GET", HOST, "/desk/1", 1_000);
                    let answer = call.send_to(address);
                    let status = answer.map_or_else(|e| e.to_string(), |answer| answer.status.to_string());
                    record.add(format!("client at Side({side}): {} answered {status}", call.id));
                    thread::sleep(ms(40));
                }
            })
        })
        .collect();
    thread::sleep(ms(2_000));

    let leaving = &upstreams[0];
    let delayed = leaving.next_heartbeat();
    record.say(format!("heartbeat of {} sent, on its way: {delayed}", leaving.name));
    leaving.silent.store(true, Ordering::Relaxed);
    thread::sleep(ms(100));
    leaving.leave(mesh.heartbeats(0), 5)?;
    let acknowledged = Instant::now();
    record.say(format!("departure of {} acknowledged by Side(0)", leaving.name));
    let mut back = acknowledged;
    if trouble {
        let nodes: Vec<Node> = (0..CORES).map(Node::Core).chain((0..SIDES).map(Node::Side)).collect();
        for node in &nodes {
            mesh.signal(*node, Signal::Kill)?;
        }
        thread::sleep(DOWN);
        for node in &nodes {
            mesh.wait(*node, ms(1_000))?;
            mesh.start(*node)?;
        }
        back = Instant::now();
    }
    thread::sleep((acknowledged + LATE).saturating_duration_since(Instant::now()));
    let status = leaving.deliver(mesh.heartbeats(0), &delayed)?;
    record.say(format!("the delayed heartbeat arrives, answered {status}"));
    thread::sleep((acknowledged + SERVES_ON).saturating_duration_since(Instant::now()));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        drop(client.join());
    }

    let mut late = 0;
    for (received, _, status) in leaving.runs.lock().unwrap().iter() {
        let Some(after) = received.at.checked_duration_since(acknowledged) else { continue };
        // Twice Contact, since most of the core was killed.
        let in_touch = !trouble || received.at >= back + 2 * CONTACT;
        if after > DRAIN_TIMEOUT && in_touch {
            late += 1;
            let after = after.as_secs_f64();
            record.add(format!("{} ran {} {after:.3} s after the acknowledgement, {status}", leaving.name, received.id));
        }
    }
    for upstream in &upstreams {
        upstream.end();
    }
    record.say(format!("{late} requests reached {} late, with all machines in touch", leaving.name));
    Ok(late > 0)
}

fn main() {
    mesh::run_case(case)
}
