//! `dev --check`: calls of each kind of work, and an edit that moves traffic.

use {
    super::{Mesh, OPERATOR_TOKEN, Result, lists, put_lists},
    crate::{
        body::{self, Body},
        http_client,
        operator_api::{EXPLAIN, ExplainResponse, STATUS, StatusResponse},
        stand_in::Echo,
    },
    bytes::Bytes,
    http::{Request, Response, header},
    std::{
        io::Write,
        sync::PoisonError,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Size of the upload in bytes.
const UPLOAD_SIZE: usize = 4 * 1024 * 1024;
/// Timeout for all daemons to have routes to all backend servers.
const ROUTES_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs all checks and prints their results; returns whether all passed.
pub(super) async fn run(mesh: &Mesh, out: &mut impl Write, notes: &mut impl Write) -> Result<bool> {
    writeln!(out)?;
    let mut passed = true;
    await_routes(mesh).await?;
    let answer = call_roll_consultation(mesh).await?;
    passed &= print_result(
        out,
        "roll consultation",
        answer.path == "/entry/7",
        &format!("answered by {}", answer.server),
    )?;
    passed &= check_order(mesh, out, "issuance order", "boards", "issuance").await?;
    passed &= check_order(mesh, out, "amendment filing", "filings", "records").await?;
    passed &= check_upload(mesh, out).await?;
    passed &= check_refusal(mesh, out).await?;
    passed &= check_edit(mesh, out, notes).await?;
    writeln!(
        out,
        "{}",
        if passed {
            "all checks passed"
        } else {
            "a check failed"
        }
    )?;
    Ok(passed)
}

fn print_result(out: &mut impl Write, check: &str, passed: bool, detail: &str) -> Result<bool> {
    let verdict = if passed { "ok" } else { "FAILED" };
    writeln!(out, "{verdict:<7} {check}: {detail}")?;
    Ok(passed)
}

fn request(method: &str, service: &str, path: &str, plan: &str) -> http::request::Builder {
    let key = lists::key(plan);
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, service)
        .header(header::AUTHORIZATION, format!("Bearer {key}"))
}

async fn send(mesh: &Mesh, vm: usize, req: Request<Body>) -> Result<Response<Bytes>> {
    let address = mesh.vms[vm % mesh.vms.len()].daemon.caller_address();
    http_client::send(address, req).await
}

/// Waits until each daemon has routes to all backend servers.
pub(super) async fn await_routes(mesh: &Mesh) -> Result<()> {
    let deadline = Instant::now() + ROUTES_TIMEOUT;
    for vm in &mesh.vms {
        for (plan, service) in lists::services_by_plan() {
            loop {
                let path = format!("{EXPLAIN}?plan={plan}&service={service}");
                let req = Request::get(path)
                    .header(header::HOST, "daemon")
                    .body(body::empty())?;
                let response = http_client::send(vm.daemon.local_address(), req).await?;
                let explained = serde_json::from_slice::<ExplainResponse>(response.body());
                let servers = mesh.vms.iter().filter(|vm| vm.service == service).count();
                if explained.is_ok_and(|answer| answer.candidates.len() == servers) {
                    break;
                }
                if Instant::now() > deadline {
                    let daemon = vm.daemon.local_address();
                    return Err(format!(
                        "daemon {daemon} does not route to all servers of {service}"
                    )
                    .into());
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
    Ok(())
}

async fn call_roll_consultation(mesh: &Mesh) -> Result<Echo> {
    let req = request("GET", "roll-consultation", "/entry/7", "clerks").body(body::empty())?;
    let response = send(mesh, 0, req).await?;
    serde_json::from_slice(response.body()).map_err(|e| format!("{e}: {response:?}").into())
}

/// Sends an order twice, through two daemons, and checks that it ran once.
async fn check_order(
    mesh: &Mesh,
    out: &mut impl Write,
    check: &str,
    plan: &str,
    service: &str,
) -> Result<bool> {
    let key = format!("{plan}-order-1");
    let mut answers = Vec::new();
    for vm in [0, 3] {
        let req = request("POST", service, "/orders", plan)
            .header("idempotency-key", &key)
            .body(body::full("one order"))?;
        answers.push(send(mesh, vm, req).await?);
    }
    let runs = mesh
        .runs
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .get(&key)
        .copied()
        .unwrap_or_default();
    let same = answers
        .iter()
        .all(|answer| answer.status().is_success() && answer.body() == answers[0].body());
    let detail = format!(
        "sent twice, ran {runs} time(s), statuses {} and {}",
        answers[0].status(),
        answers[1].status()
    );
    print_result(out, check, same && runs == 1, &detail)
}

async fn check_upload(mesh: &Mesh, out: &mut impl Write) -> Result<bool> {
    let req = request("PUT", "records", "/ledgers/1", "ledgers")
        .body(body::full(vec![7; UPLOAD_SIZE]))?;
    let response = send(mesh, 1, req).await?;
    let echo: Echo = serde_json::from_slice(response.body())?;
    let detail = format!("{} of {UPLOAD_SIZE} bytes arrived", echo.received);
    print_result(
        out,
        "ledger upload",
        echo.received == UPLOAD_SIZE as u64,
        &detail,
    )
}

async fn check_refusal(mesh: &Mesh, out: &mut impl Write) -> Result<bool> {
    let req = request("GET", "issuance", "/", "clerks").body(body::empty())?;
    let response = send(mesh, 2, req).await?;
    let outcome = response.headers().get("anvilbeam-outcome");
    let refused = response.status() == http::StatusCode::FORBIDDEN
        && outcome.is_some_and(|outcome| outcome == "not-run");
    let detail = format!("status {}", response.status());
    print_result(out, "call without a grant", refused, &detail)
}

async fn check_edit(mesh: &Mesh, out: &mut impl Write, notes: &mut impl Write) -> Result<bool> {
    let target = &mesh.vms[1].server;
    let started = Instant::now();
    put_lists(mesh, &lists::plans(), &lists::grants(&[target]), notes).await?;
    let elapsed = started.elapsed();
    let mut moved = true;
    for vm in 0..mesh.vms.len() {
        let req = request("GET", "roll-consultation", "/entry/7", "clerks").body(body::empty())?;
        let response = send(mesh, vm, req).await?;
        let echo: Echo = serde_json::from_slice(response.body())?;
        moved &= echo.server == *target;
    }
    let detail = format!(
        "in force on {} daemons after {:.0} ms; all calls go to {target}",
        mesh.vms.len(),
        elapsed.as_secs_f64() * 1000.0
    );
    print_result(out, "edit that moves traffic", moved, &detail)
}

/// Fetches the status of the mesh from the operator port.
pub(super) async fn status(mesh: &Mesh) -> Result<StatusResponse> {
    let req = Request::get(STATUS)
        .header(header::HOST, "control")
        .header(header::AUTHORIZATION, format!("Bearer {OPERATOR_TOKEN}"))
        .body(body::empty())?;
    let response = http_client::send(mesh.operator_address, req).await?;
    if !response.status().is_success() {
        return Err(format!("status: {}", response.status()).into());
    }
    Ok(serde_json::from_slice(response.body())?)
}
