//! Memory and processor time of connections between processes, both ends together.

use {
    super::resident,
    anvilbeam::{
        body::BoxError,
        peer::{self, Client},
        serve,
    },
    std::{
        fs,
        time::{Duration, Instant},
    },
    tokio::{runtime::Builder, time::sleep},
};

const TOKEN: &str = "mesh-token-of-slopes";
/// Time for which idle connections are measured.
const IDLE: Duration = Duration::from_secs(5);
/// Requests of the size of a report.
const REPORTS: usize = 20_000;
const REPORT_BYTES: usize = 130;

pub fn run() {
    let runtime = Builder::new_current_thread().enable_all().build();
    let done = runtime
        .map_err(BoxError::from)
        .and_then(|runtime| runtime.block_on(measure()));
    if let Err(e) = done {
        println!("connections not measured: {e}");
    }
}

async fn measure() -> Result<(), BoxError> {
    let listener = serve::bind(([127, 0, 0, 1], 0).into()).await?;
    let server = peer::serve_peers(listener, TOKEN, |req| async move {
        match peer::read_message::<Vec<u8>>(req).await {
            Ok(_) => peer::message_response(&()),
            Err(_) => peer::empty_response(http::StatusCode::BAD_REQUEST),
        }
    })?;
    let report = vec![7_u8; REPORT_BYTES];
    let ask = async |client: &Client| {
        let deadline = Instant::now() + Duration::from_secs(5);
        let address = server.address();
        client
            .request::<_, ()>("slope", address, "/report", &report, deadline)
            .await
    };
    println!(
        "connections, both ends: number, KB of memory each, us of processor time per second each while idle"
    );
    let mut kept = Vec::new();
    for number in [50, 150, 325] {
        let before = resident();
        let mut clients = Vec::new();
        for _ in 0..number {
            let client = Client::new(TOKEN)?;
            ask(&client).await?;
            clients.push(client);
        }
        let each = (resident() - before) / f64::from(number) / 1e3;
        let connections = kept.len() + clients.len();
        let cpu = cpu();
        sleep(IDLE).await;
        let spent = (self::cpu() - cpu) / connections as f64 / IDLE.as_secs_f64();
        println!("{connections:>6} {each:>7.1} {spent:>7.1}");
        kept.extend(clients);
    }
    let cpu = cpu();
    for n in 0..REPORTS {
        ask(&kept[n % kept.len()]).await?;
    }
    println!(
        "one request of {REPORT_BYTES} B with its answer: {:.1} us of processor time, both ends",
        (self::cpu() - cpu) / REPORTS as f64
    );
    Ok(())
}

/// Processor time of this thread in microseconds.
fn cpu() -> f64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|nanos| nanos.parse().ok());
    nanos.unwrap_or(0.0) / 1e3
}
