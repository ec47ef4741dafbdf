use gw_types::HostName;

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

    /// Returns whether `host` prefers the target at `position` among the zone's `count` targets of
    /// one service. Every target is preferred by at least one host, and every host prefers at least
    /// one target.
    pub fn is_preferred(&self, host: &HostName, position: usize, count: usize) -> bool {
        let Ok(host) = self.hosts.binary_search(host) else { return false };
        if count >= self.hosts.len() {
            position % self.hosts.len() == host
        } else {
            host % count == position
        }
    }
}
