use std::time::Duration;

use gw_types::Timestamp;

/// Longest pause between two steps, however long a step takes.
const MAX_PAUSE: Duration = Duration::from_millis(250);

/// Decides when the granters may take their next step.
///
/// A step looks at all targets and ranges. With thousands of them on a busy processor, steps in a row
/// would leave a leader no time for its heartbeats, and others would replace it.
///
/// Invariant: steps take at most a quarter of the time, unless one takes more than 83 ms.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepPacer {
    paused_until: Timestamp,
}

impl StepPacer {
    /// Pause after a step as a multiple of the time that the step took.
    const PAUSE_FACTOR: u32 = 3;

    /// Whether the next step may be taken.
    pub fn is_due(&self, now: Timestamp) -> bool {
        now >= self.paused_until
    }

    /// Records a step.
    pub fn record(&mut self, started_at: Timestamp, ended_at: Timestamp) {
        let pause = ended_at.since(started_at) * Self::PAUSE_FACTOR;
        self.paused_until = ended_at + pause.min(MAX_PAUSE);
    }
}
