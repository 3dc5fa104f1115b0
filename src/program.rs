//! Start and stop of the two long-running programs.

use {
    crate::{
        cli::ProgramCli,
        control::{self, Control},
        daemon::{self, Daemon},
        error::{Error, Result},
        events::Event,
        log_event, logging,
        settings::{self, Secret},
    },
    gumdrop::Options as _,
    std::{
        env,
        path::{Path, PathBuf},
        process::ExitCode,
    },
    tokio::{
        runtime::{Builder, Runtime},
        signal::unix::{Signal, SignalKind, signal},
        time::{Duration, sleep},
    },
};

/// Wait before a replica whose disk failed starts again in the same process.
const DISK_PAUSE: Duration = Duration::from_secs(1);
/// Interval at which a daemon looks for changed settings, which come without a signal at times.
const SETTINGS_CHECK: Duration = Duration::from_secs(5);
/// Interval at which a control process looks whether its replica has stopped.
const HEALTH_CHECK: Duration = Duration::from_millis(200);

/// What a program is asked to do.
struct Start {
    settings: PathBuf,
    token: Option<Secret>,
    check: bool,
    bootstrap: bool,
}

/// Runs `anvilbeam-control`.
pub fn control_main() -> ExitCode {
    main_of("anvilbeam-control", |start| {
        let cfg = match start.token {
            Some(token) => settings::Control::load_with_token(&start.settings, token)?,
            None => settings::Control::load(&start.settings)?,
        };
        if start.check {
            return Ok(());
        }
        logging::init(&cfg.log)?;
        let runtime = runtime()?;
        runtime.block_on(run_control(cfg, start.bootstrap))
    })
}

/// Runs `anvilbeam-daemon`.
pub fn daemon_main() -> ExitCode {
    main_of("anvilbeam-daemon", |start| {
        let cfg = match start.token {
            Some(token) => settings::Daemon::load_with_token(&start.settings, token)?,
            None => settings::Daemon::load(&start.settings)?,
        };
        if start.bootstrap {
            return Err(invalid("--bootstrap", "is for anvilbeam-control only"));
        }
        if start.check {
            return Ok(());
        }
        logging::init(&cfg.log)?;
        let runtime = runtime()?;
        runtime.block_on(run_daemon(cfg, start.settings))
    })
}

fn main_of(program: &str, run: impl FnOnce(Start) -> Result<()>) -> ExitCode {
    let args: Vec<String> = env::args_os()
        .skip(1)
        .map(|arg| arg.to_string_lossy().into_owned())
        .collect();
    let done = match parse(program, &args) {
        Ok(Some(start)) => run(start),
        Ok(None) => return ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e}\nnext: see {program} --help");
            return ExitCode::from(2);
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log_failure(&e);
            eprintln!("error: {e}");
            ExitCode::FAILURE
        }
    }
}

fn parse(program: &str, args: &[String]) -> Result<Option<Start>> {
    let cli =
        ProgramCli::parse_args_default(args).map_err(|e| invalid("options", &e.to_string()))?;
    if cli.help {
        println!(
            "Usage: {program} --settings FILE [OPTIONS]\n\n{}",
            ProgramCli::usage()
        );
        return Ok(None);
    }
    if cli.version {
        println!("{program} {}", env!("CARGO_PKG_VERSION"));
        return Ok(None);
    }
    let Some(path) = cli.settings else {
        return Err(invalid("--settings", "is missing"));
    };
    Ok(Some(Start {
        token: cli
            .token_file
            .map(|file| settings::read_token_file(Path::new(&file)))
            .transpose()?,
        settings: Path::new(&path).to_owned(),
        check: cli.check,
        bootstrap: cli.bootstrap,
    }))
}

fn log_failure(e: &Error) {
    match e {
        Error::Bind { address, source } => {
            log_event!(Event::BindFailed, address = address, reason = source);
        }
        Error::File { .. } | Error::Corrupt { .. } => log_event!(Event::DiskFailed, reason = e),
        Error::Invalid { .. } => log_event!(Event::SettingsRefused, reason = e),
        _ => log::error!("{e}"),
    }
}

fn invalid(place: &str, reason: &str) -> Error {
    Error::Invalid {
        place: place.to_owned(),
        reason: reason.to_owned(),
    }
}

/// One thread: the processes share small VMs, and a daemon has a fraction of a core.
fn runtime() -> Result<Runtime> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| invalid("runtime", &e.to_string()))
}

/// The signals that ask for a graceful stop.
/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    Stop,
    Reload,
}

struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> Result<Self> {
        let listen = |kind| signal(kind).map_err(|e| invalid("signal", &e.to_string()));
        Ok(Self {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
            hangup: listen(SignalKind::hangup())?,
        })
    }

    async fn next(&mut self) -> Asked {
        tokio::select! {
            _ = self.terminate.recv() => Asked::Stop,
            _ = self.interrupt.recv() => Asked::Stop,
            _ = self.hangup.recv() => Asked::Reload,
        }
    }

    async fn stop(&mut self) {
        while self.next().await != Asked::Stop {}
    }
}

async fn run_control(cfg: settings::Control, bootstrap: bool) -> Result<()> {
    let mut signals = Signals::new()?;
    loop {
        let run = run_replica(cfg.clone(), bootstrap, &mut signals);
        match run.await {
            // A full disk may get room again, and all that was acknowledged is synced.
            Err(e @ Error::File { .. }) if cfg.restarts => {
                log_failure(&e);
                tokio::select! {
                    () = signals.stop() => return Ok(()),
                    () = sleep(DISK_PAUSE) => {}
                }
            }
            done => return done,
        }
    }
}

/// Runs a replica until a signal or until its thread ends.
async fn run_replica(cfg: settings::Control, bootstrap: bool, signals: &mut Signals) -> Result<()> {
    let listeners = control::Listeners::bind(&cfg).await?;
    let control = Control::start(cfg, listeners, bootstrap).await?;
    loop {
        tokio::select! {
            asked = signals.next() => match asked {
                Asked::Stop => break,
                // A replica uses its seeds only to join, and reads them at its start.
                Asked::Reload => log_event!(Event::SettingsReloaded, changed = false),
            },
            () = sleep(HEALTH_CHECK) => {
                if control.has_stopped() {
                    break;
                }
            }
        }
    }
    log_event!(Event::Stopping, program = "anvilbeam-control");
    control.stop().await
}

async fn run_daemon(cfg: settings::Daemon, path: PathBuf) -> Result<()> {
    let mut signals = Signals::new()?;
    let listeners = daemon::Listeners::bind(&cfg).await?;
    let daemon = Daemon::start(cfg, listeners)?;
    loop {
        tokio::select! {
            asked = signals.next() => {
                if asked == Asked::Stop {
                    break;
                }
                reload(&daemon, &path, true);
            }
            () = sleep(SETTINGS_CHECK) => reload(&daemon, &path, false),
        }
    }
    // A second signal ends the wait for calls in flight.
    tokio::select! {
        _ = daemon.stop() => {}
        () = signals.stop() => log::warn!("stopped with calls in flight"),
    }
    Ok(())
}

/// Reads the settings again and applies what may change while the daemon runs: the control
/// replicas. The other settings take effect at the next start.
fn reload(daemon: &Daemon, path: &Path, asked: bool) {
    match settings::Daemon::load_with_token(path, daemon.token()) {
        Ok(cfg) => {
            let changed = daemon.set_control(cfg.control);
            if asked || changed {
                log_event!(Event::SettingsReloaded, changed = changed);
            }
        }
        Err(e) => log_event!(Event::SettingsRefused, reason = e),
    }
}
