//! Latency that daemons add to a call, against calling the stand-in backend server directly.
//!
//! Run with `cargo run --release --example added_latency`. All parts run in this process, so the
//! load generator, the daemons and the stand-ins share the processor. Other load on the machine
//! disturbs the figures, the 99th percentiles most; compare rows of one run only.

use {
    anvilbeam::{
        body::{self, Body, BoxError},
        dev::Mesh,
        serve,
    },
    hdrhistogram::Histogram,
    http::{Request, header},
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, task::JoinSet, time::sleep_until},
};

/// Calls of one measurement.
const CALLS: u64 = 20_000;
/// Calls that are not measured.
const WARM_UP: u64 = 2_000;
/// Connections of the load generator.
const CONNECTIONS: u64 = 16;

/// One way to reach the backend server.
struct Way {
    name: &'static str,
    address: SocketAddr,
    service: &'static str,
    key: &'static str,
}

#[tokio::main]
async fn main() -> Result<(), BoxError> {
    let mesh = Mesh::start().await?;
    // Daemon 4 is beside the only backend server of `records`, so daemon 0 must pass calls on.
    let ways = [
        Way {
            name: "direct",
            address: mesh.server_address(4),
            service: "records",
            key: "filings-key",
        },
        Way {
            name: "one daemon",
            address: mesh.caller_address(4),
            service: "records",
            key: "filings-key",
        },
        Way {
            name: "two daemons",
            address: mesh.caller_address(0),
            service: "records",
            key: "filings-key",
        },
    ];
    // Rest of the slow start, in which a cold server has few slots.
    tokio::time::sleep(Duration::from_secs(11)).await;
    println!(
        "{:<12} {:>9} {:>10} {:>10} {:>10}",
        "way", "calls/s", "p50 us", "p99 us", "failed"
    );
    for rate in [100, 2_000] {
        for way in &ways {
            measure(way, rate).await?;
        }
    }
    Ok(())
}

async fn measure(way: &Way, rate: u64) -> Result<(), BoxError> {
    let calls = (CALLS.min(rate * 5)).max(500);
    let mut workers = JoinSet::new();
    let start = Instant::now() + Duration::from_millis(100);
    for worker in 0..CONNECTIONS {
        let mut sender = connect(way.address).await?;
        let (service, key) = (way.service, way.key);
        workers.spawn(async move {
            let mut seen = Histogram::<u64>::new(3)?;
            let mut failed = 0_u64;
            for call in (worker..calls + WARM_UP.min(calls / 4)).step_by(CONNECTIONS as usize) {
                let due = start + Duration::from_secs_f64(call as f64 / rate as f64);
                sleep_until(due.into()).await;
                let sent = Instant::now();
                let succeeded = one(&mut sender, service, key).await?;
                failed += u64::from(!succeeded);
                if call >= WARM_UP.min(calls / 4) {
                    seen.record(sent.elapsed().as_micros() as u64)?;
                }
            }
            Ok::<_, BoxError>((seen, failed))
        });
    }
    let mut all = Histogram::<u64>::new(3)?;
    let mut failed = 0;
    while let Some(done) = workers.join_next().await {
        let (seen, count) = done??;
        all.add(seen)?;
        failed += count;
    }
    println!(
        "{:<12} {rate:>9} {:>10} {:>10} {failed:>10}",
        way.name,
        all.value_at_quantile(0.5),
        all.value_at_quantile(0.99),
    );
    Ok(())
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Body>, BoxError> {
    let stream = TcpStream::connect(address).await?;
    serve::set_socket_options(&stream);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}

async fn one(sender: &mut SendRequest<Body>, service: &str, key: &str) -> Result<bool, BoxError> {
    let req = Request::get("/entry/7")
        .header(header::HOST, service)
        .header(header::AUTHORIZATION, format!("Bearer {key}"))
        .body(body::empty())?;
    sender.ready().await?;
    let response = sender.send_request(req).await?;
    let succeeded = response.status().is_success();
    body::collect(body::boxed(response.into_body()), 64 * 1024).await?;
    Ok(succeeded)
}
