use gw_types::HostName;
use gw_types::TargetName;

/// Assigns the targets of an availability zone to its entry hosts as preferred targets.
///
/// Targets have few slots, so hosts that all rank targets alike would overload the same ones. Each
/// host prefers a subset of its zone's targets instead, as long as those have free slots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PreferredTargets {
    /// Live entry hosts of the zone, sorted.
    hosts: Vec<HostName>,
}

impl PreferredTargets {
    /// Creates the assignment for the live entry hosts of a zone.
    pub fn new(mut hosts: Vec<HostName>) -> Self {
        hosts.sort();
        hosts.dedup();
        Self { hosts }
    }

    /// Returns the number of hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Returns whether no host is known.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Returns whether `host` prefers `target`. `targets` are the zone's targets of one service,
    /// sorted. Every target is preferred by at least one host, and every host prefers at least one
    /// target.
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
