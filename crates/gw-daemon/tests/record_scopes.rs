//! Choice of the hosts that hold a record.

use std::time::Duration;

use gw_daemon::records::RecordGroups;
use gw_daemon::records::RecordScopes;
use gw_daemon::records::ScopeRange;
use gw_daemon::records::ServiceScope;
use gw_dispatch::RecordKey;
use gw_profile::RecordCopies;
use gw_types::FencingToken;
use gw_types::HostEntry;
use gw_types::HostId;
use gw_types::HostName;
use gw_types::ServiceName;
use gw_types::SlotIndex;
use gw_types::TermNumber;
use gw_types::Timestamp;
use gw_types::ZoneName;

const RETENTION: Duration = Duration::from_secs(600);

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).unwrap()
}

/// Returns the groups of hosts 0 to 7, two in each of the zones `a` to `d`.
fn groups() -> RecordGroups {
    let entry = |id: u16| HostEntry {
        id: HostId(id),
        name: HostName::new(format!("h{id}")).unwrap(),
        zone: zone(["a", "b", "c", "d"][usize::from(id) / 2]),
        peers: ([127, 0, 0, 1], 1).into(),
        forwards: Some(([127, 0, 0, 1], 2).into()),
        control: false,
    };
    RecordGroups::new(&(0..8).map(entry).collect::<Vec<_>>())
}

/// Guards against region groups that lose their majority with one zone, and against zone groups
/// that omit hosts of the zone, which could then not serve its keys while it is partitioned.
#[test]
fn groups_tolerate_the_loss_that_the_profile_names() {
    let groups = groups();
    for key in (0..500).map(RecordKey) {
        let mut zones: Vec<_> = groups.of_region(key).iter().map(|host| host.0 / 2).collect();
        zones.sort();
        zones.dedup();
        assert_eq!(zones.len(), 3, "{key:?}");
        let of_zone = groups.of_zone(&zone("b"), key);
        assert_eq!(of_zone.len(), 3);
        assert!(of_zone.contains(&HostId(2)) && of_zone.contains(&HostId(3)), "{key:?}");
    }
}

/// Guards against a claim that asks only the current holders after the slot or the profile has
/// changed, and so misses a record at the earlier holders.
#[test]
fn recent_changes_need_the_earlier_holders_too() {
    struct Case {
        name: &'static str,
        copies: RecordCopies,
        copies_age_s: u64,
        range_age_s: u64,
        token_term: u32,
        /// Zones whose groups are needed, and whether the region group is needed.
        expected: Option<(&'static [&'static str], bool)>,
    }
    use RecordCopies::Region;
    use RecordCopies::Zone;
    let case = |name, copies, copies_age_s, range_age_s, token_term, expected| Case {
        name,
        copies,
        copies_age_s,
        range_age_s,
        token_term,
        expected,
    };
    let cases = [
        case("settled", Zone, 700, 700, 5, Some((&["a"], false))),
        case("slot has moved", Zone, 700, 10, 5, Some((&["a", "c"], false))),
        case("profile has changed", Zone, 10, 700, 5, Some((&["a"], true))),
        case("both", Zone, 10, 10, 5, Some((&["a", "c"], true))),
        case("region", Region, 700, 10, 5, Some((&[], true))),
        case("region since a moment", Region, 10, 10, 5, Some((&["a", "c"], true))),
        case("grant unknown to the control log", Zone, 700, 700, 6, None),
    ];
    let (groups, key) = (groups(), RecordKey(77));
    let now = Timestamp::default() + Duration::from_secs(1_000);
    let service = ServiceName::new("matarlas").unwrap();
    for case in cases {
        let since = |age_s| now - Duration::from_secs(age_s);
        let range =
            ScopeRange { first: 0, last: 16_383, zone: zone("a"), since: since(case.range_age_s) };
        let scope = ServiceScope {
            service: service.clone(),
            copies: case.copies,
            copies_since: since(case.copies_age_s),
            ranges: vec![range],
            earlier_zones: vec![zone("c")],
        };
        let scopes = RecordScopes { last_term: TermNumber(5), services: vec![scope] };
        let grant = Some((SlotIndex(9), FencingToken::new(TermNumber(case.token_term), 1)));
        let found = scopes.groups(now, RETENTION, &groups, &service, key, grant);
        let expected = case.expected.map(|(zones, is_region)| {
            let of_zones = zones.iter().map(|name| groups.of_zone(&zone(name), key));
            let region = is_region.then(|| groups.of_region(key));
            let mut needed: Vec<_> = of_zones.chain(region).collect();
            needed.iter_mut().for_each(|group| group.sort());
            needed.sort();
            needed.dedup();
            needed
        });
        assert_eq!(found, expected, "{}", case.name);
    }
}
