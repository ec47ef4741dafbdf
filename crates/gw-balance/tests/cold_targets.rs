//! Cold targets: requests of all hosts together in virtual time, what a host presumes, and what the
//! leader knows.

use std::time::Duration;

use gw_balance::AttemptOutcome;
use gw_balance::COLD_LEASE_TIME;
use gw_balance::COLD_PERMIT_TIME;
use gw_balance::ColdAllocator;
use gw_balance::ColdBound;
use gw_balance::ColdGrant;
use gw_balance::ColdLease;
use gw_balance::ColdList;
use gw_balance::PreferredTargets;
use gw_balance::TargetPool;
use gw_balance::WarmUpLimit;
use gw_balance::WarmthTable;
use gw_fleet::TargetPhase;
use gw_fleet::TargetRecord;
use gw_ranges::RangeHolder;
use gw_types::HostName;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::Timestamp;
use gw_types::ZoneName;

const WARM_UP: Duration = Duration::from_secs(20);
const BOUND: ColdBound = ColdBound { factor: 1.5, extra: 8.0 };
const SECOND: Duration = Duration::from_secs(1);
/// Time between two steps of the virtual time.
const STEP: Duration = Duration::from_millis(10);
/// Steps between two messages of the leader to all hosts.
const STEPS_PER_ROUND: u64 = 25;
/// Steps between two reports of a host to the leader.
const STEPS_PER_REPORT: u64 = 30;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).expect("a name")
}

fn record(run: u64) -> TargetRecord {
    TargetRecord {
        name: TargetName::new("t").expect("a name"),
        run,
        address: ([10, 0, 0, 1], 80).into(),
        service: ServiceName::new("slips").expect("a name"),
        zone: zone("a"),
        work_slots: 4,
        phase: TargetPhase::Serving,
    }
}

fn holder() -> RangeHolder {
    record(1).holder()
}

fn limit(per_second: f64) -> WarmUpLimit {
    WarmUpLimit { service: record(1).service, warm_up: WARM_UP, per_second }
}

/// A deterministic sequence of numbers below `bound`.
struct Numbers(u64);

impl Numbers {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963);
        (self.0 >> 33) % bound
    }
}

/// Ways to allocate the rate wrongly, each of which has to break the bound.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Each host is the sponsor.
    AllSponsors,
    /// A new leader gives leases while those of the old one are valid.
    EagerLeader,
    /// A host counts the time of a lease from the arrival of the message.
    LeaseFromArrival,
    /// Each host gets all permits.
    PermitsForAll,
    /// Hosts do not presume that a new run is cold.
    NoPresumption,
}

struct RateCase {
    name: &'static str,
    hosts: u64,
    per_second: f64,
    is_keyed: bool,
    fault: Fault,
    holds: bool,
}

struct SimulatedHost {
    name: HostName,
    pool: TargetPool,
    /// Whether messages of the leader do not arrive.
    is_deaf: bool,
    inbox: Vec<(Timestamp, ColdList)>,
    wanted: u32,
}

impl SimulatedHost {
    fn new(number: u64) -> Self {
        let name = HostName::new(format!("edge-{number}")).expect("a name");
        let pool =
            TargetPool::new(name.clone(), zone(if number.is_multiple_of(3) { "a" } else { "b" }));
        Self { name, pool, is_deaf: number % 7 == 6, inbox: Vec::new(), wanted: 0 }
    }
}

