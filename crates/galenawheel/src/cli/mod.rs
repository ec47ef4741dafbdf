//! Command line for operators.

mod apply_command;
mod audit_command;
mod command_tree;
mod console;
mod evacuations_command;
mod exit_status;
mod operator_client;
mod profile_command;
mod profile_source;
mod propagation;
mod replay_command;
mod settings_command;
mod status_command;
mod story_command;
mod token_file;
mod wall_time;

use std::ffi::OsString;
use std::io::Write;

use clap::ArgMatches;

pub use command_tree::command;
pub use exit_status::ExitStatus;

use console::Console;
use operator_client::OperatorClient;

/// Error that ends a command.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    /// The arguments are invalid, or a file that they name cannot be read.
    #[error("{0}")]
    Usage(String),
    /// A profile file is not valid.
    #[error("{0}")]
    Invalid(#[from] gw_profile::ProfileError),
    /// No host answered, or a host refused the call.
    #[error(transparent)]
    Client(#[from] operator_client::ClientError),
    /// Another failure.
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

/// Result of a command that was run.
type CommandResult = Result<ExitStatus, CommandError>;

/// Runs the command line with `arguments`, of which the first is the name of the program, and
/// returns the exit status.
///
/// Results are written to `out`, errors and progress to `err`.
pub async fn run(
    arguments: impl IntoIterator<Item = OsString>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> ExitStatus {
    let mut console = Console::new(out, err);
    let matches = match command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) if error.use_stderr() => {
            console.err_line(error.render().to_string().trim_end());
            return ExitStatus::Usage;
        }
        Err(error) => {
            console.out_line(error.render().to_string().trim_end());
            return ExitStatus::Success;
        }
    };
    console.set_format(&matches);
    run_command(&matches, &mut console).await.unwrap_or_else(|error| {
        console.err_line(&format!("error: {error}"));
        error.exit_status()
    })
}

async fn run_command(matches: &ArgMatches, console: &mut Console<'_>) -> CommandResult {
    match matches.subcommand() {
        Some(("profile", matches)) => run_profile(matches, console).await,
        Some(("status", matches)) => {
            status_command::run(&OperatorClient::from_matches(matches)?, console).await
        }
        Some(("audit", matches)) => {
            audit_command::run(matches, &OperatorClient::from_matches(matches)?, console).await
        }
        Some(("evacuations", matches)) => {
            evacuations_command::run(&OperatorClient::with_optional_token(matches)?, console).await
        }
        Some(("settings", matches)) => settings_command::run(matches, console),
        Some(("replay", matches)) => replay_command::run(matches, console),
        Some(("story", matches)) => story_command::run(matches, console),
        Some(("completions", matches)) => settings_command::completions(matches, console),
        _ => Err(CommandError::Usage("a command is required".to_owned())),
    }
}

async fn run_profile(matches: &ArgMatches, console: &mut Console<'_>) -> CommandResult {
    match matches.subcommand() {
        Some(("apply", matches)) => apply_command::run(matches, console).await,
        Some(("show", matches)) => {
            profile_command::show(matches, &OperatorClient::from_matches(matches)?, console).await
        }
        Some(("list", matches)) => {
            profile_command::list(&OperatorClient::from_matches(matches)?, console).await
        }
        Some(("diff", matches)) => profile_command::diff(matches, console).await,
        Some(("history", matches)) => {
            profile_command::history(matches, &OperatorClient::from_matches(matches)?, console)
                .await
        }
        _ => Err(CommandError::Usage("a profile command is required".to_owned())),
    }
}
