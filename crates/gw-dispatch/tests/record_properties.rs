//! Idempotency records across resends, lost messages and takeovers.

use std::collections::BTreeMap;
use std::time::Duration;

use gw_dispatch::CopyCoverage;
use gw_dispatch::NotRunReason;
use gw_dispatch::RecordCopy;
use gw_dispatch::RecordDecision;
use gw_dispatch::RecordKey;
use gw_dispatch::RecordOptions;
use gw_dispatch::RecordOutcome;
use gw_dispatch::RecordRefusal;
use gw_dispatch::RecordState;
use gw_dispatch::RecordTable;
use gw_dispatch::RequestFingerprint;
use gw_dispatch::StartRefusal;
use gw_dispatch::StoredAnswer;
use gw_types::SlotIndex;
use gw_types::Timestamp;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const SEED: u64 = 0x7265_636f;
const HORIZON: Duration = Duration::from_millis(200);
const SLOT: SlotIndex = SlotIndex(3);
const HOST_COUNT: usize = 3;
const OPTIONS: RecordOptions = RecordOptions {
    resend_horizon: HORIZON,
    record_limit: 8,
    byte_limit: 8 * 1024,
    answer_limit: 512,
};

type Operation = (u8, u8, u8);

fn answer(size: usize) -> StoredAnswer {
    StoredAnswer { status: 201, headers: Vec::new(), body: vec![7; size].into() }
}

fn key(number: u8) -> RecordKey {
    RecordKey(u128::from(number % 12))
}

fn fingerprint(key: RecordKey) -> RequestFingerprint {
    RequestFingerprint(key.0)
}

/// Three hosts of which one owns the slot, and a target that counts runs.
struct RecordHarness {
    now: Timestamp,
    boots: u64,
    hosts: Vec<RecordTable>,
    owner: usize,
    /// Copies that no host has confirmed.
    unconfirmed: Vec<RecordCopy>,
    /// Runs of each key, and when a caller last learned or could learn of one.
    runs: BTreeMap<RecordKey, (u32, Timestamp)>,
    /// Broken variant: a takeover without the copies accepts requests at once.
    skips_incomplete: bool,
    is_sound: bool,
}

impl RecordHarness {
    fn new(skips_incomplete: bool) -> Self {
        let hosts = (0..HOST_COUNT as u64).map(|boot| RecordTable::new(OPTIONS, boot << 32));
        let mut harness = Self {
            now: Timestamp::ZERO,
            boots: HOST_COUNT as u64,
            hosts: hosts.collect(),
            owner: 0,
            unconfirmed: Vec::new(),
            runs: BTreeMap::new(),
            skips_incomplete,
            is_sound: true,
        };
        harness.cover();
        harness
    }

    fn holder(&self) -> usize {
        (self.owner + 1) % HOST_COUNT
    }

    fn replicate(&mut self, copy: RecordCopy) {
        let holder = self.holder();
        if let Some(held) = self.hosts[holder].store_copy(self.now, &copy) {
            self.hosts[self.owner].confirm_copy(held);
        }
    }

    fn request(&mut self, key: RecordKey, is_copied: bool) {
        // Callers resend within the horizon only.
        if self.runs.get(&key).is_some_and(|run| self.now.since(run.1) >= HORIZON) {
            return;
        }
        let decision = self.hosts[self.owner].begin(self.now, key, SLOT, fingerprint(key));
        match decision {
            RecordDecision::Run(copy) if is_copied => self.replicate(copy),
            RecordDecision::Run(copy) => self.unconfirmed.push(copy),
            RecordDecision::Answered(_) => self.is_sound &= self.runs.contains_key(&key),
            _ => {}
        }
    }

    fn start(&mut self, key: RecordKey) {
        if self.hosts[self.owner].start(self.now, key).is_ok() {
            let run = self.runs.entry(key).or_insert((0, self.now));
            *run = (run.0 + 1, self.now);
            self.is_sound &= run.0 == 1;
        }
    }

    fn finish(&mut self, key: RecordKey, size: u8) {
        let end = match size % 4 {
            0 => RecordOutcome::Unknown,
            1 => RecordOutcome::AnswerNotStored,
            _ => RecordOutcome::Answered(answer(usize::from(size) * 4)),
        };
        if let Some(copy) = self.hosts[self.owner].finish(self.now, key, end) {
            self.replicate(copy);
        }
    }

