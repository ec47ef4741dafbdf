use gw_types::HostId;

use crate::LeaseRequest;
use crate::PromiseRequest;

/// Message that a [`ZoneLease`](crate::ZoneLease) needs to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// To the control leader.
    SendToControl(LeaseRequest),
    /// To a host of the zone. A request of the host to itself goes to its own
    /// [`PromiseGrantor`](crate::PromiseGrantor).
    SendToPeer(HostId, PromiseRequest),
}
