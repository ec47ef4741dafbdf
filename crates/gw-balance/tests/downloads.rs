//! Load pattern: many large responses over the narrow link of a host, beside small ones.

use std::time::Duration;

use gw_balance::LinkPacer;
use gw_balance::TransferLoad;
use gw_types::Timestamp;

/// Step of the model.
const STEP: Duration = Duration::from_millis(5);
/// Bytes of one piece of a large response.
const PIECE_BYTES: usize = 8 * 1024;
/// Longest wait of a small response behind large ones. Callers of the users' shortest objective,
/// 200 ms, must still be served in time.
const MAX_SMALL_WAIT: Duration = Duration::from_millis(100);

struct LinkCase {
    name: &'static str,
    bytes_per_second: f64,
    download_bytes: usize,
    /// Time between the starts of two downloads.
    interval: Duration,
    is_paced: bool,
}

/// Returns the longest wait of a small response, and the bytes of downloads sent in ten seconds.
fn longest_small_wait(case: &LinkCase) -> (Duration, usize) {
    let mut pacer = LinkPacer::new(case.bytes_per_second);
    let slots = match case.is_paced {
        true => TransferLoad::new(case.bytes_per_second).slots(),
        false => usize::MAX,
    };
    // Bytes left and the time of the next piece of each transfer; the first `slots` are under way.
    let mut transfers: Vec<(usize, Timestamp)> = Vec::new();
    let (mut queued_bytes, mut sent, mut longest) = (0.0_f64, 0, Duration::ZERO);
    for step in 0..2_000_u32 {
        let elapsed = STEP * step;
        let now = Timestamp::ZERO + elapsed;
        if elapsed.as_millis().is_multiple_of(case.interval.as_millis()) {
            transfers.push((case.download_bytes, now));
        }
        for (left, next_at) in transfers.iter_mut().take(slots) {
            while *left > 0 && *next_at <= now {
                let piece = PIECE_BYTES.min(*left);
                queued_bytes += piece as f64;
                sent += piece;
                *left -= piece;
                let wait = if case.is_paced { pacer.reserve(now, piece) } else { Duration::ZERO };
                *next_at = now + wait;
            }
        }
        transfers.retain(|(left, _)| *left > 0);
        longest = longest.max(Duration::from_secs_f64(queued_bytes / case.bytes_per_second));
        queued_bytes = (queued_bytes - case.bytes_per_second * STEP.as_secs_f64()).max(0.0);
    }
    (longest, sent)
}

const NARROW: LinkCase = LinkCase {
    name: "more downloads than a link of 5.4 Mbit/s carries",
    bytes_per_second: 675_000.0,
    download_bytes: 150_000,
    interval: Duration::from_millis(200),
    is_paced: true,
};

/// Guards against small responses that wait behind large ones, and against links that are left idle
/// while downloads wait.
#[test]
fn small_responses_pass_a_burst_of_downloads() {
    let cases = [
        NARROW,
        LinkCase { name: "few downloads", interval: Duration::from_secs(1), ..NARROW },
        LinkCase {
            name: "a link of 2 Mbit/s",
            bytes_per_second: 250_000.0,
            interval: Duration::from_secs(1),
            ..NARROW
        },
    ];
    for case in cases {
        let (longest, sent) = longest_small_wait(&case);
        assert!(longest <= MAX_SMALL_WAIT, "{}: {longest:?}", case.name);
        let offered = case.download_bytes as f64 * 10.0 / case.interval.as_secs_f64();
        let possible = offered.min(case.bytes_per_second * 10.0);
        assert!(sent as f64 > 0.6 * possible, "{}: {sent} bytes", case.name);
    }
}

/// Shows that the check above notices downloads that are forwarded as fast as they arrive.
#[test]
fn downloads_without_pacing_delay_small_responses() {
    let (longest, _) = longest_small_wait(&LinkCase { is_paced: false, ..NARROW });
    assert!(longest > MAX_SMALL_WAIT, "{longest:?}");
}

/// Guards against limits that bind on links that are wide enough.
#[test]
fn wide_links_are_not_limited() {
    let load = TransferLoad::new(125_000_000.0);
    assert!(load.slots() > 100);
    let mut pacer = LinkPacer::new(125_000_000.0);
    let waits = (0..100).map(|_| pacer.reserve(Timestamp::ZERO, 16 * 1024));
    assert_eq!(waits.max(), Some(Duration::ZERO));
}

/// Guards against waits that cannot be met: they grow with the transfers ahead and their duration.
#[test]
fn expected_waits_follow_the_transfers() {
    let mut load = TransferLoad::new(675_000.0);
    let before = load.expected_wait(1);
    (0..50).for_each(|_| load.record(Duration::from_secs(2)));
    assert!(load.expected_wait(1) > before);
    assert!(load.expected_wait(5) > load.expected_wait(1));
}
