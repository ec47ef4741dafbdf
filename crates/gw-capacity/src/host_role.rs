use std::fmt;

/// Role of a host in the cluster. A host with several roles is counted under the first of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostRole {
    /// Leader of the control replicas.
    ControlLeader,
    /// Control replica that is not the leader.
    ControlReplica,
    /// Leader of its zone.
    ZoneLeader,
    /// Entry host that dispatches to at least one target.
    Dispatcher,
    /// Entry host that dispatches to no target.
    EntryHost,
}

impl HostRole {
    /// All roles in order of precedence.
    pub const ALL: [HostRole; 5] = [
        HostRole::ControlLeader,
        HostRole::ControlReplica,
        HostRole::ZoneLeader,
        HostRole::Dispatcher,
        HostRole::EntryHost,
    ];
}

impl fmt::Display for HostRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HostRole::ControlLeader => "control-leader",
            HostRole::ControlReplica => "control-replica",
            HostRole::ZoneLeader => "zone-leader",
            HostRole::Dispatcher => "dispatcher",
            HostRole::EntryHost => "entry-host",
        })
    }
}
