//! Two operators send a change of the time-outs at the same time, each building on the same version.

use {
    super::{
        Verdict,
        mesh::{self, Document, Mesh},
        record::Record,
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Barrier},
        thread,
        time::Duration,
    },
};

/// Number of times that the two operators change the configuration.
const ROUNDS: u32 = 10;
/// Time after a round, within which the configuration must be in force.
const CONFIG_APPLY: Duration = Duration::from_secs(2);
const FIRST_VERSION: u32 = 1;
const SERVICES: [&str; 2] = ["desk", "office"];

pub fn run(record: &Record, with_trouble: bool) -> Result<Verdict, String> {
    let mesh = Mesh::start(5)?;
    let first = document(FIRST_VERSION, 0, (15_000, 3_000));
    mesh.put_until_accepted(record, &first)?;
    let (mut base, mut broken) = (FIRST_VERSION, 0);
    let mut idle_timeout_ms = 15_000;
    for round in 1..=ROUNDS {
        // The changes build on what is in force; one sets the idle time-out, the other the time-out of
        // heads.
        idle_timeout_ms += 100;
        let one = (base + 1, document(base + 1, base, (idle_timeout_ms, 3_000)));
        let other = (base + 3, document(base + 3, base, (15_000, 3_000 + round)));
        let replica = mesh.controls[round as usize % mesh.controls.len()];
        // Both operators know the replica that answers; a redirect would only delay one of them.
        let leader = mesh::put(replica, &first)
            .map_err(|e| format!("a resend failed: {e}"))?
            .1;
        let statuses = if with_trouble {
            send_together(leader, &one.1, &other.1)
        } else {
            [status(leader, &one.1), status(leader, &other.1)]
        };
        let [first_status, second_status] = statuses;
        record.line(&format!(
            "round {round}, both on version {base}: version {} answered {first_status}, version {} answered \
             {second_status}",
            one.0, other.0
        ));
        thread::sleep(CONFIG_APPLY);
        let (code, text) = mesh::get(leader)?;
        let read = version_of(&text).ok_or_else(|| format!("read {code}: {text}"))?;
        record.line(&format!("read back: {code}, version {read}"));
        if statuses == [200, 200] {
            broken += 1;
            record.line("BROKEN: two changes on top of the same version are both acknowledged");
            if read < other.0 {
                record.line("BROKEN: read back is older than the newest acknowledged version");
            }
        }
        base = read;
    }
    record.line(&format!("broken in {broken} of {ROUNDS} rounds"));
    Ok(if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn document(version: u32, base: u32, (idle_timeout_ms, header_timeout_ms): (u32, u32)) -> String {
    let document = Document {
        version,
        base,
        services: &SERVICES,
        route_type: "safe",
        idle_timeout_ms,
        header_timeout_ms,
    };
    document.text()
}

fn send_together(leader: SocketAddr, one: &str, other: &str) -> [u16; 2] {
    let start = Arc::new(Barrier::new(2));
    let senders = [one, other].map(|document| {
        let (start, document) = (Arc::clone(&start), document.to_owned());
        thread::spawn(move || {
            start.wait();
            status(leader, &document)
        })
    });
    senders.map(|sender| sender.join().unwrap_or(0))
}

/// Returns the status of the answer; 0 without one.
fn status(address: SocketAddr, document: &str) -> u16 {
    mesh::put(address, document).map_or(0, |(status, _)| status)
}

fn version_of(text: &str) -> Option<u32> {
    let (_, rest) = text.split_once("\"Version\":\"")?;
    u32::from_str_radix(rest.get(..8)?, 16).ok()
}
