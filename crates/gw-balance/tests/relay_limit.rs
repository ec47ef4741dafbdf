//! Requests in flight on a host whose link is too narrow for what it relays.

use std::time::Duration;

use gw_balance::RelayLimit;
use gw_types::Timestamp;

/// Time that a target takes for a request, and a connection without a queue at the link.
const WORK_TIME: Duration = Duration::from_millis(150);
const CONNECT_TIME: Duration = Duration::from_millis(5);
/// Time after which connections are given up, and hosts take their path to targets for lost.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time in which the limit is found.
const SETTLING_TIME: Duration = Duration::from_secs(4);
const RUN_TIME: Duration = Duration::from_secs(20);

struct LinkCase {
    name: &'static str,
    /// Requests a second of other hosts, and of own callers.
    relayed: u32,
    own: u32,
    /// Requests a second that the link carries.
    capacity: u32,
    /// Fraction that has to be served of what the link carries, or of the requests if they are fewer.
    served: f64,
}

/// Guards against a host that takes more for others than its link carries, until its own connections
/// take so long that it gives up its path to targets.
#[test]
fn the_link_of_a_relay_has_no_long_queue() {
    let cases = [
        LinkCase { name: "much too narrow", relayed: 200, own: 30, capacity: 80, served: 0.7 },
        LinkCase { name: "little too narrow", relayed: 70, own: 30, capacity: 80, served: 0.7 },
        LinkCase { name: "wide enough", relayed: 40, own: 30, capacity: 300, served: 0.99 },
        LinkCase { name: "own callers only", relayed: 0, own: 70, capacity: 100, served: 0.99 },
    ];
    for case in cases {
        let mut limit = RelayLimit::default();
        let start = Timestamp::from_millis(1_000);
        let (mut free_at, mut ends) = (start, Vec::new());
        let (mut offered, mut served, mut longest) = (0.0, 0.0, Duration::ZERO);
        let step = Duration::from_millis(1);
        for tick in 0..RUN_TIME.as_millis() as u32 {
            let now = start + step * tick;
            for _ in ends.extract_if(.., |end| *end <= now) {
                limit.leave();
            }
            let is_settled = step * tick >= SETTLING_TIME;
            for (rate, is_relayed) in [(case.relayed, true), (case.own, false)] {
                if (u64::from(tick) * u64::from(rate)) % 1_000 + u64::from(rate) < 1_000 {
                    continue;
                }
                offered += f64::from(u8::from(is_settled));
                if !limit.try_enter(now, is_relayed) {
                    continue;
                }
                served += f64::from(u8::from(is_settled));
                let queue_time = free_at.since(now);
                free_at = free_at.max(now) + Duration::from_secs(1) / case.capacity;
                ends.push(now + queue_time + WORK_TIME);
                limit.record_connect(now, CONNECT_TIME + queue_time);
                if is_settled {
                    longest = longest.max(CONNECT_TIME + queue_time);
                }
            }
        }
        let seconds = (RUN_TIME - SETTLING_TIME).as_secs_f64();
        let possible = (f64::from(case.capacity) * seconds).min(offered);
        let fraction = served / possible;
        println!("{}: {fraction:.2} of what is possible, connections in {longest:?}", case.name);
        assert!(longest < CONNECT_TIMEOUT, "{}: connections in {longest:?}", case.name);
        assert!(fraction >= case.served, "{}: {fraction:.2} served", case.name);
    }
}
