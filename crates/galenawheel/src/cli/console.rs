use std::future::Future;
use std::io::Write;
use std::pin::pin;
use std::time::Duration;

use clap::ArgMatches;
use serde::Serialize;
use tokio::time::Instant;

/// Interval between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Output of a command: results and errors, as text or JSON.
pub(super) struct Console<'a> {
    out: &'a mut dyn Write,
    err: &'a mut dyn Write,
    is_json: bool,
}

impl<'a> Console<'a> {
    pub(super) fn new(out: &'a mut dyn Write, err: &'a mut dyn Write) -> Self {
        Self { out, err, is_json: false }
    }

    /// Reads the output format from the arguments of the innermost subcommand.
    pub(super) fn set_format(&mut self, matches: &ArgMatches) {
        let mut innermost = matches;
        while let Some((_, subcommand)) = innermost.subcommand() {
            innermost = subcommand;
        }
        let format = innermost.try_get_one::<String>("format").ok().flatten();
        self.is_json = format.is_some_and(|format| format == "json");
    }

    /// Prints a result: `report` as JSON, or the lines of `text`.
    pub(super) fn report(&mut self, report: &impl Serialize, text: impl FnOnce() -> Vec<String>) {
        if self.is_json {
            // Reports contain only strings, numbers and flags, so this cannot fail.
            let json = serde_json::to_string_pretty(report).unwrap_or_default();
            self.out_line(&json);
        } else {
            text().iter().for_each(|line| self.out_line(line));
        }
    }

    /// Waits for `work`. Every second, prints to the error output that it waits for `what`.
    pub(super) async fn wait_with_progress<T>(
        &mut self,
        what: &str,
        work: impl Future<Output = T>,
    ) -> T {
        let mut work = pin!(work);
        let start = Instant::now();
        loop {
            match tokio::time::timeout(PROGRESS_INTERVAL, &mut work).await {
                Ok(result) => return result,
                Err(_) => {
                    self.err_line(&format!("waiting for {what}, {} s", start.elapsed().as_secs()))
                }
            }
        }
    }

    /// Prints a line of the result. Errors are ignored: the reader of the output may have closed
    /// it.
    pub(super) fn out_line(&mut self, line: &str) {
        writeln!(self.out, "{line}").ok();
    }

    /// Prints a line about an error or the progress.
    pub(super) fn err_line(&mut self, line: &str) {
        writeln!(self.err, "{line}").ok();
    }

    pub(super) fn out(&mut self) -> &mut dyn Write {
        self.out
    }
}
