//! Random schedules of the hosts of one zone and up to two control leaders in virtual time.

mod support;

use std::time::Duration;

use gw_lease::GrantedZone;
use gw_lease::LeaseAction;
use gw_lease::LeaseAnswer;
use gw_lease::LeaseGrantor;
use gw_lease::LeaseHolder;
use gw_lease::LeaseOptions;
use gw_lease::LeaseRequest;
use gw_lease::LeaseState;
use gw_lease::PromiseAnswer;
use gw_lease::PromiseGrantor;
use gw_lease::PromiseRequest;
use gw_lease::TestFaults;
use gw_lease::ZoneLease;
use gw_types::BootId;
use gw_types::HostId;
use gw_types::TableVersion;
use gw_types::TermNumber;
use gw_types::ZoneName;
use support::FaultyNetwork;
use support::Random;
use support::SkewedClock;

const ZONE_HOLD: Duration = Duration::from_secs(4);
const RUN_MS: u64 = 25_000;
const STEP_MS: u64 = 20;
/// A quarter of the schedules are fine-grained: they run in short steps with frequent renewals, so
/// that requests arrive within the few milliseconds by which clocks drift apart during one lease.
/// Their faults target the holder: it is partitioned from the control group until first its lease
/// and then its promises have expired.
const FINE_RUN_MS: u64 = 15_000;
const FINE_STEP_MS: u64 = 2;
const FINE_CYCLE_MS: u64 = 5_000;
const FINE_PARTITION_MS: u64 = 4_500;
const FINE_RENEWAL: Duration = Duration::from_millis(60);
/// Node numbers of the two control leaders. Entry hosts have lower numbers.
const CONTROL: [usize; 2] = [8, 9];

#[derive(Clone)]
enum Message {
    LeaseRequest(usize, LeaseRequest),
    LeaseAnswer(LeaseAnswer),
    PromiseRequest(usize, PromiseRequest),
    PromiseAnswer(PromiseAnswer),
    /// A majority acknowledged the round that this control leader sent at this true time in
    /// milliseconds.
    Confirmed(u64),
}

struct EntryHost {
    clock: SkewedClock,
    boot: u64,
    lease: ZoneLease,
    promise_grantor: PromiseGrantor,
}

struct ControlHost {
    clock: SkewedClock,
    /// `None` before the first leadership, and after the host learned that its leadership ended.
    grantor: Option<LeaseGrantor>,
    deposed_at: Option<u64>,
}

/// Number of events of each kind, by which the test verifies that the schedules reach them.
#[derive(Debug, Default)]
struct Coverage {
    takeovers: u64,
    by_promises: u64,
    redelegations: u64,
    two_leaders: u64,
}

struct Schedule {
    random: Random,
    network: FaultyNetwork<Message>,
    now: u64,
    step_ms: u64,
    run_ms: u64,
    zone: ZoneName,
    options: LeaseOptions,
    hosts: Vec<EntryHost>,
    control: Vec<ControlHost>,
    leader: usize,
    paused: Vec<u64>,
    /// Latest committed grant, known to the whole control group; `index` is its log index.
    committed: Option<LeaseHolder>,
    index: u64,
    proposals: Vec<(u64, usize, HostId, BootId)>,
    last_holder: Option<(usize, TermNumber)>,
    restart_at: u64,
    coverage: Coverage,
}

impl Schedule {
    fn new(seed: u64, hosts: usize, faults: TestFaults) -> Self {
        let mut random = Random(seed);
        let mut network = FaultyNetwork::new(&mut random);
        let zone = ZoneName::new("nl-west-a").unwrap();
        let mut clocks: Vec<_> = (0..10).map(|_| SkewedClock::new(&mut random)).collect();
        let mut options = LeaseOptions { faults, ..LeaseOptions::zone() };
        let (mut step_ms, mut run_ms) = (STEP_MS, RUN_MS);
        if random.chance(25) {
            (step_ms, run_ms) = (FINE_STEP_MS, FINE_RUN_MS);
            options.renewal = FINE_RENEWAL;
            clocks = (0..10).map(|_| SkewedClock::extreme(&mut random)).collect();
            network.limit_delays();
        }
        let control = CONTROL.map(|node| ControlHost {
            clock: clocks[node],
            grantor: None,
            deposed_at: None,
        });
        let mut schedule = Self {
            random,
            network,
            now: 0,
            step_ms,
            run_ms,
            zone,
            options,
            hosts: Vec::new(),
            control: Vec::from(control),
            leader: 0,
            paused: vec![0; 10],
            committed: None,
            index: 1,
            proposals: Vec::new(),
            last_holder: None,
            restart_at: 0,
            coverage: Coverage::default(),
        };
        for (host, clock) in clocks.into_iter().take(hosts).enumerate() {
            let entry = schedule.start_host(host, hosts, clock, 1);
            schedule.hosts.push(entry);
        }
        schedule.elect(0);
        schedule
    }

