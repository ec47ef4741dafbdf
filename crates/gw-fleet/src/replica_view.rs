use std::time::Duration;

use gw_types::HostId;

/// Silence after which a replica counts as lost if a new host has joined or wants to. Longer than an
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

/// Whether a host at a new address takes the place of a lost replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Successor {
    /// There is none.
    None,
    /// A host wants to join.
    Waiting,
    /// A host has joined recently. See [`ReplacementWindow`](crate::ReplacementWindow).
    Joined,
}

/// Returns the replica that should be removed from the group, if any.
///
/// A lost replica cannot contribute to a majority but still raises the number of votes that a
/// majority needs. `others` are all replicas except the leader.
pub fn lost_replica(others: &[ReplicaView], successor: Successor) -> Option<HostId> {
    let most_silent = others.iter().max_by_key(|view| view.silence)?;
    let (timeout, min_others) = match successor {
        Successor::None => (REMOVAL_TIMEOUT, MIN_REPLICAS),
        Successor::Waiting => (REPLACEMENT_TIMEOUT, MIN_REPLICAS - 1),
        Successor::Joined => (REPLACEMENT_TIMEOUT, MIN_REPLICAS),
    };
    let is_lost = most_silent.silence > timeout && others.len() >= min_others;
    is_lost.then_some(most_silent.id)
}