/// Runs 15 s with a cold target that all hosts want to use, and returns how many requests it gets in
/// the worst second, and in all.
///
/// Messages take up to 0.2 s, each fifth is lost, each ninth takes 3 s. Each seventh host hears
/// nothing from 2 s on. The sponsor is lost at 4 s. The leader is replaced at 8 s, twice more within
/// the next half second, and at 11 s; each new one does not reach the sponsor of the last.
fn simulate(case: &RateCase) -> (usize, usize) {
    let mut numbers = Numbers(7);
    let mut hosts: Vec<SimulatedHost> = (0..case.hosts).map(SimulatedHost::new).collect();
    let known = ColdList { limits: vec![limit(case.per_second)], ..ColdList::default() };
    for host in &mut hosts {
        host.pool.set_warm_up_limits(known.limits.clone());
        host.pool.set_state_index(10);
        host.pool.update(at(0), &[record(1)], &PreferredTargets::default());
        if case.fault == Fault::NoPresumption {
            let warm = ColdList { through: Some(10), ..known.clone() };
            host.pool.apply_cold_list(at(0), warm);
        }
    }
    // The first leader has led for long.
    let mut allocator = ColdAllocator::new(at(0) - Duration::from_secs(60), BOUND);
    let mut others: Vec<ColdAllocator> = Vec::new();
    let mut sponsors: Vec<HostName> = Vec::new();
    let mut lost: Vec<HostName> = Vec::new();
    let mut sent: Vec<Timestamp> = Vec::new();
    for step in 0..1_500_u64 {
        let now = at(step * 10);
        if [800, 825, 850, 1_100].contains(&step) {
            let is_eager = case.fault == Fault::EagerLeader;
            let started = if is_eager { now - Duration::from_secs(60) } else { now };
            allocator = ColdAllocator::new(started, BOUND);
            // The new leader does not reach the present sponsor.
            lost.extend(sponsors.last().cloned());
            others.clear();
        }
        if step == 400 {
            lost.extend(sponsors.last().cloned());
        }
        if step.is_multiple_of(STEPS_PER_REPORT) {
            for host in &mut hosts {
                let wanted = std::mem::take(&mut host.wanted);
                if case.is_keyed && !host.is_deaf {
                    allocator.record_wanted(now, &holder(), &host.name, wanted);
                }
            }
        }
        if step.is_multiple_of(STEPS_PER_ROUND) {
            let eligible: Vec<(HostName, ZoneName)> = hosts
                .iter()
                .filter(|host| !host.is_deaf && !lost.contains(&host.name))
                .enumerate()
                .map(|(index, host)| {
                    (host.name.clone(), zone(if index.is_multiple_of(3) { "a" } else { "b" }))
                })
                .collect();
            let mut leases: Vec<(HostName, ColdGrant)> = Vec::new();
            if case.is_keyed {
                let permits = allocator.permits(now, &holder(), case.per_second);
                let total = permits.iter().map(|(_, count)| *count).sum();
                leases = match case.fault {
                    Fault::PermitsForAll => hosts
                        .iter()
                        .map(|host| (host.name.clone(), ColdGrant::Requests(total)))
                        .collect(),
                    _ => permits
                        .into_iter()
                        .map(|(host, count)| (host, ColdGrant::Requests(count)))
                        .collect(),
                };
            } else if case.fault == Fault::AllSponsors {
                others.resize_with(hosts.len(), || ColdAllocator::new(at(0), BOUND));
                for (host, own) in hosts.iter().zip(&mut others) {
                    let only = [(host.name.clone(), zone("a"))];
                    let lease = own.sponsor(now, &holder(), &zone("a"), case.per_second, &only);
                    leases.extend(lease.map(|(host, rate)| (host, ColdGrant::PerSecond(rate))));
                }
            } else if let Some((host, rate)) =
                allocator.sponsor(now, &holder(), &zone("a"), case.per_second, &eligible)
            {
                sponsors.push(host.clone());
                leases.push((host, ColdGrant::PerSecond(rate)));
            }
            for host in &mut hosts {
                let delay = match numbers.below(45) {
                    number if number.is_multiple_of(5) => continue,
                    number if number.is_multiple_of(9) => Duration::from_secs(3),
                    number => Duration::from_millis(number * 4),
                };
                let arrives_at = now + delay;
                let start = match case.fault {
                    Fault::LeaseFromArrival => arrives_at,
                    _ => now,
                };
                let validity = if case.is_keyed { COLD_PERMIT_TIME } else { COLD_LEASE_TIME };
                let own = leases.iter().filter(|(name, _)| *name == host.name);
                let leases = own.map(|(_, grant)| ColdLease {
                    holder: holder(),
                    until: start + validity,
                    grant: *grant,
                });
                let list = ColdList {
                    through: Some(10),
                    sent_after: Some(now),
                    cold: vec![(holder(), WARM_UP)],
                    leases: leases.collect(),
                    ..known.clone()
                };
                if !(host.is_deaf && step > 200) {
                    host.inbox.push((arrives_at, list));
                }
            }
        }
        for host in &mut hosts {
            for (_, list) in host.inbox.extract_if(.., |(arrives_at, _)| *arrives_at <= now) {
                host.pool.apply_cold_list(now, list);
            }
            host.wanted += 1;
            while let Some(target) = host.pool.pick(now, &record(1).service, &[]) {
                let holder = target.record.holder();
                host.pool.record_start(now, &holder);
                let outcome = AttemptOutcome::Answered { elapsed: STEP, is_failure: false };
                host.pool.record_end(now, &holder, outcome);
                sent.push(now);
                if sent.len() > 100_000 {
                    return (sent.len(), sent.len());
                }
                if case.fault == Fault::NoPresumption {
                    break;
                }
            }
        }
    }
    // Times are in ascending order.
    let in_window = |(index, start): (usize, &Timestamp)| {
        sent.partition_point(|at| at.since(*start) < SECOND) - index
    };
    (sent.iter().enumerate().map(in_window).max().unwrap_or(0), sent.len())
}

