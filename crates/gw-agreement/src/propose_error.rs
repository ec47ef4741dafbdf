use gw_types::HostId;

/// Reason for rejecting a proposal. A rejected proposal is never committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This replica is not the leader, and only the leader accepts proposals.
    #[error("this replica is not the leader")]
    NotLeader {
        /// The leader as far as this replica knows it.
        hint: Option<HostId>,
    },
    /// The leader has had no contact with a majority within the election timeout.
    #[error("no contact with a majority of the voters")]
    NoQuorum,
    /// The leader is transferring its leadership.
    #[error("leadership is being transferred")]
    Transferring,
    /// The command does not fit into one batch.
    #[error("command of {len} bytes is larger than {limit} bytes")]
    TooLarge {
        /// Length of the command in bytes.
        len: usize,
        /// Maximum length in bytes.
        limit: usize,
    },
    /// The leader has too many uncommitted bytes.
    #[error("too many uncommitted bytes")]
    Busy,
    /// Another membership change, or the start of the leader's term, is not yet committed.
    #[error("an earlier membership change is in progress")]
    ChangeInProgress,
    /// The membership change has no effect or would remove the last voter.
    #[error("the membership change is not possible")]
    InvalidChange,
}