    fn start_host(&self, host: usize, hosts: usize, clock: SkewedClock, boot: u64) -> EntryHost {
        let members = (0..hosts).map(|host| HostId(host as u16)).collect();
        let (id, boot_id) = (HostId(host as u16), BootId(boot));
        let lease = ZoneLease::new(self.zone.clone(), id, boot_id, members, self.options);
        let started = clock.at(self.now);
        let mut promise_grantor = PromiseGrantor::new(self.zone.clone(), id, self.options, started);
        promise_grantor.mark_recovered();
        EntryHost { clock, boot, lease, promise_grantor }
    }

    /// Makes `leader` the control leader. It has applied everything committed; proposals of the old
    /// leader are lost.
    fn elect(&mut self, leader: usize) {
        if leader != self.leader {
            self.control[self.leader].deposed_at = Some(self.now);
            self.coverage.two_leaders += 1;
        }
        self.leader = leader;
        self.proposals.clear();
        let granted_zone =
            GrantedZone { zone: self.zone.clone(), holder: self.committed, zone_hold: ZONE_HOLD };
        let control = &mut self.control[leader];
        let now = control.clock.at(self.now);
        control.grantor = Some(LeaseGrantor::new(self.options, now, vec![granted_zone]));
        control.deposed_at = None;
    }

    fn run(mut self) -> Result<Coverage, String> {
        while self.now < self.run_ms {
            self.now += self.step_ms;
            self.inject_fault();
            self.step_control()?;
            self.step_hosts()?;
            while let Some((to, message)) = self.network.receive(self.now, &self.paused) {
                self.deliver(to, message);
                self.check_holders()?;
            }
        }
        Ok(self.coverage)
    }

    fn inject_fault(&mut self) {
        if self.step_ms == FINE_STEP_MS {
            return self.partition_holder();
        }
        let hosts = self.hosts.len();
        let host = self.random.below(hosts as u64) as usize;
        match self.random.below(30_000 / self.step_ms) {
            0..5 | 60..65 => {
                let (clock, boot) = (self.hosts[host].clock, self.hosts[host].boot + 1);
                self.hosts[host] = self.start_host(host, hosts, clock, boot);
            }
            5..15 => self.paused[host] = self.now + self.random.below(4_000),
            15..30 => self.partition(host, [CONTROL[0], CONTROL[1]]),
            30..45 => {
                let peer = self.random.below(hosts as u64) as usize;
                self.partition(host, [peer, peer]);
            }
            45..50 => self.elect(1 - self.leader),
            50..55 => {
                let now = self.hosts[host].clock.at(self.now);
                let actions = self.hosts[host].lease.release(now);
                self.send_all(host, actions);
            }
            55..58 => {
                let node = CONTROL[self.random.below(2) as usize];
                self.paused[node] = self.now + self.random.below(3_000);
            }
            _ => {}
        }
    }

    /// Partitions the holder from both control leaders and may restart another host meanwhile.
    fn partition_holder(&mut self) {
        let phase = self.now % FINE_CYCLE_MS;
        if phase == 0
            && let Some(&holder) = self.holders().first()
        {
            for node in CONTROL {
                self.network.block(holder, node, self.now + FINE_PARTITION_MS);
                self.network.block(node, holder, self.now + FINE_PARTITION_MS);
            }
            self.restart_at = self.now + self.random.below(2 * FINE_PARTITION_MS);
        }
        if self.now == self.restart_at & !1 {
            let hosts = self.hosts.len();
            let held = self.holders().first().copied().unwrap_or(0);
            let host = (held + 1) % hosts;
            let (clock, boot) = (self.hosts[host].clock, self.hosts[host].boot + 1);
            self.hosts[host] = self.start_host(host, hosts, clock, boot);
        }
    }