/// Guards against hosts that together send a cold target more than it survives, also if messages are
/// lost or late, the sponsor or the leader changes, or hosts hear nothing. The faulty variants show
/// that the test notices a wrong allocation.
#[test]
fn all_hosts_together_keep_to_the_rate_of_a_cold_target() {
    let case = |name, hosts, per_second, is_keyed| RateCase {
        name,
        hosts,
        per_second,
        is_keyed,
        fault: Fault::None,
        holds: true,
    };
    let faulty = |fault, is_keyed| RateCase {
        fault,
        holds: false,
        ..case("faulty allocation", 100, 100.0, is_keyed)
    };
    let cases = [
        case("sponsor", 100, 20.0, false),
        case("sponsor, high rate", 120, 60.0, false),
        case("sponsor, low rate", 285, 2.0, false),
        case("permits", 100, 20.0, true),
        case("permits, high rate", 120, 60.0, true),
        case("permits, low rate", 285, 4.0, true),
        faulty(Fault::AllSponsors, false),
        faulty(Fault::EagerLeader, false),
        faulty(Fault::LeaseFromArrival, false),
        faulty(Fault::NoPresumption, false),
        faulty(Fault::PermitsForAll, true),
    ];
    for case in cases {
        let (most, total) = simulate(&case);
        let allowed = BOUND.requests(case.per_second);
        let (name, fault) = (case.name, case.fault);
        println!("{name} {fault:?}: {most} of {allowed} in the worst second, {total} in all");
        assert_eq!(most as f64 <= allowed, case.holds, "{name} {fault:?}: {most} of {allowed}");
        let used = total as f64 / (15.0 * case.per_second);
        assert!(used > 0.25, "{name} {fault:?}: {used} of the rate is used");
    }
}

/// What a host learns about the run, after the milliseconds beside it.
#[derive(Clone, Debug)]
enum Event {
    /// A list that names the run as cold.
    Cold,
    /// A list up to a log index that does not name the run, sent so many milliseconds before.
    Warm(u64, u64),
    /// A list that names the run as unsure.
    Unsure,
    Broken,
    Unreachable,
    Reached,
    Answered,
    EvacuationEnded(u64),
    SaysCold(u64),
    SaysWarm,
}

struct PresumptionCase {
    name: &'static str,
    events: Vec<(u64, Event)>,
    /// Whether the run is presumed cold at these times, in milliseconds.
    expected: Vec<(u64, bool)>,
}

fn apply(pool: &mut TargetPool, now: Timestamp, event: &Event) {
    let list = ColdList { limits: vec![limit(5.0)], ..ColdList::default() };
    let end = |pool: &mut TargetPool, outcome| {
        pool.record_start(now, &holder());
        pool.record_end(now, &holder(), outcome);
    };
    match event {
        Event::Cold => {
            let cold = vec![(holder(), Duration::from_secs(5))];
            pool.apply_cold_list(now, ColdList { through: Some(99), cold, ..list });
        }
        Event::Warm(index, age) => {
            let sent_after = Some(now - Duration::from_millis(*age));
            pool.apply_cold_list(now, ColdList { through: Some(*index), sent_after, ..list });
        }
        Event::Unsure => {
            let unsure = vec![holder()];
            pool.apply_cold_list(now, ColdList { through: Some(99), unsure, ..list });
        }
        Event::Broken => end(pool, AttemptOutcome::Broken),
        Event::Unreachable => end(pool, AttemptOutcome::Unreachable),
        Event::Reached => pool.record_reached(now, &holder()),
        Event::Answered => {
            end(pool, AttemptOutcome::Answered { elapsed: STEP, is_failure: false });
        }
        Event::EvacuationEnded(index) => pool.record_evacuation_end(now, &zone("a"), *index),
        Event::SaysCold(millis) => {
            pool.record_warmth(now, &holder(), Duration::from_millis(*millis));
        }
        Event::SaysWarm => drop(pool.record_warmth(now, &holder(), Duration::ZERO)),
    }
}

