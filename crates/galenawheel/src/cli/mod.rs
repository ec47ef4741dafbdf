//! The operators' command line.

mod apply_change;
mod audit_page;
mod command_tree;
mod console;
mod exit_status;
mod operator_client;
mod profile_calls;
mod profile_source;
mod propagation;
mod replay_trace;
mod settings_calls;
mod status_page;
mod story_page;
mod token_file;
mod wall_text;

use std::ffi::OsString;
use std::io::Write;

use clap::ArgMatches;

pub use command_tree::command;
pub use exit_status::ExitStatus;

use console::Console;
use operator_client::OperatorClient;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    /// Wrong arguments, settings or files named by them.
    #[error("{0}")]
    Usage(String),
    /// A profile is not valid.
    #[error("{0}")]
    Invalid(#[from] gw_profile::ProfileError),
    /// The hosts did not answer, or refused the call.
    #[error(transparent)]
    Client(#[from] operator_client::ClientError),
    /// Anything else.
    #[error("{0}")]
    Failed(String),
}

impl CommandError {
    fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Usage(_) => ExitStatus::Usage,
            Self::Invalid(_) => ExitStatus::Refused,
            Self::Client(_) | Self::Failed(_) => ExitStatus::Failed,
        }
    }
}

/// How a command ended.
type CommandResult = Result<ExitStatus, CommandError>;

/// Runs the command line with `arguments`, the program's name first, and returns its exit status.
///
/// Results go to `out`, faults and progress to `err`.
pub async fn run(
    arguments: impl IntoIterator<Item = OsString>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> ExitStatus {
    let mut console = Console::new(out, err);
    let matches = match command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) if error.use_stderr() => {
            console.note(error.render().to_string().trim_end());
            return ExitStatus::Usage;
        }
        Err(error) => {
            console.line(error.render().to_string().trim_end());
            return ExitStatus::Done;
        }
    };
    console.set_format(&matches);
    run_command(&matches, &mut console).await.unwrap_or_else(|error| {
        console.note(&format!("error: {error}"));
        error.exit_status()
    })
}

async fn run_command(matches: &ArgMatches, console: &mut Console<'_>) -> CommandResult {
    match matches.subcommand() {
        Some(("profile", matches)) => run_profile(matches, console).await,
        Some(("status", matches)) => status_page::run(&OperatorClient::of(matches)?, console).await,
        Some(("audit", matches)) => {
            audit_page::run(matches, &OperatorClient::of(matches)?, console).await
        }
        Some(("settings", matches)) => settings_calls::run(matches, console),
        Some(("replay", matches)) => replay_trace::run(matches, console),
        Some(("story", matches)) => story_page::run(matches, console),
        Some(("completions", matches)) => settings_calls::completions(matches, console),
        _ => Err(CommandError::Usage("a command is required".to_owned())),
    }
}

async fn run_profile(matches: &ArgMatches, console: &mut Console<'_>) -> CommandResult {
    match matches.subcommand() {
        Some(("apply", matches)) => apply_change::run(matches, console).await,
        Some(("show", matches)) => {
            profile_calls::show(matches, &OperatorClient::of(matches)?, console).await
        }
        Some(("list", matches)) => {
            profile_calls::list(&OperatorClient::of(matches)?, console).await
        }
        Some(("diff", matches)) => profile_calls::diff(matches, console).await,
        Some(("history", matches)) => {
            profile_calls::history(matches, &OperatorClient::of(matches)?, console).await
        }
        _ => Err(CommandError::Usage("a profile command is required".to_owned())),
    }
}
