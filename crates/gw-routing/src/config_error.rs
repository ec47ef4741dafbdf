use gw_types::ServiceName;

/// Why a configuration is refused.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// A host without a name.
    #[error("hosts[{index}]: the name is empty")]
    EmptyHost {
        /// Position of the host in the configuration.
        index: usize,
    },
    /// A prefix that cannot match a path.
    #[error("route {route:?}: path prefix {prefix:?} does not begin with a slash")]
    InvalidPrefix {
        /// The route's name.
        route: String,
        /// The prefix.
        prefix: String,
    },
    /// A route without a service.
    #[error("route {route:?}: names no service")]
    NoService {
        /// The route's name.
        route: String,
    },
    /// A route to a service that the configuration does not define.
    #[error("route {route:?}: service {service} is not defined")]
    UnknownService {
        /// The route's name.
        route: String,
        /// The service.
        service: ServiceName,
    },
    /// A weight that is not a share.
    #[error("route {route:?}: weight {weight} of service {service} is not a number of at least 0")]
    InvalidWeight {
        /// The route's name.
        route: String,
        /// The service.
        service: ServiceName,
        /// The weight.
        weight: f64,
    },
    /// A split whose weights add up to nothing.
    #[error("route {route:?}: the weights add up to 0")]
    ZeroWeight {
        /// The route's name.
        route: String,
    },
    /// A timeout in which no request can be answered.
    #[error("route {route:?}: the timeout is 0")]
    ZeroTimeout {
        /// The route's name.
        route: String,
    },
    /// A route whose requests may not be sent to any target.
    #[error("route {route:?}: allows no attempt")]
    ZeroAttempts {
        /// The route's name.
        route: String,
    },
    /// A service that is defined more than once.
    #[error("service {service} is defined twice")]
    DuplicateService {
        /// The service.
        service: ServiceName,
    },
}
