//! Order in which waiting requests are served.

use gw_balance::RequestQueue;
use gw_balance::WaitingRequest;
use gw_types::ServiceName;

fn request(number: u64, service: &str, priority: u8, key: Option<u16>) -> WaitingRequest {
    WaitingRequest {
        number,
        service: ServiceName::new(service).expect("a valid name"),
        key,
        tried: Vec::new(),
        priority,
        body_bytes: 0,
    }
}

struct QueueCase {
    name: &'static str,
    waiting: Vec<WaitingRequest>,
    /// Number of requests that can be admitted.
    capacity: usize,
    served: &'static [u64],
}

/// Guards against urgent requests that wait behind less urgent ones of the same service under peak
/// load, and against later requests that overtake earlier ones.
#[test]
fn urgent_requests_go_first_then_earlier_ones() {
    let cases = [
        QueueCase {
            name: "an urgent request that arrived last",
            waiting: vec![
                request(1, "slips", 2, None),
                request(2, "slips", 2, None),
                request(3, "slips", 0, None),
            ],
            capacity: 2,
            served: &[3, 1],
        },
        QueueCase {
            name: "equal priorities",
            waiting: vec![request(5, "slips", 1, None), request(4, "slips", 1, None)],
            capacity: 1,
            served: &[4],
        },
        QueueCase {
            name: "no free target",
            waiting: vec![request(1, "slips", 0, None)],
            capacity: 0,
            served: &[],
        },
    ];
    for case in cases {
        let mut queue = RequestQueue::default();
        let count = case.waiting.len();
        case.waiting.into_iter().for_each(|request| queue.push(request));
        let mut capacity = case.capacity;
        let taken = queue.take_admitted(|_| {
            let is_free = capacity > 0;
            capacity = capacity.saturating_sub(1);
            is_free.then_some(())
        });
        let numbers: Vec<u64> = taken.into_iter().map(|(number, ())| number).collect();
        assert_eq!(numbers, case.served, "{}", case.name);
        assert_eq!(queue.len(), count - case.served.len(), "{}", case.name);
    }
}

/// Guards against waiting requests for one hot key that block those for other keys.
#[test]
fn a_full_holder_blocks_only_its_own_keys() {
    let mut queue = RequestQueue::default();
    queue.push(request(1, "slips", 0, Some(7)));
    queue.push(request(2, "slips", 1, Some(8)));
    let taken = queue.take_admitted(|request| (request.key == Some(8)).then_some(()));
    assert_eq!(taken, [(2, ())]);
    let slips = ServiceName::new("slips").expect("a valid name");
    assert_eq!(queue.count_ahead_for_keys(&slips, 0, |key| key == Some(7)), 1);
    assert_eq!(queue.count_ahead_for_keys(&slips, 0, |key| key == Some(8)), 0);
    assert_eq!(queue.count_ahead(&slips, 1), 1);
    queue.remove(1);
    assert!(queue.is_empty());
}
