use http::HeaderMap;
use http::StatusCode;
use http::header;

use super::json_reply::ApiError;

/// Returns the token of an `Authorization: Bearer` header (RFC 6750, section 2.1).
pub(super) fn bearer_token(headers: &HeaderMap) -> Result<&str, ApiError> {
    let missing = || (StatusCode::UNAUTHORIZED, "a bearer token is required".to_owned());
    let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let (scheme, token) = value.and_then(|value| value.split_once(' ')).ok_or_else(missing)?;
    if scheme.eq_ignore_ascii_case("bearer") { Ok(token.trim()) } else { Err(missing()) }
}

/// Compares two tokens in constant time, which `blake3::Hash` guarantees for its comparison.
pub(super) fn is_same_token(given: &str, expected: &str) -> bool {
    blake3::hash(given.as_bytes()) == blake3::hash(expected.as_bytes())
}
