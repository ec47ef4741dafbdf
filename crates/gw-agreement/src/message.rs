use std::time::Duration;

use gw_types::HostId;
use gw_types::Timestamp;
use serde::Deserialize;
use serde::Serialize;

use crate::LogEntry;
use crate::LogIndex;
use crate::SnapshotMeta;
use crate::Term;

/// A message and the replica that it is addressed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The replica that the message is addressed to.
    pub to: HostId,
    /// The message to deliver.
    pub message: Message,
}

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's term; in a pre-vote request, the term that the sender would campaign in.
    pub term: Term,
    /// Type and content of the message.
    pub body: MessageBody,
}

impl Message {
    /// Returns whether only a leader sends such a message.
    pub fn is_from_leader(&self) -> bool {
        matches!(self.body, MessageBody::Append { .. } | MessageBody::SnapshotChunk { .. })
    }
}

/// Type and content of a [`Message`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether the receiver would vote for the sender. Changes no term.
    PreVoteRequest {
        /// Index of the last entry of the sender's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
    },
    /// Response to a pre-vote request.
    PreVoteResponse {
        /// Term of the request, in which the receiver would campaign.
        requested_term: Term,
        /// Whether the sender would vote for the receiver.
        granted: bool,
    },
    /// Requests a vote in the sender's term.
    VoteRequest {
        /// Index of the last entry of the sender's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
        /// Whether the leader asked the sender to campaign. Such a request is granted even if the
        /// receiver still hears from the leader.
        transfer: bool,
    },
    /// Response to a vote request.
    VoteResponse {
        /// Whether the sender voted for the receiver in this term.
        granted: bool,
        /// Time since the sender last heard from a leader or, as leader, last had contact with a
        /// majority. Measured on the sender's clock.
        since_leader_contact: Duration,
    },
    /// Appends the entries after `previous_index`; a heartbeat if there are none.
    Append {
        /// Index of the entry before the first of `entries`.
        previous_index: LogIndex,
        /// Term of that entry.
        previous_term: Term,
        /// Entries with consecutive indexes, limited by `ReplicaOptions::max_batch_bytes`.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit_index: LogIndex,
        /// Send time on the leader's clock. Echoed in the response and interpreted only by the
        /// leader.
        sent_at: Timestamp,
    },
    /// Reports that the sender's log matches the leader's and is synced up to `match_index`.
    Matched {
        /// Last matching entry.
        match_index: LogIndex,
        /// Echo of the leader's send time.
        sent_at: Timestamp,
    },
    /// Rejects a batch because the sender's log does not contain the entry before it.
    Mismatch {
        /// `previous_index` of the rejected batch.
        rejected_index: LogIndex,
        /// Last index at which the logs may match.
        match_hint: LogIndex,
        /// Echo of the leader's send time.
        sent_at: Timestamp,
    },
    /// Transfers one chunk of a snapshot.
    SnapshotChunk {
        /// Index, term and membership of the snapshot.
        meta: SnapshotMeta,
        /// Offset of `bytes` in the snapshot's data, in bytes.
        offset: u64,
        /// Length of the snapshot's data, in bytes.
        total_bytes: u64,
        /// Content of the chunk, at most `ReplicaOptions::snapshot_chunk_bytes` long.
        #[serde(with = "gw_types::raw_bytes")]
        bytes: Vec<u8>,
        /// Send time on the leader's clock. Echoed in the response.
        sent_at: Timestamp,
    },
    /// Requests the next chunk of a snapshot.
    SnapshotProgress {
        /// Last entry that the snapshot covers.
        index: LogIndex,
        /// Number of bytes received without gaps from the start of the data.
        received_bytes: u64,
        /// Echo of the leader's send time.
        sent_at: Timestamp,
    },
    /// Asks the receiver to campaign immediately, as part of a leadership transfer.
    TimeoutNow,
    /// Reports that the sender has ignored a message because its own term is higher.
    StaleTerm,
}
