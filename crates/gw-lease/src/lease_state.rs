use std::fmt;

/// State of a host with regard to the lease of its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// Neither holds the zone nor requests it.
    Follower,
    /// Requests the zone and has not taken it over yet.
    Candidate,
    /// Holds the zone by a lease from the control leader.
    HolderByControl,
    /// Holds the zone by promises of a majority of its hosts; the lease from the control leader has
    /// expired.
    HolderByPromises,
    /// Held the zone until its hold expired. Only the control leader can renew the hold.
    Expired,
}

impl LeaseState {
    /// Returns whether the host may act as the leader of the zone.
    pub fn is_holder(self) -> bool {
        matches!(self, LeaseState::HolderByControl | LeaseState::HolderByPromises)
    }
}

/// Writes the name of the state that log lines and metrics use.
impl fmt::Display for LeaseState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LeaseState::Follower => "follower",
            LeaseState::Candidate => "candidate",
            LeaseState::HolderByControl => "holder_by_control",
            LeaseState::HolderByPromises => "holder_by_promises",
            LeaseState::Expired => "expired",
        })
    }
}
