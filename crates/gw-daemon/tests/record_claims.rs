//! Simulates claims and holders in virtual time. Messages are lost, delayed and duplicated, and
//! hosts restart; no request may run twice.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use gw_daemon::records::ClaimLimits;
use gw_daemon::records::ClaimRound;
use gw_daemon::records::ClaimTable;
use gw_daemon::records::ROUND_TIMEOUT;
use gw_daemon::records::RecordGroups;
use gw_daemon::records::RoundResult;
use gw_daemon::records::SYNC_DELAY;
use gw_dispatch::ClaimId;
use gw_dispatch::ClaimRecord;
use gw_dispatch::ClaimResponse;
use gw_dispatch::RandomSource;
use gw_dispatch::RecordKey;
use gw_dispatch::RecordState;
use gw_dispatch::RequestFingerprint;
use gw_dispatch::SplitMix;
use gw_types::BootId;
use gw_types::HostEntry;
use gw_types::HostId;
use gw_types::HostName;
use gw_types::ServiceName;
use gw_types::Timestamp;
use gw_types::ZoneName;

const KEYS: u64 = 6;
const END_MS: u64 = 30_000;
/// Time for which the request of a key is resent. Records are kept longer.
const RESEND_MS: u64 = 6_000;
const LIMITS: ClaimLimits = ClaimLimits {
    ended_retention: Duration::from_millis(8_000),
    claimed_retention: Duration::from_millis(10_000),
    record_limit: 100,
};

/// A fault that is injected to show that the simulation detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The request is written before the holders have granted the claim.
    WriteBeforeGrant,
    /// A restarted holder grants claims before it has fetched the records of the other holders.
    GrantAfterRestart,
    /// A restarted holder fetches records without `SYNC_DELAY`, while rounds that use the grants of
    /// its earlier boot may still be in progress.
    SyncWithoutDelay,
}

#[derive(Clone, Debug)]
enum Event {
    Request { host: usize, key: u64 },
    Claim { to: usize, record: ClaimRecord },
    Answer { from: usize, claim: ClaimId, answer: ClaimResponse },
    GiveUp { claim: ClaimId },
    Finish { claim: ClaimId },
    Release { to: usize, key: RecordKey, claim: ClaimId },
    End { to: usize, record: ClaimRecord },
    Restart { host: usize },
    Sync { host: usize, boot: u64 },
    Fetch { to: usize, host: usize, boot: u64 },
    Records { from: usize, host: usize, boot: u64, is_complete: bool, records: Vec<ClaimRecord> },
}

struct Host {
    claims: ClaimTable,
    boot: u64,
    synced: Vec<usize>,
}

struct Round {
    round: ClaimRound,
    record: ClaimRecord,
    is_won: bool,
}

struct Simulation {
    random: SplitMix,
    fault: Fault,
    groups: RecordGroups,
    service: ServiceName,
    now: u64,
    queue: BTreeMap<(u64, Reverse<u64>), Event>,
    next_number: u64,
    hosts: Vec<Host>,
    rounds: BTreeMap<ClaimId, Round>,
    runs: BTreeMap<RecordKey, u32>,
}

impl Simulation {
    fn new(seed: u64, fault: Fault) -> Self {
        let mut random = SplitMix::new(seed);
        let count = 2 + (random.next_u64() % 4) as u16;
        let zones = 1 + random.next_u64() % 3;
        let entry = |id: u16| HostEntry {
            id: HostId(id),
            name: HostName::new(format!("h{id}")).unwrap(),
            zone: ZoneName::new(format!("z{}", u64::from(id) % zones)).unwrap(),
            peers: ([127, 0, 0, 1], 1).into(),
            forwards: Some(([127, 0, 0, 1], 2).into()),
            control: false,
        };
        let entries: Vec<_> = (0..count).map(entry).collect();
        let service = ServiceName::new("attestor").unwrap();
        let new_host = |_| {
            let mut claims = ClaimTable::new(Timestamp::default(), 1 << 20);
            claims.set_complete(&service);
            Host { claims, boot: 1, synced: Vec::new() }
        };
        let hosts = (0..count).map(new_host).collect();
        let mut simulation = Self {
            random,
            fault,
            groups: RecordGroups::new(&entries),
            service: service.clone(),
            now: 0,
            queue: BTreeMap::new(),
            next_number: 0,
            hosts,
            rounds: BTreeMap::new(),
            runs: BTreeMap::new(),
        };
        simulation.add_events();
        simulation
    }

