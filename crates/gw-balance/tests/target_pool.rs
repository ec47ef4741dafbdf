//! Which targets a host chooses, and which it leaves alone.

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
    let homes = PreferredTargets::new(hosts.iter().map(|name| host(name)).collect());
    pool.set_host_count(hosts.len());
    pool.update(NOW, records, &homes);
    pool
}

fn answered(milliseconds: u64) -> AttemptOutcome {
    AttemptOutcome::Answered { elapsed: Duration::from_millis(milliseconds), is_failure: false }
}

struct EndCase {
    name: &'static str,
    ends: Vec<AttemptOutcome>,
    /// Time since the last end.
    after: Duration,
    pick: HolderAvailability,
}

/// Guards against requests to a target that is gone, and against targets that stay avoided.
#[test]
fn holders_that_fail_are_left_alone_for_a_while() {
    let second = Duration::from_secs(1);
    let cases = [
        EndCase {
            name: "no run",
            ends: vec![],
            after: second,
            pick: HolderAvailability::Available,
        },
        EndCase {
            name: "one failure may be the request's fault",
            ends: vec![AttemptOutcome::Unreachable],
            after: Duration::ZERO,
            pick: HolderAvailability::Available,
        },
        EndCase {
            name: "two failures in a row",
            ends: vec![AttemptOutcome::Unreachable, AttemptOutcome::Unanswered],
            after: Duration::from_millis(100),
            pick: HolderAvailability::Paused,
        },
        EndCase {
            name: "a target whose connections break during runs still runs others",
            ends: vec![AttemptOutcome::Broken; 5],
            after: Duration::ZERO,
            pick: HolderAvailability::Available,
        },
        EndCase {
            name: "a pause ends",
            ends: vec![AttemptOutcome::Unreachable, AttemptOutcome::Unanswered],
            after: second,
            pick: HolderAvailability::Available,
        },
        EndCase {
            name: "the longest pause ends",
            ends: vec![AttemptOutcome::Unreachable; 20],
            after: Duration::from_millis(2_100),
            pick: HolderAvailability::Available,
        },
        EndCase {
            name: "an answer ends the row",
            ends: vec![AttemptOutcome::Unreachable, answered(100), AttemptOutcome::Unreachable],
            after: Duration::ZERO,
            pick: HolderAvailability::Available,
        },
        EndCase {
            name: "callers that leave say nothing",
            ends: vec![AttemptOutcome::Cancelled; 20],
            after: Duration::ZERO,
            pick: HolderAvailability::Available,
        },
        EndCase {
            name: "another target has the address, for good",
            ends: vec![AttemptOutcome::Replaced],
            after: Duration::from_secs(60),
            pick: HolderAvailability::Unknown,
        },
    ];
    for case in cases {
        let target = record("t1", "a");
        let mut pool = pool("h1", &["h1"], std::slice::from_ref(&target));
        for end in case.ends {
            pool.record_start(&target.holder());
            pool.record_end(NOW, &target.holder(), end);
        }
        assert_eq!(
            pool.holder_availability(NOW + case.after, &target.holder()),
            case.pick,
            "{}",
            case.name
        );
    }
}

/// Guards against hosts of a zone that crowd one target while others are idle.
#[test]
fn hosts_of_a_zone_choose_different_targets() {
    let records = [record("t1", "a"), record("t2", "a"), record("t3", "a"), record("t4", "b")];
    let chosen = ["h1", "h2", "h3"].map(|name| {
        let pool = pool(name, &["h1", "h2", "h3"], &records);
        pool.pick(NOW, &service(), &[]).map(|line| line.record.name.clone())
    });
    let mut names: Vec<_> = chosen.into_iter().flatten().collect();
    names.sort();
    names.dedup();
    assert_eq!(names.len(), 3);
}

/// Guards against a full home target that holds back requests which others have room for.
#[test]
fn requests_overflow_to_other_targets_and_zones() {
    let records = [record("t1", "a"), record("t2", "a"), record("t3", "b")];
    let mut pool = pool("h1", &["h1", "h2"], &records);
    let mut counts = [0_u32; 3];
    while let Some(line) = pool.pick(NOW, &service(), &[]) {
        let holder = line.record.holder();
        let index = records.iter().position(|record| record.holder() == holder);
        counts[index.expect("a known target")] += 1;
        pool.record_start(&holder);
    }
    assert_eq!(counts, [3, 1, 1]);
}

/// Pattern: a burst at many hosts at once, whose own targets are busy. Guards against all of them
/// sending what is left over to the same target, which cannot queue it.
#[test]
fn hosts_spread_what_their_own_targets_cannot_take() {
    const HOSTS: usize = 27;
    const TARGETS: usize = 38;
    /// What a target runs and surely queues.
    const MOST: usize = 6;
    let names: Vec<String> = (0..HOSTS).map(|index| format!("h{index:02}")).collect();
    let hosts: Vec<&str> = names.iter().map(String::as_str).collect();
    let records: Vec<_> = (0..TARGETS).map(|index| record(&format!("t{index:02}"), "a")).collect();
    let mut sent = vec![0; TARGETS];
    for name in &hosts {
        let mut pool = pool(name, &hosts, &records);
        // One request more than the host's own targets take.
        let own = pool.targets().iter().filter(|line| line.is_preferred).count() * 2 + 1;
        for _ in 0..own {
            let holder = pool.pick(NOW, &service(), &[]).expect("a target").record.holder();
            pool.record_start(&holder);
            let index = records.iter().position(|record| record.holder() == holder);
            sent[index.expect("a known target")] += 1;
        }
    }
    let most = sent.iter().copied().max().unwrap_or_default();
    assert!(most <= MOST, "{most} requests at one target: {sent:?}");
}
