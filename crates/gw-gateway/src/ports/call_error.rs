/// Error for a control call that cannot be parsed or is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CallError {
    /// No control call is defined for this method and path.
    #[error("there is no call {method} {path}")]
    Unknown {
        /// Method of the request.
        method: String,
        /// Path of the request, without the query.
        path: String,
    },
    /// The body is incomplete or not in the expected format.
    #[error("body: {0}")]
    Body(String),
    /// The body is larger than this host accepts; it was not read to its end.
    #[error("body: larger than {limit} bytes")]
    TooLarge {
        /// Largest body of a call, in bytes.
        limit: usize,
    },
    /// A field is missing or has an invalid value.
    #[error("field {field}: {reason}")]
    Field {
        /// Name of the field in the platform's format.
        field: &'static str,
        /// Description of the fault.
        reason: String,
    },
    /// The configuration was parsed but is inconsistent.
    #[error("configuration: {0}")]
    Config(#[from] gw_routing::ConfigError),
}
