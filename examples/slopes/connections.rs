//! Memory and processor time of peer connections, both ends together.

use {
    super::resident_bytes,
    anvilbeam::{
        body::BoxError,
        peer::{self, Client},
        serve::{self, STREAM_WINDOW},
    },
    std::{
        fs,
        time::{Duration, Instant},
    },
    tokio::{runtime::Builder, time::sleep},
};

const TOKEN: &str = "mesh-token-of-slopes";
/// Time for which the processor time of idle connections is measured.
const IDLE: Duration = Duration::from_secs(5);
/// Number of requests, each of the size of a report.
const REPORTS: usize = 20_000;
const REPORT_BYTES: usize = 130;

pub fn run() {
    let runtime = Builder::new_current_thread().enable_all().build();
    let result = runtime
        .map_err(BoxError::from)
        .and_then(|runtime| runtime.block_on(measure()));
    if let Err(e) = result {
        println!("connections not measured: {e}");
    }
}

async fn measure() -> Result<(), BoxError> {
    let listener = serve::bind(([127, 0, 0, 1], 0).into()).await?;
    let server = peer::serve_peers(listener, TOKEN, STREAM_WINDOW, |req| async move {
        match peer::read_message::<Vec<u8>>(req).await {
            Ok(_) => peer::message_response(&()),
            Err(_) => peer::empty_response(http::StatusCode::BAD_REQUEST),
        }
    })?;
    let report = vec![7_u8; REPORT_BYTES];
    let send_report = async |client: &Client| {
        let deadline = Instant::now() + Duration::from_secs(5);
        let address = server.address();
        client
            .request::<_, ()>("slope", address, "/report", &report, deadline)
            .await
    };
    println!(
        "connections, both ends: number, KB of memory each, us of processor time per second each while idle"
    );
    let mut clients = Vec::new();
    for number in [50, 150, 325] {
        let before = resident_bytes();
        let mut added = Vec::new();
        for _ in 0..number {
            let client = Client::new(TOKEN)?;
            send_report(&client).await?;
            added.push(client);
        }
        let each = (resident_bytes() - before) / f64::from(number) / 1e3;
        let connections = clients.len() + added.len();
        let start_us = thread_cpu_us();
        sleep(IDLE).await;
        let micros_per_second =
            (thread_cpu_us() - start_us) / connections as f64 / IDLE.as_secs_f64();
        println!("{connections:>6} {each:>7.1} {micros_per_second:>7.1}");
        clients.extend(added);
    }
    let start_us = thread_cpu_us();
    for n in 0..REPORTS {
        send_report(&clients[n % clients.len()]).await?;
    }
    println!(
        "one request of {REPORT_BYTES} B with its answer: {:.1} us of processor time, both ends",
        (thread_cpu_us() - start_us) / REPORTS as f64
    );
    Ok(())
}

/// Returns the processor time of this thread in microseconds.
fn thread_cpu_us() -> f64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|nanos| nanos.parse().ok());
    nanos.unwrap_or(0.0) / 1e3
}
