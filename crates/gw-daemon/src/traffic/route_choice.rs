use gw_types::KeyHash;
use gw_types::KeyRoute;
use gw_types::RoutingTable;
use gw_types::ServiceRoutes;
use http::HeaderMap;
use http::Uri;

use super::request_key::RequestKeyError;
use super::request_key::extract_key;

/// Result of looking up a request in the routing table.
#[derive(Clone, Copy, Debug)]
pub enum RouteChoice<'a> {
    /// No service matches the host and path.
    NoService,
    /// An unkeyed service, of which any target may be used.
    Unkeyed(&'a ServiceRoutes),
    /// A keyed service, with the hash of the request's key and the route of that key.
    Keyed(&'a ServiceRoutes, KeyHash, KeyRoute<'a>),
    /// A keyed service, but the key of the request is missing or invalid.
    InvalidKey(&'a ServiceRoutes, RequestKeyError),
}

/// Looks up the service of a request, its key, and the slot or override and the target of that key.
/// Does not lock, and allocates only for a key with `%` or `+`.
pub fn choose_route<'a>(
    table: &'a RoutingTable,
    host: Option<&str>,
    uri: &Uri,
    headers: &HeaderMap,
) -> RouteChoice<'a> {
    let Some(service) = table.service_for(host, uri.path()) else { return RouteChoice::NoService };
    let Some(source) = &service.definition.key else { return RouteChoice::Unkeyed(service) };
    match extract_key(source, uri, headers) {
        Ok(key) => RouteChoice::Keyed(service, key, service.key_route(key)),
        Err(error) => RouteChoice::InvalidKey(service, error),
    }
}
