/// Losses that the control group has to bear at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultTolerance {
    /// Number of control hosts.
    pub hosts: usize,
    /// Number of whole availability zones, while no other host is lost.
    pub zones: usize,
}

impl FaultTolerance {
    /// Returns the smallest number of voters of which a majority is left without [`Self::hosts`] of
    /// them. Committed entries then survive as many lost disks, whatever else is down.
    pub fn min_voters(&self) -> usize {
        self.hosts.max(1).saturating_mul(2).saturating_add(1)
    }
}

impl Default for FaultTolerance {
    fn default() -> Self {
        Self { hosts: 1, zones: 1 }
    }
}
