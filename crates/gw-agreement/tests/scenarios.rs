//! Single scenarios with expected outcomes, in virtual time.

mod harness;

use gw_agreement::LogIndex;
use gw_agreement::MembershipChange;
use gw_agreement::ProposeError;
use gw_types::HostId;

use harness::checks::Violation;
use harness::cluster::Cluster;
use harness::replica::ClusterOptions;

/// Design, section 7: a key is served again within 3 s of the loss of the control leader.
const TAKEOVER_MILLIS: u64 = 3000;
/// Time within which a leader without contact to a majority must have stepped down. Exceeds the
/// longest default election timeout of 700 ms.
const STEP_DOWN_MILLIS: u64 = 900;
const SEEDS: std::ops::Range<u64> = 0..50;

type TestResult = Result<(), Violation>;

fn options() -> ClusterOptions {
    ClusterOptions {
        fault: None,
        max_command_bytes: 1 << 20,
        max_batch_bytes: 2000,
        max_in_flight_bytes: 1 << 20,
        max_batches_in_flight: 4,
        retained_entries: 0,
        retained_bytes: 0,
        snapshot_every: u64::MAX,
        snapshot_bytes: 0,
        snapshot_chunk_bytes: 24,
        overlaps_syncs: false,
    }
}

fn start_cluster(
    seed: u64,
    voters: u16,
    spares: u16,
    options: ClusterOptions,
) -> Result<(Cluster, HostId), Violation> {
    let mut cluster = Cluster::new(seed, voters, spares, options)?;
    assert!(cluster.run_until(TAKEOVER_MILLIS, |cluster| cluster.leader().is_some())?);
    cluster.run(300)?;
    let leader = cluster.leader().expect("a leader");
    Ok((cluster, leader))
}

/// Runs `action` on a replica once it has no sync in progress, and returns the result.
fn call_replica<T>(
    cluster: &mut Cluster,
    host: HostId,
    action: impl FnOnce(&mut gw_agreement::ReplicaNode, gw_types::Timestamp) -> T,
) -> T {
    for _ in 0..100 {
        if cluster.running(host).is_some_and(|running| running.syncing.is_none()) {
            break;
        }
        cluster.run(1).expect("no violation");
    }
    let mut result = None;
    let outcome =
        cluster.with_replica(host, |running, now| result = Some(action(&mut running.node, now)));
    outcome.expect("no violation");
    result.expect("the replica is running")
}

