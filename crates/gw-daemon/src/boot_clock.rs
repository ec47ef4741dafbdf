use gw_types::Clock;
use gw_types::Timestamp;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Reads `CLOCK_BOOTTIME`, which advances while the machine is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Timestamp {
        let now = clock_gettime(ClockId::Boottime);
        Timestamp::from_nanos(now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64)
    }
}
