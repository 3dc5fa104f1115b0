//! Processes, upstreams, clients and an operator for the scripts beside this folder. Standard library only.
//!
//! The project's programs are started with the commands and templates of `deploy/`; everything else is a
//! stand-in that follows the users' pages. Texts in the platform's words stand in `words/`.

#![allow(dead_code)]

use std::{
    collections::HashMap,
    env, fs,
    io::{self, BufRead, BufReader, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    panic::{self, AssertUnwindSafe},
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Exit status of a script whose case could not run.
pub const CANNOT_RUN: i32 = 2;

macro_rules! words {
    ($name:literal) => {
        include_str!(concat!("words/", $name))
    };
}

fn fill(template: &str, values: &[(&str, String)]) -> String {
    values.iter().fold(template.trim_end().to_owned(), |text, (name, value)| {
        text.replace(&format!("%{name}%"), value)
    })
}

fn word(list: &str, key: &str) -> String {
    let mut rows = list.lines().filter_map(|row| row.split_once(' '));
    rows.find(|(name, _)| *name == key).map(|(_, word)| word.to_owned()).expect("a listed word")
}

/// Name of the header that `words/headers.txt` lists under `key`, in lower case.
pub fn header(key: &str) -> String {
    word(words!("headers.txt"), key)
}

fn path_of(key: &str) -> String {
    word(words!("paths.txt"), key)
}

fn head(template: &str, values: &[(&str, String)]) -> String {
    let lines = fill(template, values).replace('\n', "\r\n");
    format!("{lines}\r\n\r\n")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Returns an id that no other call of this process returns.
pub fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", unix_ms() as u32 ^ process::id().rotate_left(16))
}

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Lines of `record.txt`, with the seconds since the start of the script.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn add(&self, line: impl Into<String>) {
        let at = self.now();
        self.lines.lock().unwrap().push((at, line.into()));
    }

    /// Adds a line and prints it.
    pub fn say(&self, line: impl Into<String>) {
        let line = line.into();
        println!("{:8.3} {line}", self.now());
        self.add(line);
    }

    fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let text: String = lines.iter().map(|(at, line)| format!("{at:8.3} {line}\n")).collect();
        if let Err(e) = fs::write(path, text) {
            eprintln!("{}: {e}", path.display());
        }
    }
}

/// A response that was read whole.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

