//! Measures the latency that daemons add to a call, compared with a direct call to the backend
//! server.
//!
//! Run with `cargo run --release --example added_latency`. The load generator, the daemons and
//! the stand-in backend servers run in this process and share its processors. Other load on the
//! machine distorts the figures, the 99th percentiles most; compare rows of one run only.

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

/// Maximum number of calls of one measurement.
const CALLS: u64 = 20_000;
/// Maximum number of calls that are sent but not measured before each measurement.
const WARM_UP: u64 = 2_000;
/// Number of connections of the load generator.
const CONNECTIONS: u64 = 16;

/// Route by which a backend server is called.
struct Route {
    name: &'static str,
    address: SocketAddr,
    service: &'static str,
    key: &'static str,
}

#[tokio::main]
async fn main() -> Result<(), BoxError> {
    let mesh = Mesh::start().await?;
    // Daemon 4 is beside the only backend server of `records`, so daemon 0 forwards calls to it.
    let routes = [
        Route {
            name: "direct",
            address: mesh.server_address(4),
            service: "records",
            key: "filings-key",
        },
        Route {
            name: "one daemon",
            address: mesh.caller_address(4),
            service: "records",
            key: "filings-key",
        },
        Route {
            name: "two daemons",
            address: mesh.caller_address(0),
            service: "records",
            key: "filings-key",
        },
    ];
    // Waits until the slow start is over, in which a cold server has few slots.
    tokio::time::sleep(Duration::from_secs(11)).await;
    println!(
        "{:<12} {:>9} {:>10} {:>10} {:>10}",
        "route", "calls/s", "p50 us", "p99 us", "failed"
    );
    for rate in [100, 2_000] {
        for route in &routes {
            measure(route, rate).await?;
        }
    }
    Ok(())
}

/// Sends calls at `rate` per second over `route` and prints their latencies.
async fn measure(route: &Route, rate: u64) -> Result<(), BoxError> {
    let calls = (CALLS.min(rate * 5)).max(500);
    let mut tasks = JoinSet::new();
    let start = Instant::now() + Duration::from_millis(100);
    for connection in 0..CONNECTIONS {
        let mut sender = connect(route.address).await?;
        let (service, key) = (route.service, route.key);
        tasks.spawn(async move {
            let mut latencies = Histogram::<u64>::new(3)?;
            let mut failed = 0_u64;
            for call in (connection..calls + WARM_UP.min(calls / 4)).step_by(CONNECTIONS as usize) {
                let send_at = start + Duration::from_secs_f64(call as f64 / rate as f64);
                sleep_until(send_at.into()).await;
                let sent = Instant::now();
                let succeeded = send_call(&mut sender, service, key).await?;
                failed += u64::from(!succeeded);
                if call >= WARM_UP.min(calls / 4) {
                    latencies.record(sent.elapsed().as_micros() as u64)?;
                }
            }
            Ok::<_, BoxError>((latencies, failed))
        });
    }
    let mut all_latencies = Histogram::<u64>::new(3)?;
    let mut failed = 0;
    while let Some(result) = tasks.join_next().await {
        let (latencies, count) = result??;
        all_latencies.add(latencies)?;
        failed += count;
    }
    println!(
        "{:<12} {rate:>9} {:>10} {:>10} {failed:>10}",
        route.name,
        all_latencies.value_at_quantile(0.5),
        all_latencies.value_at_quantile(0.99),
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

/// Sends a call and reads the whole answer; returns whether its status is a success.
async fn send_call(
    sender: &mut SendRequest<Body>,
    service: &str,
    key: &str,
) -> Result<bool, BoxError> {
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
