//! Removal of lost replicas from the control group.

use std::time::Duration;

use gw_fleet::ReplacementWindow;
use gw_fleet::ReplicaView;
use gw_fleet::Successor;
use gw_fleet::lost_replica;
use gw_types::HostId;
use gw_types::Timestamp;

struct RemovalCase {
    name: &'static str,
    /// Id and seconds of silence of each replica except the leader.
    others: &'static [(u16, u64)],
    successor: Successor,
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
            successor: Successor::Waiting,
            lost: Some(3),
        },
        RemovalCase {
            name: "one of three is replaced",
            others: &[(2, 0), (3, 4)],
            successor: Successor::Waiting,
            lost: Some(3),
        },
        RemovalCase {
            name: "no replica is lost when a newcomer joins",
            others: &[(2, 0), (3, 1), (4, 0)],
            successor: Successor::Waiting,
            lost: None,
        },
        RemovalCase {
            name: "a replica that was just added is not lost",
            others: &[(2, 0), (3, 9), (4, 0), (11, 1)],
            successor: Successor::None,
            lost: Some(3),
        },
        RemovalCase {
            name: "a short partition",
            others: &[(2, 0), (3, 6), (4, 0)],
            successor: Successor::None,
            lost: None,
        },
        RemovalCase {
            name: "a newcomer has joined a group of three that has lost one",
            others: &[(2, 0), (3, 3), (4, 0)],
            successor: Successor::Joined,
            lost: Some(3),
        },
        RemovalCase {
            name: "a newcomer has joined and all are heard",
            others: &[(2, 0), (3, 2), (4, 0)],
            successor: Successor::Joined,
            lost: None,
        },
        RemovalCase {
            name: "three replicas remain after the newcomer replaced one",
            others: &[(2, 0), (4, 60)],
            successor: Successor::Joined,
            lost: None,
        },
        RemovalCase {
            name: "three replicas remain",
            others: &[(2, 0), (3, 60)],
            successor: Successor::None,
            lost: None,
        },
        RemovalCase {
            name: "two replicas remain",
            others: &[(2, 60)],
            successor: Successor::Waiting,
            lost: None,
        },
    ];
    for case in cases {
        let view = |&(id, seconds): &(u16, u64)| ReplicaView {
            id: HostId(id),
            silence: Duration::from_secs(seconds),
        };
        let others: Vec<_> = case.others.iter().map(view).collect();
        let lost = lost_replica(&others, case.successor);
        assert_eq!(lost, case.lost.map(HostId), "{}", case.name);
    }
}

/// Guards against several removals for one newcomer, and against a host that lost its disk and
/// joins again being taken for one.
#[test]
fn each_newcomer_replaces_one_replica() {
    #[derive(Clone, Copy)]
    enum Step {
        Added,
        Removed,
        Seconds(u64),
    }
    struct WindowCase {
        name: &'static str,
        steps: &'static [Step],
        is_open: bool,
    }
    use Step::Added;
    use Step::Removed;
    use Step::Seconds;
    let cases = [
        WindowCase { name: "nothing happened", steps: &[], is_open: false },
        WindowCase { name: "a newcomer", steps: &[Added, Seconds(5)], is_open: true },
        WindowCase { name: "long ago", steps: &[Added, Seconds(11)], is_open: false },
        WindowCase { name: "it replaced one", steps: &[Added, Removed], is_open: false },
        WindowCase { name: "a lost disk", steps: &[Removed, Added], is_open: false },
        WindowCase {
            name: "another one was removed long ago",
            steps: &[Removed, Seconds(11), Added],
            is_open: true,
        },
        WindowCase { name: "two newcomers", steps: &[Added, Added, Removed], is_open: true },
    ];
    for case in cases {
        let mut window = ReplacementWindow::default();
        let mut now = Timestamp::ZERO + Duration::from_secs(100);
        for step in case.steps {
            match step {
                Added => window.record_added(now),
                Removed => window.record_removed(now),
                Seconds(seconds) => now = now + Duration::from_secs(*seconds),
            }
        }
        assert_eq!(window.is_open(now), case.is_open, "{}", case.name);
    }
}