fn read_head(from: &mut impl BufRead) -> io::Result<(String, HashMap<String, String>)> {
    let mut first = String::new();
    if from.read_line(&mut first)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Ok((first.trim_end().to_owned(), headers));
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn read_body(from: &mut impl BufRead, headers: &HashMap<String, String>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some_and(|coding| coding == "chunked") {
        loop {
            let mut line = String::new();
            from.read_line(&mut line)?;
            let digits = line.trim().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(digits, 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            from.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let size = headers.get("content-length").map_or(Ok(0), |text| text.parse::<u64>());
    let size = size.map_err(io::Error::other)?;
    body.resize(size as usize, 0);
    from.read_exact(&mut body)?;
    Ok(body)
}

/// A client's connection, kept open for further requests.
pub struct Connection {
    stream: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, ms(1_000))?;
        stream.set_nodelay(true)?;
        Ok(Self { stream: BufReader::new(stream) })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.get_mut().write_all(bytes)
    }

    pub fn receive(&mut self, timeout: Duration) -> io::Result<Answer> {
        self.stream.get_ref().set_read_timeout(Some(timeout))?;
        loop {
            let (first, headers) = read_head(&mut self.stream)?;
            let status = first.split(' ').nth(1).and_then(|code| code.parse().ok());
            let status: u16 = status.ok_or_else(|| io::Error::other(format!("no answer: {first:?}")))?;
            if status >= 200 {
                let body = read_body(&mut self.stream, &headers)?;
                return Ok(Answer { status, headers, body });
            }
        }
    }
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub method: &'static str,
    pub host: String,
    pub path: String,
    pub deadline_ms: u64,
    pub body: Vec<u8>,
}

impl Call {
    pub fn new(method: &'static str, host: &str, path: &str, deadline_ms: u64) -> Self {
        let (host, path) = (host.to_owned(), path.to_owned());
        Self { id: fresh_id(), method, host, path, deadline_ms, body: Vec::new() }
    }

    pub fn bytes(&self) -> Vec<u8> {
        let values = [
            ("METHOD", self.method.to_owned()),
            ("PATH", self.path.clone()),
            ("HOST", self.host.clone()),
            ("ID", self.id.clone()),
            ("DEADLINE", self.deadline_ms.to_string()),
            ("LENGTH", self.body.len().to_string()),
        ];
        let mut bytes = head(words!("request.txt"), &values).into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Sends the request on a new connection. Waits a little longer than the client's deadline.
    pub fn send_to(&self, address: SocketAddr) -> io::Result<Answer> {
        let mut connection = Connection::open(address)?;
        connection.send(&self.bytes())?;
        connection.receive(ms(self.deadline_ms + 300))
    }
}

fn plain(address: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<Answer> {
    let mut connection = Connection::open(address)?;
    let size = body.len();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {size}\r\n\r\n{body}"
    );
    connection.send(text.as_bytes())?;
    connection.receive(ms(1_100))
}

/// What an upstream has read of one request.
#[derive(Clone, Debug)]
pub struct Received {
    pub id: String,
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    pub deadline: Option<Duration>,
    pub at: Instant,
}

/// What an upstream does with a request that it runs: returns the time of the work and the answer's body.
pub type Work = Arc<dyn Fn(&Received) -> (Duration, Vec<u8>) + Send + Sync>;

/// An upstream. It answers 421 to requests for another instance, and stops work at the deadline it is given.
pub struct Upstream {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub born: u64,
    pub slots: u32,
    pub runs: Mutex<Vec<(Received, Instant, u16)>>,
    pub draining: AtomicBool,
    pub silent: AtomicBool,
    ended: AtomicBool,
    sequence: AtomicU64,
    busy: AtomicU64,
}

impl Upstream {
    pub fn start(address: SocketAddr, service: &str, zone: &str, work: Work) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let upstream = Arc::new(Self {
            name: format!("i-{}", fresh_id()),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            born: unix_ms(),
            slots: 9,
            runs: Mutex::default(),
            draining: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            busy: AtomicU64::new(0),
        });
        let serving = Arc::clone(&upstream);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.ended.load(Ordering::Relaxed) {
                    return;
                }
                let (upstream, work) = (Arc::clone(&serving), Arc::clone(&work));
                thread::spawn(move || drop(upstream.serve(stream, &work)));
            }
        });
        Ok(upstream)
    }

    fn serve(&self, stream: TcpStream, work: &Work) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut to = stream.try_clone()?;
        let mut from = BufReader::new(stream);
        loop {
            let (first, headers) = read_head(&mut from)?;
            let mut parts = first.split(' ').map(str::to_owned);
            let (method, path) = (parts.next().unwrap_or_default(), parts.next().unwrap_or_default());
            let body = read_body(&mut from, &headers)?;
            if self.ended.load(Ordering::Relaxed) {
                return to.shutdown(Shutdown::Both);
            }
            let instance = ("INSTANCE", self.name.clone());
            if path == "/health" {
                to.write_all(head(words!("health.txt"), &[instance]).as_bytes())?;
                continue;
            }
            let Some(id) = headers.get(&header("id")).cloned() else {
                to.write_all(head(words!("no_id.txt"), &[]).as_bytes())?;
                continue;
            };
            let expected = headers.get(&header("instance"));
            if expected.is_some_and(|expected| *expected != self.name) {
                let values = [("ID", id), instance];
                to.write_all(head(words!("misdirected.txt"), &values).as_bytes())?;
                continue;
            }
            let deadline = headers.get(&header("deadline")).and_then(|text| text.parse().ok()).map(ms);
            let at = Instant::now();
            let received = Received { id: id.clone(), method, path, headers, body, deadline, at };
            let running = self.busy.fetch_add(1, Ordering::Relaxed) + 1;
            let (took, text) = work(&received);
            let in_time = deadline.is_none_or(|deadline| took <= deadline);
            thread::sleep(if in_time { took } else { deadline.unwrap_or(took) });
            self.busy.fetch_sub(1, Ordering::Relaxed);
            let (status, text) = if in_time { (200, text) } else { (504, Vec::new()) };
            self.runs.lock().unwrap().push((received, Instant::now(), status));
            let values = [
                ("STATUS", status.to_string()),
                ("ID", id),
                ("LOAD", format!("{running},0,{}", self.slots)),
                ("LENGTH", text.len().to_string()),
            ];
            let mut answer = head(words!("answer.txt"), &values).into_bytes();
            answer.extend_from_slice(&text);
            to.write_all(&answer)?;
        }
    }

    /// The text of the next heartbeat; each has a higher number than the one before.
    pub fn next_heartbeat(&self) -> String {
        let state = if self.draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let values = [
            ("SERVICE", self.service.clone()),
            ("ADDRESS", self.address.to_string()),
            ("ZONE", self.zone.clone()),
            ("SLOTS", self.slots.to_string()),
            ("STATE", state.to_owned()),
            ("SEQUENCE", (self.sequence.fetch_add(1, Ordering::Relaxed) + 1).to_string()),
            ("BORN", self.born.to_string()),
        ];
        fill(words!("heartbeat.json"), &values)
    }

    pub fn deliver(&self, to: SocketAddr, heartbeat: &str) -> io::Result<u16> {
        let path = format!("{}{}", path_of("instances"), self.name);
        plain(to, "PUT", &path, heartbeat).map(|answer| answer.status)
    }

    /// Sends heartbeats until the upstream is silent.
    pub fn announce(self: &Arc<Self>, to: SocketAddr) {
        let upstream = Arc::clone(self);
        thread::spawn(move || {
            while !upstream.silent.load(Ordering::Relaxed) {
                let heartbeat = upstream.next_heartbeat();
                // A heartbeat that fails is followed by the next one.
                let _failed = upstream.deliver(to, &heartbeat);
                thread::sleep(ms(870));
            }
        });
    }

    /// Says that the upstream leaves, until that is acknowledged.
    pub fn leave(&self, to: SocketAddr, tries: u32) -> io::Result<()> {
        let path = format!("{}{}", path_of("instances"), self.name);
        let body = fill(words!("shutdown.json"), &[("BORN", self.born.to_string())]);
        for _ in 0..tries {
            match plain(to, "DELETE", &path, &body) {
                Ok(answer) if (200..300).contains(&answer.status) => return Ok(()),
                _ => thread::sleep(ms(200)),
            }
        }
        Err(io::Error::other("the departure was not acknowledged"))
    }

    /// Ends the upstream: it accepts and answers nothing any more.
    pub fn end(&self) {
        self.silent.store(true, Ordering::Relaxed);
        self.ended.store(true, Ordering::Relaxed);
        let _woken = TcpStream::connect_timeout(&self.address, ms(200));
    }
}

