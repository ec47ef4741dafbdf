//! Load pattern: keys of many targets move at once, and requests arrive before the grants.

use std::time::Duration;

use gw_dispatch::MisdirectionRetry;

struct MoveCase {
    name: &'static str,
    /// Time from the first attempt until the new holder has its grant, in milliseconds.
    granted_ms: u64,
    is_served: bool,
}

/// Guards against requests that are refused while their key moves although its new holder gets the
/// grant a moment later, and against repeats without end if it never does.
#[test]
fn requests_outlast_the_move_of_their_key() {
    let cases = [
        MoveCase { name: "single move", granted_ms: 10, is_served: true },
        MoveCase { name: "grant behind other orders", granted_ms: 110, is_served: true },
        MoveCase { name: "keys of fifty targets move", granted_ms: 270, is_served: true },
        MoveCase {
            name: "target without a path to the leader",
            granted_ms: 5_000,
            is_served: false,
        },
    ];
    for case in cases {
        let mut retry = MisdirectionRetry::default();
        let mut now = Duration::ZERO;
        let granted = Duration::from_millis(case.granted_ms);
        let mut sent = 1;
        let is_served = loop {
            if now >= granted {
                break true;
            }
            let Some(wait) = retry.record() else { break false };
            now += wait;
            sent += 1;
        };
        assert_eq!(is_served, case.is_served, "{}", case.name);
        assert!(sent <= 4, "{}: sent {sent} times", case.name);
    }
}
