use std::fmt;
use std::fmt::Write;

/// Longest description of an error, in bytes; enough to name the fault and its place.
const MAX_DESCRIPTION_BYTES: usize = 512;

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

impl CallError {
    /// Creates the error for a body that is not in the expected format. Of the cause, which may quote
    /// what the caller has sent, only the start is kept.
    pub fn from_body(cause: impl fmt::Display) -> Self {
        Self::Body(describe(cause))
    }

    /// Creates the error for a field with an invalid value. Of the reason only the start is kept.
    pub fn from_field(field: &'static str, reason: impl fmt::Display) -> Self {
        Self::Field { field, reason: describe(reason) }
    }

    /// Returns the start of the description, for answers and the log: it may quote what the caller has
    /// sent, which may be as large as the body of a call.
    pub fn description(&self) -> String {
        describe(self)
    }
}

/// Formats at most [`MAX_DESCRIPTION_BYTES`] of `text`, without memory for the rest.
fn describe(text: impl fmt::Display) -> String {
    let mut start = TextStart(String::new());
    // The only error is that of a full text.
    if write!(start, "{text}").is_err() {
        start.0.push_str("...");
    }
    start.0
}

/// Text that ends at [`MAX_DESCRIPTION_BYTES`].
struct TextStart(String);

impl fmt::Write for TextStart {
    fn write_str(&mut self, part: &str) -> fmt::Result {
        let end = part.floor_char_boundary(MAX_DESCRIPTION_BYTES - self.0.len());
        self.0.push_str(&part[..end]);
        if end < part.len() { Err(fmt::Error) } else { Ok(()) }
    }
}
