use std::time::Duration;

use gw_types::HostId;
use gw_types::Timestamp;
use serde::Deserialize;
use serde::Serialize;

use crate::LogEntry;
use crate::LogIndex;
use crate::SnapshotMeta;
use crate::Term;

/// A message and its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The receiver.
    pub to: HostId,
    /// The message.
    pub message: Message,
}

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's term; in a pre-vote request, the term that the sender would campaign in.
    pub term: Term,
    /// What the message says.
    pub body: MessageBody,
}

/// Content of a [`Message`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether the receiver would vote for the sender, without changing any term.
    PreVoteRequest {
        /// Last entry of the sender's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answer to a pre-vote request.
    PreVoteResponse {
        /// Term that the request named.
        requested_term: Term,
        /// Whether the sender would vote for the receiver.
        granted: bool,
    },
    /// Asks for a vote.
    VoteRequest {
        /// Last entry of the sender's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
        /// Whether the leader asked the sender to campaign, so that a live leader is no reason to
        /// refuse.
        transfer: bool,
    },
    /// Answer to a vote request.
    VoteResponse {
        /// Whether the sender voted for the receiver in this term.
        granted: bool,
        /// Time since the sender last heard a leader, or had a majority as leader, on its clock.
        since_leader_contact: Duration,
    },
    /// Entries after `previous_index`; without entries, a heartbeat.
    Append {
        /// Index of the entry before the first of `entries`.
        previous_index: LogIndex,
        /// Term of that entry.
        previous_term: Term,
        /// Entries without gaps, bounded in bytes.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit_index: LogIndex,
        /// Time of sending on the leader's clock; echoed, and read by the leader only.
        sent_at: Timestamp,
    },
    /// The sender's log matches the leader's up to `matched`, and is synced up to there.
    Matched {
        /// Last matching entry.
        match_index: LogIndex,
        /// Echo of the time of sending.
        sent_at: Timestamp,
    },
    /// The sender's log does not hold the entry before the leader's batch.
    Mismatch {
        /// `previous_index` of the refused batch.
        rejected_index: LogIndex,
        /// Last index at which the logs may match.
        match_hint: LogIndex,
        /// Echo of the time of sending.
        sent_at: Timestamp,
    },
    /// A part of a snapshot.
    SnapshotChunk {
        /// The snapshot.
        meta: SnapshotMeta,
        /// Position of `bytes` in the snapshot's data.
        offset: u64,
        /// Length of the whole data.
        total_bytes: u64,
        /// The part, bounded in size.
        bytes: Vec<u8>,
        /// Time of sending on the leader's clock; echoed.
        sent_at: Timestamp,
    },
    /// Asks for the next part of a snapshot.
    SnapshotProgress {
        /// Last entry that the snapshot covers.
        index: LogIndex,
        /// Number of bytes received without gaps.
        received_bytes: u64,
        /// Echo of the time of sending.
        sent_at: Timestamp,
    },
    /// Asks the receiver to campaign at once.
    TimeoutNow,
    /// The sender's term is higher than the receiver's, so it ignored a message.
    StaleTerm,
}
