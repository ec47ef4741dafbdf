use gw_types::FencingToken;
use gw_types::HostId;
use gw_types::ServiceName;
use gw_types::TargetName;
use serde::Deserialize;
use serde::Serialize;

use crate::HandoverId;
use crate::HandoverSubject;

/// Request to a dispatcher to stop sending to the old owner and to answer when nothing is in
/// flight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRequest {
    /// Handover that needs the drain; the answer repeats it.
    pub id: HandoverId,
    /// Dispatcher that must drain.
    pub dispatcher: HostId,
    /// Service of the slots or key.
    pub service: ServiceName,
    /// Slots or key that are handed over.
    pub subject: HandoverSubject,
    /// Old owner, to which the dispatcher must stop sending.
    pub target: TargetName,
    /// Token of the revocation. Ownership under a lower token is void.
    pub token: FencingToken,
}
