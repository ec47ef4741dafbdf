use std::time::Duration;

use gw_types::HostId;

/// Silence after which a replica is taken for lost when a new host wants to join. Longer than an
/// election and a restart of a process.
const REPLACED_TIME: Duration = Duration::from_millis(2_500);
/// Silence after which a replica is removed without a successor. Most cuts are shorter.
const LOST_TIME: Duration = Duration::from_secs(8);
/// Replicas that remain at least when one is removed without a successor.
const LEAST_REPLICAS: usize = 3;

/// Another replica as the leader sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaView {
    /// The replica.
    pub id: HostId,
    /// Time since it was last heard, or since it was added.
    pub silence: Duration,
}

/// The replica that should leave the group, if any: a lost one counts towards no majority, but
/// makes majorities larger. `others` are all replicas but the leader. `has_newcomer`: a host at a
/// new address wants to join.
pub fn lost_replica(others: &[ReplicaView], has_newcomer: bool) -> Option<HostId> {
    let most_silent = others.iter().max_by_key(|view| view.silence)?;
    let is_lost = match has_newcomer {
        true => most_silent.silence > REPLACED_TIME && others.len() >= 2,
        false => most_silent.silence > LOST_TIME && others.len() >= LEAST_REPLICAS,
    };
    is_lost.then_some(most_silent.id)
}
