//! Requests of all hosts together to a cold target, in virtual time.

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
use gw_fleet::TargetPhase;
use gw_fleet::TargetRecord;
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
const STEPS: u64 = 1_500;
/// Steps between two messages of the leader to all hosts.
const STEPS_PER_ROUND: u64 = 25;
/// Steps between two reports of a host to the leader.
const STEPS_PER_REPORT: u64 = 30;
/// Step at which the sponsor is lost.
const SPONSOR_LOST: u64 = 400;
/// Steps at which the leader is replaced; the new one does not reach the sponsor of the last.
const LEADER_LOST: [u64; 4] = [800, 825, 850, 1_100];
/// Step from which some hosts hear nothing.
const DEAF_FROM: u64 = 200;
/// Requests after which a faulty variant has shown its fault.
const ENOUGH: usize = 20_000;

fn at(step: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + step * 10)
}

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).expect("a name")
}

fn record() -> TargetRecord {
    TargetRecord {
        name: TargetName::new("t").expect("a name"),
        run: 1,
        address: ([10, 0, 0, 1], 80).into(),
        service: ServiceName::new("slips").expect("a name"),
        zone: zone("a"),
        work_slots: 4,
        phase: TargetPhase::Serving,
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
    zone: ZoneName,
    pool: TargetPool,
    /// Whether messages of the leader do not arrive from [`DEAF_FROM`] on.
    is_deaf: bool,
    inbox: Vec<(Timestamp, ColdList)>,
    /// Requests since the last report.
    wanted: u32,
}

/// Hosts that all want to send to a cold target in each step. Messages take up to 0.2 s, each fifth
/// is lost, and each ninth takes 3 s.
struct Simulation<'a> {
    case: &'a RateCase,
    random: u64,
    known: ColdList,
    hosts: Vec<SimulatedHost>,
    allocators: Vec<ColdAllocator>,
    sponsor: Option<HostName>,
    lost: Vec<HostName>,
    sent: Vec<Timestamp>,
}

impl<'a> Simulation<'a> {
    fn new(case: &'a RateCase) -> Self {
        let limit = WarmUpLimit {
            service: record().service,
            warm_up: WARM_UP,
            per_second: case.per_second,
        };
        let known = ColdList { limits: vec![limit], ..ColdList::default() };
        let host = |number: u64| {
            let name = HostName::new(format!("edge-{number}")).expect("a name");
            let zone = zone(if number.is_multiple_of(3) { "a" } else { "b" });
            let mut pool = TargetPool::new(name.clone(), zone.clone());
            pool.set_warm_up_limits(known.limits.clone());
            pool.set_state_position(10, 1);
            pool.update(at(0), &[record()], &PreferredTargets::default());
            if case.fault == Fault::NoPresumption {
                pool.apply_cold_list(at(0), ColdList { through: Some(10), ..known.clone() });
            }
            let is_deaf = number % 7 == 6;
            SimulatedHost { name, zone, pool, is_deaf, inbox: Vec::new(), wanted: 0 }
        };
        let hosts: Vec<SimulatedHost> = (0..case.hosts).map(host).collect();
        // The first leader has led for long.
        let count = if case.fault == Fault::AllSponsors { hosts.len() } else { 1 };
        let allocator = || ColdAllocator::new(at(0) - Duration::from_secs(60), BOUND);
        let allocators = std::iter::repeat_with(allocator).take(count).collect();
        let (sponsor, lost, sent) = (None, Vec::new(), Vec::new());
        Self { case, random: 7, known, hosts, allocators, sponsor, lost, sent }
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        const FACTOR: u64 = 6_364_136_223_846_793_005;
        self.random = self.random.wrapping_mul(FACTOR).wrapping_add(1_442_695_040_888_963);
        (self.random >> 33) % bound
    }

    fn replace_leader(&mut self, now: Timestamp) {
        let is_eager = self.case.fault == Fault::EagerLeader;
        let started = if is_eager { now - Duration::from_secs(60) } else { now };
        let count = self.allocators.len();
        self.allocators = (0..count).map(|_| ColdAllocator::new(started, BOUND)).collect();
    }

    fn report(&mut self, now: Timestamp) {
        for host in &mut self.hosts {
            let wanted = std::mem::take(&mut host.wanted);
            if self.case.is_keyed && !host.is_deaf {
                self.allocators[0].record_demand(now, &host.name, &[(record().holder(), wanted)]);
            }
        }
    }

    fn allocate(&mut self, now: Timestamp) -> Vec<(HostName, ColdGrant)> {
        let (holder, zone, rate) = (record().holder(), record().zone, self.case.per_second);
        if self.case.is_keyed {
            let permits = self.allocators[0].permits(now, &holder, rate);
            let total = permits.iter().map(|(_, count)| *count).sum();
            let all = self.hosts.iter().map(|host| (host.name.clone(), total));
            let permits = match self.case.fault {
                Fault::PermitsForAll => all.collect(),
                _ => permits,
            };
            let grant = |(host, count)| (host, ColdGrant::Requests(count));
            return permits.into_iter().map(grant).collect();
        }
        let reached = self.hosts.iter().filter(|host| !self.lost.contains(&host.name));
        let eligible: Vec<(HostName, ZoneName)> = reached
            .filter(|host| !host.is_deaf)
            .map(|host| (host.name.clone(), host.zone.clone()))
            .collect();
        let leases: Vec<(HostName, f64)> = match self.case.fault {
            Fault::AllSponsors => {
                let own = eligible.chunks(1).zip(&mut self.allocators);
                own.filter_map(|(host, own)| own.sponsor(now, &holder, &zone, rate, host)).collect()
            }
            _ => {
                let lease = self.allocators[0].sponsor(now, &holder, &zone, rate, &eligible);
                lease.into_iter().collect()
            }
        };
        self.sponsor = leases.last().map(|(host, _)| host.clone()).or(self.sponsor.take());
        leases.into_iter().map(|(host, rate)| (host, ColdGrant::PerSecond(rate))).collect()
    }

