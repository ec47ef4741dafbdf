//! Random schedules of successive zone leaders and the dispatchers of one target.

mod support;

use std::time::Duration;

use gw_lease::DispatcherAnswer;
use gw_lease::DispatcherGrant;
use gw_lease::DispatcherGrantor;
use gw_lease::DispatcherLease;
use gw_lease::LeaseOptions;
use gw_lease::TestFaults;
use gw_types::BootId;
use gw_types::HostId;
use gw_types::TableVersion;
use gw_types::TargetName;
use gw_types::TermNumber;
use support::FaultyNetwork;
use support::Random;
use support::SkewedClock;

const HOSTS: usize = 3;
const LEADER: usize = HOSTS;
const DEADLINE_MS: u64 = 300;
const RUN_MS: u64 = 20_000;
const STEP_MS: u64 = 10;

#[derive(Clone)]
enum Message {
    Grant(DispatcherGrant),
    Answer(DispatcherAnswer),
}

struct Dispatcher {
    clock: SkewedClock,
    boot: u64,
    lease: DispatcherLease,
    /// Deadline of the latest request that this boot sent.
    busy_until: u64,
}

struct Schedule {
    random: Random,
    network: FaultyNetwork<Message>,
    now: u64,
    target: TargetName,
    options: LeaseOptions,
    leader_clock: SkewedClock,
    leader: DispatcherGrantor,
    term: u32,
    hosts: Vec<Dispatcher>,
    paused: Vec<u64>,
    /// Host that the leader assigns next.
    next_dispatcher: usize,
    last_sender: Option<usize>,
    changes: u64,
}

impl Schedule {
    fn new(seed: u64, faults: TestFaults) -> Self {
        let mut random = Random(seed);
        let options = LeaseOptions { faults, ..LeaseOptions::dispatcher() };
        let network = FaultyNetwork::new(&mut random);
        let clocks: Vec<_> = (0..=HOSTS).map(|_| SkewedClock::new(&mut random)).collect();
        let hosts = (0..HOSTS).map(|host| Dispatcher {
            clock: clocks[host],
            boot: 1,
            lease: DispatcherLease::new(
                HostId(host as u16),
                BootId(1),
                options,
                clocks[host].at(0),
            ),
            busy_until: 0,
        });
        let deadline = Duration::from_millis(DEADLINE_MS);
        let now = clocks[LEADER].at(0);
        Self {
            random,
            network,
            now: 0,
            target: TargetName::new("slipreader-1").unwrap(),
            options,
            leader_clock: clocks[LEADER],
            leader: DispatcherGrantor::new(options, TermNumber(1), deadline, now, []),
            term: 1,
            hosts: hosts.collect(),
            paused: vec![0; HOSTS + 1],
            next_dispatcher: 0,
            last_sender: None,
            changes: 0,
        }
    }

    fn run(mut self) -> Result<u64, String> {
        while self.now < RUN_MS {
            self.now += STEP_MS;
            self.inject_fault();
            self.step_leader();
            while let Some((to, message)) = self.network.receive(self.now, &self.paused) {
                self.deliver(to, message);
                self.send_requests()?;
            }
            self.send_requests()?;
        }
        Ok(self.changes)
    }

    fn inject_fault(&mut self) {
        let host = self.random.below(HOSTS as u64) as usize;
        match self.random.below(1_500) {
            0..10 => {
                let (id, boot) = (HostId(host as u16), self.hosts[host].boot + 1);
                self.hosts[host].boot = boot;
                let started = self.hosts[host].clock.at(self.now);
                let lease = DispatcherLease::new(id, BootId(boot), self.options, started);
                self.hosts[host].lease = lease;
            }
            10..25 => self.paused[host] = self.now + self.random.below(3_000),
            25..35 => self.network.block(LEADER, host, self.now + self.random.below(4_000)),
            35..45 => self.network.block(host, LEADER, self.now + self.random.below(4_000)),
            45..55 => self.replace_leader(),
            55..65 if self.now >= self.hosts[host].busy_until => {
                let now = self.hosts[host].clock.at(self.now);
                let answer = self.hosts[host].lease.release_all(now);
                self.post(host, LEADER, Message::Answer(answer));
            }
            _ => {}
        }
    }

