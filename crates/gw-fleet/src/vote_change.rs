use gw_types::HostId;

/// Change of the votes in the control group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteChange {
    /// A learner becomes a voter.
    Promote(HostId),
    /// A voter becomes a learner. It keeps its id and its log, and may be promoted again.
    Demote(HostId),
}
