use std::hint::black_box;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gw_dispatch::CrashQuarantine;
use gw_dispatch::CrashedRun;
use gw_dispatch::QuarantineOptions;
use gw_dispatch::RecordDecision;
use gw_dispatch::RecordKey;
use gw_dispatch::RecordOptions;
use gw_dispatch::RecordOutcome;
use gw_dispatch::RecordTable;
use gw_dispatch::RequestFingerprint;
use gw_dispatch::StoredAnswer;
use gw_journal::FileStorage;
use gw_journal::Journal;
use gw_journal::JournalOptions;
use gw_journal::Record;
use gw_placement::TableDelta;
use gw_types::BootId;
use gw_types::FencingToken;
use gw_types::HostId;
use gw_types::KeyHash;
use gw_types::KeyOverride;
use gw_types::KeySource;
use gw_types::RouteMatch;
use gw_types::RoutingTable;
use gw_types::SLOT_COUNT;
use gw_types::ServiceDefinition;
use gw_types::ServiceTable;
use gw_types::SlotIndex;
use gw_types::SlotRange;
use gw_types::TargetEntry;
use gw_types::TargetState;
use gw_types::TermNumber;
use gw_types::Timestamp;
use gw_types::ZoneTable;

use crate::ThreadClock;
use crate::resident_bytes;

/// Number of runs that the median is taken of.
const RUN_COUNT: usize = 9;
/// Number of routing tables held in memory at once, so that the resident set grows by much more
/// than a page.
const TABLE_COPIES: usize = 64;
const LOOKUP_COUNT: u64 = 200_000;
const RECORD_COUNT: u64 = 100_000;
/// Body size of the answers in the measured records.
const ANSWER_BYTES: usize = 200;
const OVERRIDE_COUNT: u64 = 22;

/// Error of measuring a component.
#[derive(Debug, thiserror::Error)]
pub enum PartError {
    /// The folder of the journal cannot be created.
    #[error("folder of the measurement: {0}")]
    Folder(#[from] io::Error),
    /// The journal cannot be opened, written or synced.
    #[error("journal of the measurement: {0}")]
    Journal(#[from] gw_journal::Error),
}

/// Cost of one component, measured outside of a cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct PartCost {
    /// Name of the quantity, with its unit.
    pub quantity: String,
    /// Size that the cost depends on: targets of a table, records, or bytes of a journal entry.
    pub size: usize,
    /// Measured value; NaN if the measurement failed.
    pub value: f64,
}

/// Measures the encoded sizes of a zone table with `targets` targets and of its deltas, and the
/// memory, compile time and lookup time of the routing table that is compiled from it.
pub fn table_costs(targets: usize) -> Vec<PartCost> {
    let table = zone_table(targets);
    let mut lost = table.clone();
    lost.version.number += 1;
    lost.targets[0].state = TargetState::Lost;
    let mut moved = lost.clone();
    moved.version.number += 1;
    moved.services[0].ranges[0].owner = Some(table.targets[targets - 1].name.clone());
    moved.services[0].ranges[0].token = FencingToken::new(TermNumber(9), 9);
    let size = |value: &TableDelta| encoded_bytes(value);
    let cost = |quantity: &str, value: f64| PartCost {
        quantity: quantity.to_owned(),
        size: targets,
        value,
    };
    vec![
        cost("zone_table_bytes", encoded_bytes(&table)),
        cost("delta_one_target_bytes", size(&TableDelta::between(&table, &lost))),
        cost("delta_one_range_bytes", size(&TableDelta::between(&lost, &moved))),
        cost("routing_table_resident_bytes", route_bytes(&table)),
        cost("route_compile_us", compile_micros(&table)),
        cost("route_lookup_ns", lookup_nanos(&table)),
    ]
}

fn zone_table(targets: usize) -> ZoneTable {
    let mut entries: Vec<_> = (0..targets).map(target_entry).collect();
    entries.sort_by(|a, b| a.name.cmp(&b.name));
    let range_slots = usize::from(SLOT_COUNT) / targets;
    let ranges = entries.iter().enumerate().map(|(index, entry)| SlotRange {
        first: (index * range_slots) as u16,
        last: if index + 1 == targets {
            SLOT_COUNT - 1
        } else {
            ((index + 1) * range_slots - 1) as u16
        },
        owner: Some(entry.name.clone()),
        token: FencingToken::new(TermNumber(3), index as u32 + 1),
    });
    let mut overrides: Vec<_> = (0..OVERRIDE_COUNT)
        .map(|key| KeyOverride {
            key: KeyHash::of(&key.to_le_bytes()),
            owner: Some(entries[key as usize % targets].name.clone()),
            token: FencingToken::new(TermNumber(3), key as u32 + 10_000),
        })
        .collect();
    overrides.sort_by_key(|known| known.key);
    let service = "keyed0".parse().expect("a valid name");
    let services = vec![ServiceTable { service, ranges: ranges.collect(), overrides }];
    let zone = "z0".parse().expect("a valid name");
    ZoneTable { targets: entries, services, ..ZoneTable::empty(zone) }
}

fn target_entry(number: usize) -> TargetEntry {
    TargetEntry {
        name: format!("target-{number}").parse().expect("a valid name"),
        service: "keyed0".parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 30_000 + number as u16).into(),
        boot: BootId(1),
        state: TargetState::Serving,
        work_slots: 2,
        checks_tokens: true,
        dispatcher: Some(HostId((number / 4) as u16)),
    }
}

