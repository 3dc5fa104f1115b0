//! Startup, signals and shutdown of the two long-running programs.

mod signals;
#[cfg(test)]
mod tests;

use {
    self::signals::Signals,
    crate::{
        cli::ProgramCli,
        control::{self, Control},
        daemon::{self, Daemon},
        error::{Error, Result},
        events::Event,
        log_event, logging,
        settings::{self, Secret},
        shutdown::work_deadline,
    },
    gumdrop::Options as _,
    std::{
        env,
        mem::ManuallyDrop,
        path::{Path, PathBuf},
        process::ExitCode,
        time::Instant,
    },
    tokio::{
        runtime::{Builder, Runtime},
        time::{Duration, sleep},
    },
};

/// Delay before a replica whose disk failed is restarted in the same process.
const DISK_RESTART_DELAY: Duration = Duration::from_secs(1);
/// Interval at which a daemon reads its settings again, since they may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which a control process checks whether its replica has stopped.
const REPLICA_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Options of a program, from its command line.
struct StartOptions {
    /// Settings file.
    settings: PathBuf,
    /// Mesh token; `None` when the settings contain it.
    token: Option<Secret>,
    /// Whether to check the settings and exit.
    check: bool,
    /// Whether to create the group of a control replica.
    bootstrap: bool,
}

/// Runs `anvilbeam-control`.
pub fn control_main() -> ExitCode {
    run_program("anvilbeam-control", |options| {
        let cfg = match options.token {
            Some(token) => settings::Control::load_with_token(&options.settings, token)?,
            None => settings::Control::load(&options.settings)?,
        };
        if options.check {
            return Ok(());
        }
        logging::init(&cfg.log)?;
        run(run_control(cfg, options.bootstrap))
    })
}

/// Runs `anvilbeam-daemon`.
pub fn daemon_main() -> ExitCode {
    run_program("anvilbeam-daemon", |options| {
        let cfg = match options.token {
            Some(token) => settings::Daemon::load_with_token(&options.settings, token)?,
            None => settings::Daemon::load(&options.settings)?,
        };
        if options.bootstrap {
            return Err(invalid("--bootstrap", "is for anvilbeam-control only"));
        }
        if options.check {
            return Ok(());
        }
        logging::init(&cfg.log)?;
        run(run_daemon(cfg, options.settings))
    })
}

/// Parses the command line, calls `run` and reports its error on standard error and in the log.
fn run_program(program: &str, run: impl FnOnce(StartOptions) -> Result<()>) -> ExitCode {
    let args: Vec<String> = env::args_os()
        .skip(1)
        .map(|arg| arg.to_string_lossy().into_owned())
        .collect();
    let result = match parse_options(program, &args) {
        Ok(Some(options)) => run(options),
        Ok(None) => return ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e}\nnext: see {program} --help");
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log_failure(&e);
            eprintln!("error: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Parses the command line; returns `None` after printing the help or the version.
fn parse_options(program: &str, args: &[String]) -> Result<Option<StartOptions>> {
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
    Ok(Some(StartOptions {
        token: cli
            .token_file
            .map(|file| settings::read_token_file(Path::new(&file)))
            .transpose()?,
        settings: Path::new(&path).to_owned(),
        check: cli.check,
        bootstrap: cli.bootstrap,
    }))
}

/// Logs the error that ended the program or a replica, as an event if there is one for it.
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

fn invalid(location: &str, reason: &str) -> Error {
    Error::Invalid {
        location: location.to_owned(),
        reason: reason.to_owned(),
    }
}

/// Runs a program to its end. The runtime is not dropped: that would wait for a disk that is syncing,
/// and would drop the tasks of thousands of connections although the process ends.
fn run(program: impl Future<Output = Result<()>>) -> Result<()> {
    ManuallyDrop::new(runtime()?).block_on(program)
}

/// Creates a runtime with one thread: the processes share small VMs, and a daemon has a fraction of
/// a core.
fn runtime() -> Result<Runtime> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| invalid("runtime", &e.to_string()))
}

