/// Who opened a connection to this host. Each group has its own limit, so that callers cannot use up
/// the descriptors for other hosts and for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionGroup {
    /// Callers of an entry host; targets and operators that call a control host.
    Callers,
    /// Other entry hosts that relay requests.
    Hosts,
    /// Readiness checks and readers of metrics.
    Checks,
    /// Hosts that connect to a control host.
    Links,
}

impl ConnectionGroup {
    /// Number of groups.
    pub const COUNT: usize = 4;
    /// All groups, in the order of their numbers.
    pub const ALL: [Self; Self::COUNT] = [Self::Callers, Self::Hosts, Self::Checks, Self::Links];

    /// Fraction of the descriptors for the group. Entry hosts have no [`Self::Links`] and control hosts
    /// no [`Self::Hosts`]; the rest is for connections to targets and control hosts, and for files.
    pub fn descriptor_share(self) -> f64 {
        match self {
            Self::Callers => 0.5,
            Self::Hosts => 0.15,
            Self::Checks => 0.1,
            Self::Links => 0.25,
        }
    }
}
