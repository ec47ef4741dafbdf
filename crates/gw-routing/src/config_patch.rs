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

/// What a newer version of the routing configuration changes in an older one.
///
/// A new version mostly changes a few of thousands of routes. Small links carry the change in place
/// of all routes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigPatch {
    /// The version that is changed.
    pub base: ConfigVersion,
    /// The version that comes out.
    pub version: ConfigVersion,
    limits: CallerLimits,
    services: Vec<ServiceSpec>,
    /// The new version's host names, in its order.
    hosts: Vec<ListPart<HostPatch>>,
}

/// The next entries of a list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum ListPart<T> {
    /// Entries of the old list.
    Keep { first: u32, count: u32 },
    /// One other entry.
    Put(T),
}

/// The routes of a host name that differ from the old ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct HostPatch {
    host: Arc<str>,
    /// Place of the old entry whose routes are kept; `None` if there is none.
    old: Option<u32>,
    routes: Vec<ListPart<RouteRule>>,
}

impl ConfigPatch {
    /// What changes `old` into `new`.
    pub fn between(old: &RoutingConfig, new: &RoutingConfig) -> Self {
        let places = places(old.hosts.iter().map(|rules| &*rules.host));
        let mut hosts = Vec::new();
        for rules in &new.hosts {
            let place = places.get(&*rules.host).copied();
            let known = place.map(|place| &old.hosts[place as usize]);
            match place {
                Some(place) if known == Some(rules) => keep(&mut hosts, place),
                _ => hosts.push(ListPart::Put(HostPatch::between(place, known, rules))),
            }
        }
        let (base, version) = (old.version, new.version);
        Self { base, version, limits: new.limits, services: new.services.clone(), hosts }
    }

    /// The newer configuration. `None` if `old` is not the version that the patch was made for.
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
        let places = places(known.iter().map(|rule| &*rule.name));
        let mut routes = Vec::new();
        for rule in &new.routes {
            let place = places.get(&*rule.name).copied();
            match place.filter(|place| known[*place as usize] == *rule) {
                Some(place) => keep(&mut routes, place),
                None => routes.push(ListPart::Put(rule.clone())),
            }
        }
        Self { host: new.host.clone(), old, routes }
    }

    fn apply(&self, old: &RoutingConfig) -> Option<HostRules> {
        let known = match self.old {
            Some(place) => &old.hosts.get(place as usize)?.routes[..],
            None => &[],
        };
        let routes = expand(known, &self.routes, |rule| Some(rule.clone()))?;
        Some(HostRules { host: self.host.clone(), routes })
    }
}

/// The place of each name; of several with one name, the last.
fn places<'a>(names: impl Iterator<Item = &'a str>) -> HashMap<&'a str, u32> {
    names.zip(0..).collect()
}

fn keep<T>(parts: &mut Vec<ListPart<T>>, place: u32) {
    match parts.last_mut() {
        Some(ListPart::Keep { first, count }) if *first + *count == place => *count += 1,
        _ => parts.push(ListPart::Keep { first: place, count: 1 }),
    }
}

/// The new list. `None` if a part names an entry that `old` does not have.
fn expand<T: Clone, P>(
    old: &[T],
    parts: &[ListPart<P>],
    put: impl Fn(&P) -> Option<T>,
) -> Option<Vec<T>> {
    let mut new = Vec::new();
    for part in parts {
        match part {
            ListPart::Keep { first, count } => {
                let end = first.checked_add(*count)?;
                new.extend_from_slice(old.get(*first as usize..end as usize)?);
            }
            ListPart::Put(other) => new.push(put(other)?),
        }
    }
    Some(new)
}
