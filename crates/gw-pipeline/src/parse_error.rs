use http::StatusCode;

/// Reason why the bytes of a connection are not a request. The connection cannot be used further,
/// since the start of the next request is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.reason())]
pub enum ParseError {
    /// The request line or a header field is malformed.
    MalformedHead,
    /// The head exceeds the limit of bytes or fields.
    HeadTooLarge,
    /// The length of the body is ambiguous: different lengths, a length beside a transfer coding, or
    /// a coding other than `chunked` (RFC 9112, section 6.3).
    AmbiguousLength,
    /// The chunks of the body are malformed.
    MalformedBody,
    /// The body exceeds the limit.
    BodyTooLarge,
}

impl ParseError {
    /// Returns the status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::MalformedHead | Self::AmbiguousLength | Self::MalformedBody => {
                StatusCode::BAD_REQUEST
            }
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }

    /// Returns the machine-readable reason.
    pub fn reason(self) -> &'static str {
        match self {
            Self::MalformedHead => "head_malformed",
            Self::HeadTooLarge => "head_too_large",
            Self::AmbiguousLength => "body_length_ambiguous",
            Self::MalformedBody => "body_malformed",
            Self::BodyTooLarge => "body_too_large",
        }
    }
}
