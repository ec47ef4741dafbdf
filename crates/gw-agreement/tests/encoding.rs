//! Encodings that earlier builds have written to journals and send.

use std::sync::Arc;

use gw_agreement::EntryPayload;
use gw_agreement::LogEntry;
use gw_agreement::LogIndex;
use gw_agreement::Membership;
use gw_agreement::MessageBody;
use gw_agreement::Snapshot;
use gw_agreement::SnapshotMeta;
use gw_agreement::Term;
use gw_types::HostId;
use gw_types::Timestamp;

/// Guards against journals and messages of earlier builds that can no longer be read: their bytes
/// were written when commands, snapshots and chunks were sequences of numbers.
#[test]
fn bytes_of_earlier_builds_are_unchanged() {
    assert_eq!(postcard::to_stdvec(&vec![7_u8, 200, 9]).as_deref(), Ok(&[3, 7, 200, 9][..]));
    let payload = EntryPayload::Command(Arc::from([7, 200, 9]));
    let entry = LogEntry { index: LogIndex(300), term: Term(2), payload };
    let entry_bytes = [0xac, 0x02, 2, 1, 3, 7, 200, 9];
    assert_eq!(entry.encode(), entry_bytes);
    assert_eq!(LogEntry::decode(&entry_bytes), Ok(entry));

    let membership = Membership::of_voters([HostId(1)]);
    let meta = SnapshotMeta { index: LogIndex(5), term: Term(1), membership };
    let snapshot = Snapshot { meta: meta.clone(), data: Arc::from([1, 255]) };
    let snapshot_bytes = [5, 1, 1, 1, 0, 2, 1, 255];
    assert_eq!(snapshot.encode(), snapshot_bytes);
    assert_eq!(Snapshot::decode(&snapshot_bytes), Ok(snapshot));

    let sent_at = Timestamp::ZERO;
    let chunk = MessageBody::SnapshotChunk {
        meta,
        offset: 4,
        total_bytes: 6,
        bytes: vec![8, 250],
        sent_at,
    };
    let chunk_bytes = [7, 5, 1, 1, 1, 0, 4, 6, 2, 8, 250, 0];
    assert_eq!(postcard::to_stdvec(&chunk).as_deref(), Ok(&chunk_bytes[..]));
    assert_eq!(postcard::from_bytes(&chunk_bytes), Ok(chunk));
}