    /// Replaces the leader with one of a later term that knows the dispatcher from the table. The
    /// old leader no longer holds the zone, but its grants may still be in flight.
    fn replace_leader(&mut self) {
        self.term += 1;
        let inherited = [(self.target.clone(), self.leader.dispatcher(&self.target))];
        let deadline = Duration::from_millis(DEADLINE_MS);
        let now = self.leader_clock.at(self.now);
        let term = TermNumber(self.term);
        self.leader = DispatcherGrantor::new(self.options, term, deadline, now, inherited);
    }

    fn step_leader(&mut self) {
        let now = self.leader_clock.at(self.now);
        if self.random.chance(1) {
            self.leader.revoke(now, &self.target);
            self.next_dispatcher = self.random.below(HOSTS as u64) as usize;
        }
        if self.leader.dispatcher(&self.target).is_none() {
            let (host, boot) = (
                HostId(self.next_dispatcher as u16),
                BootId(self.hosts[self.next_dispatcher].boot),
            );
            let _ = self.leader.assign(now, &self.target, host, boot);
        }
        for (host, grant) in self.leader.tick(now) {
            self.post(LEADER, usize::from(host.0), Message::Grant(grant));
        }
    }

    fn post(&mut self, from: usize, to: usize, message: Message) {
        self.network.send(&mut self.random, self.now, from, to, message);
    }

    fn deliver(&mut self, to: usize, message: Message) {
        match message {
            Message::Grant(grant) => {
                let dispatcher = &mut self.hosts[to];
                let idle = self.now >= dispatcher.busy_until;
                let now = dispatcher.clock.at(self.now);
                if let Some(answer) = dispatcher.lease.handle(now, &grant, |_| idle) {
                    self.post(to, LEADER, Message::Answer(answer));
                }
            }
            Message::Answer(answer) => {
                let now = self.leader_clock.at(self.now);
                self.leader.handle(now, &answer);
            }
        }
    }

    /// Lets each dispatcher that may send do so, and fails if another one has a request running.
    fn send_requests(&mut self) -> Result<(), String> {
        for host in 0..HOSTS {
            let dispatcher = &self.hosts[host];
            let now = dispatcher.clock.at(self.now);
            let held = TableVersion { term: TermNumber(self.term), number: 0 };
            if !dispatcher.lease.may_send(now, &self.target, held) {
                continue;
            }
            let is_busy =
                |other: &usize| *other != host && self.hosts[*other].busy_until > self.now;
            if let Some(other) = (0..HOSTS).find(is_busy) {
                return Err(format!("{} ms: hosts {other} and {host} send", self.now));
            }
            self.hosts[host].busy_until = self.now + DEADLINE_MS;
            if self.last_sender != Some(host) {
                self.last_sender = Some(host);
                self.changes += 1;
            }
        }
        Ok(())
    }
}

fn run_all(seeds: std::ops::Range<u64>, faults: TestFaults) -> Result<u64, String> {
    let mut changes = 0;
    for seed in seeds {
        let schedule = Schedule::new(seed, faults);
        changes += schedule.run().map_err(|fault| format!("seed {seed}: {fault}"))?;
    }
    Ok(changes)
}

/// Fails if two hosts may send to one target, or if a second host may send while a request of the
/// first may still be running.
#[test]
fn one_sender_at_a_time() {
    let changes = run_all(support::schedules(1_500), TestFaults::default()).unwrap();
    println!("{changes} changes of dispatcher");
    assert!(changes > 0);
}

/// Injects a fault to verify that the checks detect it: a dispatcher measures the lease from the
/// receipt of the grant, so that a delayed grant prolongs the lease.
#[test]
fn lease_measured_from_receipt_is_detected() {
    let faults = TestFaults { count_from_receipt: true, ..TestFaults::default() };
    let fault = run_all(1..1_501, faults).expect_err("the fault was not detected");
    println!("{fault}");
}
