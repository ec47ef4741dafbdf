//! Replication of large entries over slow links, in virtual time.

mod harness;

use gw_agreement::LogIndex;
use gw_agreement::MembershipChange;
use gw_types::HostId;

use harness::checks::Violation;
use harness::cluster::Cluster;
use harness::cluster::SlowLink;
use harness::replica::ClusterOptions;

/// Size of a command: an entry takes two heartbeat intervals on the slow link.
const COMMAND_BYTES: usize = 20_000;
const LINK_BYTES_PER_MS: u64 = 100;
const MAX_BATCH_BYTES: usize = 2 * COMMAND_BYTES;
/// Limit of the bytes in flight to a member, with one batch that exceeds it.
const MAX_IN_FLIGHT_BYTES: u64 = 5 * COMMAND_BYTES as u64;
const MAX_RETAINED_BYTES: usize = 70 * COMMAND_BYTES;
/// Bytes sent beyond those of the log, in percent of it: what a broken connection makes the leader
/// send again, and overheads.
const MAX_REPEATED_PERCENT: u64 = 50;

type TestResult = Result<(), Violation>;

struct Case {
    name: &'static str,
    commands: u64,
    command_bytes: usize,
    snapshot_every: u64,
    snapshot_bytes: usize,
    /// Interval at which the link loses everything that is on its way; zero for never.
    break_every_ms: u64,
    /// Whether the leader is told so, as by the control host, or has to notice it by itself.
    reports_loss: bool,
    /// Bytes that have to reach the member, to which repetitions are added.
    needed_bytes: u64,
}

const CASES: [Case; 5] = [
    Case {
        name: "a long log of large entries",
        commands: 60,
        command_bytes: COMMAND_BYTES,
        snapshot_every: u64::MAX,
        snapshot_bytes: 0,
        break_every_ms: 0,
        reports_loss: false,
        needed_bytes: 60 * COMMAND_BYTES as u64,
    },
    Case {
        name: "entries larger than a batch",
        commands: 12,
        command_bytes: 2 * MAX_BATCH_BYTES,
        snapshot_every: u64::MAX,
        snapshot_bytes: 0,
        break_every_ms: 0,
        reports_loss: false,
        needed_bytes: 12 * 2 * MAX_BATCH_BYTES as u64,
    },
    Case {
        name: "a snapshot that is smaller than the retained log",
        commands: 60,
        command_bytes: COMMAND_BYTES,
        snapshot_every: 50,
        snapshot_bytes: 30_000,
        break_every_ms: 0,
        reports_loss: false,
        needed_bytes: 30_000 + 16 * COMMAND_BYTES as u64,
    },
    Case {
        name: "a connection that breaks during the transfer",
        commands: 60,
        command_bytes: COMMAND_BYTES,
        snapshot_every: u64::MAX,
        snapshot_bytes: 0,
        break_every_ms: 3_000,
        reports_loss: false,
        needed_bytes: 60 * COMMAND_BYTES as u64,
    },
    Case {
        name: "a connection that breaks during a snapshot",
        commands: 60,
        command_bytes: COMMAND_BYTES,
        snapshot_every: 50,
        snapshot_bytes: 300_000,
        break_every_ms: 1_500,
        reports_loss: true,
        needed_bytes: 300_000 + 16 * COMMAND_BYTES as u64,
    },
];

fn options(case: &Case) -> ClusterOptions {
    ClusterOptions {
        fault: None,
        max_command_bytes: 2 * MAX_BATCH_BYTES,
        max_batch_bytes: MAX_BATCH_BYTES,
        max_in_flight_bytes: 2 * MAX_BATCH_BYTES,
        max_batches_in_flight: 4,
        retained_entries: 1024,
        retained_bytes: MAX_RETAINED_BYTES,
        snapshot_every: case.snapshot_every,
        snapshot_bytes: case.snapshot_bytes,
        snapshot_chunk_bytes: 8_000,
        overlaps_syncs: false,
    }
}

