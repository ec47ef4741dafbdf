use gw_types::HostId;
use gw_types::Timestamp;

use crate::LogIndex;

/// What the leader knows of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// The member.
    pub host: HostId,
    /// Whether the member counts towards a majority.
    pub voter: bool,
    /// Last entry known to be synced by the member.
    pub match_index: LogIndex,
    /// When the leader sent the latest message that the member has answered.
    pub last_contact: Option<Timestamp>,
    /// Whether the member is receiving a snapshot.
    pub receives_snapshot: bool,
}
