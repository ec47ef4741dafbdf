use std::sync::Arc;
use std::time::Duration;

use gw_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use crate::CallerLimits;
use crate::ConfigError;
use crate::ConfigVersion;
use crate::RouteRule;
use crate::ServiceSpec;

/// The routes of one host name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostRules {
    /// Host name in lower case, without port.
    pub host: Arc<str>,
    /// The routes, in the operators' order.
    pub routes: Vec<RouteRule>,
}

/// One complete version of the routing configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoutingConfig {
    /// The version.
    pub version: ConfigVersion,
    /// Bounds for callers.
    pub limits: CallerLimits,
    /// Routes by host name.
    pub hosts: Vec<HostRules>,
    /// The services that routes may name.
    pub services: Vec<ServiceSpec>,
}

impl RoutingConfig {
    /// Sorts hosts and services by name, for lookups.
    pub fn sort(&mut self) {
        self.hosts.sort_by(|a, b| a.host.cmp(&b.host));
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
    }

    /// Checks what the types alone do not guarantee. Expects a sorted configuration.
    pub fn check(&self) -> Result<(), ConfigError> {
        if let Some(index) = self.hosts.iter().position(|rules| rules.host.is_empty()) {
            return Err(ConfigError::EmptyHost { index });
        }
        let mut pairs = self.services.windows(2);
        if let Some(pair) = pairs.find(|pair| pair[0].name == pair[1].name) {
            return Err(ConfigError::DuplicateService { service: pair[0].name.clone() });
        }
        self.hosts.iter().flat_map(|rules| &rules.routes).try_for_each(|rule| self.check_rule(rule))
    }

    fn check_rule(&self, rule: &RouteRule) -> Result<(), ConfigError> {
        let route = || rule.name.to_string();
        if !rule.path_prefix.starts_with('/') {
            let prefix = rule.path_prefix.to_string();
            return Err(ConfigError::InvalidPrefix { route: route(), prefix });
        }
        if rule.timeout == Some(Duration::ZERO) {
            return Err(ConfigError::ZeroTimeout { route: route() });
        }
        if rule.max_attempts == 0 {
            return Err(ConfigError::ZeroAttempts { route: route() });
        }
        if rule.shares.is_empty() {
            return Err(ConfigError::NoService { route: route() });
        }
        for share in &rule.shares {
            let (service, weight) = (share.service.clone(), share.weight);
            if self.service(&service).is_none() {
                return Err(ConfigError::UnknownService { route: route(), service });
            }
            if !weight.is_finite() || weight < 0.0 {
                return Err(ConfigError::InvalidWeight { route: route(), service, weight });
            }
        }
        if rule.shares.iter().all(|share| share.weight == 0.0) {
            return Err(ConfigError::ZeroWeight { route: route() });
        }
        Ok(())
    }

    /// The definition of `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        let found = self.services.binary_search_by(|spec| spec.name.cmp(name));
        found.ok().map(|index| &self.services[index])
    }

    /// The priority of the least urgent routes to `service`.
    pub fn least_urgent_priority(&self, service: &ServiceName) -> Option<u8> {
        let routes = self.hosts.iter().flat_map(|rules| &rules.routes);
        let to_service = routes.filter(|rule| rule.shares.iter().any(|s| s.service == *service));
        to_service.map(|rule| rule.priority).max()
    }

    /// The route with the longest prefix that begins `path`. `host` may carry a port.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let first = self.hosts.partition_point(|rules| *rules.host < *name);
        let named = self.hosts[first..].iter().take_while(|rules| *rules.host == *name);
        named
            .flat_map(|rules| &rules.routes)
            .filter(|rule| path.starts_with(&*rule.path_prefix))
            .max_by_key(|rule| rule.path_prefix.len())
    }
}
