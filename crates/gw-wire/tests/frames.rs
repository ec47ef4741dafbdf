//! Frame codec, key rotation and stream framing.

use gw_types::BootId;
use gw_types::HostId;
use gw_wire::FrameError;
use gw_wire::FrameHeader;
use gw_wire::FrameKey;
use gw_wire::FrameLimit;
use gw_wire::KeyId;
use gw_wire::KeyRing;
use gw_wire::KeyRingError;
use gw_wire::MAX_STREAM_FRAME_BYTES;
use gw_wire::StreamDecoder;
use gw_wire::decode_frame;
use gw_wire::encode_frame;
use gw_wire::length_prefix;
use quickcheck::Gen;
use quickcheck::QuickCheck;

type Body = (u32, Vec<u64>, String);

const HEADER: FrameHeader = FrameHeader { sender: HostId(7), boot: BootId(3), sequence: 99 };

fn key(id: u16) -> FrameKey {
    FrameKey::new(KeyId(id), [id as u8; 32])
}

fn ring(ids: &[u16]) -> KeyRing {
    KeyRing::new(ids.iter().map(|&id| key(id)).collect()).unwrap()
}

fn check(property: fn(Body, Vec<(u16, u8)>) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 7))
        .tests(2_000)
        .quickcheck(property as fn(_, _) -> _);
}

/// Guards against frames that are accepted although some of their bytes were changed, and against a
/// panic of the decoder on such frames.
#[test]
fn mutated_frames_are_rejected() {
    fn property(body: Body, changes: Vec<(u16, u8)>) -> bool {
        let ring = ring(&[1]);
        let encoded = encode_frame(&ring, FrameLimit::Stream, &HEADER, &body).unwrap();
        let mut mutated = encoded.clone();
        for (position, value) in changes {
            let position = usize::from(position) % mutated.len();
            mutated[position] = value;
        }
        let decoded = decode_frame::<Body>(&ring, FrameLimit::Stream, &mutated);
        match decoded {
            Ok(frame) => mutated == encoded && frame.header == HEADER && frame.body == body,
            Err(_) => mutated != encoded,
        }
    }
    check(property);
}

/// Guards against a panic of the decoder on arbitrary bytes and truncated frames.
#[test]
fn arbitrary_and_truncated_bytes_are_rejected() {
    fn property(bytes: Vec<u8>, len: usize) -> bool {
        let ring = ring(&[1]);
        let body = (1u32, vec![2u64; 9], "x".to_owned());
        let encoded = encode_frame(&ring, FrameLimit::Datagram, &HEADER, &body).unwrap();
        let truncated = &encoded[..len % encoded.len()];
        decode_frame::<Body>(&ring, FrameLimit::Datagram, &bytes).is_err()
            && decode_frame::<Body>(&ring, FrameLimit::Datagram, truncated).is_err()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1_500, 8))
        .tests(2_000)
        .quickcheck(property as fn(_, _) -> _);
}

/// Guards against a body that announces more items than it contains: the decoder must reject it
/// instead of allocating memory for the announced number.
#[test]
fn authenticated_body_with_false_length_is_malformed() {
    let ring = ring(&[1]);
    let announced = (1u32, u64::from(u32::MAX));
    let encoded = encode_frame(&ring, FrameLimit::Datagram, &HEADER, &announced).unwrap();
    let decoded = decode_frame::<(u32, Vec<u64>)>(&ring, FrameLimit::Datagram, &encoded);
    assert_eq!(decoded.unwrap_err(), FrameError::Malformed);
}

/// Guards against a decoder that ignores bytes after the body.
#[test]
fn bytes_after_the_body_are_malformed() {
    let ring = ring(&[1]);
    let encoded = encode_frame(&ring, FrameLimit::Datagram, &HEADER, &(1u8, 2u8)).unwrap();
    assert_eq!(
        decode_frame::<u8>(&ring, FrameLimit::Datagram, &encoded).unwrap_err(),
        FrameError::Malformed
    );
}

