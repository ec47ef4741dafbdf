//! Random schedules of the placement of a zone, its dispatchers and its targets in virtual time.
//!
//! Dispatchers receive tables, drain requests and leases late or not at all; targets freeze,
//! restart and leave; leaders are replaced. The model sends a request whenever the table and the
//! lease of a dispatcher allow it, and lets it run until its deadline.

use std::collections::BTreeMap;
use std::time::Duration;

use gw_placement::DrainDone;
use gw_placement::DrainRequest;
use gw_placement::HandoverSubject;
use gw_placement::PlacementFaults;
use gw_placement::PlacementOptions;
use gw_placement::SlotDelegation;
use gw_placement::TargetChange;
use gw_placement::ZonePlacement;
use gw_types::BootId;
use gw_types::FencingToken;
use gw_types::HostId;
use gw_types::KeyHash;
use gw_types::ServiceName;
use gw_types::TableVersion;
use gw_types::TargetEntry;
use gw_types::TargetName;
use gw_types::TargetState;
use gw_types::TermNumber;
use gw_types::Timestamp;
use gw_types::ZoneName;
use gw_types::ZoneTable;

const STEP_MS: u64 = 50;
const RUN_MS: u64 = 20_000;
const TARGETS: usize = 4;
const LEASE_MS: u64 = 1_000;
const DEADLINE_MS: u64 = 400;
/// Slots to which the model sends requests; their keys get overrides at times.
const SLOTS: [u16; 4] = [5, 100, 101, 16_000];

struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// Dispatcher of one target.
#[derive(Clone)]
struct TargetDispatcher {
    table: ZoneTable,
    /// Lease ends, with the lowest table version that each requires.
    leases: Vec<(TableVersion, u64)>,
    started: u64,
    /// Time until which it cannot communicate with the zone leader.
    unreachable_until: u64,
    /// Revocations that this dispatcher answered, by key: ownership under a lower token is void.
    revoked: BTreeMap<KeyHash, (TermNumber, FencingToken)>,
}

/// Request that is running at a target.
#[derive(Clone, Copy)]
struct RunningRequest {
    key: KeyHash,
    target: usize,
    /// Start time of the dispatcher process that sent it. Later processes do not know of it.
    started: u64,
    until: u64,
}

struct Schedule {
    random: Random,
    now: u64,
    options: PlacementOptions,
    service: ServiceName,
    placement: ZonePlacement,
    term: u32,
    dispatchers: Vec<TargetDispatcher>,
    boots: Vec<u64>,
    running: Vec<RunningRequest>,
    /// Last published owner and token of each key.
    published: BTreeMap<KeyHash, (Option<TargetName>, FencingToken)>,
    names: Vec<TargetName>,
    keys: Vec<KeyHash>,
    served: u64,
    moved: u64,
    last_target: BTreeMap<KeyHash, usize>,
}

fn at(now: u64) -> Timestamp {
    Timestamp::from_millis(now)
}

fn name(target: usize) -> TargetName {
    TargetName::new(format!("t{target}")).unwrap()
}

impl Schedule {
    fn new(seed: u64, faults: PlacementFaults) -> Self {
        let longest_deadline = Duration::from_millis(DEADLINE_MS);
        let options = PlacementOptions { longest_deadline, faults, ..PlacementOptions::default() };
        let zone = ZoneName::new("vaveri").unwrap();
        let table = ZoneTable::empty(zone);
        let dispatcher = TargetDispatcher {
            table: table.clone(),
            leases: Vec::new(),
            started: 0,
            unreachable_until: 0,
            revoked: BTreeMap::new(),
        };
        let keys = SLOTS.iter().flat_map(|slot| {
            // The first two keys of each slot.
            (0..).map(KeyHash).filter(move |key| key.slot().0 == *slot).take(2)
        });
        let mut schedule = Self {
            random: Random(seed),
            now: 0,
            options,
            service: ServiceName::new("matarlas").unwrap(),
            placement: ZonePlacement::adopt(options, TermNumber(1), table, at(0)),
            term: 1,
            dispatchers: vec![dispatcher; TARGETS],
            boots: vec![1; TARGETS],
            running: Vec::new(),
            published: BTreeMap::new(),
            names: (0..TARGETS).map(name).collect(),
            keys: keys.collect(),
            served: 0,
            moved: 0,
            last_target: BTreeMap::new(),
        };
        schedule.delegate();
        schedule
    }

