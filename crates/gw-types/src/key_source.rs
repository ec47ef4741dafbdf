use serde::Deserialize;
use serde::Serialize;

/// Part of a request that contains the key, for a keyed service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum KeySource {
    /// The path segment at this position, counted from 0.
    PathSegment(u8),
    /// The value of the header field with this lower-case name.
    Header(String),
    /// The first value of the query parameter with this name, percent-decoded.
    QueryParameter(String),
}
