//! Rules of the zone placement, handovers and table deltas.

use std::time::Duration;

use gw_placement::DeltaError;
use gw_placement::DrainDone;
use gw_placement::HandoverState;
use gw_placement::MoveError;
use gw_placement::OverrideError;
use gw_placement::PlacementOptions;
use gw_placement::PlannedMove;
use gw_placement::SlotDelegation;
use gw_placement::TableDelta;
use gw_placement::TargetChange;
use gw_placement::TokenCounter;
use gw_placement::ZonePlacement;
use gw_types::BootId;
use gw_types::FencingToken;
use gw_types::HostId;
use gw_types::KeyHash;
use gw_types::MAX_OVERRIDES;
use gw_types::ServiceName;
use gw_types::ServiceTable;
use gw_types::SlotRange;
use gw_types::TargetEntry;
use gw_types::TargetName;
use gw_types::TargetState;
use gw_types::TermNumber;
use gw_types::Timestamp;
use gw_types::ZoneName;
use gw_types::ZoneTable;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn service() -> ServiceName {
    ServiceName::new("slipreader").unwrap()
}

fn name(target: u16) -> TargetName {
    TargetName::new(format!("t{target:02}")).unwrap()
}

fn entry(target: u16, checks_tokens: bool) -> TargetEntry {
    TargetEntry {
        name: name(target),
        service: service(),
        address: ([127, 0, 0, 1], 9_000 + target).into(),
        boot: BootId(1),
        state: TargetState::Serving,
        work_slots: 2,
        checks_tokens,
        dispatcher: None,
    }
}

fn delegation(first: u16, last: u16, ready: bool) -> SlotDelegation {
    SlotDelegation { first, last, term: TermNumber(1), ready }
}

/// Returns a placement with `targets` targets, each with a dispatcher of the same number, that has
/// granted all slots.
fn placement(targets: u16, checks_tokens: bool) -> ZonePlacement {
    let table = ZoneTable::empty(ZoneName::new("fargeri").unwrap());
    let mut placement =
        ZonePlacement::adopt(PlacementOptions::default(), TermNumber(1), table, at(0));
    placement.set_delegation(at(0), &service(), vec![delegation(0, 16_383, true)]);
    for target in 0..targets {
        placement.change_target(at(0), TargetChange::Joined(entry(target, checks_tokens)));
        let dispatcher = TargetChange::Dispatcher(name(target), Some(HostId(target)));
        placement.change_target(at(0), dispatcher);
    }
    placement.tick(at(0));
    placement.publish().unwrap();
    placement
}

fn slots_of(placement: &ZonePlacement, target: Option<u16>) -> usize {
    let owner = target.map(name);
    let ranges = placement.table().services.iter().flat_map(|table| &table.ranges);
    let owned = ranges.filter(|range| range.owner == owner);
    owned.map(|range| usize::from(range.last - range.first) + 1).sum()
}

fn drain_all(placement: &mut ZonePlacement, now: Timestamp) -> usize {
    let requests = placement.drain_requests(now);
    for request in &requests {
        let (id, dispatcher) = (request.id, request.dispatcher);
        placement.confirm_drain(&DrainDone { id, dispatcher, run_age: Duration::MAX });
    }
    advance(placement, now);
    requests.len()
}

/// Runs two steps of a zone leader, which publishes between them. A handover is safe only once its
/// revocation is published.
fn advance(placement: &mut ZonePlacement, now: Timestamp) {
    placement.tick(now);
    placement.publish();
    placement.tick(now);
}

/// Fails if slots of a lost target are without owner for longer than 3 s, or if they are granted
/// before the lease and the last deadline have passed.
///
/// Detecting that a target is lost takes 1.5 s of the 3 s. The wait for a lost dispatcher is
/// measured from its last grant.
#[test]
fn lost_targets_slots_move_when_safe() {
    struct Case {
        dispatcher_answers: bool,
        /// Latest time at which all slots have an owner, after the loss became known.
        served_by_ms: u64,
        /// Earliest time of a grant, after the loss became known.
        safe_from_ms: u64,
    }
    let cases = [
        Case { dispatcher_answers: true, served_by_ms: 1_500, safe_from_ms: 0 },
        // Lease of 1 s, deadline of 1 s, margin of 120 ms.
        Case { dispatcher_answers: false, served_by_ms: 3_000, safe_from_ms: 2_120 },
    ];
    for case in cases {
        let mut placement = placement(3, false);
        placement.record_grant(&name(0), at(11_000));
        placement.change_target(at(10_000), TargetChange::Lost(name(0)));
        assert_eq!(slots_of(&placement, Some(0)), 0, "a lost target owns no slots");
        let mut served_at = None;
        for step in 0..400 {
            let now = at(10_000 + step * 10);
            if case.dispatcher_answers && step == 10 {
                drain_all(&mut placement, now);
            }
            advance(&mut placement, now);
            if slots_of(&placement, None) == 0 {
                served_at = served_at.or(Some(step * 10));
            }
        }
        let served_at = served_at.expect("slots have an owner");
        assert!((case.safe_from_ms..=case.served_by_ms).contains(&served_at), "{served_at} ms");
        assert!(slots_of(&placement, Some(1)).abs_diff(slots_of(&placement, Some(2))) <= 1);
    }
}

