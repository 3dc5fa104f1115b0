//! `anvilbeam-control` runs one replica of a control group.

use std::process::ExitCode;

fn main() -> ExitCode {
    anvilbeam::program::control_main()
}