/// Guards against frames longer than the transport's limit, in the encoder and in the decoder.
#[test]
fn limits_hold_in_both_directions() {
    struct Case {
        limit: FrameLimit,
        body_bytes: usize,
        fits: bool,
    }
    // Sizes in bytes: header 21, authenticator 16, length of the string 2 or 4.
    let cases = [
        Case { limit: FrameLimit::Datagram, body_bytes: 1_200 - 21 - 16 - 2, fits: true },
        Case { limit: FrameLimit::Datagram, body_bytes: 1_200 - 21 - 16 - 1, fits: false },
        Case { limit: FrameLimit::Stream, body_bytes: 4_194_304 - 21 - 16 - 4, fits: true },
        Case { limit: FrameLimit::Stream, body_bytes: 4_194_304 - 21 - 16 - 3, fits: false },
    ];
    let ring = ring(&[1]);
    for case in cases {
        let body = "a".repeat(case.body_bytes);
        let encoded = encode_frame(&ring, case.limit, &HEADER, &body);
        assert_eq!(encoded.is_ok(), case.fits, "{:?} {}", case.limit, case.body_bytes);
        let bytes = vec![1; case.limit.max_bytes() + usize::from(!case.fits)];
        let oversized = matches!(
            decode_frame::<String>(&ring, case.limit, &bytes),
            Err(FrameError::Oversized { .. })
        );
        assert_eq!(oversized, !case.fits);
    }
}

/// Guards against rejected frames during a key rotation, and against keys that are still accepted
/// after their removal.
#[test]
fn keys_rotate() {
    struct Case {
        signer: &'static [u16],
        receiver: &'static [u16],
        expected: Result<(), FrameError>,
    }
    let cases = [
        Case { signer: &[1], receiver: &[1], expected: Ok(()) },
        Case { signer: &[1], receiver: &[1, 2], expected: Ok(()) },
        Case { signer: &[1, 2], receiver: &[2, 1], expected: Ok(()) },
        Case { signer: &[2, 1], receiver: &[1, 2], expected: Ok(()) },
        Case { signer: &[2], receiver: &[2], expected: Ok(()) },
        Case {
            signer: &[1],
            receiver: &[2],
            expected: Err(FrameError::UnknownKey { key: KeyId(1) }),
        },
    ];
    for case in cases {
        let encoded =
            encode_frame(&ring(case.signer), FrameLimit::Datagram, &HEADER, &5u8).unwrap();
        let decoded = decode_frame::<u8>(&ring(case.receiver), FrameLimit::Datagram, &encoded);
        assert_eq!(decoded.map(|_| ()), case.expected);
    }
    assert_eq!(KeyRing::new(vec![]).unwrap_err(), KeyRingError::Empty);
    let twice = KeyRing::new(vec![key(2), key(2)]);
    assert_eq!(twice.unwrap_err(), KeyRingError::Duplicate { id: KeyId(2) });
}

/// Guards against a frame for one purpose that is accepted for another.
#[test]
fn derived_rings_are_separate() {
    let ring = ring(&[1]);
    let encoded = encode_frame(&ring.derive("a"), FrameLimit::Datagram, &HEADER, &5u8).unwrap();
    assert!(decode_frame::<u8>(&ring.derive("a"), FrameLimit::Datagram, &encoded).is_ok());
    let decoded = decode_frame::<u8>(&ring.derive("b"), FrameLimit::Datagram, &encoded);
    assert_eq!(decoded.unwrap_err(), FrameError::Authenticator);
}

/// Guards against frames that are lost or merged when a connection delivers them in pieces.
#[test]
fn stream_is_split_into_frames_at_any_piece_size() {
    let frames: Vec<Vec<u8>> = (0..20usize).map(|n| vec![n as u8; n * 13]).collect();
    let mut stream = Vec::new();
    for frame in &frames {
        stream.extend_from_slice(&length_prefix(frame.len()).unwrap());
        stream.extend_from_slice(frame);
    }
    for piece in [1, 2, 3, 7, 64, stream.len()] {
        let mut decoder = StreamDecoder::default();
        let mut found = Vec::new();
        for mut input in stream.chunks(piece) {
            while !input.is_empty() {
                found.extend(decoder.feed(&mut input).unwrap());
            }
        }
        assert_eq!(found, frames, "pieces of {piece} bytes");
    }
}

/// Guards against allocating memory for a length above the limit that a peer announces.
#[test]
fn announced_length_above_the_limit_is_rejected() {
    let len = MAX_STREAM_FRAME_BYTES + 1;
    let prefix = (len as u32).to_le_bytes();
    let rejected = StreamDecoder::default().feed(&mut prefix.as_slice());
    let limit = MAX_STREAM_FRAME_BYTES;
    assert_eq!(rejected.unwrap_err(), FrameError::Oversized { len, limit });
    assert!(length_prefix(len).is_err());
}
