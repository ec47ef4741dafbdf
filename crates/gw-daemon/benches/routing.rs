//! Duration of a routing decision and of reading the clock.
#![allow(missing_docs)]

use std::hint::black_box;
use std::sync::Arc;

use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use gw_daemon::BootClock;
use gw_daemon::RouteChoice;
use gw_daemon::choose_route;
use gw_types::BootId;
use gw_types::Clock;
use gw_types::FencingToken;
use gw_types::HostId;
use gw_types::KeyHash;
use gw_types::KeyOverride;
use gw_types::KeySource;
use gw_types::MAX_OVERRIDES;
use gw_types::ProfileName;
use gw_types::RouteMatch;
use gw_types::RoutingTable;
use gw_types::ServiceDefinition;
use gw_types::ServiceName;
use gw_types::ServiceTable;
use gw_types::SlotRange;
use gw_types::TargetEntry;
use gw_types::TargetName;
use gw_types::TargetState;
use gw_types::TermNumber;
use gw_types::ZoneName;
use gw_types::ZoneTable;
use http::HeaderMap;
use http::Uri;

const SERVICES: usize = 10;
const TARGETS: usize = 16;

fn definition(number: usize, key: KeySource) -> Arc<ServiceDefinition> {
    Arc::new(ServiceDefinition {
        name: ServiceName::new(format!("service-{number}")).unwrap(),
        route: RouteMatch { host: None, path_prefix: Some(format!("/service-{number}")) },
        key: Some(key),
        profile: ProfileName::new("default").unwrap(),
    })
}

fn target(number: usize) -> TargetEntry {
    TargetEntry {
        name: TargetName::new(format!("target-{number:03}")).unwrap(),
        service: ServiceName::new("service-0").unwrap(),
        address: ([10, 0, 0, 1], 80).into(),
        boot: BootId(1),
        state: TargetState::Serving,
        work_slots: 2,
        checks_tokens: true,
        dispatcher: Some(HostId(1)),
    }
}

fn table(key: &KeySource) -> RoutingTable {
    let definitions: Vec<_> = (0..SERVICES).map(|number| definition(number, key.clone())).collect();
    let mut zone = ZoneTable::empty(ZoneName::new("z").unwrap());
    zone.targets = (0..TARGETS).map(target).collect();
    let token = FencingToken::new(TermNumber(1), 1);
    let range = |number: u16| SlotRange {
        first: number * 1_024,
        last: number * 1_024 + 1_023,
        owner: Some(target(usize::from(number)).name),
        token,
    };
    let owner = Some(target(0).name);
    let key_override = |number: usize| KeyOverride {
        key: KeyHash::of(&number.to_le_bytes()),
        owner: owner.clone(),
        token,
    };
    let mut overrides: Vec<_> = (0..MAX_OVERRIDES).map(key_override).collect();
    overrides.sort_by_key(|entry| entry.key);
    let service = definitions[0].name.clone();
    let ranges = (0..TARGETS as u16).map(range).collect();
    zone.services = vec![ServiceTable { service, ranges, overrides }];
    RoutingTable::compile(&definitions, &[Arc::new(zone)])
}

fn routing(criterion: &mut Criterion) {
    let query = KeySource::QueryParameter("key".to_owned());
    let cases = [
        ("path_segment", KeySource::PathSegment(1), "/service-0/slip-12345678/image"),
        ("query_parameter", query, "/service-0?a=1&key=12345678"),
        ("header", KeySource::Header("x-key".to_owned()), "/service-0/x"),
    ];
    let mut headers = HeaderMap::new();
    for (name, value) in [("host", "x"), ("accept", "*/*"), ("x-key", "slip-12345678")] {
        headers.insert(name, value.parse().unwrap());
    }
    for (name, key, uri) in cases {
        let table = table(&key);
        let uri: Uri = uri.parse().unwrap();
        let decide = || {
            let choice = choose_route(&table, Some("x"), black_box(&uri), &headers);
            matches!(choice, RouteChoice::Keyed(_, _, route) if route.owner.is_some())
        };
        assert!(decide());
        criterion.bench_function(name, |bencher| bencher.iter(decide));
    }
}

/// Reading the clock matters because it happens several times for each request.
fn clock(criterion: &mut Criterion) {
    criterion.bench_function("boot_clock", |bencher| bencher.iter(|| BootClock.now()));
}

criterion_group!(benches, routing, clock);
criterion_main!(benches);
