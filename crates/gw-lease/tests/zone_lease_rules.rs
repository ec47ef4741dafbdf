//! Rules of zone leases that random schedules rarely exercise.

use std::time::Duration;

use gw_lease::GrantedZone;
use gw_lease::LeaseAction;
use gw_lease::LeaseAnswer;
use gw_lease::LeaseGrantor;
use gw_lease::LeaseOperation;
use gw_lease::LeaseOptions;
use gw_lease::LeaseOutcome;
use gw_lease::LeaseState;
use gw_lease::PromiseAnswer;
use gw_lease::PromiseGrantor;
use gw_lease::PromiseOperation;
use gw_lease::TestFaults;
use gw_lease::ZoneLease;
use gw_lease::ZoneQuorum;
use gw_types::BootId;
use gw_types::HostId;
use gw_types::TableVersion;
use gw_types::TermNumber;
use gw_types::Timestamp;
use gw_types::ZoneName;

const TERM: TermNumber = TermNumber(5);
const ZONE_HOLD: Duration = Duration::from_secs(30);

fn zone() -> ZoneName {
    ZoneName::new("spinneri").unwrap()
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn renewed_answer(sequence: u64, term: TermNumber) -> LeaseAnswer {
    let remaining = Duration::from_millis(1_500);
    let outcome =
        LeaseOutcome::Renewed { term, remaining, zone_hold: ZONE_HOLD, after_release: false };
    LeaseAnswer { zone: zone(), boot: BootId(1), sequence, outcome }
}

/// Grants all promise requests among `actions`.
fn promise_all(lease: &mut ZoneLease, now: Timestamp, actions: &[LeaseAction]) {
    for action in actions {
        let LeaseAction::SendToPeer(from, request) = action else { continue };
        let (holder, sequence) = (request.holder, request.sequence);
        let (zone, version) = (zone(), TableVersion::default());
        let answer = PromiseAnswer { zone, from: *from, holder, sequence, granted: true, version };
        lease.handle_promise(now, &answer);
    }
}

/// Returns the lease of host 0, which took over a zone of three hosts at 0 ms.
fn holder(faults: TestFaults) -> ZoneLease {
    let options = LeaseOptions { faults, ..LeaseOptions::zone() };
    let members = (0..3).map(HostId).collect();
    let mut lease = ZoneLease::new(zone(), HostId(0), BootId(1), members, options);
    lease.become_candidate();
    assert_eq!(
        lease.tick(at(0)).len(),
        1,
        "a candidate without a grant sends a request only to the control leader"
    );
    let actions = lease.handle_answer(at(0), &renewed_answer(1, TERM));
    assert!(!lease.holds(at(0)), "a grant without promises does not complete a takeover");
    promise_all(&mut lease, at(0), &actions);
    assert_eq!(lease.state(at(0)), LeaseState::HolderByControl);
    lease
}

/// Fails if promises extend an expired hold: hosts that restarted may no longer know of a later
/// holder.
#[test]
fn expired_hold_needs_the_control_leader() {
    for resume_by_promises in [false, true] {
        let mut lease = holder(TestFaults { resume_by_promises, ..TestFaults::default() });
        assert_eq!(lease.state(at(1_600)), LeaseState::Expired);
        let actions = lease.tick(at(1_600));
        promise_all(&mut lease, at(1_700), &actions);
        assert_eq!(
            lease.holds(at(1_700)),
            resume_by_promises,
            "a hold resumes only with the injected fault"
        );
        lease.handle_answer(at(1_700), &renewed_answer(3, TERM));
        assert!(lease.holds(at(1_700)));
    }
}

/// Fails if promises extend a hold past `zone_hold` from the last renewal.
#[test]
fn promises_end_with_zone_hold() {
    let mut lease = holder(TestFaults::default());
    for step in 1..100 {
        let now = at(step * 500);
        let actions = lease.tick(now);
        promise_all(&mut lease, now, &actions);
        let expected = match step * 500 {
            0..1_500 => LeaseState::HolderByControl,
            1_500..30_000 => LeaseState::HolderByPromises,
            _ => LeaseState::Expired,
        };
        assert_eq!(lease.state(now), expected, "at {now}");
    }
}

/// Fails if a host holds a term again after it released it. A late release would then free a zone
/// that is in use.
#[test]
fn released_term_is_never_held_again() {
    let mut lease = holder(TestFaults::default());
    let actions = lease.release(at(100));
    let is_release = |action: &LeaseAction| match action {
        LeaseAction::SendToControl(request) => request.operation == LeaseOperation::Release(TERM),
        LeaseAction::SendToPeer(_, request) => request.operation == PromiseOperation::Release,
    };
    assert_eq!(actions.len(), 4);
    assert!(actions.iter().all(is_release));
    assert_eq!(lease.state(at(100)), LeaseState::Follower);
    lease.become_candidate();
    let actions = lease.tick(at(600));
    let LeaseAction::SendToControl(request) = &actions[0] else { panic!("{actions:?}") };
    assert_eq!(request.operation, LeaseOperation::Acquire(TERM));
    assert!(lease.handle_answer(at(600), &renewed_answer(request.sequence, TERM)).is_empty());
    assert_eq!(lease.term(), None);
    assert!(
        !lease.handle_answer(at(600), &renewed_answer(request.sequence, TermNumber(6))).is_empty()
    );
}

/// Fails if a successor must wait for a lease and promises that were released.
#[test]
fn release_frees_the_zone_at_once() {
    let options = LeaseOptions::zone();
    let granted_zone = GrantedZone { zone: zone(), holder: None, zone_hold: ZONE_HOLD };
    let mut grantor = LeaseGrantor::new(options, at(0), vec![granted_zone]);
    grantor.confirm_leadership(at(5_000));
    let mut lease = holder(TestFaults::default());
    let mut promise_grantor = PromiseGrantor::new(zone(), HostId(1), options, at(0));
    promise_grantor.mark_recovered();
    let lease_holder = gw_lease::LeaseHolder { host: HostId(0), boot: BootId(1), term: TERM };
    grantor.apply_grant(&zone(), lease_holder, 1);
    lease.set_applied(1);
    let mut freed = Vec::new();
    for action in lease.tick(at(5_000)).into_iter().chain(lease.release(at(5_100))) {
        match action {
            LeaseAction::SendToControl(request) => {
                grantor.handle(at(5_100), &request);
                freed.push(grantor.takeover_allowed(at(5_100), &zone()));
            }
            LeaseAction::SendToPeer(HostId(1), request) => {
                promise_grantor.handle(at(5_100), &request, TableVersion::default());
                freed.push(promise_grantor.promised_holder(at(5_100)).is_none());
            }
            LeaseAction::SendToPeer(..) => {}
        }
    }
    assert_eq!(freed, [false, false, true, true]);
}

/// Fails if a takeover quorum or a majority does not intersect every majority.
#[test]
fn quorums_intersect() {
    for hosts in 1..=9 {
        let quorum = ZoneQuorum::new(hosts);
        assert!(quorum.majority() + quorum.takeover() > hosts && quorum.majority() * 2 > hosts);
    }
    let sizes = [1, 2, 3].map(|hosts| ZoneQuorum::new(hosts).takeover());
    assert_eq!(sizes, [1, 1, 2], "takeover quorums of zones with 1, 2 and 3 hosts");
}
