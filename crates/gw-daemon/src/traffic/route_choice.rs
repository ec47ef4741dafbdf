use gw_types::KeyHash;
use gw_types::KeyRoute;
use gw_types::RoutingTable;
use gw_types::ServiceRoutes;
use http::HeaderMap;
use http::Uri;

use super::request_key::RequestKeyError;
use super::request_key::extract_key;

/// Where a request goes by the routing table.
#[derive(Clone, Copy, Debug)]
pub enum RouteChoice<'a> {
    /// No service has the route.
    NoService,
    /// A service that is not divided by key: any of its targets.
    Unkeyed(&'a ServiceRoutes),
    /// The owner of the request's key.
    Keyed(&'a ServiceRoutes, KeyHash, KeyRoute<'a>),
    /// The service is keyed, but the request has no usable key.
    InvalidKey(&'a ServiceRoutes, RequestKeyError),
}

/// Looks a request up: route, service, key, slot or override, target. Does not lock, and allocates
/// only for a key with `%` or `+`.
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
