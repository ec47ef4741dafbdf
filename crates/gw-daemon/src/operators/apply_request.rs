use serde::Deserialize;
use serde::Serialize;

/// Body of `POST /v1/profiles/{name}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The profile as TOML text.
    pub text: String,
    /// Name of the text in error messages, such as the name of the operator's file.
    #[serde(default)]
    pub file: Option<String>,
    /// Revision on which the change is based; 0 if no change to the profile was accepted before.
    pub base: u64,
    /// Identifies the change. A resend of the change must use the same ID.
    pub change_id: String,
    /// Name of the operator who makes the change.
    pub operator: String,
}
