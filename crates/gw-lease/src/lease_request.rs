use gw_types::BootId;
use gw_types::HostId;
use gw_types::TermNumber;
use gw_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// What a host wants of the control leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseOperation {
    /// Renew the lease of this term.
    Renew(TermNumber),
    /// Get the zone under a term above this one.
    Acquire(TermNumber),
    /// Give the lease of this term up; the sender no longer holds it.
    Release(TermNumber),
}

/// A zone leader or candidate asks the control leader for the zone's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The zone.
    pub zone: ZoneName,
    /// The sender.
    pub host: HostId,
    /// The sender's run.
    pub boot: BootId,
    /// Grows with each request of the run; the answer echoes it.
    pub sequence: u64,
    /// Index of the last control log entry that the sender has applied.
    pub applied: u64,
    /// What the sender wants.
    pub operation: LeaseOperation,
}
