//! Arguments, settings, logging, signals and exit codes of both daemons.

use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::Command;
use clap::value_parser;
use gw_daemon::ShutdownHandle;
use gw_daemon::process;
use gw_daemon::settings::HostSettings;
use gw_daemon::start_logging;
use gw_daemon::watch_signals;

/// Exit code for invalid arguments or settings.
const EXIT_SETTINGS: u8 = 2;
/// Exit code of a process that cannot start or fails.
const EXIT_FAILED: u8 = 1;

/// Returns the command line of the daemon `name`; `about` is its one-line description.
pub fn command(name: &'static str, about: &'static str) -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Settings of this host, in TOML");
    Command::new(name)
        .about(about)
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(format!("Example:\n  {name} --settings /etc/galenawheel/host.toml"))
        .arg(settings)
}

/// Runs a daemon: parses the arguments of `command`, loads the settings, starts logging and runs
/// `process` until it ends.
///
/// Returns 0 after a shutdown, 2 for invalid settings and 1 for other failures. Invalid arguments
/// end the process directly, with code 2.
pub fn run<F>(command: Command, process: impl FnOnce(HostSettings, ShutdownHandle) -> F) -> ExitCode
where
    F: Future<Output = Result<(), process::Error>>,
{
    let arguments = command.get_matches();
    let path = arguments.get_one::<PathBuf>("settings").expect("clap requires the argument");
    let settings = match HostSettings::load(path) {
        Ok(settings) => settings,
        Err(errors) => return fail(EXIT_SETTINGS, &errors),
    };
    if let Err(error) = start_logging(settings.log_level) {
        return fail(EXIT_FAILED, &error);
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(EXIT_FAILED, &error),
    };
    let result = runtime.block_on(async {
        let shutdown = ShutdownHandle::default();
        if let Err(error) = watch_signals(shutdown.clone()) {
            return Err(error.to_string());
        }
        process(settings, shutdown).await.map_err(|error| error.to_string())
    });
    // Drops the tasks of connections that a second signal aborted.
    runtime.shutdown_background();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(EXIT_FAILED, &error),
    }
}

#[expect(clippy::print_stderr, reason = "errors at the start go to the terminal")]
fn fail(code: u8, error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(code)
}
