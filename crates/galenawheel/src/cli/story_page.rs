use std::path::PathBuf;

use clap::ArgMatches;

use crate::request_story::LogFile;
use crate::request_story::request_story;

use super::CommandError;
use super::CommandResult;
use super::ExitStatus;
use super::console::Console;

/// Prints the story of one request from log files.
pub(super) fn run(matches: &ArgMatches, console: &mut Console<'_>) -> CommandResult {
    let id = matches.get_one::<String>("id").map_or("", String::as_str);
    let paths = matches.get_many::<PathBuf>("log").into_iter().flatten();
    let files = paths.map(|path| {
        let read = std::fs::read(path);
        let bytes = read.map_err(|error| {
            CommandError::Usage(format!("cannot read {}: {error}", path.display()))
        })?;
        let host = path.file_stem().unwrap_or(path.as_os_str()).to_string_lossy().into_owned();
        Ok(LogFile { host, text: String::from_utf8_lossy(&bytes).into_owned() })
    });
    let files = files.collect::<Result<Vec<_>, CommandError>>()?;
    let story = request_story(id, &files);
    if story.is_empty() {
        return Err(CommandError::Failed(format!("no log file names the request {id}")));
    }
    for line in story {
        let mark = if line.is_request { "*" } else { " " };
        console.line(&format!("{mark} {:.3} {} {}", line.time, line.host, line.text));
    }
    Ok(ExitStatus::Done)
}
