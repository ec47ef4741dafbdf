//! Routing configuration: routes, services, weighted splits and caller limits.
//!
//! A [`RoutingConfig`] is one complete version of the operators' configuration. The highest version
//! wins, and a version is in force as a whole or not at all. [`RoutingConfig::check`] rejects
//! invalid configurations, [`RoutingConfig::find_route`] selects the route of a request, and
//! [`WeightedRoundRobin`] distributes the requests of a route over its services. [`ConfigPatch`]
//! is the difference between two versions.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod caller_limits;
mod config_error;
mod config_patch;
mod config_version;
mod route_rule;
mod routing_config;
mod service_spec;
mod weighted_round_robin;

pub use caller_limits::CallerLimits;
pub use config_error::ConfigError;
pub use config_patch::ConfigPatch;
pub use config_version::ConfigVersion;
pub use route_rule::RepeatRule;
pub use route_rule::RouteRule;
pub use route_rule::ServiceShare;
pub use routing_config::HostRules;
pub use routing_config::RoutingConfig;
pub use service_spec::ServiceSpec;
pub use weighted_round_robin::WeightedRoundRobin;