/// Fails if the confirmation of a target that does not check tokens ends a handover, or if the
/// confirmation of an older revocation does.
#[test]
fn confirmation_of_the_target_counts_only_if_it_checks_tokens() {
    for checks_tokens in [false, true] {
        let mut placement = placement(2, checks_tokens);
        placement.record_grant(&name(0), at(60_000));
        assert!(placement.move_slots(at(0), &service(), 0, 10, &name(1)).unwrap() > 0);
        let handover = placement.handovers()[0].clone();
        assert_eq!(handover.state(), HandoverState::Draining);
        placement.confirm_revocation(handover.id, FencingToken::NONE);
        advance(&mut placement, at(10));
        assert_eq!(slots_of(&placement, None), 11);
        placement.confirm_revocation(handover.id, handover.token);
        advance(&mut placement, at(20));
        assert_eq!(slots_of(&placement, None), if checks_tokens { 0 } else { 11 });
    }
}

/// Fails if slots keep an owner in a zone without targets, or if a new target does not get them.
#[test]
fn slots_without_targets_wait_for_one() {
    let mut placement = placement(1, true);
    placement.change_target(at(100), TargetChange::Left(name(0)));
    assert_eq!(drain_all(&mut placement, at(100)), 1);
    assert_eq!(slots_of(&placement, None), 16_384);
    assert!(placement.table().targets.is_empty());
    placement.change_target(at(200), TargetChange::Joined(entry(7, true)));
    advance(&mut placement, at(200));
    assert_eq!(slots_of(&placement, Some(7)), 16_384);
}

/// Fails if a draining target keeps slots, or if more slots than the budget allows move when a
/// target joins.
#[test]
fn draining_is_immediate_and_joining_is_gradual() {
    let mut placement = placement(4, true);
    placement.change_target(at(100), TargetChange::Draining(name(3)));
    assert_eq!(slots_of(&placement, Some(3)), 0);
    drain_all(&mut placement, at(100));
    assert_eq!(slots_of(&placement, None), 0);
    placement.change_target(at(200), TargetChange::Serving(name(3)));
    advance(&mut placement, at(200));
    assert_eq!(placement.rebalance(at(200), &service(), 163), 163);
    drain_all(&mut placement, at(200));
    assert_eq!(slots_of(&placement, Some(3)), 163);
}

/// Fails if slots are removed from the zone's table while the old owner, or a key with an override,
/// may still be served, or if slots are added before the other zone has given them up.
#[test]
fn delegated_slots_change_zone_through_handover() {
    let mut placement = placement(2, true);
    let key = (0..).map(KeyHash).find(|key| key.slot().0 >= 8_192).unwrap();
    let to = if slots_of(&placement, Some(0)) > 0 { 0 } else { 1 };
    placement.move_key(at(0), &service(), key, &name(to)).unwrap();
    drain_all(&mut placement, at(0));
    placement.record_grant(&name(0), at(60_000));
    placement.record_grant(&name(1), at(60_000));
    placement.set_delegation(at(100), &service(), vec![delegation(0, 8_191, true)]);
    advance(&mut placement, at(100));
    let listed = |placement: &ZonePlacement| {
        let table = &placement.table().services[0];
        (table.ranges.last().unwrap().last, table.overrides.len())
    };
    assert_eq!(listed(&placement), (16_383, 1));
    assert!(slots_of(&placement, None) >= 8_192);
    drain_all(&mut placement, at(200));
    assert_eq!(listed(&placement), (8_191, 0));
    let back = vec![delegation(0, 8_191, true), delegation(8_192, 16_383, false)];
    placement.set_delegation(at(300), &service(), back);
    advance(&mut placement, at(300));
    assert_eq!(listed(&placement).0, 8_191);
    placement.set_delegation(at(400), &service(), vec![delegation(0, 16_383, true)]);
    advance(&mut placement, at(400));
    assert_eq!((listed(&placement).0, slots_of(&placement, None)), (16_383, 0));
}

