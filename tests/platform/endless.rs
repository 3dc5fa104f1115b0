//! Answers without end, which a backend server in trouble may send until its caller closes.

use {
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::sleep,
    },
};

/// Faults of answers; each is sent fast (`endless-`) or byte by byte (`trickled-`).
pub const FAULTS: [&str; 14] = [
    "garbage",
    "blank-lines",
    "status-line",
    "interim",
    "switch",
    "headers",
    "header",
    "unframed",
    "chunked",
    "chunk-size",
    "chunk-extension",
    "trailers",
    "length",
    "shed",
];

/// Pause between two bytes of a trickled answer.
const TRICKLE_PAUSE: Duration = Duration::from_millis(50);
/// Size of one write of a fast answer in bytes.
const WRITE_SIZE: usize = 16 * 1024;

/// Names of the faults whose connection the caller has closed.
pub type Closed = Arc<Mutex<Vec<String>>>;

/// An answer that begins with `start` and goes on with `repeated` without end.
#[derive(Debug)]
pub struct Endless {
    start: String,
    repeated: Vec<u8>,
    trickled: bool,
}

impl Endless {
    /// Returns the answer to a path whose last part is `endless-FAULT` or `trickled-FAULT`.
    pub fn of_path(path: &str, id: &str) -> Option<Self> {
        let name = path.rsplit('/').next()?;
        let (speed, fault) = name.split_once('-')?;
        let trickled = match speed {
            "trickled" => true,
            "endless" => false,
            _ => return None,
        };
        let (start, repeated) = script(fault, id)?;
        Some(Self {
            start,
            repeated,
            trickled,
        })
    }

    /// Sends the answer until the peer closes the connection.
    pub async fn send(self, stream: &mut TcpStream) {
        if stream.write_all(self.start.as_bytes()).await.is_err() {
            return;
        }
        let (mut reading, mut writing) = stream.split();
        let write = async {
            if self.trickled {
                for byte in self.repeated.iter().cycle() {
                    sleep(TRICKLE_PAUSE).await;
                    if writing.write_all(&[*byte]).await.is_err() {
                        return;
                    }
                }
            }
            let block = self.repeated.repeat(WRITE_SIZE / self.repeated.len());
            while writing.write_all(&block).await.is_ok() {}
        };
        let mut buf = [0; 1024];
        let closed = async { while reading.read(&mut buf).await.is_ok_and(|read| read > 0) {} };
        tokio::select! {
            () = write => {}
            () = closed => {}
        }
    }
}

pub fn record(closed: &Closed, path: &str) {
    let mut closed = closed.lock().unwrap_or_else(PoisonError::into_inner);
    closed.push(path.to_owned());
}

fn script(fault: &str, id: &str) -> Option<(String, Vec<u8>)> {
    let signed = format!(
        "HTTP/1.1 200 OK\r\nAnvilbeam-Request-Id: {id}\r\nAnvilbeam-Response-Signature: s.{id}\r\n"
    );
    let chunked = format!("{signed}Transfer-Encoding: chunked\r\n\r\n");
    let chunk = format!("400\r\n{}\r\n", "a".repeat(1024));
    let (start, repeated): (String, &[u8]) = match fault {
        "garbage" => (String::new(), b"\x00\xffnot HTTP "),
        "blank-lines" => (String::new(), b"\r\n"),
        "status-line" => ("HTTP/1.1 200 ".to_owned(), b"OK "),
        "interim" => (String::new(), b"HTTP/1.1 102 Processing\r\n\r\n"),
        "switch" => (
            signed.replace("200 OK", "101 Switching Protocols")
                + "Connection: upgrade\r\nUpgrade: websocket\r\n\r\n",
            b"frame",
        ),
        "headers" => (signed, b"X-Filler: a\r\n"),
        "header" => (signed + "X-Filler: ", b"a"),
        "unframed" => (signed + "Connection: close\r\n\r\n", b"rolls "),
        "chunked" => (chunked, chunk.as_bytes()),
        "chunk-size" => (chunked, b"0"),
        "chunk-extension" => (chunked + "5;", b"a"),
        "trailers" => (chunked + "0\r\n", b"X-Filler: a\r\n"),
        "length" => (
            signed + "Content-Length: 9000000000000000000\r\n\r\n",
            b"rolls ",
        ),
        "shed" => (
            format!(
                "HTTP/1.1 503 Service Unavailable\r\nAnvilbeam-Request-Id: {id}\r\n\
                 Anvilbeam-Not-Executed: 1\r\n\r\n"
            ),
            b"busy ",
        ),
        "short" => (signed + "Content-Length: 10000\r\n\r\n", b"rolls "),
        "after" => (
            signed + "Content-Length: 5\r\n\r\nrolls",
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
        ),
        _ => return None,
    };
    Some((start, repeated.to_vec()))
}
