use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::CallerLimits;
use crate::ConfigVersion;
use crate::HostRules;
use crate::RouteRule;
use crate::RoutingConfig;
use crate::ServiceSpec;

/// Difference between two versions of the routing configuration.
///
/// A new version usually changes a few of thousands of routes. Links with little bandwidth carry
/// the patch instead of the whole configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigPatch {
    /// Version that the patch applies to.
    pub base: ConfigVersion,
    /// Version that results from the patch.
    pub version: ConfigVersion,
    limits: CallerLimits,
    services: Vec<ServiceSpec>,
    /// Hosts of the new version, in its order.
    hosts: Vec<ListPart<HostPatch>>,
}

/// One or more consecutive entries of a patched list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum ListPart<T> {
    /// `count` entries of the old list, starting at the position `first`.
    Keep { first: u32, count: u32 },
    /// One new or changed entry.
    Put(T),
}

/// New or changed routes of one HTTP host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct HostPatch {
    host: Arc<str>,
    /// Position of the old entry that unchanged routes are copied from; `None` for a new host.
    old: Option<u32>,
    routes: Vec<ListPart<RouteRule>>,
}

impl ConfigPatch {
    /// Computes the patch that turns `old` into `new`.
    pub fn between(old: &RoutingConfig, new: &RoutingConfig) -> Self {
        let positions = positions(old.hosts.iter().map(|rules| &*rules.host));
        let mut hosts = Vec::new();
        for rules in &new.hosts {
            let position = positions.get(&*rules.host).copied();
            let known = position.map(|position| &old.hosts[position as usize]);
            match position {
                Some(position) if known == Some(rules) => keep(&mut hosts, position),
                _ => hosts.push(ListPart::Put(HostPatch::between(position, known, rules))),
            }
        }
        let (base, version) = (old.version, new.version);
        Self { base, version, limits: new.limits, services: new.services.clone(), hosts }
    }

    /// Applies the patch. Returns `None` if `old` is not the version that it was computed for.
    pub fn apply(&self, old: &RoutingConfig) -> Option<RoutingConfig> {
        if old.version != self.base {
            return None;
        }
        let hosts = expand(&old.hosts, &self.hosts, |patch| patch.apply(old))?;
        let services = self.services.clone();
        Some(RoutingConfig { version: self.version, limits: self.limits, hosts, services })
    }
}

impl HostPatch {
    fn between(old: Option<u32>, known: Option<&HostRules>, new: &HostRules) -> Self {
        let known = known.map_or(&[][..], |rules| &rules.routes);
        let positions = positions(known.iter().map(|rule| &*rule.name));
        let mut routes = Vec::new();
        for rule in &new.routes {
            let position = positions.get(&*rule.name).copied();
            match position.filter(|position| known[*position as usize] == *rule) {
                Some(position) => keep(&mut routes, position),
                None => routes.push(ListPart::Put(rule.clone())),
            }
        }
        Self { host: new.host.clone(), old, routes }
    }

    fn apply(&self, old: &RoutingConfig) -> Option<HostRules> {
        let known = match self.old {
            Some(position) => &old.hosts.get(position as usize)?.routes[..],
            None => &[],
        };
        let routes = expand(known, &self.routes, |rule| Some(rule.clone()))?;
        Some(HostRules { host: self.host.clone(), routes })
    }
}

/// Returns the position of each name; the last one for duplicate names.
fn positions<'a>(names: impl Iterator<Item = &'a str>) -> HashMap<&'a str, u32> {
    names.zip(0..).collect()
}

fn keep<T>(parts: &mut Vec<ListPart<T>>, position: u32) {
    match parts.last_mut() {
        Some(ListPart::Keep { first, count }) if *first + *count == position => *count += 1,
        _ => parts.push(ListPart::Keep { first: position, count: 1 }),
    }
}

/// Builds the new list. Returns `None` if a part refers to an entry that `old` does not have.
fn expand<T: Clone, P>(
    old: &[T],
    parts: &[ListPart<P>],
    build: impl Fn(&P) -> Option<T>,
) -> Option<Vec<T>> {
    let mut new = Vec::new();
    for part in parts {
        match part {
            ListPart::Keep { first, count } => {
                let end = first.checked_add(*count)?;
                new.extend_from_slice(old.get(*first as usize..end as usize)?);
            }
            ListPart::Put(other) => new.push(build(other)?),
        }
    }
    Some(new)
}
