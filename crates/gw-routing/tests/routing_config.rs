//! Validation, route lookup and weighted distribution of requests.

use std::sync::Arc;
use std::time::Duration;

use gw_routing::CallerLimits;
use gw_routing::ConfigError;
use gw_routing::ConfigVersion;
use gw_routing::HostRules;
use gw_routing::RepeatRule;
use gw_routing::RouteRule;
use gw_routing::RoutingConfig;
use gw_routing::ServiceShare;
use gw_routing::ServiceSpec;
use gw_routing::WeightedRoundRobin;
use gw_types::ServiceName;

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).expect("a valid name")
}

fn spec(name: &str) -> ServiceSpec {
    let warm_up = Duration::ZERO;
    ServiceSpec { name: service(name), is_keyed: false, max_connections: 100, warm_up }
}

fn rule(prefix: &str, shares: &[(&str, f64)]) -> RouteRule {
    let share = |&(name, weight): &(&str, f64)| ServiceShare { service: service(name), weight };
    RouteRule {
        name: Arc::from(prefix),
        path_prefix: Arc::from(prefix),
        repeat: RepeatRule::Idempotent,
        objective: Duration::from_millis(400),
        priority: 1,
        timeout: None,
        max_attempts: 2,
        shares: shares.iter().map(share).collect(),
    }
}

fn config(host: &str, routes: Vec<RouteRule>) -> RoutingConfig {
    let mut config = RoutingConfig {
        version: ConfigVersion(1),
        limits: CallerLimits::default(),
        hosts: vec![HostRules { host: Arc::from(host), routes }],
        services: vec![spec("slips"), spec("notes")],
    };
    config.sort();
    config
}

struct CheckCase {
    name: &'static str,
    config: RoutingConfig,
    is_expected: fn(&ConfigError) -> bool,
}

/// Guards against accepting an invalid configuration.
#[test]
fn invalid_configurations_are_rejected() {
    let good = || rule("/a/", &[("slips", 1.0)]);
    let mut duplicate = config("a.example", Vec::new());
    duplicate.services.push(spec("slips"));
    let cases = [
        CheckCase {
            name: "unknown service",
            config: config("a.example", vec![rule("/a/", &[("missing", 1.0)])]),
            is_expected: |error| matches!(error, ConfigError::UnknownService { .. }),
        },
        CheckCase {
            name: "empty host",
            config: config("", vec![rule("/a/", &[("slips", 1.0)])]),
            is_expected: |error| matches!(error, ConfigError::EmptyHost { index: 0 }),
        },
        CheckCase {
            name: "prefix without slash",
            config: config("a.example", vec![rule("a/", &[("slips", 1.0)])]),
            is_expected: |error| matches!(error, ConfigError::InvalidPrefix { .. }),
        },
        CheckCase {
            name: "negative weight",
            config: config("a.example", vec![rule("/a/", &[("slips", -1.0)])]),
            is_expected: |error| matches!(error, ConfigError::InvalidWeight { .. }),
        },
        CheckCase {
            name: "weight that is not a number",
            config: config("a.example", vec![rule("/a/", &[("slips", f64::NAN)])]),
            is_expected: |error| matches!(error, ConfigError::InvalidWeight { .. }),
        },
        CheckCase {
            name: "weights that add up to 0",
            config: config("a.example", vec![rule("/a/", &[("slips", 0.0)])]),
            is_expected: |error| matches!(error, ConfigError::ZeroWeight { .. }),
        },
        CheckCase {
            name: "timeout of 0",
            config: config(
                "a.example",
                vec![RouteRule { timeout: Some(Duration::ZERO), ..good() }],
            ),
            is_expected: |error| matches!(error, ConfigError::ZeroTimeout { .. }),
        },
        CheckCase {
            name: "no attempts",
            config: config("a.example", vec![RouteRule { max_attempts: 0, ..good() }]),
            is_expected: |error| matches!(error, ConfigError::ZeroAttempts { .. }),
        },
        CheckCase {
            name: "no service",
            config: config("a.example", vec![rule("/a/", &[])]),
            is_expected: |error| matches!(error, ConfigError::NoService { .. }),
        },
        CheckCase {
            name: "service defined twice",
            config: {
                duplicate.sort();
                duplicate
            },
            is_expected: |error| matches!(error, ConfigError::DuplicateService { .. }),
        },
    ];
    for case in cases {
        let error = case.config.check().expect_err(case.name);
        assert!((case.is_expected)(&error), "{}: {error}", case.name);
    }
    let good = config("a.example", vec![rule("/a/", &[("slips", 1.0), ("notes", 0.0)])]);
    assert_eq!(good.check(), Ok(()));
}

struct LookupCase {
    host: &'static str,
    path: &'static str,
    found: Option<&'static str>,
}

/// Guards against a request that is routed by the rule of another path or host.
#[test]
fn longest_prefix_of_the_host_wins() {
    let shares = [("slips", 1.0)];
    let routes = vec![rule("/a/", &shares), rule("/a/b/", &shares), rule("/c/", &shares)];
    let config = config("a.example", routes);
    let cases = [
        LookupCase { host: "a.example", path: "/a/x", found: Some("/a/") },
        LookupCase { host: "A.Example:8080", path: "/a/b/x", found: Some("/a/b/") },
        LookupCase { host: "a.example", path: "/a", found: None },
        LookupCase { host: "a.example", path: "/ab/", found: None },
        LookupCase { host: "b.example", path: "/a/x", found: None },
    ];
    for case in cases {
        let found = config.find_route(case.host, case.path).map(|rule| &*rule.path_prefix);
        assert_eq!(found, case.found, "{} {}", case.host, case.path);
    }
}

/// Guards against a distribution that deviates from the weights, even over few requests, or when their
/// sum exceeds the range of numbers.
#[test]
fn requests_are_distributed_by_weight() {
    for weights in [(90.0, 10.0), (f64::MAX, f64::MAX / 9.0)] {
        let rule = rule("/a/", &[("slips", weights.0), ("notes", weights.1)]);
        let mut round_robin = WeightedRoundRobin::default();
        let mut notes = 0_u32;
        for count in 1..=200_u32 {
            notes += u32::from(round_robin.next(&rule) == Some(&service("notes")));
            let share = f64::from(count) * 0.1;
            assert!((f64::from(notes) - share).abs() <= 1.0, "{weights:?}: {notes} of {count}");
        }
        assert_eq!(notes, 20, "{weights:?}");
    }
}
