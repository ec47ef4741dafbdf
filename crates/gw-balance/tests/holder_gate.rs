//! Which requests go to holders that are asked for more than they can run.

use gw_balance::HolderThrottle;
use gw_ranges::HolderShare;
use gw_ranges::RangeHolder;
use gw_types::TargetName;

fn holder(name: &str) -> RangeHolder {
    RangeHolder { target: TargetName::new(name).expect("a valid name"), run: 1 }
}

struct GateCase {
    name: &'static str,
    share: f64,
    /// Every so many requests one is urgent; 0: none.
    urgent_every: u32,
    /// Of 100 requests, how many pass.
    passed: (u32, u32),
}

/// Pattern: a holder of a hot key that can run half of the requests. Guards against more requests
/// than its share, and against urgent requests that are refused before less urgent ones.
#[test]
fn the_share_passes_and_urgent_requests_first() {
    let cases = [
        GateCase { name: "half", share: 0.5, urgent_every: 0, passed: (49, 51) },
        GateCase { name: "a tenth", share: 0.1, urgent_every: 0, passed: (9, 11) },
        GateCase { name: "urgent ones count", share: 0.5, urgent_every: 4, passed: (49, 54) },
        GateCase { name: "more urgent ones", share: 0.1, urgent_every: 2, passed: (50, 50) },
    ];
    for case in cases {
        let mut gate = HolderThrottle::default();
        let mut passed = 0;
        for number in 0..100 {
            // The share is told again and again.
            if number % 7 == 0 {
                let share = HolderShare { holder: holder("t1"), share: case.share };
                gate.update(vec![share], 0.5);
            }
            let is_urgent = case.urgent_every > 0 && number % case.urgent_every == 0;
            let passes = gate.admit(&holder("t1"), is_urgent);
            assert!(passes || !is_urgent, "{}: an urgent request is refused", case.name);
            passed += u32::from(passes);
            assert!(gate.admit(&holder("t2"), false), "{}: another holder", case.name);
        }
        let (least, most) = case.passed;
        assert!((least..=most).contains(&passed), "{}: {passed} of 100", case.name);
        gate.update(Vec::new(), 0.5);
        assert!(gate.admit(&holder("t1"), false), "{}: no longer overloaded", case.name);
    }
}
