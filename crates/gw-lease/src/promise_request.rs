use std::time::Duration;

use gw_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use crate::LeaseHolder;

/// Operation that a holder or candidate requests from a zone host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PromiseOperation {
    /// Makes a promise that lasts this long.
    Promise(Duration),
    /// Ends the promise; the sender no longer holds the zone.
    Release,
}

/// Request of a holder or candidate for a promise of a host of its zone, which may be itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromiseRequest {
    /// Zone of the lease.
    pub zone: ZoneName,
    /// Process that sends the request, and its term.
    pub holder: LeaseHolder,
    /// Sequence number, increasing with each request of the boot. The answer echoes it.
    pub sequence: u64,
    /// Requested operation.
    pub operation: PromiseOperation,
}
