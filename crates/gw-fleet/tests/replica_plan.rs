//! Which replica leaves the group.

use std::time::Duration;

use gw_fleet::ReplicaView;
use gw_fleet::lost_replica;
use gw_types::HostId;

struct PlanCase {
    name: &'static str,
    /// Id and seconds of silence of the replicas beside the leader.
    others: &'static [(u16, u64)],
    has_newcomer: bool,
    lost: Option<u16>,
}

/// Guards against groups that lose their majority since lost replicas stay members, and against
/// replicas that are removed while they join or during a short cut.
#[test]
fn lost_replicas_leave() {
    let cases = [
        PlanCase {
            name: "replaced by a newcomer",
            others: &[(2, 0), (3, 4), (4, 0)],
            has_newcomer: true,
            lost: Some(3),
        },
        PlanCase {
            name: "one of three is replaced",
            others: &[(2, 0), (3, 4)],
            has_newcomer: true,
            lost: Some(3),
        },
        PlanCase {
            name: "nobody is lost when a newcomer comes",
            others: &[(2, 0), (3, 1), (4, 0)],
            has_newcomer: true,
            lost: None,
        },
        PlanCase {
            name: "a replica that has just been added is not the lost one",
            others: &[(2, 0), (3, 9), (4, 0), (11, 1)],
            has_newcomer: false,
            lost: Some(3),
        },
        PlanCase {
            name: "a short cut",
            others: &[(2, 0), (3, 6), (4, 0)],
            has_newcomer: false,
            lost: None,
        },
        PlanCase {
            name: "three replicas stay three",
            others: &[(2, 0), (3, 60)],
            has_newcomer: false,
            lost: None,
        },
        PlanCase { name: "two of two stay", others: &[(2, 60)], has_newcomer: true, lost: None },
    ];
    for case in cases {
        let view = |&(id, seconds): &(u16, u64)| ReplicaView {
            id: HostId(id),
            silence: Duration::from_secs(seconds),
        };
        let others: Vec<_> = case.others.iter().map(view).collect();
        let lost = lost_replica(&others, case.has_newcomer);
        assert_eq!(lost, case.lost.map(HostId), "{}", case.name);
    }
}
