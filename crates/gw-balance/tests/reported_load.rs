//! Loads that targets state: how they age, how many hosts follow one, and holders that are full.

use std::time::Duration;

use gw_balance::AttemptOutcome;
use gw_balance::HolderAvailability;
use gw_balance::LoadUses;
use gw_balance::PreferredTargets;
use gw_balance::ReportedLoad;
use gw_balance::TargetPool;
use gw_fleet::TargetPhase;
use gw_fleet::TargetRecord;
use gw_ranges::RangeHolder;
use gw_types::HostName;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::Timestamp;
use gw_types::ZoneName;

const SLOTS: u32 = 4;
const HOSTS: usize = 100;
const TARGETS: usize = 20;
const OFF: LoadUses = LoadUses { choice: false, admission: false, speed: false };

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn service() -> ServiceName {
    ServiceName::new("notes").expect("a name")
}

fn host_name(host: usize) -> HostName {
    HostName::new(format!("edge-{host}")).expect("a name")
}

fn records(count: usize) -> Vec<TargetRecord> {
    let record = |index: usize| TargetRecord {
        name: TargetName::new(format!("t-{index:02}")).expect("a name"),
        run: 1,
        address: ([10, 0, 0, index as u8], 80).into(),
        service: service(),
        zone: ZoneName::new("a").expect("a name"),
        work_slots: SLOTS as u16,
        phase: TargetPhase::Serving,
    };
    (0..count).map(record).collect()
}

fn holder(index: usize) -> RangeHolder {
    records(index + 1)[index].holder()
}

fn pool(host: usize, hosts: usize, targets: usize, uses: LoadUses) -> TargetPool {
    let mut pool = TargetPool::new(host_name(host), ZoneName::new("a").expect("a name"));
    pool.set_load_uses(uses);
    pool.set_host_count(hosts);
    let preferred = PreferredTargets::new((0..hosts).map(host_name).collect());
    pool.update(at(0), &records(targets), &preferred);
    pool
}

fn load(running: u32, waiting: u32) -> ReportedLoad {
    ReportedLoad { running, waiting, slots: SLOTS, pace: None }
}

/// Records a response of a target with its load.
fn respond(pool: &mut TargetPool, now: Timestamp, index: usize, load: &ReportedLoad) {
    pool.record_start(now, &holder(index));
    pool.record_load(now, &holder(index), load);
    let elapsed = Duration::from_millis(100);
    pool.record_end(now, &holder(index), AttemptOutcome::Answered { elapsed, is_failure: false });
}

struct FollowCase {
    name: &'static str,
    /// Running and waiting requests of all targets but the first, and of the first.
    others: (u32, u32),
    first: (u32, u32),
    uses: LoadUses,
    /// Milliseconds since the reports.
    age: u64,
    /// Smallest and largest number of the 100 hosts that choose the first target.
    chosen: (usize, usize),
}

/// Guards against hosts that all follow the same low figure, against figures without an effect, and
/// against old ones that keep theirs. The load: 100 hosts get a request each at the same moment, and
/// all of them know the same state of 20 targets, each of which 5 hosts prefer.
#[test]
fn hosts_with_the_same_figures_do_not_all_choose_the_same_target() {
    let on = LoadUses::default();
    let case = |name, others, first, uses, age, chosen| FollowCase {
        name,
        others,
        first,
        uses,
        age,
        chosen,
    };
    let cases = [
        case("all idle", (0, 0), (0, 0), on, 0, (5, 5)),
        case("all half busy, one idle", (2, 0), (0, 0), on, 0, (5, 5)),
        case("all full, one idle", (4, 2), (0, 0), on, 0, (8, 50)),
        case("all full, one idle, not used", (4, 2), (0, 0), OFF, 0, (5, 5)),
        case("all full, one idle, long ago", (4, 2), (0, 0), on, 800, (5, 5)),
        case("one full", (0, 0), (4, 2), on, 0, (0, 3)),
        case("one full, not used", (0, 0), (4, 2), OFF, 0, (5, 5)),
        case("one full, long ago", (0, 0), (4, 2), on, 800, (5, 5)),
    ];
    for case in cases {
        let chooses_first = |host: &usize| {
            let mut pool = pool(*host, HOSTS, TARGETS, case.uses);
            for index in 0..TARGETS {
                let (running, waiting) = if index == 0 { case.first } else { case.others };
                respond(&mut pool, at(0), index, &load(running, waiting));
            }
            let picked = pool.pick(at(case.age), &service(), &[]);
            picked.is_some_and(|target| target.record.name == holder(0).target)
        };
        let chosen = (0..HOSTS).filter(chooses_first).count();
        println!("{}: {chosen}", case.name);
        assert!(case.chosen.0 <= chosen && chosen <= case.chosen.1, "{}: {chosen}", case.name);
    }
}

