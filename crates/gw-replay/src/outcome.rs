use std::fmt::Write;

use serde::Serialize;

/// Results of the replay of one variant. The field names are the columns of the CSV output.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Outcome {
    /// Name of the replayed variant.
    pub variant: String,
    /// Number of replayed requests.
    pub requests: u64,
    /// Share of requests that were answered.
    pub answered: f64,
    /// Share of requests that no target has run.
    pub not_run: f64,
    /// Share of requests for which it is unknown whether a target ran them.
    pub unknown: f64,
    /// Share of requests whose wait, the time to the answer without service time and network
    /// delay, is at most the users' stated limit of 20 ms.
    pub within_stated: f64,
    /// Share of the requests arriving at peak load that were answered within their deadline.
    pub crest_in_deadline: f64,
    /// Median wait of all requests but scans, in microseconds: the time to the answer without
    /// service time and network delay.
    pub short_wait_p50_us: u64,
    /// 99th percentile of the same wait, in microseconds.
    pub short_wait_p99_us: u64,
    /// 99.9th percentile of the same wait, in microseconds.
    pub short_wait_p999_us: u64,
    /// Mean time from arrival to answer of all requests but scans, in microseconds, with service
    /// time and network delay.
    pub short_total_mean_us: u64,
    /// Load of the most loaded target divided by the mean load of its service's targets, averaged
    /// over one-second windows and over services without keys.
    pub imbalance_max: f64,
    /// Coefficient of variation of the targets' loads, averaged in the same way.
    pub imbalance_cv: f64,
    /// Number of slot moves made to balance load; moves after the loss of a target are not counted.
    pub slot_moves: u64,
    /// Number of hot keys split from their slot, moved, or merged back into it.
    pub key_moves: u64,
    /// Longest time in milliseconds from the loss of a target until its slots were served again;
    /// absent if the slots of some lost target never were.
    pub unreachable_ms: Option<u64>,
    /// Number of runs on targets divided by the number of requests.
    pub amplification: f64,
    /// Largest number of runs of any one non-idempotent request.
    pub write_runs_max: u32,
    /// Bytes of load reports per second, summed over all hosts.
    pub report_bytes_a_second: f64,
}

/// Formats the results as CSV with a header row.
///
/// # Errors
///
/// Returns the error of the CSV writer if a row cannot be encoded.
pub fn outcome_csv(outcomes: &[Outcome]) -> Result<String, csv::Error> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    for outcome in outcomes {
        writer.serialize(outcome)?;
    }
    let bytes = writer.into_inner().map_err(|error| error.into_error())?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Formats the results as a table with columns of fixed width.
pub fn outcome_table(outcomes: &[Outcome]) -> String {
    let mut table = format!(
        "{:<20}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>7}{:>7}{:>8}{:>7}{:>8}{:>7}{:>7}{:>9}\n",
        "variant",
        "answered",
        "not-run",
        "unknown",
        "<=20ms",
        "crest",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "total ms",
        "max",
        "cv",
        "slots",
        "keys",
        "unr. ms",
        "ampl.",
        "writes",
        "report/s",
    );
    for outcome in outcomes {
        let millis = |us: u64| us as f64 / 1e3;
        // Writing to a string cannot fail.
        let _ = writeln!(
            table,
            "{:<20}{:>9.4}{:>9.4}{:>9.4}{:>9.4}{:>9.4}{:>9.2}{:>9.2}{:>9.2}{:>9.2}{:>7.2}{:>7.3}{:>8}{:>7}{:>8}{:>7.3}{:>7}{:>9.0}",
            outcome.variant,
            outcome.answered,
            outcome.not_run,
            outcome.unknown,
            outcome.within_stated,
            outcome.crest_in_deadline,
            millis(outcome.short_wait_p50_us),
            millis(outcome.short_wait_p99_us),
            millis(outcome.short_wait_p999_us),
            millis(outcome.short_total_mean_us),
            outcome.imbalance_max,
            outcome.imbalance_cv,
            outcome.slot_moves,
            outcome.key_moves,
            outcome.unreachable_ms.map_or("never".to_owned(), |ms| ms.to_string()),
            outcome.amplification,
            outcome.write_runs_max,
            outcome.report_bytes_a_second,
        );
    }
    table
}
