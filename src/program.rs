//! Start and stop of the two long-running programs.

use {
    crate::{
        cli::ProgramCli,
        control::{self, Control},
        daemon::{self, Daemon},
        error::{Error, Result},
        events::Event,
        log_event, logging, settings,
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

/// Threads of a daemon; it shares its VM with the backend server.
const DAEMON_THREADS: usize = 2;
/// Interval at which a control process looks whether its replica has stopped.
const HEALTH_CHECK: Duration = Duration::from_millis(200);

/// What a program is asked to do.
struct Start {
    settings: PathBuf,
    check: bool,
    bootstrap: bool,
}

/// Runs `anvilbeam-control`.
pub fn control_main() -> ExitCode {
    main_of("anvilbeam-control", |start| {
        let cfg = settings::Control::load(&start.settings)?;
        if start.check {
            return Ok(());
        }
        logging::start(&cfg.log)?;
        let runtime = runtime(DAEMON_THREADS)?;
        runtime.block_on(run_control(cfg, start.bootstrap))
    })
}

/// Runs `anvilbeam-daemon`.
pub fn daemon_main() -> ExitCode {
    main_of("anvilbeam-daemon", |start| {
        let cfg = settings::Daemon::load(&start.settings)?;
        if start.bootstrap {
            return Err(invalid("--bootstrap", "is for anvilbeam-control only"));
        }
        if start.check {
            return Ok(());
        }
        logging::start(&cfg.log)?;
        let runtime = runtime(DAEMON_THREADS)?;
        runtime.block_on(run_daemon(cfg))
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

fn runtime(threads: usize) -> Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .map_err(|e| invalid("runtime", &e.to_string()))
}

/// The signals that ask for a graceful stop.
struct Stop {
    terminate: Signal,
    interrupt: Signal,
}

impl Stop {
    fn new() -> Result<Self> {
        let listen = |kind| signal(kind).map_err(|e| invalid("signal", &e.to_string()));
        Ok(Self {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
        })
    }

    async fn asked(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

async fn run_control(cfg: settings::Control, bootstrap: bool) -> Result<()> {
    let mut stop = Stop::new()?;
    let listeners = control::Listeners::bind(&cfg).await?;
    let control = Control::start(cfg, listeners, bootstrap).await?;
    loop {
        tokio::select! {
            () = stop.asked() => break,
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

async fn run_daemon(cfg: settings::Daemon) -> Result<()> {
    let mut stop = Stop::new()?;
    let listeners = daemon::Listeners::bind(&cfg).await?;
    let daemon = Daemon::start(cfg, listeners)?;
    stop.asked().await;
    // A second signal ends the wait for calls in flight.
    tokio::select! {
        _ = daemon.stop() => {}
        () = stop.asked() => log::warn!("stopped with calls in flight"),
    }
    Ok(())
}