    fn partition(&mut self, host: usize, others: [usize; 2]) {
        let until = self.now + self.random.below(8_000);
        let direction = self.random.below(3);
        for other in others {
            if direction != 0 {
                self.network.block(host, other, until);
            }
            if direction != 1 {
                self.network.block(other, host, until);
            }
        }
    }

    fn step_control(&mut self) -> Result<(), String> {
        for index in 0..CONTROL.len() {
            let knows_successor =
                self.control[index].deposed_at.is_some_and(|at| self.now > at + 6_000);
            if knows_successor {
                self.control[index].grantor = None;
            }
        }
        let node = CONTROL[self.leader];
        if self.now.is_multiple_of(100) {
            // The acknowledgement of the majority arrives now or later, possibly after the next
            // election.
            let confirmed = Message::Confirmed(self.now);
            self.network.send(&mut self.random, self.now, node, node + 10, confirmed);
        }
        let due = self.proposals.iter().position(|proposal| proposal.0 <= self.now);
        if let Some(position) = due {
            let (_, leader, host, boot) = self.proposals.remove(position);
            if leader == self.leader {
                self.commit(LeaseHolder { host, boot, term: TermNumber(self.index as u32 + 1) });
            }
        }
        self.check_redelegation()
    }

    fn commit(&mut self, holder: LeaseHolder) {
        self.index += 1;
        self.committed = Some(holder);
        let index = self.index;
        if let Some(grantor) = &mut self.control[self.leader].grantor {
            grantor.apply_grant(&self.zone, holder, index);
        }
    }

    /// Fails if a host holds the zone while its slots may be re-delegated to another zone.
    fn check_redelegation(&mut self) -> Result<(), String> {
        let control = &self.control[self.leader];
        let now = control.clock.at(self.now);
        let Some(grantor) = &control.grantor else { return Ok(()) };
        if self.now < self.paused[CONTROL[self.leader]]
            || !grantor.redelegation_allowed(now, &self.zone)
        {
            return Ok(());
        }
        self.coverage.redelegations += 1;
        match self.holders().first() {
            Some(holder) => {
                Err(format!("{} ms: re-delegation while host {holder} holds", self.now))
            }
            None => Ok(()),
        }
    }

    fn step_hosts(&mut self) -> Result<(), String> {
        for host in 0..self.hosts.len() {
            if self.now < self.paused[host] {
                continue;
            }
            let wants = self.random.chance(2);
            let index = self.index;
            let entry = &mut self.hosts[host];
            if wants {
                entry.lease.become_candidate();
            }
            entry.lease.set_applied(index);
            let actions = entry.lease.tick(entry.clock.at(self.now));
            self.send_all(host, actions);
            self.check_holders()?;
        }
        Ok(())
    }

    fn send_all(&mut self, from: usize, actions: Vec<LeaseAction>) {
        for action in actions {
            match action {
                LeaseAction::SendToControl(request) => {
                    for node in CONTROL {
                        self.post(from, node, Message::LeaseRequest(from, request.clone()));
                    }
                }
                LeaseAction::SendToPeer(peer, request) => {
                    self.post(from, usize::from(peer.0), Message::PromiseRequest(from, request));
                }
            }
        }
    }

    fn post(&mut self, from: usize, to: usize, message: Message) {
        self.network.send(&mut self.random, self.now, from, to, message);
    }

