//! Removal of lost replicas from the control group.

use std::time::Duration;

use gw_fleet::ReplicaView;
use gw_fleet::lost_replica;
use gw_types::HostId;

struct RemovalCase {
    name: &'static str,
    /// Id and seconds of silence of each replica except the leader.
    others: &'static [(u16, u64)],
    has_newcomer: bool,
    lost: Option<u16>,
}

/// Guards against groups that lose their majority because lost replicas remain members, and against
/// replicas that are removed while they join or during a short network partition.
#[test]
fn lost_replicas_are_removed() {
    let cases = [
        RemovalCase {
            name: "replaced by a newcomer",
            others: &[(2, 0), (3, 4), (4, 0)],
            has_newcomer: true,
            lost: Some(3),
        },
        RemovalCase {
            name: "one of three is replaced",
            others: &[(2, 0), (3, 4)],
            has_newcomer: true,
            lost: Some(3),
        },
        RemovalCase {
            name: "no replica is lost when a newcomer joins",
            others: &[(2, 0), (3, 1), (4, 0)],
            has_newcomer: true,
            lost: None,
        },
        RemovalCase {
            name: "a replica that was just added is not lost",
            others: &[(2, 0), (3, 9), (4, 0), (11, 1)],
            has_newcomer: false,
            lost: Some(3),
        },
        RemovalCase {
            name: "a short partition",
            others: &[(2, 0), (3, 6), (4, 0)],
            has_newcomer: false,
            lost: None,
        },
        RemovalCase {
            name: "three replicas remain",
            others: &[(2, 0), (3, 60)],
            has_newcomer: false,
            lost: None,
        },
        RemovalCase {
            name: "two replicas remain",
            others: &[(2, 60)],
            has_newcomer: true,
            lost: None,
        },
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
