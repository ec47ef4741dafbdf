//! Measures the CPU time to replicate batches of commands to three replicas, without network and
//! disk.

use criterion::Criterion;
use criterion::Throughput;
use criterion::criterion_group;
use criterion::criterion_main;

use gw_agreement::Membership;
use gw_agreement::RecoveredState;
use gw_agreement::ReplicaNode;
use gw_agreement::ReplicaOptions;
use gw_types::HostId;
use gw_types::Timestamp;

const COMMAND_BYTES: usize = 256;
const BATCH_SIZES: [u64; 3] = [1, 16, 256];
/// Number of entries between snapshots, which keep the log in memory short.
const SNAPSHOT_EVERY: u64 = 4096;

/// Three replicas whose messages and syncs take no time.
struct Group {
    now: Timestamp,
    replicas: Vec<ReplicaNode>,
    /// Number of entries that the first replica has returned as committed.
    committed: u64,
}

impl Group {
    /// Creates a group that the first replica leads. Only this replica is ticked, so no other one
    /// starts an election.
    fn new() -> Self {
        let members = Membership::of_voters((0..3).map(HostId));
        let now = Timestamp::from_millis(1);
        let new = |id| {
            let options = ReplicaOptions::new(HostId(id), members.clone(), u64::from(id));
            ReplicaNode::new(options, RecoveredState::default(), now)
        };
        let mut group = Self { now, replicas: (0..3).map(new).collect(), committed: 0 };
        while !group.replicas[0].is_leader() {
            group.now = group.replicas[0].next_wakeup();
            group.replicas[0].tick(group.now);
            group.exchange_until_idle();
        }
        group
    }

    /// Processes the output of all replicas until there is none.
    fn exchange_until_idle(&mut self) {
        let mut progressed = true;
        while progressed {
            progressed = false;
            for position in 0..self.replicas.len() {
                progressed |= self.drain_replica(position);
            }
        }
    }

    fn drain_replica(&mut self, position: usize) -> bool {
        let replica = &mut self.replicas[position];
        let ready = replica.take_ready(self.now);
        if ready.is_empty() {
            return false;
        }
        replica.persisted(self.now, ready.token);
        if let Some(last) = ready.committed.last()
            && last.index.0 % SNAPSHOT_EVERY < ready.committed.len() as u64
        {
            replica.save_snapshot(last.index, vec![0; COMMAND_BYTES]);
        }
        if position == 0 {
            self.committed += ready.committed.len() as u64;
        }
        let from = replica.id();
        for envelope in ready.messages.into_iter().chain(ready.messages_after_sync) {
            let to = usize::from(envelope.to.0);
            self.replicas[to].handle(self.now, from, envelope.message);
        }
        true
    }

    fn commit(&mut self, commands: u64) {
        let before = self.committed;
        for _ in 0..commands {
            self.replicas[0].propose(self.now, vec![7; COMMAND_BYTES]).expect("leader");
        }
        self.exchange_until_idle();
        assert!(self.committed >= before + commands);
    }
}

fn replicate(criterion: &mut Criterion) {
    let mut bench = criterion.benchmark_group("replicate_to_three");
    for batch in BATCH_SIZES {
        let mut group = Group::new();
        bench.throughput(Throughput::Elements(batch));
        bench.bench_function(format!("{batch} commands of {COMMAND_BYTES} bytes"), |bencher| {
            bencher.iter(|| group.commit(batch));
        });
    }
    bench.finish();
}

criterion_group!(benches, replicate);
criterion_main!(benches);