/// A route of a configuration.
#[derive(Clone, Debug)]
pub struct Route {
    pub host: String,
    pub prefix: String,
    pub kind: &'static str,
    pub service: String,
    pub timeout_ms: u64,
    pub target_ms: u64,
}

impl Route {
    pub fn new(host: &str, prefix: &str, kind: &'static str, service: &str, timeout_ms: u64) -> Self {
        let (host, prefix, service) = (host.to_owned(), prefix.to_owned(), service.to_owned());
        Self { host, prefix, kind, service, timeout_ms, target_ms: timeout_ms / 2 }
    }
}

/// Text of the tenants of a configuration, each with keys of its own.
pub fn tenants(count: usize, keys: usize) -> String {
    let tenant = |index: usize| {
        let keys: Vec<String> = (0..keys).map(|key| format!("\"key-{index:08x}-{key:010x}\"")).collect();
        let values = [("NAME", format!("tenant-{index}")), ("KEYS", keys.join(","))];
        fill(words!("tenant.json"), &values)
    };
    let tenants: Vec<String> = (0..count).map(tenant).collect();
    fill(words!("tenants.json"), &[("LIST", tenants.join(","))])
}

/// Text of a configuration.
pub fn configuration(version: u64, base: u64, routes: &[Route], services: &[&str]) -> String {
    configuration_with(version, base, routes, services, "")
}

