use std::time::Duration;

use gw_types::HostId;

use crate::leader_state::LeaderState;

/// Current role of a replica.
///
/// A plain enum instead of a `statig` state machine: `statig` handlers get the role's data and the
/// shared storage as two exclusive borrows, whereas replication reads the log while it updates the
/// members' progress, and every role change also changes term, vote and log in the same step.
#[derive(Debug)]
pub(crate) enum ReplicaRole {
    Follower {
        /// The leader of the current term, if known.
        leader: Option<HostId>,
    },
    /// Asks the voters whether it could win an election, without raising the term.
    PreCandidate {
        /// Voters that granted the pre-vote, including this replica.
        granted_by: Vec<HostId>,
    },
    Candidate {
        /// Voters that voted for this replica. Includes this replica only once its vote is synced.
        granted_by: Vec<HostId>,
        /// Shortest time since one of these voters heard from a leader.
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
