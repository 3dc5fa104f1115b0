//! A backend server of the platform: answers requests and sends heartbeats.

use {
    super::{
        http::{self, Message},
        mesh::Daemon,
        messages,
        record::Record,
    },
    std::{
        io::{BufReader, Write as _},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Interval of the heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(870);

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(40);

/// A request that the server ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub host: String,
    pub caller_service: String,
    pub at: Instant,
}

pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    /// Start of the server in Unix milliseconds.
    pub born: u128,
    /// Number of the last heartbeat.
    sequence: Arc<AtomicU64>,
    /// Whether no more heartbeats are sent.
    silent: Arc<AtomicBool>,
    /// Whether the server has ended.
    ended: Arc<AtomicBool>,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Upstream {
    /// Starts a server of `service` beside a daemon.
    pub fn start(id: &str, service: &str, daemon: &Daemon) -> Result<Self, String> {
        let listener = TcpListener::bind((daemon.ip, 0)).map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let runs = Arc::new(Mutex::new(Vec::new()));
        let (recorded, own_id) = (Arc::clone(&runs), id.to_owned());
        let ended = Arc::new(AtomicBool::new(false));
        let has_ended = Arc::clone(&ended);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let (runs, id) = (Arc::clone(&recorded), own_id.clone());
                let has_ended = Arc::clone(&has_ended);
                thread::spawn(move || serve(stream, &runs, &id, &has_ended));
            }
        });
        let born = unix_ms();
        let (id, service, control) = (id.to_owned(), service.to_owned(), daemon.control);
        let text_address = address.to_string();
        let sequence = Arc::new(AtomicU64::new(0));
        let silent = Arc::new(AtomicBool::new(false));
        let upstream = Self {
            id: id.clone(),
            address,
            born,
            sequence: Arc::clone(&sequence),
            silent: Arc::clone(&silent),
            ended,
            runs,
        };
        thread::spawn(move || {
            while !silent.load(Ordering::SeqCst) {
                let sequence = sequence.fetch_add(1, Ordering::SeqCst) + 1;
                let path = format!("/anvilbeam/instances/{id}");
                let (sequence, born) = (sequence.to_string(), born.to_string());
                let values = [
                    ("service", service.as_str()),
                    ("address", &text_address),
                    ("sequence", &sequence),
                    ("born", &born),
                ];
                let body = messages::fill("heartbeat", &values);
                // A heartbeat that fails is followed by the next one.
                let _failed = http::send(control, "PUT", &path, &[], &body, Duration::from_secs(1));
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(upstream)
    }

    /// Sends no more heartbeats.
    pub fn stop_heartbeats(&self) {
        self.silent.store(true, Ordering::SeqCst);
    }

    /// Ends the server: it answers nothing and accepts nothing from now on.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        let _woken = TcpStream::connect(self.address);
    }

    pub fn last_sequence(&self) -> u64 {
        self.sequence.load(Ordering::SeqCst)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

pub fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis())
}

fn serve(stream: TcpStream, runs: &Mutex<Vec<Run>>, id: &str, ended: &AtomicBool) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = http::read_message(&mut reader) {
        if ended.load(Ordering::SeqCst) {
            return;
        }
        let answer = answer(&request, runs, id);
        if ended.load(Ordering::SeqCst) {
            return;
        }
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn answer(request: &Message, runs: &Mutex<Vec<Run>>, id: &str) -> String {
    let value = |name| request.header(messages::text(name)).unwrap_or_default();
    let request_id = value("request-id");
    let expected = request.header(messages::text("expected-server"));
    if expected.is_some_and(|expected| expected != id) {
        return messages::head("misdirected", &[("request", request_id)]);
    }
    let run = Run {
        id: request_id.to_owned(),
        host: request.header("Host").unwrap_or_default().to_owned(),
        caller_service: value("caller-service").to_owned(),
        at: Instant::now(),
    };
    runs.lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(run);
    thread::sleep(WORK);
    let body = format!("answer of {id} to {request_id}");
    let length = body.len().to_string();
    let values = [("request", request_id), ("server", id), ("length", &length)];
    messages::head("answer", &values) + &body
}

/// Sends one request to a daemon; returns the status, 0 without an answer.
pub fn call(daemon: &Daemon, host: &str, id: &str, record: Option<&Record>) -> u16 {
    let headers = [
        ("Host", host),
        (messages::text("request-id"), id),
        (messages::text("deadline"), "1000"),
    ];
    let timeout = Duration::from_millis(1_500);
    let answer = http::send(daemon.outbound, "POST", "/entry/1", &headers, "", timeout);
    let status = answer.map_or(0, |answer| answer.status());
    if let Some(record) = record {
        record.line(&format!(
            "request {id} to {host} at {}: {status}",
            daemon.outbound
        ));
    }
    status
}