/// Text of a configuration with further members.
pub fn configuration_with(
    version: u64,
    base: u64,
    routes: &[Route],
    services: &[&str],
    further: &str,
) -> String {
    let routes: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(index, route)| {
            let values = [
                ("NAME", format!("r-{index}")),
                ("HOST", route.host.clone()),
                ("PREFIX", route.prefix.clone()),
                ("KIND", route.kind.to_owned()),
                ("TIMEOUT", format!("{}ms", route.timeout_ms)),
                ("TARGET", format!("{}ms", route.target_ms)),
                ("SERVICE", route.service.clone()),
            ];
            fill(words!("route.json"), &values)
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| fill(words!("service.json"), &[("NAME", (*name).to_owned())]))
        .collect();
    let values = [
        ("VERSION", format!("{version:08x}")),
        ("ROUTES", routes.join(",")),
        ("SERVICES", services.join(",")),
        ("BASE", format!("{base:08x}")),
        ("FURTHER", further.to_owned()),
    ];
    fill(words!("configuration.json"), &values)
}

/// One value of the fields from which the platform fills in a template.
enum Field {
    Text(String),
    List(Vec<String>),
}

/// Fills in a template as DEPLOY.md tells: values, `{{#a}} .. {{/a}}` for lists and values, `{{.}}` and `{{,}}`.
fn render(template: &str, fields: &HashMap<&str, Field>) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        out.push_str(&rest[..start]);
        let Some(size) = rest[start..].find("}}") else { break };
        let name = rest[start + 2..start + size].to_owned();
        rest = &rest[start + size + 2..];
        if let Some(section) = name.strip_prefix('#') {
            let close = format!("{{{{/{section}}}}}");
            let Some(end) = rest.find(&close) else { break };
            let inner = &rest[..end];
            match fields.get(section) {
                Some(Field::Text(value)) => out.push_str(&render(&inner.replace("{{.}}", value), fields)),
                Some(Field::List(values)) => {
                    for (index, value) in values.iter().enumerate() {
                        let comma = if index + 1 < values.len() { "," } else { "" };
                        out.push_str(&inner.replace("{{.}}", value).replace("{{,}}", comma));
                    }
                }
                None => {}
            }
            rest = &rest[end + close.len()..];
        } else if let Some(Field::Text(value)) = fields.get(name.as_str()) {
            out.push_str(value);
        }
    }
    out.push_str(rest);
    out
}

/// Command, template and environment of a role in the deploy file.
struct Role {
    run: Vec<String>,
    template: String,
    env: Vec<(String, String)>,
}

impl Role {
    fn read(deploy_file: &str, name: &str) -> Option<Self> {
        let section = deploy_file.split("\n[roles.").find(|part| part.starts_with(&format!("{name}]")))?;
        let value = |key: &str| {
            let mut rows = section.lines().filter_map(|row| row.split_once(" = "));
            rows.find(|(name, _)| *name == key).map(|(_, value)| value.trim().to_owned())
        };
        let run = value("run")?.trim_matches('"').split(' ').map(str::to_owned).collect();
        let template = value("template")?.trim_matches('"').to_owned();
        let env = value("env").unwrap_or_default();
        let env = env.trim_matches(['{', '}', ' ']).split_once(" = ").map(|(name, text)| {
            (name.to_owned(), text.trim().trim_matches('"').replace("\\n", "\n"))
        });
        Some(Self { run, template, env: env.into_iter().collect() })
    }
}

/// Machine class and place of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Node {
    Core(usize),
    Side(usize),
}

/// Signals of the platform.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    Kill = 9,
    Term = 15,
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Times that the platform puts into the settings.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub grace_s: u64,
    pub memory_mb: u64,
}

/// A deployment: core machines and machines of upstreams, each at a loopback address of its own.
pub struct Mesh {
    pub record: Record,
    pub bounds: Bounds,
    root: PathBuf,
    folder: PathBuf,
    net: (u8, u8),
    ports: [u16; 5],
    cores: usize,
    sides: usize,
    services: Vec<String>,
    processes: HashMap<Node, Child>,
    version: u64,
    first_start: bool,
}

