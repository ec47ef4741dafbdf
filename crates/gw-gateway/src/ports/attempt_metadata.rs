use std::time::Duration;

use gw_types::TargetName;

/// What an entry host adds to a request when it forwards it to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptMetadata {
    /// The only target that may execute the request. Any other target at the same address has to
    /// refuse it.
    pub target: TargetName,
    /// How long this host still waits for the response.
    pub remaining: Duration,
}
