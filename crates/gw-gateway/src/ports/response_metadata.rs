use gw_types::TargetName;
use http::HeaderValue;

/// What a target's answer says beside status and body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// The id of the request that it answers.
    pub request_id: Option<HeaderValue>,
    /// Whether the target says that it did not run the request.
    pub is_refusal: bool,
    /// Whether the refusal means that this is another target, or one that does not hold the key:
    /// the sender's view is out of date.
    pub is_misdirected: bool,
    /// The target that says that it was not the one that was meant, if it names itself.
    pub other_target: Option<TargetName>,
}
