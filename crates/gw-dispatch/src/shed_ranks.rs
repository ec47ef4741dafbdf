use gw_profile::ShedClass;

/// Rank of each class in the profile's shed order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ShedRanks(Vec<ShedClass>);

impl ShedRanks {
    pub(crate) fn new(order: &[ShedClass]) -> Self {
        Self(order.to_vec())
    }

    /// Returns the rank of `class`. The lowest rank is shed first; classes not listed have the
    /// highest.
    pub(crate) fn rank(&self, class: ShedClass) -> usize {
        self.0.iter().position(|&listed| listed == class).unwrap_or(self.0.len())
    }
}