/// Guards against requests to a run that may be cold, and against runs that are avoided although the
/// leader has declared them warm.
#[test]
fn a_host_presumes_that_a_run_is_cold_until_it_is_declared_warm() {
    use Event::*;
    let case = |name, events, expected| PresumptionCase { name, events, expected };
    let cases = [
        case("new run, no list", vec![], vec![(0, true), (20_900, true), (21_100, false)]),
        case("new run, declared warm", vec![(100, Warm(10, 0))], vec![(99, true), (101, false)]),
        case("list from before the run", vec![(100, Warm(9, 0))], vec![(101, true)]),
        case("list that is unsure", vec![(100, Unsure)], vec![(101, true)]),
        case(
            "listed, then declared warm",
            vec![(100, Cold), (400, Warm(11, 0))],
            vec![(399, true), (401, false)],
        ),
        case(
            "no list after it was listed",
            vec![(100, Warm(10, 0)), (5_000, Cold)],
            vec![(4_900, false), (25_900, true), (26_100, false)],
        ),
        case(
            "unsure after it was listed",
            vec![(100, Cold), (400, Unsure)],
            vec![(401, true), (21_000, true)],
        ),
        case(
            "warm run of which a new leader is unsure",
            vec![(100, Warm(10, 0)), (400, Unsure)],
            vec![(401, false)],
        ),
        case(
            "broken connection, next list",
            vec![(100, Warm(10, 0)), (500, Broken), (700, Warm(10, 100))],
            vec![(501, true), (701, false)],
        ),
        case(
            "broken connection, list sent before",
            vec![(100, Warm(10, 0)), (500, Broken), (700, Warm(10, 300))],
            vec![(701, true)],
        ),
        case(
            "connection that failed, next list",
            vec![(100, Warm(10, 0)), (500, Unreachable), (700, Warm(10, 100))],
            vec![(701, true), (60_000, true)],
        ),
        case(
            "connection that failed, list that has heard of it",
            vec![(100, Warm(10, 0)), (500, Unreachable), (2_400, Warm(10, 50))],
            vec![(2_399, true), (2_401, false)],
        ),
        case(
            "connection that failed, reached without a list",
            vec![(100, Warm(10, 0)), (500, Unreachable), (9_000, Reached)],
            vec![(29_900, true), (30_100, false)],
        ),
        case(
            "fails again after it was reached",
            vec![
                (100, Warm(10, 0)),
                (500, Unreachable),
                (9_000, Reached),
                (12_000, Unreachable),
                (13_000, Reached),
            ],
            vec![(33_900, true), (34_100, false)],
        ),
        case(
            "answers of a warm run",
            vec![(100, Warm(10, 0)), (500, Answered)],
            vec![(501, false)],
        ),
        case(
            "evacuation ended",
            vec![(100, Warm(10, 0)), (500, EvacuationEnded(20)), (600, Warm(19, 0))],
            vec![(601, true)],
        ),
        case(
            "declared warm after the evacuation",
            vec![(100, Warm(10, 0)), (500, EvacuationEnded(20)), (600, Warm(20, 0))],
            vec![(599, true), (601, false)],
        ),
        case(
            "says that it is cold",
            vec![(100, Warm(10, 0)), (500, SaysCold(3_000)), (600, Warm(10, 0))],
            vec![(601, true), (3_499, true), (3_501, false)],
        ),
        case("says that it is warm", vec![(100, Cold), (500, SaysWarm)], vec![(501, false)]),
    ];
    for case in cases {
        let mut pool = TargetPool::new(HostName::new("edge-1").expect("a name"), zone("a"));
        pool.set_warm_up_limits(vec![limit(5.0)]);
        pool.set_state_index(10);
        pool.update(at(0), &[record(1)], &PreferredTargets::default());
        for (millis, is_cold) in case.expected {
            let mut view = pool.clone();
            for (event_at, event) in case.events.iter().filter(|(event_at, _)| *event_at < millis) {
                apply(&mut view, at(*event_at), event);
            }
            let presumed = view.is_cold(at(millis), &holder());
            assert_eq!(presumed, is_cold, "{} at {millis}", case.name);
        }
    }
}

