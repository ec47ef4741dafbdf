//! Owners of keys if zone tables conflict, and matching of requests to services.

use std::sync::Arc;

use gw_types::BootId;
use gw_types::FencingToken;
use gw_types::KeyHash;
use gw_types::KeyOverride;
use gw_types::KeySource;
use gw_types::RouteMatch;
use gw_types::RoutingTable;
use gw_types::SLOT_COUNT;
use gw_types::ServiceDefinition;
use gw_types::ServiceTable;
use gw_types::SlotRange;
use gw_types::TargetEntry;
use gw_types::TargetState;
use gw_types::TermNumber;
use gw_types::ZoneTable;

const KEY: KeyHash = KeyHash(12_345);

fn token(term: u32, counter: u32) -> FencingToken {
    FencingToken::new(TermNumber(term), counter)
}

/// Returns a table in which target `t-<zone>` owns all slots; with `key`, also an override of
/// `KEY` with this token, owned by the target if the flag is set.
fn zone_table(
    zone: &str,
    slot_token: FencingToken,
    key: Option<(FencingToken, bool)>,
) -> Arc<ZoneTable> {
    let name: gw_types::TargetName = format!("t-{zone}").parse().unwrap();
    let mut table = ZoneTable::empty(zone.parse().unwrap());
    table.targets.push(TargetEntry {
        name: name.clone(),
        service: "slips".parse().unwrap(),
        address: ([127, 0, 0, 1], 80).into(),
        boot: BootId(1),
        state: TargetState::Serving,
        work_slots: 2,
        checks_tokens: true,
        dispatcher: None,
    });
    let range =
        SlotRange { first: 0, last: SLOT_COUNT - 1, owner: Some(name.clone()), token: slot_token };
    let overrides = key.map(|(token, is_owned)| KeyOverride {
        key: KEY,
        owner: is_owned.then(|| name.clone()),
        token,
    });
    table.services.push(ServiceTable {
        service: "slips".parse().unwrap(),
        ranges: vec![range],
        overrides: overrides.into_iter().collect(),
    });
    Arc::new(table)
}

struct Case {
    name: &'static str,
    tables: Vec<Arc<ZoneTable>>,
    owner: Option<&'static str>,
    token: FencingToken,
    is_override: bool,
}

/// Guards against requests to the former owner of a slot or of an overridden key: after a slot has
/// been delegated to another zone, the table of the previous zone may still list the slot and its
/// overrides.
#[test]
fn owner_comes_from_latest_grant() {
    let cases = [
        Case {
            name: "one zone",
            tables: vec![zone_table("a", token(1, 1), None)],
            owner: Some("t-a"),
            token: token(1, 1),
            is_override: false,
        },
        Case {
            name: "the slot was delegated from a to b",
            tables: vec![zone_table("a", token(1, 9), None), zone_table("b", token(2, 1), None)],
            owner: Some("t-b"),
            token: token(2, 1),
            is_override: false,
        },
        Case {
            name: "a moved slot with a higher token than the key's",
            tables: vec![zone_table("a", token(1, 9), Some((token(1, 5), true)))],
            owner: Some("t-a"),
            token: token(1, 5),
            is_override: true,
        },
        Case {
            name: "an override of a zone that lost the slot",
            tables: vec![
                zone_table("a", token(1, 1), Some((token(1, 5), true))),
                zone_table("b", token(2, 1), None),
            ],
            owner: Some("t-b"),
            token: token(2, 1),
            is_override: false,
        },
        Case {
            name: "a key in handover",
            tables: vec![zone_table("a", token(1, 1), Some((token(1, 5), false)))],
            owner: None,
            token: token(1, 5),
            is_override: true,
        },
    ];
    let definition = Arc::new(ServiceDefinition {
        name: "slips".parse().unwrap(),
        route: RouteMatch::default(),
        key: Some(KeySource::PathSegment(0)),
        profile: "default".parse().unwrap(),
    });
    for case in cases {
        let table = RoutingTable::compile([&definition], &case.tables);
        let route = table.service("slips").unwrap().key_route(KEY);
        let owner = route.owner.map(|(_, entry)| entry.name.as_str());
        assert_eq!(owner, case.owner, "{}", case.name);
        assert_eq!(route.token, case.token, "{}", case.name);
        assert_eq!(route.is_override, case.is_override, "{}", case.name);
    }
}

/// Guards against requests that reach a service whose route does not match, for example because a
/// path prefix ends within a segment.
#[test]
fn routes_match_at_segment_boundaries() {
    struct Case {
        host: Option<&'static str>,
        prefix: Option<&'static str>,
        request: (Option<&'static str>, &'static str),
        matches: bool,
    }
    let cases = [
        Case { host: None, prefix: None, request: (None, "/"), matches: true },
        Case { host: None, prefix: Some("/a"), request: (None, "/a"), matches: true },
        Case { host: None, prefix: Some("/a"), request: (None, "/a/b"), matches: true },
        Case { host: None, prefix: Some("/a"), request: (None, "/ab"), matches: false },
        Case { host: None, prefix: Some("/a/"), request: (None, "/a/b"), matches: true },
        Case { host: Some("x"), prefix: None, request: (Some("X"), "/"), matches: true },
        Case { host: Some("x"), prefix: None, request: (Some("y"), "/"), matches: false },
        Case { host: Some("x"), prefix: None, request: (None, "/"), matches: false },
    ];
    for case in cases {
        let route = RouteMatch {
            host: case.host.map(str::to_owned),
            path_prefix: case.prefix.map(str::to_owned),
        };
        let (host, path) = case.request;
        assert_eq!(route.matches(host, path), case.matches, "{route:?} {:?}", case.request);
    }
}
