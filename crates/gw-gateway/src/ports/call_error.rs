/// Why a call to a control host is refused.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CallError {
    /// No call has this method and path.
    #[error("there is no call {method} {path}")]
    Unknown {
        /// The method.
        method: String,
        /// The path.
        path: String,
    },
    /// The body cannot be read.
    #[error("body: {0}")]
    Body(String),
    /// A field is missing or has no valid value.
    #[error("field {field}: {reason}")]
    Field {
        /// The field, as the caller names it.
        field: &'static str,
        /// What is wrong.
        reason: String,
    },
    /// The configuration cannot be served.
    #[error("configuration: {0}")]
    Config(#[from] gw_routing::ConfigError),
}
