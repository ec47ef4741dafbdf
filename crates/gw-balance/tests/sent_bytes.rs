//! Bytes of bodies at one target.

use gw_balance::SentBytes;
use gw_types::TargetName;

const MB: usize = 1024 * 1024;

/// Guards against targets that run out of memory because of what one host sends them, and against
/// bodies that are never sent because they are larger than the limit.
#[test]
fn bodies_at_one_target_are_bounded_in_sum() {
    let name = |text: &str| TargetName::new(text).expect("a valid name");
    let (one, other) = (name("n1"), name("n2"));
    let mut sent = SentBytes::default();
    assert!(sent.may_send(&one, 64 * MB), "alone");
    sent.record_start(&one, 64 * MB);
    // Size of the next body, and whether it may be sent to the first and to the other target.
    for (bytes, to_one, to_other) in [(0, true, true), (1, false, true), (64 * MB, false, true)] {
        assert_eq!(sent.may_send(&one, bytes), to_one, "{bytes} bytes");
        assert_eq!(sent.may_send(&other, bytes), to_other, "{bytes} bytes to the other");
    }
    sent.record_end(&one, 64 * MB);
    sent.record_start(&one, 10 * MB);
    assert!(sent.may_send(&one, 6 * MB) && !sent.may_send(&one, 7 * MB), "up to the limit");
    sent.record_start(&one, 6 * MB);
    sent.record_end(&one, 10 * MB);
    assert!(sent.may_send(&one, 7 * MB), "after the end of the first");
}
