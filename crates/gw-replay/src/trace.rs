use std::io;

use gw_types::ServiceName;
use gw_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// Kind of a request, which decides whether it may be retried and which duration to expect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RequestKind {
    /// Idempotent, usually short.
    Lookup,
    /// Idempotent and long.
    Scan,
    /// Non-idempotent, usually short.
    Write,
}

/// One recorded request: a row of the trace file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceEntry {
    /// Arrival time in microseconds since the start of the trace.
    pub time_us: u64,
    /// Zone of the entry host at which the request arrives.
    pub zone: ZoneName,
    /// Service that the request is routed to.
    pub service: ServiceName,
    /// Key of the request. Services without keys ignore it for routing.
    pub key: u64,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Service time in microseconds: how long the request occupies a work slot of its target.
    pub cost_us: u64,
}

/// Error of reading, writing or building a trace.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// A row is malformed, or reading or writing failed.
    #[error("trace: {0}")]
    Csv(#[from] csv::Error),
    /// The output could not be flushed.
    #[error("trace: {0}")]
    Io(#[from] io::Error),
    /// Rows are not sorted by time.
    #[error("trace row {row}: time {time_us} us is earlier than the row before")]
    Unsorted {
        /// Number of the first row out of order, counted from 1 without the header.
        row: usize,
        /// Time of that row in microseconds.
        time_us: u64,
    },
}

/// Recorded requests, sorted by time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trace {
    entries: Vec<TraceEntry>,
}

impl Trace {
    /// Creates a trace from `entries`.
    ///
    /// # Errors
    ///
    /// [`TraceError::Unsorted`] if the entries are not sorted by time.
    pub fn new(entries: Vec<TraceEntry>) -> Result<Self, TraceError> {
        for (index, pair) in entries.windows(2).enumerate() {
            let time_us = pair[1].time_us;
            if time_us < pair[0].time_us {
                return Err(TraceError::Unsorted { row: index + 2, time_us });
            }
        }
        Ok(Self { entries })
    }

    /// Reads a trace from CSV with a header row.
    ///
    /// # Errors
    ///
    /// [`TraceError::Csv`] if a row is malformed or reading fails, [`TraceError::Unsorted`] if rows
    /// are not sorted by time.
    pub fn read(source: impl io::Read) -> Result<Self, TraceError> {
        let mut reader = csv::Reader::from_reader(source);
        let entries: Result<_, _> = reader.deserialize().collect();
        Self::new(entries?)
    }

    /// Writes the trace as CSV with a header row.
    pub fn write(&self, sink: impl io::Write) -> Result<(), TraceError> {
        let mut writer = csv::Writer::from_writer(sink);
        for entry in &self.entries {
            writer.serialize(entry)?;
        }
        writer.flush()?;
        Ok(())
    }

    /// Returns the requests in order of time.
    pub fn entries(&self) -> &[TraceEntry] {
        &self.entries
    }
}
