use std::time::Duration;

use gw_types::HostId;

use crate::Membership;

/// Settings of a [`crate::ReplicaNode`].
#[derive(Clone, Debug)]
pub struct ReplicaOptions {
    /// Id of this replica, unique in the group.
    pub id: HostId,
    /// Membership of a new group, the same on all its first members. Empty for a replica that is to
    /// be added to an existing group. Ignored once a snapshot was recovered.
    pub initial_membership: Membership,
    /// Whether the leader makes a learner a voter as soon as it has synced all committed entries.
    /// Otherwise the caller does, with [`MembershipChange::Promote`](crate::MembershipChange).
    pub promotes_learners: bool,
    /// Interval between heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Shortest election timeout. A voter that heard from a leader within this time grants no vote,
    /// and a leader without contact to a majority for this time steps down.
    pub election_timeout_min: Duration,
    /// Longest election timeout.
    pub election_timeout_max: Duration,
    /// Time for which a replica whose oldest batch is not synced goes on to acknowledge what it has
    /// synced before, heartbeats included. Beyond it, the replica counts as lost for the leader.
    pub max_sync_time: Duration,
    /// Maximum size of a command, in bytes.
    pub max_command_bytes: usize,
    /// Maximum size of the entries in a message or in `Ready::committed`, in bytes. A larger entry
    /// is sent alone.
    pub max_batch_bytes: usize,
    /// Maximum size of the entries that are sent to a member before it responds to the first of
    /// them, in bytes. A larger batch is sent while no other is in flight.
    pub max_in_flight_bytes: usize,
    /// Maximum number of batches that are sent to a member before it responds to the first of them.
    pub max_batches_in_flight: usize,
    /// Size of uncommitted entries above which the leader rejects proposals, in bytes.
    pub max_uncommitted_bytes: usize,
    /// Maximum size of the snapshot chunk in a message, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Maximum size of a snapshot that is accepted from a leader, in bytes.
    pub max_snapshot_bytes: usize,
    /// Number of entries covered by a snapshot that are kept in memory, so that a member that lags
    /// slightly does not need the snapshot.
    pub retained_entries: u64,
    /// Maximum size of those entries, in bytes.
    pub retained_bytes: usize,
    /// Seed of the election timeouts. Should differ between replicas and between restarts.
    pub seed: u64,
    /// Fault to inject, for tests that verify that the invariant checks detect it.
    #[doc(hidden)]
    pub injected_fault: Option<InjectedFault>,
}

/// Faults that tests inject to verify their invariant checks.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Sends messages that rely on persisted state before the sync.
    AcknowledgeBeforeSync,
    /// Votes for every candidate of a term.
    VoteTwice,
    /// Commits entries of earlier terms by counting replicas.
    CommitEarlierTerm,
    /// Grants votes without comparing logs.
    IgnoreLogInVote,
    /// Grants votes although it hears from a leader.
    IgnoreLiveLeader,
}

impl ReplicaOptions {
    /// Creates the default options. With these timings, a group replaces its leader within 3 s even
    /// if it needs two election rounds.
    pub fn new(id: HostId, initial_membership: Membership, seed: u64) -> Self {
        Self {
            id,
            initial_membership,
            promotes_learners: true,
            heartbeat_interval: Duration::from_millis(100),
            election_timeout_min: Duration::from_millis(500),
            election_timeout_max: Duration::from_millis(700),
            max_sync_time: Duration::from_secs(5),
            max_command_bytes: 256 * 1024,
            max_batch_bytes: 256 * 1024,
            max_in_flight_bytes: 1024 * 1024,
            max_batches_in_flight: 4,
            max_uncommitted_bytes: 8 * 1024 * 1024,
            snapshot_chunk_bytes: 64 * 1024,
            max_snapshot_bytes: 256 * 1024 * 1024,
            retained_entries: 1024,
            retained_bytes: 16 * 1024 * 1024,
            seed,
            injected_fault: None,
        }
    }
}
