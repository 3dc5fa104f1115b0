//! All roles and small stand-in backend servers as tasks of one process on loopback.

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
        operator::{self, Exit, Limits},
        options::{Command, Edit, Files, Options, Output},
        settings::{self, Secret},
        stand_in::{Runs, StandIn, StandInConfig},
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

/// Token of the operator in `dev`.
const OPERATOR_TOKEN: &str = "operator-token-of-dev";
/// Token of the mesh in `dev`.
const MESH_TOKEN: &str = "mesh-token-of-dev";
/// Time in which an edit must be in force everywhere.
const EDIT_WAIT: Duration = Duration::from_secs(30);
/// The services and the data centres of their backend servers.
const SERVERS: [(&str, &str); 5] = [
    ("roll-consultation", "dc-1"),
    ("roll-consultation", "dc-2"),
    ("issuance", "dc-1"),
    ("issuance", "dc-2"),
    ("records", "dc-1"),
];

/// Result of a step of `dev`.
pub type Result<T> = std::result::Result<T, BoxError>;

impl Mesh {
    /// Starts the mesh with its lists in force.
    ///
    /// # Errors
    /// Any step that failed.
    pub async fn start() -> Result<Self> {
        let mesh = start().await?;
        put(&mesh, &lists::plans(), &lists::grants(&[]), &mut Vec::new()).await?;
        check::await_routes(&mesh).await?;
        Ok(mesh)
    }

    /// Where the daemon at `vm` takes calls.
    ///
    /// # Panics
    /// Panics when there are not that many daemons.
    pub fn callers(&self, vm: usize) -> SocketAddr {
        self.vms[vm].daemon.caller_address()
    }

    /// Where the backend server at `vm` takes calls.
    ///
    /// # Panics
    /// Panics when there are not that many backend servers.
    pub fn server(&self, vm: usize) -> SocketAddr {
        self.vms[vm].stand_in.address()
    }
}

/// A folder that is removed with its files.
#[derive(Debug)]
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        if let Err(e) = fs::remove_dir_all(&self.0) {
            log::warn!("remove {}: {e}", self.0.display());
        }
    }
}

/// A backend server and the daemon beside it.
#[derive(Debug)]
struct Vm {
    daemon: Daemon,
    server: String,
    service: &'static str,
    stand_in: StandIn,
}

/// The running mesh.
#[derive(Debug)]
pub struct Mesh {
    operators: SocketAddr,
    vms: Vec<Vm>,
    runs: Runs,
    folder: Folder,
    /// Kept so that they run.
    _control: [Control; 2],
}

/// Runs `dev` until it is interrupted, or with `check` until all checks are done.
pub async fn run(check: bool, out: &mut impl Write, notes: &mut impl Write) -> Exit {
    match run_steps(check, out, notes).await {
        Ok(true) => Exit::Done,
        Ok(false) => Exit::Failed,
        Err(e) => {
            // Standard error may be closed; the exit code tells the same.
            let _closed = writeln!(notes, "error: {e}");
            Exit::Failed
        }
    }
}

async fn run_steps(check: bool, out: &mut impl Write, notes: &mut impl Write) -> Result<bool> {
    let mesh = start().await?;
    put(&mesh, &lists::plans(), &lists::grants(&[]), notes).await?;
    describe(&mesh, out)?;
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
    let folder = Folder(std::env::temp_dir().join(name));
    fs::create_dir_all(&folder.0)?;
    let config = start_control(&folder.0, "config").await?;
    let claims = start_control(&folder.0, "claims").await?;
    let operators = config
        .operator_address()
        .ok_or("the config replica has no operator address")?;
    let runs = Runs::default();
    let mut vms = Vec::new();
    for (at, (service, data_centre)) in SERVERS.into_iter().enumerate() {
        let peers = [config.peer_address(), claims.peer_address()];
        vms.push(start_vm(at, service, data_centre, peers, &runs).await?);
    }
    Ok(Mesh {
        operators,
        vms,
        runs,
        folder,
        _control: [config, claims],
    })
}

async fn start_control(folder: &Path, group: &str) -> Result<Control> {
    let operators = if group == "config" {
        let hash = crate::model::Digest::of(OPERATOR_TOKEN.as_bytes());
        format!("operator_address: 127.0.0.1:0\noperators: [{{ name: dev, token_hash: {hash} }}]\n")
    } else {
        String::new()
    };
    let text = format!(
        "name: {group}-1\ngroup: {group}\nregion: region-1\ndata_centre: dc-1\n\
         peer_address: 127.0.0.1:0\ndata_folder: {group}-1\n\
         bootstrap: [{{ name: {group}-1, address: \"127.0.0.1:0\" }}]\n\
         mesh_token: {MESH_TOKEN}\n{operators}"
    );
    let cfg = settings::Control::parse(&folder.join(format!("{group}.yaml")), &text)?;
    let listeners = control::Listeners::bind(&cfg).await?;
    Ok(Control::start(cfg, listeners, true).await?)
}

async fn start_vm(
    at: usize,
    service: &'static str,
    data_centre: &str,
    [config, claims]: [SocketAddr; 2],
    runs: &Runs,
) -> Result<Vm> {
    let text = format!(
        "name: daemon-{at}\nregion: region-1\ndata_centre: {data_centre}\n\
         caller_address: 127.0.0.1:0\nlocal_address: 127.0.0.1:0\npeer_address: 127.0.0.1:0\n\
         control: [\"{config}\"]\nclaims: {{ region-1: [\"{claims}\"] }}\nmesh_token: {MESH_TOKEN}\n"
    );
    let cfg = settings::Daemon::parse(Path::new("dev.yaml"), &text)?;
    let listeners = daemon::Listeners::bind(&cfg).await?;
    let daemon = Daemon::start(cfg, listeners)?;
    let server = format!("{service}-{at}");
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
        runs: Runs::clone(runs),
    })?;
    Ok(Vm {
        daemon,
        server,
        service,
        stand_in,
    })
}

/// Puts both lists through the command line's own code and waits until they are in force.
async fn put(mesh: &Mesh, plans: &str, grants: &str, notes: &mut impl Write) -> Result<()> {
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
    let client = operator::Client::new(&[mesh.operators], Some(token.clone()), Limits::default());
    let options = Options {
        command: Command::Put(Edit {
            files,
            base: Some(version(mesh).await?),
            edit_id: None,
            wait: Some(EDIT_WAIT),
        }),
        control: vec![mesh.operators],
        token: Some(token),
        output: Output::Json,
    };
    let mut answer = Vec::new();
    match operator::run_with(&client, &options, &mut answer, notes).await {
        Exit::Done => Ok(()),
        exit => Err(format!("put ended with {exit:?}").into()),
    }
}

/// Version of the lists, once a leader answers.
async fn version(mesh: &Mesh) -> Result<u64> {
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

fn describe(mesh: &Mesh, out: &mut impl Write) -> Result<()> {
    writeln!(out, "operators  http://{}", mesh.operators)?;
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
            place: "dev".to_owned(),
            reason: "has no backend servers".to_owned(),
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
        mesh.operators
    )?;
    Ok(())
}