    fn abandon(&mut self, key: RecordKey) {
        let had_run = self.hosts[self.owner].state(key) == Some(&RecordState::Running);
        let abandoned = self.hosts[self.owner].abandon(self.now, key);
        self.is_sound &= !(had_run && abandoned.is_some());
        if let Some(copy) = abandoned {
            self.replicate(copy);
        }
    }

    /// The owner is lost; the host with the copies or another one takes over.
    fn take_over(&mut self, by_holder: bool) {
        let lost = self.owner;
        self.boots += 1;
        self.hosts[lost] = RecordTable::new(OPTIONS, self.boots << 32);
        self.unconfirmed.clear();
        self.owner = (lost + if by_holder { 1 } else { 2 }) % HOST_COUNT;
        let owner = &mut self.hosts[self.owner];
        owner.take_over(self.now, SLOT, SLOT);
        if self.skips_incomplete {
            let incomplete_for = Duration::ZERO;
            let coverage = CopyCoverage { first: SLOT, last: SLOT, incomplete_for };
            owner.accept_coverage(self.now, &coverage);
        }
        self.hosts.iter_mut().for_each(|host| host.drop_coverage(SLOT, SLOT));
        self.cover();
    }

    /// Sends all records to the holder and, if it has room, covers the slot there.
    fn cover(&mut self) {
        let holder = self.holder();
        let records = self.hosts[self.owner].records_of(self.now, SLOT, SLOT);
        for copy in records {
            let Some(held) = self.hosts[holder].store_copy(self.now, &copy) else { return };
            self.hosts[self.owner].confirm_copy(held);
        }
        let coverage = self.hosts[self.owner].coverage(self.now, SLOT, SLOT);
        self.hosts[holder].store_coverage(self.now, &coverage);
    }

    fn step(&mut self, (operation, number, value): Operation) {
        let key = key(number);
        match operation % 16 {
            0..=4 => self.request(key, !value.is_multiple_of(4)),
            5..=8 => self.start(key),
            9 | 10 => self.finish(key, value),
            11 => self.abandon(key),
            12 => self.take_over(value.is_multiple_of(2)),
            13 => {
                let late = self.unconfirmed.pop();
                late.into_iter().for_each(|copy| self.replicate(copy));
            }
            _ => self.now = self.now + Duration::from_millis(u64::from(value) / 4),
        }
        for host in &self.hosts {
            self.is_sound &= host.len() <= OPTIONS.record_limit;
            self.is_sound &= host.bytes() <= 2 * OPTIONS.byte_limit;
        }
    }
}

fn is_sound(operations: &[Operation], skips_incomplete: bool) -> bool {
    let mut harness = RecordHarness::new(skips_incomplete);
    operations.iter().for_each(|&operation| harness.step(operation));
    harness.is_sound
}

fn runner() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(300, SEED)).tests(1_000)
}

/// Guards against a second run of a non-idempotent request across resends, lost copies and
/// takeovers, a not-run after a start, and a table over its limits.
#[test]
fn no_record_runs_twice() {
    fn holds(operations: Vec<Operation>) -> bool {
        is_sound(&operations, false)
    }
    runner().quickcheck(holds as fn(Vec<Operation>) -> bool);
}

/// Guards against a check that passes everything: a takeover without the copies that accepts
/// requests at once is caught.
#[test]
fn takeover_without_copies_is_caught() {
    fn broken(operations: Vec<Operation>) -> bool {
        is_sound(&operations, true)
    }
    assert!(runner().quicktest(broken as fn(Vec<Operation>) -> bool).is_err());
}

fn table() -> RecordTable {
    RecordTable::new(OPTIONS, 0)
}

/// Begins a record and confirms its copy.
fn begin(table: &mut RecordTable, number: u8) -> RecordCopy {
    let key = key(number);
    let decision = table.begin(Timestamp::ZERO, key, SLOT, fingerprint(key));
    let RecordDecision::Run(copy) = decision else { panic!("not new: {decision:?}") };
    let held = RecordTable::new(OPTIONS, 0).store_copy(Timestamp::ZERO, &copy).unwrap();
    table.confirm_copy(held);
    copy
}

/// Guards against a write to the target before another host holds the record.
#[test]
fn start_needs_a_confirmed_copy() {
    let mut table = table();
    let key = key(1);
    let _ = table.begin(Timestamp::ZERO, key, SLOT, fingerprint(key));
    assert_eq!(table.start(Timestamp::ZERO, key), Err(StartRefusal::NoCopy));
    assert_eq!(table.start(Timestamp::ZERO, RecordKey(99)), Err(StartRefusal::NoRecord));
}

