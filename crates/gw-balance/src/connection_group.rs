/// Who opened a connection to this host. Each group has its own limit, so that callers cannot use up
/// the descriptors for other hosts and for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionGroup {
    /// Callers of an entry host; targets and operators that call a control host.
    Callers,
    /// Entry hosts that relay requests to an entry host; hosts that connect to a control host.
    Hosts,
    /// Readiness checks and readers of metrics.
    Checks,
}

impl ConnectionGroup {
    /// Number of groups.
    pub const COUNT: usize = 3;
    /// All groups, in the order of their numbers.
    pub const ALL: [Self; Self::COUNT] = [Self::Callers, Self::Hosts, Self::Checks];

    /// Fraction of the descriptors for the group. The rest, a quarter, is for connections to targets
    /// and between hosts, and for files.
    pub fn descriptor_share(self) -> f64 {
        match self {
            Self::Callers => 0.5,
            Self::Hosts => 0.15,
            Self::Checks => 0.1,
        }
    }
}
