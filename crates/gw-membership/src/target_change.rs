use gw_types::BootId;
use gw_types::TargetEntry;
use gw_types::TargetName;

/// A change that placement has to act upon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// The target may be given work.
    Joined {
        /// The target.
        entry: TargetEntry,
    },
    /// The target is the same run with other properties or another state.
    Changed {
        /// The target.
        entry: TargetEntry,
    },
    /// A later run has replaced a run that was not lost. Grants and requests of the earlier run are
    /// dead.
    Restarted {
        /// The target.
        entry: TargetEntry,
        /// The earlier run.
        previous: BootId,
    },
    /// The target must get no new work, and its slots move away.
    Draining {
        /// The target.
        target: TargetName,
        /// Its run.
        boot: BootId,
    },
    /// The target owns nothing any more once that is safe.
    Lost {
        /// The target.
        target: TargetName,
        /// The run that is lost.
        boot: BootId,
        /// Why.
        cause: LossCause,
    },
    /// The target said that it is overloaded, or that time is over.
    Overloaded {
        /// The target.
        target: TargetName,
        /// Whether it is.
        is_overloaded: bool,
    },
}

/// Why a target is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossCause {
    /// It neither renewed nor answered for one expiry.
    Expired,
    /// Requests to it failed several times in a row.
    Failures,
    /// It said that it cannot answer properly.
    Reported,
    /// A later run replaced it.
    Replaced,
}
