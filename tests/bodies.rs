//! Bodies: whole or an error, in bounded memory, however long they take.

mod support;

use {
    http::StatusCode,
    http_body_util::BodyExt,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    support::{
        Mesh, PATIENCE,
        calls::{CHUNK, generated, get, open, put, read_all, resident, spawn, until},
        send,
    },
    tokio::{
        io::AsyncWriteExt,
        net::TcpStream,
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

const CHUNKS: u64 = 4096;
const BYTES: u64 = CHUNKS * CHUNK.len() as u64;
/// What a body may add to a daemon's resident memory, in KiB.
const ADDED: u64 = 16 * 1024;
/// Limit of a daemon's resident memory in KiB.
const LIMIT: u64 = 32_000_000 / 1024;
/// Longer than the 2 s after which a connection that stays silent is closed.
const STALL: Duration = Duration::from_secs(4);

/// Keeps the largest resident memory of a process.
fn watch(process: u32) -> (Arc<AtomicU64>, JoinHandle<()>) {
    let largest = Arc::new(AtomicU64::new(0));
    let seen = Arc::clone(&largest);
    let watching = tokio::spawn(async move {
        loop {
            seen.fetch_max(resident(process), Ordering::Relaxed);
            sleep(Duration::from_millis(10)).await;
        }
    });
    (largest, watching)
}

/// Guards against daemons that hold bodies in memory, and against bodies that lose bytes.
#[tokio::test]
async fn large_bodies_arrive_whole_in_bounded_memory() {
    let mesh = Mesh::with_roll(1, 1, 1).await;
    let before: Vec<u64> = mesh.daemons.iter().map(|d| resident(d.id())).collect();
    assert!(before.iter().all(|at_rest| *at_rest < LIMIT), "{before:?}");
    let watched: Vec<_> = mesh.daemons.iter().map(|d| watch(d.id())).collect();

    let upload = put("/upload", generated(CHUNKS, Duration::ZERO));
    let answer = send(mesh.ports[0].callers, upload).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_eq!(answer.echo().received, BYTES);
    let download = get(&format!("/download?bytes={BYTES}"));
    let answer = open(mesh.ports[0].callers, download).await.unwrap();
    let received = read_all(answer.into_body()).await.unwrap();
    assert_eq!(received, BYTES);

    for (at, (largest, watching)) in watched.into_iter().enumerate() {
        watching.abort();
        let largest = largest.load(Ordering::Relaxed);
        assert!(
            largest < before[at] + ADDED && largest < LIMIT,
            "daemon {at}: {} KiB at rest, {largest} KiB with a body",
            before[at]
        );
    }
}

/// Guards against a body that was cut but looks complete to the backend server.
#[tokio::test]
async fn a_body_that_the_caller_cuts_is_an_error_at_the_server() {
    let mesh = Mesh::with_roll(1, 1, 1).await;
    let server = &mesh.servers[1];
    let mut cut = 0;
    for at in 0..2 {
        for framing in ["content-length: 1000000", "transfer-encoding: chunked"] {
            let calls = server.calls();
            let head = format!(
                "PUT /upload HTTP/1.1\r\nhost: roll\r\nauthorization: Bearer clerks-key\r\n\
                 {framing}\r\n\r\n5\r\nrolls\r\n"
            );
            let mut stream = TcpStream::connect(mesh.ports[at].callers).await.unwrap();
            stream.write_all(head.as_bytes()).await.unwrap();
            until("the upload runs", async || server.calls() > calls).await;
            stream.shutdown().await.unwrap();
            drop(stream);
            cut += 1;
            until("the server sees the cut", async || {
                server.truncated_bodies() == cut
            })
            .await;
        }
    }
}

/// Guards against an answer that was cut but looks complete to the caller.
#[tokio::test]
async fn an_answer_that_the_server_cuts_is_an_error_at_the_caller() {
    let mut mesh = Mesh::with_roll(1, 1, 1).await;
    let mut answers = Vec::new();
    for at in 0..2 {
        let req = get("/download?bytes=100000000");
        let mut answer = open(mesh.ports[at].callers, req).await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
        answer.body_mut().frame().await.unwrap().unwrap();
        answers.push(answer);
    }
    mesh.servers[1].crash();
    for answer in answers {
        let end = timeout(PATIENCE, read_all(answer.into_body())).await;
        let end = end.expect("the connection stays open");
        assert!(end.is_err(), "short success: {end:?}");
    }
}

/// Guards against answers that reach the wrong request, also when callers give up.
#[tokio::test]
async fn answers_never_cross() {
    let mesh = Mesh::with_roll(1, 1, 2).await;
    let mut calls = Vec::new();
    for number in 0..300_u64 {
        let path = format!("/entry?id={number}&ms={}", number % 7);
        let address = mesh.ports[number as usize % 3].callers;
        if number % 5 == 0 {
            leave_early(address, &path).await;
        }
        calls.push((path.clone(), spawn(address, get(&path))));
        if number % 20 == 0 {
            sleep(Duration::from_millis(10)).await;
        }
    }
    for (path, call) in calls {
        let answer = call.await.unwrap().unwrap();
        if answer.status == StatusCode::OK {
            assert_eq!(answer.echo().path, path);
        } else {
            assert_eq!(answer.outcome(), Some("not-run"), "{answer:?}");
        }
    }
}

async fn leave_early(address: SocketAddr, path: &str) {
    let left = timeout(Duration::from_millis(3), send(address, get(path))).await;
    drop(left);
}

/// Guards against a limit on the duration of a body, and against a stalled one that closes its
/// connection or holds up others.
#[tokio::test]
async fn slow_readers_and_writers_are_not_cut() {
    const SIZE: u64 = 32 * 1024 * 1024;
    let mesh = Mesh::with_roll(1, 1, 1).await;
    let mut answers = Vec::new();
    let mut writers = Vec::new();
    for at in [0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1] {
        let req = get(&format!("/download?bytes={SIZE}"));
        answers.push(open(mesh.ports[at].callers, req).await.unwrap());
    }
    for at in [0, 1] {
        let address = mesh.ports[at].callers;
        writers.push((3, spawn(address, put("/upload", generated(3, STALL)))));
        let upload = generated(512, Duration::ZERO);
        let stalled = put("/upload?stall=4000", upload);
        writers.push((512, spawn(address, stalled)));
    }
    until("all calls run", async || mesh.servers[1].calls() == 16).await;
    sleep(STALL).await;
    check_memory(&mesh);
    let quick = timeout(PATIENCE, send(mesh.ports[0].callers, get("/entry"))).await;
    let quick = quick.expect("stalled bodies hold up others").unwrap();
    assert_eq!(quick.status, StatusCode::OK, "{quick:?}");
    for answer in answers {
        assert_eq!(read_all(answer.into_body()).await.unwrap(), SIZE);
    }
    for (chunks, writer) in writers {
        let answer = writer.await.unwrap().unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        assert_eq!(answer.echo().received, chunks * CHUNK.len() as u64);
    }
    check_memory(&mesh);
}

fn check_memory(mesh: &Mesh) {
    for daemon in &mesh.daemons {
        let resident = resident(daemon.id());
        assert!(resident < LIMIT, "{resident} KiB");
    }
}
