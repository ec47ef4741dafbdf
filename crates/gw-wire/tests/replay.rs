//! Replay protection.

use std::collections::HashSet;

use gw_types::BootId;
use gw_types::HostId;
use gw_wire::FrameError;
use gw_wire::FrameHeader;
use gw_wire::ReplayGuard;
use gw_wire::ReplayWindow;
use quickcheck::Gen;
use quickcheck::QuickCheck;

/// Guards against a sequence that is accepted twice, and against a delayed frame inside the window
/// that is rejected although it is new.
#[test]
fn each_sequence_is_accepted_once() {
    fn property(steps: Vec<u8>) -> bool {
        const BITS: u64 = 128;
        let mut window = ReplayWindow::new(BITS as usize);
        let mut accepted = HashSet::new();
        let mut highest_sequence = 0u64;
        let mut base = 1_000u64;
        steps.into_iter().all(|step| {
            base += u64::from(step % 5);
            let sequence = base - u64::from(step);
            let expected = if accepted.is_empty() || sequence > highest_sequence {
                Ok(())
            } else if highest_sequence - sequence >= BITS {
                Err(FrameError::TooOld { sequence })
            } else if accepted.contains(&sequence) {
                Err(FrameError::Replayed { sequence })
            } else {
                Ok(())
            };
            let result = window.accept(BootId(1), sequence);
            if result.is_ok() {
                accepted.insert(sequence);
                highest_sequence = highest_sequence.max(sequence);
            }
            result == expected
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(600, 9))
        .tests(1_000)
        .quickcheck(property as fn(_) -> _);
}

/// Guards against accepting frames from before a restart of the sender, and against rejecting the
/// frames of a restarted host.
#[test]
fn boot_ids_order_runs() {
    struct Case {
        boot: u64,
        sequence: u64,
        expected: Result<(), FrameError>,
    }
    let cases = [
        Case { boot: 5, sequence: 1_000, expected: Ok(()) },
        Case { boot: 6, sequence: 1, expected: Ok(()) },
        Case { boot: 5, sequence: 1_001, expected: Err(FrameError::OldBoot) },
        Case { boot: 6, sequence: 1, expected: Err(FrameError::Replayed { sequence: 1 }) },
        Case { boot: 6, sequence: u64::MAX, expected: Ok(()) },
        Case { boot: 6, sequence: 2, expected: Err(FrameError::TooOld { sequence: 2 }) },
        Case { boot: 7, sequence: 0, expected: Ok(()) },
    ];
    let mut window = ReplayWindow::new(64);
    for (index, case) in cases.into_iter().enumerate() {
        assert_eq!(window.accept(BootId(case.boot), case.sequence), case.expected, "case {index}");
    }
}

/// Guards against accepting frames of unknown hosts, and against frames of one host that move the
/// window of another.
#[test]
fn windows_are_kept_for_each_known_host() {
    let mut guard = ReplayGuard::new([HostId(2), HostId(1), HostId(2)], 64);
    let header =
        |sender, sequence| FrameHeader { sender: HostId(sender), boot: BootId(1), sequence };
    assert_eq!(guard.accept(&header(1, 5)), Ok(()));
    assert_eq!(guard.accept(&header(2, 5)), Ok(()));
    assert_eq!(guard.accept(&header(1, 5)), Err(FrameError::Replayed { sequence: 5 }));
    let sender = HostId(3);
    assert_eq!(guard.accept(&header(3, 1)), Err(FrameError::UnknownSender { sender }));
}