    fn delegate(&mut self) {
        let range = SlotDelegation { first: 0, last: 16_383, term: TermNumber(1), ready: true };
        let service = self.service.clone();
        self.placement.set_delegation(at(self.now), &service, vec![range]);
    }

    fn join(&mut self, target: usize) {
        let entry = TargetEntry {
            name: name(target),
            service: self.service.clone(),
            address: ([127, 0, 0, 1], 9_000 + target as u16).into(),
            boot: BootId(self.boots[target]),
            state: TargetState::Serving,
            work_slots: 2,
            checks_tokens: target.is_multiple_of(2),
            dispatcher: None,
        };
        let now = at(self.now);
        self.placement.change_target(now, TargetChange::Joined(entry));
        let dispatcher = Some(HostId(target as u16));
        self.placement.change_target(now, TargetChange::Dispatcher(name(target), dispatcher));
    }

    fn run(mut self) -> Result<(u64, u64), String> {
        for target in 0..TARGETS {
            self.join(target);
        }
        while self.now < RUN_MS {
            self.now += STEP_MS;
            self.inject_fault();
            self.placement.tick(at(self.now));
            self.publish()?;
            self.renew_leases();
            self.drain();
            self.send_requests()?;
        }
        Ok((self.served, self.moved))
    }

    fn inject_fault(&mut self) {
        let target = self.random.below(TARGETS as u64) as usize;
        let key = self.keys[self.random.below(self.keys.len() as u64) as usize];
        let (now, service) = (at(self.now), self.service.clone());
        let change = match self.random.below(200) {
            0..3 => TargetChange::Lost(name(target)),
            3..5 => TargetChange::Draining(name(target)),
            5..7 => TargetChange::Left(name(target)),
            7..10 => {
                // Requests that run in the previous process end with it.
                self.boots[target] += 1;
                self.running.retain(|request| request.target != target);
                TargetChange::Rebooted(name(target), BootId(self.boots[target]))
            }
            10..18 => return self.join(target),
            18..24 => {
                self.dispatchers[target].unreachable_until = self.now + self.random.below(3_000);
                return;
            }
            24..32 => return drop(self.placement.move_key(now, &service, key, &name(target))),
            32..36 => return drop(self.placement.merge_key(now, &service, key)),
            36..42 => {
                let slot = key.slot().0;
                return drop(self.placement.move_slots(now, &service, slot, slot, &name(target)));
            }
            42..44 => {
                self.placement.rebalance(now, &service, 500);
                return;
            }
            44..46 => return self.replace_leader(),
            60..65 => return self.restart_dispatcher(target),
            46..60 => return self.confirm_by_target(),
            _ => return,
        };
        self.placement.change_target(now, change);
    }

    /// Restarts a dispatcher. Requests of the old process continue at the target; the new process
    /// does not know of them.
    fn restart_dispatcher(&mut self, target: usize) {
        let dispatcher = &mut self.dispatchers[target];
        dispatcher.started = self.now;
        dispatcher.table = ZoneTable::empty(dispatcher.table.zone.clone());
        dispatcher.leases.clear();
        dispatcher.revoked.clear();
    }

    /// Replaces the leader with one of a later term that adopts the published table.
    fn replace_leader(&mut self) {
        self.term += 1;
        let table = self.placement.table().clone();
        self.placement =
            ZonePlacement::adopt(self.options, TermNumber(self.term), table, at(self.now));
        self.delegate();
    }

    /// Ends the requests at a target, which then confirms the revocation. A target that checks
    /// tokens refuses the old token from now on; another would run what its dispatcher sends.
    fn confirm_by_target(&mut self) {
        let Some(handover) = self.placement.handovers().first().cloned() else { return };
        let Some(target) = (0..TARGETS).find(|t| handover.from == Some(name(*t))) else { return };
        self.running.retain(|request| request.target != target);
        if handover.checks_tokens {
            self.void_ownership(target, &handover.subject, handover.token);
        }
        self.placement.confirm_revocation(handover.id, handover.token);
    }

