//! Who is served first when requests wait.

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
    }
}

struct LineCase {
    name: &'static str,
    waiting: Vec<WaitingRequest>,
    /// Room for this many requests of any service.
    room: usize,
    served: &'static [u64],
}

/// Guards against urgent requests that wait behind less urgent ones of the same service at the
/// crest, and against later requests that overtake earlier ones.
#[test]
fn urgent_requests_go_first_then_earlier_ones() {
    let cases = [
        LineCase {
            name: "a crest of lookups with a payment that came last",
            waiting: vec![
                request(1, "slips", 2, None),
                request(2, "slips", 2, None),
                request(3, "slips", 0, None),
            ],
            room: 2,
            served: &[3, 1],
        },
        LineCase {
            name: "equal ranks",
            waiting: vec![request(5, "slips", 1, None), request(4, "slips", 1, None)],
            room: 1,
            served: &[4],
        },
        LineCase {
            name: "no room",
            waiting: vec![request(1, "slips", 0, None)],
            room: 0,
            served: &[],
        },
    ];
    for case in cases {
        let mut line = RequestQueue::default();
        let count = case.waiting.len();
        case.waiting.into_iter().for_each(|request| line.push(request));
        let mut room = case.room;
        let taken = line.take_admitted(|_| {
            let is_free = room > 0;
            room = room.saturating_sub(1);
            is_free.then_some(())
        });
        let numbers: Vec<u64> = taken.into_iter().map(|(number, ())| number).collect();
        assert_eq!(numbers, case.served, "{}", case.name);
        assert_eq!(line.len(), count - case.served.len(), "{}", case.name);
    }
}

/// Guards against one hot key whose waiting requests hold back those for other keys.
#[test]
fn a_full_holder_holds_back_only_its_own_keys() {
    let mut line = RequestQueue::default();
    line.push(request(1, "slips", 0, Some(7)));
    line.push(request(2, "slips", 1, Some(8)));
    let taken = line.take_admitted(|request| (request.key == Some(8)).then_some(()));
    assert_eq!(taken, [(2, ())]);
    let slips = ServiceName::new("slips").expect("a valid name");
    assert_eq!(line.count_ahead_for_keys(&slips, 0, |key| key == Some(7)), 1);
    assert_eq!(line.count_ahead_for_keys(&slips, 0, |key| key == Some(8)), 0);
    assert_eq!(line.count_ahead(&slips, 1), 1);
    line.remove(1);
    assert!(line.is_empty());
}
