//! Frames and journal records of commit 0859f13, the last build that states no version, read by the
//! present build, also damaged ones.

use std::io;

use gw_agreement::LogEntry;
use gw_agreement::Snapshot;
use gw_fleet::FleetCommand;
use gw_fleet::FleetState;
use gw_fleet::FormatVersion;

use super::earlier_values::entries;
use super::earlier_values::messages;
use super::earlier_values::snapshot;
use super::frame_decoder::FrameDecoder;
use super::frame_decoder::ReceivedFrame;
use super::link_frame::LinkFrame;

/// Frames of [`messages`], one after the other.
const FRAMES: &[u8] = include_bytes!("frames-0859f13.bin");
/// [`entries`] and [`snapshot`] as in journals, each after its length in 4 bytes, little-endian.
const RECORDS: &[u8] = include_bytes!("records-0859f13.bin");

/// Decodes the first frame of `bytes`.
fn decode_frame(bytes: &[u8]) -> io::Result<Option<ReceivedFrame>> {
    let mut decoder = FrameDecoder::new();
    decoder.buffer.extend_from_slice(bytes);
    decoder.next()
}

/// Divides bytes into parts that follow their lengths, which stay with them.
fn parts(mut bytes: &[u8]) -> Vec<&[u8]> {
    let mut parts = Vec::new();
    while let Some(prefix) = bytes.first_chunk::<4>() {
        let (part, rest) = bytes.split_at(4 + u32::from_le_bytes(*prefix) as usize);
        parts.push(part);
        bytes = rest;
    }
    parts
}

/// Guards against a message whose encoding differs between builds: hosts of the other build would
/// misread it while machines are upgraded one after the other.
#[test]
fn messages_have_the_encoding_of_the_earlier_build() {
    let frames = parts(FRAMES);
    assert_eq!(frames.len(), messages().len());
    for (frame, message) in frames.into_iter().zip(messages()) {
        let received = decode_frame(frame).expect("a frame");
        let received = received.expect("a complete frame");
        assert_eq!(received.message, message);
        let version = received.version.unwrap_or(FormatVersion::UNSTATED);
        assert_eq!(version, FormatVersion::UNSTATED, "{message:?}");
        // Only the first message of a connection has an addition, which earlier builds ignore.
        let sent = LinkFrame::encode(&message).expect("a frame").bytes;
        let is_first = matches!(message, super::LinkMessage::Hello { .. });
        match is_first {
            true => assert!(sent[4..].starts_with(&frame[4..]), "{message:?}"),
            false => assert_eq!(sent, frame, "{message:?}"),
        }
        let sent = decode_frame(&sent).expect("a frame").expect("complete");
        assert_eq!(sent.version, is_first.then_some(FormatVersion::CURRENT));
    }
}

/// Guards against journals of the earlier build that the present one misreads, and the reverse after
/// a rollback.
#[test]
fn journal_records_have_the_encoding_of_the_earlier_build() {
    let records = parts(RECORDS);
    let (last, first) = records.split_last().expect("records");
    assert_eq!(first.len(), entries().len());
    for (record, entry) in first.iter().zip(entries()) {
        assert_eq!(LogEntry::decode(&record[4..]).expect("an entry"), entry);
        assert_eq!(entry.encode(), record[4..]);
    }
    let read = Snapshot::decode(&last[4..]).expect("a snapshot");
    assert_eq!(read.meta, snapshot().meta);
    // The state of the present build is followed by its additions.
    assert!(snapshot().data.starts_with(&read.data));
    let (earlier, present) =
        (FleetState::restore(&read.data), FleetState::restore(&snapshot().data));
    assert_eq!(earlier.expect("a state"), present.expect("a state"));
}

/// Replaces one byte of `bytes` by several values in turn, and cuts the bytes off at each length.
fn for_each_damage(bytes: &[u8], mut act: impl FnMut(&[u8])) {
    for index in 0..bytes.len() {
        let mut damaged = bytes.to_vec();
        for value in [0, 1, 2, 0x0f, 0x7f, 0x80, 0xfe, 0xff, bytes[index] ^ 1, bytes[index] ^ 0x40]
        {
            damaged[index] = value;
            act(&damaged);
        }
        act(&bytes[..index]);
    }
}

/// Guards against a process that ends because a host of another build, or a damaged link, sends
/// something that is no valid message: it must be an error or another message.
#[test]
fn damaged_frames_are_errors_or_messages() {
    let (mut errors, mut others) = (0, 0);
    for frame in parts(FRAMES) {
        for_each_damage(&frame[4..], |body| {
            let len = (body.len() as u32).to_le_bytes();
            match decode_frame(&[&len[..], body].concat()) {
                Ok(_) => others += 1,
                Err(_) => errors += 1,
            }
        });
        // Damaged lengths leave the frame incomplete or are refused.
        for_each_damage(&frame[..4], |prefix| {
            decode_frame(&[prefix, &frame[4..]].concat()).ok();
        });
    }
    assert!(errors > 1_000 && others > 1_000, "{errors} errors, {others} messages");
}

/// Guards against a control host that ends because of a damaged record or snapshot.
#[test]
fn damaged_records_are_errors_or_records() {
    let records = parts(RECORDS);
    let (last, first) = records.split_last().expect("records");
    for record in first {
        for_each_damage(&record[4..], |bytes| {
            if let Ok(entry) = LogEntry::decode(bytes)
                && let gw_agreement::EntryPayload::Command(command) = entry.payload
                && let Ok(command) = postcard::from_bytes::<FleetCommand>(&command)
            {
                FleetState::default().apply(&command);
            }
        });
    }
    for_each_damage(&last[4..], |bytes| {
        if let Ok(snapshot) = Snapshot::decode(bytes) {
            FleetState::restore(&snapshot.data).ok();
        }
    });
}