    fn add_events(&mut self) {
        for key in 0..KEYS {
            let first = self.random_below(END_MS - RESEND_MS);
            for _ in 0..12 {
                let (host, at) = (self.random_host(), first + self.random_below(RESEND_MS));
                self.push_event(at, Event::Request { host, key });
            }
        }
        for _ in 0..self.random_below(8) {
            let (host, at) = (self.random_host(), self.random_below(END_MS));
            self.push_event(at, Event::Restart { host });
        }
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound
    }

    fn random_host(&mut self) -> usize {
        let count = self.hosts.len() as u64;
        self.random_below(count) as usize
    }

    fn push_event(&mut self, at: u64, event: Event) {
        self.next_number += 1;
        self.queue.insert((at, Reverse(self.next_number)), event);
    }

    /// Sends a message that may be lost, delayed or duplicated.
    fn send(&mut self, event: Event) {
        let copies = match self.random_below(20) {
            0 | 1 => 0,
            2 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay = if self.random_below(4) == 0 {
                self.random_below(700)
            } else {
                self.random_below(30)
            };
            self.push_event(self.now + delay, event.clone());
        }
    }

    fn time(&self) -> Timestamp {
        Timestamp::default() + Duration::from_millis(self.now)
    }

    fn run(&mut self) {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let (now, service) = (self.time(), self.service.clone());
        match event {
            Event::Request { host, key } => self.request(host, key),
            Event::Claim { to, record } => {
                let answer = self.hosts[to].claims.claim(now, &LIMITS, &service, &record);
                self.send(Event::Answer { from: to, claim: record.claim, answer });
            }
            Event::Answer { from, claim, answer } => {
                let Some(open) = self.rounds.get_mut(&claim).filter(|open| !open.is_won) else {
                    return;
                };
                let result = open.round.record_response(HostId(from as u16), answer);
                match result {
                    Some(RoundResult::Won) => self.win(claim),
                    Some(_) => self.release_claim(claim),
                    None => {}
                }
            }
            Event::GiveUp { claim } => {
                if self.rounds.get(&claim).is_some_and(|open| !open.is_won) {
                    self.release_claim(claim);
                }
            }
            Event::Finish { claim } => self.finish(claim),
            Event::Release { to, key, claim } => {
                self.hosts[to].claims.release(&service, key, claim)
            }
            Event::End { to, record } => {
                self.hosts[to].claims.record_outcome(now, &LIMITS, &service, &record);
            }
            Event::Restart { host } => self.restart(host),
            Event::Sync { host, boot } => {
                let is_complete = self.hosts[host].claims.is_complete(now, &LIMITS, &service);
                if self.hosts[host].boot != boot || is_complete {
                    return;
                }
                for to in (0..self.hosts.len()).filter(|to| *to != host) {
                    self.send(Event::Fetch { to, host, boot });
                }
                self.push_event(self.now + 500, Event::Sync { host, boot });
            }
            Event::Fetch { to, host, boot } => {
                let is_complete = self.hosts[to].claims.is_complete(now, &LIMITS, &service);
                let records = self.hosts[to].claims.records(&service);
                self.send(Event::Records { from: to, host, boot, is_complete, records });
            }
            Event::Records { from, host, boot, is_complete, records } => {
                let count = self.hosts.len();
                let Host { claims, boot: current, synced } = &mut self.hosts[host];
                if *current != boot || !is_complete || synced.contains(&from) {
                    return;
                }
                assert!(claims.merge(now, &LIMITS, &service, &records));
                synced.push(from);
                if synced.len() + 1 == count {
                    claims.set_complete(&service);
                }
            }
        }
    }

