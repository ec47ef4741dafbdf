//! Measures the time to encode and to decode one frame.
#![allow(missing_docs)]

use std::hint::black_box;

use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use gw_types::BootId;
use gw_types::HostId;
use gw_wire::FrameHeader;
use gw_wire::FrameKey;
use gw_wire::FrameLimit;
use gw_wire::KeyId;
use gw_wire::KeyRing;
use gw_wire::decode_frame;
use gw_wire::encode_frame;

fn codec(criterion: &mut Criterion) {
    let ring = KeyRing::new(vec![FrameKey::new(KeyId(1), [7; 32])]).unwrap();
    let header = FrameHeader { sender: HostId(1), boot: BootId(1), sequence: 1 };
    let body: Vec<u64> = (0..100).collect();
    let encoded = encode_frame(&ring, FrameLimit::Datagram, &header, &body).unwrap();
    criterion.bench_function("seal", |bencher| {
        bencher.iter(|| encode_frame(&ring, FrameLimit::Datagram, &header, black_box(&body)));
    });
    criterion.bench_function("open", |bencher| {
        bencher.iter(|| decode_frame::<Vec<u64>>(&ring, FrameLimit::Datagram, black_box(&encoded)));
    });
}

criterion_group!(benches, codec);
criterion_main!(benches);
