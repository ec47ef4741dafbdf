use gw_ranges::RangeHolder;
use gw_types::Timestamp;

/// A run that may have replaced an earlier run of its target a short time ago.
#[derive(Clone, Debug)]
pub(crate) struct RecentRun {
    /// The run.
    pub(crate) holder: RangeHolder,
    /// When this host learned of the run.
    pub(crate) known_since: Timestamp,
    /// When the run was last removed as silent.
    pub(crate) silent_since: Option<Timestamp>,
}
