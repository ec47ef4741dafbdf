//! Throttling of requests to overloaded holders.

use gw_balance::HolderThrottle;
use gw_ranges::HolderShare;
use gw_ranges::RangeHolder;
use gw_types::TargetName;

fn holder(name: &str) -> RangeHolder {
    RangeHolder { target: TargetName::new(name).expect("a valid name"), run: 1 }
}

struct ThrottleCase {
    name: &'static str,
    share: f64,
    /// Interval of urgent requests; 0 for none.
    urgent_every: u32,
    /// Bounds of the number of admitted requests, of 100.
    admitted: (u32, u32),
}

/// Guards against more requests to an overloaded holder than its share, and against urgent requests
/// that are refused before less urgent ones.
#[test]
fn the_share_is_admitted_with_urgent_requests_first() {
    let cases = [
        ThrottleCase { name: "half", share: 0.5, urgent_every: 0, admitted: (49, 51) },
        ThrottleCase { name: "a tenth", share: 0.1, urgent_every: 0, admitted: (9, 11) },
        ThrottleCase {
            name: "urgent requests count against the share",
            share: 0.5,
            urgent_every: 4,
            admitted: (49, 54),
        },
        ThrottleCase {
            name: "more urgent requests than the share",
            share: 0.1,
            urgent_every: 2,
            admitted: (50, 50),
        },
    ];
    for case in cases {
        let mut throttle = HolderThrottle::default();
        let mut admitted = 0;
        for number in 0..100 {
            // The leader sends the share repeatedly.
            if number % 7 == 0 {
                let share = HolderShare { holder: holder("t1"), share: case.share };
                throttle.update(vec![share], 0.5);
            }
            let is_urgent = case.urgent_every > 0 && number % case.urgent_every == 0;
            let is_admitted = throttle.admit(&holder("t1"), is_urgent);
            assert!(is_admitted || !is_urgent, "{}: an urgent request is refused", case.name);
            admitted += u32::from(is_admitted);
            assert!(throttle.admit(&holder("t2"), false), "{}: another holder", case.name);
        }
        let (min, max) = case.admitted;
        assert!((min..=max).contains(&admitted), "{}: {admitted} of 100", case.name);
        throttle.update(Vec::new(), 0.5);
        assert!(throttle.admit(&holder("t1"), false), "{}: no longer overloaded", case.name);
    }
}
