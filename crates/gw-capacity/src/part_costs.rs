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

/// Repeated runs, of which the median counts.
const RUNS: usize = 9;
/// Routing tables held at once, so that the resident set rises by much more than a page.
const HELD_TABLES: usize = 64;
const LOOKUPS: u64 = 200_000;
const RECORDS: u64 = 100_000;
/// Body of the answers that the measured records hold.
const ANSWER_BYTES: usize = 200;
const OVERRIDES: u64 = 22;

/// Why a part was not measured.
#[derive(Debug, thiserror::Error)]
pub enum PartError {
    /// The folder cannot be used.
    #[error("folder of the measurement: {0}")]
    Folder(#[from] io::Error),
    /// The journal failed.
    #[error("journal of the measurement: {0}")]
    Journal(#[from] gw_journal::Error),
}

/// One measured part.
#[derive(Clone, Debug, PartialEq)]
pub struct PartCost {
    /// What was measured, with its unit.
    pub quantity: String,
    /// Number of targets, records or entries.
    pub size: usize,
    /// The value.
    pub value: f64,
}

/// Sizes of a zone table and its deltas, and cost of routes compiled from it.
pub fn table_costs(targets: usize) -> Vec<PartCost> {
    let table = zone_table(targets);
    let mut lost = table.clone();
    lost.version.number += 1;
    lost.targets[0].state = TargetState::Lost;
    let mut moved = lost.clone();
    moved.version.number += 1;
    moved.services[0].ranges[0].owner = Some(table.targets[targets - 1].name.clone());
    moved.services[0].ranges[0].token = FencingToken::new(TermNumber(9), 9);
    let size = |what: &TableDelta| encoded_bytes(what);
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
    let span = usize::from(SLOT_COUNT) / targets;
    let ranges = entries.iter().enumerate().map(|(place, entry)| SlotRange {
        first: (place * span) as u16,
        last: if place + 1 == targets { SLOT_COUNT - 1 } else { ((place + 1) * span - 1) as u16 },
        owner: Some(entry.name.clone()),
        token: FencingToken::new(TermNumber(3), place as u32 + 1),
    });
    let mut overrides: Vec<_> = (0..OVERRIDES)
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

fn encoded_bytes(what: &impl serde::Serialize) -> f64 {
    postcard::to_stdvec(what).map_or(0, |bytes| bytes.len()) as f64
}

fn route_bytes(table: &ZoneTable) -> f64 {
    let (definition, table) = (definition(), Arc::new(table.clone()));
    let compile = || RoutingTable::compile([&definition], std::slice::from_ref(&table));
    let before = resident_bytes();
    let held: Vec<_> = (0..HELD_TABLES).map(|_| compile()).collect();
    let rise = resident_bytes().saturating_sub(before);
    // Freed memory would be used again by the next measurement, which would then see no rise.
    std::mem::forget(black_box(held));
    rise as f64 / HELD_TABLES as f64
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
    let keys: Vec<_> = (0..LOOKUPS).map(|key| KeyHash::of(&key.to_le_bytes())).collect();
    let nanos = median_nanos(|| {
        for key in &keys {
            black_box(service.key_route(*key));
        }
    });
    nanos / LOOKUPS as f64
}

fn median_nanos(mut work: impl FnMut()) -> f64 {
    let clock = ThreadClock::calibrated();
    let mut times: Vec<_> = (0..RUNS)
        .map(|_| {
            let start = clock.now();
            work();
            clock.elapsed(start)
        })
        .collect();
    times.sort_unstable();
    times[RUNS / 2] as f64
}

/// Memory of idempotency records and of quarantine entries, and their encoded sizes.
pub fn dispatch_costs() -> Vec<PartCost> {
    let mut costs = record_costs();
    costs.extend(quarantine_costs());
    costs
}

fn record_costs() -> Vec<PartCost> {
    let options = RecordOptions {
        resend_horizon: Duration::from_secs(600),
        record_limit: RECORDS as usize,
        byte_limit: usize::MAX / 2,
        answer_limit: 64 * 1_024,
    };
    let now = Timestamp::from_millis(1);
    let before = resident_bytes();
    let mut table = RecordTable::new(options, 1);
    let mut copy_bytes = 0.0;
    for number in 0..RECORDS {
        copy_bytes = end_record(&mut table, now, number);
    }
    let rise = resident_bytes().saturating_sub(before);
    let cost = |quantity: &str, value: f64| PartCost {
        quantity: quantity.to_owned(),
        size: RECORDS as usize,
        value,
    };
    let costs = vec![
        cost("record_resident_bytes", rise as f64 / RECORDS as f64),
        cost("record_counted_bytes", table.bytes() as f64 / RECORDS as f64),
        cost("record_copy_encoded_bytes", copy_bytes),
    ];
    std::mem::forget(table);
    costs
}

/// Begins, starts and ends a record with an answer; returns the size of its last copy.
fn end_record(table: &mut RecordTable, now: Timestamp, number: u64) -> f64 {
    let key = RecordKey(spread(number));
    let slot = SlotIndex((number % u64::from(SLOT_COUNT)) as u16);
    let decision = table.begin(now, key, slot, RequestFingerprint(spread(number)));
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
    let options = QuarantineOptions { capacity: RECORDS as usize, hold };
    let now = Timestamp::from_millis(1);
    let before = resident_bytes();
    let mut quarantine = CrashQuarantine::new(options);
    for number in 0..RECORDS {
        let target = format!("target-{}", number % 600).parse().expect("a valid name");
        let run = CrashedRun { target, boot: BootId(1) };
        quarantine.record_crash(now, &run, &[RequestFingerprint(spread(number))]);
    }
    let rise = resident_bytes().saturating_sub(before);
    let held = quarantine.len().max(1) as f64;
    let encoded = encoded_bytes(&quarantine.entries(now));
    let cost = |quantity: &str, value: f64| PartCost {
        quantity: quantity.to_owned(),
        size: RECORDS as usize,
        value,
    };
    std::mem::forget(quarantine);
    vec![
        cost("quarantine_resident_bytes", rise as f64 / held),
        cost("quarantine_encoded_bytes", encoded / held),
    ]
}

/// Time of writing and syncing one entry of `bytes` to a journal below `folder`, which is removed
/// again. Wall-clock time, since a sync waits for the disk.
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
    // What is left of a measurement in a folder of its own does no harm.
    let _ = std::fs::remove_dir_all(&folder);
    times.sort_unstable();
    let micros = |place: usize| times[place].as_secs_f64() * 1e6;
    let cost =
        |quantity: &str, value: f64| PartCost { quantity: quantity.to_owned(), size: bytes, value };
    Ok(vec![
        cost("journal_entry_median_us", micros(times.len() / 2)),
        cost("journal_entry_99th_us", micros(times.len() * 99 / 100)),
    ])
}

/// Numbers as long as hashes are; small ones would be encoded in fewer bytes.
fn spread(number: u64) -> u128 {
    u128::from(number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835)
}
