//! Measures the time to append and sync batches of records in a folder of the file system.

use std::hint::black_box;

use criterion::Criterion;
use criterion::Throughput;
use criterion::criterion_group;
use criterion::criterion_main;

use gw_journal::FileStorage;
use gw_journal::Journal;
use gw_journal::JournalOptions;
use gw_journal::Record;

const PAYLOAD_BYTES: usize = 256;
const BATCH_SIZES: [u64; 3] = [1, 16, 256];

fn append_and_sync(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("append_and_sync");
    for batch in BATCH_SIZES {
        let name = format!("gw-journal-bench-{}-{batch}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let storage = FileStorage::new(&folder).expect("folder");
        let (mut journal, _) =
            Journal::open(Box::new(storage), JournalOptions::default()).expect("journal");
        group.throughput(Throughput::Elements(batch));
        group.bench_function(format!("{batch} records of {PAYLOAD_BYTES} bytes"), |bencher| {
            bencher.iter(|| {
                let first = journal.last_index() + 1;
                let records: Vec<Record> = (first..first + batch)
                    .map(|index| Record { index, payload: vec![7; PAYLOAD_BYTES] })
                    .collect();
                journal.append(black_box(&records)).expect("append");
                journal.sync().expect("sync");
            });
        });
        drop(journal);
        std::fs::remove_dir_all(&folder).expect("remove folder");
    }
    group.finish();
}

criterion_group!(benches, append_and_sync);
criterion_main!(benches);
