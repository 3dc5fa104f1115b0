//! `anvilbeam-daemon` runs the daemon beside one backend server.

use std::process::ExitCode;

fn main() -> ExitCode {
    anvilbeam::program::daemon_main()
}
