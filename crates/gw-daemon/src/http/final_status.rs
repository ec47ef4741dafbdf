use http::StatusCode;

/// Returns whether a status ends a request that asked for no other protocol.
///
/// A target that switches protocols unasked (101) sends no answer that could be forwarded. Statuses from
/// 600 to 999 are invalid (RFC 9110, section 15), although they can be parsed.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
