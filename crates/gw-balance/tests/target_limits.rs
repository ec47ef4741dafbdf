//! Limits on the rate of requests that targets name: statements of several hosts, and requests of
//! all hosts together, in virtual time.

use std::time::Duration;

use gw_balance::HolderAvailability;
use gw_balance::HostCount;
use gw_balance::LimitTable;
use gw_balance::PreferredTargets;
use gw_balance::TargetLimit;
use gw_balance::TargetPool;
use gw_fleet::TargetPhase;
use gw_fleet::TargetRecord;
use gw_ranges::RangeHolder;
use gw_types::HostName;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::Timestamp;
use gw_types::ZoneName;

/// The platform counts requests in any span of this length.
const WINDOW: Duration = Duration::from_secs(4);
/// Factor on the limit that the platform allows in a window.
const ALLOWED_FACTOR: f64 = 1.5;
/// Requests that the platform allows in a window beyond that.
const ALLOWED_EXTRA: f64 = 5.0;
/// Time between two looks of a host for a request that may be sent.
const STEP: Duration = Duration::from_millis(20);

fn record() -> TargetRecord {
    TargetRecord {
        name: TargetName::new("t").expect("a name"),
        run: 1,
        address: ([10, 0, 0, 1], 80).into(),
        service: ServiceName::new("slips").expect("a name"),
        zone: ZoneName::new("a").expect("a name"),
        work_slots: 2,
        phase: TargetPhase::Serving,
    }
}

fn limit(run: u64, per_second: Option<f64>, seconds: u64) -> TargetLimit {
    let holder = RangeHolder { target: TargetName::new("t").expect("a name"), run };
    TargetLimit { holder, per_second, stated_at: Timestamp::ZERO + Duration::from_secs(seconds) }
}

struct RateCase {
    name: &'static str,
    hosts: u32,
    per_second: f64,
    /// Seconds in which no host has a request, after the limit was named.
    idle_seconds: u64,
}

/// Guards against hosts that together exceed the limit of a target, also when all of them have
/// requests at the same time after they had none.
#[test]
fn all_hosts_together_respect_the_limit_of_a_target() {
    let case =
        |name, hosts, per_second, idle_seconds| RateCase { name, hosts, per_second, idle_seconds };
    let cases = [
        case("one host", 1, 4.0, 0),
        case("eight hosts", 8, 3.9, 0),
        case("eight hosts, low limit", 8, 1.4, 0),
        case("eight hosts, after a pause", 8, 1.8, 30),
        case("eight hosts, nearly nothing", 8, 0.3, 60),
        case("many hosts", 72, 4.0, 30),
        case("hundreds of hosts", 285, 2.0, 30),
        case("hundreds of hosts, high limit", 285, 60.0, 30),
    ];
    for case in cases {
        let mut table = LimitTable::default();
        table.record(limit(1, Some(case.per_second), 100));
        let mut now = Timestamp::ZERO + Duration::from_secs(100);
        let mut pools: Vec<TargetPool> = (0..case.hosts)
            .map(|number| {
                let host = HostName::new(format!("edge-{number}")).expect("a name");
                let mut pool = TargetPool::new(host, ZoneName::new("a").expect("a name"));
                pool.set_host_count(case.hosts as usize);
                pool.update(now, &[record()], &PreferredTargets::default());
                pool.set_limits(now, &table, case.hosts);
                pool
            })
            .collect();
        now = now + Duration::from_secs(case.idle_seconds);
        let holder = record().holder();
        let mut sent: Vec<Timestamp> = Vec::new();
        for _ in 0..60 * 50 {
            now = now + STEP;
            for pool in &mut pools {
                if pool.holder_availability(now, &holder) == HolderAvailability::Available {
                    pool.record_start(now, &holder);
                    pool.record_end(now, &holder, gw_balance::AttemptOutcome::Cancelled);
                    sent.push(now);
                }
            }
        }
        let in_window = |start: &Timestamp| {
            sent.iter().filter(|at| *start <= **at && at.since(*start) < WINDOW).count()
        };
        let most = sent.iter().map(in_window).max().unwrap_or(0);
        let allowed = ALLOWED_FACTOR * case.per_second * WINDOW.as_secs_f64() + ALLOWED_EXTRA;
        assert!(most as f64 <= allowed, "{}: {most} of {allowed}", case.name);
        let used = sent.len() as f64 / (60.0 * case.per_second);
        assert!(used > 0.5, "{}: {used} of the limit is used", case.name);
    }
}

/// Guards against a limit that an older statement replaces, or that stays after the target has
/// withdrawn it.
#[test]
fn the_newest_statement_about_a_limit_counts() {
    struct StatementCase {
        name: &'static str,
        statements: Vec<TargetLimit>,
        per_second: Option<f64>,
    }
    let cases = [
        StatementCase { name: "none", statements: vec![limit(1, None, 5)], per_second: None },
        StatementCase {
            name: "named",
            statements: vec![limit(1, Some(4.0), 5)],
            per_second: Some(4.0),
        },
        StatementCase {
            name: "changed",
            statements: vec![limit(1, Some(4.0), 5), limit(1, Some(2.0), 6)],
            per_second: Some(2.0),
        },
        StatementCase {
            name: "late report",
            statements: vec![limit(1, Some(2.0), 6), limit(1, Some(4.0), 5)],
            per_second: Some(2.0),
        },
        StatementCase {
            name: "withdrawn",
            statements: vec![limit(1, Some(4.0), 5), limit(1, None, 6)],
            per_second: None,
        },
        StatementCase {
            name: "late report after the withdrawal",
            statements: vec![limit(1, Some(4.0), 5), limit(1, None, 7), limit(1, Some(4.0), 6)],
            per_second: None,
        },
        StatementCase {
            name: "another run",
            statements: vec![limit(2, Some(4.0), 5)],
            per_second: None,
        },
    ];
    for case in cases {
        let mut table = LimitTable::default();
        for statement in case.statements {
            table.record(statement);
        }
        let name = TargetName::new("t").expect("a name");
        assert_eq!(table.per_second(&name, 1), case.per_second, "{}", case.name);
    }
}

/// Guards against a new leader that has counted only some of the hosts: each of them would take a
/// larger part of a limit.
#[test]
fn a_lower_number_of_hosts_is_not_relied_on_at_once() {
    let at = |seconds: u64| Timestamp::ZERO + Duration::from_secs(100 + seconds);
    let mut count = HostCount::default();
    assert_eq!(count.peak(), None);
    count.record(at(0), 8);
    count.record(at(1), 3);
    assert_eq!(count.peak(), Some(8));
    count.record(at(9), 9);
    count.record(at(12), 3);
    assert_eq!(count.peak(), Some(9));
    count.record(at(20), 3);
    assert_eq!(count.peak(), Some(3));
}
