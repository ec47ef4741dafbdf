use std::io;
use std::io::Write;
use std::time::SystemTime;

use log::LevelFilter;

/// Error of [`start_logging`].
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The process has already installed a logger.
    #[error("a logger is already installed")]
    Installed(#[from] log::SetLoggerError),
}

/// Installs a logger that writes each event as one line of `key=value` pairs to standard error.
pub fn start_logging(level: LevelFilter) -> Result<(), LoggingError> {
    let dispatch = fern::Dispatch::new().level(level).format(|out, message, record| {
        let (level, module) = (record.level(), record.target());
        out.finish(format_args!("time={} level={level} module={module} {message}", unix_time()));
    });
    // The writer of fern panics if standard error is closed, which would end the logging thread,
    // possibly the control thread. Lines that cannot be written are dropped instead.
    let output = fern::Output::call(|record| {
        writeln!(io::stderr().lock(), "{}", record.args()).ok();
    });
    Ok(dispatch.chain(output).apply()?)
}

/// Returns the seconds since 1970-01-01 UTC with three decimals.
fn unix_time() -> String {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    format!("{}.{:03}", elapsed.as_secs(), elapsed.subsec_millis())
}
