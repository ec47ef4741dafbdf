use gw_types::HostId;
use gw_types::Timestamp;

use crate::LogIndex;

/// Replication state of a member, as known to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// The member's id.
    pub host: HostId,
    /// Whether the member counts towards a majority. `false` for a learner.
    pub voter: bool,
    /// Last entry known to be synced by the member.
    pub match_index: LogIndex,
    /// Send time of the latest message that the member has responded to. `None` before its first
    /// response.
    pub last_contact: Option<Timestamp>,
    /// When the member last reported to have synced all entries that were committed by then. `None` if
    /// it never did so to this leader.
    pub caught_up_at: Option<Timestamp>,
    /// Whether the leader is sending a snapshot to the member.
    pub receives_snapshot: bool,
}
