//! Daemon of a host that only runs a replica of the control group.
#![forbid(unsafe_code)]

use std::process::ExitCode;

use galenawheel::daemon;
use gw_daemon::process::run_control;

fn main() -> ExitCode {
    let about = "Runs a replica of the control group on a host with a disk";
    daemon::run(daemon::command("galenawheel-control", about), run_control)
}