const PEER: usize = 0;
const CONTROL: usize = 1;
const OUTBOUND: usize = 2;
const READY: usize = 3;
const APP: usize = 4;

impl Mesh {
    /// Prepares `cores` core machines and one machine for each of `services`.
    pub fn new(record: Record, cores: usize, services: &[&str], bounds: Bounds) -> io::Result<Self> {
        let root = env::current_dir()?;
        let folder = env::temp_dir().join(format!("review-2-{}-{}", process::id(), unix_ms()));
        fs::create_dir_all(&folder)?;
        let seed = process::id() as u64 ^ unix_ms();
        let mut mesh = Self {
            record,
            bounds,
            root,
            folder,
            net: (0, 0),
            ports: [0; 5],
            cores,
            sides: services.len(),
            services: services.iter().map(|name| (*name).to_owned()).collect(),
            processes: HashMap::new(),
            version: 0,
            first_start: true,
        };
        for attempt in 0..50 {
            let number = seed.wrapping_add(attempt * 7_919);
            mesh.net = (64 + (number % 60) as u8, (number / 60 % 250) as u8 + 1);
            if mesh.draw_ports().is_ok() {
                return Ok(mesh);
            }
        }
        Err(io::Error::other("no free ports"))
    }

    fn nodes(&self) -> Vec<Node> {
        (0..self.cores).map(Node::Core).chain((0..self.sides).map(Node::Side)).collect()
    }

