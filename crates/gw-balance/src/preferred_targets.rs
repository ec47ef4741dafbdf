use gw_types::HostName;
use gw_types::TargetName;

/// Entry hosts of one availability zone, to spread the zone's targets over them.
///
/// With few slots a target, hosts that choose alike collide. Each host prefers its home targets,
/// so that hosts of a zone choose differently as long as there is room.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PreferredTargets {
    /// Sorted.
    hosts: Vec<HostName>,
}

impl PreferredTargets {
    /// The live entry hosts of a zone.
    pub fn new(mut hosts: Vec<HostName>) -> Self {
        hosts.sort();
        hosts.dedup();
        Self { hosts }
    }

    /// Number of hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether no host is known.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Whether `target` is a home target of `host`. `targets` are the zone's targets of one
    /// service, sorted. Every target has a home host, and every host a home target.
    pub fn is_preferred(
        &self,
        host: &HostName,
        target: &TargetName,
        targets: &[TargetName],
    ) -> bool {
        let (Ok(host), Ok(target)) =
            (self.hosts.binary_search(host), targets.binary_search(target))
        else {
            return false;
        };
        if targets.len() >= self.hosts.len() {
            target % self.hosts.len() == host
        } else {
            host % targets.len() == target
        }
    }
}
