use http::HeaderMap;
use http::HeaderName;
use http::header;

use super::INTERNAL_PREFIX;

/// Hop-by-hop fields, in addition to those listed in `Connection`.
const HOP_BY_HOP_FIELDS: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the hop-by-hop fields (RFC 9110, section 7.6.1), including `Trailer`, since trailers are
/// not forwarded.
pub fn remove_hop_fields(headers: &mut HeaderMap) {
    if headers.contains_key(header::CONNECTION) {
        for name in connection_options(headers) {
            headers.remove(name);
        }
    }
    for name in &HOP_BY_HOP_FIELDS {
        headers.remove(name);
    }
}

/// Returns the fields that `Connection` lists. `Host` and `Content-Length` are end-to-end fields
/// and left out: removing them would change the forwarded message.
fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).into_iter();
    let tokens = values.filter_map(|value| value.to_str().ok()).flat_map(|value| value.split(','));
    let names = tokens.filter_map(|token| HeaderName::from_bytes(token.trim().as_bytes()).ok());
    names.filter(|name| name != header::HOST && name != header::CONTENT_LENGTH).collect()
}

/// Removes the fields that only hosts may set.
pub(crate) fn remove_internal_fields(headers: &mut HeaderMap) {
    let is_internal = |name: &&HeaderName| name.as_str().starts_with(INTERNAL_PREFIX);
    while let Some(name) = headers.keys().find(is_internal).cloned() {
        headers.remove(name);
    }
}
