//! Target selection of an entry host, and pauses of failing targets.

use std::time::Duration;

use gw_balance::AttemptOutcome;
use gw_balance::HolderAvailability;
use gw_balance::PreferredTargets;
use gw_balance::TargetPool;
use gw_fleet::TargetPhase;
use gw_fleet::TargetRecord;
use gw_types::HostName;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::Timestamp;
use gw_types::ZoneName;

const NOW: Timestamp = Timestamp::from_millis(10_000);

fn service() -> ServiceName {
    ServiceName::new("slips").expect("a valid name")
}

fn host(name: &str) -> HostName {
    HostName::new(name).expect("a valid name")
}

fn record(name: &str, zone: &str) -> TargetRecord {
    TargetRecord {
        name: TargetName::new(name).expect("a valid name"),
        run: 1,
        address: ([127, 0, 0, 1], 1).into(),
        service: service(),
        zone: ZoneName::new(zone).expect("a valid name"),
        work_slots: 2,
        phase: TargetPhase::Serving,
    }
}

fn pool(own_host: &str, hosts: &[&str], records: &[TargetRecord]) -> TargetPool {
    let zone = ZoneName::new("a").expect("a valid name");
    let mut pool = TargetPool::new(host(own_host), zone);
    let preferred = PreferredTargets::new(hosts.iter().map(|name| host(name)).collect());
    pool.set_host_count(hosts.len());
    pool.update(NOW, records, &preferred);
    pool
}

fn answered(milliseconds: u64) -> AttemptOutcome {
    AttemptOutcome::Answered { elapsed: Duration::from_millis(milliseconds), is_failure: false }
}

/// Guards against hosts that restart without a leader and send, each by itself, as many requests to a
/// holder of keys as it takes from all of them.
#[test]
fn hosts_share_a_holder_before_their_number_is_known() {
    let records = [record("t1", "a")];
    let mut pool = TargetPool::new(host("h1"), ZoneName::new("a").expect("a valid name"));
    pool.update(NOW, &records, &PreferredTargets::default());
    let holder = records[0].holder();
    let mut started = 0;
    while pool.holder_availability(NOW, &holder) == HolderAvailability::Available {
        pool.record_start(NOW, &holder);
        started += 1;
    }
    assert_eq!(started, 1, "requests in flight of one host");
}

struct OutcomeCase {
    name: &'static str,
    outcomes: Vec<AttemptOutcome>,
    /// Time since the last outcome.
    after: Duration,
    availability: HolderAvailability,
}

/// Guards against requests to a target that is gone, and against targets that are not tried again.
#[test]
fn failing_holders_are_paused() {
    let second = Duration::from_secs(1);
    let cases = [
        OutcomeCase {
            name: "no request",
            outcomes: vec![],
            after: second,
            availability: HolderAvailability::Available,
        },
        OutcomeCase {
            name: "a single failure may be caused by the request",
            outcomes: vec![AttemptOutcome::Unreachable],
            after: Duration::ZERO,
            availability: HolderAvailability::Available,
        },
        OutcomeCase {
            name: "two consecutive failures",
            outcomes: vec![AttemptOutcome::Unreachable, AttemptOutcome::Unanswered],
            after: Duration::from_millis(100),
            availability: HolderAvailability::Paused,
        },
        OutcomeCase {
            name: "broken connections do not pause a target",
            outcomes: vec![AttemptOutcome::Broken; 5],
            after: Duration::ZERO,
            availability: HolderAvailability::Available,
        },
        OutcomeCase {
            name: "a pause ends",
            outcomes: vec![AttemptOutcome::Unreachable, AttemptOutcome::Unanswered],
            after: second,
            availability: HolderAvailability::Available,
        },
        OutcomeCase {
            name: "the longest pause ends",
            outcomes: vec![AttemptOutcome::Unreachable; 20],
            after: Duration::from_millis(2_100),
            availability: HolderAvailability::Available,
        },
        OutcomeCase {
            name: "an answer resets the failure count",
            outcomes: vec![AttemptOutcome::Unreachable, answered(100), AttemptOutcome::Unreachable],
            after: Duration::ZERO,
            availability: HolderAvailability::Available,
        },
        OutcomeCase {
            name: "disconnected callers do not count as failures",
            outcomes: vec![AttemptOutcome::Cancelled; 20],
            after: Duration::ZERO,
            availability: HolderAvailability::Available,
        },
        OutcomeCase {
            name: "another target at the address ends the run for good",
            outcomes: vec![AttemptOutcome::Replaced],
            after: Duration::from_secs(60),
            availability: HolderAvailability::Unknown,
        },
    ];
    for case in cases {
        let target = record("t1", "a");
        let mut pool = pool("h1", &["h1"], std::slice::from_ref(&target));
        for outcome in case.outcomes {
            pool.record_start(NOW, &target.holder());
            pool.record_end(NOW, &target.holder(), outcome);
        }
        assert_eq!(
            pool.holder_availability(NOW + case.after, &target.holder()),
            case.availability,
            "{}",
            case.name
        );
    }
}