/// Guards against wrong answers to resends.
#[test]
fn resends_get_the_first_outcome() {
    struct Case {
        end: Option<RecordOutcome>,
        decision: RecordDecision,
    }
    let stored = RecordDecision::Answered(answer(10).into());
    let cases = [
        Case { end: None, decision: RecordDecision::InProgress },
        Case { end: Some(RecordOutcome::Answered(answer(10))), decision: stored },
        Case {
            end: Some(RecordOutcome::Answered(answer(OPTIONS.answer_limit + 1))),
            decision: RecordDecision::AnswerNotStored,
        },
        Case { end: Some(RecordOutcome::Unknown), decision: RecordDecision::Unknown },
    ];
    for case in cases {
        let mut table = table();
        let key = begin(&mut table, 1).key;
        assert_eq!(table.start(Timestamp::ZERO, key), Ok(()));
        if let Some(end) = case.end {
            assert!(table.finish(Timestamp::ZERO, key, end).is_some());
        }
        let resend = table.begin(Timestamp::from_millis(1), key, SLOT, fingerprint(key));
        assert_eq!(resend, case.decision);
        let other = table.begin(Timestamp::from_millis(1), key, SLOT, RequestFingerprint(77));
        assert_eq!(other, RecordDecision::Refused(RecordRefusal::Mismatch));
        assert_eq!(NotRunReason::from(RecordRefusal::Mismatch), NotRunReason::RecordMismatch);
    }
}

/// Guards against a full table that forgets records before the resend horizon, or never recovers.
#[test]
fn full_table_refuses_until_the_horizon() {
    let mut table = table();
    for number in 0..8 {
        let key = begin(&mut table, number).key;
        assert_eq!(table.start(Timestamp::ZERO, key), Ok(()));
        assert!(table.finish(Timestamp::ZERO, key, RecordOutcome::Unknown).is_some());
    }
    let last = Timestamp::ZERO + HORIZON - Duration::from_nanos(1);
    let refused = RecordDecision::Refused(RecordRefusal::Full);
    assert_eq!(table.begin(last, key(9), SLOT, fingerprint(key(9))), refused);
    assert_eq!(table.begin(last, key(0), SLOT, fingerprint(key(0))), RecordDecision::Unknown);
    let after = Timestamp::ZERO + HORIZON;
    let decision = table.begin(after, key(9), SLOT, fingerprint(key(9)));
    assert!(matches!(decision, RecordDecision::Run(_)));
}

/// Guards against a run that a new owner repeats because its record had not ended.
#[test]
fn takeover_turns_unfinished_records_into_unknown() {
    for state in [RecordState::AboutToRun, RecordState::Running] {
        let copy = RecordCopy { state: Some(state), ..begin(&mut table(), 1) };
        let mut owner = table();
        owner.mark_incomplete(Timestamp::ZERO, SLOT, SLOT);
        assert!(owner.adopt(Timestamp::ZERO, &copy));
        let fingerprint = fingerprint(copy.key);
        let resend = owner.begin(Timestamp::ZERO, copy.key, SLOT, fingerprint);
        assert_eq!(resend, RecordDecision::Unknown);
        let new = owner.begin(Timestamp::ZERO, key(5), SLOT, fingerprint);
        let until = Timestamp::ZERO + HORIZON;
        assert_eq!(new, RecordDecision::Refused(RecordRefusal::Incomplete { until }));
        let coverage = CopyCoverage { first: SLOT, last: SLOT, incomplete_for: Duration::ZERO };
        owner.accept_coverage(Timestamp::ZERO, &coverage);
        let new = owner.begin(Timestamp::ZERO, key(5), SLOT, fingerprint);
        assert!(matches!(new, RecordDecision::Run(_)));
    }
}

/// Guards against a late old copy that replaces a newer one, or is confirmed in its place.
#[test]
fn holder_keeps_the_newest_copy() {
    let mut owner = table();
    let first = begin(&mut owner, 1);
    assert_eq!(owner.start(Timestamp::ZERO, first.key), Ok(()));
    let last = owner.finish(Timestamp::ZERO, first.key, RecordOutcome::Unknown).unwrap();
    let mut holder = table();
    assert!(holder.store_copy(Timestamp::ZERO, &last).is_some());
    let held = holder.store_copy(Timestamp::ZERO, &first).unwrap();
    assert_eq!(held.version, last.version);
    assert_eq!(holder.copies_of(Timestamp::ZERO, SLOT, SLOT), [last]);
}
