//! Claims and holders in virtual time: whatever is lost, delayed, repeated or restarted, no record
//! is run twice.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use gw_daemon::records::ClaimBook;
use gw_daemon::records::ClaimRound;
use gw_daemon::records::ClaimRules;
use gw_daemon::records::ROUND_LIMIT;
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
/// Each key is sent again for this time; records are kept for longer.
const RESEND_MS: u64 = 6_000;
const RULES: ClaimRules = ClaimRules {
    keep_ended: Duration::from_millis(8_000),
    keep_claimed: Duration::from_millis(10_000),
    record_limit: 100,
};

/// A fault that is built in to show that the check finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The request is written before the copies are acknowledged.
    WriteFirst,
    /// A restarted holder grants claims at once.
    GrantAfterRestart,
    /// A restarted holder asks the others before earlier rounds have ended.
    SyncAtOnce,
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
    book: ClaimBook,
    boot: u64,
    synced: Vec<usize>,
}

struct Round {
    round: ClaimRound,
    record: ClaimRecord,
    is_won: bool,
}

struct Schedule {
    random: SplitMix,
    fault: Fault,
    groups: RecordGroups,
    service: ServiceName,
    now: u64,
    queue: BTreeMap<(u64, Reverse<u64>), Event>,
    next: u64,
    hosts: Vec<Host>,
    rounds: BTreeMap<ClaimId, Round>,
    runs: BTreeMap<RecordKey, u32>,
}