    fn void_ownership(&mut self, target: usize, subject: &HandoverSubject, token: FencingToken) {
        let term = self.placement.table().version.term;
        for key in self.keys_of(subject) {
            self.dispatchers[target].revoked.insert(key, (term, token));
        }
    }

    fn keys_of(&self, subject: &HandoverSubject) -> Vec<KeyHash> {
        let matches = |key: &&KeyHash| match *subject {
            HandoverSubject::Key(subject) => subject == **key,
            HandoverSubject::Slots { first, last } => (first..=last).contains(&key.slot().0),
        };
        self.keys.iter().filter(matches).copied().collect()
    }

    fn publish(&mut self) -> Result<(), String> {
        let old = self.placement.table().version;
        let Some(delta) = self.placement.publish() else { return Ok(()) };
        let table = self.placement.table().clone();
        if table.version <= old {
            return Err(format!("{} ms: version does not grow", self.now));
        }
        for dispatcher in &mut self.dispatchers {
            if self.now < dispatcher.unreachable_until || self.random.chance(20) {
                continue;
            }
            // A dispatcher that missed a version fetches the whole table.
            match delta.apply(&dispatcher.table) {
                Ok(next) if next != table => return Err("delta leads to another table".to_owned()),
                _ => dispatcher.table = table.clone(),
            }
        }
        self.check_tokens(&table)
    }

    fn check_tokens(&mut self, table: &ZoneTable) -> Result<(), String> {
        for key in &self.keys {
            let Some((owner, token)) = owner_of(table, *key) else { continue };
            let last = self.published.insert(*key, (owner.cloned(), token));
            let grows = last.is_none_or(|(last_owner, last_token)| {
                token > last_token || (token == last_token && owner == last_owner.as_ref())
            });
            if !grows {
                return Err(format!("{} ms: token of key {key} does not grow", self.now));
            }
            let is_listed = owner.is_none_or(|owner| table.target(owner.as_str()).is_some());
            if !is_listed {
                return Err(format!("{} ms: owner of key {key} is not in the table", self.now));
            }
        }
        Ok(())
    }

    fn renew_leases(&mut self) {
        for target in 0..TARGETS {
            // A restarted dispatcher gets no lease before the lease of the old process and the last
            // deadline have passed.
            let safe_at = self.dispatchers[target].started + 2 * LEASE_MS;
            let restarted = self.dispatchers[target].started > 0 && self.now < safe_at;
            if self.now < self.dispatchers[target].unreachable_until || restarted {
                continue;
            }
            let now = self.now;
            self.dispatchers[target].leases.retain(|(_, until)| now < *until);
            let until = now + LEASE_MS;
            self.placement.record_grant(&name(target), at(until));
            if !self.random.chance(20) {
                let version = self.placement.table().version;
                self.dispatchers[target].leases.push((version, until));
            }
        }
    }

    fn drain(&mut self) {
        let requests: Vec<DrainRequest> = self.placement.drain_requests(at(self.now));
        for request in requests {
            let target = usize::from(request.dispatcher.0);
            if self.now < self.dispatchers[target].unreachable_until {
                continue;
            }
            self.void_ownership(target, &request.subject, request.token);
            let keys = self.keys_of(&request.subject);
            let started = self.dispatchers[target].started;
            let runs = |running: &RunningRequest| {
                running.target == target
                    && running.started == started
                    && keys.contains(&running.key)
            };
            if !self.running.iter().any(runs) {
                let run_age = Duration::from_millis(self.now - self.dispatchers[target].started);
                let (id, dispatcher) = (request.id, request.dispatcher);
                self.placement.confirm_drain(&DrainDone { id, dispatcher, run_age });
            }
        }
    }