    fn request(&mut self, host: usize, key: u64) {
        let key = RecordKey(u128::from(key) << 64 | 0x1234_5678);
        self.next_number += 1;
        let boot = BootId(self.hosts[host].boot);
        let claim = ClaimId { host: HostId(host as u16), boot, number: self.next_number };
        let (fingerprint, state) = (RequestFingerprint(1), RecordState::AboutToRun);
        let record = ClaimRecord { key, claim, fingerprint, state };
        let round = ClaimRound::new(vec![self.groups.of_region(key)], fingerprint);
        for to in round.holders() {
            let (to, record) = (usize::from(to.0), record.clone());
            self.send(Event::Claim { to, record });
        }
        self.rounds.insert(claim, Round { round, record, is_won: false });
        self.push_event(self.now + ROUND_TIMEOUT.as_millis() as u64, Event::GiveUp { claim });
        if self.fault == Fault::WriteBeforeGrant {
            self.win(claim);
        }
    }

    fn win(&mut self, claim: ClaimId) {
        let open = self.rounds.get_mut(&claim).expect("an open round");
        open.is_won = true;
        let key = open.record.key;
        // Some requests are refused after the claim, by a full queue or a lost lease.
        if self.random_below(5) == 0 {
            self.release_claim(claim);
            return;
        }
        *self.runs.entry(key).or_default() += 1;
        let end = self.now + self.random_below(900);
        self.push_event(end, Event::Finish { claim });
    }

    fn release_claim(&mut self, claim: ClaimId) {
        let Some(open) = self.rounds.remove(&claim) else { return };
        for to in open.round.holders() {
            self.send(Event::Release { to: usize::from(to.0), key: open.record.key, claim });
        }
    }

    fn finish(&mut self, claim: ClaimId) {
        // A dispatcher that restarted in the meantime has lost the round.
        let Some(open) = self.rounds.remove(&claim) else { return };
        let record = ClaimRecord { state: RecordState::Unknown, ..open.record };
        for to in open.round.holders() {
            let (to, record) = (usize::from(to.0), record.clone());
            self.send(Event::End { to, record });
        }
    }

    fn restart(&mut self, host: usize) {
        let now = self.time();
        let boot = self.hosts[host].boot + 1;
        let mut claims = ClaimTable::new(now, 1 << 20);
        if self.fault == Fault::GrantAfterRestart {
            claims.set_complete(&self.service);
        }
        self.hosts[host] = Host { claims, boot, synced: Vec::new() };
        self.rounds.retain(|claim, _| usize::from(claim.host.0) != host);
        let delay = if self.fault == Fault::SyncWithoutDelay { Duration::ZERO } else { SYNC_DELAY };
        self.push_event(self.now + delay.as_millis() as u64, Event::Sync { host, boot });
    }
}

/// Returns the number of runs of each key under one seed.
fn runs_of(seed: u64, fault: Fault) -> Vec<u32> {
    let mut simulation = Simulation::new(seed, fault);
    simulation.run();
    simulation.runs.into_values().collect()
}

/// Guards against a second run of a request after lost, delayed and duplicated messages and
/// restarts of any number of hosts. More than half of the requests must run, since otherwise the
/// check would prove nothing.
#[test]
fn no_simulation_runs_a_request_twice() {
    const SEEDS: u64 = 1_500;
    let mut run = 0;
    for seed in 0..SEEDS {
        let runs = runs_of(seed, Fault::None);
        assert!(runs.iter().all(|count| *count <= 1), "seed {seed}: {runs:?}");
        run += runs.len() as u64;
    }
    assert!(run > SEEDS * KEYS / 2, "only {run} of {} records were run", SEEDS * KEYS);
}

/// Guards against a simulation that detects nothing: each injected fault must cause a second run.
#[test]
fn injected_faults_are_detected() {
    for fault in [Fault::WriteBeforeGrant, Fault::GrantAfterRestart, Fault::SyncWithoutDelay] {
        let is_detected = |seed: &u64| runs_of(*seed, fault).iter().any(|count| *count > 1);
        let seed = (0..20_000).find(is_detected);
        assert!(seed.is_some(), "{fault:?} is not caught");
    }
}
