//! Mock control replica, and functions that run commands against it.

use {
    crate::{
        operator::{Client, Exit, Timeouts, run_with_client},
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

/// Timeout that is too long to expire, so that no result depends on the speed of the machine.
const LONG_TIMEOUT: Duration = Duration::from_mins(10);

/// The received requests: method and path, `authorization` header, body.
pub(super) type ReceivedRequests = Arc<Mutex<Vec<(String, String, Value)>>>;

/// Serves on a free port. `respond` maps method and path, and the number of earlier requests, to
/// status and body; status 0 closes the connection without a response.
pub(super) async fn mock_replica(
    respond: impl Fn(&str, usize) -> (u16, Value) + Send + Sync + 'static,
) -> (SocketAddr, ReceivedRequests) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let received = ReceivedRequests::default();
    let requests = Arc::clone(&received);
    let respond = Arc::new(respond);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (respond, requests) = (Arc::clone(&respond), Arc::clone(&requests));
            let service = service_fn(move |req: Request<Incoming>| {
                let (respond, requests) = (Arc::clone(&respond), Arc::clone(&requests));
                async move {
                    let path = req.uri().path_and_query().unwrap();
                    let request_line = format!("{} {path}", req.method());
                    let auth = req
                        .headers()
                        .get("authorization")
                        .map_or("", |v| v.to_str().unwrap())
                        .to_owned();
                    let body = req.into_body().collect().await.unwrap().to_bytes();
                    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
                    let earlier_requests = requests.lock().unwrap().len();
                    requests
                        .lock()
                        .unwrap()
                        .push((request_line.clone(), auth, body));
                    let (status, body) = respond(&request_line, earlier_requests);
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

/// Returns an address on which nothing listens.
pub(super) async fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

pub(super) struct RunResult {
    pub(super) exit: Exit,
    pub(super) out: String,
    pub(super) diagnostics: String,
}

pub(super) async fn run_at(
    addresses: &[SocketAddr],
    line: &str,
    election_timeout: Duration,
) -> RunResult {
    let list: Vec<_> = addresses.iter().map(ToString::to_string).collect();
    let args: Vec<_> = line.split_whitespace().map(str::to_owned).collect();
    let env = |name: &str| match name {
        "ANVILBEAM_CONTROL" => Some(list.join(",")),
        _ => Some("secret-of-ann".to_owned()),
    };
    let Parsed::Run(options) = parse(&args, env).unwrap() else {
        panic!("the arguments are not a command: {line}");
    };
    let timeouts = Timeouts {
        connect: LONG_TIMEOUT,
        request: LONG_TIMEOUT,
        election: election_timeout,
    };
    // The client has a token even for a command that must not send it.
    let token = options
        .token
        .clone()
        .or(Some(Secret::from("secret-of-ann")));
    let client = Client::new(&options.control, token, timeouts);
    let (mut out, mut diagnostics) = (Vec::new(), Vec::new());
    let exit = run_with_client(&client, &options, &mut out, &mut diagnostics).await;
    RunResult {
        exit,
        out: String::from_utf8(out).unwrap(),
        diagnostics: String::from_utf8(diagnostics).unwrap(),
    }
}

pub(super) async fn run(address: SocketAddr, line: &str) -> RunResult {
    run_at(&[address], line, Duration::ZERO).await
}
