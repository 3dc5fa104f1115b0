//! Connections of callers that send nothing for a while.

use {
    anvilbeam::{
        body,
        serve::{self, Server},
    },
    http::Response,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::sleep,
    },
};

/// Longer than a head of a request may take, and shorter than a connection may be idle.
const IDLE_TIME: Duration = Duration::from_secs(12);

async fn start_server() -> Server {
    let listener = serve::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    serve::serve(listener, |_req, _peer| async {
        Response::new(body::full("answer"))
    })
}

async fn call(stream: &mut TcpStream) -> String {
    let request = "GET / HTTP/1.1\r\nhost: charts\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    while !answer.ends_with(b"answer") {
        let mut buf = [0; 1024];
        let size = stream.read(&mut buf).await.unwrap();
        assert!(size > 0, "the connection was closed");
        answer.extend_from_slice(&buf[..size]);
    }
    String::from_utf8(answer).unwrap()
}

/// Guards against a caller whose next request is lost because its idle connection is closed as if it
/// were sending a head for too long.
#[tokio::test]
async fn an_idle_connection_can_be_used_again() {
    let server = start_server().await;
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    assert!(call(&mut stream).await.starts_with("HTTP/1.1 200"));
    sleep(IDLE_TIME).await;
    assert!(call(&mut stream).await.starts_with("HTTP/1.1 200"));
}
