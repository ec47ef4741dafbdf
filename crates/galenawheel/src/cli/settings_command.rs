use std::path::PathBuf;

use clap::ArgMatches;
use clap_complete::Shell;
use gw_daemon::settings::HostSettings;
use serde::Serialize;

use super::CommandError;
use super::CommandResult;
use super::ExitStatus;
use super::command_tree::command;
use super::console::Console;
use crate::layout::Layout;

/// An error in a settings file, for `--format json`.
#[derive(Serialize)]
struct SettingsErrorReport {
    file: String,
    field: String,
    reason: String,
}

/// A host of a written layout, for `--format json`. The ports are on 127.0.0.1.
#[derive(Serialize)]
struct WrittenHost {
    host: String,
    zone: String,
    settings: String,
    callers: u16,
    targets: u16,
    operators: u16,
}

/// Runs a subcommand of `settings`.
pub(super) fn run(matches: &ArgMatches, console: &mut Console<'_>) -> CommandResult {
    match matches.subcommand() {
        Some(("check", matches)) => check(matches, console),
        Some(("generate", matches)) => generate(matches, console),
        _ => Err(CommandError::Usage("a settings command is required".to_owned())),
    }
}

fn check(matches: &ArgMatches, console: &mut Console<'_>) -> CommandResult {
    let path = matches.get_one::<PathBuf>("file").cloned().unwrap_or_default();
    let errors = match HostSettings::load(&path) {
        Ok(settings) => {
            let no_errors: [SettingsErrorReport; 0] = [];
            console.report(&no_errors, || {
                vec![format!(
                    "{}: settings of host {} are valid",
                    path.display(),
                    settings.host.name
                )]
            });
            return Ok(ExitStatus::Success);
        }
        Err(errors) => errors,
    };
    let reports = errors.0.iter().map(|error| SettingsErrorReport {
        file: error.file.display().to_string(),
        field: error.field.clone(),
        reason: error.reason.clone(),
    });
    console.report(&reports.collect::<Vec<_>>(), || {
        errors.0.iter().map(ToString::to_string).collect()
    });
    Ok(ExitStatus::Usage)
}

fn generate(matches: &ArgMatches, console: &mut Console<'_>) -> CommandResult {
    let usage = |error: crate::layout::LayoutError| CommandError::Usage(error.to_string());
    let name = matches.get_one::<String>("layout").map_or("", String::as_str);
    let folder = matches.get_one::<PathBuf>("folder").cloned().unwrap_or_default();
    let base_port = matches.get_one::<u16>("base-port").copied().unwrap_or_default();
    // Hosts that run with overwritten keys could no longer communicate.
    if std::fs::read_dir(&folder).is_ok_and(|mut entries| entries.next().is_some()) {
        return Err(CommandError::Usage(format!("folder {} is not empty", folder.display())));
    }
    let layout = Layout::named(name, base_port).map_err(usage)?;
    let written =
        layout.write(&folder, |bytes| rand::fill(bytes)).map_err(|error| match error {
            crate::layout::LayoutError::Write { .. } => CommandError::Failed(error.to_string()),
            error => usage(error),
        })?;
    let hosts = written.hosts.iter().map(|host| WrittenHost {
        host: host.name.clone(),
        zone: host.zone.clone(),
        settings: host.settings_path.display().to_string(),
        callers: host.caller_port,
        targets: host.target_port,
        operators: host.operator_port,
    });
    let hosts: Vec<_> = hosts.collect();
    console.report(&hosts, || hosts.iter().map(host_line).collect());
    Ok(ExitStatus::Success)
}

fn host_line(host: &WrittenHost) -> String {
    let WrittenHost { host, zone, settings, callers, targets, operators } = host;
    format!(
        "host {host} in zone {zone}: {settings}; ports on 127.0.0.1: callers {callers}, \
         targets {targets}, operators {operators}"
    )
}

/// Prints a completion script for a shell.
pub(super) fn completions(matches: &ArgMatches, console: &mut Console<'_>) -> CommandResult {
    let shell = matches.get_one::<Shell>("shell").copied();
    let shell = shell.ok_or_else(|| CommandError::Usage("a shell is required".to_owned()))?;
    // The generator panics if its writer fails, which a buffer never does.
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command(), "galenawheel", &mut script);
    let written = console.out().write_all(&script);
    written.map_err(|error| CommandError::Failed(error.to_string()))?;
    Ok(ExitStatus::Success)
}
