use gw_types::ServiceName;

/// Reason for which a configuration is rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// A host has an empty name.
    #[error("hosts[{index}]: the name is empty")]
    EmptyHost {
        /// Position of the host in the sorted configuration, from 0.
        index: usize,
    },
    /// A path prefix does not begin with a slash, so it cannot match any path.
    #[error("route {route:?}: path prefix {prefix:?} does not begin with a slash")]
    InvalidPrefix {
        /// Name of the route.
        route: String,
        /// Rejected path prefix.
        prefix: String,
    },
    /// A route has no services.
    #[error("route {route:?}: names no service")]
    NoService {
        /// Name of the route.
        route: String,
    },
    /// A route names a service that the configuration does not define.
    #[error("route {route:?}: service {service} is not defined")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Undefined service.
        service: ServiceName,
    },
    /// A weight is negative, infinite or not a number.
    #[error("route {route:?}: weight {weight} of service {service} is not a number of at least 0")]
    InvalidWeight {
        /// Name of the route.
        route: String,
        /// Service that the weight belongs to.
        service: ServiceName,
        /// Rejected weight.
        weight: f64,
    },
    /// The weights of a route add up to 0.
    #[error("route {route:?}: the weights add up to 0")]
    ZeroWeight {
        /// Name of the route.
        route: String,
    },
    /// A route's timeout is 0, so no request could be answered in time.
    #[error("route {route:?}: the timeout is 0")]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// A route allows no attempts, so its requests could not be sent to any target.
    #[error("route {route:?}: allows no attempt")]
    ZeroAttempts {
        /// Name of the route.
        route: String,
    },
    /// A service is defined more than once.
    #[error("service {service} is defined twice")]
    DuplicateService {
        /// Service with several definitions.
        service: ServiceName,
    },
}
