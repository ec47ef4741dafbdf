use gw_types::HostId;

use crate::LeaseRequest;
use crate::PromiseRequest;

/// A message that a [`ZoneLease`](crate::ZoneLease) wants sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// To the control leader.
    SendToControl(LeaseRequest),
    /// To a host of the zone. A host's request to itself goes to its own book.
    SendToPeer(HostId, PromiseRequest),
}