fn commit_one(cluster: &mut Cluster, max_millis: u64) -> Result<bool, Violation> {
    let before = cluster.checks.acknowledged.len();
    for _ in 0..max_millis / 10 {
        if let Some(leader) = cluster.leader() {
            cluster.propose(leader)?;
        }
        cluster.run(10)?;
        if cluster.checks.acknowledged.len() > before {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Guards against an outage longer than the design permits after the loss of a leader, or of a
/// leader and another replica at the same time.
#[test]
fn lost_leader_is_replaced_in_time() -> TestResult {
    for (voters, lost) in [(3, 1), (5, 1), (5, 2)] {
        for seed in SEEDS {
            let (mut cluster, leader) = start_cluster(seed, voters, 0, options())?;
            cluster.crash(leader, 60_000);
            if lost == 2 {
                let other = HostId(leader.0 % voters + 1);
                cluster.crash(other, 60_000);
            }
            assert!(commit_one(&mut cluster, TAKEOVER_MILLIS)?, "{voters} voters, seed {seed}");
            let successor = cluster.leader().expect("a leader");
            let now = cluster.now;
            let node = &cluster.running(successor).expect("running").node;
            assert!(node.leader_since().is_some_and(|since| since <= now) && node.has_quorum(now));
        }
    }
    Ok(())
}

/// Guards against a partitioned leader that still claims a quorum or accepts proposals, and that
/// deposes its successor when the partition heals.
#[test]
fn partitioned_leader_steps_down_without_disrupting_its_successor() -> TestResult {
    for seed in SEEDS {
        let (mut cluster, old) = start_cluster(seed, 3, 0, options())?;
        cluster.partition(&[old]);
        cluster.run(STEP_DOWN_MILLIS)?;
        let rejected = call_replica(&mut cluster, old, |node, now| {
            (node.propose(now, vec![1]), node.has_quorum(now))
        });
        assert!(matches!(rejected, (Err(ProposeError::NotLeader { .. }), false)), "{rejected:?}");
        cluster.run(5000)?;
        let term = cluster.highest_term();
        let successor = cluster.leader();
        cluster.cut_links.clear();
        cluster.run(2000)?;
        assert_eq!((cluster.leader(), cluster.highest_term()), (successor, term), "seed {seed}");
        assert!(commit_one(&mut cluster, TAKEOVER_MILLIS)?);
        cluster.run(500)?;
        assert_eq!(cluster.applied(old), cluster.applied(successor.expect("a leader")));
    }
    Ok(())
}

/// Guards against a lagging replica that does not catch up, and against batches or snapshot chunks
/// that exceed their size limits.
#[test]
fn replica_hundreds_of_entries_behind_catches_up() -> TestResult {
    for (snapshot_every, by_snapshot) in [(u64::MAX, false), (100, true)] {
        let options = ClusterOptions { snapshot_every, snapshot_bytes: 500, ..options() };
        let (mut cluster, leader) = start_cluster(7, 3, 0, options.clone())?;
        let behind = HostId(leader.0 % 3 + 1);
        cluster.crash(behind, 10_000);
        for _ in 0..600 {
            cluster.propose(leader)?;
            cluster.run(5)?;
        }
        cluster.run(10_000)?;
        assert!(cluster.applied(behind) > LogIndex(500));
        assert_eq!(cluster.applied(behind), cluster.applied(leader));
        assert!(
            cluster.largest_batch_bytes > 0
                && cluster.largest_batch_bytes <= options.max_batch_bytes
        );
        assert_eq!(cluster.largest_chunk_bytes, if by_snapshot { 24 } else { 0 });
    }
    Ok(())
}

/// Guards against a restarted replica that counts as up to date because it hears the leader, while
/// it still has the state of its last snapshot.
#[test]
fn replicas_are_up_to_date_only_with_what_was_acknowledged_before_a_restart() -> TestResult {
    let options = ClusterOptions { snapshot_every: 100, snapshot_bytes: 500, ..options() };
    // All replicas, or only one that follows the same leader as before.
    for crash_all in [true, false] {
        let mut stale_followers = 0;
        for seed in SEEDS {
            let (mut cluster, leader) = start_cluster(seed, 3, 0, options.clone())?;
            for _ in 0..150 {
                cluster.propose(leader)?;
                cluster.run(5)?;
            }
            cluster.run(1_000)?;
            let follower = HostId(leader.0 % 3 + 1);
            let crashed = if crash_all { cluster.hosts() } else { vec![follower] };
            // No message from before the crash is on its way any more when a replica restarts.
            crashed.iter().for_each(|host| cluster.crash(*host, 2_000));
            for _ in 0..if crash_all { 0 } else { 60 } {
                cluster.propose(leader)?;
                cluster.run(5)?;
            }
            let acknowledged = *cluster.checks.acknowledged.keys().max().expect("an entry");
            for _ in 0..2_000 + TAKEOVER_MILLIS {
                cluster.run(1)?;
                for &host in &crashed {
                    let applied = cluster.applied(host);
                    let Some(running) = cluster.running(host) else { continue };
                    let is_caught_up = running.node.is_caught_up();
                    assert!(!is_caught_up || applied >= acknowledged, "seed {seed} {host:?}");
                    let hears_leader = running.node.leader_hint().is_some();
                    stale_followers += u32::from(hears_leader && applied < acknowledged);
                }
            }
            assert!(commit_one(&mut cluster, TAKEOVER_MILLIS)?);
            cluster.run(500)?;
            let leader = cluster.leader().expect("a leader");
            for host in cluster.hosts().into_iter().filter(|host| *host != leader) {
                let running = cluster.running(host).expect("a running replica");
                assert!(running.node.is_caught_up(), "seed {seed} {host:?}");
            }
        }
        assert!(stale_followers > 0, "the case occurs, crash_all {crash_all}");
    }
    Ok(())
}

/// Guards against a new member that counts towards a majority before it has the log.
#[test]
fn new_member_votes_only_once_caught_up() -> TestResult {
    let (mut cluster, leader) = start_cluster(3, 3, 1, options())?;
    let new = HostId(4);
    for _ in 0..300 {
        cluster.propose(leader)?;
        cluster.run(5)?;
    }
    cluster.partition(&[new]);
    let added = call_replica(&mut cluster, leader, |node, now| {
        node.change_membership(now, MembershipChange::Add(new))
    });
    assert!(added.is_ok(), "{added:?}");
    let second = call_replica(&mut cluster, leader, |node, now| {
        node.change_membership(now, MembershipChange::Remove(HostId(1)))
    });
    assert_eq!(second, Err(ProposeError::ChangeInProgress));
    cluster.run(3000)?;
    let is_voter = |node: &mut gw_agreement::ReplicaNode, _| node.membership().is_voter(new);
    assert!(!call_replica(&mut cluster, leader, is_voter), "the member has nothing yet");
    cluster.cut_links.clear();
    cluster.run(3000)?;
    assert!(call_replica(&mut cluster, leader, is_voter));
    assert_eq!(cluster.applied(new), cluster.applied(leader));
    let again = call_replica(&mut cluster, leader, |node, now| {
        node.change_membership(now, MembershipChange::Add(new))
    });
    assert_eq!(again, Err(ProposeError::InvalidChange));
    Ok(())
}

/// Guards against planned restarts that leave the group without a leader for an election timeout,
/// and against a leader that claims a quorum after it has asked another replica to campaign.
#[test]
fn transfer_completes_without_an_election_timeout() -> TestResult {
    for seed in SEEDS {
        let (mut cluster, old) = start_cluster(seed, 3, 0, options())?;
        let to = call_replica(&mut cluster, old, |node, now| node.transfer_leadership(now));
        let rejected = call_replica(&mut cluster, old, |node, now| {
            (node.propose(now, vec![1]), node.has_quorum(now))
        });
        assert!(rejected.0.is_err() && !rejected.1, "{rejected:?}");
        // Four messages of at most 4 ms and three syncs of at most 4 ms, well below a timeout.
        cluster.run(100)?;
        assert_eq!(cluster.leader(), to.ok(), "seed {seed}");
        assert!(commit_one(&mut cluster, TAKEOVER_MILLIS)?);
    }
    Ok(())
}

/// Guards against a leader that claims a quorum although no response of the other members reaches
/// it.
#[test]
fn one_way_loss_ends_the_quorum() -> TestResult {
    for seed in SEEDS {
        let (mut cluster, leader) = start_cluster(seed, 3, 0, options())?;
        assert!(call_replica(&mut cluster, leader, |node, now| node.has_quorum(now)));
        for host in cluster.hosts() {
            cluster.cut_links.insert((host, leader));
        }
        cluster.run(STEP_DOWN_MILLIS)?;
        assert!(!call_replica(&mut cluster, leader, |node, now| node.has_quorum(now)
            || node.is_leader()));
        assert!(commit_one(&mut cluster, TAKEOVER_MILLIS)?, "seed {seed}");
    }
    Ok(())
}

/// Guards against commands larger than a batch and uncommitted entries that grow without limit, and
/// against a single-replica group that does not commit.
#[test]
fn uncommitted_proposals_are_limited() -> TestResult {
    let options = ClusterOptions { max_batch_bytes: 1 << 20, ..options() };
    let (mut cluster, leader) = start_cluster(1, 1, 0, options)?;
    assert!(commit_one(&mut cluster, 1000)?);
    let limit = 1 << 20;
    let large =
        call_replica(&mut cluster, leader, |node, now| node.propose(now, vec![0; limit + 1]));
    assert_eq!(large, Err(ProposeError::TooLarge { len: limit + 1, limit }));
    let accepted = call_replica(&mut cluster, leader, |node, now| {
        (0..100).take_while(|_| node.propose(now, vec![0; limit]).is_ok()).count()
    });
    assert!((1..20).contains(&accepted), "{accepted} MiB were accepted without a commit");
    cluster.run(100)?;
    assert!(commit_one(&mut cluster, 1000)?, "accepts again once committed");
    Ok(())
}

/// Guards against a leader that loses its quorum while its disk hangs, and against one that cannot
/// hand over then.
#[test]
fn leader_whose_disk_hangs_keeps_its_quorum_and_can_hand_over() -> TestResult {
    for seed in SEEDS {
        let options = ClusterOptions { overlaps_syncs: true, ..options() };
        let (mut cluster, leader) = start_cluster(seed, 3, 0, options)?;
        cluster.hang_disk(leader, 5000);
        cluster.propose(leader)?;
        cluster.run(2000)?;
        let (has_quorum, committed, applied) = call_replica(&mut cluster, leader, |node, now| {
            (node.has_quorum(now), node.commit_index(), node.last_applied())
        });
        assert!(has_quorum && committed > applied, "seed {seed}: {committed} {applied}");
        let to = call_replica(&mut cluster, leader, |node, now| node.transfer_leadership(now));
        cluster.run(100)?;
        assert_eq!(cluster.leader(), to.ok(), "seed {seed}");
        assert!(commit_one(&mut cluster, TAKEOVER_MILLIS)?, "seed {seed}");
        cluster.run(5000)?;
        let hosts = cluster.hosts();
        let is_behind = |host: &HostId| cluster.applied(*host) <= committed;
        assert_eq!(hosts.into_iter().find(is_behind), None, "seed {seed}");
    }
    Ok(())
}

/// Guards against candidates that raise their term again and again while their disk hangs.
#[test]
fn candidate_whose_disk_hangs_raises_its_term_once() -> TestResult {
    for seed in SEEDS {
        let options = ClusterOptions { overlaps_syncs: true, ..options() };
        let (mut cluster, leader) = start_cluster(seed, 3, 0, options)?;
        let before = cluster.highest_term();
        for host in cluster.hosts() {
            cluster.hang_disk(host, 5000);
        }
        cluster.partition(&[leader]);
        cluster.run(4000)?;
        assert!(cluster.highest_term() <= before.next(), "seed {seed}");
        assert!(commit_one(&mut cluster, 1000 + TAKEOVER_MILLIS)?, "seed {seed}");
    }
    Ok(())
}

/// Guards against a leader that loses its quorum because all disks hang for a short time, and against
/// one that claims a quorum of replicas whose disks have hung for longer than is permitted.
#[test]
fn group_whose_disks_hang_keeps_its_leader_for_a_limited_time() -> TestResult {
    for seed in SEEDS {
        let options = ClusterOptions { overlaps_syncs: true, ..options() };
        let (mut cluster, leader) = start_cluster(seed, 3, 0, options)?;
        let term = cluster.highest_term();
        for host in cluster.hosts() {
            cluster.hang_disk(host, 9000);
        }
        cluster.propose(leader)?;
        let acknowledged = cluster.checks.acknowledged.len();
        for (millis, expected) in [(4500, true), (3000, false)] {
            cluster.run(millis)?;
            let has_quorum = call_replica(&mut cluster, leader, |node, now| node.has_quorum(now));
            assert_eq!(has_quorum, expected, "seed {seed}, {millis} ms later");
            assert_eq!(cluster.checks.acknowledged.len(), acknowledged, "seed {seed}");
        }
        assert_eq!(cluster.highest_term(), term, "seed {seed}");
        assert!(commit_one(&mut cluster, 2000 + TAKEOVER_MILLIS)?, "seed {seed}");
    }
    Ok(())
}
