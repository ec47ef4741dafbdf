use std::time::Duration;

use crate::SeatView;

/// Silence after which a voter may lose its vote. Longer than an election and the restart of a process.
const VOTE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Why a voter is to lose its vote, the most urgent reason last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DepartureReason {
    /// The host was told to stop, and may come back.
    Leaving,
    /// The host has been silent for too long. Its disk may be whole.
    Silent,
    /// The host has lost its disk, and with it what the replica has promised.
    DiskLost,
}

impl DepartureReason {
    /// Returns why a voter is to lose its vote; `None` if it is to keep it.
    pub(crate) fn of(seat: &SeatView) -> Option<Self> {
        if seat.successor.is_some() {
            return Some(Self::DiskLost);
        }
        if seat.silence > VOTE_TIMEOUT {
            return Some(Self::Silent);
        }
        seat.is_leaving.then_some(Self::Leaving)
    }
}
