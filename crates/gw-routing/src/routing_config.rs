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

/// Routes of one HTTP host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostRules {
    /// Host name in lower case, without port.
    pub host: Arc<str>,
    /// Routes in the order of the operators' configuration.
    pub routes: Vec<RouteRule>,
}

/// One complete version of the routing configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoutingConfig {
    /// Version of this configuration.
    pub version: ConfigVersion,
    /// Size limits and timeouts for callers.
    pub limits: CallerLimits,
    /// Routes by HTTP host, sorted by host name.
    pub hosts: Vec<HostRules>,
    /// Definitions of the services that routes may name, sorted by name.
    pub services: Vec<ServiceSpec>,
}

impl RoutingConfig {
    /// Sorts hosts and services by name, as lookups and [`RoutingConfig::check`] require.
    pub fn sort(&mut self) {
        self.hosts.sort_by(|a, b| a.host.cmp(&b.host));
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
    }

    /// Validates the configuration, which must be sorted, and returns the first error.
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

    /// Returns the definition of the service `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        let found = self.services.binary_search_by(|spec| spec.name.cmp(name));
        found.ok().map(|index| &self.services[index])
    }

    /// Returns the priority of the least urgent route to `service`; `None` if no route leads there.
    pub fn least_urgent_priority(&self, service: &ServiceName) -> Option<u8> {
        let routes = self.hosts.iter().flat_map(|rules| &rules.routes);
        let to_service = routes.filter(|rule| rule.shares.iter().any(|s| s.service == *service));
        to_service.map(|rule| rule.priority).max()
    }

    /// Returns the route of `host` with the longest prefix of `path`. `host` is compared without
    /// regard to case and may include a port.
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
