//! `anvilbeam dev`: a whole mesh with stand-in backend servers in one process, on loopback.

mod check;
mod lists;

use {
    crate::{
        announce::Announcement,
        body::BoxError,
        control::{self, Control},
        daemon::{self, Daemon},
        error::Error,
        model::ServerState,
        operator::{self, Exit, Timeouts},
        options::{Command, Edit, Files, Options, Output},
        settings::{self, Secret},
        stand_in::{RunCounts, StandIn, StandInConfig},
    },
    std::{
        fs,
        io::Write,
        net::SocketAddr,
        path::{Path, PathBuf},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Operator token of the `dev` mesh.
const OPERATOR_TOKEN: &str = "operator-token-of-dev";
/// Mesh token of the `dev` mesh.
const MESH_TOKEN: &str = "mesh-token-of-dev";
/// Timeout for an edit to be in force on all daemons.
const EDIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Service and data centre of each backend server.
const SERVERS: [(&str, &str); 5] = [
    ("roll-consultation", "dc-1"),
    ("roll-consultation", "dc-2"),
    ("issuance", "dc-1"),
    ("issuance", "dc-2"),
    ("records", "dc-1"),
];

/// Result of one step of `dev`.
pub type Result<T> = std::result::Result<T, BoxError>;

impl Mesh {
    /// Starts the mesh and waits until its lists are in force and all routes exist.
    ///
    /// # Errors
    /// Returns the error of the step that failed.
    pub async fn start() -> Result<Self> {
        let mesh = start().await?;
        put_lists(&mesh, &lists::plans(), &lists::grants(&[]), &mut Vec::new()).await?;
        check::await_routes(&mesh).await?;
        Ok(mesh)
    }

    /// Returns the caller address of the daemon with index `vm`.
    ///
    /// # Panics
    /// Panics if `vm` is out of range.
    pub fn caller_address(&self, vm: usize) -> SocketAddr {
        self.vms[vm].daemon.caller_address()
    }

    /// Returns the address of the backend server with index `vm`.
    ///
    /// # Panics
    /// Panics if `vm` is out of range.
    pub fn server_address(&self, vm: usize) -> SocketAddr {
        self.vms[vm].stand_in.address()
    }
}

/// Folder that is removed with its files when dropped.
#[derive(Debug)]
struct TempFolder(PathBuf);

impl Drop for TempFolder {
    fn drop(&mut self) {
        if let Err(e) = fs::remove_dir_all(&self.0) {
            log::warn!("temporary folder {} not removed: {e}", self.0.display());
        }
    }
}

/// A backend server and its daemon.
#[derive(Debug)]
struct Vm {
    daemon: Daemon,
    server: String,
    service: &'static str,
    stand_in: StandIn,
}

/// Running `dev` mesh.
#[derive(Debug)]
pub struct Mesh {
    operator_address: SocketAddr,
    vms: Vec<Vm>,
    runs: RunCounts,
    folder: TempFolder,
    /// The config and the claims replica, held because they stop when dropped.
    _control: [Control; 2],
}

/// Runs `dev` until it is interrupted, or with `check` until all checks have finished. Results go
/// to `out`, all other text to `notes`.
pub async fn run(check: bool, out: &mut impl Write, notes: &mut impl Write) -> Exit {
    match run_steps(check, out, notes).await {
        Ok(true) => Exit::Done,
        Ok(false) => Exit::Failed,
        Err(e) => {
            // Standard error may be closed; the exit code reports the failure anyway.
            let _result = writeln!(notes, "error: {e}");
            Exit::Failed
        }
    }
}

async fn run_steps(check: bool, out: &mut impl Write, notes: &mut impl Write) -> Result<bool> {
    let mesh = start().await?;
    put_lists(&mesh, &lists::plans(), &lists::grants(&[]), notes).await?;
    print_addresses(&mesh, out)?;
    if check {
        return check::run(&mesh, out, notes).await;
    }
    writeln!(out, "\nRunning until interrupted.")?;
    out.flush()?;
    tokio::signal::ctrl_c().await?;
    Ok(true)
}

async fn start() -> Result<Mesh> {
    let name = format!("anvilbeam-dev-{}", std::process::id());
    let folder = TempFolder(std::env::temp_dir().join(name));
    fs::create_dir_all(&folder.0)?;
    let config = start_control(&folder.0, "config").await?;
    let claims = start_control(&folder.0, "claims").await?;
    let operator_address = config
        .operator_address()
        .ok_or("the config replica has no operator port")?;
    let runs = RunCounts::default();
    let mut vms = Vec::new();
    for (index, (service, data_centre)) in SERVERS.into_iter().enumerate() {
        let peers = [config.peer_address(), claims.peer_address()];
        vms.push(start_vm(index, service, data_centre, peers, &runs).await?);
    }
    Ok(Mesh {
        operator_address,
        vms,
        runs,
        folder,
        _control: [config, claims],
    })
}

async fn start_control(folder: &Path, group: &str) -> Result<Control> {
    let operator_settings = if group == "config" {
        let hash = crate::model::Digest::of(OPERATOR_TOKEN.as_bytes());
        format!("operator_address: 127.0.0.1:0\noperators: [{{ name: dev, token_hash: {hash} }}]\n")
    } else {
        String::new()
    };
    let text = format!(
        "name: {group}-1\ngroup: {group}\nregion: region-1\ndata_centre: dc-1\n\
         peer_address: 127.0.0.1:0\ndata_folder: {group}-1\n\
         bootstrap: [{{ name: {group}-1, address: \"127.0.0.1:0\" }}]\n\
         mesh_token: {MESH_TOKEN}\n{operator_settings}"
    );
    let cfg = settings::Control::parse(&folder.join(format!("{group}.yaml")), &text)?;
    let listeners = control::Listeners::bind(&cfg).await?;
    Ok(Control::start(cfg, listeners, true).await?)
}

async fn start_vm(
    index: usize,
    service: &'static str,
    data_centre: &str,
    [config, claims]: [SocketAddr; 2],
    runs: &RunCounts,
) -> Result<Vm> {
    let text = format!(
        "name: daemon-{index}\nregion: region-1\ndata_centre: {data_centre}\n\
         caller_address: 127.0.0.1:0\nlocal_address: 127.0.0.1:0\npeer_address: 127.0.0.1:0\n\
         control: [\"{config}\"]\nclaims: {{ region-1: [\"{claims}\"] }}\nmesh_token: {MESH_TOKEN}\n"
    );
    let cfg = settings::Daemon::parse(Path::new("dev.yaml"), &text)?;
    let listeners = daemon::Listeners::bind(&cfg).await?;
    let daemon = Daemon::start(cfg, listeners)?;
    let server = format!("{service}-{index}");
    let stand_in = StandIn::start(StandInConfig {
        announcement: Announcement {
            server: server.as_str().into(),
            service: service.into(),
            address: daemon.local_address(),
            slots: 20,
            state: ServerState::Serving,
            incarnation: 1,
        },
        daemon: daemon.local_address(),
        runs: RunCounts::clone(runs),
    })?;
    Ok(Vm {
        daemon,
        server,
        service,
        stand_in,
    })
}

/// Replaces both lists, with the code of the command line, and waits until they are in force.
async fn put_lists(mesh: &Mesh, plans: &str, grants: &str, notes: &mut impl Write) -> Result<()> {
    let files = Files {
        plans: Some(mesh.folder.0.join("plans.yaml")),
        grants: Some(mesh.folder.0.join("grants.yaml")),
    };
    for (path, text) in [(&files.plans, plans), (&files.grants, grants)] {
        if let Some(path) = path {
            fs::write(path, text)?;
        }
    }
    let token = Secret::from(OPERATOR_TOKEN);
    let client = operator::Client::new(
        &[mesh.operator_address],
        Some(token.clone()),
        Timeouts::default(),
    );
    let options = Options {
        command: Command::Put(Edit {
            files,
            base: Some(current_version(mesh).await?),
            edit_id: None,
            wait: Some(EDIT_TIMEOUT),
        }),
        control: vec![mesh.operator_address],
        token: Some(token),
        output: Output::Json,
    };
    let mut answer = Vec::new();
    match operator::run_with_client(&client, &options, &mut answer, notes).await {
        Exit::Done => Ok(()),
        exit => Err(format!("the edit of the lists ended with {exit:?}").into()),
    }
}

/// Returns the current version of the lists, retrying for 10 s until a leader answers.
async fn current_version(mesh: &Mesh) -> Result<u64> {
    let mut error = String::new();
    for _ in 0..100 {
        match check::status(mesh).await {
            Ok(status) => return Ok(status.version),
            Err(e) => error = e.to_string(),
        }
        sleep(Duration::from_millis(100)).await;
    }
    Err(error.into())
}

fn print_addresses(mesh: &Mesh, out: &mut impl Write) -> Result<()> {
    writeln!(out, "operators  http://{}", mesh.operator_address)?;
    for vm in &mesh.vms {
        writeln!(
            out,
            "{:<20} callers http://{}  local http://{}",
            vm.server,
            vm.daemon.caller_address(),
            vm.daemon.local_address(),
        )?;
    }
    let Some(first) = mesh.vms.first() else {
        return Err(Box::new(Error::Invalid {
            location: "dev".to_owned(),
            reason: "no backend servers".to_owned(),
        }));
    };
    writeln!(
        out,
        "\ncurl -H 'Host: roll-consultation' -H 'Authorization: Bearer {}' http://{}/entry/7",
        lists::key("clerks"),
        first.daemon.caller_address(),
    )?;
    writeln!(
        out,
        "ANVILBEAM_TOKEN={OPERATOR_TOKEN} anvilbeam status --control {}",
        mesh.operator_address
    )?;
    Ok(())
}
