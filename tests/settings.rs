//! Programs that cannot start, and a daemon that reaches no control process.

mod support;

use {
    http::StatusCode,
    std::{fs, net::TcpListener, path::PathBuf},
    support::{Mesh, calls::get, grants, plans, send},
};

/// Guards against programs that continue, or exit without naming the cause, when an address is
/// taken, a log segment is damaged, a folder cannot be created or a setting is unknown.
#[tokio::test]
async fn a_program_that_cannot_start_reports_the_cause() {
    let mut mesh = Mesh::start(1);
    mesh.add_daemon("r1-a", "roll", 4);
    let plan_names: Vec<String> = (0..50).map(|number| format!("plan-{number}")).collect();
    for count in 1..plan_names.len() {
        let names: Vec<&str> = plan_names[..count].iter().map(String::as_str).collect();
        mesh.put(&plans(&names), &grants(&[])).await;
    }
    mesh.daemons[0].kill();
    mesh.control[0].kill();
    let (callers, operators) = (mesh.ports[0].callers, mesh.operators[0]);
    let segment = largest_segment(&mesh.folder.path().join("config-0"));
    let (control, daemon) = (&mut mesh.control[0], &mut mesh.daemons[0]);

    for (process, address) in [(&mut *daemon, callers), (&mut *control, operators)] {
        let listener = TcpListener::bind(address).unwrap();
        let text = process.start_expecting_failure(false).await;
        assert!(text.contains(&address.to_string()), "{text}");
        drop(listener);
    }

    let intact = fs::read(&segment).unwrap();
    let mut damaged = intact.clone();
    let damaged_byte = damaged.len() / 2;
    damaged[damaged_byte] ^= 0x10;
    fs::write(&segment, damaged).unwrap();
    let text = control.start_expecting_failure(false).await;
    assert!(text.contains(segment.to_str().unwrap()), "{text}");
    let offset = text.split("offset ").nth(1).unwrap();
    let digits = offset.find(|c: char| !c.is_ascii_digit()).unwrap();
    let offset: usize = offset[..digits].parse().unwrap();
    assert!(
        (1..=damaged_byte).contains(&offset),
        "byte {damaged_byte} is damaged: {text}"
    );
    fs::write(&segment, intact).unwrap();

    // A folder below a file cannot be created, not even by root.
    let below = daemon.settings().join("data");
    control.set_setting("data_folder", below.to_str().unwrap());
    let text = control.start_expecting_failure(false).await;
    assert!(text.contains(below.to_str().unwrap()), "{text}");

    for process in [daemon, control] {
        process.set_setting("colour", "red");
        let text = process.start_expecting_failure(false).await;
        assert!(text.contains("colour"), "{text}");
    }
}

fn largest_segment(folder: &std::path::Path) -> PathBuf {
    let files = fs::read_dir(folder)
        .unwrap()
        .map(|file| file.unwrap().path());
    files
        .filter(|path| path.extension().is_some_and(|ext| ext == "log"))
        .max_by_key(|path| path.metadata().unwrap().len())
        .unwrap()
}

/// Guards against a daemon that exits, or accepts calls, while it has no configuration because no
/// control process answers.
#[tokio::test]
async fn a_daemon_without_control_is_alive_and_not_ready() {
    let mut mesh = Mesh::start(1);
    // A replica that is killed before its group is founded needs --bootstrap again.
    mesh.status().await;
    mesh.control[0].kill();
    mesh.add_daemon("r1-a", "roll", 4);
    let refused = mesh
        .call_until(0, "roll", "/entry", "clerks-key", |_| true)
        .await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.outcome(), Some("not-run"), "{refused:?}");
    let health = mesh.get_local(0, "/healthz").await.unwrap();
    assert_eq!(health.status, StatusCode::OK);
    let ready = mesh.get_local(0, "/readyz").await.unwrap();
    assert_eq!(ready.status, StatusCode::SERVICE_UNAVAILABLE, "{ready:?}");

    mesh.control[0].start();
    mesh.put(&plans(&["clerks"]), &grants(&[("clerks", "roll", "")]))
        .await;
    mesh.wait_for_usable_servers(0, 1).await;
    let answer = send(mesh.ports[0].callers, get("/entry")).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
}