struct FullCase {
    name: &'static str,
    load: ReportedLoad,
    uses: LoadUses,
    /// Milliseconds since the report, and whether the holder may get a request then.
    expected: &'static [(u64, bool)],
}

/// Guards against requests to a holder that has stated that its slots and queue are full, which it
/// would refuse, and against one that gets nothing any more. The load: a hot key whose holder has
/// four slots and requests of all hosts.
#[test]
fn a_full_holder_gets_nothing_more_until_its_figure_is_old() {
    let on = LoadUses::default();
    let case = |name, load, uses, expected| FullCase { name, load, uses, expected };
    let cases = [
        case("idle", load(0, 0), on, &[(0, true)]),
        case("slots full, room in the queue", load(4, 3), on, &[(0, true)]),
        case("full", load(4, 4), on, &[(0, false), (99, false), (101, true)]),
        case("far beyond", load(4, 40), on, &[(0, false), (200, false), (499, true), (500, true)]),
        case("full, not used", load(4, 4), OFF, &[(0, true)]),
    ];
    for case in cases {
        let mut pool = pool(0, 8, 1, case.uses);
        respond(&mut pool, at(0), 0, &case.load);
        for (age, is_available) in case.expected {
            let availability = pool.holder_availability(at(*age), &holder(0));
            let expected = match is_available {
                true => HolderAvailability::Available,
                false => HolderAvailability::Busy,
            };
            assert_eq!(availability, expected, "{} after {age} ms", case.name);
        }
    }
}

/// Guards against counting this host's own requests twice: the figure of a target includes them. The
/// load: one host uses a target alone.
#[test]
fn own_requests_are_not_counted_twice() {
    let mut pool = pool(0, 1, 1, LoadUses::default());
    (0..7).for_each(|_| pool.record_start(at(0), &holder(0)));
    // The target runs 4 and queues 2 of the host's 7 requests; one was answered.
    pool.record_load(at(0), &holder(0), &load(4, 2));
    let elapsed = Duration::from_millis(100);
    let outcome = AttemptOutcome::Answered { elapsed, is_failure: false };
    pool.record_end(at(0), &holder(0), outcome);
    assert_eq!(pool.holder_availability(at(1), &holder(0)), HolderAvailability::Available);
    pool.record_start(at(1), &holder(0));
    pool.record_start(at(1), &holder(0));
    assert_eq!(pool.holder_availability(at(2), &holder(0)), HolderAvailability::Busy);
}

/// Guards against reports to the leader that repeat an old figure, or that are sent though they are
/// switched off.
#[test]
fn stated_processing_times_are_reported_once() {
    for (uses, count) in [(LoadUses::default(), 1), (OFF, 0)] {
        let mut pool = pool(0, 1, 1, uses);
        respond(&mut pool, at(0), 0, &load(1, 0));
        assert!(pool.take_paces().is_empty(), "none is stated");
        respond(&mut pool, at(10), 0, &ReportedLoad { pace: Some(2.5), ..load(1, 0) });
        assert_eq!(pool.take_paces().len(), count);
        assert!(pool.take_paces().is_empty(), "reported before");
    }
}