    /// Sends a request for each key from each dispatcher that may send according to its own state.
    fn send_requests(&mut self) -> Result<(), String> {
        self.running.retain(|request| request.until > self.now);
        for target in 0..TARGETS {
            let dispatcher = &self.dispatchers[target];
            let usable = |(version, until): &(TableVersion, u64)| {
                *version <= dispatcher.table.version && self.now < *until
            };
            if !dispatcher.leases.iter().any(usable) {
                continue;
            }
            for key in self.keys.clone() {
                let dispatcher = &self.dispatchers[target];
                let Some((Some(owner), token)) = owner_of(&dispatcher.table, key) else { continue };
                let is_void = dispatcher.revoked.get(&key).is_some_and(|(term, revoked)| {
                    dispatcher.table.version.term <= *term && token < *revoked
                });
                if *owner != self.names[target] || is_void {
                    continue;
                }
                self.check_owner(key, target, token)?;
                let until = self.now + 1 + self.random.below(DEADLINE_MS);
                let started = self.dispatchers[target].started;
                self.running.push(RunningRequest { key, target, started, until });
            }
        }
        Ok(())
    }

    fn check_owner(
        &mut self,
        key: KeyHash,
        target: usize,
        token: FencingToken,
    ) -> Result<(), String> {
        let other = self.running.iter().find(|run| run.key == key && run.target != target);
        if let Some(other) = other {
            let fault = format!("key {key} runs at t{} and t{target}", other.target);
            return Err(format!("{} ms: {fault}", self.now));
        }
        self.served += 1;
        let last = self.last_target.insert(key, target);
        if last.is_some_and(|last| last != target) {
            self.moved += 1;
        }
        let highest = self.published.get(&key).map_or(FencingToken::NONE, |(_, token)| *token);
        if token > highest {
            return Err(format!("{} ms: token of key {key} was never published", self.now));
        }
        Ok(())
    }
}

/// Returns the owner and token of a key in a table.
fn owner_of(table: &ZoneTable, key: KeyHash) -> Option<(Option<&TargetName>, FencingToken)> {
    let service = table.services.first()?;
    if let Some(entry) = service.overrides.iter().find(|entry| entry.key == key) {
        return Some((entry.owner.as_ref(), entry.token));
    }
    let slot = key.slot().0;
    let range = service.ranges.iter().find(|range| (range.first..=range.last).contains(&slot))?;
    Some((range.owner.as_ref(), range.token))
}

fn run_all(seeds: std::ops::Range<u64>, faults: PlacementFaults) -> Result<(u64, u64), String> {
    let mut sum = (0, 0);
    for seed in seeds {
        let schedule = Schedule::new(seed, faults);
        let (served, moved) = schedule.run().map_err(|fault| format!("seed {seed}: {fault}"))?;
        sum = (sum.0 + served, sum.1 + moved);
    }
    Ok(sum)
}

/// Fails if a key runs at two targets, if tokens decrease, if versions do not increase or if a
/// delta leads to another table.
#[test]
fn one_owner_for_each_key() {
    let read = |name| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = read("GW_SEED").unwrap_or(1);
    let count = read("GW_SCHEDULES").unwrap_or(500);
    let (served, moved) = run_all(first..first + count, PlacementFaults::default()).unwrap();
    println!("{served} requests, {moved} changes of owner");
    assert!(moved > 0);
}

/// Injects faults to verify that the checks detect each of them.
#[test]
fn injected_faults_are_detected() {
    struct Case {
        name: &'static str,
        faults: PlacementFaults,
    }
    let none = PlacementFaults::default();
    let cases = [
        Case { name: "grants early", faults: PlacementFaults { grant_early: true, ..none } },
        Case { name: "keeps the token", faults: PlacementFaults { keep_token: true, ..none } },
        Case {
            name: "ignores old grants",
            faults: PlacementFaults { ignore_old_grants: true, ..none },
        },
        Case {
            name: "trusts a dispatcher that has just started",
            faults: PlacementFaults { trust_new_boot: true, ..none },
        },
        Case {
            name: "trusts a target that does not check",
            faults: PlacementFaults { trust_unchecked_target: true, ..none },
        },
    ];
    for case in cases {
        match run_all(1..1_001, case.faults) {
            Ok(sum) => panic!("{} was not detected: {sum:?}", case.name),
            Err(fault) => println!("{}: {fault}", case.name),
        }
    }
}