    /// Finds ports that are free at all addresses.
    fn draw_ports(&mut self) -> io::Result<()> {
        for index in 0..self.ports.len() {
            let first = TcpListener::bind(SocketAddr::new(self.ip(Node::Core(0)), 0))?;
            let port = first.local_addr()?.port();
            drop(first);
            for node in self.nodes() {
                TcpListener::bind(SocketAddr::new(self.ip(node), port))?;
            }
            self.ports[index] = port;
        }
        let mut sorted = self.ports;
        sorted.sort_unstable();
        if sorted.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err(io::Error::other("a port was drawn twice"));
        }
        Ok(())
    }

    fn ip(&self, node: Node) -> std::net::IpAddr {
        let host = match node {
            Node::Core(index) => 10 + index as u8,
            Node::Side(index) => 100 + index as u8,
        };
        [127, self.net.0, self.net.1, host].into()
    }

    fn at(&self, node: Node, port: usize) -> SocketAddr {
        SocketAddr::new(self.ip(node), self.ports[port])
    }

    /// Address to which clients of a machine send requests.
    pub fn outbound(&self, side: usize) -> SocketAddr {
        self.at(Node::Side(side), OUTBOUND)
    }

    /// Address to which the upstream of a machine sends heartbeats.
    pub fn heartbeats(&self, side: usize) -> SocketAddr {
        self.at(Node::Side(side), CONTROL)
    }

    /// Address at which the upstream of a machine serves.
    pub fn app(&self, side: usize) -> SocketAddr {
        self.at(Node::Side(side), APP)
    }

    pub fn operators(&self, core: usize) -> SocketAddr {
        self.at(Node::Core(core), CONTROL)
    }

    pub fn zone(&self, index: usize) -> String {
        format!("zone-{}", ["a", "b", "c"][index % 3])
    }

    pub fn folder(&self, node: Node) -> PathBuf {
        self.folder.join(match node {
            Node::Core(index) => format!("core-{index}"),
            Node::Side(index) => format!("side-{index}"),
        })
    }

    pub fn log(&self, node: Node) -> String {
        fs::read_to_string(self.folder(node).join("log")).unwrap_or_default()
    }

    fn fields(&self, node: Node) -> HashMap<&'static str, Field> {
        let text = |value: String| Field::Text(value);
        let (name, index) = match node {
            Node::Core(index) => (format!("core-{index}"), index),
            Node::Side(index) => (format!("side-{index}"), index),
        };
        let seeds = (0..self.cores.min(3)).map(|core| self.operators(core).to_string()).collect();
        let mut fields = HashMap::from([
            ("NodeName", text(name)),
            ("Region", text("region".to_owned())),
            ("Zone", text(self.zone(index))),
            ("Ip", text(self.ip(node).to_string())),
            ("PortRange.0", text(self.ports[PEER].to_string())),
            ("Seeds", Field::List(seeds)),
            ("Listen.Control", text(self.at(node, CONTROL).to_string())),
            ("Listen.Outbound", text(self.at(node, OUTBOUND).to_string())),
            ("Listen.Ready", text(self.at(node, READY).to_string())),
            ("DataDir", text(self.folder(node).join("data").display().to_string())),
            ("Bootstrap", text(self.first_start.to_string())),
            ("FaultTolerance.Machines", text(((self.cores - 1) / 2).to_string())),
            ("Limits.MemoryMb", text(self.bounds.memory_mb.to_string())),
            ("Limits.MaxFds", text("4096".to_owned())),
            ("Limits.LinkMbps", text("1000.0".to_owned())),
            ("Bounds.GracePeriod", text(format!("{}s", self.bounds.grace_s))),
        ]);
        if let Node::Side(index) = node {
            fields.insert("Service", text(self.services[index].clone()));
        }
        fields
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start(&mut self, node: Node) -> io::Result<()> {
        let deploy_file = fs::read_to_string(self.root.join("deploy/system.toml"))?;
        let role = match node {
            Node::Core(_) => "control",
            Node::Side(_) => "daemon",
        };
        let role = Role::read(&deploy_file, role).ok_or_else(|| io::Error::other("no such role"))?;
        let folder = self.folder(node);
        if matches!(node, Node::Core(_)) {
            fs::create_dir_all(folder.join("data"))?;
        }
        fs::create_dir_all(&folder)?;
        let fields = self.fields(node);
        let settings = folder.join("boot.yaml");
        let template = fs::read_to_string(self.root.join(&role.template))?;
        fs::write(&settings, render(&template, &fields))?;
        let settings = settings.display().to_string();
        let words = role.run.iter().map(|word| word.replace("/etc/anvilbeam/boot.yaml", &settings));
        let words: Vec<String> = words.collect();
        let log = fs::File::options().create(true).append(true).open(folder.join("log"))?;
        let mut command = Command::new(self.root.join(&words[0]));
        command.args(&words[1..]).current_dir(&self.root).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            command.envs(env::var(name).map(|value| (name, value)));
        }
        for (name, template) in &role.env {
            command.env(name, render(template, &fields));
        }
        let child = command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).spawn()?;
        self.record.add(format!("start {node:?}"));
        self.processes.insert(node, child);
        Ok(())
    }

    /// Starts all machines.
    pub fn start_all(&mut self) -> io::Result<()> {
        for node in self.nodes() {
            self.start(node)?;
        }
        self.first_start = false;
        Ok(())
    }

    /// Sends a signal to a process.
    pub fn signal(&self, node: Node, signal: Signal) -> io::Result<()> {
        let child = self.processes.get(&node).ok_or_else(|| io::Error::other("no process"))?;
        self.record.say(format!("{signal:?} to {node:?}"));
        // SAFETY: the child has not been waited for, so the id is that of a process started here.
        match unsafe { kill(child.id() as i32, signal as i32) } {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        }
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, node: Node) -> io::Result<()> {
        self.signal(node, Signal::Kill)?;
        self.processes.remove(&node).map_or(Ok(()), |mut child| child.wait().map(drop))
    }

    /// Waits for the end of a process that was told to stop.
    pub fn wait(&mut self, node: Node, timeout: Duration) -> io::Result<()> {
        let until = Instant::now() + timeout;
        while let Some(child) = self.processes.get_mut(&node) {
            if child.try_wait()?.is_some() {
                self.processes.remove(&node);
                self.record.say(format!("{node:?} has ended"));
            } else if Instant::now() > until {
                self.record.say(format!("{node:?} is still there at the end of the grace period"));
                return self.kill(node);
            }
            thread::sleep(ms(5));
        }
        Ok(())
    }

    /// Whether a process runs.
    pub fn runs(&mut self, node: Node) -> bool {
        let child = self.processes.get_mut(&node);
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Resident memory of a process, in MiB.
    pub fn resident_mb(&self, node: Node) -> u64 {
        let id = self.processes.get(&node).map_or(0, Child::id);
        let text = fs::read_to_string(format!("/proc/{id}/statm")).unwrap_or_default();
        let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
        pages.unwrap_or(0) * 4 / 1024
    }

    /// The operator of this deployment.
    pub fn operator(&self) -> Operator {
        Operator { cores: (0..self.cores).map(|core| self.operators(core)).collect(), next: 0 }
    }

    /// Makes a configuration the newest one.
    pub fn configure(&mut self, routes: &[Route], services: &[&str]) -> io::Result<()> {
        let (base, version) = (self.version, self.version + 2);
        let text = configuration(version, base, routes, services);
        let answer = self.operator().put(&text, ms(15_000))?;
        self.record.say(format!("configuration {version:08x} answered {}", answer.status));
        if answer.status != 200 {
            return Err(io::Error::other("the configuration was refused"));
        }
        self.version = version;
        Ok(())
    }

    pub fn read_config(&self, core: usize) -> io::Result<Answer> {
        let mut address = self.operators(core);
        for _redirect in 0..3 {
            let answer = plain(address, "GET", &path_of("config"), "")?;
            match location(&answer).filter(|_| answer.status == 307) {
                Some(next) => address = next,
                None => return Ok(answer),
            }
        }
        Err(io::Error::other("redirected too often"))
    }

    /// Waits until all daemons are ready.
    pub fn await_ready(&self, timeout: Duration) -> io::Result<()> {
        let until = Instant::now() + timeout;
        for side in 0..self.sides {
            let address = self.at(Node::Side(side), READY);
            while !plain(address, "GET", &path_of("readiness"), "").is_ok_and(|answer| answer.status == 200) {
                if Instant::now() > until {
                    return Err(io::Error::other(format!("daemon {side} is not ready")));
                }
                thread::sleep(ms(50));
            }
        }
        Ok(())
    }
}