/// Fails if a service gets more overrides than the maximum, or if the override of a key in handover
/// can be changed.
#[test]
fn overrides_are_bounded() {
    let mut placement = placement(2, true);
    for key in 0..MAX_OVERRIDES as u64 {
        placement.move_key(at(0), &service(), KeyHash(key), &name(0)).unwrap();
    }
    let at_maximum = placement.move_key(at(0), &service(), KeyHash(1_000_000), &name(0));
    assert_eq!(at_maximum, Err(MoveError::Override(OverrideError::Full)));
    let in_handover = placement.merge_key(at(0), &service(), KeyHash(1));
    assert_eq!(in_handover, Err(MoveError::Key(KeyHash(1))));
    drain_all(&mut placement, at(0));
    let merge = PlannedMove::MergeKey(KeyHash(1));
    placement.begin_move(at(0), &service(), &merge).unwrap();
    drain_all(&mut placement, at(0));
    assert_eq!(placement.table().services[0].overrides.len(), MAX_OVERRIDES - 1);
}

/// Fails if the counter issues a token again in a term in which an earlier leader issued tokens.
#[test]
fn token_counter_goes_on_in_a_delegation_term() {
    let token = FencingToken::new(TermNumber(9), 40);
    let mut table = ZoneTable::empty(ZoneName::new("valkeri").unwrap());
    let ranges = vec![SlotRange { first: 0, last: 9, owner: None, token }];
    table.services = vec![ServiceTable { service: service(), ranges, overrides: Vec::new() }];
    let mut counter = TokenCounter::new(TermNumber(7), &table);
    assert_eq!(counter.next(TermNumber(9), token), FencingToken::new(TermNumber(9), 41));
    let mut counter = TokenCounter::new(TermNumber(10), &table);
    assert_eq!(counter.next(TermNumber(9), token), FencingToken::new(TermNumber(10), 1));
}

/// Fails if a delta applies to a table of another version or zone, or if an altered delta applies.
#[test]
fn delta_is_checked() {
    let mut placement = placement(3, true);
    let old = placement.table().clone();
    placement.move_slots(at(0), &service(), 0, 99, &name(2)).unwrap();
    let delta = placement.publish().unwrap();
    let new = placement.table().clone();
    assert_eq!(delta.apply(&old).as_ref(), Ok(&new));
    assert_eq!(
        postcard::from_bytes::<TableDelta>(&postcard::to_stdvec(&delta).unwrap()),
        Ok(delta.clone())
    );
    let version = DeltaError::Version { expected: old.version, found: new.version };
    assert_eq!(delta.apply(&new), Err(version));
    let other = ZoneTable { zone: ZoneName::new("spinneri").unwrap(), ..old.clone() };
    assert_eq!(delta.apply(&other), Err(DeltaError::Zone(new.zone.clone())));
    let mut altered = delta.clone();
    altered.services[0].ranges[0].last = 98;
    assert_eq!(altered.apply(&old), Err(DeltaError::Digest));
    altered.services[0].ranges[0].last = 16_384;
    assert_eq!(altered.apply(&old), Err(DeltaError::Slots { first: 0, last: 16_384 }));
    altered = delta;
    altered.services[0].ranges[0].owner = Some(77);
    assert_eq!(altered.apply(&old), Err(DeltaError::Name(77)));
}

/// Fails if a new leader grants slots in handover while a dispatcher of the old term may still send
/// to their old owner.
#[test]
fn adopted_handovers_wait() {
    let mut old = placement(2, true);
    old.move_slots(at(0), &service(), 0, 99, &name(1)).unwrap();
    old.publish().unwrap();
    let unowned = slots_of(&old, None);
    let options = PlacementOptions::default();
    let mut new = ZonePlacement::adopt(options, TermNumber(2), old.table().clone(), at(500));
    new.set_delegation(at(500), &service(), vec![delegation(0, 16_383, true)]);
    let version = new.publish().unwrap().to;
    assert_eq!((version.term, version.number), (TermNumber(2), 1));
    let wait = options.dispatcher_lease + options.longest_deadline + Duration::from_millis(100);
    advance(&mut new, at(500) + wait);
    assert_eq!((unowned, slots_of(&new, None)), (100, 100));
    advance(&mut new, at(500) + wait + Duration::from_millis(21));
    assert_eq!(slots_of(&new, None), 0);
}
