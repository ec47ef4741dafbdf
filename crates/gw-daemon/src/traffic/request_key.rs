use std::borrow::Cow;

use gw_types::KeyHash;
use gw_types::KeySource;
use http::HeaderMap;
use http::Uri;

/// Reason why the key of a request is missing or invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestKeyError {
    /// The request has no key, or an empty one.
    #[error("request has no key")]
    Missing,
    /// A `%` is not followed by two hexadecimal digits.
    #[error("key is not percent-encoded properly")]
    InvalidEncoding,
    /// The header occurs more than once, so a target could use another value.
    #[error("request has several keys")]
    Multiple,
}

/// Returns the hash of the request's key. Allocates only for a key with `%` or `+`.
///
/// Path segments and query parameters are percent-decoded, since `%41` and `A` identify the same
/// resource (RFC 3986, section 6.2.2.2) and must have the same owner.
pub(super) fn extract_key(
    source: &KeySource,
    uri: &Uri,
    headers: &HeaderMap,
) -> Result<KeyHash, RequestKeyError> {
    let key = match source {
        KeySource::PathSegment(position) => path_segment(uri.path(), *position)?,
        KeySource::Header(name) => Cow::Borrowed(header_value(headers, name)?),
        KeySource::QueryParameter(name) => query_parameter(uri.query().unwrap_or(""), name)?,
    };
    if key.is_empty() { Err(RequestKeyError::Missing) } else { Ok(KeyHash::of(&key)) }
}

fn path_segment(path: &str, position: u8) -> Result<Cow<'_, [u8]>, RequestKeyError> {
    let path = path.strip_prefix('/').unwrap_or(path);
    let segment = path.split('/').nth(usize::from(position));
    percent_decode(segment.ok_or(RequestKeyError::Missing)?)
}

fn header_value<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a [u8], RequestKeyError> {
    let mut values = headers.get_all(name).into_iter();
    let first = values.next().ok_or(RequestKeyError::Missing)?;
    if values.next().is_some() { Err(RequestKeyError::Multiple) } else { Ok(first.as_bytes()) }
}

fn query_parameter<'a>(query: &'a str, name: &str) -> Result<Cow<'a, [u8]>, RequestKeyError> {
    for pair in query.split('&') {
        let (found, value) = pair.split_once('=').unwrap_or((pair, ""));
        if *percent_decode(found)? == *name.as_bytes() {
            return percent_decode(value).map(plus_to_space);
        }
    }
    Err(RequestKeyError::Missing)
}

/// Replaces `+` by a space. Some targets decode `+` in a query as a space and some do not. With one
/// byte for both, a value has the same owner under either decoding; different values may share a
/// key, but no value has two.
fn plus_to_space(mut value: Cow<'_, [u8]>) -> Cow<'_, [u8]> {
    if value.contains(&b'+') {
        for byte in value.to_mut().iter_mut().filter(|byte| **byte == b'+') {
            *byte = b' ';
        }
    }
    value
}

fn percent_decode(text: &str) -> Result<Cow<'_, [u8]>, RequestKeyError> {
    if !text.contains('%') {
        return Ok(Cow::Borrowed(text.as_bytes()));
    }
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        rest = tail;
        if *first != b'%' {
            decoded.push(*first);
            continue;
        }
        let [high, low, tail @ ..] = rest else { return Err(RequestKeyError::InvalidEncoding) };
        let digit =
            |byte: u8| char::from(byte).to_digit(16).ok_or(RequestKeyError::InvalidEncoding);
        decoded.push((digit(*high)? * 16 + digit(*low)?) as u8);
        rest = tail;
    }
    Ok(Cow::Owned(decoded))
}
