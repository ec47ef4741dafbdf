use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::TrySendError;
use std::time::Duration;
use std::time::SystemTime;

use log::LevelFilter;

/// Lines that wait for the writer thread; when the queue is full, further lines are dropped and
/// counted.
const LINE_QUEUE_LEN: usize = 512;
/// Prefixes of this project's crate names.
const OWN_PREFIXES: [&str; 2] = ["gw_", "galenawheel"];
/// Stack size of the writer thread, which only copies lines.
const WRITER_STACK_BYTES: usize = 64 * 1024;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Error while starting the logger.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// A logger is already installed in this process.
    #[error("a logger is already installed")]
    Installed(#[from] log::SetLoggerError),
    /// The writer thread could not be started.
    #[error("cannot start the thread that writes the log: {0}")]
    Thread(#[from] io::Error),
}

/// Waits a fixed time for queued lines to be written. Called right before the process exits.
pub fn flush_log() {
    /// Enough to write a full queue on a host with a fraction of a CPU core.
    const FLUSH_TIME: Duration = Duration::from_millis(50);
    std::thread::sleep(FLUSH_TIME);
}

/// Returns the number of lines dropped because standard output was too slow.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Installs a logger that writes one `key=value` line per event to standard output. Logging never
/// blocks the caller: lines go through a bounded queue to a writer thread.
pub fn start_log(level: LevelFilter) -> Result<(), LogError> {
    let (lines, queue) = mpsc::sync_channel::<String>(LINE_QUEUE_LEN);
    let writer = move || {
        for line in queue {
            // If standard output is closed, there is no place left to report the error.
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
    // Lines of dependencies are left out because they are not in key=value form.
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

/// Returns the Unix time in seconds with three decimals.
fn unix_time() -> String {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    format!("{}.{:03}", elapsed.as_secs(), elapsed.subsec_millis())
}
