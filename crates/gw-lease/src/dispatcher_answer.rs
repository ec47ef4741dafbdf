use std::time::Duration;

use gw_types::BootId;
use gw_types::HostId;
use gw_types::TargetName;
use gw_types::TermNumber;
use serde::Deserialize;
use serde::Serialize;

/// Answer of a dispatcher to a [`DispatcherGrant`](crate::DispatcherGrant).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatcherAnswer {
    /// Host that answers.
    pub host: HostId,
    /// Boot ID of the process that answers.
    pub boot: BootId,
    /// Term of the answered grant.
    pub term: TermNumber,
    /// Sequence number of the answered grant.
    pub sequence: u64,
    /// Number of this answer, starting at 1. Later grants echo it.
    pub number: u64,
    /// Time since the process started. While it is shorter than the longest request deadline,
    /// requests of an earlier boot may still be in flight without this process knowing of them.
    pub age: Duration,
    /// Targets that the grant omits and that still have requests of this host in flight, sorted.
    /// The dispatcher sends no new request to any target that the grant omits.
    pub draining: Vec<TargetName>,
    /// Whether the process is shutting down: it has no requests in flight and accepts no further
    /// grants.
    pub closing: bool,
}
