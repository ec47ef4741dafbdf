use gw_types::BootId;
use gw_types::TargetEntry;
use gw_types::TargetName;

/// A change of a registered target that affects placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// The target joined or rejoined and may be given work.
    Joined {
        /// Entry of the target, in state `Starting`.
        entry: TargetEntry,
    },
    /// A property or the state of the target changed within the same run.
    Changed {
        /// Entry of the target after the change.
        entry: TargetEntry,
    },
    /// A later run replaced a run that was not lost. Grants to the earlier run are void and its
    /// requests are lost.
    Restarted {
        /// Entry of the later run.
        entry: TargetEntry,
        /// Boot id of the earlier run.
        previous: BootId,
    },
    /// The target must get no new work, and its slots have to move to other targets.
    Draining {
        /// Name of the target.
        target: TargetName,
        /// Boot id of the run that drains.
        boot: BootId,
    },
    /// The target is lost. Its ownership ends as soon as it is safe to grant its slots again.
    Lost {
        /// Name of the target.
        target: TargetName,
        /// Boot id of the run that is lost.
        boot: BootId,
        /// Reason for the loss.
        cause: LossCause,
    },
    /// The target reported that it is overloaded, or its latest such report timed out.
    Overloaded {
        /// Name of the target.
        target: TargetName,
        /// Whether the target counts as overloaded from now on.
        is_overloaded: bool,
    },
}

/// Why a target is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossCause {
    /// It neither renewed its registration nor answered a request for the expiry.
    Expired,
    /// Several consecutive requests to it failed.
    Failures,
    /// It reported that it cannot answer properly.
    Reported,
    /// A later run replaced it.
    Replaced,
}
