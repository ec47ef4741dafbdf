//! Plan of moves while targets are cold.

use gw_ranges::DecayedCounts;
use gw_ranges::HolderStatus;
use gw_ranges::KeyRange;
use gw_ranges::RangeCandidate;
use gw_ranges::RangeHolder;
use gw_ranges::RangeTable;
use gw_ranges::RangeTransfer;
use gw_ranges::plan_moves;
use gw_types::TargetName;
use gw_types::Timestamp;
use gw_types::ZoneName;

fn holder(index: usize) -> RangeHolder {
    let target = TargetName::new(format!("t-{index}")).expect("a name");
    RangeHolder { target, run: 1 }
}

struct ColdCase {
    name: &'static str,
    /// Status and speed of the targets.
    targets: Vec<(HolderStatus, f64)>,
    /// Which targets hold an equal part of the keys each.
    holders: Vec<usize>,
    /// Targets that receive keys.
    receivers: Vec<usize>,
}

/// Guards against keys that go to a cold target while a warm one exists, against keys without a
/// holder while all targets are cold, and against a holder that has become cold and loses all
/// keys at once, though it sustains a part.
#[test]
fn cold_targets_receive_keys_only_if_none_is_warm() {
    use HolderStatus::Cold;
    use HolderStatus::Serving;
    let case = |name, targets, holders, receivers| ColdCase { name, targets, holders, receivers };
    let cases = [
        case("no holder yet", vec![(Serving, 1.0), (Cold, 0.2)], vec![], vec![0]),
        case("no holder yet, all cold", vec![(Cold, 0.2), (Cold, 0.2)], vec![], vec![0, 1]),
        case(
            "overloaded warm holder, idle cold one",
            vec![(Serving, 1.0), (Cold, 0.2)],
            vec![0],
            vec![],
        ),
        case(
            "overloaded warm holder, others cold and warm",
            vec![(Serving, 1.0), (Cold, 0.2), (Serving, 1.0)],
            vec![0],
            vec![2],
        ),
        case(
            "holder has become cold",
            vec![(Cold, 0.3), (Serving, 1.0), (Serving, 1.0)],
            vec![0, 1, 2],
            vec![1, 2],
        ),
        case("holders are all cold", vec![(Cold, 0.2), (Cold, 0.2)], vec![0], vec![1]),
    ];
    for case in cases {
        let now = Timestamp::from_millis(1_000);
        let candidates: Vec<RangeCandidate> = (0..case.targets.len())
            .map(|index| RangeCandidate {
                holder: holder(index),
                zone: ZoneName::new("a").expect("a name"),
                status: case.targets[index].0,
                speed: case.targets[index].1,
                is_answering: false,
            })
            .collect();
        let mut counts = DecayedCounts::new(now);
        (0..256_u16).for_each(|part| counts.add(part * 256, 10));
        let mut table = RangeTable::default();
        let width = 65_536 / case.holders.len().max(1);
        for (part, index) in case.holders.iter().enumerate() {
            let first = (part * width) as u16;
            let is_last = part + 1 == case.holders.len();
            let last = if is_last { u16::MAX } else { first + (width - 1) as u16 };
            let range = KeyRange { first, last };
            table.assign(&RangeTransfer { range, to: holder(*index), fence: 0 }, part as u64 + 1);
        }
        let moves = plan_moves(&table, &candidates, &counts, |_| true);
        let mut receivers: Vec<RangeHolder> =
            moves.iter().map(|transfer| transfer.to.clone()).collect();
        receivers.sort();
        receivers.dedup();
        let expected: Vec<RangeHolder> =
            case.receivers.iter().map(|index| holder(*index)).collect();
        assert_eq!(receivers, expected, "{}: {moves:?}", case.name);
        let held: f64 = counts.requests_of(KeyRange::ALL) / case.holders.len().max(1) as f64;
        let moved: f64 = moves.iter().map(|transfer| counts.requests_of(transfer.range)).sum();
        assert!(case.holders.is_empty() || moved < held, "{}: {moves:?}", case.name);
    }
}