/// Guards against a leader that queues its whole log for a new member behind a slow link, one batch
/// for each heartbeat, against a member that never catches up after lost messages, and against a log
/// that is sent although a snapshot is smaller.
#[test]
fn new_member_behind_a_slow_link_catches_up() -> TestResult {
    for case in &CASES {
        let mut cluster = Cluster::new(5, 3, 1, options(case))?;
        assert!(cluster.run_until(3_000, |cluster| cluster.leader().is_some())?);
        cluster.run(300)?;
        let leader = cluster.leader().expect("a leader");
        for _ in 0..case.commands {
            cluster.propose_large(leader, case.command_bytes)?;
            cluster.run(20)?;
        }
        let (new, link) = (HostId(4), (leader, HostId(4)));
        let slow = SlowLink { bytes_per_ms: LINK_BYTES_PER_MS, ..SlowLink::default() };
        cluster.slow_links.insert(link, slow);
        cluster.run(50)?;
        cluster.with_replica(leader, |running, now| {
            running.node.change_membership(now, MembershipChange::Add(new)).expect("added");
        })?;
        let allowed = case.needed_bytes * (100 + MAX_REPEATED_PERCENT) / 100;
        let last = LogIndex(case.commands);
        let mut waited = 0;
        while cluster.applied(new) < last {
            assert!(waited < 2 * allowed / LINK_BYTES_PER_MS, "{}: not caught up", case.name);
            cluster.run(100)?;
            waited += 100;
            if case.break_every_ms > 0 && waited % case.break_every_ms == 0 {
                cluster.break_link(link.0, link.1);
                if case.reports_loss {
                    cluster.with_replica(leader, |running, _| running.node.connection_lost(new))?;
                }
            }
        }
        let slow = &cluster.slow_links[&link];
        assert!(slow.peak_bytes <= MAX_IN_FLIGHT_BYTES, "{}: {} bytes", case.name, slow.peak_bytes);
        assert!(slow.sent_bytes <= allowed, "{}: {} bytes", case.name, slow.sent_bytes);
        let is_voter = |cluster: &Cluster| {
            let running = cluster.replicas[usize::from(leader.0) - 1].running.as_ref();
            running.is_some_and(|running| running.node.membership().is_voter(new))
        };
        assert!(cluster.run_until(1_000, is_voter)?, "{}: no voter", case.name);
        assert_eq!(cluster.leader(), Some(leader), "{}", case.name);
    }
    Ok(())
}

/// Guards against entries that are kept in memory by their number alone: a thousand large ones
/// exceed the memory of a host.
#[test]
fn entries_in_memory_are_bounded_in_bytes() -> TestResult {
    /// Entries between two snapshots, and the one being replicated.
    const SINCE_SNAPSHOT: usize = 10 + 1;
    const RETAINED_BYTES: usize = 5 * COMMAND_BYTES;
    let options = ClusterOptions {
        snapshot_every: 10,
        snapshot_bytes: 30_000,
        retained_bytes: RETAINED_BYTES,
        ..options(&CASES[0])
    };
    let mut cluster = Cluster::new(6, 3, 0, options)?;
    assert!(cluster.run_until(3_000, |cluster| cluster.leader().is_some())?);
    cluster.run(300)?;
    let leader = cluster.leader().expect("a leader");
    for _ in 0..200 {
        cluster.propose_large(leader, COMMAND_BYTES)?;
        cluster.run(20)?;
        for host in cluster.hosts() {
            let bytes = cluster.running(host).expect("running").node.log_bytes();
            let limit = RETAINED_BYTES + SINCE_SNAPSHOT * (COMMAND_BYTES + 64);
            assert!(bytes <= limit, "{host}: {bytes} bytes");
        }
    }
    cluster.run(300)?;
    assert!(cluster.applied(leader) > LogIndex(200));
    Ok(())
}
