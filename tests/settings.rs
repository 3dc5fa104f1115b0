//! Programs that cannot start, and a daemon that finds no control process.

mod support;

use {
    http::StatusCode,
    std::{fs, net::TcpListener, path::PathBuf},
    support::{Mesh, calls::get, grants, plans, send},
};

/// Guards against programs that go on, or do not say why they stop, when they cannot start.
#[tokio::test]
async fn a_program_that_cannot_start_names_what_is_wrong() {
    let mut mesh = Mesh::start(1);
    mesh.add("r1-a", "roll", 4);
    let long: Vec<String> = (0..50).map(|number| format!("plan-{number}")).collect();
    for count in 1..long.len() {
        let names: Vec<&str> = long[..count].iter().map(String::as_str).collect();
        mesh.put(&plans(&names), &grants(&[])).await;
    }
    mesh.daemons[0].kill();
    mesh.control[0].kill();
    let (callers, operators) = (mesh.ports[0].callers, mesh.operators[0]);
    let segment = segment_of(&mesh.folder.path().join("config-0"));
    let (control, daemon) = (&mut mesh.control[0], &mut mesh.daemons[0]);

    for (process, address) in [(&mut *daemon, callers), (&mut *control, operators)] {
        let taken = TcpListener::bind(address).unwrap();
        let text = process.failure(false).await;
        assert!(text.contains(&address.to_string()), "{text}");
        drop(taken);
    }

    let intact = fs::read(&segment).unwrap();
    let mut damaged = intact.clone();
    let at = damaged.len() / 2;
    damaged[at] ^= 0x10;
    fs::write(&segment, damaged).unwrap();
    let text = control.failure(false).await;
    assert!(text.contains(segment.to_str().unwrap()), "{text}");
    let offset = text.split("offset ").nth(1).unwrap();
    let digits = offset.find(|c: char| !c.is_ascii_digit()).unwrap();
    let offset: usize = offset[..digits].parse().unwrap();
    assert!((1..=at).contains(&offset), "byte {at} is wrong: {text}");
    fs::write(&segment, intact).unwrap();

    // A folder below a file cannot be made, whoever runs the test.
    let below = daemon.settings().join("data");
    control.set("data_folder", below.to_str().unwrap());
    let text = control.failure(false).await;
    assert!(text.contains(below.to_str().unwrap()), "{text}");

    for process in [daemon, control] {
        process.set("colour", "red");
        let text = process.failure(false).await;
        assert!(text.contains("colour"), "{text}");
    }
}

fn segment_of(folder: &std::path::Path) -> PathBuf {
    let files = fs::read_dir(folder)
        .unwrap()
        .map(|file| file.unwrap().path());
    files
        .filter(|path| path.extension().is_some_and(|ext| ext == "log"))
        .max_by_key(|path| path.metadata().unwrap().len())
        .unwrap()
}

/// Guards against a daemon that stops, or that accepts calls, while it knows no configuration.
#[tokio::test]
async fn a_daemon_without_control_is_alive_and_not_ready() {
    let mut mesh = Mesh::start(1);
    // A replica that is killed before its group is founded needs --bootstrap again.
    mesh.status().await;
    mesh.control[0].kill();
    mesh.add("r1-a", "roll", 4);
    let refused = mesh
        .call_until(0, "roll", "/entry", "clerks-key", |_| true)
        .await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.outcome(), Some("not-run"), "{refused:?}");
    let health = mesh.local(0, "/healthz").await.unwrap();
    assert_eq!(health.status, StatusCode::OK);
    let ready = mesh.local(0, "/readyz").await.unwrap();
    assert_eq!(ready.status, StatusCode::SERVICE_UNAVAILABLE, "{ready:?}");

    mesh.control[0].start();
    mesh.put(&plans(&["clerks"]), &grants(&[("clerks", "roll", "")]))
        .await;
    mesh.until_usable(0, 1).await;
    let answer = send(mesh.ports[0].callers, get("/entry")).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
}
