use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Number of clock readings that the calibration takes the median of.
const CALIBRATION_READINGS: usize = 2_001;

/// Clock of the calling thread's CPU time (`CLOCK_THREAD_CPUTIME_ID`), which excludes the time in
/// which other threads run.
#[derive(Clone, Copy, Debug)]
pub struct ThreadClock {
    /// Median CPU time of one reading, which [`elapsed`](Self::elapsed) subtracts.
    overhead_nanos: u64,
}

impl ThreadClock {
    /// Creates a clock and measures the CPU time of reading it.
    pub fn calibrated() -> Self {
        let mut costs: Vec<u64> = (0..CALIBRATION_READINGS)
            .map(|_| {
                let start = read_nanos();
                read_nanos() - start
            })
            .collect();
        costs.sort_unstable();
        Self { overhead_nanos: costs[costs.len() / 2] }
    }

    /// Returns the CPU time of the thread in nanoseconds.
    pub fn now(&self) -> u64 {
        read_nanos()
    }

    /// Returns the CPU time since `start` in nanoseconds, without that of reading the clock.
    pub fn elapsed(&self, start: u64) -> u64 {
        (read_nanos() - start).saturating_sub(self.overhead_nanos)
    }
}

fn read_nanos() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}
