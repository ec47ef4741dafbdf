/// Quorum sizes of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneQuorum {
    hosts: usize,
}

impl ZoneQuorum {
    /// Creates the quorum sizes of a zone with `hosts` entry hosts.
    pub fn new(hosts: usize) -> Self {
        Self { hosts }
    }

    /// Returns the number of promises that extend a hold, including the holder's own.
    pub fn majority(self) -> usize {
        self.hosts / 2 + 1
    }

    /// Returns the number of promises that a takeover needs. Every set of this size intersects
    /// every majority.
    pub fn takeover(self) -> usize {
        self.hosts + 1 - self.majority()
    }
}
