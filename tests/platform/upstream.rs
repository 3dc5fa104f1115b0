//! A backend server of the platform that answers with scripted bytes.

use {
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// Heads of the requests that began to run.
pub type Runs = Arc<Mutex<Vec<String>>>;

pub struct Upstream {
    pub address: SocketAddr,
    pub runs: Runs,
}

impl Upstream {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let runs = Runs::default();
        let kept = Arc::clone(&runs);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&kept)));
            }
        });
        Self { address, runs }
    }

    /// Heads of the requests whose path holds `part`.
    pub fn runs_of(&self, part: &str) -> Vec<String> {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let found = runs.iter().filter(|head| head.contains(part));
        found.cloned().collect()
    }
}

/// Value of a header in a request head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines.find_map(|(key, value)| key.eq_ignore_ascii_case(name).then_some(value))
}

async fn serve(mut stream: TcpStream, runs: Runs) {
    let mut buf = Vec::new();
    while let Some(head) = read_request(&mut stream, &mut buf).await {
        let id = header(&head, "Anvilbeam-Request-Id")
            .unwrap_or("none")
            .to_owned();
        let path = head.split(' ').nth(1).unwrap_or("/").to_owned();
        let run = !path.contains("shed");
        if run {
            let mut kept = runs.lock().unwrap_or_else(PoisonError::into_inner);
            kept.push(head);
        }
        let (answer, keep) = answer(&path, &id);
        if stream.write_all(answer.as_bytes()).await.is_err() || !keep {
            return;
        }
    }
}

async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..at]).into_owned();
            let size = header(&head, "content-length").map_or(0, |text| text.parse().unwrap());
            if buf.len() >= at + 4 + size {
                buf.drain(..at + 4 + size);
                return Some(head);
            }
        }
        let mut part = [0; 4096];
        match stream.read(&mut part).await {
            Ok(0) | Err(_) => return None,
            Ok(read) => buf.extend_from_slice(&part[..read]),
        }
    }
}

fn signed(id: &str, body: &str) -> String {
    let size = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nAnvilbeam-Request-Id: {id}\r\nAnvilbeam-Response-Signature: s.{id}\r\n\
         Content-Length: {size}\r\n\r\n{body}"
    )
}

/// The bytes for a request, and whether the connection stays open.
fn answer(path: &str, id: &str) -> (String, bool) {
    let right = signed(id, &format!("answer to {id}"));
    match path.rsplit('/').next().unwrap_or_default() {
        "stray" => (signed("someone-else", "wrong") + &right, true),
        "extra" => (right + &signed("someone-else", "wrong"), true),
        "unsigned" => (
            format!("HTTP/1.1 200 OK\r\nAnvilbeam-Request-Id: {id}\r\nContent-Length: 2\r\n\r\nok"),
            true,
        ),
        "cut" => (right[..right.len() - 3].to_owned(), false),
        "unframed" => (
            format!(
                "HTTP/1.1 200 OK\r\nAnvilbeam-Request-Id: {id}\r\n\
                 Anvilbeam-Response-Signature: s.{id}\r\nConnection: close\r\n\r\nto the end"
            ),
            false,
        ),
        "garbage" => ("not an answer\r\n\r\n".to_owned(), false),
        "shed" => (
            "HTTP/1.1 503 Service Unavailable\r\nAnvilbeam-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                .to_owned(),
            true,
        ),
        _ => (right, true),
    }
}
