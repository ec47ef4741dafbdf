//! Patches between two versions of the routing configuration.

use std::sync::Arc;
use std::time::Duration;

use gw_routing::CallerLimits;
use gw_routing::ConfigPatch;
use gw_routing::ConfigVersion;
use gw_routing::HostRules;
use gw_routing::RepeatRule;
use gw_routing::RouteRule;
use gw_routing::RoutingConfig;
use gw_routing::ServiceShare;
use gw_routing::ServiceSpec;
use gw_types::ServiceName;

fn rule(name: &str, weight: f64) -> RouteRule {
    RouteRule {
        name: Arc::from(name),
        path_prefix: Arc::from(format!("/{name}/")),
        repeat: RepeatRule::Idempotent,
        objective: Duration::from_millis(400),
        priority: 1,
        timeout: Some(Duration::from_secs(2)),
        max_attempts: 2,
        shares: vec![ServiceShare { service: service(), weight }],
    }
}

fn service() -> ServiceName {
    ServiceName::new("slips").expect("a valid name")
}

fn config(version: u64, hosts: &[(&str, Vec<RouteRule>)]) -> RoutingConfig {
    let rules = |(host, routes): &(&str, Vec<RouteRule>)| HostRules {
        host: Arc::from(*host),
        routes: routes.clone(),
    };
    let spec = ServiceSpec {
        name: service(),
        is_keyed: true,
        max_connections: 110,
        warm_up: Duration::from_secs(2),
    };
    RoutingConfig {
        version: ConfigVersion(version),
        limits: CallerLimits::default(),
        hosts: hosts.iter().map(rules).collect(),
        services: vec![spec],
    }
}

fn many(count: usize) -> Vec<RouteRule> {
    (0..count).map(|number| rule(&format!("r{number}"), 1.0)).collect()
}

struct PatchCase {
    name: &'static str,
    old: Vec<(&'static str, Vec<RouteRule>)>,
    new: Vec<(&'static str, Vec<RouteRule>)>,
    /// Largest encoded size of the patch, in bytes.
    max_bytes: usize,
}

/// Guards against patches that do not reproduce the new configuration, and against patches as large
/// as the configuration. With thousands of routes, each change would fill links of a few Mbit/s for
/// seconds.
#[test]
fn a_patch_yields_the_new_version_and_is_small() {
    let mut changed = many(1_500);
    changed[700] = rule("r700", 2.0);
    let mut shorter = many(1_500);
    shorter.drain(100..300);
    shorter.reverse();
    shorter.truncate(10);
    let cases = [
        PatchCase {
            name: "only the version changes",
            old: vec![("a", many(1_500)), ("b", many(3))],
            new: vec![("a", many(1_500)), ("b", many(3))],
            max_bytes: 200,
        },
        PatchCase {
            name: "one route of 1500 changes",
            old: vec![("a", many(1_500)), ("b", many(3))],
            new: vec![("a", changed), ("b", many(3))],
            max_bytes: 300,
        },
        PatchCase {
            name: "routes are removed and reordered",
            old: vec![("a", many(1_500))],
            new: vec![("a", shorter)],
            max_bytes: 300,
        },
        PatchCase {
            name: "hosts are added and removed",
            old: vec![("a", many(4)), ("c", many(1_000))],
            new: vec![("b", many(2)), ("c", many(1_000)), ("d", many(1))],
            max_bytes: 600,
        },
        PatchCase {
            name: "duplicate host and route names",
            old: vec![("a", vec![rule("r", 1.0), rule("r", 2.0)]), ("a", many(2))],
            new: vec![("a", many(2)), ("a", vec![rule("r", 2.0), rule("r", 1.0)])],
            max_bytes: 600,
        },
        PatchCase {
            name: "first configuration",
            old: vec![],
            new: vec![("a", many(2))],
            max_bytes: 400,
        },
    ];
    for case in cases {
        let (old, new) = (config(7, &case.old), config(9, &case.new));
        let patch = ConfigPatch::between(&old, &new);
        assert_eq!(patch.apply(&old).as_ref(), Some(&new), "{}", case.name);
        assert_eq!(
            patch.apply(&config(8, &case.old)),
            None,
            "{}: different base version",
            case.name
        );
        let bytes = postcard::to_stdvec(&patch).expect("an encoded patch").len();
        assert!(bytes <= case.max_bytes, "{}: {bytes} bytes", case.name);
    }
}
