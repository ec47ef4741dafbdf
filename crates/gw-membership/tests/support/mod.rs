//! Announcements and times for the tests of membership.
#![allow(dead_code, reason = "each test file uses a part")]

use gw_membership::RelayBatch;
use gw_membership::RelayEvent;
use gw_membership::RelayItem;
use gw_membership::TargetAnnouncement;
use gw_membership::TargetReport;
use gw_membership::TrafficSummary;
use gw_membership::TroubleKind;
use gw_types::BootId;
use gw_types::HostEntry;
use gw_types::HostId;
use gw_types::RouteMatch;
use gw_types::Timestamp;
use quickcheck::Gen;

pub(crate) fn ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

pub(crate) fn announcement(target: &str, boot: u64, sequence: u64) -> TargetAnnouncement {
    TargetAnnouncement {
        service: "matarlas".parse().unwrap(),
        route: RouteMatch { host: None, path_prefix: Some("/matarlas".to_owned()) },
        key: None,
        profile: "ullvav".parse().unwrap(),
        target: target.parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: "spinneri".parse().unwrap(),
        boot_id: BootId(boot),
        checks_tokens: true,
        work_slots: 2,
        sequence,
    }
}

pub(crate) fn report(target: &str, boot: u64, trouble: TroubleKind) -> TargetReport {
    TargetReport { target: target.parse().unwrap(), boot_id: BootId(boot), trouble }
}

/// A batch of one traffic summary from a run `1` of the sender.
pub(crate) fn traffic(
    sequence: u64,
    boot: u64,
    answered: Option<u32>,
    failures: u32,
) -> RelayBatch {
    let summary = TrafficSummary {
        target: "t".parse().unwrap(),
        boot: BootId(boot),
        last_answer_age_ms: answered,
        failures_in_row: failures,
    };
    batch(sequence, vec![(0, RelayEvent::Traffic(summary))])
}

pub(crate) fn batch(sequence: u64, items: Vec<(u32, RelayEvent)>) -> RelayBatch {
    let items = items.into_iter().map(|(age_ms, event)| RelayItem { age_ms, event });
    RelayBatch { boot: BootId(1), sequence, items: items.collect() }
}

/// Hosts in `zones` zones of `size` entry hosts each; the first of each of the first five zones
/// runs a control replica as well.
pub(crate) fn hosts(zones: u16, size: u16) -> Vec<HostEntry> {
    let address = "127.0.0.1:7000".parse().unwrap();
    let numbers = 0..zones * size;
    let entries = numbers.map(|number| HostEntry {
        id: HostId(number),
        name: format!("host-{number}").parse().unwrap(),
        zone: format!("zone-{}", number / size).parse().unwrap(),
        peers: address,
        forwards: Some(address),
        control: number % size == 0 && number / size < 5,
    });
    entries.collect()
}

/// The generator that every property test starts from.
pub(crate) fn generator(seed: u64) -> Gen {
    Gen::from_size_and_seed(40, seed)
}