/// Sends configurations.
pub struct Operator {
    cores: Vec<SocketAddr>,
    next: usize,
}

impl Operator {
    /// Sends a configuration to one core machine after the other until one gives a clear answer. Begins with
    /// the one that answered last.
    pub fn put(&mut self, text: &str, timeout: Duration) -> io::Result<Answer> {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            let mut address = self.cores[self.next % self.cores.len()];
            for _redirect in 0..3 {
                match plain(address, "PUT", &path_of("config"), text) {
                    Ok(answer) if answer.status == 307 => match location(&answer) {
                        Some(next) => address = next,
                        None => break,
                    },
                    Ok(answer) if [200, 400, 409, 412, 413, 422].contains(&answer.status) => {
                        self.next = self.cores.iter().position(|core| *core == address).unwrap_or(0);
                        return Ok(answer);
                    }
                    _ => break,
                }
            }
            self.next += 1;
            thread::sleep(ms(100));
        }
        Err(io::Error::other("the configuration got no clear answer"))
    }
}

fn location(answer: &Answer) -> Option<SocketAddr> {
    let rest = answer.headers.get("location")?.strip_prefix("http://")?;
    rest.split('/').next()?.parse().ok()
}

impl Drop for Mesh {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            // Also ends a process that was stopped.
            drop(child.kill());
            drop(child.wait());
        }
        drop(fs::remove_dir_all(&self.folder));
    }
}

/// Runs a case, writes the record and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case
/// could not run.
pub fn run_case(case: fn(&Record, bool) -> io::Result<bool>) -> ! {
    let record = Record::new();
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let folder = env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    record.say(format!("trouble: {trouble}"));
    // A panic ends the processes of the deployment too.
    let done = panic::catch_unwind(AssertUnwindSafe(|| case(&record, trouble)));
    let status = match done.unwrap_or_else(|_| Err(io::Error::other("the script failed"))) {
        Ok(broken) => {
            record.say(if broken { "the rule was broken" } else { "the rule held" });
            i32::from(broken)
        }
        Err(e) => {
            record.say(format!("the case could not run: {e}"));
            CANNOT_RUN
        }
    };
    record.write(&Path::new(&folder).join("record.txt"));
    process::exit(status)
}
