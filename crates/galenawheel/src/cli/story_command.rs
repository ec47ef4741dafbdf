use std::path::PathBuf;

use clap::ArgMatches;

use crate::request_timeline::LogFile;
use crate::request_timeline::request_timeline;

use super::CommandError;
use super::CommandResult;
use super::ExitStatus;
use super::console::Console;

/// Prints the timeline of one request from log files.
pub(super) fn run(matches: &ArgMatches, console: &mut Console<'_>) -> CommandResult {
    let id = matches.get_one::<String>("id").map_or("", String::as_str);
    let paths = matches.get_many::<PathBuf>("log").into_iter().flatten();
    let files = paths.map(|path| {
        let content = std::fs::read(path);
        let bytes = content.map_err(|error| {
            CommandError::Usage(format!("cannot read {}: {error}", path.display()))
        })?;
        let host = path.file_stem().unwrap_or(path.as_os_str()).to_string_lossy().into_owned();
        Ok(LogFile { host, text: String::from_utf8_lossy(&bytes).into_owned() })
    });
    let files = files.collect::<Result<Vec<_>, CommandError>>()?;
    let timeline = request_timeline(id, &files);
    if timeline.is_empty() {
        return Err(CommandError::Failed(format!("no log file names the request {id}")));
    }
    for entry in timeline {
        let marker = if entry.is_request { "*" } else { " " };
        console.out_line(&format!("{marker} {:.3} {} {}", entry.time, entry.host, entry.text));
    }
    Ok(ExitStatus::Success)
}
