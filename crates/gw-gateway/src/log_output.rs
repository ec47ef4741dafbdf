use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::TrySendError;
use std::time::Duration;
use std::time::SystemTime;

use log::LevelFilter;

/// Lines that wait to be written. More are dropped and counted.
const LINE_QUEUE_LEN: usize = 512;
/// Beginnings of the names of this project's crates.
const OWN_PREFIXES: [&str; 2] = ["gw_", "galenawheel"];
/// Stack of the writing thread, in bytes. It only copies lines.
const WRITER_STACK_BYTES: usize = 64 * 1024;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Why logging did not start.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// Another logger is installed.
    #[error("a logger is already installed")]
    Installed(#[from] log::SetLoggerError),
    /// The writing thread could not be started.
    #[error("cannot start the thread that writes the log: {0}")]
    Thread(#[from] io::Error),
}

/// Waits a moment for the last lines to be written, before the process ends.
pub fn flush_log() {
    /// Enough for a full queue on a host with a fraction of a core.
    const FLUSH_TIME: Duration = Duration::from_millis(50);
    std::thread::sleep(FLUSH_TIME);
}

/// Lines that were dropped because standard output was too slow.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Writes one `key=value` line for each event to standard output, without ever blocking the caller.
pub fn start_log(level: LevelFilter) -> Result<(), LogError> {
    let (lines, queue) = mpsc::sync_channel::<String>(LINE_QUEUE_LEN);
    let writer = move || {
        for line in queue {
            // A closed standard output must not end the process; nobody could be told.
            io::stdout().lock().write_all(line.as_bytes()).ok();
        }
    };
    std::thread::Builder::new().name("log".into()).stack_size(WRITER_STACK_BYTES).spawn(writer)?;
    let output = fern::Output::call(move |record| {
        let line = format!("{}\n", record.args());
        if let Err(TrySendError::Full(_)) = lines.try_send(line) {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    });
    let format = |out: fern::FormatCallback<'_>,
                  message: &std::fmt::Arguments<'_>,
                  record: &log::Record<'_>| {
        out.finish(format_args!("time={} level={} {message}", unix_time(), record.level()));
    };
    // Only this project's lines: the libraries' ones are not key=value.
    let is_own_crate = |data: &log::Metadata<'_>| {
        OWN_PREFIXES.iter().any(|prefix| data.target().starts_with(prefix))
    };
    Ok(fern::Dispatch::new()
        .level(level)
        .filter(is_own_crate)
        .format(format)
        .chain(output)
        .apply()?)
}

/// Seconds since 1970 with milliseconds.
fn unix_time() -> String {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    format!("{}.{:03}", elapsed.as_secs(), elapsed.subsec_millis())
}