fn definition() -> Arc<ServiceDefinition> {
    Arc::new(ServiceDefinition {
        name: "keyed0".parse().expect("a valid name"),
        route: RouteMatch { host: None, path_prefix: Some("/keyed0".to_owned()) },
        key: Some(KeySource::PathSegment(1)),
        profile: "default".parse().expect("a valid name"),
    })
}

fn encoded_bytes(value: &impl serde::Serialize) -> f64 {
    postcard::to_stdvec(value).map_or(0, |bytes| bytes.len()) as f64
}

fn route_bytes(table: &ZoneTable) -> f64 {
    let (definition, table) = (definition(), Arc::new(table.clone()));
    let compile = || RoutingTable::compile([&definition], std::slice::from_ref(&table));
    let before = resident_bytes();
    let held: Vec<_> = (0..TABLE_COPIES).map(|_| compile()).collect();
    let increase = resident_bytes().saturating_sub(before);
    // Leaked, since the next measurement would reuse freed memory and see no increase.
    std::mem::forget(black_box(held));
    increase as f64 / TABLE_COPIES as f64
}

fn compile_micros(table: &ZoneTable) -> f64 {
    let (definition, table) = (definition(), Arc::new(table.clone()));
    median_nanos(|| {
        black_box(RoutingTable::compile([&definition], std::slice::from_ref(&table)));
    }) / 1_000.0
}

fn lookup_nanos(table: &ZoneTable) -> f64 {
    let routes = RoutingTable::compile([&definition()], &[Arc::new(table.clone())]);
    let Some(service) = routes.service_for(None, "/keyed0/1") else { return f64::NAN };
    let keys: Vec<_> = (0..LOOKUP_COUNT).map(|key| KeyHash::of(&key.to_le_bytes())).collect();
    let nanos = median_nanos(|| {
        for key in &keys {
            black_box(service.key_route(*key));
        }
    });
    nanos / LOOKUP_COUNT as f64
}

fn median_nanos(mut work: impl FnMut()) -> f64 {
    let clock = ThreadClock::calibrated();
    let mut times: Vec<_> = (0..RUN_COUNT)
        .map(|_| {
            let start = clock.now();
            work();
            clock.elapsed(start)
        })
        .collect();
    times.sort_unstable();
    times[RUN_COUNT / 2] as f64
}

/// Measures the memory and the encoded sizes of idempotency records and of quarantine entries.
pub fn dispatch_costs() -> Vec<PartCost> {
    let mut costs = record_costs();
    costs.extend(quarantine_costs());
    costs
}