    fn deliver(&mut self, to: usize, message: Message) {
        match message {
            Message::LeaseRequest(from, request) => self.handle_lease_request(to, from, &request),
            Message::Confirmed(sent_at) => {
                let control = &mut self.control[to - 10 - CONTROL[0]];
                let sent_at = control.clock.at(sent_at);
                if let Some(grantor) = &mut control.grantor {
                    grantor.confirm_leadership(sent_at);
                }
            }
            Message::LeaseAnswer(answer) => {
                let entry = &mut self.hosts[to];
                let actions = entry.lease.handle_answer(entry.clock.at(self.now), &answer);
                self.send_all(to, actions);
            }
            Message::PromiseRequest(from, request) => {
                let entry = &mut self.hosts[to];
                let now = entry.clock.at(self.now);
                let answer = entry.promise_grantor.handle(now, &request, TableVersion::default());
                self.post(to, from, Message::PromiseAnswer(answer));
            }
            Message::PromiseAnswer(answer) => {
                let entry = &mut self.hosts[to];
                entry.lease.handle_promise(entry.clock.at(self.now), &answer);
            }
        }
    }

    fn handle_lease_request(&mut self, node: usize, from: usize, request: &LeaseRequest) {
        let control = &mut self.control[node - CONTROL[0]];
        let now = control.clock.at(self.now);
        let Some(grantor) = &mut control.grantor else { return };
        let reply = grantor.handle(now, request);
        if let Some((host, boot)) = reply.proposal {
            let at = self.now + self.random.below(60);
            self.proposals.push((at, node - CONTROL[0], host, boot));
        }
        self.post(node, from, Message::LeaseAnswer(reply.answer));
    }

    fn holders(&self) -> Vec<usize> {
        let holds = |host: &usize| {
            let entry = &self.hosts[*host];
            entry.lease.holds(entry.clock.at(self.now))
        };
        (0..self.hosts.len()).filter(holds).collect()
    }

    fn check_holders(&mut self) -> Result<(), String> {
        let holders = self.holders();
        if holders.len() > 1 {
            return Err(format!("{} ms: hosts {holders:?} hold the zone", self.now));
        }
        let Some(&host) = holders.first() else { return Ok(()) };
        let entry = &self.hosts[host];
        let by_promises =
            entry.lease.state(entry.clock.at(self.now)) == LeaseState::HolderByPromises;
        self.coverage.by_promises += u64::from(by_promises);
        let holder = entry.lease.term().map(|term| (host, term));
        if holder != self.last_holder {
            self.coverage.takeovers += 1;
            self.last_holder = holder;
        }
        Ok(())
    }
}

/// Runs schedules in zones of 1, 2 and 3 hosts until one fails.
fn run_all(seeds: std::ops::Range<u64>, faults: TestFaults) -> Result<Coverage, String> {
    let mut sum = Coverage::default();
    for seed in seeds {
        let hosts = 1 + (seed % 3) as usize;
        let schedule = Schedule::new(seed, hosts, faults);
        let coverage = schedule.run().map_err(|fault| format!("seed {seed}: {fault}"))?;
        sum.takeovers += coverage.takeovers;
        sum.by_promises += coverage.by_promises;
        sum.redelegations += coverage.redelegations;
        sum.two_leaders += coverage.two_leaders;
    }
    Ok(sum)
}

/// Fails if two hosts hold the zone, or if it is re-delegated while a host holds it.
#[test]
fn one_holder_at_a_time() {
    let coverage = run_all(support::schedules(1_000), TestFaults::default()).unwrap();
    println!("{coverage:?}");
    let reached =
        [coverage.takeovers, coverage.by_promises, coverage.redelegations, coverage.two_leaders];
    assert!(reached.iter().all(|count| *count > 0), "schedules miss a case: {coverage:?}");
}

/// Injects faults to verify that the checks detect each of them.
#[test]
fn injected_faults_are_detected() {
    struct Case {
        name: &'static str,
        faults: TestFaults,
    }
    let none = TestFaults::default();
    let cases = [
        Case {
            name: "takeover without promises",
            faults: TestFaults { takeover_without_promises: true, ..none },
        },
        Case {
            name: "promise right after a restart",
            faults: TestFaults { promise_after_restart: true, ..none },
        },
        Case { name: "no drift margin", faults: TestFaults { no_drift_margin: true, ..none } },
        Case { name: "grant while held", faults: TestFaults { grant_while_held: true, ..none } },
    ];
    for case in cases {
        match run_all(1..3_001, case.faults) {
            Ok(coverage) => panic!("{} was not detected: {coverage:?}", case.name),
            Err(fault) => println!("{}: {fault}", case.name),
        }
    }
}
