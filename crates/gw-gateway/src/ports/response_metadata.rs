use std::time::Duration;

use gw_balance::ReportedLoad;
use gw_types::TargetName;
use http::HeaderValue;

/// Metadata of a target's response beyond status and body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Id of the request that the target says it responds to.
    pub request_id: Option<HeaderValue>,
    /// Whether the target states that it did not execute the request.
    pub is_refusal: bool,
    /// Whether the request reached the wrong target, or one that does not hold the key. The
    /// sender's view of targets or key ranges is out of date.
    pub is_misdirected: bool,
    /// With a misdirected request: name of the target that responded, if it states one.
    pub other_target: Option<TargetName>,
    /// Requests per second that the target takes from all entry hosts together, for as long as its
    /// responses say so. At least 0; `None` if it takes all.
    pub rate_limit: Option<f64>,
    /// How long the target wants no further request from this host.
    pub rest: Option<Duration>,
    /// Whether the target says that it leaves, so that it gets no new work.
    pub is_leaving: bool,
    /// For how long the target stays cold, if it says so; zero if it says that it is warm.
    pub warm_up_left: Option<Duration>,
    /// Load of the target, if it states it.
    pub load: Option<ReportedLoad>,
}
