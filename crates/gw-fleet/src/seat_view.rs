use std::time::Duration;

use gw_types::HostId;
use gw_types::ZoneName;

/// A member of the control group, as its leader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeatView {
    /// Id of the replica.
    pub id: HostId,
    /// Availability zone of the host; `None` if the leader has not been connected to it yet.
    pub zone: Option<ZoneName>,
    /// Whether the replica leads the group.
    pub is_leader: bool,
    /// Whether the replica votes. A learner does not.
    pub is_voter: bool,
    /// Time since the replica was last heard from; zero for the leader itself.
    pub silence: Duration,
    /// Whether the replica has lately reported all committed entries as synced.
    pub is_caught_up: bool,
    /// Whether the host has lately announced that it was told to stop. It may be started again.
    pub is_leaving: bool,
    /// Replica that the same host has become after the loss of its disk.
    pub successor: Option<HostId>,
}