async fn run_control(cfg: settings::Control, bootstrap: bool) -> Result<()> {
    let mut signals = Signals::start(cfg.grace)?;
    loop {
        let result = run_replica(cfg.clone(), bootstrap, &mut signals).await;
        match result {
            // Space may become free on a full disk, and everything acknowledged has been synced.
            Err(e) if is_restarted(&e, cfg.restarts, signals.stopped_at()) => {
                log_failure(&e);
                tokio::select! {
                    _ = signals.stop() => return Ok(()),
                    () = sleep(DISK_RESTART_DELAY) => {}
                }
            }
            result => return result,
        }
    }
}

/// Returns whether a replica that ended with `e` is started again in the same process. It is not once
/// a signal requested a shutdown at `stopped_at`.
const fn is_restarted(e: &Error, restarts: bool, stopped_at: Option<Instant>) -> bool {
    matches!(e, Error::File { .. }) && restarts && stopped_at.is_none()
}

/// Runs a replica until a signal requests a shutdown or its thread ends.
async fn run_replica(cfg: settings::Control, bootstrap: bool, signals: &mut Signals) -> Result<()> {
    let grace = cfg.grace;
    let listeners = control::Listeners::bind(&cfg).await?;
    let control = tokio::select! {
        control = Control::start(cfg, listeners, bootstrap) => control?,
        // The replicas of a new group may not answer for a minute.
        _ = signals.stop() => return Ok(()),
    };
    loop {
        tokio::select! {
            stopped_at = signals.next() => {
                if stopped_at.is_some() {
                    break;
                }
                // A replica needs its seeds only to join, and reads them only at startup.
                log_event!(Event::SettingsReloaded, changed = false);
            }
            () = sleep(REPLICA_POLL_INTERVAL) => {
                if control.has_stopped() {
                    break;
                }
            }
        }
    }
    log_event!(Event::Stopping, program = "anvilbeam-control");
    let deadline = signals
        .stopped_at()
        .and_then(|at| Some(work_deadline(at, grace?)));
    tokio::select! {
        stopped = control.stop_by(deadline) => stopped,
        () = signals.second_stop() => {
            log::warn!("second signal; stopping with requests in flight");
            Ok(())
        }
    }
}

async fn run_daemon(cfg: settings::Daemon, path: PathBuf) -> Result<()> {
    let mut signals = Signals::start(cfg.grace)?;
    let listeners = daemon::Listeners::bind(&cfg).await?;
    let daemon = Daemon::start(cfg, listeners)?;
    let signalled = loop {
        tokio::select! {
            stopped_at = signals.next() => match stopped_at {
                Some(signalled) => break signalled,
                None => reload(&daemon, &path, true),
            },
            () = sleep(SETTINGS_POLL_INTERVAL) => reload(&daemon, &path, false),
        }
    };
    // A second stop signal ends the wait for calls in flight.
    tokio::select! {
        _ = daemon.stop_since(signalled) => {}
        () = signals.second_stop() => log::warn!("second signal; stopping with calls in flight"),
    }
    Ok(())
}

/// Reads the settings again and applies the addresses of the control replicas and the service of the
/// backend server, which may change while the daemon runs. Other settings take effect at the next start. With `log_unchanged`, the
/// reload is logged even if nothing changed.
fn reload(daemon: &Daemon, path: &Path, log_unchanged: bool) {
    match settings::Daemon::load_with_token(path, daemon.token()) {
        Ok(cfg) => {
            let changed = daemon.set_control(cfg.control) | daemon.set_service(cfg.service);
            if log_unchanged || changed {
                log_event!(Event::SettingsReloaded, changed = changed);
            }
        }
        Err(e) => log_event!(Event::SettingsRefused, reason = e),
    }
}
