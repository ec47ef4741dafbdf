use gw_types::BootId;
use gw_types::HostId;
use gw_types::TargetEntry;
use gw_types::TargetName;

/// Change of a target that the zone leader learned of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// The target announced itself, for the first time or again. A higher boot ID means that the
    /// requests and grants of the earlier boot are void.
    Joined(TargetEntry),
    /// The target accepts its full share of work.
    Serving(TargetName),
    /// The target accepts no new work.
    Draining(TargetName),
    /// The announcement of the target expired, or the target fails.
    Lost(TargetName),
    /// The target left, and is removed once it owns nothing.
    Left(TargetName),
    /// The target restarted with this boot ID.
    Rebooted(TargetName, BootId),
    /// The dispatcher of the target changed. A different host is named only after the old
    /// dispatcher has confirmed its release, or after its lease and its last deadline plus margin
    /// have passed.
    Dispatcher(TargetName, Option<HostId>),
}
