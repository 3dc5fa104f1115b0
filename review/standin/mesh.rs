//! Processes of the project on loopback addresses, one address for each machine as on the platform.
//! Their settings are the templates of the deploy file, filled in as the platform does.

use {
    super::{http, messages, record::Record},
    std::{
        env, fs,
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
        path::PathBuf,
        process::{self, Child, Command, Stdio},
        sync::{Mutex, PoisonError},
        thread,
        time::{Duration, Instant},
    },
};

/// Ports of each machine, as in the example of the deploy page.
const CONTROL_PORT: u16 = 18306;
const OUTBOUND_PORT: u16 = 18304;
const READY_PORT: u16 = 18302;
const PEER_PORT: u16 = 17620;
/// Time within which the processes must have started.
const START_TIMEOUT: Duration = Duration::from_secs(40);

/// Time after which the platform starts a killed process again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

static PROCESSES: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends all processes of the case and removes its folder.
pub fn kill_all() {
    let mut processes = PROCESSES.lock().unwrap_or_else(PoisonError::into_inner);
    for (_, child) in processes.iter_mut() {
        let _ended = child.kill();
    }
    for (_, child) in processes.iter_mut() {
        let _reaped = child.wait();
    }
    processes.clear();
    let folder = FOLDER.lock().unwrap_or_else(PoisonError::into_inner).take();
    if let Some(folder) = folder.filter(|_| env::var_os("KEEP").is_none()) {
        let _left = fs::remove_dir_all(folder);
    }
}

pub struct Mesh {
    folder: PathBuf,
    token_file: PathBuf,
    /// Second and third part of the loopback addresses.
    prefix: (u8, u8),
    next_machine: u8,
    pub controls: Vec<SocketAddr>,
    seeds: Vec<SocketAddr>,
}

/// A daemon's addresses.
#[derive(Clone, Copy)]
pub struct Daemon {
    pub ip: IpAddr,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
}

impl Mesh {
    /// Starts `controls` control replicas, of which the first three are the seeds.
    pub fn start(controls: usize) -> Result<Self, String> {
        let folder = env::temp_dir().join(format!("anvilbeam-case-{}", process::id()));
        fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        *FOLDER.lock().unwrap_or_else(PoisonError::into_inner) = Some(folder.clone());
        let mut token_file = PathBuf::from("target/mesh-token");
        if fs::read(&token_file).map_or(true, |token| token.is_empty()) {
            token_file = folder.join("mesh-token");
            fs::write(&token_file, "token-of-a-case").map_err(|e| e.to_string())?;
        }
        let pid = process::id();
        let mut mesh = Self {
            folder,
            token_file,
            prefix: (60 + (pid % 60) as u8, (pid / 60 % 250) as u8),
            next_machine: 1,
            controls: Vec::new(),
            seeds: Vec::new(),
        };
        let ips: Vec<IpAddr> = (0..controls).map(|_| mesh.next_ip()).collect();
        for ip in &ips {
            for port in [CONTROL_PORT, PEER_PORT] {
                TcpListener::bind((*ip, port)).map_err(|e| format!("{ip}:{port}: {e}"))?;
            }
        }
        mesh.controls = ips.iter().map(|ip| (*ip, CONTROL_PORT).into()).collect();
        mesh.seeds = mesh.controls.iter().copied().take(3).collect();
        for (index, ip) in ips.iter().enumerate() {
            mesh.start_control(index, *ip)?;
        }
        Ok(mesh)
    }

    pub fn next_ip(&mut self) -> IpAddr {
        let ip = Ipv4Addr::new(127, self.prefix.0, self.prefix.1, self.next_machine);
        self.next_machine += 1;
        ip.into()
    }

    fn seed_list(&self) -> String {
        let quoted: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        quoted.join(",")
    }

    fn start_control(&self, index: usize, ip: IpAddr) -> Result<(), String> {
        let name = format!("core-{index}");
        let data = self.folder.join(&name);
        let text = template("deploy/control.yaml")?
            .replace("{{NodeName}}", &name)
            .replace("{{Region}}", "region")
            .replace("{{Zone}}", "zone")
            .replace("{{Ip}}", &ip.to_string())
            .replace("{{PortRange.0}}", &PEER_PORT.to_string())
            .replace("{{Listen.Control}}", &format!("{ip}:{CONTROL_PORT}"))
            .replace("{{DataDir}}", &data.display().to_string())
            .replace("{{#Seeds}}\"{{.}}\"{{,}}{{/Seeds}}", &self.seed_list())
            .replace("{{Bootstrap}}", "true")
            .replace("{{FaultTolerance.Machines}}", "2");
        self.spawn("target/release/anvilbeam-control", &name, &text)
    }

    /// Starts a daemon for a backend server of `service`.
    pub fn start_daemon(&mut self, name: &str, service: &str) -> Result<Daemon, String> {
        let ip = self.next_ip();
        let daemon = Daemon {
            ip,
            outbound: (ip, OUTBOUND_PORT).into(),
            control: (ip, CONTROL_PORT).into(),
            ready: (ip, READY_PORT).into(),
        };
        let text = template("deploy/daemon.yaml")?
            .replace("{{NodeName}}", name)
            .replace("{{Region}}", "region")
            .replace("{{Zone}}", "zone")
            .replace("{{Listen.Outbound}}", &daemon.outbound.to_string())
            .replace("{{Listen.Control}}", &daemon.control.to_string())
            .replace("{{Listen.Ready}}", &daemon.ready.to_string())
            .replace("{{Ip}}", &ip.to_string())
            .replace("{{PortRange.0}}", &PEER_PORT.to_string())
            .replace("{{#Seeds}}\"{{.}}\"{{,}}{{/Seeds}}", &self.seed_list())
            .replace(
                "{{#Service}}service: \"{{.}}\"{{/Service}}",
                &format!("service: \"{service}\""),
            )
            .replace("{{Bounds.GracePeriod}}", "6s");
        self.spawn("target/release/anvilbeam-daemon", name, &text)?;
        Ok(daemon)
    }