    fn send_lists(&mut self, now: Timestamp, may_reach_all: bool) {
        let leases = self.allocate(now);
        let holder = record().holder();
        for index in 0..self.hosts.len() {
            let delay = match self.random_below(45) {
                number if number.is_multiple_of(5) => continue,
                number if number.is_multiple_of(9) => Duration::from_secs(3),
                number => Duration::from_millis(number * 4),
            };
            let host = &mut self.hosts[index];
            let arrives_at = now + delay;
            let is_late = self.case.fault == Fault::LeaseFromArrival;
            let start = if is_late { arrives_at } else { now };
            let validity = if self.case.is_keyed { COLD_PERMIT_TIME } else { COLD_LEASE_TIME };
            let own = leases.iter().filter(|(name, _)| *name == host.name);
            let lease = |(_, grant): &(HostName, ColdGrant)| {
                let (holder, until, grant) = (holder.clone(), start + validity, *grant);
                ColdLease { holder, until, grant }
            };
            let list = ColdList {
                through: Some(10),
                sent_after: Some(now),
                cold: vec![(holder.clone(), WARM_UP)],
                leases: own.map(lease).collect(),
                ..self.known.clone()
            };
            if may_reach_all || !host.is_deaf {
                host.inbox.push((arrives_at, list));
            }
        }
    }

    /// Lets all hosts send what they may.
    fn send_requests(&mut self, now: Timestamp) {
        for host in &mut self.hosts {
            for (_, list) in host.inbox.extract_if(.., |(arrives_at, _)| *arrives_at <= now) {
                host.pool.apply_cold_list(now, list);
            }
            host.wanted += 1;
            while let Some(target) = host.pool.pick(now, &record().service, &[]) {
                let holder = target.record.holder();
                host.pool.record_start(now, &holder);
                let outcome = AttemptOutcome::Answered { elapsed: STEP, is_failure: false };
                host.pool.record_end(now, &holder, outcome);
                self.sent.push(now);
                if self.case.fault == Fault::NoPresumption {
                    break;
                }
            }
        }
    }

    /// Runs to the end and returns the times of all requests.
    fn run(mut self) -> Vec<Timestamp> {
        for step in 0..STEPS {
            let now = at(step);
            let is_leader_lost = LEADER_LOST.contains(&step);
            if is_leader_lost {
                self.replace_leader(now);
            }
            if is_leader_lost || step == SPONSOR_LOST {
                self.lost.extend(self.sponsor.take());
            }
            if step.is_multiple_of(STEPS_PER_REPORT) {
                self.report(now);
            }
            if step.is_multiple_of(STEPS_PER_ROUND) {
                self.send_lists(now, step <= DEAF_FROM);
            }
            self.send_requests(now);
            if self.sent.len() > ENOUGH {
                break;
            }
        }
        self.sent
    }
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
        let sent = Simulation::new(&case).run();
        // Times are in ascending order.
        let in_second = |(index, start): (usize, &Timestamp)| {
            sent.partition_point(|at| at.since(*start) < SECOND) - index
        };
        let most = sent.iter().enumerate().map(in_second).max().unwrap_or(0);
        let allowed = BOUND.requests(case.per_second);
        let (name, fault) = (case.name, case.fault);
        println!("{name} {fault:?}: {most} of {allowed} in a second, {} in all", sent.len());
        assert_eq!(most as f64 <= allowed, case.holds, "{name} {fault:?}: {most} of {allowed}");
        let used = sent.len() as f64 / (15.0 * case.per_second);
        assert!(used > 0.25, "{name} {fault:?}: {used} of the rate is used");
    }
}

/// Guards against a leader of hundreds of hosts and thousands of cold targets that has no time left
/// for its heartbeats: each report of a host took a step for each cold target.
#[test]
fn reports_cost_what_they_name() {
    const HOSTS: usize = 300;
    const HOLDERS: u64 = 2_000;
    const NAMED: usize = 2;
    let mut allocator = ColdAllocator::new(at(0), BOUND);
    let holder = |run| TargetRecord { run, ..record() }.holder();
    for run in 0..HOLDERS {
        allocator.permits(at(1), &holder(run), 1.0);
    }
    let host = |number| HostName::new(format!("host-{number}")).expect("a name");
    let name = |allocator: &mut ColdAllocator, first: u64| {
        for number in 0..HOSTS {
            let wanted: Vec<_> = (0..NAMED as u64).map(|next| (holder(first + next), 3)).collect();
            allocator.record_demand(at(2), &host(number), &wanted);
        }
    };
    name(&mut allocator, 7);
    assert_eq!(allocator.demand_count(), HOSTS * NAMED);
    // A holder that is no longer named gives no permits.
    name(&mut allocator, 11);
    assert!(allocator.permits(at(400), &holder(7), 4.0).is_empty());
    let given: u32 = allocator.permits(at(400), &holder(11), 4.0).iter().map(|given| given.1).sum();
    assert!(given > 0);
}
