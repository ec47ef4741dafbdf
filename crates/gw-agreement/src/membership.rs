use gw_types::HostId;
use serde::Deserialize;
use serde::Serialize;

/// Voters and learners of a replication group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Sorted. Disjoint from `learners`.
    voters: Vec<HostId>,
    /// Replicate the log but do not count towards a majority. Sorted.
    learners: Vec<HostId>,
}

/// Change of one member. Any majority before it intersects any majority after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a learner. See [`ReplicaOptions::promotes_learners`](crate::ReplicaOptions).
    Add(HostId),
    /// Makes a learner a voter.
    Promote(HostId),
    /// Makes a voter a learner, which keeps its id and its log.
    Demote(HostId),
    /// Removes a voter or learner.
    Remove(HostId),
}

impl Membership {
    /// Creates a membership of `voters` without learners. Duplicates are ignored.
    pub fn of_voters(voters: impl IntoIterator<Item = HostId>) -> Self {
        let mut voters: Vec<HostId> = voters.into_iter().collect();
        voters.sort_unstable();
        voters.dedup();
        Self { voters, learners: Vec::new() }
    }

    /// Returns the members that vote and count towards a majority, sorted.
    pub fn voters(&self) -> &[HostId] {
        &self.voters
    }

    /// Returns the members that replicate the log without a vote, sorted.
    pub fn learners(&self) -> &[HostId] {
        &self.learners
    }

    /// Returns all members: voters, then learners.
    pub fn members(&self) -> impl Iterator<Item = HostId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Returns the number of members, learners included.
    pub fn len(&self) -> usize {
        self.voters.len() + self.learners.len()
    }

    /// Returns whether there are no members, as on a replica that has not joined a group.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether `host` is a voter.
    pub fn is_voter(&self, host: HostId) -> bool {
        self.voters.binary_search(&host).is_ok()
    }

    /// Returns whether `host` is a voter or learner.
    pub fn contains(&self, host: HostId) -> bool {
        self.is_voter(host) || self.learners.binary_search(&host).is_ok()
    }

    /// Returns the size of the smallest majority. Any two sets of this many voters intersect.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the membership after `change`, or `None` if the change has no effect or would remove
    /// the last voter.
    pub(crate) fn changed(&self, change: MembershipChange) -> Option<Self> {
        let mut changed = self.clone();
        match change {
            MembershipChange::Add(host) if !self.contains(host) => {
                insert(&mut changed.learners, host)
            }
            MembershipChange::Promote(host) if self.learners.binary_search(&host).is_ok() => {
                changed = self.promoted(host);
            }
            MembershipChange::Demote(host) if self.is_voter(host) => {
                changed.voters.retain(|&voter| voter != host);
                insert(&mut changed.learners, host);
            }
            MembershipChange::Remove(host) if self.contains(host) => {
                changed.voters.retain(|&voter| voter != host);
                changed.learners.retain(|&learner| learner != host);
            }
            _ => return None,
        }
        (!changed.voters.is_empty()).then_some(changed)
    }

    /// Returns the membership with the learner `host` promoted to voter.
    pub(crate) fn promoted(&self, host: HostId) -> Self {
        let mut changed = self.clone();
        changed.learners.retain(|&learner| learner != host);
        insert(&mut changed.voters, host);
        changed
    }
}

fn insert(hosts: &mut Vec<HostId>, host: HostId) {
    if let Err(position) = hosts.binary_search(&host) {
        hosts.insert(position, host);
    }
}
