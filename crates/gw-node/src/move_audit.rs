use gw_control::MoveBatch;
use gw_control::MoveCause;
use gw_control::MoveRecord;
use gw_control::MoveScope;
use gw_control::WallTime;
use gw_types::FencingToken;
use gw_types::ServiceName;
use gw_types::ServiceTable;
use gw_types::TargetName;
use gw_types::TargetState;
use gw_types::ZoneTable;

/// Maximum number of moves recorded for one table version, which bounds the size of the control log
/// entry. Further moves of the version are not recorded.
const MAX_MOVES: usize = 512;

/// The changes of ownership from table `old` to table `new`, for the audit trail. Returns nothing
/// if there are none.
pub(crate) fn move_batch(old: &ZoneTable, new: &ZoneTable, at: WallTime) -> Option<MoveBatch> {
    let mut moves = Vec::new();
    for table in &new.services {
        let before = old.service(table.service.as_str());
        slot_moves(table, before, old, new, &mut moves);
        key_moves(table, before, old, new, &mut moves);
    }
    moves.truncate(MAX_MOVES);
    (!moves.is_empty()).then(|| MoveBatch {
        at,
        zone: new.zone.clone(),
        version: new.version,
        moves,
    })
}

fn slot_moves(
    table: &ServiceTable,
    before: Option<&ServiceTable>,
    old: &ZoneTable,
    new: &ZoneTable,
    moves: &mut Vec<MoveRecord>,
) {
    for range in &table.ranges {
        let mut first = range.first;
        while first <= range.last {
            let known = before.and_then(|before| {
                before.ranges.iter().find(|known| known.first <= first && first <= known.last)
            });
            let next = before.and_then(|before| {
                before.ranges.iter().map(|known| known.first).filter(|start| *start > first).min()
            });
            let end = known.map_or(next.map_or(range.last, |next| next - 1), |known| known.last);
            let last = end.min(range.last);
            let from = known.and_then(|known| known.owner.clone());
            if from != range.owner {
                let scope = MoveScope::Slots(first, last);
                let owners = (from, range.owner.clone());
                moves.push(move_record(&table.service, scope, owners, range.token, old, new));
            }
            first = last + 1;
        }
    }
}

fn key_moves(
    table: &ServiceTable,
    before: Option<&ServiceTable>,
    old: &ZoneTable,
    new: &ZoneTable,
    moves: &mut Vec<MoveRecord>,
) {
    for entry in &table.overrides {
        let known = before.and_then(|before| {
            let position = before.overrides.binary_search_by_key(&entry.key, |known| known.key);
            position.ok().map(|position| &before.overrides[position])
        });
        let from = known.and_then(|known| known.owner.clone());
        if from == entry.owner {
            continue;
        }
        let owners = (from, entry.owner.clone());
        let mut moved =
            move_record(&table.service, MoveScope::Key(entry.key), owners, entry.token, old, new);
        if known.is_none() {
            moved.cause = MoveCause::HotKeySplit;
        }
        moves.push(moved);
    }
}

fn move_record(
    service: &ServiceName,
    scope: MoveScope,
    (from, to): (Option<TargetName>, Option<TargetName>),
    token: FencingToken,
    old: &ZoneTable,
    new: &ZoneTable,
) -> MoveRecord {
    let state = from.as_ref().and_then(|from| new.target(from.as_str())).map(|entry| entry.state);
    let is_new = |target: &TargetName| old.target(target.as_str()).is_none();
    let cause = match (&from, state, &to) {
        (None, _, _) => MoveCause::FirstAssignment,
        (Some(_), None | Some(TargetState::Lost), _) => MoveCause::TargetLost,
        (Some(_), Some(TargetState::Draining), _) => MoveCause::TargetDraining,
        (_, _, Some(to)) if is_new(to) => MoveCause::TargetJoined,
        _ => MoveCause::LoadBalance,
    };
    MoveRecord { service: service.clone(), scope, from, to, token, cause }
}
