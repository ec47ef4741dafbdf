use std::time::Duration;

use gw_types::HostId;
use gw_types::Timestamp;

use crate::LogIndex;
use crate::Membership;
use crate::member_progress::MemberProgress;

/// What only a leader keeps.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) since: Timestamp,
    /// The shortest time since one of this leader's voters had heard a leader when it voted.
    pub(crate) leaderless_time: Duration,
    /// The entry that starts the term.
    pub(crate) first_index: LogIndex,
    /// The other members, in the order of the membership.
    pub(crate) members: Vec<MemberProgress>,
    pub(crate) next_heartbeat: Timestamp,
    /// Size of this term's entries that are not committed yet.
    pub(crate) uncommitted_bytes: usize,
    /// Never unset within a term: the receiver of the order may campaign at any later time, so
    /// this leader must not claim a quorum again.
    pub(crate) transfer: Option<LeaderTransfer>,
}

/// A hand-over of leadership.
#[derive(Debug)]
pub(crate) struct LeaderTransfer {
    pub(crate) to: HostId,
    /// The leader steps down then, whether or not the receiver was elected.
    pub(crate) deadline: Timestamp,
    /// Whether the receiver was asked to campaign.
    pub(crate) ordered: bool,
}

impl LeaderState {
    pub(crate) fn new(now: Timestamp, leaderless_time: Duration, first_index: LogIndex) -> Self {
        Self {
            since: now,
            leaderless_time,
            first_index,
            members: Vec::new(),
            next_heartbeat: now,
            uncommitted_bytes: 0,
            transfer: None,
        }
    }

    pub(crate) fn member(&self, host: HostId) -> Option<&MemberProgress> {
        self.members.iter().find(|member| member.host == host)
    }

    pub(crate) fn member_mut(&mut self, host: HostId) -> Option<&mut MemberProgress> {
        self.members.iter_mut().find(|member| member.host == host)
    }

    /// Follows a change of the membership; new members start behind `next`.
    pub(crate) fn refresh_members(&mut self, own: HostId, to: &Membership, next: LogIndex) {
        let mut members = Vec::new();
        for host in to.members().filter(|&host| host != own) {
            let known = self.members.iter().position(|member| member.host == host);
            members.push(match known {
                Some(position) => self.members.swap_remove(position),
                None => MemberProgress::new(host, next),
            });
        }
        self.members = members;
    }
}
