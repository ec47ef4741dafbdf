use std::fmt;
use std::time::Duration;

use gw_profile::ShedClass;
use gw_types::KeyHash;
use gw_types::Timestamp;
use serde::Deserialize;
use serde::Serialize;

/// Identifies one attempt of a request on its dispatcher. Never reused within a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestTicket(pub u64);

impl fmt::Display for RequestTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Hash of what identifies a caller, such as its address or credential.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallerHash(pub u64);

/// Attributes of a request that decide its place in the queue of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Identifies the attempt in admissions and queue actions.
    pub ticket: RequestTicket,
    /// Class in the profile's shed order.
    pub class: ShedClass,
    /// Whether [`ServiceTimes`](crate::ServiceTimes) expects the request to be long.
    pub is_long: bool,
    /// Whether the request must be the only one in flight on its target. Set for a suspect of the
    /// [`CrashQuarantine`](crate::CrashQuarantine).
    pub runs_alone: bool,
    /// Expected service time.
    pub expected: Duration,
    /// Time after which the answer is of no use to the caller.
    pub deadline: Timestamp,
    /// Caller that the request counts for in fair queueing.
    pub caller: CallerHash,
    /// Key that the request counts for in fair queueing and drains; absent for a service that is
    /// not partitioned by key.
    pub key: Option<KeyHash>,
}
