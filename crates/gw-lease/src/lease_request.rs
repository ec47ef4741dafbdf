use gw_types::BootId;
use gw_types::HostId;
use gw_types::TermNumber;
use gw_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// Operation that a host requests from the control leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseOperation {
    /// Renews the lease of this term.
    Renew(TermNumber),
    /// Acquires the zone under a term higher than this one.
    Acquire(TermNumber),
    /// Releases the lease of this term, which the sender no longer holds.
    Release(TermNumber),
}

/// Request of a zone leader or candidate to the control leader for the zone's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Zone of the lease.
    pub zone: ZoneName,
    /// Host that sends the request.
    pub host: HostId,
    /// Boot ID of the sending process.
    pub boot: BootId,
    /// Sequence number, increasing with each request of the boot. The answer echoes it.
    pub sequence: u64,
    /// Index of the last control log entry that the sender has applied.
    pub applied: u64,
    /// Requested operation.
    pub operation: LeaseOperation,
}
