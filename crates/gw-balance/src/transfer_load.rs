use std::time::Duration;

/// Bytes of one transfer that may be on their way to a host, whatever it reads: the receive window
/// of its connection.
const WINDOW_BYTES: f64 = 64.0 * 1024.0;
/// Time for which the windows of all transfers together may occupy the link.
const MAX_LINK_DELAY: Duration = Duration::from_millis(200);
/// Smallest number of transfers at the same time: while one waits for its target, another uses the
/// link.
const MIN_SLOTS: usize = 2;
/// Largest number of transfers at the same time.
const MAX_SLOTS: usize = 256;
/// Duration that is assumed for a transfer before the first one has ended.
const INITIAL_SECONDS: f64 = 0.3;
/// Weight of the newest transfer in the average duration.
const AVERAGE_WEIGHT: f64 = 0.1;

/// How many large responses a host forwards at the same time, and how long further ones wait.
#[derive(Clone, Debug)]
pub struct TransferLoad {
    slots: usize,
    /// Average duration of a transfer in seconds, from its start at a target to its end.
    mean_seconds: f64,
}

impl TransferLoad {
    /// Creates the limits for a link of `bytes_per_second`.
    pub fn new(bytes_per_second: f64) -> Self {
        let slots = bytes_per_second * MAX_LINK_DELAY.as_secs_f64() / WINDOW_BYTES;
        let slots = (slots as usize).clamp(MIN_SLOTS, MAX_SLOTS);
        Self { slots, mean_seconds: INITIAL_SECONDS }
    }

    /// Returns the largest number of transfers at the same time.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Records the duration of a transfer.
    pub fn record(&mut self, duration: Duration) {
        self.mean_seconds += AVERAGE_WEIGHT * (duration.as_secs_f64() - self.mean_seconds);
    }

    /// Returns the expected wait of a transfer behind `waiting` others, all slots being in use.
    pub fn expected_wait(&self, waiting: usize) -> Duration {
        Duration::from_secs_f64((waiting + 1) as f64 * self.mean_seconds / self.slots as f64)
    }
}
