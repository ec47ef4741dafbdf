//! Who votes in the control group, one decision at a time.

use std::time::Duration;

use gw_fleet::FaultTolerance;
use gw_fleet::SeatPolicy;
use gw_fleet::SeatView;
use gw_fleet::VoteChange;
use gw_fleet::VoteChange::Demote;
use gw_fleet::VoteChange::Promote;
use gw_types::HostId;
use gw_types::ZoneName;

/// A voter of zone `zone` that was heard a moment ago.
fn voter(id: u16, zone: &str) -> SeatView {
    SeatView {
        id: HostId(id),
        zone: ZoneName::new(zone).ok(),
        is_leader: id == 1,
        is_voter: true,
        silence: Duration::ZERO,
        is_caught_up: true,
        is_leaving: false,
        successor: None,
    }
}

fn learner(id: u16, zone: &str) -> SeatView {
    SeatView { is_voter: false, ..voter(id, zone) }
}

fn silent(seconds: u64, seat: SeatView) -> SeatView {
    SeatView { silence: Duration::from_secs(seconds), ..seat }
}

fn leaving(seat: SeatView) -> SeatView {
    SeatView { is_leaving: true, ..seat }
}

fn without_disk(successor: u16, seat: SeatView) -> SeatView {
    silent(1, SeatView { successor: Some(HostId(successor)), ..seat })
}

struct VoteCase {
    name: &'static str,
    /// `fault-tolerance` for hosts; that for zones is 1.
    hosts: usize,
    seats: Vec<SeatView>,
    change: Option<VoteChange>,
}

/// Guards against groups whose majority a tolerated loss can take: because of a vote that a lost replica
/// keeps, or because a silent replica with a whole disk lost its vote.
#[test]
fn votes_are_given_up_only_as_far_as_the_tolerance_allows() {
    let three = || vec![voter(1, "a"), voter(2, "b"), voter(3, "c")];
    let two = || vec![voter(1, "a"), voter(2, "b")];
    let five = |seats: [SeatView; 2]| [three(), seats.to_vec()].concat();
    let cases = [
        VoteCase {
            name: "silence alone keeps the vote in the smallest group",
            hosts: 1,
            seats: [two(), vec![silent(60, voter(3, "c"))]].concat(),
            change: None,
        },
        VoteCase {
            name: "a silent replica of a larger group loses its vote",
            hosts: 1,
            seats: [three(), vec![silent(3, voter(4, "d"))]].concat(),
            change: Some(Demote(HostId(4))),
        },
        VoteCase {
            name: "a short silence",
            hosts: 1,
            seats: [three(), vec![silent(2, voter(4, "d"))]].concat(),
            change: None,
        },
        VoteCase {
            name: "five hosts that tolerate two keep two silent replicas",
            hosts: 2,
            seats: five([silent(60, voter(4, "d")), silent(60, voter(5, "e"))]),
            change: None,
        },
        VoteCase {
            name: "one newcomer takes over one vote: it is promoted first",
            hosts: 2,
            seats: [
                five([silent(4, voter(4, "d")), silent(5, voter(5, "e"))]),
                vec![learner(6, "a")],
            ]
            .concat(),
            change: Some(Promote(HostId(6))),
        },
        VoteCase {
            name: "then the most silent replica gives up its vote",
            hosts: 2,
            seats: [
                five([silent(4, voter(4, "d")), silent(5, voter(5, "e"))]),
                vec![voter(6, "a")],
            ]
            .concat(),
            change: Some(Demote(HostId(5))),
        },
        VoteCase {
            name: "then no other one",
            hosts: 2,
            seats: [
                five([silent(4, voter(4, "d")), silent(5, learner(5, "e"))]),
                vec![voter(6, "a")],
            ]
            .concat(),
            change: None,
        },
        VoteCase {
            name: "a newcomer that has not caught up takes over nothing",
            hosts: 1,
            seats: vec![
                voter(1, "a"),
                voter(2, "b"),
                silent(9, voter(3, "c")),
                SeatView { is_caught_up: false, ..learner(4, "c") },
            ],
            change: None,
        },
        VoteCase {
            name: "a host that leaves gives up its vote if enough are left",
            hosts: 1,
            seats: [three(), vec![leaving(voter(4, "a"))]].concat(),
            change: Some(Demote(HostId(4))),
        },
        VoteCase {
            name: "a host that leaves the smallest group keeps its vote",
            hosts: 1,
            seats: [two(), vec![leaving(voter(3, "c"))]].concat(),
            change: None,
        },
        VoteCase {
            name: "unless another host of its zone takes it over",
            hosts: 1,
            seats: [two(), vec![leaving(voter(3, "c")), learner(4, "c")]].concat(),
            change: Some(Promote(HostId(4))),
        },
        VoteCase {
            name: "a host that leaves is not promoted",
            hosts: 1,
            seats: [three(), vec![leaving(learner(4, "d"))]].concat(),
            change: None,
        },
        VoteCase {
            name: "a second host of a zone stands by",
            hosts: 1,
            seats: [three(), vec![learner(4, "a")]].concat(),
            change: None,
        },
        VoteCase {
            name: "a host of a further zone does not",
            hosts: 1,
            seats: [three(), vec![learner(4, "d")]].concat(),
            change: Some(Promote(HostId(4))),
        },
        VoteCase {
            name: "a group with two hosts of a zone that need not vote",
            hosts: 1,
            seats: [three(), vec![voter(4, "a")]].concat(),
            change: Some(Demote(HostId(4))),
        },
        VoteCase {
            name: "a lost host's vote goes to any host if none of its zone is there",
            hosts: 1,
            seats: [two(), vec![silent(3, voter(3, "c")), learner(4, "a")]].concat(),
            change: Some(Promote(HostId(4))),
        },
        VoteCase {
            name: "a host without its disk is replaced once it has caught up",
            hosts: 1,
            seats: [two(), vec![without_disk(4, voter(3, "c")), learner(4, "c")]].concat(),
            change: Some(Promote(HostId(4))),
        },
        VoteCase {
            name: "then its old vote goes, also in a group that is too small",
            hosts: 2,
            seats: [two(), vec![without_disk(4, voter(3, "c")), voter(4, "c")]].concat(),
            change: Some(Demote(HostId(3))),
        },
    ];
    for case in cases {
        let tolerance = FaultTolerance { hosts: case.hosts, zones: 1 };
        let change = SeatPolicy::new(tolerance).next_vote_change(&case.seats);
        assert_eq!(change, case.change, "{}", case.name);
    }
}

/// Guards against learners that stay members for ever, and against voters that are removed.
#[test]
fn only_learners_that_do_not_come_back_are_removed() {
    let seats = [
        silent(60, voter(1, "a")),
        without_disk(9, voter(2, "b")),
        silent(7, learner(3, "c")),
        silent(9, learner(4, "d")),
        without_disk(9, learner(5, "e")),
    ];
    let policy = SeatPolicy::new(FaultTolerance::default());
    assert_eq!(policy.abandoned_learners(&seats), [HostId(4), HostId(5)]);
}
