//! Detection of holders whose request rate exceeds their capacity.

use std::time::Duration;

use gw_ranges::DecayedCounts;
use gw_ranges::KeyRange;
use gw_ranges::RangeHolder;
use gw_ranges::RangeTable;
use gw_ranges::RangeTransfer;
use gw_ranges::overloaded_holders;
use gw_types::TargetName;
use gw_types::Timestamp;

struct OverloadCase {
    name: &'static str,
    /// Requests per second for the hot key; the other keys of its holder receive two per second.
    hot_rate: f64,
    /// Requests per second that each holder can process.
    capacity: Option<f64>,
    /// Bounds of the holder's share; `None` if it is not overloaded.
    share: Option<(f64, f64)>,
}

fn holder(name: &str) -> RangeHolder {
    RangeHolder { target: TargetName::new(name).expect("a valid name"), run: 1 }
}

/// Guards against an overloaded holder that completes every request late, and against throttling of
/// holders that are not overloaded. Entry hosts do not see each other's requests for a hot key.
#[test]
fn requests_beyond_the_capacity_of_a_holder_are_throttled() {
    let cases = [
        OverloadCase { name: "low load", hot_rate: 10.0, capacity: Some(20.0), share: None },
        OverloadCase {
            name: "twice the capacity",
            hot_rate: 38.0,
            capacity: Some(20.0),
            share: Some((0.40, 0.45)),
        },
        OverloadCase {
            name: "at capacity",
            hot_rate: 18.0,
            capacity: Some(20.0),
            share: Some((0.80, 0.90)),
        },
        OverloadCase { name: "unknown capacity", hot_rate: 38.0, capacity: None, share: None },
    ];
    for case in cases {
        let mut table = RangeTable::default();
        for (first, last, name, fence) in [(0, 999, "t1", 1), (1_000, u16::MAX, "t2", 2)] {
            let range = KeyRange { first, last };
            table.assign(&RangeTransfer { range, to: holder(name), fence: 0 }, fence);
        }
        let start = Timestamp::from_millis(1_000);
        let mut counts = DecayedCounts::new(start);
        let (mut hot, mut rest) = (0.0_f64, 0.0_f64);
        for step in 0..100_u32 {
            counts.advance(start + Duration::from_millis(200) * step);
            hot += case.hot_rate * 0.2;
            rest += 2.0 * 0.2;
            counts.add(7, hot as u32);
            counts.add(500, rest as u32);
            (hot, rest) = (hot.fract(), rest.fract());
        }
        let shares = overloaded_holders(&table, &counts, |_| case.capacity);
        let found = shares.iter().find(|share| share.holder == holder("t1"));
        match (case.share, found) {
            (None, None) => {}
            (Some((min, max)), Some(found)) => {
                assert!((min..=max).contains(&found.share), "{}: {found:?}", case.name);
            }
            (_, found) => panic!("{}: {found:?}", case.name),
        }
        assert!(shares.iter().all(|share| share.holder == holder("t1")), "{}", case.name);
    }
}
