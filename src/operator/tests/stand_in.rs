//! Stand-in control replica, and runs of commands against it.

use {
    crate::{
        operator::{Client, Exit, Limits, run_with},
        options::{Parsed, parse},
        settings::Secret,
    },
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    serde_json::Value,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::net::TcpListener,
};

/// So long that no verdict depends on the speed of the machine.
const AMPLE: Duration = Duration::from_mins(10);

/// One received request: method and path, authorization, body.
pub(super) type Received = Arc<Mutex<Vec<(String, String, Value)>>>;

/// Serves on a free port; `answer` maps method and path, and the number of requests before, to
/// status and body. Status 0 closes the connection without an answer.
pub(super) async fn stand_in(
    answer: impl Fn(&str, usize) -> (u16, Value) + Send + Sync + 'static,
) -> (SocketAddr, Received) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let received = Received::default();
    let log = Arc::clone(&received);
    let answer = Arc::new(answer);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (answer, log) = (Arc::clone(&answer), Arc::clone(&log));
            let service = service_fn(move |req: Request<Incoming>| {
                let (answer, log) = (Arc::clone(&answer), Arc::clone(&log));
                async move {
                    let path = req.uri().path_and_query().unwrap();
                    let line = format!("{} {path}", req.method());
                    let auth = req
                        .headers()
                        .get("authorization")
                        .map_or("", |v| v.to_str().unwrap())
                        .to_owned();
                    let body = req.into_body().collect().await.unwrap().to_bytes();
                    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
                    let before = log.lock().unwrap().len();
                    log.lock().unwrap().push((line.clone(), auth, body));
                    let (status, body) = answer(&line, before);
                    if status == 0 {
                        return Err("closed");
                    }
                    let body = Full::new(Bytes::from(body.to_string()));
                    Ok(Response::builder()
                        .status(StatusCode::from_u16(status).unwrap())
                        .body(body)
                        .unwrap())
                }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    (address, received)
}

/// An address on which nothing listens.
pub(super) async fn unused() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

pub(super) struct Run {
    pub(super) exit: Exit,
    pub(super) out: String,
    pub(super) notes: String,
}

pub(super) async fn run_at(addresses: &[SocketAddr], line: &str, patience: Duration) -> Run {
    let list: Vec<_> = addresses.iter().map(ToString::to_string).collect();
    let args: Vec<_> = line.split_whitespace().map(str::to_owned).collect();
    let env = |name: &str| match name {
        "ANVILBEAM_CONTROL" => Some(list.join(",")),
        _ => Some("secret-of-ann".to_owned()),
    };
    let Parsed::Run(options) = parse(&args, env).unwrap() else {
        panic!("nothing to run");
    };
    let limits = Limits {
        connect: AMPLE,
        request: AMPLE,
        election: patience,
    };
    // A client may hold a token even for a command that must not send it.
    let token = options
        .token
        .clone()
        .or(Some(Secret::from("secret-of-ann")));
    let client = Client::new(&options.control, token, limits);
    let (mut out, mut notes) = (Vec::new(), Vec::new());
    let exit = run_with(&client, &options, &mut out, &mut notes).await;
    Run {
        exit,
        out: String::from_utf8(out).unwrap(),
        notes: String::from_utf8(notes).unwrap(),
    }
}

pub(super) async fn run(address: SocketAddr, line: &str) -> Run {
    run_at(&[address], line, Duration::ZERO).await
}
