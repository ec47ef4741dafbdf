use std::time::Duration;

use gw_types::HostId;

/// Silence after which a replica counts as lost while a new host wants to join. Longer than an
/// election and the restart of a process.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Silence after which a replica is removed without a replacement. Most network partitions are
/// shorter.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(8);
/// Smallest number of replicas that remain after a removal without a replacement.
const MIN_REPLICAS: usize = 3;

/// State of another replica, as observed by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaView {
    /// Id of the replica.
    pub id: HostId,
    /// Time since the replica was last heard from, or since it was added.
    pub silence: Duration,
}

/// Returns the replica that should be removed from the group, if any.
///
/// A lost replica cannot contribute to a majority but still raises the number of votes that a
/// majority needs. `others` are all replicas except the leader. `has_newcomer` tells whether a host
/// at a new address wants to join.
pub fn lost_replica(others: &[ReplicaView], has_newcomer: bool) -> Option<HostId> {
    let most_silent = others.iter().max_by_key(|view| view.silence)?;
    let is_lost = match has_newcomer {
        true => most_silent.silence > REPLACEMENT_TIMEOUT && others.len() >= 2,
        false => most_silent.silence > REMOVAL_TIMEOUT && others.len() >= MIN_REPLICAS,
    };
    is_lost.then_some(most_silent.id)
}
