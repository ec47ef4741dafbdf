use std::sync::Arc;

use gw_types::BootId;
use gw_types::KeyHash;
use gw_types::ServiceName;
use gw_types::TargetName;
use serde::Deserialize;
use serde::Serialize;

/// Routing data of a forwarded request, sent in the header `galenawheel-forward`. The sender, its
/// boot ID and the sequence number are in the frame header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardTicket {
    /// Service of the request.
    pub service: ServiceName,
    /// Target according to the sender's routing table.
    pub target: TargetName,
    /// Boot ID of the target.
    pub boot: BootId,
    /// Hash of the key, which determines the slot; `None` for an unkeyed service.
    pub key: Option<KeyHash>,
    /// Time until the deadline in milliseconds when the ticket was signed.
    pub deadline_ms: u32,
    /// Identifies the request in the logs of hosts and targets.
    pub request_id: Arc<str>,
    /// Hash of the caller's address, for fair queueing between callers.
    pub caller: u64,
    /// Number of completed attempts.
    pub attempts: u8,
    /// Targets whose connection was lost while they ran the request.
    pub crashed: Vec<TargetName>,
}
