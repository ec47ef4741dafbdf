use std::time::Duration;

use gw_types::HostId;

use crate::leader_state::LeaderState;

/// What a replica currently is.
///
/// A plain enum and not `statig`: its handlers get the role's data and the shared storage as two
/// exclusive borrows, while replication reads the log as it changes the leader's progress, and
/// every change of role also changes term, vote and log in the same step.
#[derive(Debug)]
pub(crate) enum ReplicaRole {
    Follower {
        /// The leader of the current term, once known.
        leader: Option<HostId>,
    },
    /// Asks whether it could win, without raising the term.
    PreCandidate {
        /// Voters that would vote for this replica.
        granted: Vec<HostId>,
    },
    Candidate {
        /// Voters that voted for this replica, itself only once its vote is synced.
        granted: Vec<HostId>,
        /// The shortest time since one of them heard a leader.
        since_leader_contact: Duration,
    },
    Leader(LeaderState),
}

impl ReplicaRole {
    pub(crate) fn leader_state(&self) -> Option<&LeaderState> {
        match self {
            ReplicaRole::Leader(state) => Some(state),
            _ => None,
        }
    }

    pub(crate) fn leader_state_mut(&mut self) -> Option<&mut LeaderState> {
        match self {
            ReplicaRole::Leader(state) => Some(state),
            _ => None,
        }
    }
}