/// Guards against hosts of a zone that all send to one target while others are idle.
#[test]
fn hosts_of_a_zone_choose_different_targets() {
    let records = [record("t1", "a"), record("t2", "a"), record("t3", "a"), record("t4", "b")];
    let chosen = ["h1", "h2", "h3"].map(|name| {
        let pool = pool(name, &["h1", "h2", "h3"], &records);
        pool.pick(NOW, &service(), &[]).map(|target| target.record.name.clone())
    });
    let mut names: Vec<_> = chosen.into_iter().flatten().collect();
    names.sort();
    names.dedup();
    assert_eq!(names.len(), 3);
}

/// Guards against requests that wait for a full preferred target while others have free slots.
#[test]
fn requests_overflow_to_other_targets_and_zones() {
    let records = [record("t1", "a"), record("t2", "a"), record("t3", "b")];
    let mut pool = pool("h1", &["h1", "h2"], &records);
    let mut counts = [0_u32; 3];
    while let Some(target) = pool.pick(NOW, &service(), &[]) {
        let holder = target.record.holder();
        let index = records.iter().position(|record| record.holder() == holder);
        counts[index.expect("a known target")] += 1;
        pool.record_start(NOW, &holder);
    }
    assert_eq!(counts, [3, 1, 1]);
}

/// Guards against many hosts that send their overflow to the same target, which cannot queue it. A
/// burst fills the preferred targets of all hosts at once.
#[test]
fn hosts_spread_the_overflow_of_their_preferred_targets() {
    const HOSTS: usize = 27;
    const TARGETS: usize = 38;
    /// Slots and smallest queue of a target.
    const TARGET_CAPACITY: usize = 6;
    let names: Vec<String> = (0..HOSTS).map(|index| format!("h{index:02}")).collect();
    let hosts: Vec<&str> = names.iter().map(String::as_str).collect();
    let records: Vec<_> = (0..TARGETS).map(|index| record(&format!("t{index:02}"), "a")).collect();
    let mut sent = vec![0; TARGETS];
    for name in &hosts {
        let mut pool = pool(name, &hosts, &records);
        // One request more than the host's preferred targets have slots for.
        let request_count =
            pool.targets().iter().filter(|target| target.is_preferred).count() * 2 + 1;
        for _ in 0..request_count {
            let holder = pool.pick(NOW, &service(), &[]).expect("a target").record.holder();
            pool.record_start(NOW, &holder);
            let index = records.iter().position(|record| record.holder() == holder);
            sent[index.expect("a known target")] += 1;
        }
    }
    let max_sent = sent.iter().copied().max().unwrap_or_default();
    assert!(max_sent <= TARGET_CAPACITY, "{max_sent} requests at one target: {sent:?}");
}

struct ProbeCase {
    name: &'static str,
    /// Names of targets, `zone-number`, and when they responded after `NOW`, in milliseconds.
    responses: &'static [(&'static str, u64)],
    expected: &'static [&'static str],
}

/// Guards against a host that takes a cut of one zone for the loss of all targets, because it
/// probes only targets of that zone.
#[test]
fn probes_go_to_the_targets_of_each_zone_that_responded_last() {
    let cases = [
        ProbeCase {
            name: "one zone no longer responds",
            responses: &[("b-1", 10), ("b-2", 20), ("a-1", 500), ("a-2", 400), ("c-1", 450)],
            expected: &["a-1", "c-1", "b-2"],
        },
        ProbeCase {
            name: "fewer zones than probes",
            responses: &[("a-1", 10), ("a-2", 30), ("a-3", 20)],
            expected: &["a-2", "a-3", "a-1"],
        },
        ProbeCase { name: "one target", responses: &[("a-1", 10)], expected: &["a-1"] },
        ProbeCase { name: "no target", responses: &[], expected: &[] },
    ];
    for case in cases {
        let mut records: Vec<TargetRecord> =
            case.responses.iter().map(|(name, _)| record(name, &name[..1])).collect();
        records.sort_by(|a, b| a.name.cmp(&b.name));
        let mut pool = pool("h1", &["h1"], &records);
        for (name, millis) in case.responses {
            let holder = record(name, "a").holder();
            pool.record_start(NOW, &holder);
            pool.record_end(NOW + Duration::from_millis(*millis), &holder, answered(5));
        }
        let probed = pool.probe_targets(3);
        let names: Vec<&str> = probed.iter().map(|target| target.record.name.as_str()).collect();
        assert_eq!(names, case.expected, "{}", case.name);
    }
}