impl Schedule {
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
            let mut book = ClaimBook::new(Timestamp::default(), 1 << 20);
            book.set_complete(&service);
            Host { book, boot: 1, synced: Vec::new() }
        };
        let hosts = (0..count).map(new_host).collect();
        let mut schedule = Self {
            random,
            fault,
            groups: RecordGroups::new(&entries),
            service: service.clone(),
            now: 0,
            queue: BTreeMap::new(),
            next: 0,
            hosts,
            rounds: BTreeMap::new(),
            runs: BTreeMap::new(),
        };
        schedule.fill();
        schedule
    }

    fn fill(&mut self) {
        for key in 0..KEYS {
            let first = self.below(END_MS - RESEND_MS);
            for _ in 0..12 {
                let (host, at) = (self.any_host(), first + self.below(RESEND_MS));
                self.at(at, Event::Request { host, key });
            }
        }
        for _ in 0..self.below(8) {
            let (host, at) = (self.any_host(), self.below(END_MS));
            self.at(at, Event::Restart { host });
        }
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound
    }

    fn any_host(&mut self) -> usize {
        let count = self.hosts.len() as u64;
        self.below(count) as usize
    }

    fn at(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.queue.insert((at, Reverse(self.next)), event);
    }

    /// Sends a message that may be lost, delayed or repeated.
    fn send(&mut self, event: Event) {
        let copies = match self.below(20) {
            0 | 1 => 0,
            2 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay = if self.below(4) == 0 { self.below(700) } else { self.below(30) };
            self.at(self.now + delay, event.clone());
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
                let answer = self.hosts[to].book.claim(now, &RULES, &service, &record);
                self.send(Event::Answer { from: to, claim: record.claim, answer });
            }
            Event::Answer { from, claim, answer } => {
                let Some(open) = self.rounds.get_mut(&claim).filter(|open| !open.is_won) else {
                    return;
                };
                let result = open.round.note(HostId(from as u16), answer);
                match result {
                    Some(RoundResult::Won) => self.win(claim),
                    Some(_) => self.give_up(claim),
                    None => {}
                }
            }
            Event::GiveUp { claim } => {
                if self.rounds.get(&claim).is_some_and(|open| !open.is_won) {
                    self.give_up(claim);
                }
            }
            Event::Finish { claim } => self.finish(claim),
            Event::Release { to, key, claim } => self.hosts[to].book.release(&service, key, claim),
            Event::End { to, record } => {
                self.hosts[to].book.end(now, &RULES, &service, &record);
            }
            Event::Restart { host } => self.restart(host),
            Event::Sync { host, boot } => {
                let is_over = self.hosts[host].book.is_complete(now, &RULES, &service);
                if self.hosts[host].boot != boot || is_over {
                    return;
                }
                for to in (0..self.hosts.len()).filter(|to| *to != host) {
                    self.send(Event::Fetch { to, host, boot });
                }
                self.at(self.now + 500, Event::Sync { host, boot });
            }
            Event::Fetch { to, host, boot } => {
                let is_complete = self.hosts[to].book.is_complete(now, &RULES, &service);
                let records = self.hosts[to].book.records(&service);
                self.send(Event::Records { from: to, host, boot, is_complete, records });
            }
            Event::Records { from, host, boot, is_complete, records } => {
                let count = self.hosts.len();
                let Host { book, boot: current, synced } = &mut self.hosts[host];
                if *current != boot || !is_complete || synced.contains(&from) {
                    return;
                }
                assert!(book.merge(now, &RULES, &service, &records));
                synced.push(from);
                if synced.len() + 1 == count {
                    book.set_complete(&service);
                }
            }
        }
    }

    fn request(&mut self, host: usize, key: u64) {
        let key = RecordKey(u128::from(key) << 64 | 0x1234_5678);
        self.next += 1;
        let boot = BootId(self.hosts[host].boot);
        let claim = ClaimId { host: HostId(host as u16), boot, number: self.next };
        let (fingerprint, state) = (RequestFingerprint(1), RecordState::AboutToRun);
        let record = ClaimRecord { key, claim, fingerprint, state };
        let round = ClaimRound::new(vec![self.groups.of_region(key)], fingerprint);
        for to in round.holders() {
            let (to, record) = (usize::from(to.0), record.clone());
            self.send(Event::Claim { to, record });
        }
        self.rounds.insert(claim, Round { round, record, is_won: false });
        self.at(self.now + ROUND_LIMIT.as_millis() as u64, Event::GiveUp { claim });
        if self.fault == Fault::WriteFirst {
            self.win(claim);
        }
    }

    fn win(&mut self, claim: ClaimId) {
        let open = self.rounds.get_mut(&claim).expect("an open round");
        open.is_won = true;
        let key = open.record.key;
        // Some requests are refused after all, by a full queue or a lost lease.
        if self.below(5) == 0 {
            self.give_up(claim);
            return;
        }
        *self.runs.entry(key).or_default() += 1;
        let end = self.now + self.below(900);
        self.at(end, Event::Finish { claim });
    }

    fn give_up(&mut self, claim: ClaimId) {
        let Some(open) = self.rounds.remove(&claim) else { return };
        for to in open.round.holders() {
            self.send(Event::Release { to: usize::from(to.0), key: open.record.key, claim });
        }
    }

    fn finish(&mut self, claim: ClaimId) {
        // The dispatcher has restarted meanwhile.
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
        let mut book = ClaimBook::new(now, 1 << 20);
        if self.fault == Fault::GrantAfterRestart {
            book.set_complete(&self.service);
        }
        self.hosts[host] = Host { book, boot, synced: Vec::new() };
        self.rounds.retain(|claim, _| usize::from(claim.host.0) != host);
        let delay = if self.fault == Fault::SyncAtOnce { Duration::ZERO } else { SYNC_DELAY };
        self.at(self.now + delay.as_millis() as u64, Event::Sync { host, boot });
    }
}

/// Runs of each key under one seed.
fn runs_of(seed: u64, fault: Fault) -> Vec<u32> {
    let mut schedule = Schedule::new(seed, fault);
    schedule.run();
    schedule.runs.into_values().collect()
}

/// Guards against a second run of a record under loss, delay, duplicates and restarts of any number
/// of hosts. The requests must also run as a rule, or the check would be empty.
#[test]
fn no_schedule_runs_a_record_twice() {
    const SEEDS: u64 = 1_500;
    let mut run = 0;
    for seed in 0..SEEDS {
        let runs = runs_of(seed, Fault::None);
        assert!(runs.iter().all(|count| *count <= 1), "seed {seed}: {runs:?}");
        run += runs.len() as u64;
    }
    assert!(run > SEEDS * KEYS / 2, "only {run} of {} records were run", SEEDS * KEYS);
}

/// Guards against a check that finds nothing: each built-in fault must be caught.
#[test]
fn built_in_faults_are_caught() {
    for fault in [Fault::WriteFirst, Fault::GrantAfterRestart, Fault::SyncAtOnce] {
        let is_caught = |seed: &u64| runs_of(*seed, fault).iter().any(|count| *count > 1);
        let seed = (0..20_000).find(is_caught);
        assert!(seed.is_some(), "{fault:?} is not caught");
    }
}
