use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Time of the local [`Clock`](crate::Clock), in nanoseconds since its origin.
///
/// Timestamps of different hosts, or of different boots of one host, must not be compared; messages
/// contain durations instead.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Origin of the clock.
    pub const ZERO: Timestamp = Timestamp(0);
    /// Latest timestamp, which no clock returns.
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// Creates the timestamp `nanos` nanoseconds after the clock's origin.
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    /// Creates the timestamp `millis` milliseconds after the clock's origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000_000)
    }

    /// Returns the nanoseconds since the clock's origin.
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    /// Saturates at [`Timestamp::MAX`].
    fn add(self, duration: Duration) -> Timestamp {
        let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_add(nanos))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    /// Saturates at [`Timestamp::ZERO`].
    fn sub(self, duration: Duration) -> Timestamp {
        let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_sub(nanos))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:09}s", self.0 / 1_000_000_000, self.0 % 1_000_000_000)
    }
}
