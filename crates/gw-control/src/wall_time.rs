use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Milliseconds since 1970-01-01 UTC by the clock of the host that proposed a command.
///
/// Only shown to operators and used to filter the audit trail. No decision depends on it, because
/// the clocks of hosts differ.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl fmt::Display for WallTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}
