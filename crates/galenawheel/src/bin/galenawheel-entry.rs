//! Daemon of an entry host, which accepts requests of callers and forwards them to targets.
#![forbid(unsafe_code)]

use std::process::ExitCode;

use galenawheel::daemon;
use gw_daemon::process::run_entry;

fn main() -> ExitCode {
    let about = "Accepts requests and announcements, dispatches to targets, can lead its zone";
    daemon::run(daemon::command("galenawheel-entry", about), run_entry)
}
