use std::time::Duration;

use gw_types::HostId;
use gw_types::Timestamp;

use crate::LogIndex;
use crate::Membership;
use crate::member_progress::MemberProgress;

/// State that a replica has only while it is leader.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) since: Timestamp,
    /// Shortest of the times since leader contact that the voters reported with their votes.
    pub(crate) leaderless_time: Duration,
    /// Index of the no-op entry that starts the term.
    pub(crate) first_index: LogIndex,
    /// The other members, in the order of the membership.
    pub(crate) members: Vec<MemberProgress>,
    pub(crate) next_heartbeat: Timestamp,
    /// Size of this term's uncommitted entries.
    pub(crate) uncommitted_bytes: usize,
    /// Leadership transfer in progress. Never reset within a term: the transferee may campaign at
    /// any later time, so this leader must not claim a quorum again.
    pub(crate) transfer: Option<LeaderTransfer>,
}

/// Transfer of leadership to another voter.
#[derive(Debug)]
pub(crate) struct LeaderTransfer {
    pub(crate) transferee: HostId,
    /// Time at which the leader steps down, whether or not the transferee was elected.
    pub(crate) deadline: Timestamp,
    /// Whether the transferee was asked to campaign.
    pub(crate) timeout_now_sent: bool,
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

    /// Adopts the members of `membership`. Replication to new members starts at `next_index`.
    pub(crate) fn refresh_members(
        &mut self,
        own: HostId,
        membership: &Membership,
        next_index: LogIndex,
    ) {
        let mut members = Vec::new();
        for host in membership.members().filter(|&host| host != own) {
            let known = self.members.iter().position(|member| member.host == host);
            members.push(match known {
                Some(position) => self.members.swap_remove(position),
                None => MemberProgress::new(host, next_index),
            });
        }
        self.members = members;
    }
}
