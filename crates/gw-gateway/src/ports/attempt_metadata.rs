use std::time::Duration;

use gw_types::TargetName;

/// What a host adds to a request for a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptMetadata {
    /// The only target that may run the request.
    pub target: TargetName,
    /// How long the answer is waited for.
    pub remaining: Duration,
}