    /// Kills a daemon and starts it again with the same settings.
    pub fn restart_daemon(&self, name: &str) -> Result<(), String> {
        let mut processes = PROCESSES.lock().unwrap_or_else(PoisonError::into_inner);
        for (_, child) in processes.iter_mut().filter(|(of, _)| of == name) {
            child.kill().map_err(|e| e.to_string())?;
            child.wait().map_err(|e| e.to_string())?;
        }
        processes.retain(|(of, _)| of != name);
        drop(processes);
        thread::sleep(RESTART_DELAY);
        let path = self.folder.join(format!("{name}.yaml"));
        let settings = fs::read_to_string(path).map_err(|e| e.to_string())?;
        self.spawn("target/release/anvilbeam-daemon", name, &settings)
    }

    fn spawn(&self, program: &str, name: &str, settings: &str) -> Result<(), String> {
        if settings.contains("{{") {
            return Err(format!(
                "a placeholder of {name} is not filled in:\n{settings}"
            ));
        }
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, settings).map_err(|e| e.to_string())?;
        let log = fs::File::create(path.with_extension("log")).map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new(program)
            .arg("--settings")
            .arg(&path)
            .arg("--token-file")
            .arg(&self.token_file)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            .spawn()
            .map_err(|e| format!("{program}: {e}"))?;
        let mut processes = PROCESSES.lock().unwrap_or_else(PoisonError::into_inner);
        processes.push((name.to_owned(), child));
        Ok(())
    }

    /// Sends a configuration to the control replicas in turn until one of them acknowledges it.
    pub fn put_until_accepted(&self, record: &Record, document: &str) -> Result<(), String> {
        let deadline = Instant::now() + START_TIMEOUT;
        for address in self.controls.iter().cycle() {
            if let Ok((status, _)) = put(*address, document) {
                if status == 200 {
                    record.line(&format!("first configuration acknowledged by {address}"));
                    return Ok(());
                }
            }
            if Instant::now() > deadline {
                return Err("the first configuration was not acknowledged".to_owned());
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err("no control replica".to_owned())
    }
}

/// Waits until the daemon is ready.
pub fn await_ready(daemon: &Daemon) -> Result<(), String> {
    let deadline = Instant::now() + START_TIMEOUT;
    while Instant::now() < deadline {
        let timeout = Duration::from_secs(1);
        let answer = http::send(
            daemon.ready,
            "GET",
            "/anvilbeam/readiness",
            &[],
            "",
            timeout,
        );
        if answer.is_ok_and(|answer| answer.status() == 200) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Err(format!("the daemon at {} is not ready", daemon.ready))
}

/// Sends a configuration to one replica, follows two redirects, and returns the status and the replica
/// that answered.
pub fn put(address: SocketAddr, document: &str) -> Result<(u16, SocketAddr), String> {
    let answer = operator_call(address, "PUT", document)?;
    Ok((answer.0.status(), answer.1))
}

/// Reads the configuration.
pub fn get(address: SocketAddr) -> Result<(u16, String), String> {
    let (answer, _) = operator_call(address, "GET", "")?;
    Ok((answer.status(), answer.text()))
}

fn operator_call(
    mut address: SocketAddr,
    method: &str,
    document: &str,
) -> Result<(http::Message, SocketAddr), String> {
    let headers = [("Content-Type", "application/json")];
    for _ in 0..3 {
        let timeout = Duration::from_secs(2);
        let answer = http::send(
            address,
            method,
            "/anvilbeam/config",
            &headers,
            document,
            timeout,
        );
        let answer = answer.map_err(|e| e.to_string())?;
        if answer.status() != 307 {
            return Ok((answer, address));
        }
        let location = answer.header("location").unwrap_or_default();
        let host = location.trim_start_matches("http://").split('/').next();
        let next = host.and_then(|host| host.parse().ok());
        address = next.ok_or_else(|| format!("redirect to {location:?}"))?;
    }
    Err("redirected too often".to_owned())
}

fn template(path: &str) -> Result<String, String> {
    fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))
}

/// A configuration with one route to each service, `Limits.IdleTimeout` and `Limits.HeaderTimeout`.
pub struct Document<'a> {
    pub version: u32,
    pub base: u32,
    pub services: &'a [&'a str],
    /// `safe` or `unsafe`.
    pub route_type: &'a str,
    pub idle_timeout_ms: u32,
    pub header_timeout_ms: u32,
}

impl Document<'_> {
    pub fn text(&self) -> String {
        let routes: Vec<String> = self.services.iter().map(|name| self.route(name)).collect();
        let services = self.services.iter();
        let services: Vec<String> = services
            .map(|name| messages::fill("service", &[("service", name)]))
            .collect();
        let values = [
            ("version", format!("{:08x}", self.version)),
            ("base", format!("{:08x}", self.base)),
            ("routes", routes.join(",")),
            ("services", services.join(",")),
            ("header_timeout", self.header_timeout_ms.to_string()),
            ("idle_timeout", self.idle_timeout_ms.to_string()),
        ];
        let values: Vec<(&str, &str)> = values.iter().map(|(k, v)| (*k, v.as_str())).collect();
        messages::fill("configuration", &values)
    }

    fn route(&self, service: &str) -> String {
        let values = [("service", service), ("type", self.route_type)];
        messages::fill("route", &values)
    }
}