/// Guards against a later run that is taken for the earlier one, and against a start of the system
/// that waits although the list was there first.
#[test]
fn a_later_run_is_presumed_cold_unless_a_list_covers_it() {
    let mut pool = TargetPool::new(HostName::new("edge-1").expect("a name"), zone("a"));
    let warm = |through| ColdList {
        limits: vec![limit(5.0)],
        through: Some(through),
        ..ColdList::default()
    };
    pool.apply_cold_list(at(0), warm(12));
    pool.set_state_index(10);
    pool.update(at(0), &[record(1)], &PreferredTargets::default());
    assert!(!pool.is_cold(at(1), &holder()), "the list covers the run");
    pool.set_state_index(13);
    pool.update(at(10), &[record(2)], &PreferredTargets::default());
    assert!(pool.is_cold(at(11), &record(2).holder()), "the list does not cover the later run");
    assert!(pool.pick(at(11), &record(2).service, &[]).is_none());
    pool.apply_cold_list(at(200), warm(13));
    assert!(pool.pick(at(201), &record(2).service, &[]).is_some());
}

/// Guards against services without limits that are treated differently than before.
#[test]
fn without_a_limit_no_run_is_cold() {
    let mut pool = TargetPool::new(HostName::new("edge-1").expect("a name"), zone("a"));
    pool.update(at(0), &[record(1)], &PreferredTargets::default());
    for event in [Event::Broken, Event::SaysCold(9_000), Event::EvacuationEnded(3)] {
        apply(&mut pool, at(0), &event);
        assert!(!pool.is_cold(at(1), &holder()), "{event:?}");
    }
    assert!(!pool.has_warm_up_limits());
    assert!(pool.take_cold_probes(at(9_000)).is_empty());
}

/// Guards against a leader that takes a run for warm from an outdated statement, or that declares
/// runs warm that it has not heard.
#[test]
fn the_leader_knows_only_what_it_has_heard() {
    let mut table = WarmthTable::default();
    table.set_limits(vec![limit(5.0)]);
    let (cold, warm) = (Duration::from_secs(9), Duration::ZERO);
    let age = Duration::from_millis;
    let records = [record(1)];
    let unsure = |table: &WarmthTable, now| table.unsure(now, &records).map(|runs| runs.len());
    assert_eq!(unsure(&table, at(0)), Some(1), "not heard");
    assert!(table.record(at(0), &holder(), warm, age(0)), "first heard");
    assert_eq!(unsure(&table, at(100)), Some(0));
    assert_eq!(unsure(&table, at(1_600)), Some(1), "not heard for long");
    assert!(table.record(at(2_000), &holder(), cold, age(0)), "cold");
    assert_eq!(table.cold_rate(at(2_001), &record(1)), Some(5.0));
    assert!(!table.record(at(2_100), &holder(), warm, age(500)), "stated before");
    assert!(!table.record(at(2_200), &holder(), warm, age(0)), "overtaken on the way");
    assert_eq!(table.cold_rate(at(2_250), &record(1)), Some(5.0));
    assert!(
        table.record(at(2_900), &holder(), warm, age(0))
            || table.cold_rate(at(2_901), &record(1)).is_none()
    );
    assert_eq!(table.cold_rate(at(2_901), &record(1)), None);
    table.record_doubt(at(5_000), &holder());
    table.record(at(5_500), &holder(), warm, age(0));
    assert_eq!(table.cold_rate(at(5_600), &record(1)), Some(5.0), "stated before the end");
    table.record(at(6_400), &holder(), warm, age(0));
    assert_eq!(table.cold_rate(at(6_401), &record(1)), None);
    let many: Vec<TargetRecord> = (10..80).map(record).collect();
    assert_eq!(table.unsure(at(6_500), &many), None, "too many to name");
}