fn record_costs() -> Vec<PartCost> {
    let options = RecordOptions {
        resend_horizon: Duration::from_secs(600),
        record_limit: RECORD_COUNT as usize,
        byte_limit: usize::MAX / 2,
        answer_limit: 64 * 1_024,
    };
    let now = Timestamp::from_millis(1);
    let before = resident_bytes();
    let mut table = RecordTable::new(options, 1);
    let mut copy_bytes = 0.0;
    for number in 0..RECORD_COUNT {
        copy_bytes = finish_record(&mut table, now, number);
    }
    let increase = resident_bytes().saturating_sub(before);
    let cost = |quantity: &str, value: f64| PartCost {
        quantity: quantity.to_owned(),
        size: RECORD_COUNT as usize,
        value,
    };
    let costs = vec![
        cost("record_resident_bytes", increase as f64 / RECORD_COUNT as f64),
        cost("record_counted_bytes", table.bytes() as f64 / RECORD_COUNT as f64),
        cost("record_copy_encoded_bytes", copy_bytes),
    ];
    std::mem::forget(table);
    costs
}

/// Takes a record through its states up to a stored answer. Returns the encoded size of its last
/// copy; NaN if a step fails.
fn finish_record(table: &mut RecordTable, now: Timestamp, number: u64) -> f64 {
    let key = RecordKey(hash_sized(number));
    let slot = SlotIndex((number % u64::from(SLOT_COUNT)) as u16);
    let decision = table.begin(now, key, slot, RequestFingerprint(hash_sized(number)));
    let RecordDecision::Run(copy) = decision else { return f64::NAN };
    table.confirm_copy(gw_dispatch::CopyAck { key, version: copy.version });
    if table.start(now, key).is_err() {
        return f64::NAN;
    }
    let body = Arc::from(vec![7; ANSWER_BYTES]);
    let answer = StoredAnswer { status: 200, headers: Vec::new(), body };
    let copy = table.finish(now, key, RecordOutcome::Answered(answer));
    copy.map_or(f64::NAN, |copy| encoded_bytes(&copy))
}

fn quarantine_costs() -> Vec<PartCost> {
    let hold = Duration::from_secs(600);
    let options = QuarantineOptions { capacity: RECORD_COUNT as usize, hold };
    let now = Timestamp::from_millis(1);
    let before = resident_bytes();
    let mut quarantine = CrashQuarantine::new(options);
    for number in 0..RECORD_COUNT {
        let target = format!("target-{}", number % 600).parse().expect("a valid name");
        let run = CrashedRun { target, boot: BootId(1) };
        quarantine.record_crash(now, &run, &[RequestFingerprint(hash_sized(number))]);
    }
    let increase = resident_bytes().saturating_sub(before);
    let held = quarantine.len().max(1) as f64;
    let encoded = encoded_bytes(&quarantine.entries(now));
    let cost = |quantity: &str, value: f64| PartCost {
        quantity: quantity.to_owned(),
        size: RECORD_COUNT as usize,
        value,
    };
    std::mem::forget(quarantine);
    vec![
        cost("quarantine_resident_bytes", increase as f64 / held),
        cost("quarantine_encoded_bytes", encoded / held),
    ]
}

/// Measures the time to write and sync one entry of `bytes` to a journal, which is created below
/// `folder` and removed afterwards. Wall-clock time, since a sync waits for the disk.
///
/// # Errors
///
/// [`PartError`] if the journal cannot be created, written or synced.
pub fn journal_costs(folder: &Path, bytes: usize) -> Result<Vec<PartCost>, PartError> {
    let folder = folder.join(format!("journal-{}", std::process::id()));
    let storage = FileStorage::new(&folder)?;
    let (mut journal, _) = Journal::open(Box::new(storage), JournalOptions::default())?;
    let mut times = Vec::new();
    for index in 1..=200 {
        let start = Instant::now();
        journal.append(&[Record { index, payload: vec![7; bytes] }])?;
        journal.sync()?;
        times.push(start.elapsed());
    }
    drop(journal);
    // The folder is used by this measurement only, so leftover files are harmless.
    let _ = std::fs::remove_dir_all(&folder);
    times.sort_unstable();
    let micros = |index: usize| times[index].as_secs_f64() * 1e6;
    let cost =
        |quantity: &str, value: f64| PartCost { quantity: quantity.to_owned(), size: bytes, value };
    Ok(vec![
        cost("journal_entry_median_us", micros(times.len() / 2)),
        cost("journal_entry_99th_us", micros(times.len() * 99 / 100)),
    ])
}

/// Maps a number to one with as many bits as a hash, since small numbers are encoded in fewer
/// bytes.
fn hash_sized(number: u64) -> u128 {
    u128::from(number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835)
}
